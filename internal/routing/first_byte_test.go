package routing

import (
	"cmp"
	"context"
	"io"
	"net"
	"runtime"
	"strconv"
	"strings"
	"testing"
	"time"

	"burlpass/decide"
	"burlpass/internal/logging"
	"burlpass/internal/maintenance"
	"burlpass/internal/protocol"
	"burlpass/internal/transport"
)

// timedMessage is a message that carries its remaining time in microseconds.
type timedMessage struct{ plainMessage }

// Encode returns the head of a GET request with the remaining time.
func (timedMessage) Encode(_ string, remaining time.Duration) [][]byte {
	return [][]byte{[]byte("GET /x HTTP/1.1\r\nX-Expires-In: " + strconv.FormatInt(remaining.Microseconds(), 10) + "u\r\n\r\n")}
}

// testSidecar is a router with three workers, of which the first list names one. The test gates dialing to the first worker.
type testSidecar struct {
	*Router
	*gatedNetwork
	accepted [3]chan net.Conn
	addrs    [3]string
	left     chan struct{} // closed when the client leaves
	answers  chan protocol.Answer
}

// disable applies an operator's order that takes the worker with the given ID, and no other, out of use.
func (s *testSidecar) disable(id string) {
	var out maintenance.Set
	out.Disable(id)
	s.SetMaintenance(out)
}

const okAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// newTestSidecar starts three workers and a router whose first list names the worker at the index listed.
func newTestSidecar(t *testing.T, class decide.Class, listed int, adjust ...func(*Config)) *testSidecar {
	s := &testSidecar{gatedNetwork: &gatedNetwork{gates: map[string]chan struct{}{}, dials: make(chan string, 8)},
		left: make(chan struct{}), answers: make(chan protocol.Answer, 1)}
	for i := range s.accepted {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { ln.Close() })
		s.accepted[i], s.addrs[i] = make(chan net.Conn, 4), ln.Addr().String()
		go func() {
			for c, err := ln.Accept(); err == nil; c, err = ln.Accept() {
				t.Cleanup(func() { c.Close() })
				s.accepted[i] <- c
			}
		}()
	}
	class.Aim, class.Deadline, class.Worth = cmp.Or(class.Aim, time.Minute), time.Minute, 1
	c := Config{Decide: decide.Config{Subscribe: true, Classes: []decide.Class{class},
		Safety: decide.Safety{FallMultiple: 3, OverloadWindow: time.Second, StartShare: 0.5},
		Limits: decide.Limits{MaxAttempts: 4}},
		Network: s.gatedNetwork, Registry: "127.0.0.1:1", Log: logging.Discard(), Names: Names{Zones: []string{"hall"}},
		Workers: &protocol.Workers{Pool: transport.NewPool(s.gatedNetwork, transport.NewBudget(9), time.Minute, time.Minute)}}
	for _, f := range adjust { // before the router's goroutines read the configuration
		f(&c)
	}
	s.Router = New(t.Context(), c, s.list(1, s.instance(listed)))
	return s
}

// instance returns the registry entry of a worker.
func (s *testSidecar) instance(i int) protocol.Instance {
	return protocol.Instance{ID: strconv.Itoa(i), Addr: s.addrs[i], Zone: "hall", Lifecycle: protocol.LifecycleUp}
}

// list returns a full list.
func (s *testSidecar) list(generation uint64, i ...protocol.Instance) *protocol.List {
	return &protocol.List{Generation: generation, Reset: true, Instances: i}
}

// gateFirstWorker blocks further connections to the first worker until the returned function is called.
func (s *testSidecar) gateFirstWorker() (open func()) {
	gate := make(chan struct{})
	s.gatedNetwork.mu.Lock()
	s.gates[s.addrs[0]] = gate
	s.gatedNetwork.mu.Unlock()
	return func() { close(gate) }
}

// serve starts a call whose answer arrives on answers.
func (s *testSidecar) serve() {
	go func() {
		s.answers <- s.Serve(&protocol.Call{Budget: 30 * time.Second, Message: timedMessage{}, ClientLeft: s.left})
	}()
}

// expectNoBytes fails the test if any byte arrives on a connection before it ends.
func expectNoBytes(t *testing.T, c net.Conn) {
	t.Helper()
	b := make([]byte, 512)
	if n, _ := c.Read(b); n > 0 {
		t.Errorf("the worker got %q", b[:n])
	}
}

// startGatedAttempt returns a sidecar with a call whose first attempt, or second with retry, waits for a connection to the
// first worker until open is called. With retry, the first attempt gets firstAnswer, and its connection is then closed.
func startGatedAttempt(t *testing.T, class decide.Class, retry bool, firstAnswer string) (s *testSidecar, open func()) {
	listed := 0
	if retry {
		listed = 2
	}
	s = newTestSidecar(t, class, listed)
	open = s.gateFirstWorker()
	s.serve()
	if retry {
		conn := receive(t, s.accepted[2])
		readRequest(conn)
		s.applyList(s.registrySource, s.list(2, s.instance(0)), decide.ListFull)
		io.WriteString(conn, firstAnswer)
		conn.Close()
	}
	for receive(t, s.dials) != s.addrs[0] { // connections to the other workers and the registry are dialed too
	}
	return s, open
}

// A list change or operator's order that arrives while an attempt is dialing must hold for that attempt, whether it is the
// call's first or a further one: no byte of it may be sent, and the call must go to the worker that is listed now.
func TestListChangeBeforeFirstByte(t *testing.T) {
	both := func(s *testSidecar) {
		s.applyList(s.registrySource, s.list(10, s.instance(0), s.instance(1)), decide.ListFull)
	}
	for name, change := range map[string]func(s *testSidecar){
		"drained": func(s *testSidecar) {
			first := s.instance(0)
			first.Lifecycle = protocol.LifecycleDraining
			s.applyList(s.registrySource, s.list(10, first, s.instance(1)), decide.ListDelta)
		},
		"removed": func(s *testSidecar) {
			first := s.instance(0)
			first.Lifecycle = protocol.LifecycleRemoved
			s.applyList(s.registrySource, &protocol.List{Generation: 10, Instances: []protocol.Instance{first, s.instance(1)}}, decide.ListDelta)
		},
		"missing from a full list": func(s *testSidecar) {
			s.applyList(s.registrySource, s.list(10, s.instance(1)), decide.ListFull)
		},
		"removed and listed again": func(s *testSidecar) {
			s.applyList(s.registrySource, s.list(10, s.instance(1)), decide.ListFull)
			first := s.instance(0)
			first.StartedMs = time.Now().UnixMilli()
			s.applyList(s.registrySource, s.list(11, first, s.instance(1)), decide.ListFull)
			s.disable("0") // so that the call goes to the other worker
		},
		"restarted": func(s *testSidecar) {
			first := s.instance(0)
			first.StartedMs = time.Now().UnixMilli()
			s.applyList(s.registrySource, s.list(10, first, s.instance(1)), decide.ListFull)
			s.disable("0") // so that the call goes to the other worker
		},
		"at another address": func(s *testSidecar) {
			first := s.instance(0)
			first.Addr = "127.0.0.1:1"
			s.applyList(s.registrySource, s.list(10, first, s.instance(1)), decide.ListFull)
			s.disable("0")
		},
		"disabled": func(s *testSidecar) { both(s); s.disable("0") },
		"disabled by the cluster": func(s *testSidecar) {
			both(s)
			var out maintenance.Set
			out.Disable("0")
			s.SetMaintenance(out)
		},
	} {
		for when, retry := range map[string]bool{"first attempt": false, "further attempt": true} {
			t.Run(name+"/"+when, func(t *testing.T) {
				t.Parallel()
				s, open := startGatedAttempt(t, decide.Class{}, retry, "")
				change(s)
				open()
				expectNoBytes(t, receive(t, s.accepted[0]))
				second := receive(t, s.accepted[1])
				readRequest(second)
				io.WriteString(second, okAnswer)
				s.expectServed(t)
			})
		}
	}
}

// expectServed fails the test if the call's answer is not a worker's.
func (s *testSidecar) expectServed(t *testing.T) {
	t.Helper()
	if a := receive(t, s.answers); a.Verdict != protocol.Served {
		t.Errorf("got %+v", a)
	}
}

// If the client leaves while an attempt is dialing, no byte of the attempt may be sent.
func TestClientLeavesBeforeFirstByte(t *testing.T) {
	s, open := startGatedAttempt(t, decide.Class{Effect: decide.Unsafe}, false, "")
	close(s.left)
	for !s.clientLeft() {
		runtime.Gosched()
	}
	open()
	expectNoBytes(t, receive(t, s.accepted[0]))
	receive(t, s.answers)
}

// Guards against an attempt, and against a call without an answer, where nobody can tell whether the client is still there.
func TestUnknownClientIsRefused(t *testing.T) {
	s := newTestSidecar(t, decide.Class{Effect: decide.Unsafe}, 0)
	open := s.gateFirstWorker()
	go func() {
		s.answers <- s.Serve(&protocol.Call{Budget: 30 * time.Second, Message: timedMessage{}, ClientLeft: s.left,
			ClientState: func() protocol.ClientState { return protocol.ClientUnknown }})
	}()
	for receive(t, s.dials) != s.addrs[0] {
	}
	open()
	expectNoBytes(t, receive(t, s.accepted[0]))
	if a := receive(t, s.answers); a.Verdict != protocol.Refused {
		t.Errorf("got %+v", a)
	}
}

// clientLeft reports whether all open calls have noticed that their client left.
func (s *testSidecar) clientLeft() bool {
	s.Router.mu.Lock()
	defer s.Router.mu.Unlock()
	for _, active := range s.calls {
		if !active.clientLeft.Load() {
			return false
		}
	}
	return true
}

// A choice is valid only for the process that was chosen. If another process is listed at its address before the attempt
// starts, neither a connection kept from the earlier process nor a new one may carry the attempt.
func TestRestartBetweenChoiceAndAttempt(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	s := newTestSidecar(t, decide.Class{}, 0)
	s.serve()
	kept := receive(t, s.accepted[0])
	readRequest(kept)
	io.WriteString(kept, okAnswer)
	s.expectServed(t)

	active := &activeCall{call: &protocol.Call{Budget: time.Minute, Message: timedMessage{}, ClientLeft: ctx.Done()}}
	s.addCall(active) // the balancer has chosen the worker
	restarted := s.instance(0)
	restarted.StartedMs = time.Now().UnixMilli()
	s.applyList(s.registrySource, s.list(2, restarted), decide.ListFull)
	results := make(chan transport.Result, 1)
	a := s.startAttempt(active, <-active.commands, results)
	expectNoBytes(t, kept)
	expectNoBytes(t, receive(t, s.accepted[0]))
	a.Abort() // no effect if the attempt has ended
	if r := <-results; r.Sent {
		t.Errorf("got %+v", r)
	}
}

// An attempt must tell its worker no more time than the client has left when its first byte is sent, however long the
// connection took to open.
func TestRemainingTimeAtFirstByte(t *testing.T) {
	const dialDelay = 50 * time.Millisecond
	for name, retry := range map[string]bool{"first attempt": false, "further attempt": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s, open := startGatedAttempt(t, decide.Class{}, retry, "")
			started := time.Now() // at or after the real start of the call
			time.Sleep(dialDelay) // the time that opening the connection takes
			left := 30*time.Second - time.Since(started)
			open()
			conn := receive(t, s.accepted[0])
			_, header, _ := strings.Cut(readRequest(conn), "X-Expires-In: ")
			header, _, _ = strings.Cut(header, "\r\n")
			remaining, err := time.ParseDuration(header + "s")
			if err != nil || remaining > left {
				t.Errorf("told the worker %v (error: %v), but the client has %v left", remaining, err, left)
			}
			io.WriteString(conn, okAnswer)
			s.expectServed(t)
		})
	}
}

// The window for repeats (in which workers drop duplicates) counts from the first attempt that may have been executed. A
// repeat that is still dialing at the end of the window must not be sent. Without an executed attempt there is no window.
func TestRepeatWindowAtFirstByte(t *testing.T) {
	const window = 100 * time.Millisecond
	for name, test := range map[string]struct {
		window      time.Duration
		firstAnswer string // of the first attempt's worker
		sent        bool
	}{
		"window over":  {window, "", false},
		"window open":  {time.Hour, "", true},
		"not executed": {window, "HTTP/1.1 503 No\r\nX-Never-Ran: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s, open := startGatedAttempt(t, decide.Class{Effect: decide.Keyed, Window: test.window, Aim: 6 * time.Second},
				true, test.firstAnswer)
			time.Sleep(window) // until the end of the window
			open()
			conn := receive(t, s.accepted[0])
			if !test.sent {
				expectNoBytes(t, conn)
				if a := receive(t, s.answers); a.Verdict != protocol.Refused { // the group is all workers: trying again is harmless
					t.Errorf("got %+v", a)
				}
				return
			}
			readRequest(conn)
			io.WriteString(conn, okAnswer)
			s.expectServed(t)
		})
	}
}

// An attempt whose call's deadline has passed when its connection opens must not be sent.
func TestDeadlineBeforeFirstByte(t *testing.T) {
	s := newTestSidecar(t, decide.Class{}, 0)
	active := &activeCall{call: &protocol.Call{Budget: time.Minute, Message: timedMessage{}}}
	s.addCall(active)
	active.deadline = time.Now()
	results := make(chan transport.Result, 1)
	a := s.startAttempt(active, <-active.commands, results)
	expectNoBytes(t, receive(t, s.accepted[0]))
	a.Abort() // no effect if the attempt has ended
	if r := <-results; r.Sent {
		t.Errorf("got %+v", r)
	}
}
