package protocol

import (
	"hash/maphash"
	"sync"
	"time"
)

// recentIDs remembers the IDs of requests that are open or were answered recently. Every request has a new ID; an ID that
// is seen again belongs to another client, and forwarding it would send a second copy of that client's request. It is safe
// for concurrent use.
type recentIDs struct {
	mu                sync.Mutex
	seed              maphash.Seed
	open              map[uint64]struct{} // hashes of the IDs of unanswered requests, however long they take
	rotated           time.Time
	current, previous map[uint64]struct{} // hashes of the IDs answered since rotated, and in the period before
}

const (
	// minIDRetention is the minimum time for which the ID of an answered request is remembered. The time is longer if
	// the configured deadlines are: until then an abandoned attempt may still run, and its client may retry.
	minIDRetention = 4 * time.Second

	// maxIDsPerPeriod bounds the IDs of answered requests remembered between two rotations. Beyond it they are
	// forgotten earlier.
	maxIDsPerPeriod = 1 << 16
)

// idRetention returns how long the ID of an answered request is remembered.
func idRetention(maxDeadline time.Duration) time.Duration { return max(maxDeadline, minIDRetention) }

// MaxIDLifetime returns the longest time for which an ID is remembered, where no deadline exceeds maxDeadline.
func MaxIDLifetime(maxDeadline time.Duration) time.Duration {
	return maxDeadline + idRetention(maxDeadline)
}

// addID reports whether no process of the sidecar has remembered an ID, and remembers it.
func (s *Server) addID(id []byte, now time.Time) bool {
	if !s.requestIDs.tryAdd(id, now, s.MaxDeadline) {
		return false
	}
	if s.SharedIDs != nil && !s.SharedIDs.TryAdd(id, MaxIDLifetime(s.MaxDeadline)) {
		s.requestIDs.finish(id, now, s.MaxDeadline)
		return false
	}
	return true
}

// finishID records that the request with an added ID has been answered.
func (s *Server) finishID(id []byte) {
	s.requestIDs.finish(id, time.Now(), s.MaxDeadline)
	if s.SharedIDs != nil {
		s.SharedIDs.Extend(id, idRetention(s.MaxDeadline))
	}
}

// tryAdd reports whether an ID is new, and remembers it until finish. maxDeadline is the longest configured deadline.
func (t *recentIDs) tryAdd(id []byte, now time.Time, maxDeadline time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.open == nil {
		t.seed = maphash.MakeSeed()
		t.open = map[uint64]struct{}{}
	}
	t.rotate(now, idRetention(maxDeadline))
	hash := maphash.Bytes(t.seed, id)
	_, open := t.open[hash]
	_, recent := t.current[hash]
	_, before := t.previous[hash]
	if open || recent || before {
		return false
	}
	t.open[hash] = struct{}{}
	return true
}

// finish records that the request with an added ID has been answered. The ID is remembered for at least maxDeadline and
// minIDRetention from now on.
func (t *recentIDs) finish(id []byte, now time.Time, maxDeadline time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	hash := maphash.Bytes(t.seed, id)
	delete(t.open, hash)
	t.rotate(now, idRetention(maxDeadline))
	t.current[hash] = struct{}{}
}

// rotate drops the IDs that have been remembered for long enough. It must be called with the lock held.
func (t *recentIDs) rotate(now time.Time, retention time.Duration) {
	age := now.Sub(t.rotated)
	if t.current != nil && age < retention && len(t.current) < maxIDsPerPeriod {
		return
	}
	if age >= 2*retention {
		t.current = nil
	}
	t.current, t.previous, t.rotated = map[uint64]struct{}{}, t.current, now
}

// logLimiter limits the rate of a log line that clients can trigger as often as they like.
type logLimiter struct {
	mu         sync.Mutex
	last       time.Time
	suppressed int
}

// logInterval is the minimum time between two lines.
const logInterval = time.Second

// allow reports whether a line may be logged now, and how many lines were suppressed before it.
func (t *logLimiter) allow(now time.Time) (suppressed int, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Sub(t.last) < logInterval {
		t.suppressed++
		return 0, false
	}
	suppressed, t.suppressed, t.last = t.suppressed, 0, now
	return suppressed, true
}
