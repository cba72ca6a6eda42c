package transport

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// hooks is the system's network with a test's say at named points of a connection. Nil hooks do nothing.
type hooks struct {
	System
	dial  func()               // before a connection is opened
	quiet func(c Socket)       // before a socket is asked whether anything has come
	await func(c Socket) error // instead of the wait for something to read
	close func()               // before a socket is closed
}

type hooked struct {
	Socket
	*hooks
}

func (h *hooks) Dial(ctx context.Context, addr string) (Socket, error) {
	if h.dial != nil {
		h.dial()
	}
	c, err := h.System.Dial(context.WithoutCancel(ctx), addr) // also one that comes up just as it is called off
	if err != nil {
		return nil, err
	}
	return &hooked{c, h}, nil
}

func (c *hooked) Quiet() bool {
	if c.quiet != nil {
		c.quiet(c.Socket)
	}
	return c.Socket.Quiet()
}

func (c *hooked) Await() error {
	if c.await != nil {
		return c.await(c.Socket)
	}
	return c.Socket.Await()
}

func (c *hooked) Close() error {
	if c.hooks.close != nil {
		c.hooks.close()
	}
	return c.Socket.Close()
}

// once calls f at the n-th call only.
func once(n int64, f func()) func(Socket) {
	var calls atomic.Int64
	return func(Socket) {
		if calls.Add(1) == n {
			f()
		}
	}
}

func get(t *testing.T, c <-chan net.Conn) net.Conn {
	t.Helper()
	select {
	case conn := <-c:
		return conn
	case <-time.After(30 * time.Second):
		t.Fatal("no connection came")
		return nil
	}
}

// A message that depends on the time is made when its connection is there, and not at all once the attempt was called
// off: what it would be made of may belong to another request by then.
func TestMessageIsMadeWhenItsConnectionIsThere(t *testing.T) {
	for name, calledOff := range map[string]bool{"late connect": false, "called off meanwhile": true} {
		t.Run(name, func(t *testing.T) {
			peer, conns := server(t)
			dialling, open := make(chan struct{}), make(chan struct{})
			var there atomic.Bool
			h := &hooks{dial: func() { close(dialling); <-open; there.Store(true) }}
			x := message(true)
			text := x.Message
			made := make(chan bool, 1)
			x.Message = func() net.Buffers { made <- there.Load(); return text() }
			a := NewPool(h, NewBudget(1), time.Minute, time.Minute).Start(peer, x)
			<-dialling
			if calledOff {
				a.Abort()
				close(open)
				check(t, a, false, ErrAborted)
				io.ReadAll(get(t, conns)) // ends: the connection came up, and was closed
				if len(made) > 0 {
					t.Error("the message was made")
				}
				return
			}
			close(open)
			reply(get(t, conns))
			check(t, a, true, nil)
			if !<-made {
				t.Error("the message was made before its connection was there")
			}
		})
	}
}

// An attempt that is called off between the parts of its message never ran: its last byte has not gone out, and does not.
func TestCalledOffBeforeTheLastByte(t *testing.T) {
	peer, conns := server(t)
	const long = 4 * WholeWrite
	var a *Attempt
	started, off := make(chan struct{}), make(chan struct{})
	h := &hooks{quiet: once(2, func() { // right before the last byte
		<-started
		a.Abort()
		close(off)
	})}
	x := message(true)
	x.Message = func() net.Buffers { return net.Buffers{make([]byte, long)} }
	a = NewPool(h, NewBudget(1), time.Minute, time.Minute).Start(peer, x)
	close(started)
	c := get(t, conns)
	<-off
	check(t, a, false, ErrAborted)
	if b, _ := io.ReadAll(c); len(b) >= long {
		t.Errorf("the last byte came, %d in all", len(b))
	}
}

// Whoever has the result of an attempt finds its connection closed, where it is not kept: the next attempt of the same
// request must not go out beside one that is still open.
func TestClosedBeforeTheResult(t *testing.T) {
	garbage := errors.New("garbage")
	for name, test := range map[string]struct {
		x    func(*Exchange)
		peer func(c net.Conn)
		sent bool
		err  error
	}{
		"unreadable answer": {func(x *Exchange) {
			x.Read = func(r *bufio.Reader) (bool, error) { r.ReadString('\n'); return false, garbage }
		}, reply, true, garbage},
		"answer that ends the connection": {func(x *Exchange) {
			x.Read = func(r *bufio.Reader) (bool, error) { _, err := line(r); return false, err }
		}, reply, true, nil},
		"bytes behind the answer": {func(*Exchange) {}, func(c net.Conn) {
			io.ReadFull(c, make([]byte, 2))
			io.WriteString(c, "ok\nok\n")
		}, true, nil},
		"no longer wanted":  {func(x *Exchange) { x.Guard = answers(false) }, func(net.Conn) {}, false, ErrRevoked},
		"source breaks off": {func(x *Exchange) { x.Rest = func(Write) error { return nil } }, func(net.Conn) {}, false, ErrSource},
	} {
		t.Run(name, func(t *testing.T) {
			peer, conns := server(t)
			x := message(true)
			x.Done = make(chan Result, 1)
			early, first := make(chan bool, 1), sync.Once{}
			h := &hooks{close: func() { first.Do(func() { early <- len(x.Done) > 0 }) }}
			test.x(&x)
			a := NewPool(h, NewBudget(1), time.Minute, time.Minute).Start(peer, x)
			test.peer(get(t, conns))
			if <-early {
				t.Error("the result was out before the close")
			}
			check(t, a, test.sent, test.err)
		})
	}
}

// What takes an idle connection away in the very instant in which it is taken into use: the exchange goes out once, on
// that connection or, where that one has gone, on another.
func TestTakenInTheInstantOf(t *testing.T) {
	for name, test := range map[string]struct {
		budget    int
		meanwhile func(t *testing.T, p *Pool, peer, other Peer, c Socket, closed <-chan struct{})
		kept      bool
	}{
		"an eviction": {1, func(t *testing.T, p *Pool, _, other Peer, _ Socket, _ <-chan struct{}) {
			check(t, p.Start(other, message(true)), false, ErrCrowded) // there is nothing idle to evict
		}, true},
		"the pool being emptied": {1, func(_ *testing.T, p *Pool, peer, _ Peer, _ Socket, _ <-chan struct{}) {
			p.CloseIdle(peer)
		}, true},
		"its idle time's end": {2, func(_ *testing.T, _ *Pool, _, _ Peer, c Socket, closed <-chan struct{}) {
			c.SetReadDeadline(time.Now().Add(-time.Second))
			<-closed // by its own goroutine, which has retired it
		}, false},
	} {
		t.Run(name, func(t *testing.T) {
			peer, conns := server(t)
			other, _ := server(t)
			closed := make(chan struct{}, 8)
			var at func(Socket) // called once, in this goroutine
			h := &hooks{close: func() { closed <- struct{}{} }, quiet: func(c Socket) {
				if f := at; f != nil {
					at = nil
					f(c)
				}
			}}
			p := NewPool(h, NewBudget(test.budget), time.Minute, time.Minute)
			a := p.Start(peer, message(true))
			c := get(t, conns)
			reply(c)
			check(t, a, true, nil)
			at = func(s Socket) { test.meanwhile(t, p, peer, other, s, closed) }
			a = p.Start(peer, message(true)) // takes the idle one in this goroutine
			if !test.kept {
				c = get(t, conns)
			}
			reply(c)
			if r := <-a.Done; r.Err != nil || r.Kept != test.kept {
				t.Errorf("got %+v", r)
			}
			p.CloseIdle(peer)
		})
	}
}

// A connection that is taken into use just as its own clock retires it serves the exchange.
func TestRetiredWhenTaken(t *testing.T) {
	peer, conns := server(t)
	retire := make(chan struct{})
	var calls atomic.Int64
	h := &hooks{await: func(c Socket) error {
		if calls.Add(1) == 2 { // idle
			<-retire
			return os.ErrDeadlineExceeded
		}
		return c.Await()
	}}
	p := NewPool(h, NewBudget(1), time.Minute, time.Minute)
	a := p.Start(peer, message(true))
	c := get(t, conns)
	reply(c)
	check(t, a, true, nil)
	a = p.Start(peer, message(true))
	close(retire)
	reply(c)
	check(t, a, true, nil)
	p.CloseIdle(peer)
}

// stuck is a socket whose writes wait until it is closed, as with a worker that reads nothing.
type stuck struct {
	Socket
	closed chan struct{}
	once   sync.Once
}

func (s *stuck) Write([]byte) (int, error) {
	<-s.closed
	return 0, net.ErrClosed
}

func (s *stuck) Close() error {
	s.once.Do(func() { close(s.closed) })
	return s.Socket.Close()
}

// sticking is the system's network whose sockets get stuck once they have been asked for it.
type sticking struct {
	System
	stick atomic.Bool
}

type sticky struct {
	Socket
	network *sticking
	stuck   *stuck
}

func (n *sticking) Dial(ctx context.Context, addr string) (Socket, error) {
	c, err := n.System.Dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	return &sticky{c, n, &stuck{Socket: c, closed: make(chan struct{})}}, nil
}

func (s *sticky) Write(b []byte) (int, error) {
	if s.network.stick.Load() {
		return s.stuck.Write(b)
	}
	return s.Socket.Write(b)
}

func (s *sticky) Close() error { return s.stuck.Close() }

// The writing of a long message on a kept connection may have to wait for the worker; whoever starts it does not, and calls
// it off when its time is over.
func TestLongMessageIsNotWaitedFor(t *testing.T) {
	peer, conns := server(t)
	network := &sticking{}
	p := NewPool(network, NewBudget(1), time.Minute, time.Minute)
	a := p.Start(peer, message(true))
	c := get(t, conns)
	reply(c)
	check(t, a, true, nil)
	network.stick.Store(true)
	x := message(true)
	x.Long = true
	x.Message = func() net.Buffers { return net.Buffers{make([]byte, 4*WholeWrite)} }
	started := make(chan *Attempt)
	go func() { started <- p.Start(peer, x) }()
	select {
	case a = <-started:
	case <-time.After(30 * time.Second):
		c.Close()
		t.Fatal("Start waits for the worker")
	}
	a.Abort()
	check(t, a, false, ErrAborted)
}
