package api

import (
	"bytes"
	"context"
	"errors"
	"sync"
	"time"

	"burlpass/internal/cluster/replica"
	"burlpass/internal/record"
)

// Limits of the caches of encoded entries and states.
const (
	cachedBodies       = 8        // response bodies, one for each version that followers are at
	maxCachedBodyBytes = 64 << 10 // longer responses are written directly from the replica's entries
	stateCacheTTL      = 10 * time.Second
	stateSlotTimeout   = 500 * time.Millisecond
)

// bodyCache holds the most recent response bodies, so that followers at the same version share the same bytes.
type bodyCache struct {
	mu    sync.Mutex
	slots [cachedBodies]cachedBody
	next  int
}

// cachedBody is the encoded response from one version to another.
type cachedBody struct {
	since, version record.Version
	hash           string // two states at one version may differ after a repair
	lines          []byte // entries and the trailer
}

// encodedLines returns the encoded entries and trailer of a batch, or nil if they are too long for the cache.
func (c *bodyCache) encodedLines(b *Batch) []byte {
	if b.Size() > maxCachedBodyBytes {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range c.slots {
		if cached := &c.slots[i]; cached.lines != nil && cached.since == b.Since && cached.version == b.Version && cached.hash == b.Hash {
			return cached.lines
		}
	}
	lines := make([]byte, 0, b.Size()+128)
	for _, e := range b.Entries {
		lines = append(append(lines, e...), '\n')
	}
	lines = b.AppendTrailer(lines)
	c.slots[c.next] = cachedBody{b.Since, b.Version, b.Hash, lines}
	c.next = (c.next + 1) % cachedBodies
	return lines
}

// stateCache encodes full states. Only one is encoded at a time, and it is reused while the replica still has the entries
// after it. The number of slots limits the concurrent transfers and so the number of encoded states in memory.
type stateCache struct {
	slots    chan struct{}
	encoding chan struct{} // held while a state is encoded
	mu       sync.Mutex
	last     *encodedState
}

// encodedState is a full state in its encoded form.
type encodedState struct {
	version   record.Version
	hash      string
	lines     []byte
	lineCount int
	encodedAt time.Time
	freshAt   time.Time // when it was certainly the newest
}

var errBusy = errors.New("as many whole states as are allowed are being sent")

// acquire waits up to stateSlotTimeout for a slot and returns a state that is not older than since. The caller must call
// release after the transfer.
func (s *stateCache) acquire(ctx context.Context, r *replica.Replica, since record.Version, freshAt time.Time) (
	state *encodedState, release func(), err error,
) {
	ctx, cancel := context.WithTimeout(ctx, stateSlotTimeout)
	defer cancel()
	select {
	case s.slots <- struct{}{}:
	case <-ctx.Done():
		return nil, nil, errBusy
	}
	release = func() { <-s.slots }
	defer func() {
		if err != nil {
			release()
		}
	}()
	select {
	case s.encoding <- struct{}{}:
		defer func() { <-s.encoding }()
	case <-ctx.Done():
		return nil, nil, errBusy
	}
	s.mu.Lock()
	last := s.last
	s.mu.Unlock()
	if last != nil && last.version >= since {
		if _, current, ok := r.Since(last.version); ok && (current.Version() != last.version || current.Hash() == last.hash) {
			return last, release, nil
		}
	}
	view := r.View()
	var buf bytes.Buffer
	if err = record.Save(&buf, view); err != nil {
		return nil, nil, err
	}
	state = &encodedState{view.Version(), view.Hash(), buf.Bytes(), bytes.Count(buf.Bytes(), []byte{'\n'}), time.Now(), freshAt}
	s.mu.Lock()
	s.last = state
	s.mu.Unlock()
	return state, release, nil
}

// evictExpired drops the cached state once it has expired. It is called after each request for entries.
func (s *stateCache) evictExpired() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.last != nil && time.Since(s.last.encodedAt) > stateCacheTTL {
		s.last = nil
	}
}
