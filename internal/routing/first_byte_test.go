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

// timed is a message that says how much time it is told to have, in microseconds.
type timedMessage struct{ plainMessage }

func (timedMessage) Encode(_ string, remaining time.Duration) [][]byte {
	return [][]byte{[]byte("GET /x HTTP/1.1\r\nX-Expires-In: " + strconv.FormatInt(remaining.Microseconds(), 10) + "u\r\n\r\n")}
}

// town is a router beside three backends, of which the list names one. The test opens the connections to the first.
type testSidecar struct {
	*Router
	*gatedNetwork
	accepted [3]chan net.Conn
	addrs    [3]string
	left     chan struct{} // closed by a client that leaves
	answers  chan protocol.Answer
}

const okAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

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
		Safety: decide.Safety{FallMultiple: 3, TipAfter: time.Second, StartShare: 0.5},
		Limits: decide.Limits{MaxAttempts: 4}},
		Network: s.gatedNetwork, Registry: "127.0.0.1:1", Log: logging.Discard(), Names: Names{Zones: []string{"hall"}},
		Workers: &protocol.Workers{Pool: transport.NewPool(s.gatedNetwork, transport.NewBudget(9), time.Minute, time.Minute)}}
	for _, f := range adjust { // before the router's goroutines read it
		f(&c)
	}
	s.Router = New(t.Context(), c, s.list(1, s.instance(listed)))
	return s
}

func (s *testSidecar) instance(i int) protocol.Instance {
	return protocol.Instance{ID: strconv.Itoa(i), Addr: s.addrs[i], Zone: "hall", Lifecycle: protocol.Up}
}

func (s *testSidecar) list(generation uint64, i ...protocol.Instance) *protocol.List {
	return &protocol.List{Generation: generation, Reset: true, Instances: i}
}

// shut makes further connections to the first backend wait until the returned function is called.
func (s *testSidecar) gateFirstWorker() (open func()) {
	gate := make(chan struct{})
	s.gatedNetwork.mu.Lock()
	s.gates[s.addrs[0]] = gate
	s.gatedNetwork.mu.Unlock()
	return func() { close(gate) }
}

func (s *testSidecar) serve() {
	go func() {
		s.answers <- s.Serve(&protocol.Call{Budget: 30 * time.Second, Message: timedMessage{}, Left: s.left})
	}()
}

// untouched expects a connection to end with no byte on it.
func expectNoBytes(t *testing.T, c net.Conn) {
	t.Helper()
	b := make([]byte, 512)
	if n, _ := c.Read(b); n > 0 {
		t.Errorf("the backend got %q", b[:n])
	}
}

// begin returns a town with a request whose attempt, its first or a further one, waits for a connection to the first
// backend until open is called. The answer of the attempt before a further one is first, and its connection's end.
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
	for receive(t, s.dials) != s.addrs[0] { // the others' connections, and discovery's, are opened too
	}
	return s, open
}

// What a sidecar is told while an attempt waits for its connection holds for that attempt, be it the request's first or
// a further one: no byte of it goes out, and the request goes to the backend that is listed now.
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
			first.Lifecycle = protocol.Removed
			s.applyList(s.registrySource, &protocol.List{Generation: 10, Instances: []protocol.Instance{first, s.instance(1)}}, decide.ListDelta)
		},
		"left out of a whole list": func(s *testSidecar) { s.applyList(s.registrySource, s.list(10, s.instance(1)), decide.ListFull) },
		"removed, and back": func(s *testSidecar) {
			s.applyList(s.registrySource, s.list(10, s.instance(1)), decide.ListFull)
			first := s.instance(0)
			first.StartedMs = time.Now().UnixMilli()
			s.applyList(s.registrySource, s.list(11, first, s.instance(1)), decide.ListFull)
			s.Disable("0") // so that the request goes to the other
		},
		"started anew": func(s *testSidecar) {
			first := s.instance(0)
			first.StartedMs = time.Now().UnixMilli()
			s.applyList(s.registrySource, s.list(10, first, s.instance(1)), decide.ListFull)
			s.Disable("0") // so that the request goes to the other
		},
		"at another address": func(s *testSidecar) {
			first := s.instance(0)
			first.Addr = "127.0.0.1:1"
			s.applyList(s.registrySource, s.list(10, first, s.instance(1)), decide.ListFull)
			s.Disable("0")
		},
		"disabled by hand": func(s *testSidecar) { both(s); s.Disable("0") },
		"disabled by orders": func(s *testSidecar) {
			both(s)
			var out maintenance.Set
			out.Disable("0")
			s.Maintain(out)
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

// answered expects the request's answer to be a backend's.
func (s *testSidecar) expectServed(t *testing.T) {
	t.Helper()
	if a := receive(t, s.answers); a.Verdict != protocol.Served {
		t.Errorf("got %+v", a)
	}
}

// A client that leaves while its attempt waits for a connection: nothing goes out.
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

// gone tells that all open requests know of their client's leaving.
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

// A choice holds for the process that was chosen: should another have been told of at its address before the attempt
// begins, neither the connection kept from the earlier process nor a new one carries it.
func TestRestartBetweenChoiceAndAttempt(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	s := newTestSidecar(t, decide.Class{}, 0)
	s.serve()
	kept := receive(t, s.accepted[0])
	readRequest(kept)
	io.WriteString(kept, okAnswer)
	s.expectServed(t)

	active := &activeCall{call: &protocol.Call{Budget: time.Minute, Message: timedMessage{}, Left: ctx.Done()}}
	s.addCall(active) // the module has chosen
	restarted := s.instance(0)
	restarted.StartedMs = time.Now().UnixMilli()
	s.applyList(s.registrySource, s.list(2, restarted), decide.ListFull)
	results := make(chan transport.Result, 1)
	a := s.startAttempt(active, <-active.commands, results)
	expectNoBytes(t, kept)
	expectNoBytes(t, receive(t, s.accepted[0]))
	a.Abort() // changes nothing where it has ended
	if r := <-results; r.Sent {
		t.Errorf("got %+v", r)
	}
}

// An attempt tells its backend at most what is left to the client when its first byte goes out, however long its
// connection took to open.
func TestRemainingTimeAtFirstByte(t *testing.T) {
	const dialDelay = 50 * time.Millisecond
	for name, retry := range map[string]bool{"first attempt": false, "further attempt": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s, open := startGatedAttempt(t, decide.Class{}, retry, "")
			started := time.Now() // or after
			time.Sleep(dialDelay) // is what the connection takes
			left := 30*time.Second - time.Since(started)
			open()
			conn := receive(t, s.accepted[0])
			_, header, _ := strings.Cut(readRequest(conn), "X-Expires-In: ")
			header, _, _ = strings.Cut(header, "\r\n")
			remaining, err := time.ParseDuration(header + "s")
			if err != nil || remaining > left {
				t.Errorf("told %v (%v), %v left", remaining, err, left)
			}
			io.WriteString(conn, okAnswer)
			s.expectServed(t)
		})
	}
}

// The window in which a repeat is dropped counts from the first attempt that may have run, and a repeat that is still
// without its connection at the window's end does not go out. One before which nothing ran has no window.
func TestRepeatWindowAtFirstByte(t *testing.T) {
	const window = 100 * time.Millisecond
	for name, test := range map[string]struct {
		window      time.Duration
		firstAnswer string // what the first attempt's backend answers
		sent        bool
	}{
		"over":        {window, "", false},
		"not over":    {time.Hour, "", true},
		"nothing ran": {window, "HTTP/1.1 503 No\r\nX-Never-Ran: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s, open := startGatedAttempt(t, decide.Class{Effect: decide.Keyed, Window: test.window, Aim: 6 * time.Second}, true, test.firstAnswer)
			time.Sleep(window) // the window's end is the subject
			open()
			conn := receive(t, s.accepted[0])
			if !test.sent {
				expectNoBytes(t, conn)
				if a := receive(t, s.answers); a.Verdict != protocol.Refused { // the group is all: harmless
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

// An attempt that finds its request's time over when its connection is there does not go out.
func TestDeadlineBeforeFirstByte(t *testing.T) {
	s := newTestSidecar(t, decide.Class{}, 0)
	active := &activeCall{call: &protocol.Call{Budget: time.Minute, Message: timedMessage{}}}
	s.addCall(active)
	active.deadline = time.Now()
	results := make(chan transport.Result, 1)
	a := s.startAttempt(active, <-active.commands, results)
	expectNoBytes(t, receive(t, s.accepted[0]))
	a.Abort() // changes nothing where it has ended
	if r := <-results; r.Sent {
		t.Errorf("got %+v", r)
	}
}
