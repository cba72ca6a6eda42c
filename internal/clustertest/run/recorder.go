package run

import (
	"slices"
	"sync"
	"time"

	"burlpass/internal/clustertest/faults"
	"burlpass/internal/clustertest/history"
	"burlpass/internal/clustertest/leases"
)

// recorder collects what a run has seen.
type recorder struct {
	mu       sync.Mutex
	history  history.History
	breaches []history.Breach
	spans    []span
	misset   map[string]bool // members whose clock was wrong some time
	leases   []leases.Lease
	starts   []leases.Start
	tables   map[string][2]string // by the record's version: a table's hash, and whose
}

func (r *recorder) lease(l leases.Lease) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leases = append(r.leases, l)
}

func (r *recorder) leased() ([]leases.Lease, []leases.Start) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.leases), slices.Clone(r.starts)
}

// table is told of a table that a member has put in force; it gives who had another one at that version, "" for nobody.
func (r *recorder) table(name, version, hash string) (other string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.tables == nil {
		r.tables = map[string][2]string{}
	}
	if had, ok := r.tables[version]; ok && had[0] != hash {
		return had[1]
	}
	r.tables[version] = [2]string{hash, name}
	return ""
}

// unsure is told that a member's clock is wrong: the age that an observer tells after its next starts is unsure.
func (r *recorder) unsure(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.misset == nil {
		r.misset = map[string]bool{}
	}
	r.misset[name] = true
}

// began is told that an observer has started, and heard that it has heard from a source since, or has ended.
func (r *recorder) began(name string, at time.Duration, observer bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.starts = append(r.starts, leases.Start{Process: name, At: machineTime()})
	if observer && r.misset[name] {
		r.history.Unsure = append(r.history.Unsure, history.Unsure{Process: name, From: at, To: forever})
	}
}

func (r *recorder) heard(name string, at time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range r.history.Unsure {
		if u := &r.history.Unsure[i]; u.Process == name && u.To == forever {
			u.To = at
		}
	}
}

func (r *recorder) write(w *history.Write) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history.Writes = append(r.history.Writes, w)
}

func (r *recorder) attempt(w *history.Write, a history.Attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	w.Attempts = append(w.Attempts, a)
}

func (r *recorder) read(one history.Read) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history.Reads = append(r.history.Reads, one)
}

func (r *recorder) forgot(f history.Forgot) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history.Forgot = append(r.history.Forgot, f)
}

// mostBreaches bounds what is kept of what the run itself has found broken.
const mostBreaches = 20

func (r *recorder) breach(b history.Breach) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.breaches) < mostBreaches {
		r.breaches = append(r.breaches, b)
	}
}

// span is one fault that was played, and when.
type span struct {
	kind     faults.Kind
	from, to time.Duration
}

func (r *recorder) played(s span) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.spans = append(r.spans, s)
}

// faults counts what was played by kind, and how often two kinds went on at once by both.
func (r *recorder) faults() (kinds map[faults.Kind]int, overlaps map[string]int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	kinds, overlaps = map[faults.Kind]int{}, map[string]int{}
	for i, a := range r.spans {
		kinds[a.kind]++
		for _, b := range r.spans[i+1:] {
			if a.from < b.to && b.from < a.to {
				overlaps[faults.Pair(a.kind, b.kind)]++
			}
		}
	}
	return kinds, overlaps
}

// newest is the latest version that any definite answer to a write has told.
func (r *recorder) newest() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	newest := uint64(0)
	for _, w := range r.history.Writes {
		for _, a := range w.Attempts {
			newest = max(newest, a.Version)
		}
	}
	return newest
}

// open are the writes that may have been taken and have no definite answer.
func (r *recorder) open() []*history.Write {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []*history.Write
	for _, w := range r.history.Writes {
		tried, told := false, false
		for _, a := range w.Attempts {
			tried = tried || !a.Refused
			told = told || !a.Refused && !a.Unknown
		}
		if tried && !told {
			list = append(list, w)
		}
	}
	return list
}
