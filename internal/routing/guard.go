package routing

import (
	"time"

	"burlpass/decide"
	"burlpass/internal/invariant"
	"burlpass/internal/transport"
)

// The one place where an attempt is let go. The module chooses by the same rules; what it orders is checked here once more,
// against what this sidecar has seen itself, when it is ordered and right before the first byte.

// toldSlack is by how much the time that a backend is told may be over what its client has left (the operators' terms).
const deadlineToldSlack = 150 * time.Millisecond

// firstRun is the earliest attempt of a request that may have run: what decides where and until when it may be repeated.
type firstRun struct {
	startedAt  time.Time // the zero time where none may have run
	zone, cell int
}

// note takes in an attempt that may have run.
func (f *firstRun) record(a *attempt) {
	if f.startedAt.IsZero() || a.startedAt.Before(f.startedAt) {
		*f = firstRun{a.startedAt, a.command.zone, a.command.cell}
	}
}

// mayRepeat tells whether a further attempt is lawful for a request of a class: anywhere while nothing may have run, else as
// the class allows.
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

// lawful tells whether the rules on repeats allow what the module has ordered. What is out already may have run.
func (r *Router) allowsRepeat(active *activeCall, inFlight []*attempt, cmd command) bool {
	first := active.firstRun
	for _, a := range inFlight {
		first.record(a)
	}
	if active.call.Class >= len(r.Decide.Classes) || first.mayRepeat(&r.Decide.Classes[active.call.Class], cmd, time.Now()) {
		return true
	}
	r.Invariants.Broken(invariant.RepeatAllowed, string(active.call.ID), "attempt", active.attempts, "first", time.Since(first.startedAt))
	return false
}

// Ready tells, right before the attempt's first byte, that it may still go out: its client's time is not over, its backend is
// listed up and is the process that was chosen, it is not too late for a repeat, and its client is there.
func (a *attempt) Ready() bool {
	streaming := a.activeCall.call.Upload != nil // its end moves on while it comes
	return (streaming || time.Now().Before(a.initialDeadline)) && a.router.mayStart(a.command) && a.activeCall.clientPresent()
}

// Began checks an attempt whose first byte went out so long after Ready. What Ready saw then may not hold any more.
func (a *attempt) Began(delay time.Duration) {
	r, active := a.router, a.activeCall
	attributes := []any{"attempt", a.number, "after", delay}
	if !active.clientPresent() {
		r.Invariants.Broken(invariant.ClientPresent, string(active.call.ID), attributes...)
	}
	if !r.mayStart(a.command) && delay > r.Decide.Safety.DrainGrace {
		r.Invariants.Broken(invariant.BackendListed, string(active.call.ID), attributes...)
	}
	if active.call.Upload != nil {
		return
	}
	if late := time.Since(a.initialDeadline); late > r.Decide.Safety.AnswerSlack {
		r.Invariants.Broken(invariant.WithinDeadline, string(active.call.ID), append(attributes, "late", late)...)
	}
	if delay > deadlineToldSlack {
		r.Invariants.Broken(invariant.DeadlineTold, string(active.call.ID), attributes...)
	}
}

// probeGuard lets a probe go out while its backend is the one that was chosen.
type probeGuard struct {
	router *Router
	worker *worker
}

// Ready tells that the backend is listed up, at the same address and with the same start.
func (g probeGuard) Ready() bool { return g.router.isCurrent(g.worker) }

// Began is of no interest: a probe has no client, and a late one does no harm.
func (probeGuard) Began(time.Duration) {}

var _ transport.Guard = (*attempt)(nil)
