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

// callFate is how the fake registry treats one request.
type callFate int

const (
	fateAnswered     callFate = iota
	fateSilent                // the connection opens, but nothing is ever sent on it
	fateNoConnection          // the connection never opens
	fateRefused               // the connection is refused
	fateClosed                // the connection is closed when the request has been read
	fateUnavailable           // 503, after the longest wait in the registry's queue
)

var fateNames = map[callFate]string{fateAnswered: "answered", fateSilent: "no answer", fateNoConnection: "no connection",
	fateRefused: "refused", fateClosed: "closed", fateUnavailable: "503"}

// Delays of the registry's 503 and of its answers, as shares of the time within which a change must be learned.
const (
	unavailableDelayShare = 1.0 / 3
	answerDelayShare      = 0.045
)

// fakeRegistry is a registry in memory. A test sets the fates of the following requests in order; after those, requests are
// answered.
type fakeRegistry struct {
	mu           sync.Mutex
	generation   uint64
	changed      chan struct{} // closed at the next change
	fates        []callFate
	muted        bool      // new requests are never answered
	down         bool      // new requests are refused
	silentBefore time.Time // requests from before it are never answered
	closedBefore time.Time // connections of requests from before it are closed
	learnWithin  time.Duration
	slow         bool // requests for a list wait in a queue for as long as the registry allows
	serving      sync.WaitGroup
}

// nextFate returns the fate of a request that starts now.
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

// update changes the registry's behavior; with wake, open watches return at once and see the change.
func (s *fakeRegistry) update(wake bool, change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
	if wake {
		close(s.changed)
		s.changed = make(chan struct{})
	}
}

// Listen is unused.
func (s *fakeRegistry) Listen(string) (net.Listener, error) { return nil, errors.ErrUnsupported }

// Dial connects to the fake registry, whatever the address.
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

// pipeSocket is a connection whose Quiet and Await are unused.
type pipeSocket struct{ net.Conn }

// Quiet is unused.
func (pipeSocket) Quiet() bool { return true }

// Await is unused.
func (pipeSocket) Await() error { return nil }

// serve answers the requests of one connection, the first according to fate.
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
			io.Copy(io.Discard, r) // until the client gives up
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

// respond answers one request, a watch once there is a change or its wait is over, and returns the fate of the request.
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

// answerDelay returns the delay of an answer that need not wait for a change.
func (s *fakeRegistry) answerDelay() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.slow {
		return time.Duration(unavailableDelayShare * float64(s.learnWithin))
	}
	return time.Duration(answerDelayShare * float64(s.learnWithin))
}

// abandoned reports whether a request that started then will not be answered.
func (s *fakeRegistry) abandoned(startedAt time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return startedAt.Before(s.silentBefore) || startedAt.Before(s.closedBefore)
}

// registryClient is a router on a fake registry, and the generations that its balancer has learned of.
type registryClient struct {
	*fakeRegistry
	router  *Router
	learned map[uint64]bool
}

// newRegistryClient starts a router; the test runs it on virtual time.
func newRegistryClient(t *testing.T, balancers int, safety decide.Safety, adjust ...func(*Config)) *registryClient {
	c := &registryClient{fakeRegistry: &fakeRegistry{generation: 1, changed: make(chan struct{}), learnWithin: safety.PropagationLimit()},
		learned: map[uint64]bool{}}
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(func() {
		cancel()
		c.serving.Wait()
	})
	config := Config{Registry: "old", Network: c.fakeRegistry, Log: logging.Discard(),
		Decide:  decide.Config{Subscribe: true, Balancers: balancers, Safety: safety, Classes: []decide.Class{{Aim: time.Second}}},
		Seed:    rand.Uint64(),
		Workers: &protocol.Workers{Pool: transport.NewPool(c.fakeRegistry, transport.NewBudget(1), time.Second, 0)},
		Trace: func(_ time.Duration, e decide.Event, _ []decide.Action, _ func(decide.ServerID) string) {
			if e.Kind == decide.Members {
				c.learned[e.Version] = true
			}
		}}
	for _, f := range adjust {
		f(&config)
	}
	c.router = New(ctx, config, &protocol.List{Generation: 1})
	return c
}

// expectLearned fails the test if the balancer does not learn of the current generation in time, counted from now.
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
		t.Errorf("%s: a change was not learned of within %v", scenario, c.learnWithin)
	}
}

// A change must be learned of within a fixed time once the registry has it and can be reached, whatever happened to earlier
// requests: a watch that stopped responding right before it, a request that failed right before or after it, an outage that
// ended with it, or a move to another registry during any of these. If it is not, calls are sent to workers that are
// shutting down.
func TestListChangeLearnedInTime(t *testing.T) {
	for _, balancers := range []int{4, 30, 300} {
		for _, askWithin := range []time.Duration{0, 2 * time.Second, 10 * time.Second, time.Minute} {
			safety := decide.Safety{AskWithin: askWithin, DrainGrace: 750 * time.Millisecond}
			for failed := range fateNames {
				name := fmt.Sprintf("%d sidecars, ask within %v, then %s", balancers, askWithin, fateNames[failed])
				t.Run(name, func(t *testing.T) {
					for range 5 { // waits are random
						testChangeAroundFailure(t, balancers, safety, failed)
					}
				})
			}
		}
	}
}

// testChangeAroundFailure runs each sequence in which a request that fails once can coincide with a change.
func testChangeAroundFailure(t *testing.T, balancers int, safety decide.Safety, failed callFate) {
	run := func(scenario string, steps func(c *registryClient)) {
		synctest.Test(t, func(t *testing.T) {
			c := newRegistryClient(t, balancers, safety)
			time.Sleep(time.Duration((1 + rand.Float64()) * float64(c.learnWithin))) // the watch is open, at a random point of its wait
			steps(c)
			c.expectLearned(t, scenario)
		})
	}
	run("a watch stops responding at the change", func(c *registryClient) {
		c.update(true, func() { c.silentBefore = time.Now(); c.fates = []callFate{failed}; c.generation++ })
	})
	run("a watch is closed at the change", func(c *registryClient) {
		c.update(true, func() { c.closedBefore = time.Now(); c.fates = []callFate{failed}; c.generation++ })
	})
	run("an outage ends with the change", func(c *registryClient) {
		c.update(true, func() { c.down, c.closedBefore = true, time.Now() })
		time.Sleep(2 * c.learnWithin)
		c.update(false, func() { c.down, c.fates = false, []callFate{failed}; c.generation++ })
	})
	run("an outage without any answers ends with the change", func(c *registryClient) {
		c.update(true, func() { c.muted, c.silentBefore = true, time.Now() })
		time.Sleep(2 * c.learnWithin)
		c.update(false, func() { c.muted, c.fates = false, []callFate{failed}; c.generation++ })
	})
	run("a move at the change", func(c *registryClient) {
		c.update(false, func() { c.fates = []callFate{failed}; c.generation++ })
		c.router.MoveRegistry("new")
	})
	run("a move to a registry that queues requests", func(c *registryClient) {
		c.update(false, func() { c.slow = true; c.generation++ })
		c.router.MoveRegistry("new")
	})
	run("a move during an outage that ends with the change", func(c *registryClient) {
		c.update(true, func() { c.down, c.closedBefore = true, time.Now() })
		time.Sleep(c.learnWithin)
		c.router.MoveRegistry("new")
		time.Sleep(c.learnWithin / 2)
		c.update(false, func() { c.down, c.fates = false, []callFate{failed}; c.generation++ })
	})
}

// Guards against a change that stays unknown while the registry moves again and again, each time before it has answered: review/9.
func TestListChangeLearnedDespiteMoves(t *testing.T) {
	random := rand.New(rand.NewPCG(9, 55))
	safety := decide.Safety{AskWithin: 2 * time.Second, DrainGrace: 2 * time.Second}
	for i := range 40 {
		distance := time.Duration((0.02 + 0.4*random.Float64()) * float64(safety.PropagationLimit()))
		pushed := i%2 == 1
		t.Run(fmt.Sprintf("each %v, pushed: %v", distance.Round(time.Millisecond), pushed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newRegistryClient(t, 4, safety, func(config *Config) { config.Decide.Subscribe = !pushed })
				time.Sleep(c.learnWithin)
				c.update(false, func() { c.slow = true; c.generation++ })
				moving, stop := context.WithCancel(t.Context())
				go func() {
					for n := 0; moving.Err() == nil; n++ {
						c.router.MoveRegistry(strconv.Itoa(n))
						sleep(moving, distance)
					}
				}()
				c.expectLearned(t, "moves in quick succession")
				stop()
			})
		})
	}
}
