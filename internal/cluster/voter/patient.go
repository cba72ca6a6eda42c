package voter

import (
	"sync"
	"time"

	"github.com/hashicorp/raft"

	"burlpass/internal/cluster/voter/link"
)

// patient is raft's transport, but for what a leader does about a follower that does not answer. raft tries again after a time
// that doubles with each failure, up to 10 s: a follower that was away for half a minute would hear of no entry for so long
// after it is back. Here heartbeats are tried again each beat, and entries wait until one was answered.
type retryTransport struct {
	link.Transport
	send       func(raft.ServerID, raft.ServerAddress, *raft.AppendEntriesRequest, *raft.AppendEntriesResponse) error
	interval   time.Duration
	replicates func(id raft.ServerID, term uint64) bool // this voter leads in that term, and its configuration has that follower
	done       chan struct{}

	mu      sync.Mutex
	waiters map[raft.ServerID]chan struct{} // closed once a heartbeat is answered
	closed  bool
}

func newRetryTransport(t *raft.NetworkTransport, interval time.Duration, replicates func(raft.ServerID, uint64) bool) *retryTransport {
	return &retryTransport{Transport: link.Transport{NetworkTransport: t}, send: t.AppendEntries, interval: interval, replicates: replicates,
		done: make(chan struct{}), waiters: map[raft.ServerID]chan struct{}{}}
}

// AppendEntries implements raft.Transport. Of a follower that does not answer the error comes when it does again, or when
// there is no use in waiting.
func (p *retryTransport) AppendEntries(id raft.ServerID, target raft.ServerAddress, request *raft.AppendEntriesRequest, response *raft.AppendEntriesResponse) error {
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

// answered waits for the next answered heartbeat, for a beat.
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

func (p *retryTransport) heartbeatAnswered(id raft.ServerID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if wait, ok := p.waiters[id]; ok {
		close(wait)
		delete(p.waiters, id)
	}
}

// pause is false once this is closed.
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
