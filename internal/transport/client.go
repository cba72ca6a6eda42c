package transport

import (
	"container/list"
	"errors"
	"net"
	"os"
	"sync/atomic"
	"time"
)

// Client is a client's connection. Its deadlines are set only through SetReadBounds, ClearReadBounds and Send.
type Client struct {
	deadlines
	OverLimit bool // over the connection limit: to be asked to retry later, not to be served

	listener      *Listener
	socket        Socket      // nil where the connection does not support Socket
	blockedInRead atomic.Bool // the serving goroutine is blocked in a read, so it holds no unprocessed bytes
	phase         Phase       // guarded by the listener's mutex, like the fields below
	phaseSince    time.Time
	phaseElement  *list.Element // position in the list of its phase, nil while PhaseBusy
	uncounted     bool          // no longer counted as open: it has been or is being evicted
}

// ConnectedAt returns the earliest time at which the client may have connected.
func (c *Client) ConnectedAt() time.Time { return c.connectedAt }

// RemoteAddr returns the client's address.
func (c *Client) RemoteAddr() net.Addr { return c.conn.RemoteAddr() }

// maxLateReads limits the extra reads for bytes that arrived before a deadline passed.
const maxLateReads = 3

// Read reads bytes that the client has sent. A deadline limits the wait for the client, not the reading of bytes that have
// arrived: a process that was scheduled late finds the deadline passed although the client sent its bytes in time.
func (c *Client) Read(b []byte) (n int, err error) {
	c.prepareRead()
	start := time.Now()
	c.blockedInRead.Store(true)
	n, err = c.conn.Read(b)
	c.blockedInRead.Store(false)
	for tries := 0; tries < maxLateReads && n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && Unread(c.conn) &&
		c.allowLateRead(); tries++ {
		n, err = c.conn.Read(b)
	}
	if n > 0 {
		c.recordRead(start)
	}
	return n, err
}

// AwaitInput waits for input or the end of the connection, as long as Read would. It returns nil where it cannot wait without
// reading.
func (c *Client) AwaitInput() error {
	if c.socket == nil {
		return nil
	}
	c.prepareRead()
	c.blockedInRead.Store(true)
	err := c.socket.Await()
	c.blockedInRead.Store(false)
	if errors.Is(err, os.ErrDeadlineExceeded) && Unread(c.conn) {
		return nil // Read decides whether it is too late
	}
	return err
}

// Send writes all buffers before the timeout or the end of the connection (but see BeginResponse), whichever is earlier. It returns an error if not
// all bytes could be written.
func (c *Client) Send(buffers net.Buffers, timeout time.Duration) error {
	c.prepareWrite(timeout)
	_, err := buffers.WriteTo(c.conn)
	if err == nil {
		c.recordSent()
	}
	return err
}

// LimitUnsent limits what the connection holds for a client that has not taken it yet. It is called before a long response, so
// that each Send ends in time for a client that reads slowly.
func (c *Client) LimitUnsent() {
	if c.socket != nil {
		limitUnsent(c.socket)
	}
}

// CloseWrite shuts down the sending side: the client reads EOF after everything that was sent. It returns
// errors.ErrUnsupported where the socket layer does not support that.
func (c *Client) CloseWrite() error {
	conn, ok := c.conn.(interface{ CloseWrite() error })
	if !ok {
		return errors.ErrUnsupported
	}
	return conn.CloseWrite()
}

// Close closes the connection.
func (c *Client) Close() error { return c.conn.Close() }

// Reset closes the connection with a TCP reset where the socket layer supports it. An orderly close would look like the end
// of a response without a length.
func (c *Client) Reset() {
	if conn, ok := c.conn.(interface{ SetLinger(seconds int) error }); ok {
		conn.SetLinger(0)
	}
	c.conn.Close()
}

// Quiet reports whether there is nothing unread on the connection. It returns false where that is unknown.
func (c *Client) Quiet() bool { return Quiet(c.conn) }

// Pending returns what is unread on the connection, without blocking.
func (c *Client) Pending() Pending {
	if c.socket == nil {
		return PendingUnknown
	}
	if s, ok := c.socket.(interface{ Pending() Pending }); ok {
		return s.Pending()
	}
	if c.socket.Quiet() {
		return PendingNone
	}
	err := c.socket.Await() // does not block, since there is something to read
	switch {
	case err == nil:
		return PendingBytes
	case errors.Is(err, os.ErrDeadlineExceeded):
		return PendingUnknown
	}
	return PendingEnd
}

// UnreadBytes returns how many bytes have arrived from the client and have not been read, and whether that is known.
func (c *Client) UnreadBytes() (unread int, known bool) {
	counter, ok := c.socket.(unreadCounter)
	if !ok {
		return 0, false
	}
	unread, err := counter.UnreadBytes()
	return unread, err == nil
}

// PeerClosed reports whether the client has closed or reset the connection, even if unread bytes precede that. It returns false
// where that is unknown, such as when more bytes precede the end than the system holds.
func (c *Client) PeerClosed() bool {
	detector, ok := c.socket.(closeDetector)
	return ok && detector.PeerClosed()
}

// Await blocks until there is something to read, without reading it. It returns an error if the connection has ended, its
// read deadline has passed, or the socket layer does not support this wait (errors.ErrUnsupported).
func (c *Client) Await() error {
	if c.socket == nil {
		return errors.ErrUnsupported
	}
	c.prepareRead()
	return c.socket.Await()
}

// idle reports whether no call can be in progress on the connection. Unread bytes count as a call: when CPU time is scarce,
// a call can wait in the kernel for longer than any grace period, and closing would reset its connection.
func (c *Client) idle() bool { return c.blockedInRead.Load() && Quiet(c.conn) }

// inactiveSince returns when the connection last made progress. The caller holds the listener's mutex.
func (c *Client) inactiveSince() time.Time {
	if c.phase == PhaseReading {
		return Latest(c.phaseSince, c.LastByte())
	}
	return c.phaseSince
}

// Enter moves the connection to a phase.
func (c *Client) Enter(phase Phase) {
	l := c.listener
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leavePhase(c)
	c.phase, c.phaseSince = phase, time.Now()
	if phase != PhaseBusy {
		c.phaseElement = l.byPhase[phase].PushBack(c)
	}
}

// Evicted reports whether the connection is to be closed, without a call, to make room for another.
func (c *Client) Evicted() bool {
	l := c.listener
	l.mu.Lock()
	defer l.mu.Unlock()
	return c.uncounted && (c.phase == PhaseNew || c.phase == PhaseIdle)
}

// NearLimit reports whether too many connections are busy, reading or idle to keep this one alive after its response. New and
// lingering connections do not count: they are closed soon in any case.
func (c *Client) NearLimit() bool {
	l := c.listener
	l.mu.Lock()
	defer l.mu.Unlock()
	return float64(l.openCount-l.byPhase[PhaseNew].Len()-l.byPhase[PhaseLingering].Len()) > nearLimitShare*float64(l.limit)
}

// AtLimit reports whether there is no place for a further connection.
func (c *Client) AtLimit() bool {
	l := c.listener
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.openCount >= l.limit
}

// Replaced reports whether another connection has this one's place.
func (c *Client) Replaced() bool {
	l := c.listener
	l.mu.Lock()
	defer l.mu.Unlock()
	return c.uncounted
}

// DescriptorNeeded reports whether the connection's descriptor is needed for another connection.
func (c *Client) DescriptorNeeded() bool {
	l := c.listener
	l.mu.Lock()
	defer l.mu.Unlock()
	return c.OverLimit || c.uncounted
}
