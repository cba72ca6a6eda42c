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

// activeCall is the state of one open call. Its fields belong to the call's goroutine, except for commands and clientLeft.
type activeCall struct {
	id         uint64
	call       *protocol.Call
	deadline   time.Time // when the client stops waiting
	commands   chan command
	attempts   int         // number of attempts so far
	clientLeft atomic.Bool // no further attempt may start

	clientUnknown atomic.Bool // an attempt did not start since it is unknown whether the client is still connected

	policy          CallPolicy    // the gate's terms, set once
	budgetReduction time.Duration // by which the terms shorten the client's time
	forwarded       bool          // an attempt has been written completely
	mayHaveRun      bool          // an attempt has ended that the worker may have executed
	firstRun        firstRun      // the earliest of those attempts
}

// commandsPerAttempt bounds the commands for one attempt: a send, a cancel, and a second cancel when the call ends.
const commandsPerAttempt = 3

// command is an action of the balancer for one call.
type command struct {
	decide.Action
	peer       transport.Peer // with Send: the worker's process as listed when it was chosen; zero if not listed
	zone, cell int            // location of the chosen worker
}

// enqueue adds a command to the call's queue. It never blocks; the caller holds the router's lock. The queue has room for
// every command that the balancer can validly issue. Beyond that a command is dropped, and the call ends as overdue.
func (c *activeCall) enqueue(cmd command) {
	select {
	case c.commands <- cmd:
	default:
	}
}

// attempt is one sending of a call to a worker.
type attempt struct {
	protocol.WorkerAttempt
	number          int
	worker          decide.ServerID
	startedAt       time.Time
	deadline        time.Time // the earlier of the attempt's timeout and the call's deadline
	router          *Router
	activeCall      *activeCall
	command         command
	initialDeadline time.Time // deadline at the start; unlike deadline it is safe to read on the connection's goroutine
	timedOut        bool      // aborted because the deadline passed
	newConnection   bool      // sent over a connection opened for it
	complete        bool      // the answer has been read in full
	chosen          bool      // its reply is the call's answer
}

// maxAttempts bounds the command queue, where the settings allow any number of attempts, and the attempts in flight.
const maxAttempts = 32

// answerGrace is how long after a call's deadline the router waits for the balancer's answer. The balancer gives one at
// the deadline; if it fails to, the router answers the client itself.
const answerGrace = 20 * time.Millisecond

// maxInFlight returns how many attempts of one call may be in flight together.
func (r *Router) maxInFlight() int {
	if r.Decide.Limits.SecondCopies {
		return min(max(r.Decide.Limits.MaxAttempts, 1), maxAttempts)
	}
	return 1
}

// Serve handles a call until its one final answer. Each decision is an event for the balancer (addCall, dispatch), whose
// commands come back through the call's queue. The first complete answer of a worker becomes the call's answer. Other
// attempts in flight are then aborted; the balancer is still notified of how they ended.
func (r *Router) Serve(call *protocol.Call) protocol.Answer {
	active := &activeCall{call: call}
	if r.Gate != nil {
		var refusal *protocol.Answer
		if active.policy, refusal = r.admit(call); refusal != nil {
			return *refusal
		}
		active.applyDeadline()
	}
	r.addCall(active) // the balancer's first command is queued by now
	defer r.removeCall(active)
	overdue := time.NewTimer(call.Budget + answerGrace)
	defer overdue.Stop()
	timeout := time.NewTimer(call.Budget) // fires at the earliest deadline of an attempt
	defer timeout.Stop()

	maxInFlight := r.maxInFlight()
	inFlight := make([]*attempt, 0, 2)                  // attempts without a result yet
	results := make(chan transport.Result, maxInFlight) // of the attempts; buffered for all of them, so that no sender blocks
	var final *protocol.Answer                          // the final answer, once decided
	clientLeft, endCalls := call.ClientLeft, r.endCalls
	var uploadComplete <-chan struct{} // closed when the rest of a long message has been read
	if call.Upload != nil {
		uploadComplete = call.Upload.Complete()
	}
	handleClientLeft := func() {
		clientLeft = nil
		active.clientLeft.Store(true)
		r.dispatch(decide.Event{Kind: decide.ClientLeft, ID: active.id}) // the balancer may cancel the attempts
	}
	for {
		select {
		case cmd := <-active.commands:
			switch {
			case cmd.Kind == decide.Send && len(inFlight) < maxInFlight && final == nil &&
				active.allowsAttempt(len(inFlight)) && r.allowsRepeat(active, inFlight, cmd):
				a := r.startAttempt(active, cmd, results)
				inFlight = append(inFlight, a)
				if cmd.Timeout != 0 || !a.startedAt.Before(a.deadline) { // otherwise the timer is already set to the call's deadline
					timeout.Reset(time.Until(earliestDeadline(inFlight)))
				}
			case cmd.Kind == decide.Send: // not allowed beside those in flight, after the final answer, or by the terms
				if len(inFlight) == 0 && final == nil {
					final = active.exhaustedAnswer()
				}
				r.dispatch(active.outcomeEvent(&attempt{number: active.attempts, worker: cmd.Server}, decide.NotRun, final != nil))
				active.attempts++
			case cmd.Kind == decide.Cancel &&
				(clientLeft == nil || active.allowsAttempt(0) && !active.policy.AtMostOnce): // otherwise it would be cancelled only to be sent again
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
				abortAll(inFlight) // the balancer is notified below, when the results arrive
			}

		case result := <-results:
			index := slices.IndexFunc(inFlight, func(a *attempt) bool { return a.number == result.Tag })
			a := inFlight[index]
			inFlight = slices.Delete(inFlight, index, index+1)
			if clientLeft != nil && active.clientLeft.Load() { // noticed right before the first byte of an attempt
				handleClientLeft()
			}
			active.forwarded = active.forwarded || result.Sent
			a.newConnection, a.complete = result.Sent && !result.Reused, result.Err == nil
			status := a.status(result, clientLeft == nil)
			if mayHaveRun(status) {
				active.mayHaveRun = true
				active.firstRun.record(a)
			}
			switch {
			case status == decide.OK && final == nil:
				a.Reply.Rest = result.Rest
				final = &protocol.Answer{Verdict: protocol.Served, Reply: a.Reply, Deadline: active.deadline}
				abortAll(inFlight)
				a.chosen = true
			case result.Rest != nil:
				result.Rest.Close(false)
			case final == nil && active.clientUnknown.Load():
				final = active.exhaustedAnswer()
				abortAll(inFlight)
			case final == nil && call.Upload != nil && call.Upload.ReadStarted(): // part of the message was passed on and cannot be sent again
				final = &protocol.Answer{Verdict: protocol.Failed}
				if status == decide.Full || status == decide.ConnectFailed || status == decide.NotRun {
					final.Verdict = protocol.Refused
				}
			}
			r.dispatch(active.outcomeEvent(a, status, final != nil || clientLeft == nil)) // the balancer decides what comes next
			if a.complete && !a.chosen {                                                  // of an aborted attempt, the connection's goroutine gives it back
				a.Reply.Release()
			}

		case <-timeout.C:
			now := time.Now()
			active.abortTimedOut(inFlight, now)
			if next := earliestDeadline(inFlight); next.After(now) {
				timeout.Reset(next.Sub(now))
			}

		case <-uploadComplete:
			uploadComplete = nil
			for _, a := range inFlight {
				a.startedAt = time.Now() // latency counts from the end of the upload
			}

		case <-clientLeft:
			handleClientLeft()

		case <-overdue.C:
			active.abortTimedOut(inFlight, time.Now())
			if len(results) > 0 || len(active.commands) > 0 { // this process is late, not the balancer
				overdue.Reset(answerGrace)
				continue
			}
			if time.Now().Before(active.deadline) {
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
				return active.finish(protocol.Answer{}, false) // the client has left: nobody receives it
			}
			return active.finish(*final, true)
		}
	}
}

// giveUp ends a call without a decision of the balancer, which is notified that the call is over.
func (r *Router) giveUp(active *activeCall, inFlight []*attempt) *protocol.Answer {
	r.dispatch(decide.Event{Kind: decide.ClientLeft, ID: active.id})
	abortAll(inFlight)
	return &protocol.Answer{Verdict: protocol.Expired}
}

// extendDeadline moves the deadline of a call while its client is still sending.
func (c *activeCall) extendDeadline(inFlight []*attempt) {
	if c.call.Upload == nil {
		return
	}
	c.deadline = c.call.Upload.Deadline().Add(-c.budgetReduction)
	for _, a := range inFlight {
		a.deadline = c.deadline
	}
}

// abortTimedOut aborts the attempts whose deadline has passed.
func (c *activeCall) abortTimedOut(inFlight []*attempt, now time.Time) {
	c.extendDeadline(inFlight)
	for _, a := range inFlight {
		if !now.Before(a.deadline) {
			a.timedOut = true
			a.Abort()
		}
	}
}

// abortAll aborts attempts. When it returns, their connections are closed and their results available.
func abortAll(inFlight []*attempt) {
	for _, a := range inFlight {
		a.Abort()
	}
}

// earliestDeadline returns the earliest deadline of attempts that have not timed out, or the zero time if there are none.
func earliestDeadline(inFlight []*attempt) (deadline time.Time) {
	for _, a := range inFlight {
		if !a.timedOut && (deadline.IsZero() || a.deadline.Before(deadline)) {
			deadline = a.deadline
		}
	}
	return deadline
}

// addCall registers a call and dispatches it to the balancer.
func (r *Router) addCall(active *activeCall) {
	call := active.call
	active.deadline = time.Now().Add(call.Budget)
	active.commands = make(chan command, commandsPerAttempt*min(r.Decide.Limits.MaxAttempts, maxAttempts)+1)
	r.mu.Lock()
	r.lastCall++
	active.id = r.lastCall
	r.calls[active.id] = active
	actions := r.handle(decide.Event{Kind: decide.Request, ID: active.id, Class: call.Class, Tenant: call.Tenant,
		Uploading: call.Upload != nil, Budget: call.Budget, Repeat: call.Repeat, Write: call.Write})
	r.mu.Unlock()
	r.execute(actions)
}

// removeCall forgets a call that has ended.
func (r *Router) removeCall(active *activeCall) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.calls, active.id)
}

// startAttempt sends a call to the worker that the balancer chose. Its result arrives on results, tagged with the
// attempt's number.
func (r *Router) startAttempt(active *activeCall, cmd command, results chan transport.Result) *attempt {
	now := time.Now()
	a := &attempt{number: active.attempts, worker: cmd.Server, startedAt: now, deadline: active.deadline,
		router: r, activeCall: active, command: cmd}
	if timeout := now.Add(cmd.Timeout); cmd.Timeout != 0 && timeout.Before(active.deadline) {
		a.deadline = timeout
	}
	a.initialDeadline = a.deadline
	active.attempts++
	destination := protocol.ResultTarget{Channel: results, Tag: a.number}
	if cmd.peer == (transport.Peer{}) {
		a.WorkerAttempt = protocol.NewFailedAttempt(transport.ErrRevoked, destination)
		return a
	}
	a.WorkerAttempt = r.Workers.Start(cmd.peer, active.call.Message, a.initialDeadline, a, destination)
	return a
}

// clientPresent reports whether the client is known to be connected. It is checked right before an attempt's first byte.
func (c *activeCall) clientPresent() bool {
	if c.clientLeft.Load() || c.call.ClientState == nil {
		return !c.clientLeft.Load()
	}
	state := c.call.ClientState()
	switch state {
	case protocol.ClientDisconnected:
		c.clientLeft.Store(true)
	case protocol.ClientUnknown:
		c.clientUnknown.Store(true)
	}
	return state == protocol.ClientConnected
}

// outcomeEvent returns the balancer's event for how an attempt ended.
func (c *activeCall) outcomeEvent(a *attempt, status decide.Status, done bool) decide.Event {
	event := decide.Event{Kind: decide.Outcome, ID: c.id, Attempt: a.number, Server: a.worker, Status: status, Done: done}
	if a.Reply != nil && status != decide.NotRun {
		event.Latency = time.Since(a.startedAt)
	}
	if a.complete { // the connection's goroutine may still be reading the answer of an aborted attempt
		event.Load = a.Reply.Load
	}
	event.NewConnection = a.newConnection
	return event
}

// status returns how an attempt ended. An attempt dropped because its client left says nothing about the worker and must
// not count against it.
func (a *attempt) status(result transport.Result, clientLeft bool) decide.Status {
	if clientLeft && !result.Sent {
		return decide.NotRun
	}
	if result.Err != nil {
		return failureStatus(result, a.timedOut)
	}
	switch a.Reply.Kind {
	case protocol.ReplyServed:
		return decide.OK
	case protocol.ReplyNeverRan:
		return decide.Full
	}
	return decide.Errored
}

// failureStatus returns the status of an exchange without an answer. Only an exchange whose last byte was not sent is
// reported as never executed: every other may have been executed and must not be repeated unless its class allows it.
func failureStatus(result transport.Result, timedOut bool) decide.Status {
	switch {
	case errors.Is(result.Err, transport.ErrAborted) && result.Sent && timedOut:
		return decide.TimedOut
	case errors.Is(result.Err, transport.ErrAborted) && result.Sent:
		return decide.Cancelled
	case result.Sent && (protocol.IsMalformed(result.Err) || errors.Is(result.Err, transport.ErrEarlyResponse)):
		return decide.Unreadable // the worker did answer, but not validly
	case !result.Sent && errors.Is(result.Err, transport.ErrLocal):
		return decide.NotRun // not executed, and says nothing about the worker
	case errors.Is(result.Err, transport.ErrAborted), errors.Is(result.Err, transport.ErrNoDescriptor),
		errors.Is(result.Err, transport.ErrIncompleteMessage), errors.Is(result.Err, transport.ErrRevoked), errors.Is(result.Err, transport.ErrEarlyResponse):
		return decide.NotRun // says nothing about the worker
	case result.Sent && result.Reused: // the worker may have closed the kept-alive connection meanwhile
		return decide.StaleConnection
	case result.Sent:
		return decide.Reset
	}
	return decide.ConnectFailed
}
