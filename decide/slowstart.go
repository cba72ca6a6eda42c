package decide

import (
	"math"
	"time"
)

// Slow start. A warming server fails when all balancers together send it more than a multiple of its
// present capacity. No balancer knows what the others send, so each keeps a credit for every warming
// server: its requests earn fractions of a credit, and an attempt costs a whole one. See docs/fleet.md for
// the figures.

// minCapacityShare is the least share of its full capacity that a server has by now (safety rule 4).
func (b *Balancer) minCapacityShare(s *server) float64 {
	if s.Started == 0 || b.config.Safety.WarmAfter <= 0 {
		return 1
	}
	age := float64(max(b.now-s.Started, 0)) / float64(b.config.Safety.WarmAfter)
	return min(1, b.config.Safety.StartShare+(1-b.config.Safety.StartShare)*age)
}

// earnCredit adds to each warming server the credit for one request, whether that is shed or not: the
// probability that the server would be drawn in a tier of the usual size, scaled to the capacity it is
// guaranteed to have.
func (b *Balancer) earnCredit() {
	zoneWeight := (b.tiers[0].referenceWeight + b.tiers[1].referenceWeight) /
		float64(max(len(b.zones), 1)) // mean weight of a zone
	for i := range b.tiers {
		t := &b.tiers[i]
		for _, s := range t.warming {
			if s.pool == nil {
				continue
			}
			// A small zone gets no more requests than others, so it is counted with the mean weight.
			usualShare := s.weight / max(t.referenceWeight, zoneWeight)
			if b.usesSubset(t) { // warmingWithCredit skips the draw and with it the latency preference
				usualShare *= min(1, 1/b.expectedLatencyRatio(s))
			}
			b.expireCredit(s)
			s.credit = min(s.credit+usualShare*b.minCapacityShare(s)*b.slowStartShare(s), 1)
		}
	}
}

// expireCredit removes a whole credit that has not been spent for some time. Balancers that save theirs up
// would spend them all at once in an overload. They keep it where they are so few that this stays within
// the margin.
func (b *Balancer) expireCredit(s *server) {
	retention := time.Duration(creditRetention * float64(b.config.Safety.OverloadWindow))
	switch {
	case s.credit < 1:
		s.fullCreditSince = b.now
	case b.now-s.fullCreditSince > retention && !b.fewBalancers(s):
		s.credit, s.fullCreditSince = 0, b.now
	}
}

// fewBalancers reports whether one whole credit of each balancer fits into the margin that the rule leaves
// for random variation. If their number is not configured there may be many.
func (b *Balancer) fewBalancers(s *server) bool {
	allowed := b.config.Safety.FallMultiple * b.windowCapacity(s)
	margin := 2*math.Sqrt(allowed) + 2
	if allowed < smallRequestCount {
		margin = 3*math.Sqrt(allowed) + 3
	}
	return b.config.Balancers > 0 && float64(b.config.Balancers) <= margin
}

// windowCapacity is the number of requests of mean work that a server can handle for certain within the
// overload window (Safety.OverloadWindow); 0 while the mean work is unknown.
func (b *Balancer) windowCapacity(s *server) float64 {
	work := b.meanWork()
	if work <= 0 {
		return 0
	}
	return b.minCapacityShare(s) * b.config.Safety.OverloadWindow.Seconds() / work
}

// slowStartShare is the part of its usual share that a warming server gets. The number of requests in the
// overload window varies by its square root, so a few long requests need more margin than many short ones.
func (b *Balancer) slowStartShare(s *server) float64 {
	capacity := b.windowCapacity(s)
	if capacity <= 0 {
		return minSlowStartShare
	}
	margin := slowStartMarginMany
	if b.fewBalancers(s) {
		margin = slowStartMargin
	}
	root := (math.Sqrt(margin*margin+4*b.config.Safety.FallMultiple*capacity) - margin) / 2
	return min(max(root*root/capacity, minSlowStartShare), maxSlowStartShare)
}
