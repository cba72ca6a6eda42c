package observer

import (
	"context"
	"errors"
	"fmt"
	"time"

	"burlpass/internal/cluster/api"
	"burlpass/internal/record"
)

// Write forwards a write to the first member that answers: the configured ones in order, then the current source. If a member
// leaves the outcome unknown, the others are asked with the same ID until ctx ends; the record makes such retries safe.
func (o *Observer) Write(ctx context.Context, w *record.Write) (record.Result, error) {
	maybeApplied := false
	for round := 0; ; round++ {
		var lastErr error
		for _, s := range o.writeTargets() {
			attemptCtx, cancel := context.WithTimeout(ctx, o.timings.AttemptTimeout)
			result, err := o.client(s).Write(attemptCtx, w)
			cancel()
			if err == nil {
				return result, nil
			}
			maybeApplied = maybeApplied || !errors.Is(err, api.ErrRefused)
			if lastErr = fmt.Errorf("%s: %w", s.Name, err); ctx.Err() != nil {
				break
			}
		}
		if !maybeApplied {
			return record.Result{}, fmt.Errorf("%w: %v", api.ErrRefused, lastErr)
		}
		if ctx.Err() == nil {
			sleep(ctx, backoff(o.timings.InitialBackoff, o.timings.MaxBackoff, round))
		}
		if ctx.Err() != nil {
			return record.Result{}, fmt.Errorf("%w: %v", api.ErrUnknown, lastErr)
		}
	}
}

// writeTargets returns the members that a write may be forwarded to.
func (o *Observer) writeTargets() []Source {
	targets := append([]Source(nil), o.config.Sources...)
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, s := range targets {
		if s.Name == o.lastSource.Name {
			return targets
		}
	}
	if o.sourceName != "" {
		targets = append(targets, o.lastSource)
	}
	return targets
}

// readConsistent asks a voter for the version that contains all writes acknowledged so far, and waits for the local state to
// reach it.
func (o *Observer) readConsistent(ctx context.Context) (record.View, time.Duration, error) {
	refused := func(err error) (record.View, time.Duration, error) {
		return nil, 0, fmt.Errorf("%w: %v", api.ErrRefused, err)
	}
	askedAt, minVersion, err := o.readIndex(ctx)
	if err != nil {
		return refused(err)
	}
	select {
	case <-o.ready:
	case <-ctx.Done():
		return refused(fmt.Errorf("%w: version %d is waited for", api.ErrNothing, minVersion))
	}
	for {
		changed := o.state.Changed()
		if v := o.state.View(); v.Version() >= minVersion {
			o.mu.Lock()
			if askedAt.After(o.freshAt) {
				o.freshAt = askedAt
			}
			o.mu.Unlock()
			return v, time.Since(askedAt), nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return refused(fmt.Errorf("this member is at version %d, the leader was at %d", o.state.View().Version(), minVersion))
		}
	}
}

// readIndex asks the configured members in order for a read index.
func (o *Observer) readIndex(ctx context.Context) (askedAt time.Time, minVersion record.Version, err error) {
	for _, s := range o.config.Sources {
		askedAt = time.Now()
		attemptCtx, cancel := context.WithTimeout(ctx, o.timings.AttemptTimeout)
		minVersion, cluster, attemptErr := o.client(s).ReadIndex(attemptCtx)
		cancel()
		o.mu.Lock()
		ownCluster := o.clusterID
		o.mu.Unlock()
		switch {
		case attemptErr != nil:
			err = fmt.Errorf("%s: %w", s.Name, attemptErr)
		case cluster != "" && ownCluster != "" && cluster != ownCluster:
			err = fmt.Errorf("%s: it is of the cluster %q, this observer's is %q", s.Name, cluster, ownCluster)
		default:
			return askedAt, minVersion, nil
		}
		if ctx.Err() != nil {
			break
		}
	}
	return askedAt, 0, err
}
