package decide

import (
	"math"
	"time"
)

// Slow start. A warming server falls when the fleet sends it more than a multiple of what it can do. No
// sidecar knows what the others send, so each holds credit for the server: its requests earn the credit, and
// a send costs a whole one. See docs/fleet.md for the figures.

// share is the least part of its capacity that a server can have by now (rule four).
func (b *Balancer) share(s *server) float64 {
	if s.Started == 0 || b.c.Safety.WarmAfter <= 0 {
		return 1
	}
	age := float64(max(b.now-s.Started, 0)) / float64(b.c.Safety.WarmAfter)
	return min(1, b.c.Safety.StartShare+(1-b.c.Safety.StartShare)*age)
}

// earn gives each warming server its credit for one request, shed or not: the chance it would have had in its
// tier's usual size, cut to the share of its capacity it must have.
func (b *Balancer) earn() {
	mean := (b.tiers[0].ref + b.tiers[1].ref) / float64(max(len(b.zones), 1)) // weight of a zone
	for i := range b.tiers {
		t := &b.tiers[i]
		for _, s := range t.warming {
			if s.in == nil {
				continue
			}
			// a small zone gets no more calls than others
			usual := s.weight / max(t.ref, mean)
			if b.partial(t) { // see owed: no draw sees that one is late, or of a slow kind
				usual *= min(1, 1/b.expected(s))
			}
			b.forfeit(s)
			s.credit = min(s.credit+usual*b.share(s)*b.coldShare(s), 1)
		}
	}
}

// forfeit takes a whole credit back that has not been spent for long. Sidecars that keep theirs until a jam
// spend them all in it. Where they are so few that this much is left to chance, they may.
func (b *Balancer) forfeit(s *server) {
	kept := time.Duration(creditKept * float64(b.c.Safety.TipAfter))
	switch {
	case s.credit < 1:
		s.wholeAt = b.now
	case b.now-s.wholeAt > kept && !b.fewSidecars(s):
		s.credit, s.wholeAt = 0, b.now
	}
}

// fewSidecars tells whether a whole credit of each sidecar fits into what the rule leaves to chance. Where
// the settings do not tell their number they may be many.
func (b *Balancer) fewSidecars(s *server) bool {
	allowed := b.c.Safety.FallMultiple * b.doable(s)
	chance := 2*math.Sqrt(allowed) + 2
	if allowed < fewRequests {
		chance = 3*math.Sqrt(allowed) + 3
	}
	return b.c.Balancers > 0 && float64(b.c.Balancers) <= chance
}

// doable is how many requests of mean work a server is sure to do in the span in which it may fall; 0 where
// the work is not known yet.
func (b *Balancer) doable(s *server) float64 {
	work := b.meanWork()
	if work <= 0 {
		return 0
	}
	return b.share(s) * b.c.Safety.TipAfter.Seconds() / work
}

// coldShare is what a warming server may be given of its usual share. What comes in the span in which it may
// fall scatters by the root of its number: few long requests need more room under the multiple than many.
func (b *Balancer) coldShare(s *server) float64 {
	doable := b.doable(s)
	if doable <= 0 {
		return coldLeast
	}
	room := coldRoomMany
	if b.fewSidecars(s) {
		room = coldRoom
	}
	root := (math.Sqrt(room*room+4*b.c.Safety.FallMultiple*doable) - room) / 2
	return min(max(root*root/doable, coldLeast), coldMost)
}
