package observer

import (
	"context"
	"fmt"
	"time"

	"burlpass/internal/cluster/api"
	"burlpass/internal/lease"
)

// leaseAttemptTimeout limits how long one member may take to answer a lease request.
const leaseAttemptTimeout = 700 * time.Millisecond

// Lease forwards a lease request to the configured member that answered last, or to the next one that answers.
func (o *Observer) Lease(ctx context.Context, ask lease.Ask) (a lease.Answer, err error) {
	first := int(o.leaseSource.Load())
	for i := range o.config.Sources {
		index := (first + i) % len(o.config.Sources)
		attemptCtx, cancel := context.WithTimeout(ctx, leaseAttemptTimeout)
		a, err = o.client(o.config.Sources[index]).Lease(attemptCtx, ask)
		cancel()
		if err == nil {
			o.leaseSource.Store(int32(index))
			return a, nil
		}
		if err = fmt.Errorf("%w: %s: %w", api.ErrRefused, o.config.Sources[index].Name, err); ctx.Err() != nil {
			break
		}
	}
	return lease.Answer{}, err
}
