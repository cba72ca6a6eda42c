package decide

import "time"

// handleRequest sheds a new request or sends its first attempt.
func (b *Balancer) handleRequest(e *Event) {
	if b.requests[e.ID] != nil || e.Class < 0 || e.Class >= len(b.classes) {
		return
	}
	k := &b.classes[e.Class]
	aim := k.Aim + time.Duration(k.AimStretch*float64(e.Work))
	r := &request{id: e.ID, class: k, arrivedAt: b.now,
		deadline: b.now + e.Budget, aim: b.now + min(aim, e.Budget),
		tenant: min(max(e.Tenant, 0), len(b.tenantRequests)-1), openEnded: e.Uploading,
		attempts: make([]attempt, 0, 2)}
	b.requests[e.ID] = r
	b.retryTokens = min(retryBudgetBurst, b.retryTokens+retryBudgetRatio)
	b.earnCredit()
	if p := b.shedProbability(r); p > 0 && b.rng.Float64() < p {
		for i := range b.tiers { // heavy shedding leaves few attempts to show that an overload is over
			t := &b.tiers[i]
			if t.unsampledSheds++; t.unsampledSheds > maxUnsampledSheds && b.outstanding == 0 {
				t.load, t.sustainedPressure =
					t.load*unsampledShedDecay, t.sustainedPressure*unsampledShedDecay
			}
		}
		b.reject(r)
		return
	}
	b.dispatch(r)
}

// dispatch sends the next attempt. If no server is eligible it holds the request briefly, or rejects it where
// waiting cannot help.
func (b *Balancer) dispatch(r *request) {
	if s := b.pickServer(r); s != nil {
		b.send(r, s)
		return
	}
	if r.outstanding > 0 {
		return
	}
	step := min(holdInterval, r.deadline-b.now-b.config.Tick)
	if step <= 0 || len(r.attempts) >= b.config.Limits.MaxAttempts || b.tooLate(r) || !b.mayRunAgain(r) {
		b.reject(r)
		return
	}
	b.setTimer(step, timerHold, 0, r.id)
}

// tooLate reports whether a further attempt would be answered too late to have any worth.
func (b *Balancer) tooLate(r *request) bool {
	end := r.aim
	if r.class.LateWorth > 0 {
		end = r.deadline
	}
	return b.now+time.Duration(0.7*r.class.baseLatency*float64(time.Second)) > end
}

// send starts an attempt at a server and sets the timer after which it is overdue.
func (b *Balancer) send(r *request, target *server) {
	r.attempts = append(r.attempts, attempt{target: target, listed: target.Server, sentAt: b.now, open: true})
	a := Action{Kind: Send, ID: r.id, Server: target.ID}
	if first := r.firstPossiblyRun(); r.class.Effect == Keyed &&
		(first.sentAt < b.now || b.config.Limits.SecondCopies) {
		a.SendBefore = first.sentAt + r.class.Window
	}
	b.addAction(a)
	if target.tier.silentSince == 0 {
		target.tier.silentSince = b.now // silence is measured from the first attempt
	}
	r.outstanding++
	b.outstanding++
	target.outstanding++
	if b.minCapacityShare(target) < 1 {
		target.credit--
	}
	if !r.openEnded {
		b.setTimer(b.overdueAfter(r), timerOverdue, len(r.attempts)-1, r.id)
	}
}

// overdueAfter is the time after which an attempt is overdue. It follows the measured latency and leaves
// time for another attempt before the aim where possible.
func (b *Balancer) overdueAfter(r *request) time.Duration {
	k := r.class
	// With a high variance a long delay more likely means that the server is stuck than that the work is
	// long.
	d := k.meanLatency +
		(overdueDeviations-min(max(2*k.latencyDeviation/k.meanLatency-1, 0), 1))*k.latencyDeviation
	if room := (r.aim - b.now).Seconds() - 1.5*k.meanLatency; d > room {
		d = max(room, 1.5*k.meanLatency)
	}
	return time.Duration(d*float64(time.Second)) + b.config.Tick
}

func (b *Balancer) handleTimer(token uint64) {
	id := token & tokenIDMask
	r, s := b.requests[id], b.servers[ServerID(id)]
	switch kind := token >> tokenKindShift; {
	case kind == timerOverdue && r != nil:
		b.handleOverdue(r, int(token>>tokenAttemptShift&0xff))
	case kind == timerHold && r != nil && r.outstanding == 0 && !r.done:
		b.dispatch(r)
	case kind == timerServer && s != nil && s.pool == &s.tier.ejected && b.now >= s.ejectedUntil:
		b.readmit(s)
	case kind == timerWatch:
		b.addAction(Action{Kind: Watch, On: true})
	}
}

// handleOverdue handles an attempt that takes longer than expected. Its server is not drawn until the attempt
// ends. Another attempt is made if it can still help, if there is other evidence against the server, and if
// the retry budget allows it.
func (b *Balancer) handleOverdue(r *request, index int) {
	if index >= len(r.attempts) || !r.attempts[index].open || r.attempts[index].overdue {
		return
	}
	a := &r.attempts[index]
	a.overdue = true
	a.target.overdue++
	b.recordMiss(a.target)
	b.updateServerLatency(a.target, r.class, (b.now - a.sentAt).Seconds())
	b.sampleLoad(a.target, ((b.now-a.sentAt).Seconds()-r.class.baseLatency)/b.slack(r))
	if r.done || b.retryTokens < 1 || b.pressure(a.target.tier) > 0 || b.tooLate(r) ||
		len(r.attempts) >= b.config.Limits.MaxAttempts || r.class.Effect == Unsafe {
		return
	}
	if b.config.Limits.SecondCopies {
		if s := b.pickServer(r); s != nil && (a.target.failures > 0 || a.target.overdue > 1) {
			b.retryTokens--
			b.send(r, s)
		}
	} else if b.config.Limits.Cancel && (a.target.failures > 0 || a.target.overdue > 1) {
		b.retryTokens--
		r.retryOnCancel = true
		b.addAction(Action{Kind: Cancel, ID: r.id, Attempt: index})
	}
}

// handleOutcome closes an attempt and retries, answers or finishes its request.
func (b *Balancer) handleOutcome(e *Event) {
	r := b.requests[e.ID]
	if r == nil || e.Attempt < 0 || e.Attempt >= len(r.attempts) || !r.attempts[e.Attempt].open {
		return
	}
	a := &r.attempts[e.Attempt]
	s := a.target
	a.open = false
	r.outstanding--
	b.outstanding--
	if s.outstanding--; a.overdue {
		s.overdue--
	}
	a.mayHaveRun = e.Status != Full && e.Status != ConnectFailed && e.Status != NotRun
	if a.listed.Started == s.Started && s.State != Gone { // otherwise that process no longer exists
		b.recordResult(r, a, e)
	}
	if e.Done || r.done {
		b.finish(r)
		return
	}
	if r.outstanding > 0 {
		return
	}
	// Retries that cost no token: detected early, already paid for by the cancellation, or no sign of load.
	freeRetry := e.Status == ConnectFailed || e.Status >= NotRun || r.retryOnCancel
	r.retryOnCancel = false
	exhausted := b.now >= r.deadline || b.tooLate(r) || len(r.attempts) >= b.config.Limits.MaxAttempts ||
		!b.mayRunAgain(r)
	if exhausted || !freeRetry && b.retryTokens < 1 {
		b.reject(r)
		return
	}
	if !freeRetry {
		b.retryTokens--
	}
	b.dispatch(r)
}
