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
const toldSlack = 150 * time.Millisecond

// firstRun is the earliest attempt of a request that may have run: what decides where and until when it may be repeated.
type firstRun struct {
	begun      time.Time // the zero time where none may have run
	zone, cell int
}

// note takes in an attempt that may have run.
func (f *firstRun) note(d *attempt) {
	if f.begun.IsZero() || d.begun.Before(f.begun) {
		*f = firstRun{d.begun, d.order.zone, d.order.cell}
	}
}

// mayRepeat tells whether a further attempt is lawful for a request of a class: anywhere while nothing may have run, else as
// the class allows.
func (f *firstRun) mayRepeat(class *decide.Class, o order, now time.Time) bool {
	switch {
	case f.begun.IsZero() || class.Effect == decide.Safe:
		return true
	case class.Effect == decide.Unsafe || !now.Before(f.begun.Add(class.Window)):
		return false
	case class.Group == decide.GroupZone:
		return o.zone == f.zone
	case class.Group == decide.GroupCell:
		return o.cell == f.cell
	}
	return true
}

// lawful tells whether the rules on repeats allow what the module has ordered. What is out already may have run.
func (r *Router) lawful(t *task, out []*attempt, o order) bool {
	first := t.first
	for _, d := range out {
		first.note(d)
	}
	if t.call.Class >= len(r.Decide.Classes) || first.mayRepeat(&r.Decide.Classes[t.call.Class], o, time.Now()) {
		return true
	}
	r.Invariants.Broken(invariant.RepeatAllowed, string(t.call.ID), "attempt", t.tries, "first", time.Since(first.begun))
	return false
}

// Ready tells, right before the attempt's first byte, that it may still go out: its client's time is not over, its backend is
// listed up and is the process that was chosen, it is not too late for a repeat, and its client is there.
func (a *attempt) Ready() bool {
	long := a.task.call.Upload != nil // its end moves on while it comes
	return (long || time.Now().Before(a.deadline)) && a.router.may(a.order) && a.task.present()
}

// Began checks an attempt whose first byte went out so long after Ready. What Ready saw then may not hold any more.
func (a *attempt) Began(after time.Duration) {
	r, t := a.router, a.task
	known := []any{"attempt", a.try, "after", after}
	if !t.present() {
		r.Invariants.Broken(invariant.ClientPresent, string(t.call.ID), known...)
	}
	if !r.may(a.order) && after > r.Decide.Safety.DrainGrace {
		r.Invariants.Broken(invariant.BackendListed, string(t.call.ID), known...)
	}
	if t.call.Upload != nil {
		return
	}
	if late := time.Since(a.deadline); late > r.Decide.Safety.AnswerSlack {
		r.Invariants.Broken(invariant.WithinDeadline, string(t.call.ID), append(known, "late", late)...)
	}
	if after > toldSlack {
		r.Invariants.Broken(invariant.DeadlineTold, string(t.call.ID), known...)
	}
}

// probeGuard lets a probe go out while its backend is the one that was chosen.
type probeGuard struct {
	router *Router
	worker *worker
}

// Ready tells that the backend is listed up, at the same address and with the same start.
func (g probeGuard) Ready() bool { return g.router.still(g.worker) }

// Began is of no interest: a probe has no client, and a late one does no harm.
func (probeGuard) Began(time.Duration) {}

var _ transport.Guard = (*attempt)(nil)
