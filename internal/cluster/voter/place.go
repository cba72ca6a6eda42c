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

// A voter that was replaced and returns with its old disk is contacted by nobody, and raft alone would never tell it why. So a
// voter that has had a vote and knows no leader asks the others which identity has its name.

// holderRequest is the body of POST /v1/holder.
type holderRequest struct {
	Name     string `json:"name"`
	Identity string `json:"identity"`
}

// holderReply is the response body of POST /v1/holder. It describes a committed configuration.
type holderReply struct {
	Cluster  string `json:"cluster"`
	Votes    bool   `json:"votes"`            // the identity in the request has a vote
	IsMember bool   `json:"listed,omitempty"` // the identity in the request is a member, with or without a vote
	Holder   string `json:"holder,omitempty"` // another identity that has the name; "" for none
}

// watchIdentity checks regularly, while no leader is known, whether this voter's identity has been replaced.
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

// checkIdentity asks one voter after another until one returns the leader's answer. A follower's own state could be outdated.
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
				fmt.Sprintf("it belongs to cluster %s, and this disk to %s", reply.Cluster, id.Cluster))
			continue
		case reply.Votes:
			return
		}
		v.failReplaced(id.Identity, reply.Holder)
		return
	}
}

// serveHolder reports which identity has a voter's name, or forwards the request to the leader.
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

// lookUpHolder looks up an identity in the configuration of this leader. raft returns the latest configuration, which might
// never be committed; the barrier makes sure that it is.
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
