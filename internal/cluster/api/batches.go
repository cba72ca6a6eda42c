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

// Of what is encoded once and sent to many.
const (
	cachedBodies       = 8        // answers remembered, for as many versions that followers are at
	maxCachedBodyBytes = 64 << 10 // bytes of one; a longer answer is written straight from the replica's entries
	stateCacheTTL      = 10 * time.Second
	stateSlotTimeout   = 500 * time.Millisecond
)

// bodyCache remembers the last answers' lines, so that followers at one version are sent the same bytes.
type bodyCache struct {
	mu    sync.Mutex
	slots [cachedBodies]cachedBody
	next  int
}

type cachedBody struct {
	since, version record.Version
	hash           string // a mended state may have been another one at this version
	lines          []byte // entries, then the last line
}

// lines gives the lines lines a batch lines entries, nil where it is too long to be remembered.
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

// stateCache encodes whole stateCache: one at a time, and the last one serves everybody for as long as the entries after it are
// still there. At most as many are being sent as there are slots, and so many are in memory.
type stateCache struct {
	slots    chan struct{}
	encoding chan struct{} // held while one is being encoded
	mu       sync.Mutex
	last     *encodedState
}

// encodedState is an encoded state.
type encodedState struct {
	version   record.Version
	hash      string
	lines     []byte
	lineCount int
	encodedAt time.Time
	freshAt   time.Time // it was surely the newest then
}

var errBusy = errors.New("as many whole states as are allowed are being sent")

// acquire waits a little for a slot and gives a state not older than since; done frees the slot.
func (s *stateCache) acquire(ctx context.Context, r *replica.Replica, since record.Version, freshAt time.Time) (state *encodedState, release func(), err error) {
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

// evictExpired drops the last state once it is too old to be asked for again. It is called now and then.
func (s *stateCache) evictExpired() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.last != nil && time.Since(s.last.encodedAt) > stateCacheTTL {
		s.last = nil
	}
}
