package decide

import (
	"math"
	"slices"
	"time"
)

func (b *Balancer) members(e *Event) {
	silent := e.List == ListFailed && e.Status == TimedOut
	switch {
	case e.List == ListMoved, silent: // another discovery, or a call that fell silent, which took its time
		b.failures = 0
		b.act(Action{Kind: Watch, On: true})
		return
	case e.List == ListFailed: // two waits and two calls fit in the time after which a change is told
		most := watchFirst
		if b.failures++; b.failures > 1 {
			most = watchRetry
		}
		most *= (0.1 + 0.9*b.rng.Float64()) * float64(b.c.Safety.ToldWithin())
		b.wake(time.Duration(most), tokWatch, 0, 0)
		return
	case e.List == ListCached && b.c.Subscribe: // what an old list lacks may count as told already
		most := min(time.Duration(b.c.Balancers)*watchSlot, b.c.Safety.DrainGrace*4/5)
		b.wake(time.Duration(b.rng.Float64()*float64(most)), tokWatch, 0, 0)
	case e.List != ListCached:
		b.failures = 0
	}
	if e.List != ListDelta {
		keep := make(map[ServerID]bool, len(e.Servers))
		for i := range e.Servers {
			keep[e.Servers[i].ID] = true
		}
		var lost []ServerID
		for id := range b.servers {
			if !keep[id] {
				lost = append(lost, id)
			}
		}
		slices.Sort(lost) // the order of a pool must not hang on that of a map
		for _, id := range lost {
			b.drop(b.servers[id])
		}
	}
	for i := range e.Servers {
		b.learn(&e.Servers[i])
	}
	b.reindex()
	for i := range b.tiers { // credit is measured by the tiers' weights from the first request on
		b.able(&b.tiers[i])
	}
	if e.List == ListCached {
		b.away = b.firstLean()
	}
}

// firstLean is the share of calls that would leave the own zone if every zone had as many calls: all that a
// sidecar can go by before it has felt anything. Where a whole fleet starts at once, jams would teach it.
func (b *Balancer) firstLean() float64 {
	own, all := float64(len(b.tiers[0].order)), float64(len(b.tiers[0].order)+len(b.tiers[1].order))
	if own == 0 {
		return 0
	}
	return min(max(1-own/all*float64(len(b.zones)), 0), leanMost)
}

func (b *Balancer) drop(s *server) {
	b.move(s, nil)
	s.State = Gone
	delete(b.servers, s.ID)
}

func (b *Balancer) learn(n *Server) {
	s := b.servers[n.ID]
	if n.State == Gone {
		if s != nil {
			b.drop(s)
		}
		return
	}
	if s == nil {
		s = &server{Server: *n, stretch: 1, credit: b.rng.Float64(), lot: b.rng.Uint64()}
		b.servers[n.ID] = s
	}
	restarted, half := n.Started != s.Started, s.tier != nil && s.in == &s.tier.half
	b.move(s, nil)
	s.Server = *n
	s.weight = 1
	if b.c.Weights != WeightsNone && n.Nominal > 0 && !math.IsInf(n.Nominal, 0) {
		s.weight = n.Nominal
	}
	s.tier = &b.tiers[1]
	if n.Zone == b.c.Zone {
		s.tier = &b.tiers[0]
	}
	if n.State != Ready {
		return
	}
	if restarted { // a new process owes nothing for the failures of the old one
		s.strikes, s.level, s.wins, s.until, s.stretch = 0, 0, 0, 0, 1
		s.credit = b.rng.Float64()
	}
	switch {
	case half && !restarted: // a list is no proof of health, the trials go on
		b.move(s, &s.tier.half)
	case s.until > b.now:
		b.move(s, &s.tier.bad)
	default:
		b.move(s, &s.tier.live)
	}
}

// able is the part of the weight this tier's clients are used to that can take work now: healthy, and a
// warming server only as far as it is sure to be warm.
func (b *Balancer) able(t *tier) float64 {
	listed := t.live.w + t.bad.w + t.half.w
	t.ref = max(listed, t.ref*math.Exp(-float64(b.now-t.refAt)/float64(refDecay)))
	t.refAt = b.now
	if t.ref <= 0 {
		return 0
	}
	w := t.live.w
	for i := 0; i < len(t.warming); i++ {
		s := t.warming[i]
		share := b.share(s)
		if share >= 1 || s.in == nil {
			t.warming[i] = t.warming[len(t.warming)-1]
			t.warming = t.warming[:len(t.warming)-1]
			i--
		} else if s.in == &t.live {
			w -= s.weight * (1 - share)
		}
	}
	return w / t.ref
}
