package voter

import (
	"os"
	"strings"
	"testing"
	"time"
)

// swapFolder exchanges a closed node's folder with another.
func (d *node) swapFolder(other string) {
	d.c.t.Helper()
	kept := d.folder + ".kept"
	for _, move := range [][2]string{{d.folder, kept}, {other, d.folder}, {kept, other}} {
		if err := os.Rename(move[0], move[1]); err != nil {
			d.c.t.Fatal(err)
		}
	}
}

// TestOldDisk replaces a voter and brings its old folder back. internal/clustertest/hard does the same with processes.
func TestReplacedDiskReturns(t *testing.T) {
	c := newCluster(t, 3)
	c.timings = Timings{CallTimeout: 500 * time.Millisecond}
	c.open()
	d := c.others(c.leader())[0]
	others := c.others(d)
	others[0].write("a", "w", 0)
	oldIdentity := d.v.Status().Identity
	otherFolder := t.TempDir()
	swap := func() {
		d.close()
		d.swapFolder(otherFolder)
		d.open()
	}
	swap()
	c.waitVoter(d, others...)
	newIdentity := d.v.Status().Identity
	swap()
	c.eventually("it says that it was replaced", func() bool { return d.v.Status().State == "failed" })
	if fault := d.v.Status().Fault; !strings.Contains(fault, oldIdentity) || !strings.Contains(fault, newIdentity) || strings.Contains(fault, "\n") {
		t.Fatal(fault)
	}
	if d.logs.count("cluster_replaced_elsewhere") != 1 || d.logs.count("cluster_disk") != 0 {
		t.Fatal("it is not logged once, and as what it is")
	}
	others[1].write("b", "w2", 0)
	swap() // the one that counts
	c.waitVoter(d, others...)
	d.waitShows("w", "w2")
}

// TestNoLeaderIsNoReplacement leaves a voter without a leader for longer than it takes to ask: it is one still.
func TestNoLeaderIsNotReplacement(t *testing.T) {
	c := newCluster(t, 3)
	c.timings = Timings{CallTimeout: 200 * time.Millisecond}
	c.open()
	leader := c.leader()
	others := c.others(leader)
	leader.kill()
	others[0].kill()
	time.Sleep(time.Second) // some five questions
	if s := others[1].v.Status(); s.Fault != "" {
		t.Fatal(s.Fault)
	}
	leader.open()
	others[1].write("a", "w", 0)
	if s := others[1].v.Status(); s.Fault != "" {
		t.Fatal(s.Fault)
	}
}
