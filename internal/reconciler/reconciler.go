// Package reconciler moves timelines of versions at the leader: it proposes the steps whose conditions hold by the record, and folds what ended
// processes have counted. Every voter checks them again. docs/retire.md has the design.
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

// Member is the voter that leads.
type Member interface {
	Write(ctx context.Context, w *record.Write) (record.Result, error)
	Replica() *replica.Replica // nil while there is no state to show
}

// Pause is the time between two looks.
const Pause = time.Second

const (
	writeTime = 2 * time.Second  // for one write
	sayAgain  = 10 * time.Minute // of a timeline that holds for the same reason
)

// Reconciler looks each second. It is for one goroutine.
type Reconciler struct {
	reader retire.Reader
	log    *slog.Logger
	said   map[string]said // by timeline
	fault  string
}

// said is why a timeline held, as it was logged last.
type said struct {
	why  string
	when time.Time
}

// New returns a Reconciler.
func New(log *slog.Logger) *Reconciler { return &Reconciler{log: log, said: map[string]said{}} }

// Run looks again after each pause until ctx is done, which is as soon as the member leads no more.
func (s *Reconciler) Run(ctx context.Context, m Member, pause time.Duration) {
	tick := time.NewTicker(pause)
	defer tick.Stop()
	for ctx.Err() == nil {
		s.Look(ctx, m)
		select {
		case <-tick.C:
		case <-ctx.Done():
		}
	}
}

// Look writes what is due now.
func (s *Reconciler) Look(ctx context.Context, m Member) {
	r := m.Replica()
	if r == nil {
		return
	}
	dues, err := s.reader.Due(r.View())
	if err != nil {
		if err.Error() != s.fault {
			s.fault = err.Error()
			s.log.Error("stage_refused", "err", err)
		}
		return
	}
	s.fault = ""
	there := map[string]bool{}
	for _, h := range dues.Holds {
		there[h.Timeline] = true
		s.holds(h)
	}
	for _, step := range dues.Steps {
		there[step.Timeline] = true
		s.step(ctx, m, step)
	}
	for _, w := range dues.Folds {
		if r, ok := s.write(ctx, m, w); ok && r.Outcome == record.Invalid {
			s.log.Warn("use_fold_refused", "item", w.Changes[0].Key, "reason", r.Reason)
		}
	}
	for timeline := range s.said {
		if !there[timeline] {
			delete(s.said, timeline)
		}
	}
}

func (s *Reconciler) step(ctx context.Context, m Member, step retire.Stepped) {
	r, ok := s.write(ctx, m, step.Write)
	switch {
	case !ok: // the next look is another try
	case r.Outcome == record.Applied && step.Why != "":
		s.log.Warn("stage_held", "timeline", step.Timeline, "stage", step.From, "why", step.Why)
	case r.Outcome == record.Applied:
		s.log.Info("stage", "timeline", step.Timeline, "from", step.From, "to", step.To, "version", r.Version)
		delete(s.said, step.Timeline)
	case r.Outcome == record.Invalid: // counts or the time have come in between, or the members disagree
		s.log.Warn("stage_refused", "timeline", step.Timeline, "from", step.From, "to", step.To, "reason", r.Reason)
	}
}

// write has a write agreed on; false where it is not known to be.
func (s *Reconciler) write(ctx context.Context, m Member, w *record.Write) (record.Result, bool) {
	ctx, cancel := context.WithTimeout(ctx, writeTime)
	defer cancel()
	w.ID = rand.Text()
	r, err := m.Write(ctx, w)
	return r, err == nil
}

// holds logs why a timeline holds whose time has come: when that changes, and now and then.
func (s *Reconciler) holds(h retire.Holding) {
	if h.Waits {
		delete(s.said, h.Timeline)
		return
	}
	why := strings.Map(func(r rune) rune { // counts and times change all the time
		if '0' <= r && r <= '9' {
			return -1
		}
		return r
	}, h.Stage+" "+h.Why)
	if was := s.said[h.Timeline]; was.why == why && time.Since(was.when) < sayAgain {
		return
	}
	s.said[h.Timeline] = said{why, time.Now()}
	s.log.Info("stage_held", "timeline", h.Timeline, "stage", h.Stage, "why", h.Why)
}
