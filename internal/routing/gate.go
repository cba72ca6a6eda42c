package routing

import (
	"time"

	"burlpass/decide"
	"burlpass/internal/protocol"
)

// Gate says what rules hold for calls. It is asked from many goroutines, and must not wait.
type Gate interface {
	// Enter is asked once about each call, before the module hears of it. The terms hold until the call's end, whatever
	// changes meanwhile.
	Enter(call *protocol.Call) Terms
}

// Terms are what holds for one call. They only ever make stricter what its class and the settings allow; the zero value says nothing.
type Terms struct {
	// Refusal is the call's answer, where it is to have one at once: it reaches neither the module nor a worker. A Wait in it is
	// left out or held down as the settings say. Its Header stands, that below is not added.
	Refusal *protocol.Answer

	Attempts int           // attempts at most; 0: nothing is said
	Once     bool          // no further attempt unless it is sure that none before it ran
	Deadline time.Duration // for the whole call; 0: nothing is said
	Header   string        // whole header lines for the final answer, each with its line's end; the gate has checked them

	// Written is told where the final answer, which has Header, has been written whole to the client; nil for nobody.
	Written func(protocol.Verdict)

	// Ended is told once how the call has ended, on its goroutine; nil for nobody. It is not told of a refusal.
	Ended func(End)
}

// End is how a call has ended.
type End struct {
	Verdict protocol.Verdict // Failed where the client has left
	Left    bool             // the client left before there was an answer
	Ran     bool             // it may have run at a worker
}

// admit asks the gate. The answer is the call's where there is one.
func (r *Router) admit(call *protocol.Call) (Terms, *protocol.Answer) {
	policy := r.Gate.Enter(call)
	if answer := policy.Refusal; answer != nil {
		refusal := *answer
		if refusal.Wait = min(refusal.Wait, r.Decide.Limits.MaxRetryAfter); !r.Decide.Limits.RetryAfter {
			refusal.Wait = 0
		}
		return policy, &refusal
	}
	return policy, nil
}

// shorten holds the call's time down to the terms'.
func (c *activeCall) applyDeadline() {
	if deadline := c.policy.Deadline; deadline > 0 && deadline < c.call.Budget {
		c.budgetReduction, c.call.Budget = c.call.Budget-deadline, deadline
	}
}

// again tells whether the terms allow a further attempt beside those that are out.
func (c *activeCall) allowsAttempt(inFlight int) bool {
	if c.policy.Attempts > 0 && c.attempts >= c.policy.Attempts {
		return false
	}
	return !c.policy.Once || inFlight == 0 && !c.mayHaveRun
}

// exhausted is the answer of a call that the terms let go out no more, while nothing of it is out.
func (c *activeCall) exhaustedAnswer() *protocol.Answer {
	if c.mayHaveRun {
		return &protocol.Answer{Verdict: protocol.Failed}
	}
	return &protocol.Answer{Verdict: protocol.Refused}
}

// mayHaveRun tells what an attempt's outcome leaves open.
func mayHaveRun(status decide.Status) bool {
	return status != decide.Full && status != decide.ConnectFailed && status != decide.Moot
}

// close gives the final answer what the terms add to it, and tells the gate.
func (c *activeCall) finish(answer protocol.Answer, answered bool) protocol.Answer {
	answer.Header += c.policy.Header
	if onWritten := c.policy.Written; onWritten != nil {
		verdict := answer.Verdict
		answer.Written = func() { onWritten(verdict) }
	}
	if c.policy.Ended != nil {
		c.policy.Ended(End{Verdict: answer.Verdict, Left: !answered, Ran: c.mayHaveRun || answer.Verdict == protocol.Served})
	}
	return answer
}
