package api

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"sync"
	"time"
)

// Peer is a member that can be asked for entries.
type Peer struct {
	Name string `json:"name"`
	Addr string `json:"addr"`
}

// followerTable tracks the slots of a member's followers by name.
type followerTable struct {
	capacity int
	ttl      time.Duration // how long a slot is kept after the last call
	now      func() time.Time

	mu     sync.Mutex
	byName map[string]*followerSlot
}

var errSuperseded = errors.New("asked again under the same name")

// followerSlot is the slot of one follower.
type followerSlot struct {
	addr        string
	cancelCall  context.CancelCauseFunc // cancels the open call; nil between calls
	lastCallEnd time.Time               // when the last call ended
}

// admit assigns a slot to a follower, or the one that its name already has. An older call under the same name ends with
// errSuperseded: either its caller has abandoned it, or two members share a name and neither may hold two slots. callCtx is
// the context of the call and release ends it. Without a free slot callCtx is nil and alternatives lists members to ask instead.
func (f *followerTable) admit(ctx context.Context, name, addr string) (callCtx context.Context, release func(), alternatives []Peer) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch p := f.byName[name]; {
	case p != nil:
		if p.cancelCall != nil {
			p.cancelCall(errSuperseded)
		}
	case len(f.byName) >= f.capacity:
		if f.evictExpired(); len(f.byName) >= f.capacity {
			return nil, nil, f.advertised()
		}
	}
	callCtx, cancel := context.WithCancelCause(ctx)
	slot := &followerSlot{addr: addr, cancelCall: cancel}
	f.byName[name] = slot
	return callCtx, func() {
		cancel(nil)
		f.mu.Lock()
		defer f.mu.Unlock()
		slot.cancelCall, slot.lastCallEnd = nil, f.now()
	}, nil
}

// evictExpired removes the slots of followers that have not called again in time. The caller must hold the lock.
func (f *followerTable) evictExpired() {
	now := f.now()
	for name, p := range f.byName {
		if p.cancelCall == nil && now.Sub(p.lastCallEnd) > f.ttl {
			delete(f.byName, name)
		}
	}
}

// advertised lists, by name, the followers that gave an address. The caller must hold the lock.
func (f *followerTable) advertised() []Peer {
	var list []Peer
	for name, p := range f.byName {
		if p.addr != "" {
			list = append(list, Peer{name, p.addr})
		}
	}
	slices.SortFunc(list, func(a, b Peer) int { return cmp.Compare(a.Name, b.Name) })
	return list
}

// count returns the number of occupied slots.
func (f *followerTable) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.evictExpired()
	return len(f.byName)
}
