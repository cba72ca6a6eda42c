package protocol

import (
	"encoding/json"
	"sync/atomic"

	"burlpass/internal/memory"
)

// Counters counts answers by class as the server writes them, and attempts once they are completely written to workers.
// Every counter is atomic, so that calls never wait for it. The counters start at 0 with the process.
type Counters struct {
	Success, Busy, Failure []atomic.Int64 // 200; refusals (503, 429, 410); 502 and 504; by class
	Written                atomic.Int64   // attempts of calls whose last byte was sent to a worker
}

// NewCounters returns counters for n classes.
func NewCounters(n int) *Counters {
	return &Counters{Success: make([]atomic.Int64, n), Busy: make([]atomic.Int64, n), Failure: make([]atomic.Int64, n)}
}

// answered counts an answer to a call of the given class.
func (f *Counters) answered(class int, v Verdict) {
	if f == nil || class < 0 || class >= len(f.Success) {
		return
	}
	switch v {
	case Served:
		f.Success[class].Add(1)
	case Refused, Limited, Ended: // the call has not run
		f.Busy[class].Add(1)
	default:
		f.Failure[class].Add(1)
	}
}

// StatsReport is a snapshot of the counters, as the admin listener's STATS command returns it.
type StatsReport struct {
	Success      map[string]int64 `json:"success"`
	Busy         map[string]int64 `json:"busy"`
	Failure      map[string]int64 `json:"failure"`
	BackendCalls int64            `json:"backend_calls"`
	Inflight     int              `json:"inflight"`
	HostsListed  int              `json:"hosts_listed"`
	HostsDown    int              `json:"hosts_down"`
	ListAgeMs    int64            `json:"list_age_ms"` // since the registry's last response
	Memory       memory.Report    `json:"memory"`
	Load         LoadReport       `json:"load"`
	RunDelay     []DelayCount     `json:"run_delay"`
}

// DelayCount counts how often runnable work waited for the processor for less than UnderMs and not less than the previous
// entry's. UnderMs is 0 in the last entry, which has no bound.
type DelayCount struct {
	UnderMs float64 `json:"under_ms"`
	Count   uint64  `json:"count"`
}

// FillStats fills in the counters of a report, keyed by class name.
func (f *Counters) FillStats(classes []string, into *StatsReport) {
	into.Success, into.Busy, into.Failure = map[string]int64{}, map[string]int64{}, map[string]int64{}
	for i, name := range classes {
		if i < len(f.Success) {
			into.Success[name], into.Busy[name], into.Failure[name] = f.Success[i].Load(), f.Busy[i].Load(), f.Failure[i].Load()
		}
	}
	into.BackendCalls = f.Written.Load()
}

// JSON returns the report on one line.
func (r *StatsReport) JSON() []byte {
	b, _ := json.Marshal(r) // cannot fail: the report holds only maps, strings and numbers
	return b
}
