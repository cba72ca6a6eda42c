package transport

import (
	"bufio"
	"errors"
	"net"
	"sync/atomic"
	"time"
)

// Errors that say why an exchange never started or was given up.
var (
	ErrAborted = errors.New("given up by the caller")
	ErrRevoked = errors.New("no longer wanted when its connection was there")
	ErrCrowded = errors.New("no descriptor left for a connection")
	ErrEarly   = errors.New("an answer began before its message was out")
	ErrSource  = errors.New("its message broke off")

	// ErrLocal says that this machine could not open a connection, for want of ports, buffers, descriptors or a route: it
	// tells nothing of the worker.
	ErrLocal = errors.New("this machine opens no connection now")
)

// Guard lets an exchange's message go out, and hears how long that took.
type Guard interface {
	// Ready is asked once the connection is there, right before the first byte. False: nothing may go out any more.
	Ready() bool
	// Began is told, where the first byte went out late, by how much after Ready. It may be called on any goroutine.
	Began(after time.Duration)
}

// LateStart is the time between Ready and the first byte from which a Guard hears of it: as long as a client's leaving may
// go unseen.
const LateStart = 100 * time.Millisecond

// Exchange is one message to a worker and the reading of its answer. It is protocol-neutral.
type Exchange struct {
	Message func() net.Buffers                            // makes the message, at most once, right before its first byte goes out
	Rest    func(write Write) error                       // writes what follows Message; nil where that is whole
	Long    bool                                          // Message may be longer than WholeWrite: its writing may have to wait for the worker
	Guard   Guard                                         // asked once the connection is there; nil: nobody is asked
	Read    func(r *bufio.Reader) (reuse bool, err error) // reads one answer, whole or up to where More says
	More    func() bool                                   // tells, after Read, that the answer goes on; nil for never
	Written *atomic.Int64                                 // counts the exchange once its last byte has gone out; nil for none
	Tag     int                                           // the caller's own; its Result bears it
	Done    chan Result                                   // where the Result goes, with room for it; nil for a channel of the attempt's own
}

// Write sends a piece of a message; with last, its end. It returns an error once the exchange is over.
type Write func(piece net.Buffers, last bool) error

// done is the channel for the exchange's result.
func (x *Exchange) done() chan Result {
	if x.Done != nil {
		return x.Done
	}
	return make(chan Result, 1)
}

// Result tells how an exchange ended. Sent is false only where the message's last byte certainly never
// went out, so that the worker cannot have started on it.
type Result struct {
	Tag  int // of the exchange
	Sent bool
	Kept bool // it went over a connection kept from an exchange before
	Err  error
	Rest *Rest // of the answer, where Read has not read it whole; whoever has the result closes it
}

// Rest is the part of an answer that is still to come, and the connection on which it comes. It belongs to one
// goroutine at a time.
type Rest struct {
	conn *conn
	over chan bool
}

// ReadBy bounds the reads of the rest.
func (r *Rest) ReadBy(t time.Time) { r.conn.SetReadDeadline(t) }

// Close ends the exchange: its connection is kept where reuse tells that the answer has been read to its end, else
// closed. It is called exactly once.
func (r *Rest) Close(reuse bool) {
	if !reuse {
		r.conn.Close()
	}
	r.over <- reuse
}
