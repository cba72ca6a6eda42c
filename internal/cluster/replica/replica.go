// Package replica keeps a record together with the most recent entries that led to it. Voters apply committed entries to it
// and observers those of their source; both serve readers and followers from it.
package replica

import (
	"io"
	"runtime"
	"sync"

	"burlpass/internal/record"
)

// Default limits on the entries retained for followers. A follower that is further behind receives the full state.
const (
	DefaultEntries = 8192
	DefaultBytes   = 8 << 20
)

// Replica is a record with its recent entries. It is safe for concurrent use.
type Replica struct {
	mu      sync.Mutex
	machine *record.Machine
	view    record.View // current view; nil until it is needed after a change
	entries [][]byte    // retained entries, newest last
	bytes   int
	changed chan struct{} // closed at the next change; nil if nobody waits

	maxEntries, maxBytes int
}

// New returns a Replica that takes ownership of a machine and retains at most the given number of entries and bytes of them.
// Zero selects the defaults.
func New(m *record.Machine, entries, bytes int) *Replica {
	if entries <= 0 {
		entries = DefaultEntries
	}
	if bytes <= 0 {
		bytes = DefaultBytes
	}
	return &Replica{machine: m, maxEntries: entries, maxBytes: bytes}
}

// Apply applies the next entry, as encoded by record.Encode. An invalid entry or one of a newer format is an error and
// changes nothing.
func (r *Replica) Apply(raw []byte) (record.Result, error) {
	results, err := r.ApplyAll([][]byte{raw})
	if err != nil {
		return record.Result{}, err
	}
	return results[0], nil
}

// ApplyAll applies the next entries in order and returns their results. On an error the entries before the invalid one have
// been applied and their results are returned. Readers see all applied entries at once.
func (r *Replica) ApplyAll(raw [][]byte) ([]record.Result, error) {
	entries, err := r.prepareAll(raw)
	r.mu.Lock()
	defer r.mu.Unlock()
	results := make([]record.Result, 0, len(entries))
	for i, e := range entries {
		results = append(results, r.machine.ApplyPrepared(e))
		r.retain(raw[i])
	}
	if len(entries) > 0 {
		r.publish()
	}
	return results, err
}

// minEntriesPerGoroutine is the minimum number of entries that one goroutine prepares.
const minEntriesPerGoroutine = 16

// prepareAll decodes entries up to the first invalid one and returns its error. Decoding takes longer than applying and does
// not depend on earlier entries, so large numbers of them, as at a start, are spread over all cores.
func (r *Replica) prepareAll(raw [][]byte) ([]record.Prepared, error) {
	entries, errs := make([]record.Prepared, len(raw)), make([]error, len(raw))
	chunk := max(minEntriesPerGoroutine, (len(raw)+runtime.GOMAXPROCS(0)-1)/runtime.GOMAXPROCS(0))
	prepare := func(start int) {
		for i := start; i < min(start+chunk, len(raw)); i++ {
			e, err := record.Decode(raw[i])
			if entries[i], errs[i] = r.machine.Prepare(e), err; err != nil {
				return
			}
		}
	}
	var wg sync.WaitGroup
	for start := chunk; start < len(raw); start += chunk {
		wg.Go(func() { prepare(start) })
	}
	prepare(0)
	wg.Wait()
	for i, err := range errs {
		if err != nil {
			return entries[:i], err
		}
	}
	return entries, nil
}

// retain stores an entry for followers and drops the oldest ones beyond the limits. The caller must hold the lock.
func (r *Replica) retain(raw []byte) {
	r.entries, r.bytes = append(r.entries, raw), r.bytes+len(raw)
	drop := 0
	for len(r.entries)-drop > r.maxEntries || r.bytes > r.maxBytes && len(r.entries)-drop > 1 {
		r.bytes -= len(r.entries[drop])
		r.entries[drop] = nil
		drop++
	}
	r.entries = r.entries[drop:]
}

// Restore replaces the state by a full one, as written by record.Save. On an error nothing changes. The new state may be
// older: consensus may restore an older one on a voter, which serves no reads until it has caught up.
func (r *Replica) Restore(src io.Reader) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.machine.Restore(src); err != nil {
		return err
	}
	r.entries, r.bytes = nil, 0
	r.publish()
	return nil
}

// publish makes the current state of the machine visible. The caller must hold the lock.
func (r *Replica) publish() {
	r.view = nil
	if r.changed != nil {
		close(r.changed)
		r.changed = nil
	}
}

// currentView returns the view and creates it if necessary. The machine copies on write what a view shares, so entries that
// nobody reads in between cost no copies. The caller must hold the lock.
func (r *Replica) currentView() record.View {
	if r.view == nil {
		r.view = r.machine.View()
	}
	return r.view
}

// View returns an immutable view of the current state.
func (r *Replica) View() record.View {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.currentView()
}

// Version returns the version of the current state without creating a view.
func (r *Replica) Version() record.Version {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.view != nil {
		return r.view.Version()
	}
	return r.machine.Version()
}

// Changed returns a channel that is closed when the state changes. Call it before View to miss no change.
func (r *Replica) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.changed == nil {
		r.changed = make(chan struct{})
	}
	return r.changed
}

// Since returns the entries after a version and the view that they lead to. It returns false, with the view, if not all of
// them are retained or the version is newer than the state.
func (r *Replica) Since(v record.Version) ([][]byte, record.View, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	view := r.currentView()
	now := view.Version()
	if v > now || int(now-v) > len(r.entries) {
		return nil, view, false
	}
	tail := r.entries[len(r.entries)-int(now-v):]
	return append([][]byte(nil), tail...), view, true
}
