// Package transport owns the sockets: it listens, dials, keeps idle connections to the workers, and
// counts descriptors. It knows no protocol; what goes over a connection is the caller's.
package transport

import (
	"bufio"
	"context"
	"errors"
	"os"
	"sync"
	"time"
)

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
		if x.Rest != nil || x.Long { // takes as long as its source, or the worker: the caller must not wait for it
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
			c.Close() // before the result is out: what follows it goes out after
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
	if !kept {
		c.Close() // before the result is out: what follows it goes out after
	}
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
