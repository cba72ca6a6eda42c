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

// hookNetwork is the System network with test hooks at points of a connection's life. Nil hooks do nothing.
type hookNetwork struct {
	System
	dial  func()               // called before a connection is opened
	quiet func(c Socket)       // called before Socket.Quiet
	await func(c Socket) error // called instead of Socket.Await
	close func()               // called before Socket.Close
}

// hookSocket is a connection of a hookNetwork.
type hookSocket struct {
	Socket
	*hookNetwork
}

func (h *hookNetwork) Dial(ctx context.Context, addr string) (Socket, error) {
	if h.dial != nil {
		h.dial()
	}
	c, err := h.System.Dial(context.WithoutCancel(ctx), addr) // ignores a cancelled dial, as if it came too late
	if err != nil {
		return nil, err
	}
	return &hookSocket{c, h}, nil
}

func (c *hookSocket) Quiet() bool {
	if c.quiet != nil {
		c.quiet(c.Socket)
	}
	return c.Socket.Quiet()
}

func (c *hookSocket) Await() error {
	if c.await != nil {
		return c.await(c.Socket)
	}
	return c.Socket.Await()
}

func (c *hookSocket) Close() error {
	if c.hookNetwork.close != nil {
		c.hookNetwork.close()
	}
	return c.Socket.Close()
}

// onNthCall returns a hook that calls f on its n-th call only.
func onNthCall(n int64, f func()) func(Socket) {
	var calls atomic.Int64
	return func(Socket) {
		if calls.Add(1) == n {
			f()
		}
	}
}

// nextConn returns the next connection that the worker has accepted.
func nextConn(t *testing.T, c <-chan net.Conn) net.Conn {
	t.Helper()
	select {
	case conn := <-c:
		return conn
	case <-time.After(30 * time.Second):
		t.Fatal("no connection arrived")
		return nil
	}
}

// A message that depends on the time must be built when its connection is established, and not at all after Abort: its
// buffers may belong to another request by then.
func TestMessageIsEncodedAfterConnect(t *testing.T) {
	for name, aborted := range map[string]bool{"slow connect": false, "aborted while connecting": true} {
		t.Run(name, func(t *testing.T) {
			peer, conns := startWorker(t)
			dialling, proceed := make(chan struct{}), make(chan struct{})
			var connected atomic.Bool
			h := &hookNetwork{dial: func() { close(dialling); <-proceed; connected.Store(true) }}
			x := newExchange(true)
			encode := x.Message
			encodedConnected := make(chan bool, 1)
			x.Message = func() net.Buffers { encodedConnected <- connected.Load(); return encode() }
			a := NewPool(h, NewBudget(1), time.Minute, time.Minute).Start(peer, x)
			<-dialling
			if aborted {
				a.Abort()
				close(proceed)
				expectResult(t, a, false, ErrAborted)
				io.ReadAll(nextConn(t, conns)) // returns, since the connection was established and then closed
				if len(encodedConnected) > 0 {
					t.Error("the message was built after Abort")
				}
				return
			}
			close(proceed)
			reply(nextConn(t, conns))
			expectResult(t, a, true, nil)
			if !<-encodedConnected {
				t.Error("the message was built before its connection was established")
			}
		})
	}
}

// An attempt aborted before the last byte of its message counts as not sent, and the last byte is never written.
func TestAbortBeforeLastByte(t *testing.T) {
	peer, conns := startWorker(t)
	const long = 4 * MaxSingleWrite
	var a *Attempt
	started, abortDone := make(chan struct{}), make(chan struct{})
	h := &hookNetwork{quiet: onNthCall(2, func() { // the check before the last byte
		<-started
		a.Abort()
		close(abortDone)
	})}
	x := newExchange(true)
	x.Message = func() net.Buffers { return net.Buffers{make([]byte, long)} }
	a = NewPool(h, NewBudget(1), time.Minute, time.Minute).Start(peer, x)
	close(started)
	c := nextConn(t, conns)
	<-abortDone
	expectResult(t, a, false, ErrAborted)
	if b, _ := io.ReadAll(c); len(b) >= long {
		t.Errorf("the last byte was written, %d bytes in total", len(b))
	}
}

// A connection that is not reused is closed before the attempt's result is sent: a retry of the same request must not
// overlap with a connection that is still open.
func TestConnectionClosedBeforeResult(t *testing.T) {
	garbage := errors.New("garbage")
	for name, test := range map[string]struct {
		x    func(*Exchange)
		peer func(c net.Conn)
		sent bool
		err  error
	}{
		"malformed response": {func(x *Exchange) {
			x.Read = func(r *bufio.Reader) (bool, error) { r.ReadString('\n'); return false, garbage }
		}, reply, true, garbage},
		"response that ends the connection": {func(x *Exchange) {
			x.Read = func(r *bufio.Reader) (bool, error) { _, err := readLine(r); return false, err }
		}, reply, true, nil},
		"bytes after the response": {func(*Exchange) {}, func(c net.Conn) {
			io.ReadFull(c, make([]byte, 2))
			io.WriteString(c, "ok\nok\n")
		}, true, nil},
		"revoked":           {func(x *Exchange) { x.Guard = fixedGuard(false) }, func(net.Conn) {}, false, ErrRevoked},
		"incomplete source": {func(x *Exchange) { x.Rest = func(WriteFunc) error { return nil } }, func(net.Conn) {}, false, ErrIncompleteMessage},
	} {
		t.Run(name, func(t *testing.T) {
			peer, conns := startWorker(t)
			x := newExchange(true)
			x.Done = make(chan Result, 1)
			resultBeforeClose, first := make(chan bool, 1), sync.Once{}
			h := &hookNetwork{close: func() { first.Do(func() { resultBeforeClose <- len(x.Done) > 0 }) }}
			test.x(&x)
			a := NewPool(h, NewBudget(1), time.Minute, time.Minute).Start(peer, x)
			test.peer(nextConn(t, conns))
			if <-resultBeforeClose {
				t.Error("the result was sent before the close")
			}
			expectResult(t, a, test.sent, test.err)
		})
	}
}

// If an idle connection is evicted, dropped or timed out just as it is being reused, the exchange is sent exactly once, on
// that connection or, if it was closed, on a new one.
func TestReuseRaces(t *testing.T) {
	for name, test := range map[string]struct {
		budget    int
		meanwhile func(t *testing.T, p *Pool, peer, other Peer, c Socket, closed <-chan struct{})
		kept      bool
	}{
		"eviction": {1, func(t *testing.T, p *Pool, _, other Peer, _ Socket, _ <-chan struct{}) {
			expectResult(t, p.Start(other, newExchange(true)), false, ErrNoDescriptor) // there is no idle connection to evict
		}, true},
		"closing of idle connections": {1, func(_ *testing.T, p *Pool, peer, _ Peer, _ Socket, _ <-chan struct{}) {
			p.CloseIdle(peer)
		}, true},
		"idle timeout": {2, func(_ *testing.T, _ *Pool, _, _ Peer, c Socket, closed <-chan struct{}) {
			c.SetReadDeadline(time.Now().Add(-time.Second))
			<-closed // by its own goroutine, on the idle timeout
		}, false},
	} {
		t.Run(name, func(t *testing.T) {
			peer, conns := startWorker(t)
			other, _ := startWorker(t)
			closed := make(chan struct{}, 8)
			var onQuiet func(Socket) // called once, in this goroutine
			h := &hookNetwork{close: func() { closed <- struct{}{} }, quiet: func(c Socket) {
				if f := onQuiet; f != nil {
					onQuiet = nil
					f(c)
				}
			}}
			p := NewPool(h, NewBudget(test.budget), time.Minute, time.Minute)
			a := p.Start(peer, newExchange(true))
			c := nextConn(t, conns)
			reply(c)
			expectResult(t, a, true, nil)
			onQuiet = func(s Socket) { test.meanwhile(t, p, peer, other, s, closed) }
			a = p.Start(peer, newExchange(true)) // calls onQuiet in this goroutine
			if !test.kept {
				c = nextConn(t, conns)
			}
			reply(c)
			if r := <-a.Done; r.Err != nil || r.Reused != test.kept {
				t.Errorf("got %+v", r)
			}
			p.CloseIdle(peer)
		})
	}
}

// A connection whose idle timeout expires just after it has been taken for reuse serves the exchange.
func TestIdleTimeoutDuringReuse(t *testing.T) {
	peer, conns := startWorker(t)
	retire := make(chan struct{})
	var calls atomic.Int64
	h := &hookNetwork{await: func(c Socket) error {
		if calls.Add(1) == 2 { // idle
			<-retire
			return os.ErrDeadlineExceeded
		}
		return c.Await()
	}}
	p := NewPool(h, NewBudget(1), time.Minute, time.Minute)
	a := p.Start(peer, newExchange(true))
	c := nextConn(t, conns)
	reply(c)
	expectResult(t, a, true, nil)
	a = p.Start(peer, newExchange(true))
	close(retire)
	reply(c)
	expectResult(t, a, true, nil)
	p.CloseIdle(peer)
}

// blockedSocket is a socket whose writes block until it is closed, as with a worker that reads nothing.
type blockedSocket struct {
	Socket
	closed chan struct{}
	once   sync.Once
}

func (s *blockedSocket) Write([]byte) (int, error) {
	<-s.closed
	return 0, net.ErrClosed
}

func (s *blockedSocket) Close() error {
	s.once.Do(func() { close(s.closed) })
	return s.Socket.Close()
}

// blockingNetwork is the System network; the writes of its sockets block once block is set.
type blockingNetwork struct {
	System
	block atomic.Bool
}

// blockingSocket is a connection of a blockingNetwork.
type blockingSocket struct {
	Socket
	network *blockingNetwork
	blocked *blockedSocket
}

func (n *blockingNetwork) Dial(ctx context.Context, addr string) (Socket, error) {
	c, err := n.System.Dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	return &blockingSocket{c, n, &blockedSocket{Socket: c, closed: make(chan struct{})}}, nil
}

func (s *blockingSocket) Write(b []byte) (int, error) {
	if s.network.block.Load() {
		return s.blocked.Write(b)
	}
	return s.Socket.Write(b)
}

func (s *blockingSocket) Close() error { return s.blocked.Close() }

// The write of a long message on a reused connection may block on the worker. Start must not block on it, so that the
// caller can abort the attempt.
func TestStartDoesNotBlockOnLongMessage(t *testing.T) {
	peer, conns := startWorker(t)
	network := &blockingNetwork{}
	p := NewPool(network, NewBudget(1), time.Minute, time.Minute)
	a := p.Start(peer, newExchange(true))
	c := nextConn(t, conns)
	reply(c)
	expectResult(t, a, true, nil)
	network.block.Store(true)
	x := newExchange(true)
	x.MayBlock = true
	x.Message = func() net.Buffers { return net.Buffers{make([]byte, 4*MaxSingleWrite)} }
	started := make(chan *Attempt)
	go func() { started <- p.Start(peer, x) }()
	select {
	case a = <-started:
	case <-time.After(30 * time.Second):
		c.Close()
		t.Fatal("Start blocks on the worker")
	}
	a.Abort()
	expectResult(t, a, false, ErrAborted)
}
