package voter

import (
	"os"
	"strings"
	"testing"
	"time"
)

// swapFolder exchanges a closed node's folder with another one.
func (d *node) swapFolder(other string) {
	d.c.t.Helper()
	kept := d.folder + ".kept"
	for _, move := range [][2]string{{d.folder, kept}, {other, d.folder}, {kept, other}} {
		if err := os.Rename(move[0], move[1]); err != nil {
			d.c.t.Fatal(err)
		}
	}
}

// TestReplacedDiskReturns replaces a voter and opens it with its old folder again. It must fail and name both identities.
// internal/clustertest/hard does the same with processes.
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
	c.eventually("the voter knows that it was replaced", func() bool { return d.v.Status().State == "failed" })
	if fault := d.v.Status().Fault; !strings.Contains(fault, oldIdentity) || !strings.Contains(fault, newIdentity) || strings.Contains(fault, "\n") {
		t.Fatal(fault)
	}
	if d.logs.count("cluster_replaced_elsewhere") != 1 || d.logs.count("cluster_disk") != 0 {
		t.Fatal("cluster_replaced_elsewhere must be logged once, and cluster_disk never")
	}
	others[1].write("b", "w2", 0)
	swap() // the folder with the current identity
	c.waitVoter(d, others...)
	d.waitShows("w", "w2")
}

// TestNoLeaderIsNotReplacement leaves a voter without a leader for several checks of its identity. It must not fail.
func TestNoLeaderIsNotReplacement(t *testing.T) {
	c := newCluster(t, 3)
	c.timings = Timings{CallTimeout: 200 * time.Millisecond}
	c.open()
	leader := c.leader()
	others := c.others(leader)
	leader.kill()
	others[0].kill()
	time.Sleep(time.Second) // about five checks
	if s := others[1].v.Status(); s.Fault != "" {
		t.Fatal(s.Fault)
	}
	leader.open()
	others[1].write("a", "w", 0)
	if s := others[1].v.Status(); s.Fault != "" {
		t.Fatal(s.Fault)
	}
}
