// Package invariant counts and logs violations of the guarantees that the sidecar gives to its clients, its backends and
// the platform. Each is checked at run time, next to the code that enforces it. A count above 0 means a bug in the
// program, or a machine that stalled the process for longer than the rules allow.
package invariant

import (
	"log/slog"
	"sync/atomic"
)

// Rule is one invariant.
type Rule uint8

// The rules.
const (
	StoppedClientEnded Rule = iota // a client that stops sending mid-request gets an error or a close in time
	AnsweredInTime                 // a request gets its final response before the client's deadline
	ClientPresent                  // an attempt starts only while its client is connected
	BackendListed                  // an attempt starts only while its backend is listed as up or within the drain grace period
	WithinDeadline                 // an attempt starts only before the client's deadline
	RepeatAllowed                  // a request that may have run is retried only as its class allows
	DeadlineTold                   // the deadline sent to a backend is no later than the client's
	ExitInTime                     // the process exits before the platform may kill it
	ruleCount
)

var ruleNames = [ruleCount]string{
	StoppedClientEnded: "stopped_client_ended", AnsweredInTime: "answered_in_time", ClientPresent: "client_present",
	BackendListed: "backend_listed", WithinDeadline: "within_deadline", RepeatAllowed: "repeat_allowed",
	DeadlineTold: "deadline_told", ExitInTime: "exit_in_time",
}

// String returns the rule's name as it is logged.
func (r Rule) String() string {
	if r < ruleCount {
		return ruleNames[r]
	}
	return "unknown"
}

// ViolationEvent is the name of the log event of a violation.
const ViolationEvent = "invariant_broken"

// Monitor counts and logs violations. A nil Monitor does nothing. It is safe for concurrent use.
type Monitor struct {
	log    *slog.Logger
	counts [ruleCount]atomic.Int64
}

// NewMonitor returns a Monitor that logs to log.
func NewMonitor(log *slog.Logger) *Monitor { return &Monitor{log: log} }

// ReportViolation counts a violation and logs it with the request's ID and further attributes as key-value pairs.
func (m *Monitor) ReportViolation(rule Rule, requestID string, attrs ...any) {
	if m == nil {
		return
	}
	m.counts[rule].Add(1)
	m.log.Error(ViolationEvent, append([]any{"rule", rule.String(), "id", requestID}, attrs...)...)
}

// Count returns the number of violations of a rule.
func (m *Monitor) Count(rule Rule) int64 {
	if m == nil {
		return 0
	}
	return m.counts[rule].Load()
}

// Total returns the number of violations of all rules.
func (m *Monitor) Total() (n int64) {
	for rule := range ruleCount {
		n += m.Count(rule)
	}
	return n
}
