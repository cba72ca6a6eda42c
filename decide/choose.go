package decide

import "math"

// preference scales a server's chance to be drawn, from 0 to 1, by its outstanding attempts and its relative
// latency. It biases the random choice and never excludes a server.
func (b *Balancer) preference(s *server) float64 {
	f := 1.0
	if p := s.pool; s.outstanding > 0 && p != nil {
		f = math.Pow(
			1+float64(s.outstanding)*p.totalWeight/(s.weight*float64(len(p.members))), -outstandingExponent)
	}
	slow := max(1, b.expectedLatencyRatio(s)/minLatencyRatio)
	return f / (slow * slow)
}

// expectedLatencyRatio estimates a server's latency relative to the mean of the request class. The server's
// own measurement fades with age towards the average of its machine kind.
func (b *Balancer) expectedLatencyRatio(s *server) float64 {
	prior := b.statsFor(s).meanLatency
	if s.latencyRatioAt == 0 {
		return prior
	}
	return prior + (s.latencyRatio-prior)*
		math.Exp2(-float64(b.now-s.latencyRatioAt)/float64(latencyRatioHalfLife))
}

// draw picks an eligible server at random by weight and preference, or returns nil. Without allowWarming it
// skips servers in slow start.
func (b *Balancer) draw(list []*server, r *request, allowWarming bool) *server {
	var fallback *server
	var fallbackChance float64
	if len(list) == 0 {
		return nil
	}
	for range maxDraws {
		s := list[b.rng.IntN(len(list))]
		if s.overdue > 0 || r.tried(s) || !b.maySend(r, s) || s.pool != &s.tier.active {
			continue
		}
		if !allowWarming && b.minCapacityShare(s) < 1 {
			continue
		}
		chance := s.weight * b.preference(s)
		if b.rng.Float64()*b.maxWeight < chance {
			return s
		}
		if chance > fallbackChance {
			fallback, fallbackChance = s, chance
		}
	}
	return fallback
}

// pickServer chooses the server of the next attempt. It returns nil if none is eligible.
func (b *Balancer) pickServer(r *request) *server {
	if first := r.firstPossiblyRun(); first != nil && r.class.Effect == Keyed && r.class.Group != GroupAll {
		if r.class.Group == GroupCell {
			return b.draw(b.cells[first.listed.Cell], r, true)
		}
		return b.draw(b.zones[first.listed.Zone], r, true)
	}
	for i := range b.tiers { // before any draw, so that a tier that is never drawn from recovers too
		if s := b.pickTrial(&b.tiers[i], r); s != nil {
			return s
		}
	}
	for i := range b.tiers {
		t := &b.tiers[i]
		if available := b.availableShare(t) * overprovisioning; available < 1 &&
			b.rng.Float64() >= available {
			continue
		}
		if i == 0 && b.shouldSpill(r) {
			continue
		}
		if s := b.warmingWithCredit(t, r); s != nil {
			return s
		}
		if s := b.draw(b.subset(t), r, true); s != nil {
			return s
		}
		if s := b.draw(t.active.members, r, true); s != nil {
			return s
		}
	}
	for i := range b.tiers { // no tier took the request: try warm servers only, then any server (panic mode)
		if s := b.draw(b.tiers[i].active.members, r, false); s != nil {
			return s
		}
	}
	for i := range b.tiers {
		for _, p := range []*pool{&b.tiers[i].active, &b.tiers[i].halfOpen, &b.tiers[i].ejected} {
			for range min(len(p.members), maxDraws) {
				s := p.members[b.rng.IntN(len(p.members))]
				if !r.tried(s) && b.minCapacityShare(s) >= 1 && b.maySend(r, s) {
					return s
				}
			}
		}
	}
	return nil
}

// warmingWithCredit returns a warming server for which this balancer has saved a whole credit, or nil. The
// subset holds few warming servers, so without this their credit would stay unused while warm servers are
// overloaded.
func (b *Balancer) warmingWithCredit(t *tier, r *request) *server {
	if len(t.warming) == 0 || !b.usesSubset(t) {
		return nil
	}
	from := b.rng.IntN(len(t.warming))
	for i := range min(len(t.warming), maxDraws) {
		s := t.warming[(from+i)%len(t.warming)]
		if s.credit >= 1 && s.outstanding == 0 && s.pool == &t.active && !r.tried(s) && b.maySend(r, s) {
			return s
		}
	}
	return nil
}

// subset returns the servers of a tier that this balancer draws from: as many as its traffic keeps connected.
// With little traffic, drawing from all servers would open a connection for nearly every request and would
// spend a request to detect each failed server. The order is random for each balancer.
func (b *Balancer) subset(t *tier) []*server {
	if !b.usesSubset(t) {
		return t.active.members
	}
	b.subsetBuffer = b.subsetBuffer[:0]
	for _, s := range t.order {
		if s.pool == &t.active {
			if b.subsetBuffer = append(b.subsetBuffer, s); len(b.subsetBuffer) == b.subsetSize() {
				break
			}
		}
	}
	return b.subsetBuffer
}

// subsetSize is how many servers of a tier this balancer's traffic keeps connected.
func (b *Balancer) subsetSize() int {
	return max(minSubsetSize, int(b.requestRate*b.config.IdleClose.Seconds()/sendsPerSubsetServer))
}

// usesSubset reports whether the balancer draws from a subset of the tier.
func (b *Balancer) usesSubset(t *tier) bool {
	return b.config.IdleClose > 0 && b.subsetSize() < len(t.active.members)
}

// shouldSpill reports whether a request leaves its own zone because of load: either every server there has
// noticeably more outstanding work than one elsewhere, or the zone's queueing delay is higher. The request
// has to be worth the price of crossing.
func (b *Balancer) shouldSpill(r *request) bool {
	if len(b.tiers[1].active.members) == 0 {
		return false
	}
	b.updateCrossZoneShare()
	ownPressure, otherPressure := b.pressure(&b.tiers[0]), b.pressure(&b.tiers[1])
	if b.suspectsOutage(&b.tiers[0]) && !b.suspectsOutage(&b.tiers[1]) {
		ownPressure = max(ownPressure, outageSpillShare)
	}
	spillShare := b.crossZoneShare
	if gap := ownPressure - otherPressure; gap > minSpillGap {
		spillShare += gap
	}
	ownOutstanding, otherOutstanding := b.minOutstanding(&b.tiers[0]), b.minOutstanding(&b.tiers[1])
	busier := float64(ownOutstanding-otherOutstanding)*b.meanWork() > minQueueSaving*b.shortestAim()
	busier = busier && (ownOutstanding > 1 || b.decayedLoad(&b.tiers[0]) > minCrossingLoad)
	return b.worthCrossing(r) && (busier || b.rng.Float64() < spillShare)
}

// updateCrossZoneShare integrates the load difference between the zones into the share of requests that leave
// the own zone. Spilling by pressure alone follows the current difference, so a small zone could shed most of
// its load only while a large difference lasted.
func (b *Balancer) updateCrossZoneShare() {
	step := min(b.now-b.crossZoneShareAt, crossZoneMaxStep)
	b.crossZoneShareAt = b.now
	gap := b.decayedLoad(&b.tiers[0]) - b.decayedLoad(&b.tiers[1]) - crossZoneMinGap
	b.crossZoneShare *= math.Exp(-float64(step) / float64(crossZoneDecay))
	b.crossZoneShare = min(max(b.crossZoneShare+gap*step.Seconds()/crossZoneRiseTime.Seconds(), 0),
		crossZoneMaxShare)
}

// decayedLoad is a tier's load signal, decayed by the age of its last sample.
func (b *Balancer) decayedLoad(t *tier) float64 {
	return t.load * math.Exp2(-float64(b.now-t.loadUpdatedAt)/float64(2*loadMemory))
}

// worthCrossing compares the expected gain of having another zone serve the request with the price of
// crossing.
func (b *Balancer) worthCrossing(r *request) bool {
	return maxCrossingCost*r.class.Worth >= b.config.Prices.CrossZone*b.meanWorth
}

// pickTrial offers a half-open server one request at a time. Where the deployment has requests that are
// safe to repeat, only those are used.
func (b *Balancer) pickTrial(t *tier, r *request) *server {
	unsuitable := b.hasSafeClass && r.class.Effect != Safe
	if len(r.attempts) > 0 || len(t.halfOpen.members) == 0 || unsuitable ||
		b.rng.Float64() >= trialProbability {
		return nil
	}
	s := t.halfOpen.members[b.rng.IntN(len(t.halfOpen.members))]
	if s.outstanding > 0 || !b.maySend(r, s) {
		return nil
	}
	return s
}
