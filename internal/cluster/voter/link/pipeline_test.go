package link

import (
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"
)

// TestPipelineWithoutDecoder sends through a pipeline whose responses nobody consumes, because raft's decoder ends at the first
// negative one. The sender must not block.
func TestPipelineWithoutDecoder(t *testing.T) {
	a, b, to, _, _ := newPair(t)
	newTransport := func(l *Layer) *raft.NetworkTransport {
		n := raft.NewNetworkTransportWithConfig(&raft.NetworkTransportConfig{Stream: l, MaxPool: 3, Timeout: 10 * time.Second, Logger: hclog.NewNullLogger()})
		t.Cleanup(func() { n.CloseStreams(); n.Close() })
		return n
	}
	near, far := newTransport(a), newTransport(b)
	done := make(chan struct{})
	defer close(done)
	go func() {
		for {
			select {
			case rpc := <-far.Consumer():
				rpc.Respond(&raft.AppendEntriesResponse{Success: false}, nil)
			case <-done:
				return
			}
		}
	}()
	p, err := Transport{near}.AppendEntriesPipeline("id-b", to)
	if err != nil {
		t.Fatal(err)
	}
	const messages = 8 // raft's own pipeline takes two
	sent := make(chan error)
	go func() {
		var err error
		for range messages {
			if _, e := p.AppendEntries(&raft.AppendEntriesRequest{Term: 1}, new(raft.AppendEntriesResponse)); e != nil {
				err = e
			}
		}
		sent <- err
	}()
	select {
	case err := <-sent:
		if err != nil {
			t.Fatal(err)
		}
	case <-time.After(20 * time.Second):
		t.Error("the sender blocks")
		p.Close()
		<-sent
		return
	}
	for range messages {
		f := <-p.Consumer()
		if err := f.Error(); err != nil || f.Response().Success {
			t.Errorf("%v, %+v", err, f.Response())
		}
	}
	if err := p.Close(); err != nil {
		t.Fatal(err)
	}
}
