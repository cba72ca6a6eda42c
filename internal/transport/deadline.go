package transport

import (
	"net"
	"sync"
	"time"
)

// ReadBounds limits the reads of one stage of a client's connection. Both limits apply at once: StallTimeout detects a client that has
// stopped sending, Until one that sends too slowly.
type ReadBounds struct {
	StallTimeout    time.Duration // the longest time since the client's last byte; 0 for no limit
	Until           time.Time     // the end of the stage, whatever arrives; the zero time for no limit
	NoRequest       bool          // no byte of a request has arrived, so no response is due if the wait is interrupted
	RequestAccepted bool          // the request has been handed over, so only its own deadline ends it
}

// deadlines is the only owner of the deadlines of a client's connection. Readers and writers state the limits that they
// want; the earliest of all limits becomes the socket's deadline. The end of the process is one of them, and no stage can
// postpone it.
//
// All limits are kept on the monotonic clock. A deadlines is safe for concurrent use.
type deadlines struct {
	conn        net.Conn
	connectedAt time.Time // the earliest time at which the client may have connected

	mu            sync.Mutex
	lastRead      time.Time // when bytes last arrived, the zero time before the first
	bounds        ReadBounds
	suspended     bool      // no bytes are expected from the client while its request is open
	interrupted   bool      // reads fail until the next stage
	idleEnded     bool      // no further waits for a next request
	end           time.Time // of the connection, with the process; zero while unknown
	progressAt    time.Time // when part of a response was last sent; zero while no response is being passed on
	readDeadline  time.Time // as set on the socket
	writeDeadline time.Time // as set on the socket
}

// expiredDeadline is a deadline in the past.
var expiredDeadline = time.Unix(1, 0)

// SetReadBounds starts a stage: the reads that follow are subject to its limits.
func (d *deadlines) SetReadBounds(bounds ReadBounds) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.bounds, d.suspended, d.interrupted = bounds, false, false
}

// ClearReadBounds removes the limits of the stage while no bytes are expected from the client.
func (d *deadlines) ClearReadBounds() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.bounds, d.suspended, d.interrupted = ReadBounds{}, true, false
}

// InterruptRead interrupts the current read or wait, if any, and all further ones until the next stage.
func (d *deadlines) InterruptRead() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.interrupted = true
	d.applyReadDeadline()
}

// EndIdleWaits interrupts the current wait unless a request of the client has been accepted, and all further waits for a next
// request. Bytes that have arrived are still read.
func (d *deadlines) EndIdleWaits() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.idleEnded = true
	if !d.suspended && !d.bounds.RequestAccepted {
		d.interrupted = true
	}
	d.applyReadDeadline()
}

// EndBy limits all reads and writes on this connection but those of a response that is being passed on. A limit later than the one
// already set has no effect.
func (d *deadlines) EndBy(end time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.end.IsZero() && !end.Before(d.end) {
		return
	}
	d.end = end
	d.applyReadDeadline()
	if d.progressAt.IsZero() && d.writeDeadline.After(end) {
		d.writeDeadline = end
		d.conn.SetWriteDeadline(end)
	}
}

// BeginResponse says that a response is being passed on, piece by piece, until EndResponse. Its writes are not subject to EndBy:
// Listener.EndStalled ends those that make no progress.
func (d *deadlines) BeginResponse() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.progressAt = time.Now()
}

// EndResponse says that no response is being passed on any more.
func (d *deadlines) EndResponse() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.progressAt = time.Time{}
}

// recordSent records that a piece has been sent.
func (d *deadlines) recordSent() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.progressAt.IsZero() {
		d.progressAt = time.Now()
	}
}

// responseProgress returns when part of the current response was last sent, and whether there is one.
func (d *deadlines) responseProgress() (time.Time, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.progressAt, !d.progressAt.IsZero()
}

// End returns the limit set by EndBy, the zero time if there is none.
func (d *deadlines) End() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.end
}

// effectiveReadDeadline returns the earliest limit of the current wait. The caller holds d.mu.
func (d *deadlines) effectiveReadDeadline() time.Time {
	if d.interrupted || d.idleEnded && d.bounds.NoRequest {
		return expiredDeadline
	}
	deadline := d.bounds.Until
	if d.bounds.StallTimeout > 0 {
		deadline = earlier(deadline, d.lastByteLocked().Add(d.bounds.StallTimeout))
	}
	return earlier(deadline, d.end)
}

// applyReadDeadline sets the socket's read deadline. The caller holds d.mu.
func (d *deadlines) applyReadDeadline() {
	if deadline := d.effectiveReadDeadline(); !deadline.Equal(d.readDeadline) {
		d.readDeadline = deadline
		d.conn.SetReadDeadline(deadline)
	}
}

// prepareRead sets the deadline for a read or a wait.
func (d *deadlines) prepareRead() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.applyReadDeadline()
}

// allowLateRead permits a read after its deadline, unless the end of the connection has passed. It reports whether it did.
func (d *deadlines) allowLateRead() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.end.IsZero() && !time.Now().Before(d.end) {
		return false
	}
	d.readDeadline = time.Time{}
	d.conn.SetReadDeadline(time.Time{})
	return true
}

// prepareWrite sets the deadline for a write.
func (d *deadlines) prepareWrite(timeout time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.writeDeadline = time.Now().Add(timeout)
	if d.progressAt.IsZero() {
		d.writeDeadline = earlier(d.writeDeadline, d.end)
	}
	d.conn.SetWriteDeadline(d.writeDeadline)
}

// recordRead records that a read which started at start has returned bytes. If the first read returned immediately, its
// bytes may have arrived as early as the client connected.
func (d *deadlines) recordRead(start time.Time) {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.lastRead.IsZero() && now.Sub(start) < immediateReturn {
		now = d.connectedAt
	}
	d.lastRead = now
}

// LastByte returns when bytes last arrived from the client, or when it connected if none have.
func (d *deadlines) LastByte() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.lastByteLocked()
}

// lastByteLocked is LastByte for callers that hold d.mu.
func (d *deadlines) lastByteLocked() time.Time {
	if d.lastRead.IsZero() {
		return d.connectedAt
	}
	return d.lastRead
}

// earlier returns the earlier of two times; the zero time means none.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

// setAcceptTimeout limits the wait of a listener's Accept. It returns false where the socket layer does not support that.
func setAcceptTimeout(listener net.Listener, timeout time.Duration) bool {
	l, ok := listener.(interface{ SetDeadline(time.Time) error })
	return ok && l.SetDeadline(time.Now().Add(timeout)) == nil
}

// Latest returns the later of two times.
func Latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
