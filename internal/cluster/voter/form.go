package voter

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/hashicorp/raft"

	"burlpass/internal/cluster/voter/disk"
	"burlpass/internal/cluster/voter/link"
)

// claimRequest is the body of POST /v1/claim. The first voter of the configuration sends it to all others before it forms
// the cluster.
type claimRequest struct {
	ClusterName string `json:"cluster_name"`
	Cluster     string `json:"cluster"` // id of the cluster to be formed
	Name        string `json:"name"`
	Identity    string `json:"identity"`
	VotersHash  string `json:"listed"` // a hash of the voters' names in their order
}

// claimReply is the response body of POST /v1/claim.
type claimReply struct {
	Name     string `json:"name"`
	Identity string `json:"identity"`
}

// ensureVote runs until this voter has a vote: it forms the cluster, is claimed by the voter that forms it, or joins it.
func (v *Voter) ensureVote(ctx context.Context) {
	var lastAnswered string // the voter that answered the last join request
	// A disk with state has formed the cluster before or was joining it; in both cases a join request does no harm.
	forming := v.c.isFirst() && v.currentRun() == nil
	for ctx.Err() == nil {
		if v.failure() != nil {
			return
		}
		if v.hasVote() {
			v.markJoined()
			return
		}
		switch {
		case !forming:
			lastAnswered = v.requestJoin(ctx, lastAnswered)
		case v.currentRun() != nil: // formed, but no leader elected yet
		default:
			forming = v.tryForm(ctx)
		}
		v.mu.Lock()
		changed := v.changed
		v.mu.Unlock()
		select {
		case <-time.After(v.c.Timings.JoinInterval):
		case <-changed:
			time.Sleep(v.c.Timings.JoinInterval / 10) // coalesce bursts of changes
		case <-ctx.Done():
		}
	}
}

// hasVote reports whether a committed configuration, from the log or a snapshot, gives this identity a vote.
func (v *Voter) hasVote() bool {
	if v.currentRun() == nil {
		return false
	}
	if v.fsm.votes() {
		return true
	}
	has := false
	err := guarded(func() error {
		snapshots, err := v.disk.Snapshots.List()
		has = err == nil && len(snapshots) > 0 && isVoter(snapshots[0].Configuration, v.identity())
		return err
	})
	return err == nil && has
}

// markJoined stores durably that this identity has a vote, and ends the joining state.
func (v *Voter) markJoined() {
	v.startMu.Lock()
	err := v.disk.SetVoted()
	v.startMu.Unlock()
	if err != nil {
		v.fail(fmt.Errorf("%w: %w", disk.ErrDamaged, err))
		return
	}
	v.fsm.setHasVote()
	v.mu.Lock()
	v.joining = false
	v.notifyChanged()
	v.mu.Unlock()
	id := v.disk.Identity()
	v.log.Info("cluster_joined", "voter", v.c.Name, "identity", id.Identity, "cluster", id.Cluster)
}

// tryForm claims all other voters and forms the cluster with them. It returns false if a cluster already exists.
func (v *Voter) tryForm(ctx context.Context) bool {
	v.startMu.Lock()
	id := v.disk.Identity()
	if id.Cluster == "" {
		if err := v.disk.SetCluster(disk.NewID()); err != nil {
			v.fail(fmt.Errorf("%w: %w", disk.ErrDamaged, err))
		}
		id = v.disk.Identity()
	}
	v.startMu.Unlock()
	request := claimRequest{ClusterName: v.c.Cluster, Cluster: id.Cluster, Name: v.c.Name, Identity: id.Identity, VotersHash: v.c.votersHash()}
	ctx, cancel := context.WithTimeout(ctx, v.c.Timings.CallTimeout)
	defer cancel()
	answers := make([]claimReply, len(v.c.Voters))
	answers[0] = claimReply{v.c.Name, id.Identity}
	errs := make([]error, len(v.c.Voters))
	var wg sync.WaitGroup
	for i, p := range v.c.Voters[1:] {
		wg.Add(1)
		go func() {
			defer wg.Done()
			errs[i+1] = v.peers.call(ctx, p.Name, http.MethodPost, "/v1/claim", request, &answers[i+1])
		}()
	}
	wg.Wait()
	initial := raft.Configuration{}
	complete := true
	for i, p := range v.c.Voters {
		var refused *refusal
		if errors.As(errs[i], &refused) && refused.State {
			v.log.Info("cluster_found", "voter", v.c.Name, "by", p.Name)
			return false
		}
		if errs[i] == nil && (answers[i].Name != p.Name || !disk.ValidID(answers[i].Identity)) {
			errs[i] = fmt.Errorf("voter %q answers at %s", answers[i].Name, p.Addr)
		}
		if errs[i] != nil {
			complete = false
			v.throttled.warn("cluster_not_formed", "voter", v.c.Name, "lacks", p.Name, "why", errs[i])
			continue
		}
		initial.Servers = append(initial.Servers, raft.Server{ID: raft.ServerID(answers[i].Identity), Address: link.Address(p.Name, answers[i].Identity)})
	}
	if !complete || ctx.Err() != nil {
		return true
	}
	v.startMu.Lock()
	fresh, err := v.joinCluster(id.Cluster, &initial)
	v.startMu.Unlock()
	if err == nil && fresh {
		v.log.Info("cluster_formed", "cluster", id.Cluster, "name", v.c.Cluster, "voters", len(initial.Servers))
	}
	return true
}

// serveClaim accepts the first voter's claim as long as this voter's disk has never held a vote or an entry.
func (v *Voter) serveClaim(w http.ResponseWriter, r *http.Request) {
	var request claimRequest
	if !decodeBody(w, r, &request) {
		return
	}
	reason := ""
	switch {
	case request.ClusterName != v.c.Cluster:
		reason = fmt.Sprintf("the cluster here is %q", v.c.Cluster)
	case request.VotersHash != v.c.votersHash():
		reason = "the voters are others here, or in another order"
	case request.Name != v.c.Voters[0].Name || v.c.isFirst():
		reason = fmt.Sprintf("the first voter is %q", v.c.Voters[0].Name)
	case !disk.ValidID(request.Cluster) || !disk.ValidID(request.Identity):
		reason = "no ids"
	}
	if reason != "" {
		v.throttled.warn("cluster_claim_refused", "of", request.Name, "why", reason)
		writeRefusal(w, http.StatusConflict, refusal{Refused: reason})
		return
	}
	v.startMu.Lock()
	defer v.startMu.Unlock()
	if err := v.failure(); err != nil {
		writeRefusal(w, http.StatusServiceUnavailable, refusal{Refused: err.Error()})
		return
	}
	if run := v.currentRun(); run == nil || run.cluster != request.Cluster {
		fresh, err := v.joinCluster(request.Cluster, nil)
		if err != nil {
			writeRefusal(w, http.StatusServiceUnavailable, refusal{Refused: err.Error()})
			return
		}
		if !fresh {
			writeRefusal(w, http.StatusConflict, refusal{Refused: "the disk here holds the state of a cluster", State: true})
			return
		}
	} else if state, err := v.hasState(); err != nil || state {
		writeRefusal(w, http.StatusConflict, refusal{Refused: "the disk here holds the state of a cluster", State: true})
		return
	}
	writeJSON(w, http.StatusOK, claimReply{v.c.Name, v.identity()})
}

func (v *Voter) hasState() (state bool, err error) {
	err = guarded(func() (err error) { state, err = v.disk.HasState(); return err })
	return state, err
}
