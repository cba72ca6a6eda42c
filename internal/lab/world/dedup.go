package world

import "time"

// Dedup is what the workers of one hall share of keyed calls: the first with a key has its effect, a repeat within the
// window is dropped and costs nothing but its answer.
type Dedup struct {
	window time.Duration
	seen   map[string]time.Duration
	swept  time.Duration
}

// NewDedup returns the memory of one hall for one class.
func NewDedup(window time.Duration) *Dedup {
	return &Dedup{window: window, seen: map[string]time.Duration{}}
}

// First tells whether a key is new within the window at a time, and remembers it from then on.
func (d *Dedup) First(now time.Duration, key string) bool {
	if now-d.swept > d.window {
		for k, at := range d.seen {
			if now-at > d.window {
				delete(d.seen, k)
			}
		}
		d.swept = now
	}
	if at, ok := d.seen[key]; ok && now-at <= d.window {
		return false
	}
	d.seen[key] = now
	return true
}

// Forget takes back what First remembered, for a call that was turned away before it ran.
func (d *Dedup) Forget(key string) { delete(d.seen, key) }
