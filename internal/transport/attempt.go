package transport

import (
	"cmp"
	"context"
	"net"
	"slices"
	"sync"
	"time"
)

// attemptState is the progress of an attempt.
type attemptState uint8

const (
	connecting attemptState = iota // not bound to a connection yet
	writing
	sent
	completed
)

// Attempt is a started exchange. Exactly one Result is sent on Done.
type Attempt struct {
	Done       chan Result
	exchange   Exchange
	reused     bool               // sent on a connection that served an earlier exchange
	writeDone  chan struct{}      // closed when the message has been written or the write has failed
	cancelDial context.CancelFunc // cancels the dial; nil on a reused connection

	mu           sync.Mutex
	state        attemptState
	lastByteHeld bool // the write of the part with the message's last byte has not started
	conn         *conn
}

// maybeSent reports whether the message's last byte may have been written, so that the worker may have started on it.
// The caller holds a.mu.
func (a *Attempt) maybeSent() bool { return a.state != connecting && !a.lastByteHeld }

// bind assigns the connection to the attempt and builds the message, unless the attempt has completed. It holds the lock
// throughout: once Abort has returned, the buffers behind the message may belong to another request.
func (a *Attempt) bind(c *conn) (message net.Buffers, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.state != connecting {
		return nil, false
	}
	message = a.exchange.Message()
	a.state, a.conn = writing, c
	a.lastByteHeld = a.exchange.Rest != nil || size(message) > MaxSingleWrite
	return message, true
}

// complete sends the result of the attempt. Only the first call has an effect.
func (a *Attempt) complete(isSent bool, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.completeLocked(isSent, err)
}

// completeLocked is complete for callers that hold a.mu.
func (a *Attempt) completeLocked(isSent bool, err error) {
	if a.state != completed {
		a.state = completed
		a.Done <- Result{Tag: a.exchange.Tag, Sent: isSent, Reused: a.reused, Err: err}
	}
}

// drop lets go of a response that was read after the attempt had completed.
func (a *Attempt) drop() {
	if a.exchange.Dropped != nil {
		a.exchange.Dropped()
	}
}

// connectionLost completes an attempt whose connection failed. A write in progress may already have delivered the whole
// message, so the message counts as sent unless its last byte was held back.
func (a *Attempt) connectionLost(err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.completeLocked(a.maybeSent(), err)
}

// Abort cancels the attempt. When Abort returns, the connection is closed and is never reused. If the response has already
// been read completely, Abort has no effect: the connection may serve another call by then. The attempt's lock is held
// during the close so that this cannot change in between.
func (a *Attempt) Abort() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.state == completed {
		return
	}
	if a.cancelDial != nil {
		a.cancelDial()
	}
	if a.conn != nil {
		a.conn.Close() // returns once the descriptor is closed, so the next attempt goes out after it
	}
	a.completeLocked(a.maybeSent(), ErrAborted)
}

// MaxSingleWrite is the size in bytes up to which a message is written in one piece. For a longer message the last byte is
// held back until it is certain that no response has started.
const MaxSingleWrite = 8 << 10

// write sends the message. It is called once, by the goroutine that obtained the connection for the attempt.
func (a *Attempt) write(c *conn) {
	defer close(a.writeDone)
	if a.exchange.Guard != nil && !a.exchange.Guard.Ready() {
		a.fail(c, false, ErrRevoked)
		return
	}
	start := time.Now()
	message, ok := a.bind(c)
	if !ok { // completed in the meantime: nothing may be written any more
		c.Close()
		return
	}
	switch {
	case a.exchange.Rest != nil:
		a.reportLateStart(start)
		ok = a.stream(c, message)
	case size(message) > MaxSingleWrite:
		a.reportLateStart(start)
		first, last := splitLastByte(message)
		ok = a.send(c, first, false) && a.send(c, net.Buffers{last}, true)
	default:
		ok = a.send(c, message, true)
		a.reportLateStart(start)
	}
	if !ok {
		return
	}
	a.mu.Lock()
	if a.state == writing {
		a.state = sent
	}
	a.mu.Unlock()
	if a.exchange.Written != nil {
		a.exchange.Written.Add(1)
	}
}

// reportLateStart notifies the guard if the first byte is written late. For a message whose write may block on the worker
// it is called right before the write, for a short one right after it.
func (a *Attempt) reportLateStart(start time.Time) {
	if delay := time.Since(start); delay >= LateStartThreshold && a.exchange.Guard != nil {
		a.exchange.Guard.StartedLate(delay)
	}
}

// fail completes an attempt whose message could not be written. The connection is closed before the result is sent, so
// that a retry triggered by the result starts after the close.
func (a *Attempt) fail(c *conn, isSent bool, err error) {
	c.Close()
	a.complete(isSent, err)
}

// pieceTimeout limits the write of one piece of a long message. A worker that accepts none of it for this long is
// considered unable to accept more.
const pieceTimeout = 10 * time.Second

// stream writes a message that arrives in pieces; initial is the part that is available already. It reports whether the
// whole message was written.
func (a *Attempt) stream(c *conn, initial net.Buffers) bool {
	limitUnsent(c.Socket) // so that the write of each piece ends in time at a worker that reads slowly
	defer c.SetWriteDeadline(time.Time{})
	c.SetWriteDeadline(time.Now().Add(pieceTimeout))
	if !a.send(c, initial, false) {
		return false
	}
	finished := false
	err := a.exchange.Rest(func(piece net.Buffers, last bool) error {
		c.SetWriteDeadline(time.Now().Add(pieceTimeout))
		if !a.send(c, piece, last) {
			return net.ErrClosed
		}
		finished = last
		return nil
	})
	if err != nil || !finished {
		a.fail(c, false, cmp.Or(err, ErrIncompleteMessage)) // no effect if the write of a piece has failed
		return false
	}
	return true
}

// send writes a piece of the message, unless response bytes have arrived: they cannot be the response to a message that
// has not been sent completely.
func (a *Attempt) send(c *conn, piece net.Buffers, isLast bool) bool {
	if !c.Quiet() {
		a.fail(c, false, ErrEarlyResponse)
		return false
	}
	if isLast {
		a.mu.Lock()
		a.lastByteHeld = false
		a.mu.Unlock()
	}
	want := size(piece)
	n, err := piece.WriteTo(c.Socket)
	if err != nil {
		a.fail(c, isLast && n >= want, err)
		return false
	}
	return true
}

// size returns the number of bytes in the message.
func size(message net.Buffers) (n int64) {
	for _, b := range message {
		n += int64(len(b))
	}
	return n
}

// splitLastByte splits the message into its last byte and everything before it.
func splitLastByte(message net.Buffers) (first net.Buffers, last []byte) {
	first = slices.Clone(message)
	for i := len(first) - 1; i >= 0; i-- {
		if n := len(first[i]); n > 0 {
			first[i], last = first[i][:n-1], first[i][n-1:]
			break
		}
	}
	return first, last
}

// FailedAttempt returns an Attempt at exchange that failed with err before anything was sent.
func FailedAttempt(exchange Exchange, err error) *Attempt {
	a := &Attempt{Done: exchange.resultChannel(), exchange: exchange}
	a.complete(false, err)
	return a
}
