package transport

import (
	"cmp"
	"context"
	"net"
	"slices"
	"sync"
	"time"
)

type stage uint8

const (
	waiting stage = iota // for its connection
	writing
	sent
	settled
)

// Attempt is an exchange that has been started. Exactly one Result arrives on Done.
type Attempt struct {
	Done   chan Result
	x      Exchange
	kept   bool               // on a connection kept from an exchange before
	wrote  chan struct{}      // closed when the message is out or has failed
	cancel context.CancelFunc // ends a dial; nil on an idle connection

	mu    sync.Mutex
	stage stage
	more  bool // the part with the message's last byte has not begun
	conn  *conn
}

// begun tells, under the lock, that the message's last byte may have gone out, so that the worker may have started.
func (a *Attempt) begun() bool { return a.stage != waiting && !a.more }

// begin makes the connection the attempt's own and makes the message, unless the attempt has been settled. It does so
// under the lock: once Abort has returned, what the message is made of may belong to another request.
func (a *Attempt) begin(c *conn) (message net.Buffers, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.stage != waiting {
		return nil, false
	}
	message = a.x.Message()
	a.stage, a.conn = writing, c
	a.more = a.x.Rest != nil || size(message) > WholeWrite
	return message, true
}

// settle gives the result once; later calls change nothing.
func (a *Attempt) settle(isSent bool, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.settleLocked(isSent, err)
}

func (a *Attempt) settleLocked(isSent bool, err error) {
	if a.stage != settled {
		a.stage = settled
		a.Done <- Result{Tag: a.x.Tag, Sent: isSent, Kept: a.kept, Err: err}
	}
}

// broke settles an attempt whose connection ended under it. A write that is still under way may be whole
// already: until the writer says otherwise it counts as sent, the cautious reading.
func (a *Attempt) broke(err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.settleLocked(a.begun(), err)
}

// Abort gives the exchange up. Its connection is closed when Abort returns and is never used again. An
// answer that has been read whole before stands, and its connection, which may serve another call by now,
// stays open: that is why the close is done under the attempt's lock.
func (a *Attempt) Abort() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.stage == settled {
		return
	}
	if a.cancel != nil {
		a.cancel()
	}
	if a.conn != nil {
		a.conn.Close() // returns once the descriptor is closed, so the next attempt goes out after it
	}
	a.settleLocked(a.begun(), ErrAborted)
}

// WholeWrite is the length up to which a message goes out in one piece. Of a longer one the last byte is kept
// back until it is certain that no answer has begun.
const WholeWrite = 8 << 10

// write sends the message. Only the goroutine that made the attempt's connection its own calls it.
func (a *Attempt) write(c *conn) {
	defer close(a.wrote)
	if a.x.Guard != nil && !a.x.Guard.Ready() {
		a.fail(c, false, ErrRevoked)
		return
	}
	asked := time.Now()
	message, ok := a.begin(c)
	if !ok { // settled meanwhile: nothing may go out any more
		c.Close()
		return
	}
	switch {
	case a.x.Rest != nil:
		a.began(asked)
		ok = a.stream(c, message)
	case size(message) > WholeWrite:
		a.began(asked)
		first, last := keepLast(message)
		ok = a.send(c, first, false) && a.send(c, net.Buffers{last}, true)
	default:
		ok = a.send(c, message, true)
		a.began(asked)
	}
	if !ok {
		return
	}
	a.mu.Lock()
	if a.stage == writing {
		a.stage = sent
	}
	a.mu.Unlock()
	if a.x.Written != nil {
		a.x.Written.Add(1)
	}
}

// began tells the guard of a late first byte. Of a message that may wait for its worker it is called right before the write,
// of a short one right after.
func (a *Attempt) began(asked time.Time) {
	if after := time.Since(asked); after >= LateStart && a.x.Guard != nil {
		a.x.Guard.Began(after)
	}
}

// fail ends an attempt whose message has not gone out as it should. The connection is closed before the result is out,
// so that an attempt which follows that result finds it closed.
func (a *Attempt) fail(c *conn, isSent bool, err error) {
	c.Close()
	a.settle(isSent, err)
}

// pieceTime bounds the writing of one piece of a long message: a worker that takes none for so long takes no more.
const pieceTime = 10 * time.Second

// stream writes a message that comes in pieces; beginning is what there is of it already.
func (a *Attempt) stream(c *conn, beginning net.Buffers) bool {
	defer c.SetWriteDeadline(time.Time{})
	c.SetWriteDeadline(time.Now().Add(pieceTime))
	if !a.send(c, beginning, false) {
		return false
	}
	whole := false
	err := a.x.Rest(func(piece net.Buffers, last bool) error {
		c.SetWriteDeadline(time.Now().Add(pieceTime))
		if !a.send(c, piece, last) {
			return net.ErrClosed
		}
		whole = last
		return nil
	})
	if err != nil || !whole {
		a.fail(c, false, cmp.Or(err, ErrSource)) // changes nothing where a piece has failed
		return false
	}
	return true
}

// send writes a part of the message, unless an answer has begun to come, which cannot be the answer to it.
func (a *Attempt) send(c *conn, part net.Buffers, isLast bool) bool {
	if !c.Quiet() {
		a.fail(c, false, ErrEarly)
		return false
	}
	if isLast {
		a.mu.Lock()
		a.more = false
		a.mu.Unlock()
	}
	want := size(part)
	n, err := part.WriteTo(c.Socket)
	if err != nil {
		a.fail(c, isLast && n >= want, err)
		return false
	}
	return true
}

func size(message net.Buffers) (n int64) {
	for _, b := range message {
		n += int64(len(b))
	}
	return n
}

// keepLast cuts the last byte off a message.
func keepLast(message net.Buffers) (first net.Buffers, last []byte) {
	first = slices.Clone(message)
	for i := len(first) - 1; i >= 0; i-- {
		if n := len(first[i]); n > 0 {
			first[i], last = first[i][:n-1], first[i][n-1:]
			break
		}
	}
	return first, last
}

// Refused returns an Attempt at x that has ended before it began, for the given reason.
func Refused(x Exchange, err error) *Attempt {
	a := &Attempt{Done: x.done(), x: x}
	a.settle(false, err)
	return a
}
