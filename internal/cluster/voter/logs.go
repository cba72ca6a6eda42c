package voter

import (
	"fmt"
	"io"
	"log/slog"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
)

// throttledLog writes log lines that remote events can cause without limit: identical lines at most once per repeatInterval.
type throttledLog struct {
	log *slog.Logger

	mu   sync.Mutex
	last map[string]time.Time // last write by kind: the event and what distinguishes its lines
}

const (
	repeatInterval = 10 * time.Second
	maxKinds       = 256
)

func newThrottledLog(log *slog.Logger) *throttledLog {
	return &throttledLog{log: log, last: map[string]time.Time{}}
}

// due reports whether a line of this kind may be written now, and if so counts it as written.
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

// warn writes a warning unless the same line was written recently.
func (s *throttledLog) warn(event string, args ...any) {
	if s.due(fmt.Sprint(event, args)) {
		s.log.Warn(event, args...)
	}
}

// raftLogSink receives raft's log lines. It throttles warnings and errors by their text and writes everything else at debug
// level.
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
