package voter

import (
	"sync"
	"time"

	"github.com/hashicorp/raft"

	"burlpass/internal/cluster/voter/link"
)

// retryTransport is raft's transport with other retries for a follower that does not answer. raft doubles its delay with each
// failure, up to 10 s, so a follower that was away for half a minute would get no entries for that long after its return.
// Here heartbeats are retried at a fixed interval, and a failed request with entries returns once a heartbeat was answered.
type retryTransport struct {
	link.Transport
	send       func(raft.ServerID, raft.ServerAddress, *raft.AppendEntriesRequest, *raft.AppendEntriesResponse) error
	interval   time.Duration
	replicates func(id raft.ServerID, term uint64) bool // this voter leads in the term, and its configuration has the follower
	done       chan struct{}

	mu      sync.Mutex
	waiters map[raft.ServerID]chan struct{} // closed when a heartbeat is answered
	closed  bool
}

func newRetryTransport(t *raft.NetworkTransport, interval time.Duration, replicates func(raft.ServerID, uint64) bool) *retryTransport {
	return &retryTransport{Transport: link.Transport{NetworkTransport: t}, send: t.AppendEntries, interval: interval, replicates: replicates,
		done: make(chan struct{}), waiters: map[raft.ServerID]chan struct{}{}}
}

// AppendEntries implements raft.Transport. If the follower does not answer, the error is returned only once it answers again,
// or when this voter no longer replicates to it.
func (p *retryTransport) AppendEntries(id raft.ServerID, target raft.ServerAddress, request *raft.AppendEntriesRequest,
	response *raft.AppendEntriesResponse) error {
	if request.LeaderCommitIndex > 0 || len(request.Entries) > 0 {
		err := p.send(id, target, request, response)
		for err != nil && p.replicates(id, request.Term) && !p.waitHeartbeat(id) {
		}
		return err
	}
	for {
		err := p.send(id, target, request, response)
		if err == nil {
			p.heartbeatAnswered(id)
			return nil
		}
		if !p.sleep() || !p.replicates(id, request.Term) {
			return err
		}
	}
}

// waitHeartbeat waits up to one interval for an answered heartbeat. It also returns true when the transport is closed.
func (p *retryTransport) waitHeartbeat(id raft.ServerID) bool {
	p.mu.Lock()
	wait, ok := p.waiters[id]
	if !ok {
		wait = make(chan struct{})
		p.waiters[id] = wait
	}
	p.mu.Unlock()
	timer := time.NewTimer(p.interval)
	defer timer.Stop()
	select {
	case <-wait:
	case <-p.done:
	case <-timer.C:
		return false
	}
	return true
}

// heartbeatAnswered wakes the requests that wait for a heartbeat of this follower.
func (p *retryTransport) heartbeatAnswered(id raft.ServerID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if wait, ok := p.waiters[id]; ok {
		close(wait)
		delete(p.waiters, id)
	}
}

// sleep waits for one interval. It returns false if the transport is closed.
func (p *retryTransport) sleep() bool {
	timer := time.NewTimer(p.interval)
	defer timer.Stop()
	select {
	case <-p.done:
		return false
	case <-timer.C:
		return true
	}
}

// Close implements raft.WithClose.
func (p *retryTransport) Close() error {
	p.mu.Lock()
	if !p.closed {
		p.closed = true
		close(p.done)
	}
	p.mu.Unlock()
	return p.NetworkTransport.Close()
}

// AppendEntriesPipeline implements raft.Transport.
func (p *retryTransport) AppendEntriesPipeline(id raft.ServerID, target raft.ServerAddress) (raft.AppendPipeline, error) {
	return link.Transport{NetworkTransport: p.NetworkTransport}.AppendEntriesPipeline(id, target)
}
