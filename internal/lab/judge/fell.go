package judge

import (
	"slices"
	"time"
)

// fell blames sidecars that knew of the worker's start where two thirds of the work that pushed it over was theirs, as
// far as they sent it knowing: what a sidecar sent to the address before it was told of the start, it sent to the
// process before.
func (j *Judge) fell(e *Event) {
	sum, knew, most := 0.0, 0.0, -1
	for _, n := range sortedKeys(e.From) {
		sum += e.From[n]
		s := j.sidecars[n]
		t, ok := s.told[e.Worker]
		ok = ok && t.started == e.Started && t.since <= e.At
		l, listed := j.listed[e.Worker]
		if ok || listed && l.started == e.Started && e.At > j.due(s, l.since) {
			since := max(t.since, s.began)
			if !ok {
				since = j.due(s, l.since)
			}
			knew += e.From[n] * j.knowing(e, n, since)
			if most < 0 || e.From[n] > e.From[most] {
				most = n
			}
		}
	}
	j.tally.fell++
	if knew >= sum*2/3 {
		j.broke(Cold, most, "w%03d was pushed over %v after its start", e.Worker, e.At-e.Started)
	}
}

// knowing is the share of a sidecar's attempts of late to a worker that it sent after it was told; all of it where it
// sent none, as for probes and handshakes.
func (j *Judge) knowing(e *Event, sidecar int, told time.Duration) float64 {
	all, after := 0, 0
	for _, a := range j.attempts {
		if a.worker == e.Worker && a.sidecar == sidecar && a.at > max(e.At-j.rules.FallTime, e.Started) {
			all++
			if a.got > told+slack {
				after++
			}
		}
	}
	if all == 0 {
		return 1
	}
	return float64(after) / float64(all)
}

func sortedKeys[V any](m map[int]V) (keys []int) {
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
