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
type activeCall struct {
	id         uint64
	call       *protocol.Call
	deadline   time.Time // when the client gives up
	commands   chan command
	attempts   int         // attempts so far
	clientLeft atomic.Bool // the client has left: nothing new may go out

	policy          Terms         // what the gate said, once
	budgetReduction time.Duration // that the terms take of the client's time
	mayHaveRun      bool          // an attempt has ended that may have run
	firstRun        firstRun      // the earliest of those
}

// ordersPerTry bounds the orders for one attempt: its send, a cancel, and a second one when the call ends.
const commandsPerAttempt = 3

// order is an action of the module for one request.
type command struct {
	decide.Action
	peer       transport.Peer // with Send: the backend's process as it was listed at the choice; zero where it is not listed
	zone, cell int            // where that is
}

// order puts an action into the mailbox. It is called under the router's lock and never waits. The mailbox
// holds all that a module may rightly order; past that an order is dropped, and the call ends as overdue.
func (c *activeCall) enqueue(cmd command) {
	select {
	case c.commands <- cmd:
	default:
	}
}

// attempt is one send of a request to a backend.
type attempt struct {
	protocol.Delegation
	number          int
	worker          decide.ServerID
	startedAt       time.Time
	deadline        time.Time // of the attempt's or the call's time
	router          *Router
	activeCall      *activeCall
	command         command
	initialDeadline time.Time // the end as it was at the beginning, for the goroutine that writes
	timedOut        bool      // given up for that
	newConnection   bool      // went over a connection opened for it
	complete        bool      // its answer has been read whole
}

// maxTries bounds a mailbox where a deployment allows attempts without end, and the copies that are out together.
const maxAttempts = 32

// overtime is how long after a call's end the router waits for the module's own answer. The module gives
// one at the end; that it should not is a fault, and the client is answered all the same.
const answerGrace = 20 * time.Millisecond

// copies is how many attempts of a call may be out together.
func (r *Router) maxInFlight() int {
	if r.Decide.Limits.SecondCopies {
		return min(max(r.Decide.Limits.MaxAttempts, 1), maxAttempts)
	}
	return 1
}

// Serve is the life of a call, from being taken to its one final answer. At each point of choice an event
// goes to the module (enter, tell), and the module's orders come back through the call's mailbox. The first whole
// answer of a worker is the call's; what else is out is called off then, and how it ended is told all the same.
func (r *Router) Serve(call *protocol.Call) protocol.Answer {
	active := &activeCall{call: call}
	if r.Gate != nil {
		var refusal *protocol.Answer
		if active.policy, refusal = r.admit(call); refusal != nil {
			return *refusal
		}
		active.applyDeadline()
	}
	r.addCall(active) // the module is told of the call, and chooses
	defer r.removeCall(active)
	overdue := time.NewTimer(call.Budget + answerGrace)
	defer overdue.Stop()
	timeout := time.NewTimer(call.Budget) // the next end of an attempt's time
	defer timeout.Stop()

	maxInFlight := r.maxInFlight()
	inFlight := make([]*attempt, 0, 2)                  // the attempts that are out
	results := make(chan transport.Result, maxInFlight) // theirs; there is room for all, so that none waits
	var final *protocol.Answer                          // the answer, once chosen
	clientLeft, endCalls := call.Left, r.endCalls
	var uploadComplete <-chan struct{} // the rest of a long message has come
	if call.Upload != nil {
		uploadComplete = call.Upload.Whole()
	}
	handleClientLeft := func() {
		clientLeft = nil
		active.clientLeft.Store(true)
		r.dispatch(decide.Event{Kind: decide.Left, ID: active.id}) // the module may call the attempts off
	}
	for {
		select {
		case cmd := <-active.commands:
			switch {
			case cmd.Kind == decide.Send && len(inFlight) < maxInFlight && final == nil && active.allowsAttempt(len(inFlight)) && r.allowsRepeat(active, inFlight, cmd):
				a := r.startAttempt(active, cmd, results)
				inFlight = append(inFlight, a)
				if cmd.Timeout != 0 || !a.startedAt.Before(a.deadline) { // else the call's own end, which it is set to
					timeout.Reset(time.Until(earliestDeadline(inFlight)))
				}
			case cmd.Kind == decide.Send: // no copy beside another where that is not allowed, nor anything after the answer or the terms
				if len(inFlight) == 0 && final == nil {
					final = active.exhaustedAnswer()
				}
				r.dispatch(active.outcomeEvent(&attempt{number: active.attempts, worker: cmd.Server}, decide.Moot, final != nil))
				active.attempts++
			case cmd.Kind == decide.Cancel && (clientLeft == nil || active.allowsAttempt(0) && !active.policy.Once): // else it is called off to be sent again
				for _, a := range inFlight {
					if a.number == cmd.Attempt {
						a.Abort()
					}
				}
			case cmd.Kind == decide.Refuse:
				final = &protocol.Answer{Verdict: protocol.Refused, Wait: cmd.Wait}
			case cmd.Kind == decide.Fail:
				final = &protocol.Answer{Verdict: protocol.Failed}
				if !time.Now().Before(active.deadline) {
					final.Verdict = protocol.Expired
				}
			}
			if final != nil {
				abortAll(inFlight) // the answer is chosen; what is out is called off, and its outcome told below
			}

		case result := <-results:
			index := slices.IndexFunc(inFlight, func(a *attempt) bool { return a.number == result.Tag })
			a := inFlight[index]
			inFlight = slices.Delete(inFlight, index, index+1)
			if clientLeft != nil && active.clientLeft.Load() { // seen right before the first byte
				handleClientLeft()
			}
			a.newConnection, a.complete = result.Sent && !result.Kept, result.Err == nil
			status := a.status(result, clientLeft == nil)
			if mayHaveRun(status) {
				active.mayHaveRun = true
				active.firstRun.record(a)
			}
			switch {
			case status == decide.OK && final == nil:
				a.Reply.Rest = result.Rest
				final = &protocol.Answer{Verdict: protocol.Served, Reply: a.Reply, End: active.deadline}
				abortAll(inFlight)
			case result.Rest != nil:
				result.Rest.Close(false)
			case final == nil && call.Upload != nil && call.Upload.Begun(): // it cannot be sent again
				final = &protocol.Answer{Verdict: protocol.Failed}
				if status == decide.Full || status == decide.ConnectFailed || status == decide.Moot {
					final.Verdict = protocol.Refused
				}
			}
			r.dispatch(active.outcomeEvent(a, status, final != nil || clientLeft == nil)) // the module chooses what comes next

		case <-timeout.C:
			now := time.Now()
			active.extendDeadline(inFlight)
			for _, a := range inFlight {
				if !now.Before(a.deadline) {
					a.timedOut = true
					a.Abort()
				}
			}
			if next := earliestDeadline(inFlight); next.After(now) {
				timeout.Reset(next.Sub(now))
			}

		case <-uploadComplete:
			uploadComplete = nil
			for _, a := range inFlight {
				a.startedAt = time.Now() // what comes from now on is the worker's time
			}

		case <-clientLeft:
			handleClientLeft()

		case <-overdue.C:
			if active.extendDeadline(inFlight); time.Now().Before(active.deadline) {
				overdue.Reset(time.Until(active.deadline) + answerGrace)
				continue
			}
			r.Log.Error("call_overdue", "call", active.id, "attempts", active.attempts)
			final = r.giveUp(active, inFlight)

		case <-endCalls:
			endCalls = nil
			if final == nil {
				final = r.giveUp(active, inFlight)
			}
		}
		if len(inFlight) == 0 && (final != nil || clientLeft == nil) {
			if final == nil {
				return active.finish(protocol.Answer{}, false) // for nobody
			}
			return active.finish(*final, true)
		}
	}
}

// giveUp ends a call without asking the module, which is told that it is over.
func (r *Router) giveUp(active *activeCall, inFlight []*attempt) *protocol.Answer {
	r.dispatch(decide.Event{Kind: decide.Left, ID: active.id})
	abortAll(inFlight)
	return &protocol.Answer{Verdict: protocol.Expired}
}

// extend moves the end of a call whose client still sends.
func (c *activeCall) extendDeadline(inFlight []*attempt) {
	if c.call.Upload == nil {
		return
	}
	c.deadline = c.call.Upload.End().Add(-c.budgetReduction)
	for _, a := range inFlight {
		a.deadline = c.deadline
	}
}

// abort calls attempts off. Their connections are closed when it returns, and their results are there.
func abortAll(inFlight []*attempt) {
	for _, a := range inFlight {
		a.Abort()
	}
}

// earliest is the next end of an attempt's time, the zero time where none is out.
func earliestDeadline(inFlight []*attempt) (deadline time.Time) {
	for _, a := range inFlight {
		if !a.timedOut && (deadline.IsZero() || a.deadline.Before(deadline)) {
			deadline = a.deadline
		}
	}
	return deadline
}

// enter makes a call known and tells the module of it.
func (r *Router) addCall(active *activeCall) {
	call := active.call
	active.deadline = time.Now().Add(call.Budget)
	active.commands = make(chan command, commandsPerAttempt*min(r.Decide.Limits.MaxAttempts, maxAttempts)+1)
	r.mu.Lock()
	r.lastCall++
	active.id = r.lastCall
	r.calls[active.id] = active
	actions := r.handle(decide.Event{Kind: decide.Request, ID: active.id, Class: call.Class, Tenant: call.Tenant, Long: call.Upload != nil,
		Budget: call.Budget, Repeat: call.Repeat, Write: call.Write})
	r.mu.Unlock()
	r.execute(actions)
}

func (r *Router) removeCall(active *activeCall) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.calls, active.id)
}

// startAttempt sends a request to the backend that the module chose. Its result goes to results, under its number.
func (r *Router) startAttempt(active *activeCall, cmd command, results chan transport.Result) *attempt {
	now := time.Now()
	a := &attempt{number: active.attempts, worker: cmd.Server, startedAt: now, deadline: active.deadline, router: r, activeCall: active, command: cmd}
	if timeout := now.Add(cmd.Timeout); cmd.Timeout != 0 && timeout.Before(active.deadline) {
		a.deadline = timeout
	}
	a.initialDeadline = a.deadline
	active.attempts++
	destination := protocol.Return{To: results, Tag: a.number}
	if cmd.peer == (transport.Peer{}) {
		a.Delegation = protocol.Revoked(transport.ErrRevoked, destination)
		return a
	}
	a.Delegation = r.Workers.Start(cmd.peer, active.call.Message, a.initialDeadline, a, destination)
	return a
}

// present tells, right before an attempt's first byte, that the client has not left.
func (c *activeCall) clientPresent() bool {
	if !c.clientLeft.Load() && c.call.Present != nil && !c.call.Present() {
		c.clientLeft.Store(true)
	}
	return !c.clientLeft.Load()
}

// outcome is the module's event for how an attempt ended.
func (c *activeCall) outcomeEvent(a *attempt, status decide.Status, done bool) decide.Event {
	event := decide.Event{Kind: decide.Outcome, ID: c.id, Attempt: a.number, Server: a.worker, Status: status, Done: done}
	if a.Reply != nil && status != decide.Moot {
		event.Latency = time.Since(a.startedAt)
	}
	if a.complete { // of one that was called off, its connection's goroutine may still be reading the answer
		event.Load = a.Reply.Load
	}
	event.Fresh = a.newConnection
	return event
}

// status says how an attempt ended. One that was dropped because its client had left says nothing of the
// worker, and must not be held against it.
func (a *attempt) status(result transport.Result, clientLeft bool) decide.Status {
	if clientLeft && !result.Sent {
		return decide.Moot
	}
	if result.Err != nil {
		return failureStatus(result, a.timedOut)
	}
	switch a.Reply.Kind {
	case protocol.ReplyServed:
		return decide.OK
	case protocol.ReplyFull:
		return decide.Full
	}
	return decide.Errored
}

// failureStatus is the outcome of an exchange without an answer. Only one whose last byte never went out is
// reported as never run: everything else may have run, and must not go out again unless its class allows.
func failureStatus(result transport.Result, timedOut bool) decide.Status {
	switch {
	case errors.Is(result.Err, transport.ErrAborted) && result.Sent && timedOut:
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
