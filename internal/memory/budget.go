// Package memory owns the memory that the process holds for its peers: what is buffered of their messages is taken from a
// budget before it is read, and given back once.
package memory

import (
	"context"
	"sync/atomic"

	"golang.org/x/sync/semaphore"
)

// Kind is what memory is used for. Each kind has a share of its own, so that large messages leave room for small ones.
type Kind uint8

// The kinds.
const (
	Heads     Kind = iota // heads beyond a connection's own buffer, and bodies of at most SmallBody bytes
	Bodies                // longer bodies, and the beginnings of those that are streamed
	Responses             // responses of backends that are read whole
	Transfers             // pieces of long messages, and requests sent ahead
	kinds
)

// SmallBody is the size in bytes up to which a body counts among the Heads.
const SmallBody = 4 << 10

// String returns the name of a kind as figures show it.
func (k Kind) String() string {
	return [kinds]string{"heads", "bodies", "responses", "transfers"}[k]
}

// shares divides a budget among the kinds.
var shares = [kinds]float64{Heads: 0.3, Bodies: 0.25, Responses: 0.25, Transfers: 0.2}

// Budget limits the memory held for peers. A nil Budget has no limit. It is safe for concurrent use.
type Budget struct {
	pools [kinds]pool
	held  atomic.Int64 // bytes, of all kinds
	peak  atomic.Int64 // of held
}

// pool is the part of one kind.
type pool struct {
	limit   int64
	free    *semaphore.Weighted
	held    atomic.Int64
	refused atomic.Int64
}

// NewBudget returns a budget of n bytes.
func NewBudget(n int64) *Budget {
	b := &Budget{}
	for kind := range b.pools {
		limit := int64(float64(n) * shares[kind])
		b.pools[kind].limit, b.pools[kind].free = limit, semaphore.NewWeighted(limit)
	}
	return b
}

// TryAcquire takes n bytes if they are free, and reports whether it did. They belong to the grant from then on.
func (b *Budget) TryAcquire(grant *Grant, kind Kind, n int64) bool {
	return b.acquire(grant, kind, n, func(free *semaphore.Weighted) bool { return free.TryAcquire(n) })
}

// Acquire is TryAcquire, but waits for the bytes until ctx is done. Those who wait are served in their order.
func (b *Budget) Acquire(ctx context.Context, grant *Grant, kind Kind, n int64) bool {
	return b.acquire(grant, kind, n, func(free *semaphore.Weighted) bool { return free.Acquire(ctx, n) == nil })
}

func (b *Budget) acquire(grant *Grant, kind Kind, n int64, take func(*semaphore.Weighted) bool) bool {
	if b == nil || n <= 0 {
		return true
	}
	p := &b.pools[kind]
	if n > p.limit || !take(p.free) {
		p.refused.Add(1)
		return false
	}
	p.held.Add(n)
	if held := b.held.Add(n); held > b.peak.Load() {
		b.peak.Store(held)
	}
	grant.budget = b
	grant.bytes[kind] += n
	return true
}

// Grant is memory that was taken from a budget for one purpose. Its zero value holds nothing. It is not safe for concurrent use.
type Grant struct {
	budget *Budget
	bytes  [kinds]int64
}

// Release gives everything back.
func (g *Grant) Release() {
	for kind, n := range g.bytes {
		if n == 0 {
			continue
		}
		p := &g.budget.pools[kind]
		p.held.Add(-n)
		g.budget.held.Add(-n)
		p.free.Release(n)
	}
	g.bytes = [kinds]int64{}
}

// Usage is the state of one kind.
type Usage struct {
	Held    int64 `json:"held"`    // bytes
	Limit   int64 `json:"limit"`   // bytes
	Refused int64 `json:"refused"` // requests for memory that were not granted
}

// Report is the state of a budget.
type Report struct {
	Held  int64            `json:"held"` // bytes
	Peak  int64            `json:"peak"` // the most bytes held at any time
	Kinds map[string]Usage `json:"kinds"`
}

// Report returns the current state; the zero Report for a nil Budget.
func (b *Budget) Report() (r Report) {
	if b == nil {
		return r
	}
	r = Report{Held: b.held.Load(), Peak: b.peak.Load(), Kinds: map[string]Usage{}}
	for kind := range b.pools {
		p := &b.pools[kind]
		r.Kinds[Kind(kind).String()] = Usage{p.held.Load(), p.limit, p.refused.Load()}
	}
	return r
}
