// Package replica keeps a record beside the last entries that led to it. Voters feed it what consensus has committed,
// observers what their source has sent; both answer readers and followers from it.
package replica

import (
	"io"
	"runtime"
	"sync"

	"burlpass/internal/record"
)

// Bounds of the entries kept for followers; whoever is further behind gets the whole state.
const (
	DefaultEntries = 8192
	DefaultBytes   = 8 << 20
)

// Replica is a record that goes forward only. It is safe for concurrent use.
type Replica struct {
	mu      sync.Mutex
	machine *record.Machine
	view    record.View // what is shown; nil where nobody has asked since the last entry: the machine's state then
	entries [][]byte    // the last ones, the newest last
	bytes   int
	changed chan struct{} // closed at the next change; nil where nobody waits

	maxEntries, maxBytes int
}

// New returns a Replica of a machine, which nobody else may use from then on. It keeps at most that many entries and bytes
// of them; 0: the defaults.
func New(m *record.Machine, entries, bytes int) *Replica {
	if entries <= 0 {
		entries = DefaultEntries
	}
	if bytes <= 0 {
		bytes = DefaultBytes
	}
	return &Replica{machine: m, maxEntries: entries, maxBytes: bytes}
}

// Apply takes the next entry, as record.Encode made it. On an error nothing has changed: the entry is not one, or of a
// newer format.
func (r *Replica) Apply(raw []byte) (record.Result, error) {
	results, err := r.ApplyAll([][]byte{raw})
	if err != nil {
		return record.Result{}, err
	}
	return results[0], nil
}

// ApplyAll takes the next entries in their order, and gives their results. On an error the entries before the one that it is
// of have been taken, as many as there are results, and none after it. Readers see all of them at once.
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

// share is how many entries are prepared by one goroutine at least.
const minEntriesPerGoroutine = 16

// prepareAll decodes entries up to the first that is none, whose error it gives. That takes longer than applying them and
// does not depend on what is before; so many entries, as at a start, are spread over the cores.
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

// keep remembers an entry for followers, and forgets the oldest where that makes too much. It is called under the lock.
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

// Restore replaces the state by a whole one, as record.Save wrote it. On an error nothing has changed. It does not look at
// which is newer: a voter's consensus may restore an older one before it goes on, and shows nothing until then.
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

// advance publishes the machine's state. It is called under the lock.
func (r *Replica) publish() {
	r.view = nil
	if r.changed != nil {
		close(r.changed)
		r.changed = nil
	}
}

// show makes the view where it is not there yet: after one the machine copies what it changes, so that entries that nobody
// looks at between cost no copies. It is called under the lock.
func (r *Replica) currentView() record.View {
	if r.view == nil {
		r.view = r.machine.View()
	}
	return r.view
}

// View is the state of now, which does not change.
func (r *Replica) View() record.View {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.currentView()
}

// Version is the one of View, without making that.
func (r *Replica) Version() record.Version {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.view != nil {
		return r.view.Version()
	}
	return r.machine.Version()
}

// Changed is closed when the state after the one that View gives now is there: take it before View.
func (r *Replica) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.changed == nil {
		r.changed = make(chan struct{})
	}
	return r.changed
}

// Since gives the entries after a version and the state that they lead to. It is false where they are no longer all there, or
// the version is newer than the state; the state is given all the same.
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
