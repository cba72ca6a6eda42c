package transport

import (
	"container/list"
	"errors"
	"net"
	"os"
	"sync/atomic"
	"time"
)

// Client is a client's connection. Its deadlines are set through Receive, Hold and Send alone.
type Client struct {
	deadlines
	Crowded bool // beyond the limit: to be told to come back, not to be served

	listener  *Listener
	socket    Socket      // the connection as one that can be asked; nil where it cannot
	waiting   atomic.Bool // its goroutine waits for bytes, so that it holds none that it has not dealt with
	phase     Phase       // guarded by the listener's mutex, like all below
	since     time.Time
	place     *list.Element // in the phase's list, nil while Busy
	evicted   bool          // closed to make room
	uncounted bool          // no longer counted as open: it has made room, or is about to
}

// Begun is when the client connected, as early as that may have been.
func (c *Client) Begun() time.Time { return c.begun }

// maxLateReads bounds the reads of what had come before a deadline passed.
const maxLateReads = 3

// Read reads what the client has sent. A deadline ends a wait for the client, not the reading of what is there already: a
// process that is late finds the one passed and the other come, and the client has done its part.
func (c *Client) Read(b []byte) (n int, err error) {
	c.beforeRead()
	asked := time.Now()
	c.waiting.Store(true)
	n, err = c.conn.Read(b)
	c.waiting.Store(false)
	for tries := 0; tries < maxLateReads && n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && Unread(c.conn) && c.takeLate(); tries++ {
		n, err = c.conn.Read(b)
	}
	if n > 0 {
		c.hear(asked)
	}
	return n, err
}

// Send writes all of out, each within the given time or up to the connection's end. It returns an error where not all of it
// could be written.
func (c *Client) Send(out net.Buffers, within time.Duration) error {
	c.beforeWrite(within)
	_, err := out.WriteTo(c.conn)
	return err
}

// CloseWrite ends the sending: the client sees an end behind all that was sent. It returns errors.ErrUnsupported where the
// socket layer cannot do so.
func (c *Client) CloseWrite() error {
	half, ok := c.conn.(interface{ CloseWrite() error })
	if !ok {
		return errors.ErrUnsupported
	}
	return half.CloseWrite()
}

// Close closes the connection.
func (c *Client) Close() error { return c.conn.Close() }

// Reset closes the connection so that the client sees a reset, where the socket layer can do so: a plain end would look like
// the end of an answer that has no length.
func (c *Client) Reset() {
	if lingering, ok := c.conn.(interface{ SetLinger(seconds int) error }); ok {
		lingering.SetLinger(0)
	}
	c.conn.Close()
}

// Quiet tells that nothing has come that has not been read. Where that cannot be told it returns false.
func (c *Client) Quiet() bool { return Quiet(c.conn) }

// Pending looks at the connection without waiting.
func (c *Client) Pending() Pending {
	if c.socket == nil {
		return Unknown
	}
	if s, ok := c.socket.(interface{ Pending() Pending }); ok {
		return s.Pending()
	}
	if c.socket.Quiet() {
		return Nothing
	}
	err := c.socket.Await() // does not wait, since there is something
	switch {
	case err == nil:
		return Bytes
	case errors.Is(err, os.ErrDeadlineExceeded):
		return Unknown
	}
	return End
}

// Await waits until there is something to read and reads nothing. It returns an error where the connection has ended,
// its read deadline has passed, or the socket layer cannot wait so (errors.ErrUnsupported).
func (c *Client) Await() error {
	if c.socket == nil {
		return errors.ErrUnsupported
	}
	c.beforeRead()
	return c.socket.Await()
}

// idle tells that no call can be under way in a connection. What has come and not been read counts as one: where the
// processor is short, a call waits in the kernel for longer than any grace, and a close would reset its connection.
func (c *Client) idle() bool { return c.waiting.Load() && Quiet(c.conn) }

// quietSince is since when a connection has given no sign of going on. It is called under the lock.
func (c *Client) quietSince() time.Time {
	if c.phase == Reading {
		return Latest(c.since, c.LastByte())
	}
	return c.since
}

// Enter begins a phase of the connection. It returns false where the connection has been closed to make room.
func (c *Client) Enter(phase Phase) bool {
	l := c.listener
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.evicted {
		return false
	}
	l.leave(c)
	c.phase, c.since = phase, time.Now()
	if phase != Busy {
		c.place = l.phases[phase].PushBack(c)
	}
	return true
}

// Tight tells that so many connections are in use or between two calls that a client had better not keep its
// own after an answer. Those that are silent or lingering are left out: they are closed soon, whatever others do.
func (c *Client) Tight() bool {
	l := c.listener
	l.mu.Lock()
	defer l.mu.Unlock()
	return float64(l.open-l.phases[Silent].Len()-l.phases[Lingering].Len()) > tightShare*float64(l.limit)
}

// Pressed tells that the connection's descriptor is wanted for another.
func (c *Client) Pressed() bool {
	l := c.listener
	l.mu.Lock()
	defer l.mu.Unlock()
	return c.Crowded || c.uncounted
}
