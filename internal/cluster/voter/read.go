package voter

import (
	"context"
	"fmt"
	"time"

	"burlpass/internal/cluster/api"
	"burlpass/internal/record"
)

// Read returns this voter's own state and its age. A consistent read asks the leader for a version that includes every write
// acknowledged before, and waits until that version is applied here.
func (v *Voter) Read(ctx context.Context, consistent bool) (record.View, time.Duration, error) {
	if err := v.failure(); err != nil {
		return nil, 0, fmt.Errorf("%w: %w", api.ErrRefused, err)
	}
	if !consistent {
		r := v.Replica()
		if r == nil {
			return nil, 0, api.ErrNothing
		}
		age := v.fsm.age() // before the view, which may be newer than the age says but not older
		return r.View(), age, nil
	}
	began := time.Now()
	index, err := v.awaitReadIndex(ctx)
	if err != nil {
		return nil, 0, fmt.Errorf("%w: %w", api.ErrRefused, err)
	}
	for {
		changed := v.fsm.replica.Changed()
		if view := v.fsm.replica.View(); view.Version() >= index.Version {
			return view, time.Since(began), nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, 0, fmt.Errorf("%w: waiting for version %d here: %w", api.ErrRefused, index.Version, ctx.Err())
		}
	}
}

// awaitReadIndex requests a read index, and retries for up to LeaderWait.
func (v *Voter) awaitReadIndex(ctx context.Context) (readIndexReply, error) {
	waitCtx, cancel := context.WithTimeout(ctx, v.c.Timings.LeaderWait)
	defer cancel()
	for {
		callCtx, cancelCall := context.WithTimeout(waitCtx, v.c.Timings.CallTimeout)
		index, err := v.requestReadIndex(callCtx, false)
		cancelCall()
		if err == nil || v.failure() != nil {
			return index, err
		}
		select {
		case <-time.After(retryInterval):
		case <-waitCtx.Done():
			return index, err
		}
	}
}
