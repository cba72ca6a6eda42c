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
func TestOldDisk(t *testing.T) {
	c := newCluster(t, 3)
	c.timings = Timings{Call: 500 * time.Millisecond}
	c.open()
	d := c.others(c.leader())[0]
	others := c.others(d)
	others[0].write("a", "w", 0)
	old := d.v.Status().Identity
	aside := t.TempDir()
	swap := func() {
		d.close()
		d.swapFolder(aside)
		d.open()
	}
	swap()
	c.votes(d, others...)
	now := d.v.Status().Identity
	swap()
	c.eventually("it says that it was replaced", func() bool { return d.v.Status().State == "failed" })
	if fault := d.v.Status().Fault; !strings.Contains(fault, old) || !strings.Contains(fault, now) || strings.Contains(fault, "\n") {
		t.Fatal(fault)
	}
	if d.lines.count("cluster_replaced_elsewhere") != 1 || d.lines.count("cluster_disk") != 0 {
		t.Fatal("it is not logged once, and as what it is")
	}
	others[1].write("b", "w2", 0)
	swap() // the one that counts
	c.votes(d, others...)
	d.has("w", "w2")
}

// TestNoLeaderIsNoReplacement leaves a voter without a leader for longer than it takes to ask: it is one still.
func TestNoLeaderIsNoReplacement(t *testing.T) {
	c := newCluster(t, 3)
	c.timings = Timings{Call: 200 * time.Millisecond}
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
