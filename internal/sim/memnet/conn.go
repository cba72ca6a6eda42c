package memnet

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

type segment struct {
	at   time.Time
	data []byte
}

// half is one direction of a connection.
type half struct {
	mu      sync.Mutex
	cond    *sync.Cond
	queue   []segment
	size    int       // bytes written and not read
	last    time.Time // when the latest segment arrives: order is kept
	end     time.Time // when the writer's end arrives, zero where it has not ended
	broken  time.Time // when a reset arrives, zero where there is none
	deaf    bool      // the reader has closed: what comes is answered with a reset
	readBy  time.Time // deadlines
	writeBy time.Time
	ended   bool // the writer has ended
}

func newHalf() *half {
	h := &half{}
	h.cond = sync.NewCond(&h.mu)
	return h
}

// state is what a reader meets now: bytes (nil), an end, a reset, a deadline, or nothing yet (errQuiet).
func (h *half) state() error {
	switch {
	case h.deaf:
		return net.ErrClosed
	case !h.broken.IsZero() && past(h.broken):
		return syscall.ECONNRESET
	case past(h.readBy):
		return os.ErrDeadlineExceeded
	case len(h.queue) > 0 && past(h.queue[0].at):
		return nil
	case len(h.queue) == 0 && !h.end.IsZero() && past(h.end):
		return io.EOF
	}
	return errQuiet
}

var errQuiet = errors.New("nothing yet")

// await waits until a reader meets something.
func (h *half) await() error {
	for {
		err := h.state()
		if err != errQuiet {
			return err
		}
		next := h.end
		if len(h.queue) > 0 {
			next = h.queue[0].at
		}
		wait(h.cond, next, h.broken, h.readBy)
	}
}

// Conn is one side of a connection.
type Conn struct {
	host   *Host
	in     *half // what comes
	out    *half // what goes
	local  addr
	remote addr
	once   sync.Once
}

func pair(from, to *Host, at string) (near, far *Conn) {
	a, b := newHalf(), newHalf()
	near = &Conn{host: from, in: a, out: b, local: "127.0.0.1:0", remote: addr(at)}
	far = &Conn{host: to, in: b, out: a, local: addr(at), remote: "127.0.0.1:0"}
	return near, far
}

// Read reads what has arrived.
func (c *Conn) Read(p []byte) (int, error) {
	h := c.in
	h.mu.Lock()
	defer h.mu.Unlock()
	if err := h.await(); err != nil {
		if err == io.EOF {
			return 0, err
		}
		return 0, failed("read", err)
	}
	n := copy(p, h.queue[0].data)
	if h.queue[0].data = h.queue[0].data[n:]; len(h.queue[0].data) == 0 {
		h.queue = h.queue[1:]
	}
	h.size -= n
	h.cond.Broadcast()
	return n, nil
}

// Quiet tells that nothing has come that has not been read.
func (c *Conn) Quiet() bool {
	c.in.mu.Lock()
	defer c.in.mu.Unlock()
	err := c.in.state()
	return err == errQuiet || err == os.ErrDeadlineExceeded && len(c.in.queue) == 0 && c.in.end.IsZero()
}

// Readable tells that there are bytes to read.
func (c *Conn) Readable() bool {
	c.in.mu.Lock()
	defer c.in.mu.Unlock()
	return len(c.in.queue) > 0 && past(c.in.queue[0].at)
}

// Unread is how many of the bytes sent the other side has not read; once it has ended, it never will.
func (c *Conn) Unread() int {
	c.out.mu.Lock()
	defer c.out.mu.Unlock()
	return c.out.size
}

// Await waits until there is something to read, and reads nothing.
func (c *Conn) Await() error {
	c.in.mu.Lock()
	defer c.in.mu.Unlock()
	if err := c.in.await(); err != nil && err != io.EOF {
		return failed("read", err)
	} else {
		return err
	}
}

// mostParts bounds the segments that one write is cut into.
const mostParts = 6

// Write sends bytes in segments; it blocks while the other side's buffer is full.
func (c *Conn) Write(p []byte) (int, error) {
	written := 0
	for parts := 0; len(p) > 0; parts++ {
		n := len(p)
		for n > 1 && parts < mostParts && c.host.net.float() < c.host.net.config.Split {
			n = 1 + int(c.host.net.float()*float64(n-1))
		}
		sent, err := c.send(p[:n])
		written += sent
		if err != nil {
			return written, failed("write", err)
		}
		p = p[n:]
	}
	return written, nil
}

func (c *Conn) send(p []byte) (int, error) {
	h := c.out
	delay := c.host.net.delay(len(p))
	h.mu.Lock()
	for h.size >= c.host.net.config.Buffer && !h.ended && !h.deaf && h.broken.IsZero() && !past(h.writeBy) {
		wait(h.cond, h.writeBy)
	}
	switch {
	case h.ended:
		h.mu.Unlock()
		return 0, net.ErrClosed
	case !h.broken.IsZero():
		h.mu.Unlock()
		return 0, syscall.EPIPE
	case past(h.writeBy):
		h.mu.Unlock()
		return 0, os.ErrDeadlineExceeded
	case h.deaf: // the bytes go out, and a reset comes back
		h.broken = time.Now()
		h.size += len(p)
		h.mu.Unlock()
		c.in.reset(delay + c.host.net.delay(0))
		return len(p), nil
	}
	at := time.Now().Add(delay)
	if at.Before(h.last) {
		at = h.last
	}
	h.last = at
	h.queue = append(h.queue, segment{at, append([]byte(nil), p...)})
	h.size += len(p)
	h.cond.Broadcast()
	h.mu.Unlock()
	return len(p), nil
}

// reset makes a reset arrive after a time; what has not been read by then is dropped.
func (h *half) reset(after time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.broken.IsZero() {
		h.broken = time.Now().Add(after)
	}
	h.cond.Broadcast()
}

// CloseWrite ends what goes; what comes can still be read.
func (c *Conn) CloseWrite() error {
	h := c.out
	delay := c.host.net.delay(0)
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.ended {
		h.ended = true
		h.end = time.Now().Add(delay)
		if h.end.Before(h.last) {
			h.end = h.last
		}
	}
	h.cond.Broadcast()
	return nil
}

// Close ends both directions. Bytes that came and were not read turn the end into a reset, as TCP does.
func (c *Conn) Close() error {
	err := net.ErrClosed
	c.once.Do(func() {
		err = nil
		c.host.mu.Lock()
		delete(c.host.conns, c)
		c.host.mu.Unlock()
		c.in.mu.Lock()
		unread := len(c.in.queue) > 0
		c.in.deaf = true
		c.in.cond.Broadcast()
		c.in.mu.Unlock()
		if unread {
			c.breakOut()
			return
		}
		c.CloseWrite()
	})
	return err
}

// breakOut resets what goes.
func (c *Conn) breakOut() {
	delay := c.host.net.delay(0)
	c.out.reset(delay)
	c.out.mu.Lock()
	c.out.ended = true
	c.out.mu.Unlock()
}

// Reset ends the connection so that the other side sees a reset, which drops what it has not read.
func (c *Conn) Reset() {
	c.once.Do(func() {
		c.host.mu.Lock()
		delete(c.host.conns, c)
		c.host.mu.Unlock()
		c.in.mu.Lock()
		c.in.deaf = true
		c.in.cond.Broadcast()
		c.in.mu.Unlock()
		c.breakOut()
	})
}

// LocalAddr and RemoteAddr name the sides; only what was dialled has a name of its own.
func (c *Conn) LocalAddr() net.Addr { return c.local }

// RemoteAddr implements net.Conn.
func (c *Conn) RemoteAddr() net.Addr { return c.remote }

// SetDeadline sets both deadlines.
func (c *Conn) SetDeadline(t time.Time) error {
	c.SetWriteDeadline(t)
	return c.SetReadDeadline(t)
}

// SetReadDeadline bounds reads and Await.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.in.mu.Lock()
	defer c.in.mu.Unlock()
	c.in.readBy = t
	c.in.cond.Broadcast()
	return nil
}

// SetWriteDeadline bounds writes.
func (c *Conn) SetWriteDeadline(t time.Time) error {
	c.out.mu.Lock()
	defer c.out.mu.Unlock()
	c.out.writeBy = t
	c.out.cond.Broadcast()
	return nil
}
