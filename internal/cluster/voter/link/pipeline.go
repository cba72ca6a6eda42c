package link

import (
	"sync"

	"github.com/hashicorp/raft"
)

// Transport is raft's network transport with pipelines that cannot block raft's shutdown. Raft's own pipelines have no buffer:
// raft's decoder ends at the first negative response, and then a sender with two messages in flight waits forever to hand over
// the third. That blocks raft's shutdown, and heartbeats of the old term go on.
type Transport struct{ *raft.NetworkTransport }

// AppendEntriesPipeline implements raft.Transport.
func (t Transport) AppendEntriesPipeline(id raft.ServerID, target raft.ServerAddress) (raft.AppendPipeline, error) {
	inner, err := t.NetworkTransport.AppendEntriesPipeline(id, target)
	if err != nil {
		return nil, err
	}
	p := &pipeline{AppendPipeline: inner, out: make(chan raft.AppendFuture), closed: make(chan struct{})}
	go p.forward()
	return p, nil
}

// pipeline takes responses from raft's own pipeline at once and queues them. The sender bounds the queue, since it checks for
// the decoder's end between two messages.
type pipeline struct {
	raft.AppendPipeline
	out    chan raft.AppendFuture
	closed chan struct{}
	once   sync.Once
}

// Consumer implements raft.AppendPipeline.
func (p *pipeline) Consumer() <-chan raft.AppendFuture { return p.out }

// Close implements raft.AppendPipeline.
func (p *pipeline) Close() error {
	p.once.Do(func() { close(p.closed) })
	return p.AppendPipeline.Close()
}

// forward moves responses from raft's pipeline through the queue to the consumer.
func (p *pipeline) forward() {
	var queue []raft.AppendFuture
	for {
		var out chan<- raft.AppendFuture
		var first raft.AppendFuture
		if len(queue) > 0 {
			out, first = p.out, queue[0]
		}
		select {
		case f := <-p.AppendPipeline.Consumer():
			queue = append(queue, f)
		case out <- first:
			queue = queue[1:]
		case <-p.closed:
			return
		}
	}
}
