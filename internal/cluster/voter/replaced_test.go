package voter

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/raft"

	"burlpass/internal/cluster/voter/disk"
	"burlpass/internal/cluster/voter/link"
)

// clearVoted resets the "voted" flag on a closed node's disk. A process leaves the disk like that if it is killed between the
// entry that gave it the vote and the write of the flag.
func (d *node) clearVoted() {
	d.c.t.Helper()
	path := filepath.Join(d.folder, "identity")
	text, err := os.ReadFile(path)
	if err != nil {
		d.c.t.Fatal(err)
	}
	before := strings.Replace(string(text), `"voted": true`, `"voted": false`, 1)
	if before == string(text) {
		d.c.t.Fatalf("the voted flag is not set in %s", text)
	}
	if err := os.WriteFile(path, []byte(before), 0o600); err != nil {
		d.c.t.Fatal(err)
	}
}

// TestReplacedDiskWithoutVoteReturns opens the disk of a removed identity whose process was killed before it stored that it has
// had a vote, so that it asks to join. It must not displace the identity that has its name.
func TestReplacedDiskWithoutVoteReturns(t *testing.T) {
	c := newCluster(t, 3)
	c.timings = Timings{CallTimeout: 500 * time.Millisecond}
	c.open()
	d := c.others(c.leader())[0]
	others := c.others(d)
	others[0].write("a", "w", 0)
	d.waitShows("w")
	oldIdentity := d.v.Status().Identity
	d.close()
	d.clearVoted()
	otherFolder := t.TempDir()
	swap := func() {
		d.swapFolder(otherFolder)
		d.open()
	}
	swap()
	c.waitVoter(d, others...)
	newIdentity := d.v.Status().Identity
	d.close()
	swap()
	c.eventually("the voter knows that it was replaced", func() bool { return d.v.Status().State == "failed" })
	if fault := d.v.Status().Fault; !strings.Contains(fault, oldIdentity) || !strings.Contains(fault, newIdentity) {
		t.Fatal(fault)
	}
	d.close()
	swap() // the folder with the current identity
	c.waitVoter(d, others...)
	if s := d.v.Status(); s.Identity != newIdentity {
		t.Fatalf("identity %s has the name, expected %s", s.Identity, newIdentity)
	}
}

// TestWasCommitted checks that a committed configuration is told from one that a leader appended but never committed.
func TestWasCommitted(t *testing.T) {
	id := disk.NewID()
	entry := func(index, term uint64, ids ...string) *raft.Log {
		var c raft.Configuration
		for _, identity := range ids {
			c.Servers = append(c.Servers, raft.Server{ID: raft.ServerID(identity), Address: link.Address("v", identity)})
		}
		return &raft.Log{Index: index, Term: term, Type: raft.LogConfiguration, Data: raft.EncodeConfiguration(c)}
	}
	ownLog, leaderLog := raft.NewInmemStore(), raft.NewInmemStore()
	store := func(to *raft.InmemStore, logs ...*raft.Log) {
		if err := to.StoreLogs(logs); err != nil {
			t.Fatal(err)
		}
	}
	if m, err := lastMembership(ownLog, nil, id); err != nil || m != nil {
		t.Fatalf("%+v, %v of an empty log", m, err)
	}
	store(ownLog, entry(1, 1, "another"), entry(2, 1, id), entry(3, 2, id), entry(4, 2, "another"))
	m, err := lastMembership(ownLog, nil, id)
	if err != nil || m == nil || *m != (membership{Index: 3, Term: 2}) {
		t.Fatalf("%+v, %v", m, err)
	}
	for _, c := range []struct {
		what string
		logs []*raft.Log
		want bool
	}{
		{"the same entry", []*raft.Log{entry(3, 2, id)}, true},
		{"the entry of a later leader in its place", []*raft.Log{entry(3, 3, "another")}, false},
		{"the log begins after it", []*raft.Log{entry(4, 5, "another")}, true},
		{"the log ends before it", []*raft.Log{entry(1, 1, "another"), entry(2, 1, id)}, false},
	} {
		leaderLog = raft.NewInmemStore()
		store(leaderLog, c.logs...)
		if was, err := wasCommitted(leaderLog, m); err != nil || was != c.want {
			t.Errorf("%s: %v, %v", c.what, was, err)
		}
	}
	snapshot := &raft.SnapshotMeta{Index: 9, ConfigurationIndex: 5, Configuration: raft.Configuration{Servers: []raft.Server{{ID: raft.ServerID(id)}}}}
	m, err = lastMembership(raft.NewInmemStore(), snapshot, id)
	if err != nil || m == nil || !m.Committed {
		t.Fatalf("%+v, %v of a snapshot", m, err)
	}
	if was, err := wasCommitted(leaderLog, m); err != nil || !was {
		t.Errorf("a snapshot's configuration: %v, %v", was, err)
	}
}
