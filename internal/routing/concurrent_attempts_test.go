package routing

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"burlpass/decide"
	"burlpass/internal/logging"
	"burlpass/internal/protocol"
	"burlpass/internal/transport"
)

// gatedNetwork is a network on which dialing a gated address blocks until its gate is opened.
type gatedNetwork struct {
	transport.System
	mu    sync.Mutex
	gates map[string]chan struct{}
	dials chan string
}

// Dial waits for the gate of an address, if it has one, and connects. It gives up once ctx is done, also while nobody
// receives from dials, whose buffer the retries of a watch fill within seconds.
func (g *gatedNetwork) Dial(ctx context.Context, addr string) (transport.Socket, error) {
	g.mu.Lock()
	opened := g.gates[addr]
	g.mu.Unlock()
	select {
	case g.dials <- addr:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if opened != nil {
		select {
		case <-opened:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	return g.System.Dial(ctx, addr)
}

// Guards against a dial that outlives its router, which the check for leaked goroutines reports for the whole package.
func TestGatedDialEndsWithContext(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	network := &gatedNetwork{dials: make(chan string)}
	dialed := make(chan error, 1)
	go func() {
		_, err := network.Dial(ctx, "127.0.0.1:1")
		dialed <- err
	}()
	cancel()
	if err := receive(t, dialed); !errors.Is(err, context.Canceled) {
		t.Errorf("got %v, want %v", err, context.Canceled)
	}
}

// plainMessage is a minimal HTTP request.
type plainMessage struct{}

// Rest returns nil: the message has no body.
func (plainMessage) Rest() func(transport.WriteFunc) error { return nil }

// Encode returns the head of a GET request.
func (plainMessage) Encode(worker string, _ time.Duration) [][]byte {
	return [][]byte{[]byte("GET /x HTTP/1.1\r\nHost: " + worker + "\r\n\r\n")}
}

// A second attempt that is still dialing must be sent, or not, according to what happens in the meantime to its worker, to
// the first attempt or to the client. If it must not, no byte of it may be sent.
func TestSecondAttemptWhileDialing(t *testing.T) {
	type fixture struct {
		router     *Router
		clientLeft chan struct{}
		first      net.Conn // connection of the first attempt
	}
	list := func(generation uint64, second protocol.Lifecycle, addrs ...string) *protocol.List {
		return &protocol.List{Generation: generation, Reset: true, Instances: []protocol.Instance{
			{ID: "one", Addr: addrs[0], Lifecycle: protocol.LifecycleUp}, {ID: "two", Addr: addrs[1], Lifecycle: second}}}
	}
	answer := "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n"
	for name, test := range map[string]struct {
		change     func(f fixture, addrs ...string)
		secondSent bool // the second attempt is sent
		want       string
	}{
		"drained": {func(f fixture, addrs ...string) {
			f.router.applyList(f.router.registrySource, list(2, protocol.LifecycleDraining, addrs...), decide.ListFull)
		}, false, "one"},
		"restarted": {func(f fixture, addrs ...string) {
			l := list(2, protocol.LifecycleUp, addrs...)
			l.Instances[1].StartedMs = 9
			f.router.applyList(f.router.registrySource, l, decide.ListFull)
		}, false, "one"},
		"first attempt's worker gone": {func(f fixture, _ ...string) { f.first.Close() }, true, "two"},
		"first attempt answers":       {func(f fixture, _ ...string) { io.WriteString(f.first, answer+"one") }, false, "one"},
		"client leaves":               {func(f fixture, _ ...string) { close(f.clientLeft) }, false, ""},
		"no change":                   {func(fixture, ...string) {}, true, "two"},
		"first attempt's worker is drained": {func(f fixture, addrs ...string) {
			l := list(2, protocol.LifecycleUp, addrs...)
			l.Instances[0].Lifecycle = protocol.LifecycleDraining
			f.router.applyList(f.router.registrySource, l, decide.ListFull)
		}, true, "two"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			accepted, addrs := [2]chan net.Conn{}, []string{}
			for i := range accepted {
				ln, err := net.Listen("tcp", "127.0.0.1:0")
				if err != nil {
					t.Fatal(err)
				}
				defer ln.Close()
				accepted[i] = make(chan net.Conn, 4)
				addrs = append(addrs, ln.Addr().String())
				go func() {
					for c, err := ln.Accept(); err == nil; c, err = ln.Accept() {
						accepted[i] <- c
					}
				}()
			}
			network := &gatedNetwork{gates: map[string]chan struct{}{}, dials: make(chan string, 8)}
			router := New(ctx, Config{Decide: decide.Config{Subscribe: true, Zone: 0,
				Classes: []decide.Class{{Aim: 3 * time.Second, Deadline: 10 * time.Second, Worth: 1, LateWorth: 1},
					{Aim: 900 * time.Millisecond, Deadline: 5 * time.Second, Worth: 1, Effect: decide.Unsafe}},
				Safety: decide.Safety{FallMultiple: 3, OverloadWindow: time.Second, StartShare: 0.5},
				Limits: decide.Limits{SecondCopies: true, Cancel: true, MaxAttempts: 2}},
				Network: network, Registry: "127.0.0.1:1", Log: logging.Discard(), Names: Names{Zones: []string{""}},
				Workers: &protocol.Workers{Pool: transport.NewPool(network, transport.NewBudget(9), 5*time.Second, time.Minute)}},
				&protocol.List{Generation: 1, Reset: true, Instances: []protocol.Instance{{ID: "one", Addr: addrs[0], Lifecycle: protocol.LifecycleUp}}})
			f := fixture{router: router, clientLeft: make(chan struct{})}
			answers := make(chan protocol.Answer, 1)
			evidence := make(chan struct{}) // a single call in flight would be no evidence against its worker
			defer close(evidence)
			go router.Serve(&protocol.Call{Class: 1, Budget: 10 * time.Second, Message: plainMessage{}, ClientLeft: evidence})
			receive(t, accepted[0])
			go func() {
				answers <- router.Serve(&protocol.Call{Budget: 10 * time.Second, Message: plainMessage{}, ClientLeft: f.clientLeft})
			}()
			f.first = receive(t, accepted[0]) // the only worker listed so far
			network.mu.Lock()
			network.gates[addrs[1]] = make(chan struct{})
			network.mu.Unlock()
			router.applyList(router.registrySource, list(2, protocol.LifecycleUp, addrs...), decide.ListFull)
			for receive(t, network.dials) != addrs[1] { // until the second attempt is dialing
			}
			test.change(f, addrs...)
			if test.want == "one" || test.want == "" { // decided by the change alone, or once the first attempt is answered
				if name != "first attempt answers" && test.want != "" {
					close(network.gates[addrs[1]])
					expectNoSecondAttempt(t, receive(t, accepted[1]))
					io.WriteString(f.first, answer+"one")
				}
			} else {
				close(network.gates[addrs[1]])
				second := receive(t, accepted[1])
				if got := readRequest(second); (got != "") != test.secondSent {
					t.Fatalf("the second attempt's worker got %q", got)
				}
				io.WriteString(second, answer+"two")
			}
			got := ""
			if a := receive(t, answers); a.Reply != nil {
				got = string(a.Reply.Body)
			}
			if got != test.want {
				t.Errorf("answered %q, want %q", got, test.want)
			}
			if !test.secondSent && (name == "first attempt answers" || test.want == "") {
				select {
				case c := <-accepted[1]:
					expectNoSecondAttempt(t, c)
				default: // the connection was never opened
				}
			}
		})
	}
}

// receive returns the next value of a channel and fails the test if none arrives in time.
func receive[T any](t *testing.T, c <-chan T) T {
	t.Helper()
	select {
	case x := <-c:
		return x
	case <-time.After(30 * time.Second):
		t.Fatal("nothing received within 30 s")
		panic("unreachable")
	}
}

// readRequest returns what the first read of a connection yields, or "" if nothing arrives.
func readRequest(c net.Conn) string {
	buf := make([]byte, 512)
	n, err := c.Read(buf)
	if err != nil && !errors.Is(err, io.EOF) {
		return ""
	}
	return string(buf[:n])
}

// expectNoSecondAttempt fails the test if anything arrives on the connection before it ends.
func expectNoSecondAttempt(t *testing.T, c net.Conn) {
	t.Helper()
	if b, _ := io.ReadAll(c); len(b) > 0 {
		t.Errorf("the second attempt's worker got %q", b)
	}
}
