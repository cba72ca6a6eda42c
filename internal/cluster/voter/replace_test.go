package voter

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/raft"

	"burlpass/internal/cluster/voter/disk"
	"burlpass/internal/cluster/voter/link"
	"burlpass/internal/record"
)

// wipe empties a closed node's folder.
func (d *node) wipe() {
	d.c.t.Helper()
	entries, err := os.ReadDir(d.folder)
	if err != nil {
		d.c.t.Fatal(err)
	}
	for _, e := range entries {
		if err := os.RemoveAll(filepath.Join(d.folder, e.Name())); err != nil {
			d.c.t.Fatal(err)
		}
	}
}

// waitVoter waits until a node has joined, and all given nodes list its identity as a voter.
func (c *cluster) waitVoter(d *node, by ...*node) {
	c.t.Helper()
	c.eventually(d.peer.Name+" has its vote", func() bool {
		s := d.v.Status()
		if s.State == "joining" || s.State == "forming" || s.Fault != "" {
			return false
		}
		for _, o := range by {
			at := o.v.Status().Voters
			found := false
			for _, v := range at {
				found = found || v.Identity == s.Identity && v.Name == d.peer.Name && v.Votes
			}
			if !found || len(at) != len(c.nodes) {
				return false
			}
		}
		return true
	})
}

// TestLostDisk wipes the leader's disk. Its acknowledged writes must remain, it must return with another identity, and its old
// identity must never answer again.
func TestLostDisk(t *testing.T) {
	c := newCluster(t, 3)
	c.timings = Timings{Threshold: 32, Trailing: 8, Snapshot: 20 * time.Millisecond}
	c.open()
	old := c.leader()
	for i := range 60 {
		old.write(fmt.Sprint("order-", i), fmt.Sprint("w", i), 0)
	}
	before := old.v.Status()
	old.kill()
	old.wipe()
	others := c.others(old)
	others[0].write("meanwhile", "m", 0)
	old.open()
	c.waitVoter(old, others...)
	after := old.v.Status()
	if after.Identity == before.Identity || after.Cluster != before.Cluster {
		t.Fatalf("%+v after %+v", after, before)
	}
	old.waitShows("w0", "w59", "m")
	if old.v.Replica().View().Version() < record.Version(before.Version) {
		t.Fatal("the new identity shows an older state than the old one did")
	}
	// With one of the others down, a majority needs the vote of the new identity.
	others[1].kill()
	others[0].write("with-the-new-one", "n", 0)

	ownIdentity := others[0].v.Status().Identity
	layer := link.New(link.Config{Cluster: after.Cluster, Name: others[0].peer.Name, Identity: ownIdentity,
		Address: func(string) string { return old.peer.Addr }, Dial: (&net.Dialer{}).DialContext, OnRefused: func(by, of, why string) {}})
	transport := raft.NewNetworkTransportWithConfig(&raft.NetworkTransportConfig{Stream: layer, Timeout: 5 * time.Second, Logger: newRaftLog(others[0].v.throttled)})
	defer transport.Close()
	defer transport.CloseStreams()
	request := raft.RequestVoteRequest{RPCHeader: raft.RPCHeader{ProtocolVersion: 3, ID: []byte(ownIdentity), Addr: []byte(link.Address(others[0].peer.Name, ownIdentity))},
		Term: 1000, LastLogIndex: 1 << 40, LastLogTerm: 999}
	var vote raft.RequestVoteResponse
	err := transport.RequestVote(raft.ServerID(before.Identity), link.Address(old.peer.Name, before.Identity), &request, &vote)
	if err == nil || vote.Granted || !strings.Contains(err.Error(), "421") {
		t.Fatalf("the lost identity answers: %v, %+v", err, vote)
	}
	// The same request for the new identity succeeds, so only the identity caused the refusal.
	if err := transport.RequestVote(raft.ServerID(after.Identity), link.Address(old.peer.Name, after.Identity), &request, &vote); err != nil {
		t.Fatal(err)
	}
	if s, text := get(t, old.peer.Addr, link.Path, http.Header{"Connection": {"Upgrade"}, "Upgrade": {"burlpass-raft-1"},
		"Burlpass-Cluster": {disk.NewID()}, "Burlpass-To": {after.Identity}}); s != http.StatusMisdirectedRequest || !strings.Contains(text, "another cluster") {
		t.Fatalf("%d %s", s, text)
	}
}

// TestFirstVoterRestartsWhileJoining restarts the first voter after it has lost its disk and stored the cluster's id again, but
// before it has received any log entry, without or with a stored term.
func TestFirstVoterRestartsWhileJoining(t *testing.T) {
	c := newCluster(t, 3)
	c.open()
	c.nodes[1].write("order", "w0", 0)
	first := c.nodes[0]
	cluster := first.v.Status().Cluster
	for _, term := range []bool{false, true} {
		first.close()
		first.wipe()
		d, err := disk.Open(first.folder, "plant", first.peer.Name, newRaftLog(newThrottledLog(slog.Default())))
		if err != nil {
			t.Fatal(err)
		}
		if err = d.SetCluster(cluster); err == nil && term {
			err = d.Store.SetUint64([]byte("CurrentTerm"), 1)
		}
		if err := errors.Join(err, d.Close()); err != nil {
			t.Fatal(err)
		}
		first.open()
		c.waitVoter(first, c.nodes[1:]...)
		first.waitShows("w0")
	}
}

// TestReplacementDuringLeaderChanges kills the leader several times while a voter with an empty disk joins.
func TestReplacementDuringLeaderChanges(t *testing.T) {
	c := newCluster(t, 5)
	c.open()
	c.nodes[0].write("a", "w", 0)
	lost := c.others(c.leader())[0]
	lost.close()
	lost.wipe()
	lost.open()
	for range 3 {
		leader := c.leader(c.others(lost)...)
		leader.kill()
		c.leader(c.others(lost)...)
		leader.open()
	}
	c.waitVoter(lost, c.nodes...)
	lost.waitShows("w")
}

// TestTwoDisksLost wipes two of five disks at once. The configuration can only change by one voter at a time.
func TestTwoDisksLost(t *testing.T) {
	c := newCluster(t, 5)
	c.open()
	c.nodes[0].write("a", "w", 0)
	for _, d := range c.nodes[:2] { // includes the voter that formed the cluster
		d.kill()
		d.wipe()
	}
	for _, d := range c.nodes[:2] {
		d.open()
	}
	for _, d := range c.nodes[:2] {
		c.waitVoter(d, c.nodes...)
		d.waitShows("w")
	}
	if formed := c.nodes[0].logs.count("cluster_formed"); formed != 1 {
		t.Fatalf("formed %d times", formed)
	}
}

// TestConflictingClaims configures the voters in different orders, so that two of them take themselves for the first. No
// cluster may be formed until that is corrected.
func TestConflictingClaims(t *testing.T) {
	c := newCluster(t, 3)
	list := c.nodes[0].voters
	c.nodes[1].voters = []Peer{list[1], list[0], list[2]}
	var opened sync.WaitGroup
	for _, d := range c.nodes {
		opened.Add(1)
		go func() { defer opened.Done(); d.open() }()
	}
	opened.Wait()
	refused := func(d *node) func() bool {
		return func() bool { return d.logs.count("cluster_claim_refused") > 0 }
	}
	c.eventually("the first refuses the second", refused(c.nodes[0]))
	c.eventually("the second refuses the first", refused(c.nodes[1]))
	c.eventually("the third refuses the second", refused(c.nodes[2]))
	for _, d := range c.nodes {
		if s := d.v.Status(); len(s.Voters) > 0 || d.logs.count("cluster_formed") > 0 {
			t.Fatalf("formed: %+v", s)
		}
	}
	c.nodes[1].close()
	c.nodes[1].voters = list // corrected; the folder does not depend on the list
	c.nodes[1].open()
	c.waitVoter(c.nodes[1], c.nodes...)
	c.nodes[1].write("a", "w", 0)
}

// TestClaimRepeatedAfterDiskLoss wipes the first voter's disk while it forms the cluster. Its next claim must replace the first
// one, but a claim must be refused once a voter has state.
func TestClaimRepeatedAfterDiskLoss(t *testing.T) {
	c := newCluster(t, 3)
	c.nodes[0].open()
	c.nodes[1].open()
	c.eventually("the claim is accepted", func() bool { return c.nodes[1].v.Status().Cluster != "" })
	first := c.nodes[1].v.Status().Cluster
	c.nodes[0].close()
	c.nodes[0].wipe()
	c.open()
	now := c.nodes[1].v.Status().Cluster
	if now == first || now != c.nodes[0].v.Status().Cluster {
		t.Fatalf("%s after %s", now, first)
	}
	v := c.nodes[1].v
	var reply claimReply
	err := c.nodes[0].v.peers.call(context.Background(), "v2", http.MethodPost, "/v1/claim", claimRequest{ClusterName: "plant", Cluster: disk.NewID(),
		Name: "v1", Identity: disk.NewID(), VotersHash: v.c.votersHash()}, &reply)
	if r, ok := err.(*refusal); !ok || !r.State {
		t.Fatalf("a claim on a disk with state: %v", err)
	}
	if v.Status().Cluster != now {
		t.Fatal("the cluster's id has changed")
	}
}
