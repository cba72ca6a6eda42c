package voter

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/hashicorp/raft"

	"burlpass/internal/cluster/api"
	"burlpass/internal/record"
)

// retryInterval is the delay before a request that was certainly not accepted is retried.
const retryInterval = 20 * time.Millisecond

// Write has the leader propose a write. A write that was certainly not accepted is retried for up to LeaderWait, because a new
// leader may be about to be elected.
func (v *Voter) Write(ctx context.Context, w *record.Write) (record.Result, error) {
	raw, err := record.Encode(&record.Entry{Write: w})
	if err != nil {
		return record.Result{}, fmt.Errorf("%w: %w", api.ErrRefused, err)
	}
	waitCtx, cancel := context.WithTimeout(ctx, v.c.Timings.LeaderWait)
	defer cancel()
	for {
		v.mu.Lock()
		changed := v.changed
		v.mu.Unlock()
		if err := v.failure(); err != nil {
			return record.Result{}, fmt.Errorf("%w: %w", api.ErrRefused, err)
		}
		run, leader := v.leader()
		var result record.Result
		switch {
		case leader == "":
			err = fmt.Errorf("%w: no leader is known here", api.ErrRefused)
		case leader == v.c.Name:
			result, err = v.propose(ctx, run, raw)
		default:
			result, err = v.forwardWrite(ctx, leader, proposal{run.cluster, w})
		}
		if err == nil || !errors.Is(err, api.ErrRefused) {
			return result, err
		}
		wait := changed
		if leader != "" { // the leader has answered, and there may be no change to wait for
			wait = nil
		}
		select {
		case <-wait:
		case <-time.After(retryInterval):
		case <-waitCtx.Done():
			return result, err
		}
	}
}

// propose appends an entry through this leader's raft and waits until it is applied. The error is ErrRefused only if raft
// cannot have appended it.
func (v *Voter) propose(ctx context.Context, run *raftRun, raw []byte) (record.Result, error) {
	if err := v.failure(); err != nil {
		return record.Result{}, fmt.Errorf("%w: %w", api.ErrRefused, err)
	}
	if err := ctx.Err(); err != nil {
		return record.Result{}, fmt.Errorf("%w: %w", api.ErrRefused, err)
	}
	within := v.c.Timings.CallTimeout
	if end, ok := ctx.Deadline(); ok {
		within = max(time.Millisecond, min(within, time.Until(end)))
	}
	f := run.raft.Apply(raw, within)
	err := v.await(ctx, f)
	switch {
	case err == nil:
	case errors.Is(err, raft.ErrNotLeader), errors.Is(err, raft.ErrLeadershipTransferInProgress), errors.Is(err, raft.ErrEnqueueTimeout):
		return record.Result{}, fmt.Errorf("%w: %w", api.ErrRefused, err)
	default: // lost leadership, a shutdown, a failed store or the end of ctx: the entry may have been appended
		return record.Result{}, fmt.Errorf("%w: %w", api.ErrUnknown, err)
	}
	a, ok := f.Response().(applyResult)
	if !ok || a.err != nil {
		return record.Result{}, fmt.Errorf("%w: %w", api.ErrUnknown, errors.Join(a.err, v.failure()))
	}
	return a.result, nil
}

// proposal is the body of POST /v1/propose: a write that another voter forwards to the leader.
type proposal struct {
	Cluster string        `json:"cluster"`
	Write   *record.Write `json:"write"`
}

// forwardWrite sends a write to the leader. The error is ErrRefused only if the leader certainly did not accept the write.
func (v *Voter) forwardWrite(ctx context.Context, leader string, p proposal) (result record.Result, err error) {
	err = v.peers.forward(ctx, leader, http.MethodPost, "/v1/propose", p, &result, true)
	var refused *refusal
	switch {
	case err == nil && result.ID == p.Write.ID && result.Outcome != "":
		return result, nil
	case err == nil:
		err = errors.New("an answer that is no result")
	case errors.Is(err, errNotSent), errors.As(err, &refused) && refused.Refused != "" && refused.Unknown == "":
		return record.Result{}, fmt.Errorf("%w: %s: %w", api.ErrRefused, leader, err)
	}
	return record.Result{}, fmt.Errorf("%w: %s: %w", api.ErrUnknown, leader, err)
}

const proposeTimeout = 30 * time.Second // upper bound; the caller's deadline usually ends the call earlier

func (v *Voter) servePropose(w http.ResponseWriter, r *http.Request) {
	var p proposal
	if !decodeBody(w, r, &p) {
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), proposeTimeout)
	defer cancel()
	run, leader := v.leader()
	if run == nil || leader != v.c.Name || p.Cluster != run.cluster {
		writeRefusal(w, http.StatusServiceUnavailable, refusal{Refused: errNotLeader.Error()})
		return
	}
	raw, err := record.Encode(&record.Entry{Write: p.Write})
	if err != nil {
		writeRefusal(w, http.StatusBadRequest, refusal{Refused: err.Error()})
		return
	}
	result, err := v.propose(ctx, run, raw)
	switch {
	case err == nil:
		writeJSON(w, http.StatusOK, result)
	case errors.Is(err, api.ErrRefused):
		writeRefusal(w, http.StatusServiceUnavailable, refusal{Refused: err.Error()})
	default:
		writeRefusal(w, http.StatusGatewayTimeout, refusal{Unknown: err.Error()})
	}
}
