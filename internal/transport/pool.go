// Package transport manages network connections: it accepts clients, dials workers, pools idle connections to the workers
// and limits the use of file descriptors. It is independent of the protocol spoken over a connection.
//
// A worker is a backend, a call is a client's request, and the registry is the service discovery.
package transport

import (
	"bufio"
	"context"
	"errors"
	"os"
	"sync"
	"time"
)

// Peer identifies one incarnation of a worker process at an address. A connection to an earlier process at the same address
// is not reused for it.
type Peer struct {
	Addr        string
	Incarnation uint64
}

// conn is a connection to a worker. A dedicated goroutine reads it for its whole lifetime, so that a close by the worker is
// noticed while the connection is idle.
type conn struct {
	Socket
	peer              Peer
	reader            *bufio.Reader
	current           *Attempt // guarded by the pool's mutex; nil while idle
	ended             bool     // guarded by the pool's mutex: closed while idle
	budgetTransferred bool     // guarded by the pool's mutex: evicted, the connection that replaces it holds its descriptor
}

// Pool manages the connections to the workers. Each connection carries one exchange at a time; idle ones are kept for reuse.
type Pool struct {
	network        Network
	budget         *Budget
	connectTimeout time.Duration
	idleTimeout    time.Duration // after which an idle connection is closed, well before the worker would close it

	mu   sync.Mutex
	idle map[Peer][]*conn // most recently used last
}

// NewPool returns a Pool that dials on network and counts its descriptors against budget.
func NewPool(network Network, budget *Budget, connectTimeout, idleTimeout time.Duration) *Pool {
	return &Pool{network: network, budget: budget, connectTimeout: connectTimeout, idleTimeout: idleTimeout, idle: map[Peer][]*conn{}}
}

// readBufferSize is the size in bytes of the read buffer that every connection has.
const readBufferSize = 1 << 10

// Start sends an exchange to a worker on an idle connection or, if there is none, on a new one.
func (p *Pool) Start(peer Peer, exchange Exchange) *Attempt {
	a := &Attempt{Done: exchange.resultChannel(), exchange: exchange, writeDone: make(chan struct{})}
	if c := p.reuse(peer, a); c != nil {
		c.SetReadDeadline(time.Time{})
		if exchange.Rest != nil || exchange.MayBlock { // may block on the source or the worker; the caller must not wait for it
			go a.write(c)
		} else {
			a.write(c)
		}
		return a
	}
	if !p.budget.acquire() && !p.evict() {
		a.complete(false, ErrNoDescriptor)
		return a
	}
	ctx, cancel := context.WithTimeout(context.Background(), p.connectTimeout)
	a.cancelDial = cancel
	go p.connect(ctx, peer, a)
	return a
}

// reuse assigns an idle connection without unread data to the attempt. It returns nil if there is none.
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
		alive := !c.ended
		if alive {
			c.current, a.reused = a, true
		}
		p.mu.Unlock()
		if alive {
			return c
		}
	}
}

// connect dials the worker, sends the attempt's message and then reads the connection until it ends.
func (p *Pool) connect(ctx context.Context, peer Peer, a *Attempt) {
	defer a.cancelDial()
	socket, err := p.network.Dial(ctx, peer.Addr)
	if err != nil {
		p.budget.release()
		a.complete(false, err)
		return
	}
	c := &conn{Socket: socket, peer: peer, reader: bufio.NewReaderSize(socket, readBufferSize), current: a}
	a.write(c)
	p.readLoop(c)
}

// readLoop reads a connection until it ends: responses during an exchange, the worker's close while idle.
func (p *Pool) readLoop(c *conn) {
	defer p.close(c)
	for {
		err := c.Await()
		p.mu.Lock()
		a := c.current
		if a == nil { // idle timeout, close by the worker, or unsolicited bytes
			p.removeIdle(c)
			c.ended = true
			p.mu.Unlock()
			return
		}
		p.mu.Unlock()
		if errors.Is(err, os.ErrDeadlineExceeded) {
			c.SetReadDeadline(time.Time{}) // reused just as its idle timeout expired
			continue
		}
		<-a.writeDone // write has checked for bytes that arrived before that
		reuse := false
		if err == nil {
			reuse, err = a.exchange.Read(c.reader)
		}
		if err != nil {
			c.Close() // before the result is sent, so that a retry starts after the close
			a.connectionLost(err)
			return
		}
		if a.exchange.More != nil && a.exchange.More() {
			if !p.handOff(c, a) {
				return
			}
			continue
		}
		if !p.finish(c, a, reuse) {
			return
		}
	}
}

// close closes a connection and releases its share of the budget unless another connection has taken it over.
func (p *Pool) close(c *conn) {
	c.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	if !c.budgetTransferred {
		p.budget.release()
	}
}

// finish completes an exchange whose response has been read, and reports whether its connection is idle again. The
// connection becomes idle before the result is sent, so that the receiver of the result can reuse it. Both happen under the
// attempt's lock, so that Abort cannot close the connection in between.
func (p *Pool) finish(c *conn, a *Attempt, reuse bool) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.state == completed {
		a.drop()
		return false
	}
	reusable := reuse && p.makeIdle(c)
	if !reusable {
		c.Close() // before the result is sent, so that a retry starts after the close
	}
	a.completeLocked(true, nil)
	return reusable
}

// handOff completes an exchange whose response continues, waits until the Rest has been closed, and reports whether the
// connection is idle again.
func (p *Pool) handOff(c *conn, a *Attempt) bool {
	rest := &Rest{conn: c, reusable: make(chan bool, 1)}
	a.mu.Lock()
	if a.state == completed {
		a.mu.Unlock()
		a.drop()
		return false
	}
	a.state = completed
	a.Done <- Result{Tag: a.exchange.Tag, Sent: true, Reused: a.reused, Rest: rest}
	a.mu.Unlock()
	return <-rest.reusable && p.makeIdle(c)
}

// makeIdle returns a connection to the pool and reports whether it was kept.
func (p *Pool) makeIdle(c *conn) bool {
	if c.reader.Buffered() > 0 || p.idleTimeout <= 0 {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	c.current = nil
	c.SetReadDeadline(time.Now().Add(p.idleTimeout))
	p.idle[c.peer] = append(p.idle[c.peer], c)
	return true
}

// takeIdle removes and returns the most recently used idle connection, which is the least likely to be close to its idle
// timeout. The caller holds p.mu.
func (p *Pool) takeIdle(peer Peer) *conn {
	list := p.idle[peer]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.setIdle(peer, list[:len(list)-1])
	return c
}

// setIdle replaces the idle connections to a worker. The caller holds p.mu.
func (p *Pool) setIdle(peer Peer, list []*conn) {
	if len(list) == 0 {
		delete(p.idle, peer)
	} else {
		p.idle[peer] = list
	}
}

// removeIdle removes a connection from the idle ones. The caller holds p.mu.
func (p *Pool) removeIdle(c *conn) {
	list := p.idle[c.peer]
	for i, other := range list {
		if other == c {
			p.setIdle(c.peer, append(list[:i], list[i+1:]...))
			return
		}
	}
}

// evict closes one idle connection to make room for a new one, which takes over its share of the budget. It reports whether
// there was one.
func (p *Pool) evict() bool {
	p.mu.Lock()
	for peer, list := range p.idle {
		p.setIdle(peer, list[1:])
		list[0].budgetTransferred = true
		p.mu.Unlock()
		list[0].Close()
		return true
	}
	p.mu.Unlock()
	return false
}

// CloseIdle closes all idle connections to a worker.
func (p *Pool) CloseIdle(peer Peer) {
	p.mu.Lock()
	list := p.idle[peer]
	delete(p.idle, peer)
	p.mu.Unlock()
	for _, c := range list {
		c.Close()
	}
}
