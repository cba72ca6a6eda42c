package voter

import (
	"fmt"
	"io"
	"log/slog"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
)

// sparse writes lines that others can bring about without end: one of a kind in a while.
type throttledLog struct {
	log *slog.Logger

	mu   sync.Mutex
	last map[string]time.Time // by event and what tells its lines apart
}

const (
	repeatInterval = 10 * time.Second
	maxKinds       = 256
)

func newThrottledLog(log *slog.Logger) *throttledLog {
	return &throttledLog{log: log, last: map[string]time.Time{}}
}

func (s *throttledLog) due(kind string) bool {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if at, ok := s.last[kind]; ok && now.Sub(at) < repeatInterval {
		return false
	}
	if len(s.last) >= maxKinds {
		clear(s.last)
	}
	s.last[kind] = now
	return true
}

// warn writes a line unless the same one was written lately.
func (s *throttledLog) warn(event string, args ...any) {
	if s.due(fmt.Sprint(event, args)) {
		s.log.Warn(event, args...)
	}
}

// raftLog takes over what raft logs: its warnings sparsely, by their text, and the rest for debugging.
type raftLogSink struct{ throttled *throttledLog }

func newRaftLog(throttled *throttledLog) hclog.Logger {
	l := hclog.NewInterceptLogger(&hclog.LoggerOptions{Level: hclog.Off, Output: io.Discard})
	l.RegisterSink(&raftLogSink{throttled})
	return l
}

// Accept implements hclog.SinkAdapter.
func (r *raftLogSink) Accept(_ string, level hclog.Level, text string, args ...any) {
	args = append([]any{"what", text}, args...)
	for i, a := range args {
		if f, ok := a.(hclog.Format); ok && len(f) > 0 {
			args[i] = fmt.Sprintf(fmt.Sprint(f[0]), f[1:]...)
		}
	}
	if level >= hclog.Warn && r.throttled.due("raft "+text) {
		r.throttled.log.Warn("cluster_raft", args...)
		return
	}
	r.throttled.log.Debug("cluster_raft", args...)
}
