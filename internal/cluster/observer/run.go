package observer

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"burlpass/internal/cluster/api"
	"burlpass/internal/record"
)

// Why an answer is not taken.
var (
	errLoop   = errors.New("the source follows this observer")
	errStale  = errors.New("the source is cut off itself")
	errBehind = errors.New("the source is behind")
)

// refusal is an answer that must not be taken: the source, the way to it, or the own state is wrong.
type rejection struct{ err error }

func (e *rejection) Error() string { return e.err.Error() }
func (e *rejection) Unwrap() error { return e.err }

// run looks for a source and follows it until that fails, over and over.
func (o *Observer) run(ctx context.Context) {
	failures := 0
	for ctx.Err() == nil {
		from, err := o.findSource(ctx)
		if err == nil {
			startedAt := time.Now()
			from, err = o.follow(ctx, from)
			if ctx.Err() != nil {
				return
			}
			o.sourceLost(from.Source, err)
			if time.Since(startedAt) > o.timings.Wait {
				failures = 0
			}
		} else {
			o.salt++ // another round goes other ways
		}
		if failures++; failures > 1 { // the first time at once
			sleep(ctx, backoff(o.timings.InitialBackoff, o.timings.MaxBackoff, failures-2))
		}
	}
}

// backOff is a random time up to a bound that doubles with each failure.
func backoff(first, maxDelay time.Duration, failures int) time.Duration {
	return rand.N(min(maxDelay, first<<min(failures, 20)) + 1)
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// follow asks a source again and again. It ends with the last one that it has followed and why that is over.
func (o *Observer) follow(ctx context.Context, from candidate) (candidate, error) {
	lastRecheck := time.Now()
	for {
		b, err := o.requestEntries(ctx, from, o.timings.Wait, false)
		if err == nil {
			err = o.accept(ctx, from.Source, b)
		}
		if err != nil {
			return from, err
		}
		if o.isStale(b) {
			return from, errStale
		}
		o.sourceFollowed(from.Source, b)
		if b.Leader && time.Since(lastRecheck) > o.timings.LeaderRecheck {
			if next, ok := o.leaveLeader(ctx, from); ok {
				from = next
			}
			lastRecheck = time.Now().Add(-rand.N(o.timings.LeaderRecheck / 2))
		}
	}
}

func (o *Observer) client(s Source) *api.Client {
	addr := s.Addr
	if o.config.Resolve != nil {
		addr = o.config.Resolve(s.Name, addr)
	}
	return api.NewClient(addr, o.transport)
}

// answer is a batch and when it was there.
type response struct {
	*api.Batch
	receivedAt time.Time
}

func (o *Observer) requestEntries(ctx context.Context, from candidate, wait time.Duration, avoidLeader bool) (response, error) {
	req := api.EntriesRequest{Since: o.state.View().Version(), Wait: wait, Name: o.config.Name, Addr: o.config.Addr, FullState: o.needFullState, AvoidLeader: avoidLeader,
		SilenceTimeout: o.timings.SilenceTimeout}
	if o.needFullState {
		req.SilenceTimeout *= 5 // a whole state has to be made first
	}
	b, err := o.client(from.Source).Entries(ctx, req)
	return response{b, time.Now()}, err
}

// stale tells whether a source should be left because it is cut off itself. On the way from the leader each member may hold
// news of nothing new back for one wait.
func (o *Observer) isStale(b response) bool {
	return time.Duration(b.AgeMs)*time.Millisecond > o.timings.MaxStaleness+o.timings.Wait*time.Duration(len(b.Path))
}

// take checks an answer, stores and then shows what it brings. On a refusal the state stays, and another source is asked for
// a whole one.
func (o *Observer) accept(ctx context.Context, from Source, b response) error {
	if slices.Contains(b.Path, o.config.Name) {
		return errLoop
	}
	err := o.apply(ctx, b)
	var rejected *rejection
	if errors.As(err, &rejected) {
		o.needFullState = true
		o.log.Error("cluster_state_refused", "source", from.Name, "version", b.Version, "shown", o.state.View().Version(), "why", rejected.err)
	}
	return err
}

func (o *Observer) apply(ctx context.Context, b response) error {
	o.mu.Lock()
	clusterID, watermark := o.clusterID, o.watermark
	o.mu.Unlock()
	current := o.state.View()
	switch {
	case b.Cluster == "" || clusterID != "" && clusterID != b.Cluster:
		return &rejection{fmt.Errorf("it is of the cluster %q, this observer's is %q", b.Cluster, clusterID)}
	case b.Kind == api.KindState && b.Version < max(watermark, current.Version()):
		return &rejection{fmt.Errorf("version %d is older than %d, which was shown", b.Version, max(watermark, current.Version()))}
	case b.Kind == api.KindEntries && o.needFullState:
		return errBehind // it had no whole state that is new enough
	}
	if b.Kind == api.KindState {
		if err := o.applyState(ctx, b); err != nil {
			return err
		}
	} else if err := o.applyEntries(ctx, b, current); err != nil {
		return err
	}
	o.recordAccepted(b)
	return nil
}

// bringEntries goes on from the state that is there.
func (o *Observer) applyEntries(ctx context.Context, b response, current record.View) error {
	if len(b.Entries) == 0 {
		if b.Version == current.Version() && b.Hash != current.Hash() {
			return &rejection{fmt.Errorf("at version %d the source has hash %s, this observer %s", b.Version, b.Hash, current.Hash())}
		}
		return nil
	}
	commit, err := o.state.Stage(b.Entries, b.Version, b.Hash)
	if err != nil {
		return &rejection{err}
	}
	if err := o.persist(ctx, func() error { return o.disk.appendBatch(b.Batch, o.freshnessOf(b)) }); err != nil {
		return err
	}
	o.setClusterID(b.Cluster)
	commit()
	if o.disk != nil && o.disk.needsCompaction() {
		return o.persist(ctx, func() error { return o.disk.replaceState(o.state.View(), b.Cluster, o.freshnessOf(b)) })
	}
	return nil
}

// bringState puts a whole state in the place of the one that is there, once a record of its own has read all of it.
func (o *Observer) applyState(ctx context.Context, b response) error {
	trial := record.New(o.config.Bounds, o.config.Domains...)
	if err := trial.Restore(b.State()); err != nil {
		return &rejection{err}
	}
	if v := trial.View(); v.Version() != b.Version || v.Hash() != b.Hash {
		return &rejection{fmt.Errorf("it is of version %d, hash %s, and was said to be of version %d, hash %s", v.Version(), v.Hash(), b.Version, b.Hash)}
	}
	if err := o.persist(ctx, func() error { return o.disk.replaceState(trial.View(), b.Cluster, o.freshnessOf(b)) }); err != nil {
		return err
	}
	if err := o.state.Restore(bytes.NewReader(b.SavedState)); err != nil {
		return &rejection{err}
	}
	o.setClusterID(b.Cluster)
	o.needFullState = false
	return nil
}

// store has the disk keep something, for as long as it takes: what is shown must be there after a restart. While the disk takes
// nothing the observer shows what it showed, and its age grows.
func (o *Observer) persist(ctx context.Context, write func() error) error {
	if o.disk == nil {
		return nil
	}
	for failures := 0; ; failures++ {
		err := write()
		if errors.Is(err, errDamaged) && o.rebuildDisk(err) == nil {
			err = write()
		}
		o.mu.Lock()
		previous := o.fault
		if o.fault = ""; err != nil {
			o.fault = err.Error()
		}
		o.mu.Unlock()
		if err == nil {
			if previous != "" {
				o.log.Info("cluster_disk", "folder", o.config.Folder, "works", "again")
			}
			return nil
		}
		if previous == "" {
			o.log.Error("cluster_disk", "folder", o.config.Folder, "error", err)
		}
		if sleep(ctx, backoff(o.timings.InitialBackoff, o.timings.MaxBackoff, failures)); ctx.Err() != nil {
			return ctx.Err()
		}
	}
}

// mend begins the file anew with what is shown.
func (o *Observer) rebuildDisk(cause error) error {
	if err := o.disk.recreate(cause); err != nil || !o.isReady() {
		return err
	}
	o.mu.Lock()
	clusterID, freshAt := o.clusterID, o.freshAt
	o.mu.Unlock()
	return o.disk.replaceState(o.state.View(), clusterID, freshAt)
}

func (o *Observer) setClusterID(clusterID string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.clusterID = clusterID
}

// freshAt is when an answer's version was surely the newest.
func (o *Observer) freshnessOf(b response) time.Time {
	return b.receivedAt.Add(-time.Duration(b.AgeMs) * time.Millisecond)
}

// shown notes what an answer that was taken says.
func (o *Observer) recordAccepted(b response) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.path = append(slices.Clone(b.Path), o.config.Name)
	current := o.state.View().Version()
	// Whoever has at least the source's version knows all that the source knew then. What a start has taken from the wall clock
	// may be wrong by any time, and counts no more.
	if freshAt := o.freshnessOf(b); current >= b.Version && (!o.accepted || freshAt.After(o.freshAt)) {
		o.freshAt = freshAt
	}
	o.accepted = true
	if current >= o.watermark && !o.isReady() {
		close(o.ready)
	}
}

// attached notes that a source is followed.
func (o *Observer) sourceFollowed(s Source, b response) {
	o.formatLogged = false
	o.mu.Lock()
	o.lastHeard, o.sourceLeads = b.receivedAt, b.Leader
	o.cutOffTimer.Reset(o.timings.cutOffAfter())
	same := o.sourceName == s.Name && !o.cutOff
	moved := o.lastSource.Name != s.Name
	o.sourceName, o.lastSource, o.cutOff = s.Name, s, false
	path := o.path
	o.mu.Unlock()
	if moved && o.config.Metrics != nil {
		o.config.Metrics.SourceChanges.Inc()
	}
	if !same {
		o.log.Info("cluster_following", "source", s.Name, "path", path, "version", b.Version, "age_ms", b.AgeMs)
	}
}

// lost notes that a source is followed no longer.
func (o *Observer) sourceLost(s Source, err error) {
	o.mu.Lock()
	previous := o.sourceName
	o.sourceName = ""
	o.mu.Unlock()
	o.penalize(s.Name)
	if previous != "" {
		o.log.Info("cluster_source_lost", "source", s.Name, "why", err)
	}
}
