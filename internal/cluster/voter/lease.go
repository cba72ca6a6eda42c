package voter

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/hashicorp/raft"

	"burlpass/internal/cluster/api"
	"burlpass/internal/cluster/voter/link"
	"burlpass/internal/lease"
	"burlpass/internal/record"
)

const (
	batchWindow     = 10 * time.Millisecond // requests that arrive within this time are answered together
	maxBatch        = 1024
	limitsInterval  = 50 * time.Millisecond // minimum time between two reads of the limits from the record
	termCallTimeout = 300 * time.Millisecond

	metricsInterval = time.Second
)

// leases holds the lease requests to this voter as the leader, and their metrics.
type leases struct {
	requests chan *leaseRequest // read by allocateLeases while this voter leads
	metrics  *leaseMetrics
}

// leaseRequest is a holder's request that waits for the leader's reply.
type leaseRequest struct {
	ask   lease.Ask
	reply chan leaseReply // buffered, so that a reply never blocks
}

// leaseReply is the answer to a leaseRequest, or why there is none.
type leaseReply struct {
	answer lease.Answer
	err    error
}

func newLeases() *leases {
	return &leases{requests: make(chan *leaseRequest, maxBatch), metrics: newLeaseMetrics()}
}

// Lease implements api.Member.
func (v *Voter) Lease(ctx context.Context, ask lease.Ask) (a lease.Answer, err error) {
	run, leader := v.leader()
	switch failed := v.failure(); {
	case failed != nil:
		err = failed
	case v.c.Limits == nil:
		err = errors.New("no limits are divided in this cluster")
	case leader == "":
		err = errors.New("no leader is known here")
	case leader == v.c.Name:
		a, err = v.requestLocally(ctx, ask)
	default:
		err = v.peers.forward(ctx, leader, http.MethodPost, "/v1/divide", forwardedAsk{run.cluster, ask}, &a, true)
		if err == nil && a.Number != ask.Number {
			err = errors.New(leader + ": an answer to another question")
		}
	}
	if err != nil {
		return lease.Answer{}, fmt.Errorf("%w: %w", api.ErrRefused, err)
	}
	return a, nil
}

// requestLocally queues a request for allocateLeases on this voter and waits for the reply.
func (v *Voter) requestLocally(ctx context.Context, ask lease.Ask) (lease.Answer, error) {
	request := &leaseRequest{ask, make(chan leaseReply, 1)}
	v.leases.metrics.asked.Inc()
	select {
	case v.leases.requests <- request:
	case <-ctx.Done():
		return lease.Answer{}, ctx.Err()
	case <-v.ctx.Done():
		return lease.Answer{}, errNotLeader
	}
	select {
	case r := <-request.reply:
		return r.answer, r.err
	case <-ctx.Done():
		return lease.Answer{}, ctx.Err()
	case <-v.ctx.Done():
		return lease.Answer{}, errNotLeader
	}
}

// forwardedAsk is the body of POST /v1/divide: a lease request that another voter forwards to the leader. It is not forwarded
// again.
type forwardedAsk struct {
	Cluster string    `json:"cluster"`
	Ask     lease.Ask `json:"ask"`
}

func (v *Voter) serveDivide(w http.ResponseWriter, r *http.Request) {
	var forwarded forwardedAsk
	if !decodeBody(w, r, &forwarded) {
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), lease.Length)
	defer cancel()
	run, leader := v.leader()
	err := error(errNotLeader)
	var a lease.Answer
	if run != nil && v.c.Limits != nil && leader == v.c.Name && forwarded.Cluster == run.cluster {
		a, err = v.requestLocally(ctx, forwarded.Ask)
	}
	if err != nil {
		writeRefusal(w, http.StatusServiceUnavailable, refusal{Refused: err.Error()})
		return
	}
	writeJSON(w, http.StatusOK, a)
}

// allocateLeases answers lease requests while this voter leads in a term.
func (v *Voter) allocateLeases(ctx context.Context, run *raftRun, term uint64) {
	if v.c.Limits == nil {
		return
	}
	start := time.Now()
	now := func() time.Duration { return time.Since(start) + time.Second }
	prover := leadershipProver{v: v, run: run, term: term, inFlight: map[raft.ServerID]bool{}}
	defer prover.calls.Wait()
	book := lease.NewBook(term, now())
	defer v.leases.metrics.set(nil, 0)
	version, limitsRead, metricsSet := record.Version(0), time.Time{}, time.Time{}
	for {
		batch := v.nextBatch(ctx)
		if len(batch) == 0 {
			return
		}
		if at := v.fsm.replica.Version(); limitsRead.IsZero() || at != version && time.Since(limitsRead) >= limitsInterval {
			version, limitsRead = at, time.Now()
			if problem := book.Set(now(), v.c.Limits(v.fsm.replica.View())); problem != "" {
				v.throttled.warn("lease_limits", "fault", problem)
			}
		}
		requests := make([]lease.Ask, len(batch))
		for i, request := range batch {
			requests[i] = request.ask
		}
		replies := book.Answer(now(), requests)
		if time.Since(metricsSet) >= metricsInterval {
			metricsSet = time.Now()
			v.leases.metrics.set(book.Figures(maxReportedLimits), book.Holders())
		}
		err := prover.prove(ctx)
		for i, request := range batch {
			a := leaseReply{replies[i].Answer, err}
			if err == nil && replies[i].Refused != "" {
				a.err = errors.New(replies[i].Refused)
			}
			if a.err != nil {
				v.leases.metrics.refused.Inc()
			}
			request.reply <- a
		}
	}
}

// nextBatch waits for requests and returns those that arrive within batchWindow, or none if the leadership has ended.
func (v *Voter) nextBatch(ctx context.Context) (batch []*leaseRequest) {
	var windowEnd <-chan time.Time
	for len(batch) < maxBatch {
		select {
		case request := <-v.leases.requests:
			if batch = append(batch, request); windowEnd == nil {
				windowEnd = time.After(batchWindow)
			}
			continue
		case <-windowEnd:
		case <-ctx.Done():
			for _, request := range batch {
				request.reply <- leaseReply{err: errNotLeader}
			}
			return nil
		}
		break
	}
	return batch
}

// leadershipProver proves that this voter still leads in its term. It asks a majority of voters for their current terms: a
// voter without a later term has not helped to elect another leader by then. raft's VerifyLeader is not enough, because it
// also counts responses to heartbeats sent before the call, which may have been in transit or unread while this process
// was suspended.
type leadershipProver struct {
	v        *Voter
	run      *raftRun
	term     uint64
	calls    sync.WaitGroup
	mu       sync.Mutex
	inFlight map[raft.ServerID]bool // voters with an unanswered request
}

// prove returns nil once a majority, including this voter, has confirmed the term.
func (p *leadershipProver) prove(ctx context.Context) error {
	var others []raft.Server
	voters, own := 0, p.v.identity()
	for _, s := range p.run.raft.GetConfiguration().Configuration().Servers {
		if s.Suffrage != raft.Voter {
			continue
		}
		if voters++; string(s.ID) != own {
			others = append(others, s)
		}
	}
	votes := make(chan bool, len(others))
	for _, s := range others {
		p.askTerm(s, votes)
	}
	for confirmed, outstanding := 1, len(others); ; {
		if p.run.raft.State() != raft.Leader || p.run.raft.CurrentTerm() != p.term {
			return errNotLeader
		}
		if confirmed > voters/2 {
			return nil
		}
		if outstanding == 0 {
			return errors.New("no majority says that this voter leads")
		}
		select {
		case granted := <-votes:
			if outstanding--; granted {
				confirmed++
			}
		case <-ctx.Done():
			return errNotLeader
		}
	}
}

// askTerm asks one voter for its term, unless an earlier request to it is still unanswered. It sends exactly one vote.
func (p *leadershipProver) askTerm(s raft.Server, votes chan<- bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.inFlight[s.ID] {
		votes <- false
		return
	}
	p.inFlight[s.ID] = true
	p.calls.Add(1)
	go func() {
		defer p.calls.Done()
		ctx, cancel := context.WithTimeout(p.v.ctx, termCallTimeout)
		defer cancel()
		name, identity := link.Split(s.Address)
		var reply termReply
		err := p.v.peers.call(ctx, name, http.MethodGet, "/v1/term", nil, &reply)
		p.mu.Lock()
		p.inFlight[s.ID] = false
		p.mu.Unlock()
		votes <- err == nil && reply.Identity == identity && reply.Cluster == p.run.cluster && reply.Term > 0 && reply.Term <= p.term
	}()
}

// termReply is the response body of GET /v1/term.
type termReply struct {
	Cluster  string `json:"cluster"`
	Identity string `json:"identity"`
	Term     uint64 `json:"term"` // when the request had arrived
}

func (v *Voter) serveTerm(w http.ResponseWriter, _ *http.Request) {
	run, err := v.currentRun(), v.failure()
	if run == nil || err != nil {
		writeRefusal(w, http.StatusServiceUnavailable, refusal{Refused: "this voter takes no part in a cluster now"})
		return
	}
	writeJSON(w, http.StatusOK, termReply{run.cluster, v.identity(), run.raft.CurrentTerm()})
}
