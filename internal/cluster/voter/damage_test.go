package voter

import (
	"bytes"
	"context"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"burlpass/internal/cluster/api"
	"burlpass/internal/record"
)

// waitFailed waits until a node has failed, and checks its status, its log, and that it refuses reads and writes.
func (d *node) waitFailed(why string) {
	d.c.t.Helper()
	d.c.eventually(d.peer.Name+" has failed", func() bool { return d.v.Status().State == "failed" })
	if s := d.v.Status(); !strings.Contains(s.Fault, why) || strings.Contains(s.Fault, "\n") {
		d.c.t.Fatalf("fault %q, expected %q", s.Fault, why)
	}
	if n := d.logs.count("cluster_disk"); n != 1 {
		d.c.t.Fatalf("cluster_disk logged %d times", n)
	}
	if _, err := d.v.Write(context.Background(), disableOrder("x", "x", 0)); !errors.Is(err, api.ErrRefused) {
		d.c.t.Fatal(err)
	}
	for _, consistent := range []bool{true, false} {
		if _, _, err := d.v.Read(context.Background(), consistent); !errors.Is(err, api.ErrRefused) {
			d.c.t.Fatal(err)
		}
	}
}

// TestCorruptEntry changes a bit of a log entry on a closed voter's disk. The voter must fail, and the others go on.
func TestCorruptEntry(t *testing.T) {
	c := newCluster(t, 3)
	c.open()
	c.nodes[0].write("a", "the-worker-in-question", 0)
	d := c.others(c.leader())[0]
	d.waitShows("the-worker-in-question")
	d.close()
	path := filepath.Join(d.folder, "raft.db")
	b, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	text := []byte("the-worker-in-question")
	if !bytes.Contains(b, text) {
		t.Fatal("the log file does not contain the entry")
	}
	if err := os.WriteFile(path, bytes.ReplaceAll(b, text, []byte("the-worker-in-juestion")), 0o600); err != nil {
		t.Fatal(err)
	}
	d.open()
	d.waitFailed("checksum")
	others := c.others(d)
	others[0].write("b", "w", 0)
	others[1].waitShows("w")
	// With an emptied folder the voter joins again.
	d.close()
	d.wipe()
	d.open()
	c.waitVoter(d, others...)
	d.waitShows("the-worker-in-question", "w")
}

// TestDiskFull makes writes fail on the disk of a follower and then of the leader, while the processes go on.
func TestDiskFull(t *testing.T) {
	full := func(op string) error {
		if strings.HasPrefix(op, "write") {
			return errors.New("no space left on device")
		}
		return nil
	}
	c := newCluster(t, 5)
	c.open()
	leader := c.leader()
	follower := c.others(leader)[0]
	follower.v.disk.Store.Interpose(full)
	leader.write("a", "w1", 0)
	follower.waitFailed("no space left")
	leader.v.disk.Store.Interpose(full)
	if _, err := leader.v.Write(context.Background(), disableOrder("b", "w2", 0)); !errors.Is(err, api.ErrUnknown) && !errors.Is(err, api.ErrRefused) {
		t.Fatal(err)
	}
	leader.waitFailed("no space left")
	for _, d := range c.nodes {
		if d != leader && d != follower {
			d.write("b", "w2", 0)
		}
	}
	if len(follower.v.Replica().View().Hash()) == 0 {
		t.Fatal("a failed voter no longer shows its last state")
	}
}

// TestLeadersDiskHangs blocks a write to the leader's disk. Another voter must become leader, and the old leader must follow
// it once the write returns.
func TestLeadersDiskHangs(t *testing.T) {
	c := newCluster(t, 3)
	c.timings = Timings{DiskStall: 200 * time.Millisecond, Heartbeat: time.Second, LeaderLease: time.Second} // long enough to avoid elections on a busy machine
	c.open()
	leader := c.leader()
	resume := make(chan struct{})
	leader.v.disk.Store.Interpose(func(op string) error {
		if strings.HasPrefix(op, "write") {
			<-resume
		}
		return nil
	})
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	if _, err := leader.v.Write(ctx, disableOrder("a", "w", 0)); !errors.Is(err, api.ErrUnknown) && !errors.Is(err, api.ErrRefused) {
		t.Error(err)
	}
	c.eventually("the leader logs that its disk hangs", func() bool { return leader.logs.count("cluster_disk_slow") > 0 })
	others := c.others(leader)
	c.leader(others...)
	others[0].write("b", "w2", 0)
	close(resume)
	leader.waitShows("w2")
	if n := leader.logs.count("cluster_disk_slow"); n != 1 {
		t.Fatalf("cluster_disk_slow logged %d times", n)
	}
}

// TestDiskFailsDuringElection makes a voter's disk fail while it stores a new term, where raft itself would panic.
func TestDiskFailsDuringElection(t *testing.T) {
	c := newCluster(t, 3)
	c.open()
	leader := c.leader()
	bad, good := c.others(leader)[0], c.others(leader)[1]
	bad.v.disk.Store.Interpose(func(op string) error {
		if op == "write the term and the vote" {
			return errors.New("input/output error")
		}
		return nil
	})
	leader.kill()
	bad.waitFailed("input/output error")
	leader.open()
	good.write("a", "w", 0)
}

// TestNewerEntryFormat puts an entry of an unknown format into the log.
func TestNewerEntryFormat(t *testing.T) {
	c := newCluster(t, 1)
	c.open()
	d := c.nodes[0]
	d.write("a", "w", 0)
	if _, err := d.v.propose(context.Background(), d.v.currentRun(), []byte(`{"f":99,"write":{}}`)); !errors.Is(err, api.ErrUnknown) {
		t.Fatal(err)
	}
	d.waitFailed("format 99")
	d.close()
	d.logs.mu.Lock()
	d.logs.text.Reset()
	d.logs.mu.Unlock()
	d.open() // it fails again at that entry
	d.waitFailed("format 99")
	if r := d.v.Replica(); r != nil && r.View().Version() < record.Version(1) {
		t.Fatal("the voter shows an older state")
	}
}
