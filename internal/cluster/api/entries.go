package api

import (
	"context"
	"errors"
	"math"
	"net/http"
	"strconv"
	"time"

	"burlpass/internal/cluster/replica"
	"burlpass/internal/record"
)

// entriesQuery is a parsed request for /v1/entries.
type entriesQuery struct {
	since       record.Version
	wait        time.Duration
	name, addr  string
	fullState   bool // return the full state, even if entries would suffice
	avoidLeader bool // refuse if this member is the leader
}

func parseEntriesQuery(r *http.Request) (a entriesQuery, err error) {
	q, err := parseQuery(r, "since", "wait_ms", "name", "addr", "state", "unless_leader")
	if err != nil {
		return a, err
	}
	since, err := parseNumber(q, "since", math.MaxInt64)
	if err != nil {
		return a, err
	}
	wait, err := parseNumber(q, "wait_ms", math.MaxInt32)
	if err != nil {
		return a, err
	}
	a = entriesQuery{since: record.Version(since), wait: min(time.Duration(wait)*time.Millisecond, maxWait), name: q["name"], addr: q["addr"],
		fullState: q["state"] == "1", avoidLeader: q["unless_leader"] == "1"}
	if a.name == "" {
		return a, errors.New("name is missing")
	}
	for _, name := range []string{"state", "unless_leader"} {
		if q[name] != "" && q[name] != "1" {
			return a, errors.New(name + ": 1 or nothing is expected")
		}
	}
	return a, validateAddr(a.addr)
}

// entriesRefusal is a response to /v1/entries without entries.
type entriesRefusal struct {
	Full         bool   `json:"full,omitempty"`
	Alternatives []Peer `json:"try,omitempty"`
	Leader       bool   `json:"leader,omitempty"`
	Nothing      string `json:"nothing,omitempty"`
	Refused      string `json:"refused,omitempty"`
}

func (s *server) entries(w http.ResponseWriter, r *http.Request) {
	a, err := parseEntriesQuery(r)
	if err != nil {
		writeInvalid(w, "query: "+err.Error())
		return
	}
	decline := func(n entriesRefusal) { writeJSON(w, http.StatusServiceUnavailable, n) }
	state := s.member.Replica()
	if state == nil {
		decline(entriesRefusal{Nothing: ErrNothing.Error()})
		return
	}
	if a.avoidLeader && s.member.Status().State == "leader" {
		decline(entriesRefusal{Leader: true})
		return
	}
	ctx, release, alternatives := s.followers.admit(r.Context(), a.name, a.addr)
	if ctx == nil {
		decline(entriesRefusal{Full: true, Alternatives: alternatives})
		return
	}
	defer release()
	started := time.Now()
	if !waitForNewer(ctx, state, a) {
		if context.Cause(ctx) == errSuperseded {
			decline(entriesRefusal{Refused: errSuperseded.Error()})
		}
		return
	}
	// The age is read before the state, so that the state is at least as new as the age claims.
	_, age, err := s.member.Read(ctx, false)
	if err != nil {
		decline(entriesRefusal{Nothing: err.Error()})
		return
	}
	freshAt := time.Now().Add(-age)
	status := s.member.Status()
	b := &Batch{Header: Header{Format: Format, Cluster: status.Cluster, Kind: KindEntries, Since: a.since,
		Path: status.Path, Leader: status.State == "leader"}}
	entries, view, ok := state.Since(a.since)
	b.Entries, b.Count, b.Version, b.Hash = entries, len(entries), view.Version(), view.Hash()
	parts, releaseState := [][]byte(nil), func() {}
	if b.Path == nil {
		b.Path = []string{status.Name}
	}
	// A follower that is ahead of this member gets a batch without entries, because an older state is useless to it.
	if a.fullState && view.Version() >= a.since || !ok && view.Version() > a.since {
		encoded, releaseSlot, err := s.states.acquire(ctx, state, a.since, freshAt)
		if err != nil {
			decline(entriesRefusal{Refused: err.Error()})
			return
		}
		releaseState, freshAt = releaseSlot, encoded.freshAt
		b.Entries, b.Kind, b.Count, b.Version, b.Hash = nil, KindState, encoded.lineCount, encoded.version, encoded.hash
		parts = [][]byte{encoded.lines, b.AppendTrailer(nil)}
	} else if lines := s.bodies.encodedLines(b); lines != nil {
		parts = [][]byte{lines}
	} else {
		for _, e := range b.Entries {
			parts = append(parts, e, []byte{'\n'})
		}
		parts = append(parts, b.AppendTrailer(nil))
	}
	defer releaseState()
	s.states.evictExpired()
	b.WaitedMs = time.Since(started).Milliseconds()
	b.AgeMs = ceilMs(time.Since(freshAt))
	s.sendBatch(w, b, parts)
}

// waitForNewer blocks until the state is newer than the queried version or the wait has passed. It returns false if the call
// has ended.
func waitForNewer(ctx context.Context, state *replica.Replica, a entriesQuery) bool {
	timer := time.NewTimer(a.wait)
	defer timer.Stop()
	for {
		changed := state.Changed()
		if a.fullState || state.View().Version() > a.since {
			return ctx.Err() == nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return true
		case <-ctx.Done():
			return false
		}
	}
}

// sendBatch writes a batch. The parts may be shared between followers and must not be modified. A follower that reads too
// slowly is disconnected.
func (s *server) sendBatch(w http.ResponseWriter, b *Batch, parts [][]byte) {
	header := b.AppendHeader(make([]byte, 0, 512))
	size := len(header)
	for _, part := range parts {
		size += len(part)
	}
	if len(parts) == 1 { // a single write for the common small response
		parts, header = nil, append(header, parts[0]...)
	}
	rc := http.NewResponseController(w)
	_ = rc.SetWriteDeadline(time.Now().Add(s.options.RequestTimeout + time.Duration(size/minSendRate)*time.Second))
	w.Header().Set("Content-Type", "application/x-ndjson")
	w.Header().Set("Content-Length", strconv.Itoa(size))
	_, err := w.Write(header)
	for i := 0; err == nil && i < len(parts); i++ {
		_, err = w.Write(parts[i])
	}
	if err == nil {
		err = rc.Flush()
	}
	if err != nil {
		panic(http.ErrAbortHandler) // the response is incomplete
	}
	_ = rc.SetWriteDeadline(time.Time{})
	s.metrics.observeBatch(b, size)
}
