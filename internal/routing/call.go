package routing

import (
	"errors"
	"slices"
	"sync/atomic"
	"time"

	"burlpass/decide"
	"burlpass/internal/protocol"
	"burlpass/internal/transport"
)

// task is one open call. Its fields belong to the call's goroutine, but for the mailbox.
type task struct {
	id     uint64
	call   *protocol.Call
	end    time.Time // when the client gives up
	orders chan order
	tries  int         // attempts so far
	gone   atomic.Bool // the client has left: nothing new may go out

	terms Terms         // what the gate said, once
	less  time.Duration // that the terms take of the client's time
	ran   bool          // an attempt has ended that may have run
	first firstRun      // the earliest of those
}

// ordersPerTry bounds the orders for one attempt: its send, a cancel, and a second one when the call ends.
const ordersPerTry = 3

// order is an action of the module for one request.
type order struct {
	decide.Action
	peer       transport.Peer // with Send: the backend's process as it was listed at the choice; zero where it is not listed
	zone, cell int            // where that is
}

// order puts an action into the mailbox. It is called under the router's lock and never waits. The mailbox
// holds all that a module may rightly order; past that an order is dropped, and the call ends as overdue.
func (t *task) order(o order) {
	select {
	case t.orders <- o:
	default:
	}
}

// attempt is one send of a request to a backend.
type attempt struct {
	protocol.Delegation
	try      int
	worker   decide.ServerID
	begun    time.Time
	end      time.Time // of the attempt's or the call's time
	router   *Router
	task     *task
	order    order
	deadline time.Time // the end as it was at the beginning, for the goroutine that writes
	expired  bool      // given up for that
	fresh    bool      // went over a connection opened for it
	whole    bool      // its answer has been read whole
}

// maxTries bounds a mailbox where a deployment allows attempts without end, and the copies that are out together.
const maxTries = 32

// overtime is how long after a call's end the router waits for the module's own answer. The module gives
// one at the end; that it should not is a fault, and the client is answered all the same.
const overtime = 20 * time.Millisecond

// copies is how many attempts of a call may be out together.
func (r *Router) copies() int {
	if r.Decide.Limits.SecondCopies {
		return min(max(r.Decide.Limits.MaxAttempts, 1), maxTries)
	}
	return 1
}

// Serve is the life of a call, from being taken to its one final answer. At each point of choice an event
// goes to the module (enter, tell), and the module's orders come back through the call's mailbox. The first whole
// answer of a worker is the call's; what else is out is called off then, and how it ended is told all the same.
func (r *Router) Serve(call *protocol.Call) protocol.Answer {
	t := &task{call: call}
	if r.Gate != nil {
		var refusal *protocol.Answer
		if t.terms, refusal = r.admit(call); refusal != nil {
			return *refusal
		}
		t.shorten()
	}
	r.enter(t) // the module is told of the call, and chooses
	defer r.leave(t)
	overdue := time.NewTimer(call.Budget + overtime)
	defer overdue.Stop()
	timeout := time.NewTimer(call.Budget) // the next end of an attempt's time
	defer timeout.Stop()

	copies := r.copies()
	out := make([]*attempt, 0, 2)                  // the attempts that are out
	results := make(chan transport.Result, copies) // theirs; there is room for all, so that none waits
	var final *protocol.Answer                     // the answer, once chosen
	left, ending := call.Left, r.ending
	var whole <-chan struct{} // the rest of a long message has come
	if call.Upload != nil {
		whole = call.Upload.Whole()
	}
	leave := func() {
		left = nil
		t.gone.Store(true)
		r.tell(decide.Event{Kind: decide.Left, ID: t.id}) // the module may call the attempts off
	}
	for {
		select {
		case a := <-t.orders:
			switch {
			case a.Kind == decide.Send && len(out) < copies && final == nil && t.again(len(out)) && r.lawful(t, out, a):
				d := r.startAttempt(t, a, results)
				out = append(out, d)
				if a.Timeout != 0 || !d.begun.Before(d.end) { // else the call's own end, which it is set to
					timeout.Reset(time.Until(earliest(out)))
				}
			case a.Kind == decide.Send: // no copy beside another where that is not allowed, nor anything after the answer or the terms
				if len(out) == 0 && final == nil {
					final = t.exhausted()
				}
				r.tell(t.outcome(&attempt{try: t.tries, worker: a.Server}, decide.Moot, final != nil))
				t.tries++
			case a.Kind == decide.Cancel && (left == nil || t.again(0) && !t.terms.Once): // else it is called off to be sent again
				for _, d := range out {
					if d.try == a.Attempt {
						d.Abort()
					}
				}
			case a.Kind == decide.Refuse:
				final = &protocol.Answer{Verdict: protocol.Refused, Wait: a.Wait}
			case a.Kind == decide.Fail:
				final = &protocol.Answer{Verdict: protocol.Failed}
				if !time.Now().Before(t.end) {
					final.Verdict = protocol.Expired
				}
			}
			if final != nil {
				abort(out) // the answer is chosen; what is out is called off, and its outcome told below
			}

		case result := <-results:
			at := slices.IndexFunc(out, func(d *attempt) bool { return d.try == result.Tag })
			d := out[at]
			out = slices.Delete(out, at, at+1)
			if left != nil && t.gone.Load() { // seen right before the first byte
				leave()
			}
			d.fresh, d.whole = result.Sent && !result.Kept, result.Err == nil
			status := d.status(result, left == nil)
			if mayHaveRun(status) {
				t.ran = true
				t.first.note(d)
			}
			switch {
			case status == decide.OK && final == nil:
				d.Reply.Rest = result.Rest
				final = &protocol.Answer{Verdict: protocol.Served, Reply: d.Reply, End: t.end}
				abort(out)
			case result.Rest != nil:
				result.Rest.Close(false)
			case final == nil && call.Upload != nil && call.Upload.Begun(): // it cannot be sent again
				final = &protocol.Answer{Verdict: protocol.Failed}
				if status == decide.Full || status == decide.ConnectFailed || status == decide.Moot {
					final.Verdict = protocol.Refused
				}
			}
			r.tell(t.outcome(d, status, final != nil || left == nil)) // the module chooses what comes next

		case <-timeout.C:
			now := time.Now()
			t.extend(out)
			for _, d := range out {
				if !now.Before(d.end) {
					d.expired = true
					d.Abort()
				}
			}
			if next := earliest(out); next.After(now) {
				timeout.Reset(next.Sub(now))
			}

		case <-whole:
			whole = nil
			for _, d := range out {
				d.begun = time.Now() // what comes from now on is the worker's time
			}

		case <-left:
			leave()

		case <-overdue.C:
			if t.extend(out); time.Now().Before(t.end) {
				overdue.Reset(time.Until(t.end) + overtime)
				continue
			}
			r.Log.Error("call_overdue", "call", t.id, "attempts", t.tries)
			final = r.giveUp(t, out)

		case <-ending:
			ending = nil
			if final == nil {
				final = r.giveUp(t, out)
			}
		}
		if len(out) == 0 && (final != nil || left == nil) {
			if final == nil {
				return t.close(protocol.Answer{}, false) // for nobody
			}
			return t.close(*final, true)
		}
	}
}

// giveUp ends a call without asking the module, which is told that it is over.
func (r *Router) giveUp(t *task, out []*attempt) *protocol.Answer {
	r.tell(decide.Event{Kind: decide.Left, ID: t.id})
	abort(out)
	return &protocol.Answer{Verdict: protocol.Expired}
}

// extend moves the end of a call whose client still sends.
func (t *task) extend(out []*attempt) {
	if t.call.Upload == nil {
		return
	}
	t.end = t.call.Upload.End().Add(-t.less)
	for _, d := range out {
		d.end = t.end
	}
}

// abort calls attempts off. Their connections are closed when it returns, and their results are there.
func abort(out []*attempt) {
	for _, d := range out {
		d.Abort()
	}
}

// earliest is the next end of an attempt's time, the zero time where none is out.
func earliest(out []*attempt) (at time.Time) {
	for _, d := range out {
		if !d.expired && (at.IsZero() || d.end.Before(at)) {
			at = d.end
		}
	}
	return at
}

// enter makes a call known and tells the module of it.
func (r *Router) enter(t *task) {
	call := t.call
	t.end = time.Now().Add(call.Budget)
	t.orders = make(chan order, ordersPerTry*min(r.Decide.Limits.MaxAttempts, maxTries)+1)
	r.mu.Lock()
	r.lastCall++
	t.id = r.lastCall
	r.calls[t.id] = t
	rest := r.handle(decide.Event{Kind: decide.Request, ID: t.id, Class: call.Class, Tenant: call.Tenant, Long: call.Upload != nil,
		Budget: call.Budget, Repeat: call.Repeat, Write: call.Write})
	r.mu.Unlock()
	r.carryOut(rest)
}

func (r *Router) leave(t *task) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.calls, t.id)
}

// startAttempt sends a request to the backend that the module chose. Its result goes to results, under its number.
func (r *Router) startAttempt(t *task, o order, results chan transport.Result) *attempt {
	now := time.Now()
	d := &attempt{try: t.tries, worker: o.Server, begun: now, end: t.end, router: r, task: t, order: o}
	if at := now.Add(o.Timeout); o.Timeout != 0 && at.Before(t.end) {
		d.end = at
	}
	d.deadline = d.end
	t.tries++
	back := protocol.Return{To: results, Tag: d.try}
	if o.peer == (transport.Peer{}) {
		d.Delegation = protocol.Revoked(transport.ErrRevoked, back)
		return d
	}
	d.Delegation = r.Workers.Start(o.peer, t.call.Message, d.deadline, d, back)
	return d
}

// present tells, right before an attempt's first byte, that the client has not left.
func (t *task) present() bool {
	if !t.gone.Load() && t.call.Present != nil && !t.call.Present() {
		t.gone.Store(true)
	}
	return !t.gone.Load()
}

// outcome is the module's event for how an attempt ended.
func (t *task) outcome(d *attempt, status decide.Status, over bool) decide.Event {
	e := decide.Event{Kind: decide.Outcome, ID: t.id, Attempt: d.try, Server: d.worker, Status: status, Done: over}
	if d.Reply != nil && status != decide.Moot {
		e.Latency = time.Since(d.begun)
	}
	if d.whole { // of one that was called off, its connection's goroutine may still be reading the answer
		e.Load = d.Reply.Load
	}
	e.Fresh = d.fresh
	return e
}

// status says how an attempt ended. One that was dropped because its client had left says nothing of the
// worker, and must not be held against it.
func (a *attempt) status(result transport.Result, gone bool) decide.Status {
	if gone && !result.Sent {
		return decide.Moot
	}
	if result.Err != nil {
		return failed(result, a.expired)
	}
	switch a.Reply.Kind {
	case protocol.ReplyServed:
		return decide.OK
	case protocol.ReplyFull:
		return decide.Full
	}
	return decide.Errored
}

// failed is the outcome of an exchange without an answer. Only one whose last byte never went out is
// reported as never run: everything else may have run, and must not go out again unless its class allows.
func failed(result transport.Result, expired bool) decide.Status {
	switch {
	case errors.Is(result.Err, transport.ErrAborted) && result.Sent && expired:
		return decide.TimedOut
	case errors.Is(result.Err, transport.ErrAborted) && result.Sent:
		return decide.Cancelled
	case result.Sent && (protocol.IsMalformed(result.Err) || errors.Is(result.Err, transport.ErrEarly)):
		return decide.Spoilt // the worker did answer
	case !result.Sent && errors.Is(result.Err, transport.ErrLocal):
		return decide.Moot // never ran, and says nothing of the worker
	case errors.Is(result.Err, transport.ErrAborted), errors.Is(result.Err, transport.ErrCrowded), errors.Is(result.Err, transport.ErrSource),
		errors.Is(result.Err, transport.ErrRevoked), errors.Is(result.Err, transport.ErrEarly):
		return decide.Moot // says nothing of the worker
	case result.Sent && result.Kept: // its worker may have closed it meanwhile
		return decide.Stale
	case result.Sent:
		return decide.Reset
	}
	return decide.ConnectFailed
}
