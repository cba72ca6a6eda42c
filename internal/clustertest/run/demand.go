package run

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"burlpass/internal/clustertest/history"
	"burlpass/internal/clustertest/leases"
)

// machineTime is the clock that all processes of a machine share, in microseconds.
func machineTime() int64 {
	var t unix.Timespec
	_ = unix.ClockGettime(unix.CLOCK_MONOTONIC, &t)
	return t.Nano() / 1000
}

// server is the worker of all sidecars: it serves every call at once.
type server struct {
	http *http.Server
	addr string
	done chan struct{}
}

func newServer() (*server, error) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &server{addr: ln.Addr().String(), done: make(chan struct{})}
	s.http = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") })}
	go func() {
		defer close(s.done)
		_ = s.http.Serve(ln)
	}()
	return s, nil
}

func (s *server) close() {
	_ = s.http.Close()
	<-s.done
}

// answerTime bounds the answer to a call whose client has two seconds: far more than it is promised to take.
const answerTime = 20 * time.Second

// call makes one call at a member's sidecar, and records what came of it: 0 is no answer.
func (l *limited) call(m *member, path string) (status int) {
	ctx, cancel := context.WithTimeout(context.Background(), answerTime)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+m.clients+path, nil)
	if err != nil {
		return 0
	}
	l.mu.Lock()
	l.made++
	r.Header.Set("X-Trace-Id", fmt.Sprint("l", l.made))
	l.mu.Unlock()
	r.Header.Set("X-Expires-In", "2000m")
	before := m.turn()
	began := machineTime()
	resp, err := l.via.RoundTrip(r)
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		status = resp.StatusCode
	}
	ended := machineTime()
	undisturbed := before != 0 && m.turn() == before
	switch {
	case err != nil && undisturbed && !undialled(err):
		l.f.breach(history.OneAnswer, "%s gave no answer to a call: %v", m.name, err)
	case status == http.StatusTooManyRequests && !advises(resp):
		l.f.breach(history.OneAnswer, "%s refused a call without a time for another try", m.name)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.answers[status]++
	if status == http.StatusOK {
		l.passed = append(l.passed, leases.Call{Process: m.name, Path: path, Began: began, Ended: ended})
	}
	return status
}

// undialled tells whether nobody took the call: a process that starts does not listen yet.
func undialled(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

func advises(r *http.Response) bool {
	seconds, err := strconv.ParseFloat(r.Header.Get("Retry-After"), 64)
	return err == nil && seconds > 0
}

// mostCalls are under way at one sidecar at once.
const mostCalls = 32

// demand makes calls at a member's sidecar until ctx ends, at a pace that changes.
func (l *limited) demand(ctx context.Context, m *member, r *rand.Rand) {
	var all sync.WaitGroup
	defer all.Wait()
	slots := make(chan struct{}, mostCalls)
	for ctx.Err() == nil {
		pace := []float64{0.5, 4, 15, 40}[r.IntN(4)]
		for end := time.Now().Add(time.Duration(300+r.IntN(2500)) * time.Millisecond); time.Now().Before(end) && ctx.Err() == nil; {
			select {
			case slots <- struct{}{}:
				all.Go(func() {
					defer func() { <-slots }()
					l.call(m, anyPath)
				})
			default: // a sidecar that stands still
			}
			select {
			case <-time.After(time.Duration(min(r.ExpFloat64(), 5) / pace * float64(time.Second))):
			case <-ctx.Done():
			}
		}
	}
}
