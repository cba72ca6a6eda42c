package voter

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/hashicorp/raft"

	"burlpass/internal/cluster/voter/link"
	"burlpass/internal/record"
)

// watchLeadership follows leader changes until this raft instance is stopped, and runs the leader's tasks while this voter
// leads.
func (v *Voter) watchLeadership(run *raftRun, observations <-chan raft.Observation) {
	termCtx, endTerm := context.WithCancel(v.ctx)
	done := make(chan struct{})
	close(done)
	for {
		select {
		case <-observations:
			v.observeLeader(run)
			continue
		case isLeader := <-run.raft.LeaderCh():
			if err := run.setHeartbeat(v.c.Timings, isLeader); err != nil {
				v.throttled.warn("cluster_beats", "fault", err)
			}
			endTerm()
			<-done // never run the leader's tasks twice at once
			v.setReadyTerm(0)
			v.observeLeader(run)
			if isLeader {
				termCtx, endTerm = context.WithCancel(v.ctx)
				done = make(chan struct{})
				go func() {
					defer close(done)
					v.lead(termCtx, run)
				}()
			}
			continue
		case <-run.done:
		}
		endTerm()
		<-done
		return
	}
}

// setReadyTerm sets the term in which this leader is ready; 0 for none.
func (v *Voter) setReadyTerm(term uint64) {
	v.mu.Lock()
	v.readyTerm = term
	v.notifyChanged()
	v.mu.Unlock()
}

// observeLeader wakes waiters after a possible leader change, and logs a new leader.
func (v *Voter) observeLeader(run *raftRun) {
	leaderAddr, identity := run.raft.LeaderWithID()
	name, _ := link.Split(leaderAddr)
	term := run.raft.CurrentTerm()
	v.mu.Lock()
	changed := identity != "" && v.loggedLeader != string(identity)
	if changed {
		v.loggedLeader = string(identity)
	}
	v.notifyChanged()
	v.mu.Unlock()
	if changed && v.throttled.due("cluster_leader "+string(identity)) {
		v.log.Info("cluster_leader", "name", name, "identity", string(identity), "term", term)
	}
}

// lead runs the leader's tasks other than replication. It waits until everything committed before its term is applied here;
// then it allocates leases, runs the configured callback and proposes clock entries until the leadership ends.
func (v *Voter) lead(ctx context.Context, run *raftRun) {
	term := run.raft.CurrentTerm()
	for ctx.Err() == nil {
		if err := v.await(ctx, run.raft.Barrier(v.c.Timings.CallTimeout)); err == nil {
			break
		}
		select { // leadership is lost; ctx is about to be canceled
		case <-time.After(v.c.Timings.Heartbeat / 10):
		case <-ctx.Done():
		}
	}
	if ctx.Err() != nil || run.raft.CurrentTerm() != term {
		return
	}
	v.setReadyTerm(term)
	var wg sync.WaitGroup
	wg.Go(func() { v.allocateLeases(ctx, run, term) })
	if v.c.WhileLeading != nil {
		wg.Go(func() { v.c.WhileLeading(ctx, v) })
	}
	v.proposeClockEntries(ctx, run)
	wg.Wait()
}

// leader returns the running raft instance, or nil if there is none, and the leader's name, or "" if none is known.
func (v *Voter) leader() (*raftRun, string) {
	run := v.currentRun()
	if run == nil {
		return nil, ""
	}
	leaderAddr, _ := run.raft.LeaderWithID()
	name, _ := link.Split(leaderAddr)
	if name == v.c.Name && run.raft.State() != raft.Leader {
		return run, ""
	}
	return run, name
}

var errNotLeader = errors.New("this voter does not lead")

// verifyLeader confirms with a majority that this voter is still the leader, once everything committed by earlier leaders is
// applied here.
func (v *Voter) verifyLeader(ctx context.Context, run *raftRun) error {
	for {
		v.mu.Lock()
		readyTerm, changed := v.readyTerm, v.changed
		v.mu.Unlock()
		if err := v.failure(); err != nil {
			return err
		}
		if run.raft.State() != raft.Leader {
			return errNotLeader
		}
		if readyTerm == run.raft.CurrentTerm() {
			return v.await(ctx, run.raft.VerifyLeader())
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// readIndexReply is the response body of GET /v1/readindex.
type readIndexReply struct {
	Version record.Version `json:"version"`
	Cluster string         `json:"cluster"`
}

// readIndex returns a version that includes every write acknowledged before the call. This leader applies a write before it
// acknowledges it, and once it is ready it has applied the writes of earlier leaders.
func (v *Voter) readIndex(ctx context.Context, run *raftRun) (readIndexReply, error) {
	for {
		v.mu.Lock()
		readyTerm, changed := v.readyTerm, v.changed
		v.mu.Unlock()
		if run.raft.State() != raft.Leader {
			return readIndexReply{}, errNotLeader
		}
		if readyTerm != 0 && readyTerm == run.raft.CurrentTerm() {
			break
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return readIndexReply{}, ctx.Err()
		}
	}
	version := v.fsm.replica.Version()
	if err := v.verifyLeader(ctx, run); err != nil {
		return readIndexReply{}, err
	}
	return readIndexReply{version, run.cluster}, nil
}

func (v *Voter) serveReadIndex(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), v.c.Timings.CallTimeout)
	defer cancel()
	reply, err := v.requestReadIndex(ctx, r.Header.Get(forwardedHeader) != "")
	if err != nil {
		writeRefusal(w, http.StatusServiceUnavailable, refusal{Refused: err.Error()})
		return
	}
	writeJSON(w, http.StatusOK, reply)
}

// requestReadIndex obtains a read index from the leader, which may be this voter. A forwarded request is not forwarded again.
func (v *Voter) requestReadIndex(ctx context.Context, forwarded bool) (reply readIndexReply, err error) {
	if err := v.failure(); err != nil {
		return reply, err
	}
	run, leader := v.leader()
	switch {
	case leader == "":
		return reply, errors.New("no leader is known here")
	case leader == v.c.Name:
		return v.readIndex(ctx, run)
	case forwarded:
		return reply, errNotLeader
	}
	if err = v.peers.forward(ctx, leader, http.MethodGet, "/v1/readindex", nil, &reply, true); err == nil && reply.Cluster != run.cluster {
		err = errors.New("the leader's address answers for another cluster")
	}
	return reply, err
}
