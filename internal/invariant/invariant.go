// Package invariant counts and logs what must never happen: each rule that the sidecar owes to its clients, its backends and
// the platform is checked at run time where it could be broken, beside the code that keeps it. A count above 0 is a fault of
// the program, or of a machine that held the process up for longer than the rules allow for.
package invariant

import (
	"log/slog"
	"sync/atomic"
)

// Rule is one invariant.
type Rule uint8

// The rules.
const (
	StoppedClientEnded Rule = iota // a client that stops within a request gets an error or a close in time
	AnsweredInTime                 // a request gets its final answer in its client's time
	ClientPresent                  // an attempt begins only while its client is there
	BackendListed                  // an attempt begins only while its backend is listed up, with the grace on drains
	WithinDeadline                 // an attempt begins only within its client's time
	RepeatAllowed                  // what may have run goes out again only as its class allows
	DeadlineTold                   // a backend is told no more time than its client has left
	ExitInTime                     // the process ends before the platform may kill it
	rules
)

var names = [rules]string{
	StoppedClientEnded: "stopped_client_ended", AnsweredInTime: "answered_in_time", ClientPresent: "client_present",
	BackendListed: "backend_listed", WithinDeadline: "within_deadline", RepeatAllowed: "repeat_allowed",
	DeadlineTold: "deadline_told", ExitInTime: "exit_in_time",
}

// String is the rule's name, as the log has it.
func (r Rule) String() string {
	if r < rules {
		return names[r]
	}
	return "unknown"
}

// Event is the log event of a violation.
const Event = "invariant_broken"

// Monitor counts and logs violations. A nil Monitor does nothing. It is safe for concurrent use.
type Monitor struct {
	log    *slog.Logger
	counts [rules]atomic.Int64
}

// NewMonitor returns a Monitor that logs to log.
func NewMonitor(log *slog.Logger) *Monitor { return &Monitor{log: log} }

// Broken counts a violation and logs it with the request's id and what was known, as pairs of names and values.
func (m *Monitor) Broken(rule Rule, request string, known ...any) {
	if m == nil {
		return
	}
	m.counts[rule].Add(1)
	m.log.Error(Event, append([]any{"rule", rule.String(), "id", request}, known...)...)
}

// Count is how often a rule was broken.
func (m *Monitor) Count(rule Rule) int64 {
	if m == nil {
		return 0
	}
	return m.counts[rule].Load()
}

// Total is how often any rule was broken.
func (m *Monitor) Total() (n int64) {
	for rule := range rules {
		n += m.Count(rule)
	}
	return n
}
