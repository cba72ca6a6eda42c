package voter

import (
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/raft"
)

// TestRetryTransport sends to a follower that does not answer. A request with entries must return its error only once a
// heartbeat is answered, the leader is deposed or the transport is closed, and heartbeats must be retried until then.
func TestRetryTransport(t *testing.T) {
	heartbeat, entries := &raft.AppendEntriesRequest{Term: 3}, &raft.AppendEntriesRequest{Term: 3, LeaderCommitIndex: 1}
	errUnreachable := errors.New("unreachable")
	for name, end := range map[string]func(p *retryTransport, reachable, isLeader *atomic.Bool){
		"answers":   func(_ *retryTransport, reachable, _ *atomic.Bool) { reachable.Store(true) },
		"deposed":   func(_ *retryTransport, _, isLeader *atomic.Bool) { isLeader.Store(false) },
		"is closed": func(p *retryTransport, _, isLeader *atomic.Bool) { close(p.done); isLeader.Store(false) },
	} {
		t.Run(name, func(t *testing.T) {
			var reachable, isLeader atomic.Bool
			isLeader.Store(true)
			tried, failed := make(chan bool, 3), make(chan bool, 1)
			p := &retryTransport{interval: time.Millisecond, done: make(chan struct{}), waiters: map[raft.ServerID]chan struct{}{}}
			p.replicates = func(id raft.ServerID, term uint64) bool { return isLeader.Load() && id == "x" && term == 3 }
			p.send = func(_ raft.ServerID, _ raft.ServerAddress, request *raft.AppendEntriesRequest, _ *raft.AppendEntriesResponse) error {
				if request == entries {
					failed <- true
					return errUnreachable
				}
				select {
				case tried <- true:
				default:
				}
				if reachable.Load() {
					return nil
				}
				return errUnreachable
			}
			result := make(chan error, 1)
			go func() { result <- p.AppendEntries("x", "", entries, nil) }()
			<-failed
			heartbeatsDone := make(chan struct{})
			go func() {
				defer close(heartbeatsDone)
				for isLeader.Load() {
					if err := p.AppendEntries("x", "", heartbeat, nil); (err == nil) != reachable.Load() && isLeader.Load() {
						t.Error(err)
					}
				}
			}()
			for range 3 {
				<-tried
			}
			select {
			case err := <-result:
				t.Fatal("AppendEntries does not wait", err)
			default:
			}
			end(p, &reachable, &isLeader)
			if err := <-result; !errors.Is(err, errUnreachable) {
				t.Error(err)
			}
			isLeader.Store(false)
			<-heartbeatsDone
		})
	}
}
