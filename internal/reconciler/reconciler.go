// Package reconciler advances the timelines of API versions at the leader. It proposes the steps whose conditions hold
// according to the record, and folds the usage counts of processes that have ended. Every voter validates each proposal
// again. docs/retire.md describes the design. A call is a client's request.
package reconciler

import (
	"context"
	"crypto/rand"
	"log/slog"
	"strings"
	"time"

	"burlpass/internal/cluster/replica"
	"burlpass/internal/record"
	"burlpass/internal/retire"
)

// Member is the leading voter.
type Member interface {
	Write(ctx context.Context, w *record.Write) (record.Result, error)
	Replica() *replica.Replica // nil until there is a state to read
}

// Pause is the default time between two passes.
const Pause = time.Second

const (
	writeTimeout    = 2 * time.Second  // limit for one write
	holdLogInterval = 10 * time.Minute // between log lines about a timeline that is held for an unchanged reason
)

// Reconciler advances timelines. It must be used by one goroutine at a time.
type Reconciler struct {
	reader      retire.Reader
	log         *slog.Logger
	loggedHolds map[string]loggedHold // by timeline key
	lastError   string
}

// loggedHold is the reason last logged for a held timeline.
type loggedHold struct {
	reason   string
	loggedAt time.Time
}

// New returns a Reconciler.
func New(log *slog.Logger) *Reconciler {
	return &Reconciler{log: log, loggedHolds: map[string]loggedHold{}}
}

// Run calls Reconcile, pausing in between, until ctx is done. The caller cancels ctx when the member loses leadership.
func (r *Reconciler) Run(ctx context.Context, member Member, pause time.Duration) {
	tick := time.NewTicker(pause)
	defer tick.Stop()
	for ctx.Err() == nil {
		r.Reconcile(ctx, member)
		select {
		case <-tick.C:
		case <-ctx.Done():
		}
	}
}

// Reconcile writes the steps and folds that are due, and logs the timelines that are held.
func (r *Reconciler) Reconcile(ctx context.Context, member Member) {
	local := member.Replica()
	if local == nil {
		return
	}
	due, err := r.reader.Due(local.View())
	if err != nil {
		if err.Error() != r.lastError {
			r.lastError = err.Error()
			r.log.Error("stage_refused", "err", err)
		}
		return
	}
	r.lastError = ""
	present := map[string]bool{}
	for _, hold := range due.Holds {
		present[hold.Timeline] = true
		r.logHold(hold)
	}
	for _, step := range due.Steps {
		present[step.Timeline] = true
		r.writeStep(ctx, member, step)
	}
	for _, fold := range due.Folds {
		if result, ok := r.write(ctx, member, fold); ok && result.Outcome == record.Invalid {
			r.log.Warn("use_fold_refused", "item", fold.Changes[0].Key, "reason", result.Reason)
		}
	}
	for timeline := range r.loggedHolds {
		if !present[timeline] {
			delete(r.loggedHolds, timeline)
		}
	}
}

func (r *Reconciler) writeStep(ctx context.Context, member Member, step retire.Stepped) {
	result, ok := r.write(ctx, member, step.Write)
	switch {
	case !ok: // the next pass retries
	case result.Outcome == record.Applied && step.Why != "":
		r.log.Warn("stage_held", "timeline", step.Timeline, "stage", step.From, "why", step.Why)
	case result.Outcome == record.Applied:
		r.log.Info("stage", "timeline", step.Timeline, "from", step.From, "to", step.To, "version", result.Version)
		delete(r.loggedHolds, step.Timeline)
	case result.Outcome == record.Invalid: // counts or the time changed meanwhile, or members disagree
		r.log.Warn("stage_refused", "timeline", step.Timeline, "from", step.From, "to", step.To, "reason", result.Reason)
	}
}

// write proposes a write. It returns false if the outcome is unknown.
func (r *Reconciler) write(ctx context.Context, member Member, write *record.Write) (record.Result, bool) {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	write.ID = rand.Text()
	result, err := member.Write(ctx, write)
	return result, err == nil
}

// logHold logs why a timeline does not advance although its next step is due. It logs when the reason changes, and again
// every holdLogInterval.
func (r *Reconciler) logHold(hold retire.Holding) {
	if hold.Waits {
		delete(r.loggedHolds, hold.Timeline)
		return
	}
	reason := strings.Map(func(char rune) rune { // drop digits: counts and times change constantly
		if '0' <= char && char <= '9' {
			return -1
		}
		return char
	}, hold.Stage+" "+hold.Why)
	if last := r.loggedHolds[hold.Timeline]; last.reason == reason && time.Since(last.loggedAt) < holdLogInterval {
		return
	}
	r.loggedHolds[hold.Timeline] = loggedHold{reason, time.Now()}
	r.log.Info("stage_held", "timeline", hold.Timeline, "stage", hold.Stage, "why", hold.Why)
}
