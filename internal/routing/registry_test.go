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
type callFate int

const (
	fateAnswered     callFate = iota
	fateSilent                // the connection comes up, and nothing is ever said on it
	fateNoConnection          // the connection never comes up
	fateRefused               // the connection is refused
	fateClosed                // the connection ends when the call has been read
	fateUnavailable           // 503, after the time that a call may wait at discovery
)

var fateNames = map[callFate]string{fateAnswered: "answered", fateSilent: "silent", fateNoConnection: "unheard", fateRefused: "refused", fateClosed: "broken", fateUnavailable: "503"}

// When discovery says that it is too busy, and when it answers, as shares of the time told.
const (
	unavailableDelayShare = 1.0 / 3
	answerDelayShare      = 0.045
)

// scripted is a discovery in memory. A test sets what becomes of the calls to come, one after another; when the fates have
// run out, calls are answered.
type fakeRegistry struct {
	mu           sync.Mutex
	generation   uint64
	changed      chan struct{} // closed at the next change
	fates        []callFate
	muted        bool      // what comes is never answered
	down         bool      // what comes is refused
	silentBefore time.Time // calls from before it are never answered
	closedBefore time.Time // connections of calls from before it end
	learnWithin  time.Duration
	slow         bool // plain calls wait their turn, for as long as a busy discovery lets them
	serving      sync.WaitGroup
}

// next is what becomes of a call that begins now.
func (s *fakeRegistry) nextFate() callFate {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.down:
		return fateRefused
	case s.muted:
		return fateSilent
	case len(s.fates) == 0:
		return fateAnswered
	}
	fate := s.fates[0]
	s.fates = s.fates[1:]
	return fate
}

// set changes the script; with wake, the watches that are open look at it at once.
func (s *fakeRegistry) update(wake bool, change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
	if wake {
		close(s.changed)
		s.changed = make(chan struct{})
	}
}

// Listen is never called.
func (s *fakeRegistry) Listen(string) (net.Listener, error) { return nil, errors.ErrUnsupported }

// Dial connects to the scripted discovery, whatever the address.
func (s *fakeRegistry) Dial(ctx context.Context, _ string) (transport.Socket, error) {
	fate := s.nextFate()
	switch fate {
	case fateNoConnection:
		<-ctx.Done()
		return nil, ctx.Err()
	case fateRefused:
		return nil, errors.New("connection refused")
	}
	local, remote := net.Pipe()
	s.serving.Go(func() { s.serve(remote, fate) })
	return pipeSocket{local}, nil
}

// pipe is a connection of which nobody asks whether it is quiet.
type pipeSocket struct{ net.Conn }

func (pipeSocket) Quiet() bool  { return true }
func (pipeSocket) Await() error { return nil }

// serve answers the calls of one connection; the first one's fate is f.
func (s *fakeRegistry) serve(conn net.Conn, fate callFate) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	for first := true; ; first = false {
		request, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if !first {
			fate = s.nextFate()
		}
		switch fate {
		case fateSilent, fateNoConnection:
			io.Copy(io.Discard, r) // until the other side gives up
			return
		case fateRefused, fateClosed:
			return
		case fateUnavailable:
			time.Sleep(time.Duration(unavailableDelayShare * float64(s.learnWithin)))
			io.WriteString(conn, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
			continue
		}
		switch s.respond(conn, request) {
		case fateSilent:
			io.Copy(io.Discard, r)
			return
		case fateClosed:
			return
		}
	}
}

// answer answers one call, a watch when there is something newer or its wait is over, and returns what has become of it.
func (s *fakeRegistry) respond(conn net.Conn, request *http.Request) callFate {
	startedAt := time.Now()
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
	if !s.abandoned(startedAt) {
		time.Sleep(s.answerDelay())
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	body := fmt.Sprintf(`{"generation":%d,"reset":true,"instances":[]}`, s.generation)
	switch {
	case startedAt.Before(s.silentBefore):
		return fateSilent
	case startedAt.Before(s.closedBefore):
		return fateClosed
	}
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	return fateAnswered
}

// answerTime is how long an answer takes that need not wait for a change.
func (s *fakeRegistry) answerDelay() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.slow {
		return time.Duration(unavailableDelayShare * float64(s.learnWithin))
	}
	return time.Duration(answerDelayShare * float64(s.learnWithin))
}

// lost tells that a call from then will not be answered.
func (s *fakeRegistry) abandoned(startedAt time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return startedAt.Before(s.silentBefore) || startedAt.Before(s.closedBefore)
}

// follower is a router on a scripted discovery, and the generations that it has heard of.
type registryClient struct {
	*fakeRegistry
	router  *Router
	learned map[uint64]bool
}

// follow starts a router on virtual time.
func newRegistryClient(t *testing.T, balancers int, safety decide.Safety) *registryClient {
	c := &registryClient{fakeRegistry: &fakeRegistry{generation: 1, changed: make(chan struct{}), learnWithin: safety.ToldWithin()},
		learned: map[uint64]bool{}}
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(func() {
		cancel()
		c.serving.Wait()
	})
	c.router = New(ctx, Config{Registry: "old", Network: c.fakeRegistry, Log: logging.Discard(),
		Decide:  decide.Config{Subscribe: true, Balancers: balancers, Safety: safety, Classes: []decide.Class{{Aim: time.Second}}},
		Seed:    rand.Uint64(),
		Workers: &protocol.Workers{Pool: transport.NewPool(c.fakeRegistry, transport.NewBudget(1), time.Second, 0)},
		Trace: func(_ time.Duration, e decide.Event, _ []decide.Action, _ func(decide.ServerID) string) {
			if e.Kind == decide.Members {
				c.learned[e.Version] = true
			}
		}}, &protocol.List{Generation: 1})
	return c
}

// due fails the test where the present generation is not heard of within the time told from now on.
func (c *registryClient) expectLearned(t *testing.T, scenario string) {
	t.Helper()
	c.mu.Lock()
	generation := c.generation
	c.mu.Unlock()
	time.Sleep(c.learnWithin)
	synctest.Wait()
	c.router.mu.Lock()
	defer c.router.mu.Unlock()
	if !c.learned[generation] {
		t.Errorf("%s: a change was not heard of within %v", scenario, c.learnWithin)
	}
}

// A change that discovery has, and can be asked for, counts as told after a time, whatever became of the calls meanwhile: a
// watch that fell silent right before it, a call that failed right before or right after it, an outage that ended with it, a
// move to another discovery in the middle of any of these. What fails here sends requests to servers that are leaving.
func TestListChangeLearnedInTime(t *testing.T) {
	for _, balancers := range []int{4, 30, 300} {
		for _, askWithin := range []time.Duration{0, 2 * time.Second, 10 * time.Second, time.Minute} {
			safety := decide.Safety{AskWithin: askWithin, DrainGrace: 750 * time.Millisecond}
			for failed := range fateNames {
				name := fmt.Sprintf("%d sidecars, asked within %v, then %s", balancers, askWithin, fateNames[failed])
				t.Run(name, func(t *testing.T) {
					for range 5 { // waits are drawn
						testChangeAroundFailure(t, balancers, safety, failed)
					}
				})
			}
		}
	}
}

// orders plays each order in which a call that fails once can meet a change.
func testChangeAroundFailure(t *testing.T, balancers int, safety decide.Safety, failed callFate) {
	run := func(scenario string, steps func(c *registryClient)) {
		synctest.Test(t, func(t *testing.T) {
			c := newRegistryClient(t, balancers, safety)
			time.Sleep(time.Duration((1 + rand.Float64()) * float64(c.learnWithin))) // the watch is open, anywhere in its wait
			steps(c)
			c.expectLearned(t, scenario)
		})
	}
	run("a watch falls silent as the change comes", func(c *registryClient) {
		c.update(true, func() { c.silentBefore = time.Now(); c.fates = []callFate{failed}; c.generation++ })
	})
	run("a watch ends as the change comes", func(c *registryClient) {
		c.update(true, func() { c.closedBefore = time.Now(); c.fates = []callFate{failed}; c.generation++ })
	})
	run("an outage ends with the change", func(c *registryClient) {
		c.update(true, func() { c.down, c.closedBefore = true, time.Now() })
		time.Sleep(2 * c.learnWithin)
		c.update(false, func() { c.down, c.fates = false, []callFate{failed}; c.generation++ })
	})
	run("a silence of all calls ends with the change", func(c *registryClient) {
		c.update(true, func() { c.muted, c.silentBefore = true, time.Now() })
		time.Sleep(2 * c.learnWithin)
		c.update(false, func() { c.muted, c.fates = false, []callFate{failed}; c.generation++ })
	})
	run("a move as the change comes", func(c *registryClient) {
		c.update(false, func() { c.fates = []callFate{failed}; c.generation++ })
		c.router.MoveRegistry("new")
	})
	run("a move to a discovery that makes calls wait their turn", func(c *registryClient) {
		c.update(false, func() { c.slow = true; c.generation++ })
		c.router.MoveRegistry("new")
	})
	run("a move in the middle of an outage that ends with the change", func(c *registryClient) {
		c.update(true, func() { c.down, c.closedBefore = true, time.Now() })
		time.Sleep(c.learnWithin)
		c.router.MoveRegistry("new")
		time.Sleep(c.learnWithin / 2)
		c.update(false, func() { c.down, c.fates = false, []callFate{failed}; c.generation++ })
	})
}
