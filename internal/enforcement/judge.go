package enforcement

import (
	"time"

	"burlpass/internal/protocol"
	"burlpass/internal/routing"
	"burlpass/internal/rules"
)

// leastWait is advised where nobody can tell when a call may pass.
const leastWait = time.Second

// counted are the limits that a call counts against, the nearest of each setting first.
func counted(t *rules.Table, v *rules.Verdict) (ids []string) {
	if v.Rate == rules.NoLimit && v.Calls == rules.NoLimit {
		return nil
	}
	ids = make([]string, 0, 8)
	for _, l := range [...]rules.Limit{v.Rate, v.Calls} {
		for l != rules.NoLimit {
			var id string
			id, _, l = t.Limit(l)
			ids = append(ids, id)
		}
	}
	return ids
}

// terms are what the table says of a call that passes. They only ever make stricter what its class allows.
func terms(v *rules.Verdict, budget time.Duration) (out routing.CallPolicy) {
	out.Attempts, out.AtMostOnce = int(v.Attempts), !v.Repeat
	if v.Deadline < budget {
		out.Deadline = v.Deadline
	}
	return out
}

// refused is the answer to a call that a rule refuses; wait is after how long it may pass, 0 where that cannot be told.
func refused(wait time.Duration) *protocol.Answer {
	if wait <= 0 {
		wait = leastWait
	}
	return &protocol.Answer{Verdict: protocol.Limited, Wait: wait}
}
