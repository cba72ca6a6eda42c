// Package usage counts at one process the calls (client requests) of API versions that are being retired, by caller, and periodically reports
// the counts to the record, the cluster's replicated state. docs/retire.md describes the design.
package usage

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"

	"burlpass/internal/retire"
)

// Line counts the calls of one timeline, by caller. It is safe for concurrent use.
type Line struct {
	callers atomic.Pointer[map[string]*Counts] // copied and replaced for each new caller
	mu      sync.Mutex                         // held while callers is replaced
	others  Counts
}

// Counts holds the counters of one caller. They only rise.
type Counts struct {
	calls, warned, shed, worth, next, failed atomic.Int64
	_                                        [16]byte // padding: two callers do not share a cache line
}

// Of returns the counters of a caller: its own for the first retire.MaxCallers callers with a valid name, the common ones for all others.
// It allocates only for a new caller.
func (l *Line) Of(caller string) *Counts {
	callers := l.callers.Load()
	if callers != nil {
		if c := (*callers)[caller]; c != nil {
			return c
		}
		if len(*callers) >= retire.MaxCallers {
			return &l.others
		}
	}
	if !retire.Name(caller) {
		return &l.others
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	updated := map[string]*Counts{}
	if callers = l.callers.Load(); callers != nil {
		if c := (*callers)[caller]; c != nil {
			return c
		}
		if len(*callers) >= retire.MaxCallers {
			return &l.others
		}
		updated = maps.Clone(*callers)
	}
	c := &Counts{}
	updated[strings.Clone(caller)] = c // a call's strings are parts of larger ones, which would stay in memory
	l.callers.Store(&updated)
	return c
}

// Called counts a call of the version, before its outcome is counted.
func (c *Counts) Called() { c.calls.Add(1) }

// Warned counts a response that announced the end of the version and was written in full.
func (c *Counts) Warned() { c.warned.Add(1) }

// Shed counts a call that is temporarily refused, and its worth.
func (c *Counts) Shed(worth int64) {
	c.shed.Add(1)
	c.worth.Add(worth)
}

// Next counts a call of the successor version.
func (c *Counts) Next(failed bool) {
	c.next.Add(1)
	if failed {
		c.failed.Add(1)
	}
}

// snapshot reads the counters. A counter that is part of another one is read first, so that it never exceeds it.
func (c *Counts) snapshot(caller string) retire.Count {
	out := retire.Count{Caller: caller, Warned: c.warned.Load(), Worth: c.worth.Load(), Shed: c.shed.Load(), Failed: c.failed.Load()}
	out.Calls, out.Next = c.calls.Load(), c.next.Load()
	return out
}

// snapshot reads the counters of all callers, without timestamps.
func (l *Line) snapshot() retire.Use {
	var use retire.Use
	if callers := l.callers.Load(); callers != nil {
		for _, caller := range slices.Sorted(maps.Keys(*callers)) {
			use.Callers = append(use.Callers, (*callers)[caller].snapshot(caller))
		}
	}
	use.Others = l.others.snapshot("")
	return use
}
