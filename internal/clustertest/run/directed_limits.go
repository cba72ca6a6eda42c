package run

import (
	"context"
	"strings"
	"sync"
	"time"

	"burlpass/internal/lease"
)

// The keys of the limits that a fleet with limits begins with, for all calls.
const (
	Rate  = rateKey
	Calls = callsKey
)

// SetLimit has a limit set anew, in a fleet with limits.
func (d *Directed) SetLimit(key string, amount int64, cut lease.Cut) error {
	ctx, cancel := context.WithTimeout(d.ctx, putTime)
	defer cancel()
	return d.f.limits.set(ctx, key, amount, cut)
}

// Namespace makes one below the root.
func (d *Directed) Namespace(selector string) error {
	ctx, cancel := context.WithTimeout(d.ctx, putTime)
	defer cancel()
	return d.f.limits.space(ctx, selector)
}

// Call makes a call at a member's sidecar and gives its status; 0 for no answer. The path begins with the class.
func (d *Directed) Call(member, path string) int {
	return d.f.limits.call(d.f.members[member], path)
}

// Press makes so many calls a second at each of the members' sidecars; what it returns has them end before End does.
func (d *Directed) Press(pace float64, path string, members ...string) (rest func()) {
	ctx, cancel := context.WithCancel(d.working)
	var all sync.WaitGroup
	for _, name := range members {
		d.clients.Add(1)
		all.Go(func() {
			defer d.clients.Done()
			d.f.limits.press(ctx, d.f.members[name], pace, path)
		})
	}
	return func() {
		cancel()
		all.Wait()
	}
}

// press makes calls at an even pace until ctx ends.
func (l *limited) press(ctx context.Context, m *member, pace float64, path string) {
	var all sync.WaitGroup
	defer all.Wait()
	slots := make(chan struct{}, mostCalls)
	tick := time.NewTicker(time.Duration(float64(time.Second) / pace))
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		select {
		case slots <- struct{}{}:
			all.Go(func() {
				defer func() { <-slots }()
				l.call(m, path)
			})
		default: // a sidecar that stands still
		}
	}
}

// Leased is what a member goes by of a limit now by the lines that have come, 0 for nothing, and who it says it is.
func (d *Directed) Leased(member, key string) (amount int64, holder string) {
	all, _ := d.f.seen.leased()
	now := machineTime()
	for _, l := range all {
		if l.Limit == key && strings.HasPrefix(l.Holder, member+"/") {
			if amount, holder = 0, l.Holder; now < l.Until {
				amount = l.Amount
			}
		}
	}
	return amount, holder
}
