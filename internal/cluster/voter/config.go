// Package voter is a member that agrees with the others on the record's entries: consensus by hashicorp/raft, over an
// identity and a log on its own disk. docs/cluster.md has the design.
package voter

import (
	"cmp"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"strings"
	"time"

	"burlpass/internal/cluster/api"
	"burlpass/internal/lease"
	"burlpass/internal/logging"
	"burlpass/internal/record"
)

// Peer is a voter as the configuration names it.
type Peer struct {
	Name string
	Addr string // host:port
}

// Timings of a voter; zero values stand for the defaults, which suit a local network. All voters of a cluster should have
// the same.
type Timings struct {
	Heartbeat         time.Duration // a follower that has heard nothing from its leader for one to two of it asks for an election
	Election          time.Duration // at most half of the time that one try of an election takes; at least Heartbeat
	LeaderLease       time.Duration // a leader that has heard from no majority for so long steps down; at most Heartbeat
	HeartbeatInterval time.Duration // a leader's heartbeats go out each one to two of it; at most a third of Lease
	CommitInterval    time.Duration // a follower hears within one to two of it of what was committed, where nothing new is written
	DiskStall         time.Duration // a leader one of whose writes to its disk takes longer goes silent until it is done
	CallTimeout       time.Duration // for one call between voters; a snapshot has so much for each 256 KiB
	Clock             time.Duration // between two clock entries; below 0: none
	JoinInterval      time.Duration // between two tries to form or to be taken in
	LeaderWait        time.Duration // for a leader, of a write or a consistent read
	Snapshot          time.Duration // between two looks at whether a snapshot is due, at least
	Threshold         uint64        // entries since the last snapshot that make one due
	Trailing          uint64        // entries that are kept before it
}

// The defaults of Timings.
const (
	DefaultHeartbeat         = 400 * time.Millisecond
	DefaultElection          = 400 * time.Millisecond
	DefaultLeaderLease       = 350 * time.Millisecond
	DefaultHeartbeatInterval = 100 * time.Millisecond
	DefaultCommitInterval    = 100 * time.Millisecond
	DefaultDiskStall         = 2 * time.Second
	DefaultCallTimeout       = 2 * time.Second
	DefaultClockInterval     = time.Second
	DefaultJoinInterval      = 250 * time.Millisecond
	DefaultLeaderWait        = 3 * time.Second
	DefaultSnapshot          = 30 * time.Second
	DefaultThreshold         = 8192
	DefaultTrailing          = 8192
)

// Config of a Voter.
type Config struct {
	Cluster string // the cluster's name
	Name    string // this voter's, one of Voters
	Folder  string // its own, which exists
	Voters  []Peer // in the one order that all have; the first one forms the cluster
	Bounds  record.Bounds
	Domains []record.Domain
	Entries int // kept for followers; 0: the replica's default
	Timings Timings
	Log     *slog.Logger // nil: none
	// Reign is run while this voter leads and shows all that was committed before; it returns soon after its context is done. nil: nothing.
	Reign func(ctx context.Context, m api.Member)
	// Dial makes all connections to other voters; nil: the system's.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
	// Limits are those of the fleet by a state of the record. It is called by the leader, when the record has changed; nil: none, and
	// questions about leases are refused.
	Limits func(record.View) []lease.Limit
	// Now is read for the record's clock entries only; nil: time.Now.
	Now func() time.Time
}

const maxNameBytes = 64

func (c *Config) validate() error {
	if c.Cluster == "" || len(c.Cluster) > maxNameBytes {
		return fmt.Errorf("cluster: the name %q must have 1 to %d bytes", c.Cluster, maxNameBytes)
	}
	switch len(c.Voters) {
	case 1, 3, 5, 7:
	default:
		return fmt.Errorf("voters: there are %d, and 1, 3, 5 or 7 are expected", len(c.Voters))
	}
	seen := map[string]bool{}
	for i, p := range c.Voters {
		if p.Name == "" || len(p.Name) > maxNameBytes || strings.ContainsAny(p.Name, "/ \t\r\n") {
			return fmt.Errorf("voters[%d].name: %q must have 1 to %d bytes without slashes and spaces", i, p.Name, maxNameBytes)
		}
		if _, _, err := net.SplitHostPort(p.Addr); err != nil {
			return fmt.Errorf("voters[%d].addr: %w", i, err)
		}
		if seen["name "+p.Name] || seen["addr "+p.Addr] {
			return fmt.Errorf("voters[%d]: its name or address is another one's too", i)
		}
		seen["name "+p.Name], seen["addr "+p.Addr] = true, true
	}
	if !seen["name "+c.Name] {
		return fmt.Errorf("name: %q is none of the voters", c.Name)
	}
	t := &c.Timings
	t.Heartbeat = cmp.Or(t.Heartbeat, DefaultHeartbeat)
	t.Election, t.LeaderLease = cmp.Or(t.Election, max(DefaultElection, t.Heartbeat)), cmp.Or(t.LeaderLease, min(DefaultLeaderLease, t.Heartbeat))
	t.HeartbeatInterval = cmp.Or(t.HeartbeatInterval, min(DefaultHeartbeatInterval, t.LeaderLease/3))
	t.CommitInterval, t.CallTimeout, t.DiskStall = cmp.Or(t.CommitInterval, DefaultCommitInterval), cmp.Or(t.CallTimeout, DefaultCallTimeout), cmp.Or(t.DiskStall, DefaultDiskStall)
	t.Clock, t.JoinInterval, t.LeaderWait = cmp.Or(t.Clock, DefaultClockInterval), cmp.Or(t.JoinInterval, DefaultJoinInterval), cmp.Or(t.LeaderWait, DefaultLeaderWait)
	t.Snapshot = cmp.Or(t.Snapshot, DefaultSnapshot)
	t.Threshold, t.Trailing = cmp.Or(t.Threshold, DefaultThreshold), cmp.Or(t.Trailing, DefaultTrailing)
	if t.LeaderLease > t.Heartbeat || t.Heartbeat > t.Election {
		return errors.New("timings: lease, heartbeat and election must not get shorter in this order")
	}
	if t.HeartbeatInterval < 0 || t.HeartbeatInterval > t.LeaderLease/3 {
		return errors.New("timings: a beat must be at most a third of the lease")
	}
	if c.Log == nil {
		c.Log = logging.Discard()
	}
	if c.Dial == nil {
		c.Dial = (&net.Dialer{KeepAlive: 5 * time.Second}).DialContext
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	return nil
}

// address gives a configured voter's host:port, "" for another name.
func (c *Config) address(name string) string {
	for _, p := range c.Voters {
		if p.Name == name {
			return p.Addr
		}
	}
	return ""
}

// listed is the same for all voters that go by the same list in the same order.
func (c *Config) votersHash() string {
	h := sha256.New()
	fmt.Fprintf(h, "%s\n", c.Cluster)
	for _, p := range c.Voters {
		fmt.Fprintf(h, "%s\n", p.Name)
	}
	return hex.EncodeToString(h.Sum(nil))
}

func (c *Config) isFirst() bool { return c.Voters[0].Name == c.Name }
