package enforcement

import (
	"time"

	"burlpass/internal/protocol"
	"burlpass/internal/routing"
	"burlpass/internal/rules"
)

// defaultWait is the advised wait when it is unknown when a call would be admitted.
const defaultWait = time.Second

// limitIDs returns the limits that a call counts against: those on its rate, then those on concurrent calls, each nearest
// namespace first.
func limitIDs(table *rules.Table, verdict *rules.Verdict) (ids []string) {
	if verdict.Rate == rules.NoLimit && verdict.Calls == rules.NoLimit {
		return nil
	}
	ids = make([]string, 0, 8)
	for _, limit := range [...]rules.Limit{verdict.Rate, verdict.Calls} {
		for limit != rules.NoLimit {
			var id string
			id, _, limit = table.Limit(limit)
			ids = append(ids, id)
		}
	}
	return ids
}

// termsFor returns the terms of an admitted call. They only ever tighten what its class allows.
func termsFor(verdict *rules.Verdict, budget time.Duration) (terms routing.CallPolicy) {
	terms.Attempts, terms.AtMostOnce = int(verdict.Attempts), !verdict.Repeat
	if verdict.Deadline < budget {
		terms.Deadline = verdict.Deadline
	}
	return terms
}

// limitedAnswer returns the answer to a call that a rule refuses. wait is the time until it may be admitted, 0 if unknown.
func limitedAnswer(wait time.Duration) *protocol.Answer {
	if wait <= 0 {
		wait = defaultWait
	}
	return &protocol.Answer{Verdict: protocol.Limited, Wait: wait}
}
