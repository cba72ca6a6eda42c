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

// followerTable are the places that a member has for those who follow it, by name.
type followerTable struct {
	capacity int
	ttl      time.Duration // a place stays so long after its last call
	now      func() time.Time

	mu     sync.Mutex
	byName map[string]*followerSlot
}

var errSuperseded = errors.New("asked again under the same name")

type followerSlot struct {
	addr        string
	cancelCall  context.CancelCauseFunc // of the open call; nil between calls
	lastCallEnd time.Time               // the last call ended
}

// admit takes a place, or the one that the name has already. An older call under the same name ends with errAnew: its
// caller has given it up, or two members share a name, and then neither may hold two places. The context is the
// call's; leave ends it. Without a free place it gives those to ask instead.
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

// forget drops the places of those who have not asked again. It is called under the lock.
func (f *followerTable) evictExpired() {
	now := f.now()
	for name, p := range f.byName {
		if p.cancelCall == nil && now.Sub(p.lastCallEnd) > f.ttl {
			delete(f.byName, name)
		}
	}
}

// present lists, by name, the followers that gave an address. It is called under the lock.
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

// count is how many places are taken.
func (f *followerTable) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.evictExpired()
	return len(f.byName)
}
