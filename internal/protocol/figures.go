package protocol

import (
	"encoding/json"
	"sync/atomic"
)

// Figures counts answers as the server writes them, for each class, and attempts as they are written whole to
// workers. Every count is an atomic: nothing on a call's path waits for them. They begin at 0 with the process.
type Figures struct {
	Success, Busy, Failure []atomic.Int64 // 200; refusals (503, 429, 410); 502 and 504, by class
	Written                atomic.Int64   // attempts of calls whose last byte went out to a worker
}

// NewFigures returns figures for n classes.
func NewFigures(n int) *Figures {
	return &Figures{Success: make([]atomic.Int64, n), Busy: make([]atomic.Int64, n), Failure: make([]atomic.Int64, n)}
}

// answered counts an answer of a class.
func (f *Figures) answered(class int, v Verdict) {
	if f == nil || class < 0 || class >= len(f.Success) {
		return
	}
	switch v {
	case Served:
		f.Success[class].Add(1)
	case Refused, Limited, Ended: // nothing of it has run
		f.Busy[class].Add(1)
	default:
		f.Failure[class].Add(1)
	}
}

// Report is the figures of a moment, as the door's STATS shows them.
type Report struct {
	Success      map[string]int64 `json:"success"`
	Busy         map[string]int64 `json:"busy"`
	Failure      map[string]int64 `json:"failure"`
	BackendCalls int64            `json:"backend_calls"`
	Inflight     int              `json:"inflight"`
	HostsListed  int              `json:"hosts_listed"`
	HostsDown    int              `json:"hosts_down"`
	ListAgeMs    int64            `json:"list_age_ms"` // since the registry last answered
}

// Read fills in the counts of a report, each class under its name.
func (f *Figures) Read(classes []string, into *Report) {
	into.Success, into.Busy, into.Failure = map[string]int64{}, map[string]int64{}, map[string]int64{}
	for i, name := range classes {
		if i < len(f.Success) {
			into.Success[name], into.Busy[name], into.Failure[name] = f.Success[i].Load(), f.Busy[i].Load(), f.Failure[i].Load()
		}
	}
	into.BackendCalls = f.Written.Load()
}

// JSON is the report on one line.
func (r *Report) JSON() []byte {
	b, _ := json.Marshal(r) // maps of strings and numbers: it cannot fail
	return b
}
