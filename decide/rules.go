package decide

import "time"

// The rules. Every send and every refusal passes here, whatever the policy wants.

// first is the earliest attempt that may have run or is still out.
func (r *request) first() *attempt {
	for i := range r.tries {
		if r.tries[i].open || r.tries[i].ran {
			return &r.tries[i]
		}
	}
	return nil
}

// runsAgain tells whether a further attempt is lawful at any server at all, as to effects.
func (b *Balancer) runsAgain(r *request) bool {
	first := r.first()
	if first == nil || r.class.Effect == Safe {
		return true
	}
	return r.class.Effect == Keyed && b.now+b.c.ConnectTime < first.sent+r.class.Window
}

// repeatable tells whether a further attempt at s is lawful as to effects.
func (b *Balancer) repeatable(r *request, s *server) bool {
	first := r.first()
	if first == nil || r.class.Effect == Safe {
		return true
	}
	if !b.runsAgain(r) {
		return false
	}
	sameZone := r.class.Group != GroupZone || s.Zone == first.at.Zone
	sameCell := r.class.Group != GroupCell || s.Cell == first.at.Cell
	return sameZone && sameCell
}

// maySend is the gate of every send: live request, listed ready server (drains are kept at once, the grace
// is never used), attempts left, no forbidden second copy, no effect twice, no cold server pushed over.
func (b *Balancer) maySend(r *request, s *server) bool {
	return !r.over && b.now < r.end && len(r.tries) < b.c.Limits.MaxAttempts && s.in != nil &&
		(r.out == 0 || b.c.Limits.SecondCopies) && b.repeatable(r, s) && (b.share(s) >= 1 || s.credit >= 1)
}

// mayRefuse tells whether "trying again is harmless" would be true.
func (b *Balancer) mayRefuse(r *request) bool {
	return r.first() == nil || r.class.Effect == Safe ||
		r.class.Effect == Keyed && r.class.Group == GroupAll
}

// answer gives the final answer, as a refusal where that is lawful. While the aim can still be met the
// client may come back at once; after that each further try is load for nothing.
func (b *Balancer) answer(r *request) {
	if r.over {
		return
	}
	if b.mayRefuse(r) {
		wait := time.Duration(0)
		if b.late(r) {
			wait = b.c.Limits.MaxRetryAfter
		}
		b.act(Action{Kind: Refuse, ID: r.id, Wait: wait})
	} else {
		b.act(Action{Kind: Fail, ID: r.id})
	}
	b.finish(r)
}

// finish drops a request once it is over and its attempts are closed; attempts still out are called off.
func (b *Balancer) finish(r *request) {
	if !r.over && b.c.Limits.Cancel {
		for i := range r.tries {
			if r.tries[i].open {
				b.act(Action{Kind: Cancel, ID: r.id, Attempt: i})
			}
		}
	}
	r.over = true
	if r.out == 0 {
		delete(b.requests, r.id)
	}
}
