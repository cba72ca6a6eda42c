package routing

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"burlpass/decide"
	"burlpass/internal/logging"
	"burlpass/internal/protocol"
	"burlpass/internal/transport"
)

// fate is what becomes of a call to the scripted discovery.
type fate int

const (
	answered fate = iota
	silent        // the connection comes up, and nothing is ever said on it
	unheard       // the connection never comes up
	refused       // the connection is refused
	broken        // the connection ends when the call has been read
	tooBusy       // 503, after the time that a call may wait at discovery
)

var fateNames = map[fate]string{answered: "answered", silent: "silent", unheard: "unheard", refused: "refused", broken: "broken", tooBusy: "503"}

// When discovery says that it is too busy, and when it answers, as shares of the time told.
const (
	busyTime   = 1.0 / 3
	answerTime = 0.045
)

// scripted is a discovery in memory. A test sets what becomes of the calls to come, one after another; when the fates have
// run out, calls are answered.
type scripted struct {
	mu         sync.Mutex
	generation uint64
	changed    chan struct{} // closed at the next change
	fates      []fate
	mute       bool      // what comes is never answered
	down       bool      // what comes is refused
	hushed     time.Time // calls from before it are never answered
	cut        time.Time // connections of calls from before it end
	told       time.Duration
	slow       bool // plain calls wait their turn, for as long as a busy discovery lets them
	serving    sync.WaitGroup
}

// next is what becomes of a call that begins now.
func (s *scripted) next() fate {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.down:
		return refused
	case s.mute:
		return silent
	case len(s.fates) == 0:
		return answered
	}
	f := s.fates[0]
	s.fates = s.fates[1:]
	return f
}

// set changes the script; with wake, the watches that are open look at it at once.
func (s *scripted) set(wake bool, change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
	if wake {
		close(s.changed)
		s.changed = make(chan struct{})
	}
}

// Listen is never called.
func (s *scripted) Listen(string) (net.Listener, error) { return nil, errors.ErrUnsupported }

// Dial connects to the scripted discovery, whatever the address.
func (s *scripted) Dial(ctx context.Context, _ string) (transport.Socket, error) {
	f := s.next()
	switch f {
	case unheard:
		<-ctx.Done()
		return nil, ctx.Err()
	case refused:
		return nil, errors.New("connection refused")
	}
	near, far := net.Pipe()
	s.serving.Go(func() { s.serve(far, f) })
	return pipe{near}, nil
}

// pipe is a connection of which nobody asks whether it is quiet.
type pipe struct{ net.Conn }

func (pipe) Quiet() bool  { return true }
func (pipe) Await() error { return nil }

// serve answers the calls of one connection; the first one's fate is f.
func (s *scripted) serve(conn net.Conn, f fate) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	for first := true; ; first = false {
		request, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if !first {
			f = s.next()
		}
		switch f {
		case silent, unheard:
			io.Copy(io.Discard, r) // until the other side gives up
			return
		case refused, broken:
			return
		case tooBusy:
			time.Sleep(time.Duration(busyTime * float64(s.told)))
			io.WriteString(conn, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
			continue
		}
		switch s.answer(conn, request) {
		case silent:
			io.Copy(io.Discard, r)
			return
		case broken:
			return
		}
	}
}

// answer answers one call, a watch when there is something newer or its wait is over, and returns what has become of it.
func (s *scripted) answer(conn net.Conn, request *http.Request) fate {
	begun := time.Now()
	query := request.URL.Query()
	if wait, err := strconv.Atoi(query.Get("timeout_ms")); err == nil {
		since, _ := strconv.ParseUint(query.Get("since"), 10, 64)
		s.mu.Lock()
		changed := s.changed
		if s.generation > since {
			wait = 0
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Duration(wait) * time.Millisecond):
		}
	}
	if !s.lost(begun) {
		time.Sleep(s.answerTime())
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	body := fmt.Sprintf(`{"generation":%d,"reset":true,"instances":[]}`, s.generation)
	switch {
	case begun.Before(s.hushed):
		return silent
	case begun.Before(s.cut):
		return broken
	}
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	return answered
}

// answerTime is how long an answer takes that need not wait for a change.
func (s *scripted) answerTime() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.slow {
		return time.Duration(busyTime * float64(s.told))
	}
	return time.Duration(answerTime * float64(s.told))
}

// lost tells that a call from then will not be answered.
func (s *scripted) lost(begun time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return begun.Before(s.hushed) || begun.Before(s.cut)
}

// follower is a router on a scripted discovery, and the generations that it has heard of.
type follower struct {
	*scripted
	router *Router
	heard  map[uint64]bool
}

// follow starts a router on virtual time.
func follow(t *testing.T, balancers int, safety decide.Safety) *follower {
	f := &follower{scripted: &scripted{generation: 1, changed: make(chan struct{}), told: safety.ToldWithin()},
		heard: map[uint64]bool{}}
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(func() {
		cancel()
		f.serving.Wait()
	})
	f.router = New(ctx, Config{Registry: "old", Network: f.scripted, Log: logging.Discard(),
		Decide:  decide.Config{Subscribe: true, Balancers: balancers, Safety: safety, Classes: []decide.Class{{Aim: time.Second}}},
		Seed:    rand.Uint64(),
		Workers: &protocol.Workers{Pool: transport.NewPool(f.scripted, transport.NewBudget(1), time.Second, 0)},
		Trace: func(_ time.Duration, e decide.Event, _ []decide.Action, _ func(decide.ServerID) string) {
			if e.Kind == decide.Members {
				f.heard[e.Version] = true
			}
		}}, &protocol.List{Generation: 1})
	return f
}

// due fails the test where the present generation is not heard of within the time told from now on.
func (f *follower) due(t *testing.T, what string) {
	t.Helper()
	f.mu.Lock()
	generation := f.generation
	f.mu.Unlock()
	time.Sleep(f.told)
	synctest.Wait()
	f.router.mu.Lock()
	defer f.router.mu.Unlock()
	if !f.heard[generation] {
		t.Errorf("%s: a change was not heard of within %v", what, f.told)
	}
}

// A change that discovery has, and can be asked for, counts as told after a time, whatever became of the calls meanwhile: a
// watch that fell silent right before it, a call that failed right before or right after it, an outage that ended with it, a
// move to another discovery in the middle of any of these. What fails here sends requests to servers that are leaving.
func TestChangeHeardInTime(t *testing.T) {
	for _, balancers := range []int{4, 30, 300} {
		for _, within := range []time.Duration{0, 2 * time.Second, 10 * time.Second, time.Minute} {
			safety := decide.Safety{AskWithin: within, DrainGrace: 750 * time.Millisecond}
			for failed := range fateNames {
				name := fmt.Sprintf("%d sidecars, asked within %v, then %s", balancers, within, fateNames[failed])
				t.Run(name, func(t *testing.T) {
					for range 5 { // waits are drawn
						orders(t, balancers, safety, failed)
					}
				})
			}
		}
	}
}

// orders plays each order in which a call that fails once can meet a change.
func orders(t *testing.T, balancers int, safety decide.Safety, failed fate) {
	play := func(what string, order func(f *follower)) {
		synctest.Test(t, func(t *testing.T) {
			f := follow(t, balancers, safety)
			time.Sleep(time.Duration((1 + rand.Float64()) * float64(f.told))) // the watch is open, anywhere in its wait
			order(f)
			f.due(t, what)
		})
	}
	play("a watch falls silent as the change comes", func(f *follower) {
		f.set(true, func() { f.hushed = time.Now(); f.fates = []fate{failed}; f.generation++ })
	})
	play("a watch ends as the change comes", func(f *follower) {
		f.set(true, func() { f.cut = time.Now(); f.fates = []fate{failed}; f.generation++ })
	})
	play("an outage ends with the change", func(f *follower) {
		f.set(true, func() { f.down, f.cut = true, time.Now() })
		time.Sleep(2 * f.told)
		f.set(false, func() { f.down, f.fates = false, []fate{failed}; f.generation++ })
	})
	play("a silence of all calls ends with the change", func(f *follower) {
		f.set(true, func() { f.mute, f.hushed = true, time.Now() })
		time.Sleep(2 * f.told)
		f.set(false, func() { f.mute, f.fates = false, []fate{failed}; f.generation++ })
	})
	play("a move as the change comes", func(f *follower) {
		f.set(false, func() { f.fates = []fate{failed}; f.generation++ })
		f.router.MoveRegistry("new")
	})
	play("a move to a discovery that makes calls wait their turn", func(f *follower) {
		f.set(false, func() { f.slow = true; f.generation++ })
		f.router.MoveRegistry("new")
	})
	play("a move in the middle of an outage that ends with the change", func(f *follower) {
		f.set(true, func() { f.down, f.cut = true, time.Now() })
		time.Sleep(f.told)
		f.router.MoveRegistry("new")
		time.Sleep(f.told / 2)
		f.set(false, func() { f.down, f.fates = false, []fate{failed}; f.generation++ })
	})
}
