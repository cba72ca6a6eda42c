package virtual

import (
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

// piece is some bytes under way, or the end of them.
type piece struct {
	due  time.Time
	data []byte
	end  error // io.EOF, or that of a reset
}

// half is one direction of a connection. Its fields are guarded by the network's lock.
type half struct {
	n        *network
	cond     *sync.Cond
	lane     *lane
	from, to *host
	queue    []piece
	size     int
	last     time.Time // when the latest piece is there: order is kept
	readBy   time.Time
	writeBy  time.Time
	over     bool // the writer has ended it
	deaf     bool // the reader has ended
	broken   bool // a reset has come

	serial int   // of the lane's fault that the counts belong to
	passed int64 // bytes since it was set
	spoil  int64 // bytes until the next one is spoilt
}

func newHalf(n *network, l *lane, from, to *host) *half {
	return &half{n: n, cond: sync.NewCond(&n.mu), lane: l, from: from, to: to, serial: -1}
}

func (h *half) wake() { h.cond.Broadcast() }

// passes tells whether what is under way gets on.
func (h *half) passes() bool { return !h.lane.fault.Cut && !h.to.still && !h.from.dark && !h.to.dark }

// head is the first piece, where it is there.
func (h *half) head() *piece {
	if len(h.queue) == 0 || !h.passes() || !past(h.queue[0].due) {
		return nil
	}
	return &h.queue[0]
}

// read is called under the lock.
func (h *half) read(p []byte) (int, error) {
	for {
		first := h.head()
		switch {
		case h.deaf:
			return 0, net.ErrClosed
		case h.broken:
			return 0, syscall.ECONNRESET
		case past(h.readBy):
			return 0, deadline
		case first != nil && first.end == io.EOF:
			return 0, io.EOF
		case first != nil && first.end != nil:
			h.broken = true
			continue
		case first != nil && len(p) == 0:
			return 0, nil
		case first != nil:
			n := copy(p, first.data)
			if first.data = first.data[n:]; len(first.data) == 0 {
				h.queue = h.queue[1:]
			}
			h.size -= n
			h.wake()
			return n, nil
		}
		var next time.Time
		if len(h.queue) > 0 && h.passes() {
			next = h.queue[0].due
		}
		await(h.cond, next, h.readBy)
	}
}

// put sends one piece on its way. It is called under the lock.
func (h *half) put(data []byte, end error) {
	f := h.lane.fault
	due := time.Now().Add(wayTime + time.Duration(h.n.rnd.Int64N(int64(wayJitter))) + f.Delay)
	if f.Jitter > 0 {
		due = due.Add(time.Duration(h.n.rnd.Int64N(int64(f.Jitter))))
	}
	if due.Before(h.last) {
		due = h.last
	}
	if f.Rate > 0 {
		due = due.Add(time.Duration(len(data)) * time.Second / time.Duration(f.Rate))
	}
	h.last = due
	h.queue = append(h.queue, piece{due, data, end})
	h.size += len(data)
	h.wake()
}

// mostPiece is how much is sent at a time, so that a slow lane trickles.
const mostPiece = 4 << 10

// write is called under the lock. broken tells that the other side has reset the connection.
func (h *half) write(p []byte, broken func() bool) (int, error) {
	sent := 0
	for sent < len(p) {
		switch {
		case h.over:
			return sent, net.ErrClosed
		case broken():
			return sent, syscall.EPIPE
		case past(h.writeBy):
			return sent, deadline
		case h.from.still || h.size >= buffer:
			await(h.cond, h.writeBy)
			continue
		case h.deaf && h.passes(): // it goes out, and a reset comes back
			return len(p), errDeaf
		}
		part := append([]byte(nil), p[sent:min(len(p), sent+mostPiece)]...)
		if h.serial != h.lane.serial {
			h.serial, h.passed, h.spoil = h.lane.serial, 0, 0
		}
		if at := h.lane.fault.ResetAfter; at > 0 && h.passed+int64(len(part)) >= at {
			h.put(part[:max(0, at-h.passed)], nil)
			return sent, errCutShort
		}
		h.spoilt(part)
		h.passed += int64(len(part))
		h.put(part, nil)
		sent += len(part)
	}
	return sent, nil
}

// spoilt turns bits of data, one in every so many bytes.
func (h *half) spoilt(data []byte) {
	every := h.lane.fault.SpoilEvery
	if every <= 0 {
		return
	}
	for at := int64(0); ; {
		if h.spoil == 0 {
			h.spoil = 1 + h.n.rnd.Int64N(2*every)
		}
		if at+h.spoil > int64(len(data)) {
			h.spoil -= int64(len(data)) - at
			return
		}
		at += h.spoil
		h.spoil = 0
		data[at-1] ^= 1 << h.n.rnd.IntN(8)
	}
}

type wireError string

func (e wireError) Error() string { return string(e) }

const (
	errDeaf     = wireError("nobody reads")
	errCutShort = wireError("reset by the wire")
)

// conn is one end of a connection.
type conn struct {
	host    *host
	peer    *conn
	in, out *half
	local   addr
	remote  addr
	closed  bool
}

// Read reads what has come.
func (c *conn) Read(p []byte) (int, error) {
	c.host.n.mu.Lock()
	defer c.host.n.mu.Unlock()
	n, err := c.in.read(p)
	if err != nil && err != io.EOF {
		err = opError("read", err)
	}
	return n, err
}

// Write sends bytes; it waits while too many are under way.
func (c *conn) Write(p []byte) (int, error) {
	c.host.n.mu.Lock()
	defer c.host.n.mu.Unlock()
	n, err := c.out.write(p, func() bool { return c.in.broken })
	switch err {
	case nil:
		return n, nil
	case errDeaf:
		c.in.broken = true
		c.in.wake()
		return n, nil
	case errCutShort:
		c.out.put(nil, syscall.ECONNRESET)
		c.in.put(nil, syscall.ECONNRESET)
		c.out.over = true
		return len(p), nil
	}
	return n, opError("write", err)
}

// Quiet tells that nothing has come that was not read.
func (c *conn) Quiet() bool {
	c.host.n.mu.Lock()
	defer c.host.n.mu.Unlock()
	return !c.in.deaf && !c.in.broken && c.in.head() == nil
}

// Close ends both directions: in order, or by a reset where there are bytes that were not read.
func (c *conn) Close() error {
	c.host.n.mu.Lock()
	defer c.host.n.mu.Unlock()
	if c.closed {
		return net.ErrClosed
	}
	c.end(io.EOF)
	return nil
}

// reset ends the connection, and the other side hears of a reset. It is called under the lock.
func (c *conn) reset() {
	if !c.closed {
		c.end(syscall.ECONNRESET)
	}
}

// end is called under the lock.
func (c *conn) end(how error) {
	c.closed = true
	if first := c.in.head(); first != nil && first.end == nil {
		how = syscall.ECONNRESET
	}
	c.in.deaf = true
	c.in.wake()
	c.out.over = true
	c.out.wake()
	if how != io.EOF {
		c.out.queue = nil
	}
	c.out.put(nil, how)
	delete(c.host.conns, c)
	if c.peer.closed {
		w := c.host.n.wire(c.host.name, c.peer.host.name)
		delete(w.conns, c)
		w = c.host.n.wire(c.peer.host.name, c.host.name)
		delete(w.conns, c.peer)
	}
}

// CloseWrite ends what goes; what comes can still be read.
func (c *conn) CloseWrite() error {
	c.host.n.mu.Lock()
	defer c.host.n.mu.Unlock()
	if !c.out.over {
		c.out.over = true
		c.out.put(nil, io.EOF)
	}
	return nil
}

func (c *conn) LocalAddr() net.Addr  { return c.local }
func (c *conn) RemoteAddr() net.Addr { return c.remote }

// SetDeadline sets both deadlines.
func (c *conn) SetDeadline(t time.Time) error {
	_ = c.SetWriteDeadline(t)
	return c.SetReadDeadline(t)
}

// SetReadDeadline bounds reads.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.host.n.mu.Lock()
	defer c.host.n.mu.Unlock()
	c.in.readBy = t
	c.in.wake()
	return nil
}

// SetWriteDeadline bounds writes.
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.host.n.mu.Lock()
	defer c.host.n.mu.Unlock()
	c.out.writeBy = t
	c.out.wake()
	return nil
}
