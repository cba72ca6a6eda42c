// Package transport owns the sockets: it listens, dials, keeps idle connections to the workers, and
// counts descriptors. It knows no protocol; what goes over a connection is the caller's.
package transport

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"net"
	"os"
	"slices"
	"sync"
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
)

// Exchange is one message to a worker and the reading of its answer. It is protocol-neutral.
type Exchange struct {
	Message net.Buffers
	Rest    func(write Write) error                       // writes what follows Message; nil where that is whole
	Ready   func() bool                                   // asked last thing before the first byte goes out
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

// SetDeadline bounds the reads of the rest.
func (r *Rest) SetDeadline(t time.Time) { r.conn.SetReadDeadline(t) }

// Close ends the exchange: its connection is kept where reuse tells that the answer has been read to its end, else
// closed. It is called exactly once.
func (r *Rest) Close(reuse bool) {
	if !reuse {
		r.conn.Close()
	}
	r.over <- reuse
}

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
	more  bool // in pieces, and the last one has not begun
	conn  *conn
}

// begun tells, under the lock, that the message's last byte may have gone out, so that the worker may have started.
func (a *Attempt) begun() bool { return a.stage != waiting && !a.more }

func (a *Attempt) begin(c *conn) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.stage != waiting {
		return false
	}
	a.stage, a.conn, a.more = writing, c, a.x.Rest != nil
	return true
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

// wholeWrite is the length up to which a message goes out in one piece. Of a longer one the last byte is kept
// back until it is certain that no answer has begun.
const wholeWrite = 8 << 10

// write sends the message. Only the goroutine that made the attempt's connection its own calls it.
func (a *Attempt) write(c *conn) {
	defer close(a.wrote)
	if a.x.Ready != nil && !a.x.Ready() {
		a.settle(false, ErrRevoked)
		c.Close()
		return
	}
	if !a.begin(c) { // settled meanwhile: nothing may go out any more
		c.Close()
		return
	}
	message := a.x.Message
	if a.x.Rest != nil {
		if !a.stream(c) {
			return
		}
		message = nil
	} else if size(message) > wholeWrite {
		first, last := keepLast(message)
		if !a.send(c, first, false) {
			return
		}
		message = net.Buffers{last}
	}
	if message != nil && !a.send(c, message, true) {
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

// pieceTime bounds the writing of one piece of a long message: a worker that takes none for so long takes no more.
const pieceTime = 10 * time.Second

// stream writes a message that comes in pieces.
func (a *Attempt) stream(c *conn) bool {
	defer c.SetWriteDeadline(time.Time{})
	c.SetWriteDeadline(time.Now().Add(pieceTime))
	if !a.send(c, a.x.Message, false) {
		return false
	}
	whole := false
	err := a.x.Rest(func(piece net.Buffers, last bool) error {
		c.SetWriteDeadline(time.Now().Add(pieceTime))
		a.mu.Lock()
		a.more = !last
		a.mu.Unlock()
		if !a.send(c, piece, last) {
			return net.ErrClosed
		}
		whole = last
		return nil
	})
	if err != nil || !whole {
		a.settle(false, cmp.Or(err, ErrSource)) // changes nothing where a piece has failed
		c.Close()
		return false
	}
	return true
}

// send writes a part of the message, unless an answer has begun to come, which cannot be the answer to it.
func (a *Attempt) send(c *conn, part net.Buffers, isLast bool) bool {
	if !c.Quiet() {
		a.settle(false, ErrEarly)
		c.Close()
		return false
	}
	want := size(part)
	n, err := part.WriteTo(c.Socket)
	if err != nil {
		a.settle(isLast && n >= want, err)
		c.Close()
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

// Peer is the other side of a connection: one life of a process at an address. What was connected to another
// process there before is no use to it.
type Peer struct {
	Addr string
	Life uint64
}

// conn is a connection to a worker. Its own goroutine reads it all its life, so that a worker's close is
// seen while the connection is idle.
type conn struct {
	Socket
	peer Peer
	r    *bufio.Reader
	cur  *Attempt // guarded by the pool; nil while idle
	dead bool     // guarded by the pool: ended while idle
	lent bool     // guarded by the pool: evicted, its descriptor counts for the connection that replaces it
}

// Pool holds the connections to the workers: one exchange at a time on each, idle ones kept for reuse.
type Pool struct {
	network     Network
	budget      *Budget
	connectTime time.Duration
	idleTime    time.Duration // a connection idle for longer is closed, well before the worker would

	mu   sync.Mutex
	idle map[Peer][]*conn // newest last
}

// NewPool returns a Pool that connects over network and takes its descriptors from budget.
func NewPool(network Network, budget *Budget, connectTime, idleTime time.Duration) *Pool {
	return &Pool{network: network, budget: budget, connectTime: connectTime, idleTime: idleTime, idle: map[Peer][]*conn{}}
}

// readBuffer holds a worker's whole head; longer heads are malformed.
const readBuffer = 8 << 10

// Start sends an exchange to a worker on an idle connection, or on a new one.
func (p *Pool) Start(peer Peer, x Exchange) *Attempt {
	a := &Attempt{Done: x.done(), x: x, wrote: make(chan struct{})}
	if c := p.reuse(peer, a); c != nil {
		c.SetReadDeadline(time.Time{})
		if x.Rest != nil { // takes as long as its source
			go a.write(c)
		} else {
			a.write(c)
		}
		return a
	}
	if !p.budget.take() && !p.evict() {
		a.settle(false, ErrCrowded)
		return a
	}
	ctx, cancel := context.WithTimeout(context.Background(), p.connectTime)
	a.cancel = cancel
	go p.open(ctx, peer, a)
	return a
}

// reuse makes an idle connection the attempt's own, if there is one on which nothing has come.
func (p *Pool) reuse(peer Peer, a *Attempt) *conn {
	for {
		p.mu.Lock()
		c := p.takeIdle(peer)
		p.mu.Unlock()
		if c == nil {
			return nil
		}
		if !c.Quiet() {
			c.Close()
			continue
		}
		p.mu.Lock()
		alive := !c.dead
		if alive {
			c.cur, a.kept = a, true
		}
		p.mu.Unlock()
		if alive {
			return c
		}
	}
}

func (p *Pool) open(ctx context.Context, peer Peer, a *Attempt) {
	defer a.cancel()
	socket, err := p.network.Dial(ctx, peer.Addr)
	if err != nil {
		p.budget.give()
		a.settle(false, err)
		return
	}
	c := &conn{Socket: socket, peer: peer, r: bufio.NewReaderSize(socket, readBuffer), cur: a}
	a.write(c)
	p.serve(c)
}

// serve reads a connection until it ends: answers while it has an exchange, the worker's close while idle.
func (p *Pool) serve(c *conn) {
	defer p.close(c)
	for {
		err := c.Await()
		p.mu.Lock()
		a := c.cur
		if a == nil { // retired by its deadline, closed by the worker, or bytes that nobody asked for
			p.forget(c)
			c.dead = true
			p.mu.Unlock()
			return
		}
		p.mu.Unlock()
		if errors.Is(err, os.ErrDeadlineExceeded) {
			c.SetReadDeadline(time.Time{}) // taken into use just as its idle time ended
			continue
		}
		<-a.wrote // what came before that was seen there
		reuse := false
		if err == nil {
			reuse, err = a.x.Read(c.r)
		}
		if err != nil {
			a.broke(err)
			return
		}
		if a.x.More != nil && a.x.More() {
			if !p.hand(c, a) {
				return
			}
			continue
		}
		if !p.finish(c, a, reuse) {
			return
		}
	}
}

func (p *Pool) close(c *conn) {
	c.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	if !c.lent {
		p.budget.give()
	}
}

// finish settles an exchange whose answer has been read, and tells whether its connection is idle again. It
// is idle before the result is out, so that whoever acts on the result finds it, and both happen under the
// attempt's lock, so that an Abort can no longer close it.
func (p *Pool) finish(c *conn, a *Attempt, reuse bool) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.stage == settled {
		return false
	}
	kept := reuse && p.release(c)
	a.settleLocked(true, nil)
	return kept
}

// hand settles an exchange whose answer goes on, waits until the rest has been dealt with, and tells whether its
// connection is idle again.
func (p *Pool) hand(c *conn, a *Attempt) bool {
	rest := &Rest{conn: c, over: make(chan bool, 1)}
	a.mu.Lock()
	if a.stage == settled {
		a.mu.Unlock()
		return false
	}
	a.stage = settled
	a.Done <- Result{Tag: a.x.Tag, Sent: true, Kept: a.kept, Rest: rest}
	a.mu.Unlock()
	return <-rest.over && p.release(c)
}

// release makes a connection idle again.
func (p *Pool) release(c *conn) bool {
	if c.r.Buffered() > 0 || p.idleTime <= 0 {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	c.cur = nil
	c.SetReadDeadline(time.Now().Add(p.idleTime))
	p.idle[c.peer] = append(p.idle[c.peer], c)
	return true
}

// takeIdle returns the connection used last, since it is the least likely to be near its end.
func (p *Pool) takeIdle(peer Peer) *conn {
	list := p.idle[peer]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.setIdle(peer, list[:len(list)-1])
	return c
}

func (p *Pool) setIdle(peer Peer, list []*conn) {
	if len(list) == 0 {
		delete(p.idle, peer)
	} else {
		p.idle[peer] = list
	}
}

func (p *Pool) forget(c *conn) {
	list := p.idle[c.peer]
	for i, other := range list {
		if other == c {
			p.setIdle(c.peer, append(list[:i], list[i+1:]...))
			return
		}
	}
}

// evict closes one idle connection to make room for another worker's, which takes over its descriptor.
func (p *Pool) evict() bool {
	p.mu.Lock()
	for peer, list := range p.idle {
		p.setIdle(peer, list[1:])
		list[0].lent = true
		p.mu.Unlock()
		list[0].Close()
		return true
	}
	p.mu.Unlock()
	return false
}

// CloseIdle closes the idle connections to a worker.
func (p *Pool) CloseIdle(peer Peer) {
	p.mu.Lock()
	list := p.idle[peer]
	delete(p.idle, peer)
	p.mu.Unlock()
	for _, c := range list {
		c.Close()
	}
}

// Refused returns an Attempt at x that has ended before it began, for the given reason.
func Refused(x Exchange, err error) *Attempt {
	a := &Attempt{Done: x.done(), x: x}
	a.settle(false, err)
	return a
}
