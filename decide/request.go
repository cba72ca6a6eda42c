package decide

import "time"

func (b *Balancer) request(e *Event) {
	if b.requests[e.ID] != nil || e.Class < 0 || e.Class >= len(b.classes) {
		return
	}
	k := &b.classes[e.Class]
	aim := k.Aim + time.Duration(k.AimStretch*float64(e.Work))
	r := &request{id: e.ID, class: k, start: b.now, end: b.now + e.Budget, aim: b.now + min(aim, e.Budget),
		tenant: min(max(e.Tenant, 0), len(b.usage)-1), long: e.Long, tries: make([]attempt, 0, 2)}
	b.requests[e.ID] = r
	b.tokens = min(retryBurst, b.tokens+retryShare)
	b.earn()
	if p := b.shedShare(r); p > 0 && b.rng.Float64() < p {
		for i := range b.tiers { // heavy shedding leaves few attempts to feel that a jam is over
			t := &b.tiers[i]
			if t.unfelt++; t.unfelt > unfeltMost && b.out == 0 {
				t.load, t.debt = t.load*unfeltFade, t.debt*unfeltFade
			}
		}
		b.answer(r)
		return
	}
	b.dispatch(r)
}

// dispatch sends the next attempt, or holds the request a little, or gives it up.
func (b *Balancer) dispatch(r *request) {
	if s := b.pick(r); s != nil {
		b.send(r, s)
		return
	}
	if r.out > 0 {
		return
	}
	step := min(holdStep, r.end-b.now-b.c.Tick)
	if step <= 0 || len(r.tries) >= b.c.Limits.MaxAttempts || b.late(r) || !b.runsAgain(r) {
		b.answer(r) // nothing is held back that no wait can help
		return
	}
	b.wake(step, tokHold, 0, r.id)
}

// late tells that no further attempt can still earn anything.
func (b *Balancer) late(r *request) bool {
	end := r.aim
	if r.class.LateWorth > 0 {
		end = r.end
	}
	return b.now+time.Duration(0.7*r.class.base*float64(time.Second)) > end
}

func (b *Balancer) send(r *request, s *server) {
	r.tries = append(r.tries, attempt{s: s, at: s.Server, sent: b.now, open: true})
	a := Action{Kind: Send, ID: r.id, Server: s.ID}
	if first := r.first(); r.class.Effect == Keyed && (first.sent < b.now || b.c.Limits.SecondCopies) {
		a.Before = first.sent + r.class.Window
	}
	b.act(a)
	if s.tier.since == 0 {
		s.tier.since = b.now // silence counts from the first attempt
	}
	r.out++
	b.out++
	s.out++
	if b.share(s) < 1 {
		s.credit--
	}
	if !r.long {
		b.wake(b.patience(r), tokOverdue, len(r.tries)-1, r.id)
	}
}

// patience is how long an attempt may take before it is overdue: against learned latency, and early enough
// to leave room for another one before the aim.
func (b *Balancer) patience(r *request) time.Duration {
	k := r.class
	// The wider latencies scatter, the likelier it is the server that is stuck and not the work that is long.
	d := k.mean + (overdueDevs-min(max(2*k.dev/k.mean-1, 0), 1))*k.dev
	if room := (r.aim - b.now).Seconds() - 1.5*k.mean; d > room {
		d = max(room, 1.5*k.mean)
	}
	return time.Duration(d*float64(time.Second)) + b.c.Tick
}

func (b *Balancer) timer(token uint64) {
	id := token & tokID
	r, s := b.requests[id], b.servers[ServerID(id)]
	switch kind := token >> tokKind; {
	case kind == tokOverdue && r != nil:
		b.overdueAt(r, int(token>>tokTry&0xff))
	case kind == tokHold && r != nil && r.out == 0 && !r.over:
		b.dispatch(r)
	case kind == tokServer && s != nil && s.in == &s.tier.bad && b.now >= s.until:
		b.readmit(s)
	case kind == tokWatch:
		b.act(Action{Kind: Watch, On: true})
	}
}

// overdueAt treats an attempt that is out for longer than it should be: the server is not drawn while it is
// out, and another attempt is made if that can still help and the retry budget allows.
func (b *Balancer) overdueAt(r *request, i int) {
	if i >= len(r.tries) || !r.tries[i].open || r.tries[i].overdue {
		return
	}
	t := &r.tries[i]
	t.overdue = true
	t.s.overdue++
	b.miss(t.s)
	b.learnSpeed(t.s, r.class, (b.now - t.sent).Seconds())
	b.sample(t.s, ((b.now-t.sent).Seconds()-r.class.base)/b.slack(r))
	if r.over || b.tokens < 1 || b.pressure(t.s.tier) > 0 || b.late(r) ||
		len(r.tries) >= b.c.Limits.MaxAttempts || r.class.Effect == Unsafe {
		return
	}
	if b.c.Limits.SecondCopies {
		if s := b.pick(r); s != nil && (t.s.strikes > 0 || t.s.overdue > 1) {
			b.tokens--
			b.send(r, s)
		}
	} else if b.c.Limits.Cancel && (t.s.strikes > 0 || t.s.overdue > 1) {
		b.tokens--
		r.resend = true
		b.act(Action{Kind: Cancel, ID: r.id, Attempt: i})
	}
}

func (b *Balancer) outcome(e *Event) {
	r := b.requests[e.ID]
	if r == nil || e.Attempt < 0 || e.Attempt >= len(r.tries) || !r.tries[e.Attempt].open {
		return
	}
	t := &r.tries[e.Attempt]
	s := t.s
	t.open = false
	r.out--
	b.out--
	if s.out--; t.overdue {
		s.overdue--
	}
	t.ran = e.Status != Full && e.Status != ConnectFailed && e.Status != Moot
	if t.at.Started == s.Started && s.State != Gone { // else the process that it tells of is no more
		b.judge(r, t, e)
	}
	if e.Done || r.over {
		b.finish(r)
		return
	}
	if r.out > 0 {
		return
	}
	// Soon seen, or already paid for, or no sign of load.
	cheap := e.Status == ConnectFailed || e.Status >= Moot || r.resend
	r.resend = false
	over := b.now >= r.end || b.late(r) || len(r.tries) >= b.c.Limits.MaxAttempts || !b.runsAgain(r)
	if over || !cheap && b.tokens < 1 {
		b.answer(r)
		return
	}
	if !cheap {
		b.tokens--
	}
	b.dispatch(r)
}
