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
	terms := r.Gate.Enter(call)
	if a := terms.Refusal; a != nil {
		refusal := *a
		if refusal.Wait = min(refusal.Wait, r.Decide.Limits.MaxRetryAfter); !r.Decide.Limits.RetryAfter {
			refusal.Wait = 0
		}
		return terms, &refusal
	}
	return terms, nil
}

// shorten holds the call's time down to the terms'.
func (t *task) shorten() {
	if d := t.terms.Deadline; d > 0 && d < t.call.Budget {
		t.less, t.call.Budget = t.call.Budget-d, d
	}
}

// again tells whether the terms allow a further attempt beside those that are out.
func (t *task) again(out int) bool {
	if t.terms.Attempts > 0 && t.tries >= t.terms.Attempts {
		return false
	}
	return !t.terms.Once || out == 0 && !t.ran
}

// exhausted is the answer of a call that the terms let go out no more, while nothing of it is out.
func (t *task) exhausted() *protocol.Answer {
	if t.ran {
		return &protocol.Answer{Verdict: protocol.Failed}
	}
	return &protocol.Answer{Verdict: protocol.Refused}
}

// mayHaveRun tells what an attempt's outcome leaves open.
func mayHaveRun(s decide.Status) bool {
	return s != decide.Full && s != decide.ConnectFailed && s != decide.Moot
}

// close gives the final answer what the terms add to it, and tells the gate.
func (t *task) close(a protocol.Answer, answered bool) protocol.Answer {
	a.Header += t.terms.Header
	if told := t.terms.Written; told != nil {
		verdict := a.Verdict
		a.Written = func() { told(verdict) }
	}
	if t.terms.Ended != nil {
		t.terms.Ended(End{Verdict: a.Verdict, Left: !answered, Ran: t.ran || a.Verdict == protocol.Served})
	}
	return a
}
