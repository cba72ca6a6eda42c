package usage

import (
	"context"
	"crypto/rand"
	"log/slog"
	"maps"
	mathrand "math/rand/v2"
	"sync"
	"time"

	"burlpass/internal/cluster/replica"
	"burlpass/internal/record"
	"burlpass/internal/retire"
)

// Member is this process's member of the cluster. If Write returns an error, the write may or may not have been applied.
type Member interface {
	Write(ctx context.Context, w *record.Write) (record.Result, error)
	Replica() *replica.Replica // nil while the member has no state to show
}

// DefaultEvery is the time between two reports.
const DefaultEvery = 10 * time.Second

const (
	writeTimeout       = 3 * time.Second        // for one report
	finalReportTimeout = 300 * time.Millisecond // for all final reports
)

// Config holds the parameters of a Reporter.
type Config struct {
	Member  Member
	Process string        // name of the process, up to 64 bytes
	Every   time.Duration // interval, varied by a tenth; 0: DefaultEvery
	Log     *slog.Logger
}

// Reporter holds the counts of all timelines, and reports them to the record.
type Reporter struct {
	Config
	mu        sync.Mutex
	timelines map[string]*Line // by the timeline's key
	reports   map[string]*timelineReport
}

// New returns a Reporter without counts.
func New(c Config) *Reporter {
	if c.Every <= 0 {
		c.Every = DefaultEvery
	}
	return &Reporter{Config: c, timelines: map[string]*Line{}, reports: map[string]*timelineReport{}}
}

// Line returns the counts of a timeline. It takes a lock: call it when the table changes, not for each call.
func (r *Reporter) Line(timeline string) *Line {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := r.timelines[timeline]
	if l == nil {
		l = &Line{}
		r.timelines[timeline] = l
	}
	return l
}

// Run reports periodically until ctx is done, and then once more.
func (r *Reporter) Run(ctx context.Context) {
	for ctx.Err() == nil {
		wait := r.Every*9/10 + mathrand.N(r.Every/5+1)
		select {
		case <-time.After(wait):
			r.Report(ctx)
		case <-ctx.Done():
		}
	}
	last, cancel := context.WithTimeout(context.WithoutCancel(ctx), finalReportTimeout)
	defer cancel()
	r.Report(last)
}

// Report writes the counts to the record now. It must not be called concurrently.
func (r *Reporter) Report(ctx context.Context) {
	local := r.Member.Replica()
	if local == nil {
		return
	}
	r.mu.Lock()
	lines := maps.Clone(r.timelines) // cloned before the state is read: a timeline missing there has ended, and is not one still to come
	r.mu.Unlock()
	view := local.View()
	if !record.Knows(view, retire.UseKind) {
		return
	}
	for key, l := range lines {
		if !retire.InForce(view, key) {
			r.forget(key)
			continue
		}
		if r.reports[key] == nil {
			r.reports[key] = &timelineReport{key: key}
		}
		r.reportTimeline(ctx, view, r.reports[key], l)
	}
}

// forget drops the counts of a timeline that is gone. If it returns, counting starts again at 0.
func (r *Reporter) forget(key string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.timelines, key)
	delete(r.reports, key)
}

// reportTimeline writes the counts of one timeline, if there is anything new to report.
func (r *Reporter) reportTimeline(ctx context.Context, view record.View, report *timelineReport, l *Line) {
	w, err := report.nextWrite(view, r.Process, l.snapshot())
	if err != nil {
		r.Log.Error("use_refused", "timeline", report.key, "err", err)
		return
	}
	if w == nil {
		return
	}
	if w.ID == "" {
		w.ID = rand.Text()
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	result, err := r.Member.Write(ctx, w)
	if err != nil {
		return // sent again later under the same id
	}
	_, found := r.Member.Replica().View().Get(retire.UseKind, w.Changes[0].Key)
	if report.handleResult(result, found) {
		r.Log.Warn("use_refused", "timeline", report.key, "outcome", result.Outcome, "reason", result.Reason)
	}
}
