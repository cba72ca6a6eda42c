package decide

import (
	"math"
	"slices"
	"time"
)

// handleMembers applies an update of the server list, or schedules the next call to discovery.
func (b *Balancer) handleMembers(e *Event) {
	silent := e.List == ListFailed && e.Status == TimedOut
	switch {
	case e.List == ListSourceChanged, silent: // a silent call has waited long enough already
		b.discoveryFailures = 0
		b.addAction(Action{Kind: Watch, On: true})
		return
	case e.List == ListFailed: // two waits and two calls have to fit into Safety.PropagationLimit
		maxWait := firstWatchBackoff
		if b.discoveryFailures++; b.discoveryFailures > 1 {
			maxWait = nextWatchBackoff
		}
		maxWait *= (0.1 + 0.9*b.rng.Float64()) * float64(b.config.Safety.PropagationLimit())
		b.setTimer(time.Duration(maxWait), timerWatch, 0, 0)
		return
	case e.List == ListCached && b.config.Subscribe: // changes since the cached list may be due already
		maxWait := min(time.Duration(b.config.Balancers)*initialWatchSpread, b.config.Safety.DrainGrace*4/5)
		b.setTimer(time.Duration(b.rng.Float64()*float64(maxWait)), timerWatch, 0, 0)
	case e.List != ListCached:
		b.discoveryFailures = 0
	}
	if e.List != ListDelta {
		listed := make(map[ServerID]bool, len(e.Servers))
		for i := range e.Servers {
			listed[e.Servers[i].ID] = true
		}
		var removed []ServerID
		for id := range b.servers {
			if !listed[id] {
				removed = append(removed, id)
			}
		}
		slices.Sort(removed) // map iteration must not determine the order of the pools
		for _, id := range removed {
			b.removeServer(b.servers[id])
		}
	}
	for i := range e.Servers {
		b.updateServer(&e.Servers[i])
	}
	b.reindex()
	for i := range b.tiers { // updates the reference weights, which the credit of the next request depends on
		b.availableShare(&b.tiers[i])
	}
	if e.List == ListCached {
		b.crossZoneShare = b.initialCrossZoneShare()
	}
}

// initialCrossZoneShare is the share of requests that would leave the own zone if every zone received the
// same number of requests. It is the only estimate before the first load samples: if all balancers start
// together, a small zone would otherwise be overloaded until they learn.
func (b *Balancer) initialCrossZoneShare() float64 {
	ownServers, allServers := float64(len(b.tiers[0].order)),
		float64(len(b.tiers[0].order)+len(b.tiers[1].order))
	if ownServers == 0 {
		return 0
	}
	return min(max(1-ownServers/allServers*float64(len(b.zones)), 0), crossZoneMaxShare)
}

func (b *Balancer) removeServer(s *server) {
	b.move(s, nil)
	s.State = Gone
	delete(b.servers, s.ID)
}

// updateServer applies one entry of the server list.
func (b *Balancer) updateServer(listed *Server) {
	s := b.servers[listed.ID]
	if listed.State == Gone {
		if s != nil {
			b.removeServer(s)
		}
		return
	}
	if s == nil {
		s = &server{Server: *listed, latencyRatio: 1, credit: b.rng.Float64(), orderKey: b.rng.Uint64()}
		b.servers[listed.ID] = s
	}
	restarted, wasHalfOpen := listed.Started != s.Started, s.tier != nil && s.pool == &s.tier.halfOpen
	wasEjected := s.tier != nil && s.pool == &s.tier.ejected
	b.move(s, nil)
	s.Server = *listed
	s.weight = 1
	if b.config.Weights != WeightsNone && listed.Nominal > 0 && !math.IsInf(listed.Nominal, 0) {
		s.weight = listed.Nominal
	}
	s.tier = &b.tiers[1]
	if listed.Zone == b.config.Zone {
		s.tier = &b.tiers[0]
	}
	if listed.State != Ready {
		return
	}
	if restarted { // failures of the previous process do not count for the new one
		s.failures, s.ejections, s.trialSuccesses, s.ejectedUntil, s.latencyRatio = 0, 0, 0, 0, 1
		s.credit = b.rng.Float64()
	}
	switch {
	case wasHalfOpen && !restarted: // being listed is no evidence of health, so the trials go on
		b.move(s, &s.tier.halfOpen)
	case s.ejectedUntil > b.now:
		b.move(s, &s.tier.ejected)
		if s.ejectedUntil == untilProbed && !wasEjected { // the probe under way is dropped
			b.readmit(s)
		}
	default:
		b.move(s, &s.tier.active)
	}
}

// availableShare is the part of the tier's reference weight that can take work now. Only healthy servers
// count, and warming ones only with the capacity that they are guaranteed to have.
func (b *Balancer) availableShare(t *tier) float64 {
	listed := t.active.totalWeight + t.ejected.totalWeight + t.halfOpen.totalWeight
	t.referenceWeight = max(listed,
		t.referenceWeight*math.Exp(-float64(b.now-t.referenceWeightAt)/float64(referenceWeightDecay)))
	t.referenceWeightAt = b.now
	if t.referenceWeight <= 0 {
		return 0
	}
	available := t.active.totalWeight
	for i := 0; i < len(t.warming); i++ {
		s := t.warming[i]
		share := b.minCapacityShare(s)
		if share >= 1 || s.pool == nil {
			t.warming[i] = t.warming[len(t.warming)-1]
			t.warming = t.warming[:len(t.warming)-1]
			i--
		} else if s.pool == &t.active {
			available -= s.weight * (1 - share)
		}
	}
	return available / t.referenceWeight
}
