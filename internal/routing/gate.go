package routing

import (
	"time"

	"burlpass/decide"
	"burlpass/internal/protocol"
)

// Gate sets the terms of calls. It is called from many goroutines and must not block.
type Gate interface {
	// Admit is called once for each call, before the balancer. The terms hold until the call's end, even if the rules
	// change in the meantime.
	Admit(call *protocol.Call) CallPolicy
}

// CallPolicy restricts one call further than its class and the settings do; it never allows more. The zero value restricts
// nothing.
type CallPolicy struct {
	// Refusal, if not nil, is the immediate answer to the call, which then reaches neither the balancer nor a worker. Its
	// Wait is dropped or capped as the settings say. The Header below is not added to it.
	Refusal *protocol.Answer

	Attempts   int           // maximum number of attempts; 0 for no limit
	AtMostOnce bool          // no further attempt unless certainly none before it was executed
	Deadline   time.Duration // for the whole call; 0 for no limit
	Header     string        // complete header lines for the final answer, each with its line ending; validated by the gate

	// Written is called when the final answer with Header has been written to the client in full; may be nil.
	Written func(protocol.Verdict)

	// Ended is called once when the call has ended, on the call's goroutine; may be nil. It is not called for a refusal.
	Ended func(CallResult)
}

// CallResult describes how a call ended.
type CallResult struct {
	Verdict    protocol.Verdict // Failed if the client left
	ClientLeft bool             // the client left before there was an answer
	MayHaveRun bool             // a worker may have executed it
}

// admit asks the gate for the terms of a call. An answer that is not nil is the call's final one.
func (r *Router) admit(call *protocol.Call) (CallPolicy, *protocol.Answer) {
	policy := r.Gate.Admit(call)
	if answer := policy.Refusal; answer != nil {
		refusal := *answer
		if refusal.Wait = min(refusal.Wait, r.Decide.Limits.MaxRetryAfter); !r.Decide.Limits.RetryAfter {
			refusal.Wait = 0
		}
		return policy, &refusal
	}
	return policy, nil
}

// applyDeadline shortens the call's time to the deadline of its terms.
func (c *activeCall) applyDeadline() {
	if deadline := c.policy.Deadline; deadline > 0 && deadline < c.call.Budget {
		c.budgetReduction, c.call.Budget = c.call.Budget-deadline, deadline
	}
}

// allowsAttempt reports whether the terms allow a further attempt beside those in flight.
func (c *activeCall) allowsAttempt(inFlight int) bool {
	if c.policy.Attempts > 0 && c.attempts >= c.policy.Attempts {
		return false
	}
	return !c.policy.AtMostOnce || inFlight == 0 && !c.mayHaveRun
}

// exhaustedAnswer returns the answer of a call without attempts in flight whose terms allow no further attempt.
func (c *activeCall) exhaustedAnswer() *protocol.Answer {
	if c.mayHaveRun {
		return &protocol.Answer{Verdict: protocol.Failed}
	}
	return &protocol.Answer{Verdict: protocol.Refused}
}

// mayHaveRun reports whether a worker may have executed an attempt that ended with this status.
func mayHaveRun(status decide.Status) bool {
	return status != decide.Full && status != decide.ConnectFailed && status != decide.NotRun
}

// finish adds the header and callback of the terms to the final answer and notifies the gate.
func (c *activeCall) finish(answer protocol.Answer, answered bool) protocol.Answer {
	answer.Header += c.policy.Header
	answer.Forwarded = c.forwarded
	if onWritten := c.policy.Written; onWritten != nil {
		verdict := answer.Verdict
		answer.Written = func() { onWritten(verdict) }
	}
	if c.policy.Ended != nil {
		c.policy.Ended(CallResult{Verdict: answer.Verdict, ClientLeft: !answered, MayHaveRun: c.mayHaveRun || answer.Verdict == protocol.Served})
	}
	return answer
}
