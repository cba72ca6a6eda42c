package voter

import (
	"context"
	"fmt"
	"runtime"
	"time"

	"github.com/hashicorp/raft"

	"burlpass/internal/cluster/voter/disk"
	"burlpass/internal/cluster/voter/link"
)

// raftRun is a running instance of raft, with its connections.
type raftRun struct {
	cluster   string
	raft      *raft.Raft
	layer     *link.Layer
	transport *retryTransport
	observer  *raft.Observer
	done      chan struct{}
}

const logCacheEntries = 1024 // log entries kept in memory

// startRaft runs raft on the disk. If an initial configuration is given, it forms the cluster first. The caller holds startMu.
func (v *Voter) startRaft(initial *raft.Configuration) error {
	if err := v.failure(); err != nil {
		return err
	}
	log := newRaftLog(v.throttled)
	id := v.disk.Identity()
	run := &raftRun{cluster: id.Cluster, done: make(chan struct{})}
	run.layer = link.New(link.Config{Cluster: id.Cluster, Name: v.c.Name, Identity: id.Identity,
		Address: v.c.address, Dial: v.c.Dial, OnRefused: v.logRefusedLink})
	run.transport = newRetryTransport(raft.NewNetworkTransportWithConfig(&raft.NetworkTransportConfig{
		Stream: run.layer, MaxPool: 3, Timeout: v.c.Timings.CallTimeout, Logger: log,
	}), v.c.Timings.HeartbeatInterval, func(id raft.ServerID, term uint64) bool { return v.currentRun() == run && run.replicatesTo(id, term) })
	rc := raft.DefaultConfig()
	rc.LocalID, rc.Logger, rc.NoLegacyTelemetry = raft.ServerID(id.Identity), log, true
	rc.HeartbeatTimeout, rc.ElectionTimeout = v.c.Timings.Heartbeat, v.c.Timings.Election
	rc.LeaderLeaseTimeout, rc.CommitTimeout = v.c.Timings.LeaderLease, v.c.Timings.CommitInterval
	rc.SnapshotInterval, rc.SnapshotThreshold, rc.TrailingLogs = v.c.Timings.Snapshot, v.c.Timings.Threshold, v.c.Timings.Trailing
	rc.MaxAppendEntries, rc.BatchApplyCh, rc.ShutdownOnRemove = 256, true, false
	v.disk.Store.OnFault(func(err error) {
		v.fail(err)
		runtime.Goexit() // raft would panic
	})
	v.disk.Snapshots.OnFault(v.fail)
	err := guarded(func() (err error) {
		if initial != nil {
			if err := v.bootstrap(*initial); err != nil {
				return err
			}
		}
		logs, err := raft.NewLogCache(logCacheEntries, v.disk.Store)
		if err != nil {
			return err
		}
		run.raft, err = raft.NewRaft(rc, v.fsm, logs, v.disk.Store, v.disk.Snapshots, run.transport)
		return err
	})
	if err != nil {
		run.transport.Close()
		return fmt.Errorf("%w: %s: raft does not start: %w", disk.ErrDamaged, v.c.Folder, err)
	}
	v.fsm.started()
	observations := make(chan raft.Observation, 64)
	run.observer = raft.NewObserver(observations, false, func(o *raft.Observation) bool {
		switch o.Data.(type) {
		case raft.LeaderObservation, raft.RaftState:
			return true
		}
		return false
	})
	run.raft.RegisterObserver(run.observer)
	v.mu.Lock()
	v.run = run
	v.notifyChanged()
	v.mu.Unlock()
	v.spawn(func(context.Context) { v.watchLeadership(run, observations) })
	v.spawn(func(context.Context) { v.watchDisk(run) })
	return nil
}

// replicatesTo reports whether this voter leads in a term and its configuration has the given server.
func (run *raftRun) replicatesTo(id raft.ServerID, term uint64) bool {
	return run.raft.State() == raft.Leader && run.raft.CurrentTerm() == term && isMember(run.raft.GetConfiguration().Configuration(), id)
}

// setHeartbeat sets how often this voter sends heartbeats while it leads. raft derives that from its own node's heartbeat
// timeout: it sends one every one to two tenths of it. A leader does not wait for heartbeats, so it gets a longer timeout than
// a follower.
func (run *raftRun) setHeartbeat(t Timings, isLeader bool) error {
	c := run.raft.ReloadableConfig()
	c.HeartbeatTimeout, c.ElectionTimeout = t.Heartbeat, t.Election
	if isLeader {
		c.HeartbeatTimeout = max(10*t.HeartbeatInterval, t.LeaderLease)
		c.ElectionTimeout = max(c.HeartbeatTimeout, t.Election)
	}
	return run.raft.ReloadConfig(c)
}

// watchDisk closes a leader's connections while a write to its disk hangs. raft's heartbeats do not wait for the disk, so the
// others would keep following a leader that cannot commit anything.
func (v *Voter) watchDisk(run *raftRun) {
	ticker := time.NewTicker(v.c.Timings.DiskStall / 8)
	defer ticker.Stop()
	silent := false
	for {
		select {
		case <-ticker.C:
		case <-run.done:
			return
		}
		writing := v.disk.Store.CurrentWriteTime()
		if !silent && writing > v.c.Timings.DiskStall && run.raft.State() == raft.Leader {
			silent = true
			v.log.Warn("cluster_disk_slow", "voter", v.c.Name, "folder", v.c.Folder, "write_ms", writing.Milliseconds())
			run.layer.Silence(true)
		} else if silent && writing < v.c.Timings.DiskStall {
			silent = false
			run.layer.Silence(false)
		}
	}
}

// bootstrap writes the same as raft.BootstrapCluster, but the term last. raft writes it first, and a crash in between leaves
// a term without an entry: a voter that can neither form nor join a cluster.
func (v *Voter) bootstrap(c raft.Configuration) error {
	entry := &raft.Log{Index: 1, Term: 1, Type: raft.LogConfiguration, Data: raft.EncodeConfiguration(c), AppendedAt: time.Now()}
	if err := v.disk.Store.StoreLog(entry); err != nil {
		return err
	}
	return v.disk.Store.SetUint64([]byte("CurrentTerm"), 1)
}

// guarded runs f in a goroutine of its own, and returns an error if f panics or ends the goroutine.
func guarded(f func() error) error {
	err := fmt.Errorf("the disk has failed")
	done := make(chan struct{})
	go func() {
		defer close(done)
		defer func() {
			if v := recover(); v != nil {
				err = fmt.Errorf("%v", v)
			}
		}()
		err = f()
	}()
	<-done
	return err
}

// stopRaft stops raft if it is running, and waits for its end. The caller holds startMu.
func (v *Voter) stopRaft() {
	run := v.currentRun()
	if run == nil {
		return
	}
	run.raft.DeregisterObserver(run.observer)
	ended := run.raft.Shutdown()
	run.transport.CloseStreams()
	run.transport.Close() // also closes the layer, which ends the calls that raft waits for
	_ = ended.Error()
	close(run.done)
	v.mu.Lock()
	v.run, v.readyTerm = nil, 0
	v.notifyChanged()
	v.mu.Unlock()
}

// stopIfStateless reports whether the disk has never held a term, a vote or an entry. In that case it also stops raft, so that
// the answer stays true. The caller holds startMu.
func (v *Voter) stopIfStateless() (bool, error) {
	var state bool
	check := func() (err error) { state, err = v.disk.HasState(); return err }
	if err := guarded(check); err != nil || state {
		return false, err
	}
	v.stopRaft()
	if err := guarded(check); err != nil {
		return false, err
	}
	return !state, nil
}

// joinCluster stores the cluster's id and starts raft. It returns false, and keeps the id, if the disk already holds state of
// the cluster it belongs to. The caller holds startMu.
func (v *Voter) joinCluster(cluster string, initial *raft.Configuration) (bool, error) {
	if err := v.failure(); err != nil {
		return false, err
	}
	stateless, err := v.stopIfStateless()
	if err != nil {
		return false, err
	}
	if stateless {
		if err = v.disk.SetCluster(cluster); err != nil {
			v.fail(fmt.Errorf("%w: %w", disk.ErrDamaged, err))
			return false, err
		}
	}
	if !stateless {
		initial = nil
	}
	if v.currentRun() == nil {
		err = v.startRaft(initial)
	}
	if err != nil {
		v.fail(err)
	}
	return stateless, err
}

// logRefusedLink logs a refused connection, throttled.
func (v *Voter) logRefusedLink(by, of, reason string) {
	v.throttled.warn("cluster_link_refused", "by", by, "of", of, "why", reason)
}
