package decide

import "time"

// This file holds the safety rules. Every attempt and every refusal is checked here, whatever the policy
// chose.

// firstPossiblyRun returns the earliest attempt that is outstanding or may have run, or nil.
func (r *request) firstPossiblyRun() *attempt {
	for i := range r.attempts {
		if r.attempts[i].open || r.attempts[i].mayHaveRun {
			return &r.attempts[i]
		}
	}
	return nil
}

// mayRunAgain reports whether the effect class permits a further attempt at any server.
func (b *Balancer) mayRunAgain(r *request) bool {
	first := r.firstPossiblyRun()
	if first == nil || r.class.Effect == Safe {
		return true
	}
	return r.class.Effect == Keyed && b.now+b.config.ConnectTime < first.sentAt+r.class.Window
}

// mayRunAgainOn reports whether the effect class permits a further attempt at s.
func (b *Balancer) mayRunAgainOn(r *request, s *server) bool {
	first := r.firstPossiblyRun()
	if first == nil || r.class.Effect == Safe {
		return true
	}
	if !b.mayRunAgain(r) {
		return false
	}
	sameZone := r.class.Group != GroupZone || s.Zone == first.listed.Zone
	sameCell := r.class.Group != GroupCell || s.Cell == first.listed.Cell
	return sameZone && sameCell
}

// maySend checks every attempt: the request is not done, the server is listed as ready (a draining server
// gets nothing from the start of its drain, the grace period is not used), attempts are left, second copies
// are permitted, the request cannot take effect twice, and a warming server is not overloaded.
func (b *Balancer) maySend(r *request, s *server) bool {
	return !r.done && b.now < r.deadline && len(r.attempts) < b.config.Limits.MaxAttempts && s.pool != nil &&
		(r.outstanding == 0 || b.config.Limits.SecondCopies) &&
		b.mayRunAgainOn(r, s) && (b.minCapacityShare(s) >= 1 || s.credit >= 1)
}

// mayRefuse reports whether a retry by the client is harmless, which a refusal promises.
func (b *Balancer) mayRefuse(r *request) bool {
	return r.firstPossiblyRun() == nil || r.class.Effect == Safe ||
		r.class.Effect == Keyed && r.class.Group == GroupAll
}

// reject ends a request with a refusal where that is permitted, else with a failure. While the aim can
// still be met the client may retry at once; after that a retry would only add load.
func (b *Balancer) reject(r *request) {
	if r.done {
		return
	}
	if b.mayRefuse(r) {
		wait := time.Duration(0)
		if b.tooLate(r) {
			wait = b.config.Limits.MaxRetryAfter
		}
		b.addAction(Action{Kind: Refuse, ID: r.id, Wait: wait})
	} else {
		b.addAction(Action{Kind: Fail, ID: r.id})
	}
	b.finish(r)
}

// finish cancels the outstanding attempts of a request and removes it once all its attempts are closed.
func (b *Balancer) finish(r *request) {
	if !r.done && b.config.Limits.Cancel {
		for i := range r.attempts {
			if r.attempts[i].open {
				b.addAction(Action{Kind: Cancel, ID: r.id, Attempt: i})
			}
		}
	}
	r.done = true
	if r.outstanding == 0 {
		delete(b.requests, r.id)
	}
}
