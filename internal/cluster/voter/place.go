package voter

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/hashicorp/raft"

	"burlpass/internal/cluster/voter/link"
)

// A voter that was replaced and comes back with its old disk hears of no leader and is asked by nobody: it counts for nothing,
// and by raft alone would never know why. So a voter that has had its vote and knows of no leader asks who has its name.

// asked is the body of POST /v1/holder.
type holderRequest struct {
	Name     string `json:"name"`
	Identity string `json:"identity"`
}

// stands is its answer, by a configuration that is committed.
type holderReply struct {
	Cluster  string `json:"cluster"`
	Votes    bool   `json:"votes"`            // the identity that was asked for
	IsMember bool   `json:"listed,omitempty"` // it is a member, with a vote or without
	Holder   string `json:"holder,omitempty"` // the identity that has the name; "" for none
}

// watchPlace asks, for as long as the voter is open, whenever no leader is known.
func (v *Voter) watchIdentity(ctx context.Context) {
	ticker := time.NewTicker(v.c.Timings.CallTimeout)
	defer ticker.Stop()
	for v.failure() == nil {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		run := v.currentRun()
		if run == nil || !v.disk.Identity().Voted {
			continue
		}
		if _, leader := run.raft.LeaderWithID(); leader == "" {
			v.checkIdentity(ctx)
		}
	}
}

// askPlace asks one voter after another until the leader's answer is there. Another one's would not do: it may be behind.
func (v *Voter) checkIdentity(ctx context.Context) {
	id := v.disk.Identity()
	for _, p := range v.c.Voters {
		if p.Name == v.c.Name {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, v.c.Timings.CallTimeout)
		var reply holderReply
		err := v.peers.call(callCtx, p.Name, http.MethodPost, "/v1/holder", holderRequest{v.c.Name, id.Identity}, &reply)
		cancel()
		switch {
		case err != nil || reply.Cluster == "":
			continue
		case reply.Cluster != id.Cluster:
			v.throttled.warn("cluster_another", "voter", v.c.Name, "asked", p.Name, "why",
				fmt.Sprintf("it is of the cluster %s, and the disk here of %s", reply.Cluster, id.Cluster))
			continue
		case reply.Votes:
			return
		}
		v.failReplaced(id.Identity, reply.Holder)
		return
	}
}

// serveHolder tells who has a voter's name, or hands the call on to the leader.
func (v *Voter) serveHolder(w http.ResponseWriter, r *http.Request) {
	var request holderRequest
	if !decodeBody(w, r, &request) {
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), v.c.Timings.CallTimeout)
	defer cancel()
	run, leader := v.leader()
	var reply holderReply
	var err error
	switch {
	case run == nil || leader == "":
		err = errors.New("no leader is known here")
	case leader == v.c.Name:
		reply, err = v.lookUpHolder(ctx, run, request)
	case r.Header.Get(forwardedHeader) != "":
		err = errNotLeader
	default:
		err = v.peers.forward(ctx, leader, http.MethodPost, "/v1/holder", request, &reply, true)
	}
	if err != nil {
		writeRefusal(w, http.StatusServiceUnavailable, refusal{Refused: err.Error()})
		return
	}
	writeJSON(w, http.StatusOK, reply)
}

// place looks at the configuration of a voter that leads. Raft tells the latest one, which may never be committed; what stands
// in the log before a barrier is.
func (v *Voter) lookUpHolder(ctx context.Context, run *raftRun, request holderRequest) (holderReply, error) {
	if err := v.verifyLeader(ctx, run); err != nil {
		return holderReply{}, err
	}
	term := run.raft.CurrentTerm()
	c := run.raft.GetConfiguration().Configuration()
	if err := v.await(ctx, run.raft.Barrier(v.c.Timings.CallTimeout)); err != nil {
		return holderReply{}, err
	}
	if run.raft.CurrentTerm() != term {
		return holderReply{}, errNotLeader
	}
	reply := holderReply{Cluster: run.cluster, Votes: isVoter(c, request.Identity), IsMember: isMember(c, raft.ServerID(request.Identity))}
	for _, s := range c.Servers {
		if name, identity := link.Split(s.Address); name == request.Name && identity != request.Identity {
			reply.Holder = identity
		}
	}
	return reply, nil
}
