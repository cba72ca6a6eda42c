package voter

import (
	"context"
	"errors"
	"fmt"
	"net/http"

	"github.com/hashicorp/raft"

	"burlpass/internal/cluster/voter/disk"
	"burlpass/internal/cluster/voter/link"
)

// joinRequest is the body of POST /v1/join. A voter without a vote repeats it until it has one.
type joinRequest struct {
	ClusterName string `json:"cluster_name"`
	VotersHash  string `json:"listed"`
	Name        string `json:"name"`
	Identity    string `json:"identity"`
	Cluster     string `json:"cluster"` // the stored cluster id, "" for none
	// Member is what the joining voter's disk knew of its membership at the start; nil for nothing.
	Member *membership `json:"member,omitempty"`
}

// joinReply is the response body of POST /v1/join.
type joinReply struct {
	Cluster  string `json:"cluster"` // id that the joining voter has to store first
	Votes    bool   `json:"votes"`
	Progress string `json:"said,omitempty"`
	// Replaced tells that the identity was a member and has been removed. It can never join again.
	Replaced bool   `json:"replaced,omitempty"`
	Holder   string `json:"holder,omitempty"` // if replaced, the identity that has its name now; "" for none
}

// joinAttempt is what the leader remembers of a joining voter's last request.
type joinAttempt struct {
	term      uint64
	lastIndex uint64 // last index of the leader's log at that time
}

// requestJoin asks one voter after another, starting with the one that answered last, and returns the name of the one that
// answered, or "" if none did.
func (v *Voter) requestJoin(ctx context.Context, lastAnswered string) string {
	id := v.disk.Identity()
	request := joinRequest{ClusterName: v.c.Cluster, VotersHash: v.c.votersHash(), Name: v.c.Name,
		Identity: id.Identity, Cluster: id.Cluster, Member: v.membership}
	first := 0
	for i, p := range v.c.Voters {
		if p.Name == lastAnswered {
			first = i
		}
	}
	for i := range v.c.Voters {
		p := v.c.Voters[(first+i)%len(v.c.Voters)]
		if p.Name == v.c.Name {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, 2*v.c.Timings.CallTimeout)
		var reply joinReply
		err := v.peers.call(callCtx, p.Name, http.MethodPost, "/v1/join", request, &reply)
		cancel()
		if err != nil {
			v.throttled.warn("cluster_not_joined", "voter", v.c.Name, "asked", p.Name, "why", err)
			continue
		}
		if reply.Replaced && reply.Cluster == id.Cluster {
			v.failReplaced(id.Identity, reply.Holder)
			return p.Name
		}
		// This also applies if the id is already stored: the first voter does not run raft if it was restarted before it held an entry.
		if (reply.Cluster != id.Cluster || v.currentRun() == nil) && disk.ValidID(reply.Cluster) {
			v.startMu.Lock()
			fresh, err := v.joinCluster(reply.Cluster, nil)
			v.startMu.Unlock()
			if err == nil && !fresh && reply.Cluster != id.Cluster {
				v.throttled.warn("cluster_not_joined", "voter", v.c.Name, "asked", p.Name, "why", "this disk holds the state of another cluster, "+id.Cluster)
			}
		}
		return p.Name
	}
	return ""
}

// serveJoin performs one step of adding a voter, or forwards the request to the leader.
func (v *Voter) serveJoin(w http.ResponseWriter, r *http.Request) {
	var request joinRequest
	if !decodeBody(w, r, &request) {
		return
	}
	reason := ""
	switch {
	case request.ClusterName != v.c.Cluster:
		reason = fmt.Sprintf("the cluster here is %q", v.c.Cluster)
	case request.VotersHash != v.c.votersHash():
		reason = "the voters are others here, or in another order"
	case v.c.address(request.Name) == "" || !disk.ValidID(request.Identity):
		reason = fmt.Sprintf("%q with the identity %.40q is no voter of the configuration", request.Name, request.Identity)
	case request.Name == v.c.Name:
		reason = "that is my own name"
	}
	if reason != "" {
		writeRefusal(w, http.StatusConflict, refusal{Refused: reason})
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), 2*v.c.Timings.CallTimeout)
	defer cancel()
	run, leader := v.leader()
	if run == nil || leader == "" {
		writeRefusal(w, http.StatusServiceUnavailable, refusal{Refused: "no leader is known here"})
		return
	}
	var reply joinReply
	var err error
	switch {
	case leader == v.c.Name:
		reply, err = v.admit(ctx, run, request)
	case r.Header.Get(forwardedHeader) != "":
		err = errors.New("not the leader")
	default:
		err = v.peers.forward(ctx, leader, http.MethodPost, "/v1/join", request, &reply, true)
	}
	if err != nil {
		writeRefusal(w, http.StatusServiceUnavailable, refusal{Refused: err.Error()})
		return
	}
	writeJSON(w, http.StatusOK, reply)
}

// admit performs the next step of adding a voter: it is told the cluster's id; it is added without a vote and receives the
// log; once it has caught up, the identity that had its name before is removed and it gets the vote. Each step can be
// repeated, also by the next leader.
func (v *Voter) admit(ctx context.Context, run *raftRun, request joinRequest) (joinReply, error) {
	if !v.admitMu.TryLock() {
		return joinReply{}, errors.New("another voter is being taken in")
	}
	defer v.admitMu.Unlock()
	reply := joinReply{Cluster: run.cluster}
	if request.Cluster != run.cluster {
		reply.Progress = "keep the cluster's id and ask again"
		return reply, nil
	}
	if err := v.verifyLeader(ctx, run); err != nil {
		return reply, err
	}
	c := run.raft.GetConfiguration().Configuration()
	if isVoter(c, request.Identity) {
		reply.Votes = true
		return reply, nil
	}
	var clock clockReply
	if err := v.peers.call(ctx, request.Name, http.MethodGet, "/v1/clock", nil, &clock); err != nil {
		return reply, fmt.Errorf("you do not answer at %s: %w", v.c.address(request.Name), err)
	}
	if clock.Identity != request.Identity || clock.Cluster != run.cluster {
		return reply, fmt.Errorf("at %s answers the identity %.40q of the cluster %.40q", v.c.address(request.Name), clock.Identity, clock.Cluster)
	}
	if removed, holder, err := v.wasRemoved(ctx, run, request); err != nil || removed {
		reply.Replaced, reply.Holder = removed, holder
		return reply, err
	}
	logEnd := run.raft.LastIndex()
	before, known := v.recordAttempt(request.Identity, joinAttempt{term: run.raft.CurrentTerm(), lastIndex: logEnd})
	for _, s := range c.Servers {
		name, identity := link.Split(s.Address)
		if name == request.Name && identity != request.Identity && s.Suffrage != raft.Voter { // left over from an earlier attempt
			if err := v.await(ctx, run.raft.RemoveServer(s.ID, 0, v.c.Timings.CallTimeout)); err != nil {
				return reply, err
			}
		}
	}
	if id := raft.ServerID(request.Identity); !isMember(c, id) {
		reply.Progress = "you get the log"
		return reply, v.await(ctx, run.raft.AddNonvoter(id, link.Address(request.Name, request.Identity), 0, v.c.Timings.CallTimeout))
	}
	if !known || clock.Applied < before.lastIndex {
		reply.Progress = fmt.Sprintf("you have applied %d of %d", clock.Applied, logEnd)
		return reply, nil
	}
	return v.grantVote(ctx, run, c, request, reply)
}

// grantVote is the last step of admit: it removes the identity that had the name and gives the joining voter its vote.
func (v *Voter) grantVote(ctx context.Context, run *raftRun, c raft.Configuration, request joinRequest, reply joinReply) (joinReply, error) {
	old, hadVote := holder(c, request.Name)
	if hadVote {
		if err := v.await(ctx, run.raft.RemoveServer(raft.ServerID(old), 0, v.c.Timings.CallTimeout)); err != nil {
			return reply, err
		}
	}
	err := v.await(ctx, run.raft.AddVoter(raft.ServerID(request.Identity), link.Address(request.Name, request.Identity), 0, v.c.Timings.CallTimeout))
	if err != nil {
		return reply, err
	}
	v.mu.Lock()
	delete(v.joinAttempts, request.Identity)
	v.mu.Unlock()
	if !hadVote {
		old = "none"
	}
	v.log.Info("cluster_replaced", "voter", request.Name, "old", old, "new", request.Identity)
	reply.Votes = true
	return reply, nil
}

const maxJoinAttempts = 16

// recordAttempt stores the current join attempt of an identity. It returns the previous one, and whether that was made in
// the same term.
func (v *Voter) recordAttempt(identity string, now joinAttempt) (joinAttempt, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	before, ok := v.joinAttempts[identity]
	if len(v.joinAttempts) >= maxJoinAttempts {
		clear(v.joinAttempts)
	}
	v.joinAttempts[identity] = now
	return before, ok && before.term == now.term
}

// isMember reports whether a configuration has an identity, with or without a vote.
func isMember(c raft.Configuration, id raft.ServerID) bool {
	for _, s := range c.Servers {
		if s.ID == id {
			return true
		}
	}
	return false
}
