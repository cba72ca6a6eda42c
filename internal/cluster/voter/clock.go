package voter

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/hashicorp/raft"

	"burlpass/internal/cluster/voter/link"
	"burlpass/internal/record"
)

const (
	clockCallTimeout   = 300 * time.Millisecond
	rememberedReadings = 16
)

// clockHistory remembers when this voter took its most recent clock readings.
type clockHistory struct {
	mu       sync.Mutex
	readings [rememberedReadings]int64
	takenAt  [rememberedReadings]time.Time
	next     int
}

// read returns the wall clock in milliseconds. A value that was returned before keeps the time of its first reading.
func (c *clockHistory) read(now func() time.Time) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	when := time.Now() // before reading the clock, so that the recorded time is never too late
	ms := now().UnixMilli()
	for _, reading := range c.readings {
		if reading == ms {
			return ms
		}
	}
	c.readings[c.next], c.takenAt[c.next] = ms, when
	c.next = (c.next + 1) % rememberedReadings
	return ms
}

// takenTime returns when a reading was first taken, or the zero time if it is no longer remembered.
func (c *clockHistory) takenTime(ms int64) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, reading := range c.readings {
		if reading == ms {
			return c.takenAt[i]
		}
	}
	return time.Time{}
}

// clockReply is the response body of GET /v1/clock.
type clockReply struct {
	Cluster  string `json:"cluster"`
	Name     string `json:"name"`
	Identity string `json:"identity"`
	Ms       int64  `json:"ms"`      // Unix time by the voter's clock
	Applied  uint64 `json:"applied"` // index of the last log entry that it has applied
}

func (v *Voter) serveClock(w http.ResponseWriter, _ *http.Request) {
	id := v.disk.Identity()
	reply := clockReply{Cluster: id.Cluster, Name: v.c.Name, Identity: id.Identity}
	if err := v.failure(); err != nil {
		writeRefusal(w, http.StatusServiceUnavailable, refusal{Refused: err.Error()})
		return
	}
	if run := v.currentRun(); run != nil {
		reply.Applied = run.raft.AppliedIndex()
	}
	reply.Ms = v.clock.read(v.c.Now)
	writeJSON(w, http.StatusOK, reply)
}

// proposeClockEntries periodically proposes a clock entry with the voters' readings, until the leadership ends.
func (v *Voter) proposeClockEntries(ctx context.Context, run *raftRun) {
	if v.c.Timings.ClockInterval < 0 {
		return
	}
	ticker := time.NewTicker(v.c.Timings.ClockInterval)
	defer ticker.Stop()
	for {
		if raw := v.readClocks(ctx, run); raw != nil {
			_, _ = v.propose(ctx, run, raw) // a failed proposal is replaced by the next one
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// readClocks asks all voters for their clocks and returns the encoded clock entry, or nil if no majority answers in time.
func (v *Voter) readClocks(ctx context.Context, run *raftRun) []byte {
	ctx, cancel := context.WithTimeout(ctx, clockCallTimeout)
	defer cancel()
	var voters []raft.Server
	for _, s := range run.raft.GetConfiguration().Configuration().Servers {
		if s.Suffrage == raft.Voter {
			voters = append(voters, s)
		}
	}
	readings := make([]record.Reading, len(voters))
	var wg sync.WaitGroup
	for i, s := range voters {
		wg.Add(1)
		go func() {
			defer wg.Done()
			name, identity := link.Split(s.Address)
			if identity == v.identity() {
				readings[i] = record.Reading{Voter: identity, Ms: v.clock.read(v.c.Now)}
				return
			}
			var reply clockReply
			if v.peers.call(ctx, name, http.MethodGet, "/v1/clock", nil, &reply) == nil && reply.Identity == identity && reply.Cluster == run.cluster {
				readings[i] = record.Reading{Voter: identity, Ms: reply.Ms}
			}
		}()
	}
	wg.Wait()
	var received []record.Reading
	for _, r := range readings {
		if r.Voter != "" {
			received = append(received, r)
		}
	}
	if len(received) <= len(voters)/2 {
		return nil
	}
	raw, err := record.Encode(&record.Entry{Clock: &record.Clock{Voters: len(voters), Readings: received}})
	if err != nil {
		v.throttled.warn("cluster_clock", "fault", err)
		return nil
	}
	return raw
}
