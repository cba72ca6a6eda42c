package world

import (
	"slices"
	"time"
)

// State is what the registry says of a worker.
type State uint8

// The states, as PROTOCOL's lifecycles.
const (
	Removed State = iota
	Draining
	Up
)

// String is the state's name as lists write it.
func (s State) String() string { return [...]string{"removed", "draining", "up"}[s] }

// Entry is one worker in the registry's list.
type Entry struct {
	Worker  int
	State   State
	Started time.Duration // of its process; negative: long ago
	Version uint64        // of the list in which it last changed
}

// Registry is the model of the service that lists the workers: it learns late, answers calls in turn and fails.
type Registry struct {
	Entries map[int]Entry
	Version uint64

	notice, silent time.Duration
	lags           []time.Duration // added by faults that go on
	pending        []change
	down           int
	each           time.Duration // that one call takes it
	timeout        time.Duration
	free           time.Duration // when it can take up the next call
}

type change struct {
	at time.Duration
	Entry
}

// NewRegistry returns a registry that lists nothing.
func NewRegistry(notice, silent time.Duration, capacity float64, timeout time.Duration) *Registry {
	return &Registry{Entries: map[int]Entry{}, notice: notice, silent: silent,
		each: time.Duration(float64(time.Second) / capacity), timeout: timeout}
}

// List puts a worker on the list at once, as before the day.
func (r *Registry) List(e Entry) { r.apply(e) }

// Change tells of a change in the world; it gets onto the list after the notice, or after the longer one of a machine
// that fell silent, and after what faults add. A later change of the same worker overtakes none before it.
func (r *Registry) Change(now time.Duration, e Entry, silent bool) {
	at := now + r.notice
	if silent {
		at = now + r.silent
	}
	for _, lag := range r.lags {
		at += lag
	}
	for i := range r.pending {
		if r.pending[i].Worker == e.Worker {
			at = max(at, r.pending[i].at)
		}
	}
	i, _ := slices.BinarySearchFunc(r.pending, at, func(c change, at time.Duration) int {
		if c.at <= at {
			return -1
		}
		return 1
	})
	r.pending = slices.Insert(r.pending, i, change{at, e})
}

// Lag adds a delay to the changes from now on, or takes one that was added away.
func (r *Registry) Lag(by time.Duration, on bool) {
	if on {
		r.lags = append(r.lags, by)
	} else if i := slices.Index(r.lags, by); i >= 0 {
		r.lags = slices.Delete(r.lags, i, i+1)
	}
}

// Fail begins or ends a time in which the service is down.
func (r *Registry) Fail(on bool) {
	if on {
		r.down++
	} else if r.down > 0 {
		r.down--
	}
}

// IsDown tells whether the service is down.
func (r *Registry) IsDown() bool { return r.down > 0 }

// Due is when the list changes next.
func (r *Registry) Due() (time.Duration, bool) {
	if len(r.pending) == 0 {
		return 0, false
	}
	return r.pending[0].at, true
}

// Advance brings the list up to a time and tells which entries changed.
func (r *Registry) Advance(now time.Duration) (changed []Entry) {
	for len(r.pending) > 0 && r.pending[0].at <= now {
		changed = append(changed, r.apply(r.pending[0].Entry))
		r.pending = r.pending[1:]
	}
	return changed
}

func (r *Registry) apply(e Entry) Entry {
	r.Version++
	e.Version = r.Version
	r.Entries[e.Worker] = e
	return e
}

// Call takes a call into its turn: it starts at the time returned, or fails then where ok is false.
func (r *Registry) Call(now time.Duration) (at time.Duration, ok bool) {
	if r.down > 0 {
		return now, false
	}
	at = max(now, r.free)
	if at-now > r.timeout {
		return now + r.timeout, false
	}
	r.free = at + r.each
	return r.free, true
}

// Since returns the entries that changed after a version, by worker; whole returns all that have not gone.
func (r *Registry) Since(version uint64, whole bool) (out []Entry) {
	for _, e := range r.Entries {
		if whole && e.State != Removed || !whole && e.Version > version {
			out = append(out, e)
		}
	}
	slices.SortFunc(out, func(a, b Entry) int { return a.Worker - b.Worker })
	return out
}
