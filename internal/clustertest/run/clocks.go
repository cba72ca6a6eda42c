package run

import (
	"context"
	"errors"
	"io/fs"
	"math/rand/v2"
	"time"

	"burlpass/internal/clustertest/faults"
)

// wrong is a clock that is not right.
type wrong struct {
	voter, ahead bool
	until        time.Duration // counted as wrong up to then; forever while it is
}

// clockGap is how long a clock that has been set right counts as wrong: readings under way, and those of a leader that stood
// still meanwhile, would be of two.
const clockGap = 3 * time.Second

// misset sets a clock wrong, or has it jump. Of voters only so many are wrong at once that the record's time is never ahead. False
// where this one would be one too many.
func (f *fleet) misset(ctx context.Context, fault faults.Fault, m *member, r *rand.Rand) bool {
	if !f.mayMisset(m, fault.Kind == faults.Jump || fault.Size > 0) {
		f.log.note("test", "skipped: the clock of %s is wrong already, or too many others are", m.name)
		return false
	}
	f.seen.unsure(m.name)
	gap, off := fault.For, func() int64 { return fault.Size }
	if fault.Kind == faults.Jump {
		gap, off = fault.Delay, func() int64 { return r.Int64N(2*fault.Size+1) - fault.Size }
	}
	for at := fault.At; at < fault.End() && ctx.Err() == nil; at += max(gap, time.Millisecond) {
		if err := m.set(clockFile, off()); err != nil {
			f.log.note("test", "the clock of %s: %v", m.name, err)
		}
		f.until(ctx, min(at+gap, fault.End()))
	}
	if err := m.set(clockFile, 0); err != nil && !errors.Is(err, fs.ErrNotExist) {
		f.log.note("test", "%s keeps its wrong clock: %v", m.name, err)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.wrong[m.name] = wrong{m.voter, f.wrong[m.name].ahead, f.log.now() + clockGap}
	return true
}

// mayMisset marks a member's clock as wrong, if it may be.
func (f *fleet) mayMisset(m *member, ahead bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	all, fast := 0, 0
	for name, w := range f.wrong {
		switch {
		case w.until < f.log.now():
		case name == m.name:
			return false
		case w.voter:
			all++
			if w.ahead {
				fast++
			}
		}
	}
	most, mostFast := faults.Wrong(len(f.plan.Voters))
	if m.voter && (all >= most || ahead && fast >= mostFast) {
		return false
	}
	f.wrong[m.name] = wrong{m.voter, ahead, forever}
	return true
}

// slowDisk has a member's disk take longer for each commit; false where it is slow already.
func (f *fleet) slowDisk(ctx context.Context, fault faults.Fault, m *member) bool {
	f.mu.Lock()
	already := f.slow[m.name]
	f.slow[m.name] = true
	f.mu.Unlock()
	if already {
		f.log.note("test", "skipped: the disk of %s is slow already", m.name)
		return false
	}
	err := m.set(syncFile, fault.Delay.Milliseconds())
	if err == nil {
		f.until(ctx, fault.End())
		err = m.set(syncFile, 0)
	}
	if err != nil {
		f.log.note("test", "the disk of %s: %v", m.name, err)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.slow[m.name] = false
	return true
}
