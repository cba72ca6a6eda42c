package routing

import (
	"time"

	"burlpass/decide"
	"burlpass/internal/invariant"
	"burlpass/internal/transport"
)

// This file is the only place that lets an attempt start. The balancer chooses by the same rules. Each of its commands is
// checked here again against what this sidecar has observed: when it is issued, and right before the first byte.

// deadlineToldSlack is how much the remaining time sent to a worker may exceed what the client has left. The operators
// require this bound.
const deadlineToldSlack = 150 * time.Millisecond

// firstRun is the earliest attempt of a call that a worker may have executed. It decides where and until when the call may
// be repeated.
type firstRun struct {
	startedAt  time.Time // zero if no attempt may have been executed
	zone, cell int
}

// record takes an attempt that may have been executed into account.
func (f *firstRun) record(a *attempt) {
	if f.startedAt.IsZero() || a.startedAt.Before(f.startedAt) {
		*f = firstRun{a.startedAt, a.command.zone, a.command.cell}
	}
}

// mayRepeat reports whether a call of a class may have a further attempt: at any worker while no attempt may have been
// executed, otherwise as the class allows.
func (f *firstRun) mayRepeat(class *decide.Class, cmd command, now time.Time) bool {
	switch {
	case f.startedAt.IsZero() || class.Effect == decide.Safe:
		return true
	case class.Effect == decide.Unsafe || !now.Before(f.startedAt.Add(class.Window)):
		return false
	case class.Group == decide.GroupZone:
		return cmd.zone == f.zone
	case class.Group == decide.GroupCell:
		return cmd.cell == f.cell
	}
	return true
}

// allowsRepeat reports whether the rules on repeats allow a command to send. Attempts in flight count as executed.
func (r *Router) allowsRepeat(active *activeCall, inFlight []*attempt, cmd command) bool {
	first := active.firstRun
	for _, a := range inFlight {
		first.record(a)
	}
	if active.call.Class >= len(r.Decide.Classes) || first.mayRepeat(&r.Decide.Classes[active.call.Class], cmd, time.Now()) {
		return true
	}
	r.Invariants.ReportViolation(invariant.RepeatAllowed, string(active.call.ID),
		"attempt", active.attempts, "first", time.Since(first.startedAt))
	return false
}

// Ready reports, right before the attempt's first byte, whether it may still be sent: the deadline has not passed, the worker
// is listed up and is the process that was chosen, a repeat is not too late, and the client is still connected.
func (a *attempt) Ready() bool {
	streaming := a.activeCall.call.Upload != nil // its deadline moves while the client is sending
	inTime := streaming || time.Now().Before(a.initialDeadline)
	return inTime && a.activeCall.clientPresent() && a.router.mayStart(a.command) // the check of the client may take some milliseconds
}

// StartedLate checks the rules again for an attempt whose first byte was sent this long after Ready, and counts violations.
func (a *attempt) StartedLate(delay time.Duration) {
	r, active := a.router, a.activeCall
	attributes := []any{"attempt", a.number, "after", delay}
	if !active.clientPresent() && active.clientLeft.Load() {
		r.Invariants.ReportViolation(invariant.ClientPresent, string(active.call.ID), attributes...)
	}
	if !r.mayStart(a.command) && delay > r.Decide.Safety.DrainGrace {
		r.Invariants.ReportViolation(invariant.BackendListed, string(active.call.ID), attributes...)
	}
	if active.call.Upload != nil {
		return
	}
	if late := time.Since(a.initialDeadline); late > r.Decide.Safety.AnswerSlack {
		r.Invariants.ReportViolation(invariant.WithinDeadline, string(active.call.ID), append(attributes, "late", late)...)
	}
	if delay > deadlineToldSlack {
		r.Invariants.ReportViolation(invariant.DeadlineTold, string(active.call.ID), attributes...)
	}
}

// probeGuard allows a probe to be sent while its worker is the process that was chosen.
type probeGuard struct {
	router *Router
	worker *worker
}

// Ready reports whether the worker is listed up with the same address and start time.
func (g probeGuard) Ready() bool { return g.router.isCurrent(g.worker) }

// StartedLate does nothing: a probe has no client, and a late one does no harm.
func (probeGuard) StartedLate(time.Duration) {}

var _ transport.Guard = (*attempt)(nil)
