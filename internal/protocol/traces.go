package protocol

import (
	"hash/maphash"
	"sync"
	"time"
)

// traces remembers the ids of the requests that are open, and of those answered of late. An id is fresh on every request;
// one that comes again is another client's, and passing it on would be a second copy of that client's request. It is safe for
// concurrent use.
type traces struct {
	mu      sync.Mutex
	seed    maphash.Seed
	open    map[uint64]struct{} // hashes of the ids of requests without an answer, however long that takes
	turned  time.Time
	of, old map[uint64]struct{} // hashes of the ids answered since turned, and of those before
}

const (
	// traceMemory is the least time for which the id of an answered request is remembered. It is longer where the
	// deadlines of the settings are: an attempt that was given up may still run, and its client may come again, until then.
	traceMemory = 4 * time.Second

	// mostTraces bounds the ids remembered of answered requests between two turns. Past it they are forgotten earlier.
	mostTraces = 1 << 16
)

// take tells whether an id is new, and remembers it until end. longest is the settings' longest deadline.
func (t *traces) take(id []byte, now time.Time, longest time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.open == nil {
		t.seed = maphash.MakeSeed()
		t.open = map[uint64]struct{}{}
	}
	t.turn(now, max(longest, traceMemory))
	hash := maphash.Bytes(t.seed, id)
	_, open := t.open[hash]
	_, recent := t.of[hash]
	_, before := t.old[hash]
	if open || recent || before {
		return false
	}
	t.open[hash] = struct{}{}
	return true
}

// end notes that the request of an id that was taken is over. Its id is remembered for at least longest and traceMemory
// from now on.
func (t *traces) end(id []byte, now time.Time, longest time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	hash := maphash.Bytes(t.seed, id)
	delete(t.open, hash)
	t.turn(now, max(longest, traceMemory))
	t.of[hash] = struct{}{}
}

// turn lets go of the ids that have been remembered for long enough. It is called under the lock.
func (t *traces) turn(now time.Time, memory time.Duration) {
	age := now.Sub(t.turned)
	if t.of != nil && age < memory && len(t.of) < mostTraces {
		return
	}
	if age >= 2*memory {
		t.of = nil
	}
	t.of, t.old, t.turned = map[uint64]struct{}{}, t.of, now
}

// tally thins out a log line that others can bring about as often as they like.
type tally struct {
	mu   sync.Mutex
	last time.Time
	held int
}

// tallyPace is the least time between two lines.
const tallyPace = time.Second

// due tells whether a line may be written now, and how many were held back before it.
func (t *tally) due(now time.Time) (held int, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Sub(t.last) < tallyPace {
		t.held++
		return 0, false
	}
	held, t.held, t.last = t.held, 0, now
	return held, true
}
