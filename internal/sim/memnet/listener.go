package memnet

import (
	"context"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"burlpass/internal/transport"
)

// Listener is a listener of a party.
type Listener struct {
	host *Host
	addr string

	mu       sync.Mutex
	cond     *sync.Cond
	queue    []*Conn
	closed   bool
	muted    bool
	deadline time.Time
}

// Listen listens on an address that nobody else has.
func (h *Host) Listen(at string) (net.Listener, error) {
	l, err := h.ListenOn(at)
	if err != nil {
		return nil, err
	}
	return l, nil
}

// ListenOn is Listen with the concrete type.
func (h *Host) ListenOn(at string) (*Listener, error) {
	l := &Listener{host: h, addr: at}
	l.cond = sync.NewCond(&l.mu)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.net.mu.Lock()
	defer h.net.mu.Unlock()
	if h.dead {
		return nil, failed("listen", net.ErrClosed)
	}
	if h.net.listeners[at] != nil {
		return nil, failed("listen", syscall.EADDRINUSE)
	}
	h.net.listeners[at] = l
	h.listeners[l] = struct{}{}
	return l, nil
}

// Accept waits for the next connection.
func (l *Listener) Accept() (net.Conn, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for {
		switch {
		case l.closed:
			return nil, failed("accept", net.ErrClosed)
		case past(l.deadline):
			return nil, failed("accept", os.ErrDeadlineExceeded)
		case len(l.queue) > 0 && !l.muted:
			c := l.queue[0]
			l.queue = l.queue[1:]
			return c, nil
		}
		wait(l.cond, l.deadline)
	}
}

// Close ends the listener; connections that nobody has accepted are reset.
func (l *Listener) Close() error {
	l.host.net.mu.Lock()
	if l.host.net.listeners[l.addr] == l {
		delete(l.host.net.listeners, l.addr)
	}
	l.host.net.mu.Unlock()
	l.host.mu.Lock()
	delete(l.host.listeners, l)
	l.host.mu.Unlock()
	l.mu.Lock()
	l.closed = true
	queue := l.queue
	l.queue = nil
	l.cond.Broadcast()
	l.mu.Unlock()
	for _, c := range queue {
		c.Reset()
	}
	return nil
}

// Addr is the address.
func (l *Listener) Addr() net.Addr { return addr(l.addr) }

// SetDeadline bounds Accept.
func (l *Listener) SetDeadline(t time.Time) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.deadline = t
	l.cond.Broadcast()
	return nil
}

// Mute lets no further connection come up, or again.
func (l *Listener) Mute(on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.muted = on
	l.cond.Broadcast()
}

// retransmit is how long after a connect that got no answer it is tried again, as TCP does at first.
const retransmit = time.Second

// Dial connects to an address.
func (h *Host) Dial(ctx context.Context, to string) (transport.Socket, error) {
	c, err := h.Connect(ctx, to)
	if err != nil {
		return nil, err
	}
	return c, nil
}

// Connect is Dial with the concrete type.
func (h *Host) Connect(ctx context.Context, to string) (*Conn, error) {
	for {
		if err := rest(ctx, h.net.delay(0)); err != nil {
			return nil, failed("dial", err)
		}
		h.net.mu.Lock()
		l := h.net.listeners[to]
		h.net.mu.Unlock()
		if l == nil {
			if err := rest(ctx, h.net.delay(0)); err != nil {
				return nil, failed("dial", err)
			}
			return nil, failed("dial", syscall.ECONNREFUSED)
		}
		near, far := pair(h, l.host, to)
		l.mu.Lock()
		switch {
		case l.closed:
			l.mu.Unlock()
			return nil, failed("dial", syscall.ECONNREFUSED)
		case l.muted:
			l.mu.Unlock()
			if err := rest(ctx, retransmit); err != nil {
				return nil, failed("dial", err)
			}
			continue
		}
		if !h.own(near) || !l.host.own(far) {
			l.mu.Unlock()
			return nil, failed("dial", syscall.ECONNREFUSED)
		}
		l.queue = append(l.queue, far)
		l.cond.Broadcast()
		l.mu.Unlock()
		if err := rest(ctx, h.net.delay(0)); err != nil {
			near.Reset()
			return nil, failed("dial", err)
		}
		return near, nil
	}
}
