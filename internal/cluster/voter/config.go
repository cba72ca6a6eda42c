// Package voter implements a cluster member that takes part in consensus on the record's entries. It runs hashicorp/raft
// on an identity and a log kept on its own disk. docs/cluster.md describes the design.
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

// Peer is a voter listed in the configuration.
type Peer struct {
	Name string
	Addr string // host:port
}

// Timings are the timeouts and intervals of a voter. Zero values select the defaults, which suit a local network. All voters
// of a cluster should use the same values.
type Timings struct {
	Heartbeat         time.Duration // a follower starts an election after one to two times this without contact from the leader
	Election          time.Duration // an election round times out after one to two times this; at least Heartbeat
	LeaderLease       time.Duration // a leader without contact to a majority for this long steps down; at most Heartbeat
	HeartbeatInterval time.Duration // a leader sends a heartbeat every one to two times this; at most a third of LeaderLease
	CommitInterval    time.Duration // without new writes, a follower learns the commit index within one to two times this
	DiskStall         time.Duration // a leader closes its connections while a disk write takes longer than this
	CallTimeout       time.Duration // timeout of one call between voters; a snapshot transfer gets this much per 256 KiB
	ClockInterval     time.Duration // between two clock entries; negative disables them
	JoinInterval      time.Duration // between two attempts to form or join the cluster
	LeaderWait        time.Duration // how long a write or a consistent read is retried while there is no leader
	Snapshot          time.Duration // minimum time between two checks whether a snapshot is due
	Threshold         uint64        // entries since the last snapshot that trigger the next one
	Trailing          uint64        // log entries kept from before a snapshot
}

// Defaults of Timings.
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

// Config configures a Voter.
type Config struct {
	Cluster string // the cluster's name
	Name    string // the name of this voter, one of Voters
	Folder  string // the voter's own data directory, which must exist
	Voters  []Peer // in the same order on all voters; the first one forms the cluster
	Bounds  record.Bounds
	Domains []record.Domain
	Entries int // entries kept for followers; 0 means the replica's default
	Timings Timings
	Log     *slog.Logger // nil discards all output
	// WhileLeading, if set, runs while this voter is the leader and has applied everything committed in earlier terms. It must return
	// soon after its context is done.
	WhileLeading func(ctx context.Context, m api.Member)
	// Dial opens all connections to other voters; nil means net.Dialer.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
	// Limits returns the fleet's limits for a state of the record. The leader calls it when the record has changed. If it is nil,
	// there are no limits, and lease requests are refused.
	Limits func(record.View) []lease.Limit
	// Now is used for the record's clock entries only; nil means time.Now.
	Now func() time.Time
}

const maxNameBytes = 64

func (c *Config) validate() error {
	if c.Cluster == "" || len(c.Cluster) > maxNameBytes {
		return fmt.Errorf("cluster: name %q must have 1 to %d bytes", c.Cluster, maxNameBytes)
	}
	switch len(c.Voters) {
	case 1, 3, 5, 7:
	default:
		return fmt.Errorf("voters: got %d, expected 1, 3, 5 or 7", len(c.Voters))
	}
	seen := map[string]bool{}
	for i, p := range c.Voters {
		if p.Name == "" || len(p.Name) > maxNameBytes || strings.ContainsAny(p.Name, "/ \t\r\n") {
			return fmt.Errorf("voters[%d].name: %q must have 1 to %d bytes without slashes or spaces", i, p.Name, maxNameBytes)
		}
		if _, _, err := net.SplitHostPort(p.Addr); err != nil {
			return fmt.Errorf("voters[%d].addr: %w", i, err)
		}
		if seen["name "+p.Name] || seen["addr "+p.Addr] {
			return fmt.Errorf("voters[%d]: duplicate name or address", i)
		}
		seen["name "+p.Name], seen["addr "+p.Addr] = true, true
	}
	if !seen["name "+c.Name] {
		return fmt.Errorf("name: %q is not one of the voters", c.Name)
	}
	t := &c.Timings
	t.Heartbeat = cmp.Or(t.Heartbeat, DefaultHeartbeat)
	t.Election, t.LeaderLease = cmp.Or(t.Election, max(DefaultElection, t.Heartbeat)),
		cmp.Or(t.LeaderLease, min(DefaultLeaderLease, t.Heartbeat))
	t.HeartbeatInterval = cmp.Or(t.HeartbeatInterval, min(DefaultHeartbeatInterval, t.LeaderLease/3))
	t.CommitInterval, t.CallTimeout, t.DiskStall = cmp.Or(t.CommitInterval, DefaultCommitInterval),
		cmp.Or(t.CallTimeout, DefaultCallTimeout), cmp.Or(t.DiskStall, DefaultDiskStall)
	t.ClockInterval, t.JoinInterval, t.LeaderWait = cmp.Or(t.ClockInterval, DefaultClockInterval),
		cmp.Or(t.JoinInterval, DefaultJoinInterval), cmp.Or(t.LeaderWait, DefaultLeaderWait)
	t.Snapshot = cmp.Or(t.Snapshot, DefaultSnapshot)
	t.Threshold, t.Trailing = cmp.Or(t.Threshold, DefaultThreshold), cmp.Or(t.Trailing, DefaultTrailing)
	if t.LeaderLease > t.Heartbeat || t.Heartbeat > t.Election {
		return errors.New("timings: need leader lease <= heartbeat <= election")
	}
	if t.HeartbeatInterval < 0 || t.HeartbeatInterval > t.LeaderLease/3 {
		return errors.New("timings: the heartbeat interval must be at most a third of the leader lease")
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

// address returns the host:port of a configured voter, or "" for an unknown name.
func (c *Config) address(name string) string {
	for _, p := range c.Voters {
		if p.Name == name {
			return p.Addr
		}
	}
	return ""
}

// votersHash returns a hash of the cluster's name and the voters' names in order. Voters with the same list have the same hash.
func (c *Config) votersHash() string {
	h := sha256.New()
	fmt.Fprintf(h, "%s\n", c.Cluster)
	for _, p := range c.Voters {
		fmt.Fprintf(h, "%s\n", p.Name)
	}
	return hex.EncodeToString(h.Sum(nil))
}

func (c *Config) isFirst() bool { return c.Voters[0].Name == c.Name }
