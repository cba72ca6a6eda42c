package voter

import (
	"context"
	"fmt"
	"time"

	"burlpass/internal/cluster/api"
	"burlpass/internal/record"
)

// Read gives this voter's own state. A consistent one asks the leader which version holds every write that was acknowledged
// before, and waits until that one is here.
func (v *Voter) Read(ctx context.Context, consistent bool) (record.View, time.Duration, error) {
	if err := v.failure(); err != nil {
		return nil, 0, fmt.Errorf("%w: %w", api.ErrRefused, err)
	}
	if !consistent {
		r := v.Replica()
		if r == nil {
			return nil, 0, api.ErrNothing
		}
		age := v.fsm.age() // before the view: it may be newer than that, not older
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

// waitIndex asks for a read index again while there is patience.
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
