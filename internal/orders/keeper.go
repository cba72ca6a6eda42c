package orders

import (
	"bytes"
	"context"
	"crypto/rand"
	"errors"
	"log/slog"
	mathrand "math/rand/v2"
	"os"
	"slices"
	"sync"
	"time"

	"burlpass/internal/cluster/replica"
	"burlpass/internal/maintenance"
	"burlpass/internal/record"
)

// Scopes of an order, as the admin listener reports them.
const (
	Here       = "here"       // in force at this process, which keeps trying to have it committed
	Everywhere = "everywhere" // a majority of voters has it on disk, and every member that is connected to them applies it
	Superseded = "superseded" // not in force: another member disabled the target, which this member did not know
)

const (
	tryTimeout     = 2 * time.Second // for one attempt in the background
	minRetryDelay  = 200 * time.Millisecond
	maxRetryDelay  = 5 * time.Second
	maxBaseChanges = 8 // attempts in a row after which the order waits for the next retry, if each needs a new base version
)

// Member is this process's member of the cluster. If Write returns an error, the write may or may not have been applied; sending it again
// under the same id is harmless.
type Member interface {
	Write(ctx context.Context, w *record.Write) (record.Result, error)
	Replica() *replica.Replica // nil while the member has no state to show
}

// Config holds the parameters of a Keeper.
type Config struct {
	Member Member
	By     string                               // author of the orders in the record: this process's admin listener
	Start  maintenance.Set                      // what is in force before there is a record to read
	Apply  func(maintenance.Set)                // puts a set into force here; called one at a time, in order
	Load   func() ([]byte, error)               // reads the pending orders of an earlier process; os.ErrNotExist if there are none
	Save   func([]byte) error                   // stores the pending orders
	Wait   func(time.Duration) <-chan time.Time // nil: time.After
	Log    *slog.Logger
}

// Keeper writes orders to the record, the cluster's replicated state, and applies those in it to this process.
type Keeper struct {
	Config
	wake chan struct{} // wakes Run for a new pending order

	mu          sync.Mutex
	pending     []*pendingOrder
	lastApplied *maintenance.Set // nil before the first
	lastSaved   []byte           // the pending orders last saved, encoded
}

// New returns a Keeper with the pending orders of an earlier process. If there is no file of them, the orders in Start, given before there was a
// cluster, become pending.
func New(c Config) *Keeper {
	k := &Keeper{Config: c, wake: make(chan struct{}, 1)}
	if k.Wait == nil {
		k.Wait = time.After
	}
	b, err := k.Load()
	if err == nil {
		k.pending, err = decode(b)
	}
	switch {
	case errors.Is(err, os.ErrNotExist):
		for _, id := range c.Start.WorkerIDs() {
			k.pending = append(k.pending, newOrder(Worker(id), true))
		}
		for _, name := range c.Start.Zones() {
			k.pending = append(k.pending, newOrder(Hall(name), true))
		}
	case err != nil:
		k.Log.Error("orders_ignored", "err", err)
	}
	k.mu.Lock()
	k.applyLocked()
	k.mu.Unlock()
	return k
}

// newOrder returns a pending order with a random id.
func newOrder(target Target, disabled bool) *pendingOrder {
	return &pendingOrder{Target: target, Disabled: disabled, ID: rand.Text()}
}

// Order disables or enables a worker or a zone: here at once, and at all members if the order is committed before ctx ends. It returns where the
// order is in force, Here or Everywhere, or Superseded. An order that is not committed in time is retried until it is or is superseded, also by the next
// process.
func (k *Keeper) Order(ctx context.Context, target Target, disabled bool) string {
	p := newOrder(target, disabled)
	k.mu.Lock()
	if view := k.currentView(); view != nil {
		p.Base = view.Version()
	}
	// The last order for a target wins. If the order before it is committed after all, this one becomes stale and is retried on the new base.
	k.pending = append(slices.DeleteFunc(k.pending, func(old *pendingOrder) bool { return old.Target == target }), p)
	k.applyLocked()
	k.mu.Unlock()
	if k.commit(ctx, p) {
		return Everywhere
	}
	if k.isSuperseded(p) {
		return Superseded
	}
	select {
	case k.wake <- struct{}{}:
	default:
	}
	return Here
}

// isSuperseded reports whether an order has given way to another member's.
func (k *Keeper) isSuperseded(p *pendingOrder) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return p.superseded
}

// findPending returns the pending order for a target, or nil if there is none.
func (k *Keeper) findPending(target Target) *pendingOrder {
	for _, p := range k.pending {
		if p.Target == target {
			return p
		}
	}
	return nil
}

// currentView returns the record as this member has it, or nil if it has none.
func (k *Keeper) currentView() record.View {
	if r := k.Member.Replica(); r != nil {
		return r.View()
	}
	return nil
}

// applyLocked applies the set that is now in force, and saves the pending orders, where either has changed.
func (k *Keeper) applyLocked() {
	view := k.currentView()
	k.pending = withoutEnded(view, k.pending)
	inForce := effectiveSet(view, k.Start, k.pending)
	if k.lastApplied == nil || !inForce.Equal(k.lastApplied) {
		k.lastApplied = &inForce
		k.Apply(inForce)
	}
	if b := encode(k.pending); !bytes.Equal(b, k.lastSaved) {
		if k.lastSaved = b; k.Save(b) != nil {
			k.Log.Error("orders_not_kept", "orders", len(k.pending))
		}
	}
}

// commit tries to have an order committed to the record. It reports whether it is.
func (k *Keeper) commit(ctx context.Context, p *pendingOrder) bool {
	for range maxBaseChanges {
		k.mu.Lock()
		current, done := k.findPending(p.Target) == p && !p.superseded, p.committed != 0
		w := p.toWrite(k.By)
		k.mu.Unlock()
		if !current || done {
			return done
		}
		result, err := k.Member.Write(ctx, w)
		k.mu.Lock()
		switch {
		case p.ID != w.ID || err != nil: // changed by another attempt, or the outcome is unknown: sent again later
		case result.Outcome == record.Applied:
			p.committed = result.Version
			k.applyLocked()
		case result.Outcome == record.Stale, result.Outcome == record.Forgotten:
			k.resolveLocked(p, result)
		default:
			p.rejected = true
			k.Log.Error("order_refused", "target", string(p.Target), "reason", result.Reason)
		}
		done = p.committed != 0
		stop := done || p.rejected || p.superseded || err != nil
		k.mu.Unlock()
		if stop {
			return done
		}
	}
	return false
}

// Run applies changes of the record and retries pending orders until ctx is done.
func (k *Keeper) Run(ctx context.Context) {
	delay := minRetryDelay
	var retry <-chan time.Time // is not reset when the record changes
	for ctx.Err() == nil {
		var changed, poll = k.changed()
		k.mu.Lock()
		k.applyLocked()
		next := k.nextPendingLocked()
		k.mu.Unlock()
		if next == nil {
			retry = nil
		} else if retry == nil { // with jitter, as all processes notice at once that a majority is back
			retry = k.Wait(delay/4 + time.Duration(mathrand.Float64()*float64(delay)))
		}
		select {
		case <-ctx.Done():
		case <-changed:
		case <-poll:
		case <-k.wake:
			delay, retry = minRetryDelay, nil
		case <-retry:
			retry = nil
			try, cancel := context.WithTimeout(ctx, tryTimeout)
			if k.commit(try, next) {
				delay = minRetryDelay
			} else {
				delay = min(2*delay, maxRetryDelay)
			}
			cancel()
		}
	}
}

// changed returns a channel that signals the record's next state, or, while there is no record, one that signals when to look again.
func (k *Keeper) changed() (<-chan struct{}, <-chan time.Time) {
	if r := k.Member.Replica(); r != nil {
		return r.Changed(), nil
	}
	return nil, k.Wait(minRetryDelay)
}

// nextPendingLocked returns the first pending order to retry, or nil if there is none.
func (k *Keeper) nextPendingLocked() *pendingOrder {
	for _, p := range k.pending {
		if p.committed == 0 && !p.rejected {
			return p
		}
	}
	return nil
}
