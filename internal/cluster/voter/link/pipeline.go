package link

import (
	"sync"

	"github.com/hashicorp/raft"
)

// Transport is raft's network transport, whose pipelines cannot keep raft from ending. Raft's own have no room: once its decoder has
// gone, at the first answer that says no, a sender that has two messages out waits for ever to hand over the third, with it whoever
// waits for raft's shutdown, and a heartbeat of the old term goes on.
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

// pipeline takes what is answered from raft's own at once. How much it holds is bounded by the sender: that looks for the decoder's end
// between two messages.
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
