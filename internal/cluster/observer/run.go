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

// Reasons to leave a source.
var (
	errLoop   = errors.New("the source follows this observer")
	errStale  = errors.New("the source is cut off")
	errBehind = errors.New("the source is behind")
)

// rejection wraps the reason why a response was rejected: the source, the network or the local state is wrong.
type rejection struct{ err error }

func (e *rejection) Error() string { return e.err.Error() }
func (e *rejection) Unwrap() error { return e.err }

// run finds and follows sources until ctx ends.
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
			o.salt++ // the next search chooses other alternatives
		}
		if failures++; failures > 1 { // the first failure is retried immediately
			sleep(ctx, backoff(o.timings.InitialBackoff, o.timings.MaxBackoff, failures-2))
		}
	}
}

// backoff returns a random delay with an upper bound that doubles with each failure up to maxDelay.
func backoff(first, maxDelay time.Duration, failures int) time.Duration {
	return rand.N(min(maxDelay, first<<min(failures, 20)) + 1)
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// follow long-polls a source until it fails. It returns the source that it followed last and why it stopped.
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

// client returns a client of a source.
func (o *Observer) client(s Source) *api.Client {
	addr := s.Addr
	if o.config.Resolve != nil {
		addr = o.config.Resolve(s.Name, addr)
	}
	return api.NewClient(addr, o.transport)
}

// response is a batch and the time at which it was received.
type response struct {
	*api.Batch
	receivedAt time.Time
}

// requestEntries asks a source for newer entries or, if needed, for a full state.
func (o *Observer) requestEntries(ctx context.Context, from candidate, wait time.Duration, avoidLeader bool) (response, error) {
	req := api.EntriesRequest{Since: o.state.View().Version(), Wait: wait, Name: o.config.Name, Addr: o.config.Addr,
		FullState: o.needFullState, AvoidLeader: avoidLeader, SilenceTimeout: o.timings.SilenceTimeout}
	if o.needFullState {
		req.SilenceTimeout *= 5 // the source has to encode the full state first
	}
	b, err := o.client(from.Source).Entries(ctx, req)
	return response{b, time.Now()}, err
}

// isStale reports whether a source should be left because it is cut off itself. Each member on the path from the leader may
// hold back an empty response for one Wait.
func (o *Observer) isStale(b response) bool {
	return time.Duration(b.AgeMs)*time.Millisecond > o.timings.MaxStaleness+o.timings.Wait*time.Duration(len(b.Path))
}

// accept verifies a response, then stores and publishes its contents. A rejected response leaves the state unchanged and makes
// the observer request a full state from another source.
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

// apply verifies that a response belongs to this cluster and is not too old, and applies it.
func (o *Observer) apply(ctx context.Context, b response) error {
	o.mu.Lock()
	clusterID, watermark := o.clusterID, o.watermark
	o.mu.Unlock()
	current := o.state.View()
	switch {
	case b.Cluster == "" || clusterID != "" && clusterID != b.Cluster:
		return &rejection{fmt.Errorf("source belongs to cluster %q, this observer to cluster %q", b.Cluster, clusterID)}
	case b.Kind == api.KindState && b.Version < max(watermark, current.Version()):
		return &rejection{fmt.Errorf("version %d is older than the served version %d", b.Version, max(watermark, current.Version()))}
	case b.Kind == api.KindEntries && o.needFullState:
		return errBehind // the source has no full state that is new enough
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

// applyEntries applies the entries that follow the current state.
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

// applyState replaces the current state by a full one, after a separate record has decoded and verified it.
func (o *Observer) applyState(ctx context.Context, b response) error {
	trial := record.New(o.config.Bounds, o.config.Domains...)
	if err := trial.Restore(b.State()); err != nil {
		return &rejection{err}
	}
	if v := trial.View(); v.Version() != b.Version || v.Hash() != b.Hash {
		return &rejection{fmt.Errorf("full state has version %d, hash %s, want version %d, hash %s", v.Version(), v.Hash(), b.Version, b.Hash)}
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

// persist retries a write to disk until it succeeds or ctx ends, because published state must survive a restart. Until then the
// observer serves the previous state, with a growing age.
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

// rebuildDisk recreates the database from the served state.
func (o *Observer) rebuildDisk(cause error) error {
	if err := o.disk.recreate(cause); err != nil || !o.isReady() {
		return err
	}
	o.mu.Lock()
	clusterID, freshAt := o.clusterID, o.freshAt
	o.mu.Unlock()
	return o.disk.replaceState(o.state.View(), clusterID, freshAt)
}

// setClusterID records the cluster ID of an accepted response.
func (o *Observer) setClusterID(clusterID string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.clusterID = clusterID
}

// freshnessOf returns when the version of a response was certainly the newest.
func (o *Observer) freshnessOf(b response) time.Time {
	return b.receivedAt.Add(-time.Duration(b.AgeMs) * time.Millisecond)
}

// recordAccepted updates path and freshness from an accepted response.
func (o *Observer) recordAccepted(b response) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.path = append(slices.Clone(b.Path), o.config.Name)
	current := o.state.View().Version()
	// A state at least as new as the source's contains everything the source knew at that time. The freshness restored at the
	// start relies on the wall clock, which may be wrong, so the first response replaces it.
	if freshAt := o.freshnessOf(b); current >= b.Version && (!o.accepted || freshAt.After(o.freshAt)) {
		o.freshAt = freshAt
	}
	o.accepted = true
	if current >= o.watermark && !o.isReady() {
		close(o.ready)
	}
}

// sourceFollowed records that a source is followed.
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

// sourceLost records that a source is no longer followed.
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
