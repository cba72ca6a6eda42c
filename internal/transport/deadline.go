package transport

import (
	"net"
	"sync"
	"time"
)

// Stage says what a client has to send next and by when. Both bounds hold at once: a client that stops is noticed by the
// time since its last byte, one that goes on too slowly by the end of the stage.
type Stage struct {
	Stall  time.Duration // the longest time since the client's last byte; 0 for no such bound
	Until  time.Time     // the stage's end, however much comes; the zero time for none
	AtRest bool          // nothing of a request has come yet, so that nothing is owed where the wait is ended
	Taken  bool          // the request has been handed over already, so that only its own time ends it
}

// deadlines is the one owner of the deadlines of a client's connection. Whoever reads or writes says what bound it wants;
// the earliest of all bounds is the socket's. The end of the process is one of them, and no stage can put it off.
//
// All bounds are kept on the monotonic clock. A deadlines is safe for concurrent use.
type deadlines struct {
	conn  net.Conn
	begun time.Time // when the client connected, as early as that may have been

	mu        sync.Mutex
	heard     time.Time // when the last bytes came, the zero time where none have
	stage     Stage
	held      bool      // nothing is awaited from the client: a request of its is open
	woken     bool      // the wait at hand has been ended, up to the next stage
	restEnded bool      // no further wait at rest
	end       time.Time // of the process; zero while it is not known
	readBy    time.Time // what the socket has
	writeBy   time.Time // what the socket has
}

// longPast is a deadline that has passed.
var longPast = time.Unix(1, 0)

// Receive begins a stage: the reads that follow are bound by it.
func (d *deadlines) Receive(s Stage) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stage, d.held, d.woken = s, false, false
}

// Hold begins a time in which nothing is awaited from the client.
func (d *deadlines) Hold() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stage, d.held, d.woken = Stage{}, true, false
}

// Wake ends the wait at hand, if there is one, and all further ones up to the next stage.
func (d *deadlines) Wake() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.woken = true
	d.arm()
}

// EndRest ends the wait at hand unless a request of the client's has been taken, and all further waits at rest. What has
// come already is read all the same.
func (d *deadlines) EndRest() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.restEnded = true
	if !d.held && !d.stage.Taken {
		d.woken = true
	}
	d.arm()
}

// EndBy sets the end of everything on this connection. A later one than is set already changes nothing.
func (d *deadlines) EndBy(end time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.end.IsZero() && !end.Before(d.end) {
		return
	}
	d.end = end
	d.arm()
	if d.writeBy.After(end) {
		d.writeBy = end
		d.conn.SetWriteDeadline(end)
	}
}

// End is the end of everything on this connection, the zero time where none is known.
func (d *deadlines) End() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.end
}

// bound is when the wait at hand ends. It is called under the lock.
func (d *deadlines) bound() time.Time {
	if d.woken || d.restEnded && d.stage.AtRest {
		return longPast
	}
	by := d.stage.Until
	if d.stage.Stall > 0 {
		by = earlier(by, d.lastByte().Add(d.stage.Stall))
	}
	return earlier(by, d.end)
}

// arm gives the socket its read deadline. It is called under the lock.
func (d *deadlines) arm() {
	if by := d.bound(); !by.Equal(d.readBy) {
		d.readBy = by
		d.conn.SetReadDeadline(by)
	}
}

// beforeRead arms the socket for a read or a wait.
func (d *deadlines) beforeRead() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.arm()
}

// takeLate lets a read through whose deadline has passed, unless the process has to end. It tells whether it does.
func (d *deadlines) takeLate() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.end.IsZero() && !time.Now().Before(d.end) {
		return false
	}
	d.readBy = time.Time{}
	d.conn.SetReadDeadline(time.Time{})
	return true
}

// beforeWrite arms the socket for a write that may take so long.
func (d *deadlines) beforeWrite(within time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.writeBy = earlier(time.Now().Add(within), d.end)
	d.conn.SetWriteDeadline(d.writeBy)
}

// hear notes that bytes have been read by a call that began at a time. Whether the first ones came while it waited is told
// by how long it took; else they may have come as early as the client itself.
func (d *deadlines) hear(asked time.Time) {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.heard.IsZero() && now.Sub(asked) < atOnce {
		now = d.begun
	}
	d.heard = now
}

// LastByte is when the client's last bytes came, and when it connected where none have.
func (d *deadlines) LastByte() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.lastByte()
}

// lastByte is LastByte, under the lock.
func (d *deadlines) lastByte() time.Time {
	if d.heard.IsZero() {
		return d.begun
	}
	return d.heard
}

// earlier is the earlier of two times, of which the zero time is none.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

// acceptFor has a listener's Accept wait for so long at most from now on. It returns false where the socket layer cannot do so.
func acceptFor(listener net.Listener, wait time.Duration) bool {
	l, ok := listener.(interface{ SetDeadline(time.Time) error })
	return ok && l.SetDeadline(time.Now().Add(wait)) == nil
}

// Latest is the later of two times.
func Latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
