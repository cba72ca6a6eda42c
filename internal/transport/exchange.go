package transport

import (
	"bufio"
	"errors"
	"net"
	"sync/atomic"
	"time"
)

// Errors that say why an exchange did not start or did not finish.
var (
	ErrAborted           = errors.New("aborted by the caller")
	ErrRevoked           = errors.New("revoked before the first byte was sent")
	ErrNoDescriptor      = errors.New("no file descriptor available for a new connection")
	ErrEarlyResponse     = errors.New("response started before the message was sent")
	ErrIncompleteMessage = errors.New("message source ended before the message was complete")

	// ErrLocal means that this machine could not open a connection because it lacks ports, buffers, descriptors or a route.
	// It says nothing about the worker.
	ErrLocal = errors.New("connection failed on the local machine")
)

// Guard decides whether an exchange's message may be sent, and is notified if sending starts late.
type Guard interface {
	// Ready is called when the connection is available, right before the first byte. If it returns false, nothing is sent.
	Ready() bool
	// StartedLate is called if the first byte was written at least LateStartThreshold after Ready, with that delay. It may be called on any
	// goroutine.
	StartedLate(after time.Duration)
}

// LateStartThreshold is the delay between Ready and the first byte from which the Guard is notified. It equals the time for which a
// client's disconnect may go unnoticed.
const LateStartThreshold = 100 * time.Millisecond

// Exchange is one message to a worker and the reading of its response. It is protocol-neutral.
type Exchange struct {
	Message  func() net.Buffers                            // builds the message; called at most once, right before the first byte
	Rest     func(write WriteFunc) error                   // writes what follows Message; nil if Message is complete
	MayBlock bool                                          // Message may be longer than MaxSingleWrite: its write may block on the worker
	Guard    Guard                                         // consulted when the connection is available; nil for none
	Read     func(r *bufio.Reader) (reuse bool, err error) // reads one response, complete or up to the part announced by More
	More     func() bool                                   // reports, after Read, whether the response continues; nil for never
	Dropped  func()                                        // called if the response was read after the exchange had ended; nil for nothing
	Written  *atomic.Int64                                 // incremented when the message has been written; nil for none
	Tag      int                                           // chosen by the caller and copied to the Result
	Done     chan Result                                   // receives the Result, needs room for it; nil: the attempt makes one
}

// WriteFunc sends a piece of a message; last marks the final piece. It returns an error once the exchange has ended.
type WriteFunc func(piece net.Buffers, last bool) error

// resultChannel returns the channel for the exchange's result.
func (x *Exchange) resultChannel() chan Result {
	if x.Done != nil {
		return x.Done
	}
	return make(chan Result, 1)
}

// Result describes how an exchange ended. Sent is false only if the message's last byte was certainly not sent, so that the
// worker cannot have started on it.
type Result struct {
	Tag    int // copied from the Exchange
	Sent   bool
	Reused bool // sent on a connection that served an earlier exchange
	Err    error
	Rest   *Rest // the unread rest of the response, nil if there is none; the receiver of the Result must close it
}

// Rest is the unread part of a response and the connection that delivers it. It must not be used by several goroutines at
// once.
type Rest struct {
	conn     *conn
	reusable chan bool
}

// ReadBy sets the deadline for reading the rest.
func (r *Rest) ReadBy(t time.Time) { r.conn.SetReadDeadline(t) }

// Close ends the exchange. If reuse is true, the response has been read to its end and the connection is kept; otherwise the
// connection is closed. Close must be called exactly once.
func (r *Rest) Close(reuse bool) {
	if !reuse {
		r.conn.Close()
	}
	r.reusable <- reuse
}
