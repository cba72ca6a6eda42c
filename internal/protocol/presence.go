package protocol

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"sync"
	"time"

	"burlpass/internal/transport"
)

// Bounds of what is read of a client that sends on while a request of its is open.
const (
	maxAhead  = 64 << 10 // bytes held, to be read as further requests: as many as of one body
	maxDrop   = MaxBody  // bytes read and dropped beyond that; a client that sends still more is given up
	dropPiece = 16 << 10 // bytes dropped at a time
	maxSteps  = 64       // reads of one look, so that a client which never stops sending holds nobody up
)

// errFlood says that a client has sent more than maxDrop bytes that nobody asked for.
var errFlood = errors.New("too much sent ahead")

// source is what the buffer of a client's connection reads from.
type source struct {
	conn  *transport.Client
	again []byte // read into a smaller buffer before, and given out again first
	cut   bool   // too much has come ahead: what is not held yet is never read as a request

	total    int64     // bytes read from the connection
	arrivals []arrival // when those came that may still be asked about, in their order
}

// arrival says when the bytes of a connection up to a place had come.
type arrival struct {
	upTo int64
	at   time.Time
}

// maxArrivals bounds what is remembered of arrivals; beyond it two count as one, with the earlier time.
const maxArrivals = 32

// Read reads from the connection. After a cut it returns io.EOF.
func (s *source) Read(b []byte) (int, error) {
	if len(s.again) > 0 {
		n := copy(b, s.again)
		s.again = s.again[n:]
		return n, nil
	}
	if s.cut {
		return 0, io.EOF
	}
	n, err := s.conn.Read(b)
	if n > 0 {
		s.total += int64(n)
		if len(s.arrivals) == maxArrivals {
			s.arrivals[maxArrivals-1].upTo = s.total
		} else {
			s.arrivals = append(s.arrivals, arrival{s.total, s.conn.LastByte()})
		}
	}
	return n, err
}

// arrived is when the byte had come that was taken last from r, which reads from s: the last one of the request at hand,
// once that has been read. What came before it is forgotten.
func (s *source) arrived(r *bufio.Reader) time.Time {
	taken := s.total - int64(len(s.again)) - int64(r.Buffered())
	for len(s.arrivals) > 1 && s.arrivals[0].upTo < taken {
		s.arrivals = append(s.arrivals[:0], s.arrivals[1:]...)
	}
	if len(s.arrivals) == 0 {
		return time.Now()
	}
	return s.arrivals[0].at
}

// presence tells whether a client is still there while a request of its is open. The end of a client that has sent on
// lies behind what it has sent, so that is read ahead: first into the connection's buffer, then into one of maxAhead
// bytes. What comes after those is read and dropped, and the connection ends after the requests that are held. This
// needs nothing of the socket layer but reading; the kernel could be asked for the connection's state instead, but it
// does not know of an end behind more bytes than it takes itself, and not every socket layer answers that.
type presence struct {
	client  *client
	left    chan struct{} // closed once the client has left
	done    chan struct{} // closed when the request has its answer
	watched chan struct{} // closed when the watching has ended

	mu      sync.Mutex // guards what follows, and the connection's buffer while the request is open
	reads   bool       // the request's message has been read whole: what comes after it may be read ahead
	over    bool       // the request has its answer: the buffer belongs to the connection's own goroutine again
	gone    bool       // left is closed
	dropped int64      // bytes
}

// presence returns the client's presence, which nothing watches yet.
func (c *client) presence() *presence {
	return &presence{client: c, reads: c.upload == nil, left: make(chan struct{}), done: make(chan struct{}), watched: make(chan struct{})}
}

// here looks at the connection and tells that the client had not left when asked. It does not wait for the client, and
// may be called from any goroutine.
func (p *presence) here() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for range maxSteps {
		if p.over || p.gone {
			return false
		}
		switch p.client.Pending() {
		case transport.End:
			p.leave()
		case transport.Bytes:
			if !p.reads { // they belong to the request's own message, and its reader sees what is behind them
				return true
			}
			if err := p.client.readAhead(&p.dropped); err != nil && !isTimeout(err) {
				p.leave()
			}
		default:
			return true
		}
	}
	return !p.gone
}

// leave is called under the lock.
func (p *presence) leave() {
	if !p.over && !p.gone {
		p.gone = true
		close(p.left)
	}
}

// watch looks whenever something comes from the client, until end.
func (p *presence) watch() {
	defer close(p.watched)
	if u := p.client.upload; u != nil {
		whole, err := u.await(p.done)
		p.mu.Lock()
		if err != nil {
			p.leave()
		}
		p.reads = whole
		p.mu.Unlock()
		if !whole {
			return
		}
	}
	for {
		err := p.client.Await()
		switch {
		case err != nil && (isTimeout(err) || errors.Is(err, errors.ErrUnsupported)):
			return
		case err != nil:
			p.mu.Lock()
			p.leave()
			p.mu.Unlock()
			return
		}
		if !p.here() {
			return
		}
	}
}

// hasLeft tells that the client has been seen to leave.
func (p *presence) hasLeft() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.gone
}

// end ends the watching, and returns when nobody but the caller reads from the connection.
func (p *presence) end() {
	p.mu.Lock()
	p.over = true
	p.mu.Unlock()
	close(p.done)
	p.client.Wake()
	<-p.watched
}

// readAhead reads of what the client has sent after a request that is still open. It is called where bytes lie unread.
func (c *client) readAhead(dropped *int64) error {
	if c.in.cut {
		n, err := c.Client.Read(make([]byte, dropPiece))
		if *dropped += int64(n); *dropped > maxDrop {
			return errFlood
		}
		return err
	}
	_, err := c.r.Peek(c.r.Buffered() + 1)
	switch {
	case !errors.Is(err, bufio.ErrBufferFull):
		return err
	case c.r.Size() < maxAhead:
		c.widen()
	default:
		c.in.cut = true
	}
	return nil
}

// widen gives the connection a buffer for more requests that have come ahead.
func (c *client) widen() {
	held, _ := c.r.Peek(c.r.Buffered())
	c.in.again = bytes.Clone(held)
	c.r = bufio.NewReaderSize(&c.in, maxAhead)
	c.r.Peek(1) // takes all of them over
}

// narrow goes back to the buffer that the connection has had from its begin, once the wider one is empty.
func (c *client) narrow() {
	if c.r != c.small && c.r.Buffered() == 0 {
		c.small.Reset(&c.in)
		c.r = c.small
	}
}
