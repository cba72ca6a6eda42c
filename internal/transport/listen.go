package transport

import (
	"container/list"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Budget counts the descriptors that one use may hold.
type Budget struct {
	most int64
	held atomic.Int64
}

// NewBudget returns a Budget of n descriptors.
func NewBudget(n int) *Budget { return &Budget{most: int64(n)} }

func (b *Budget) take() bool {
	if b.held.Add(1) > b.most {
		b.held.Add(-1)
		return false
	}
	return true
}

func (b *Budget) give() { b.held.Add(-1) }

// reserved descriptors belong to no connection that is counted: the standard streams, the poller, the
// listener and the client that it has just accepted, the registry's connections, the files that the runtime
// and a reload open.
const reserved = 24

// Split divides a process's descriptors. An open call holds one connection to its client and one to a
// worker, so both sides get about the same; the clients' share is a little larger for those that hold a
// connection without a call. A tenth of it is kept for connections that are only told to come back.
func Split(sockets int) (clients, spare, workers int) {
	n := max(sockets-reserved, 16)
	clients = n * 11 / 20
	spare = max(clients/10, 1)
	return clients - spare, spare, n - clients
}

const (
	acceptPause = 5 * time.Millisecond // a listener's rest after a failure such as a lack of descriptors

	// tightShare of the limit in use by clients that do ask is when they had better not stay.
	tightShare = 0.75
)

// Phase is what a client's connection is at. In all but Busy nothing has been taken from the client that is
// not answered, and the connection may be closed to make room for another.
type Phase uint8

// The phases.
const (
	Silent    Phase = iota // no byte has come yet
	Reading                // a call has begun to come
	Resting                // between two calls
	Lingering              // rejected, waiting for the client to close
	Busy                   // a call is open
)

// graces tells for how long a connection in a phase is safe from being closed to make room. A client sends as
// soon as it is connected, and its call comes within moments; one that has asked may be about to ask again,
// but one with a new call waits now.
var graces = [Busy]time.Duration{Silent: 100 * time.Millisecond, Reading: 500 * time.Millisecond,
	Resting: 250 * time.Millisecond, Lingering: 0}

// soon is how long a new client waits for another's grace to end, before it is served as crowded.
const soon = 250 * time.Millisecond

// Listener hands each client's connection to a goroutine of its own.
type Listener struct {
	ln      net.Listener
	limit   int
	graces  [Busy]time.Duration
	slots   chan struct{} // one for each connection, the spare ones too
	serving sync.WaitGroup

	mu     sync.Mutex
	open   int
	phases [Busy]list.List // of *Client, the one longest in its phase first
}

// Client is a client's connection.
type Client struct {
	net.Conn
	Begun   time.Time // when it was accepted
	Crowded bool      // beyond the limit: to be told to come back, not to be served

	listener *Listener
	phase    Phase // guarded by the listener's mutex, like all below
	since    time.Time
	place    *list.Element // in the phase's list, nil while Busy
	evicted  bool          // closed to make room; no longer counted as open
}

// Listen listens on addr for at most limit connections and a few spare ones, which are served as crowded.
func Listen(network Network, addr string, limit, spare int) (*Listener, error) {
	ln, err := network.Listen(addr)
	if err != nil {
		return nil, err
	}
	return Serve(ln, limit, spare), nil
}

// Serve is Listen on a socket that listens already, such as one that the platform handed over.
func Serve(ln net.Listener, limit, spare int) *Listener {
	return &Listener{ln: ln, limit: limit, graces: graces, slots: make(chan struct{}, limit+spare)}
}

// Addr is where it listens.
func (l *Listener) Addr() net.Addr { return l.ln.Addr() }

// Accept serves connections until Close. At the limit a client without a call makes room for a new one; where
// none does, further clients are served as crowded, and then wait in the system's queue.
func (l *Listener) Accept(serve func(c *Client)) {
	for {
		conn, err := l.ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(acceptPause)
			continue
		}
		c := &Client{Conn: conn, Begun: time.Now(), listener: l}
		l.admit(c)
		l.serving.Go(func() {
			defer l.release(c)
			serve(c)
		})
	}
}

// admit takes a slot for a connection, and waits for one as long as room can be made below the limit.
func (l *Listener) admit(c *Client) {
	for {
		l.mu.Lock()
		wait := time.Duration(0)
		if l.open >= l.limit {
			wait = l.evict()
		}
		l.mu.Unlock()
		if wait == 0 {
			break
		}
		time.Sleep(wait)
	}
	l.slots <- struct{}{}
	l.mu.Lock()
	l.open++
	c.Crowded = l.open > l.limit
	l.mu.Unlock()
}

// evict closes the connection that has been longest in its phase, if its grace is over, and returns 0. It
// returns how long to wait where one will be able to make room soon, and 0 where none will.
func (l *Listener) evict() time.Duration {
	wait := soon + 1
	for phase := range l.phases {
		first := l.phases[phase].Front()
		if first == nil {
			continue
		}
		c := first.Value.(*Client)
		left := l.graces[phase] - time.Since(c.since)
		if left <= 0 {
			l.leave(c)
			c.evicted = true
			l.open--
			c.Close()
			return 0
		}
		wait = min(wait, left)
	}
	if wait > soon {
		return 0
	}
	return wait
}

func (l *Listener) release(c *Client) {
	c.Close()
	l.mu.Lock()
	l.leave(c)
	if !c.evicted {
		l.open--
	}
	l.mu.Unlock()
	<-l.slots
}

// leave takes a connection off its phase's list.
func (l *Listener) leave(c *Client) {
	if c.place != nil {
		l.phases[c.phase].Remove(c.place)
		c.place = nil
	}
}

// Enter begins a phase of the connection. It returns false where the connection has been closed to make room.
func (c *Client) Enter(phase Phase) bool {
	l := c.listener
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.evicted {
		return false
	}
	l.leave(c)
	c.phase, c.since = phase, time.Now()
	if phase != Busy {
		c.place = l.phases[phase].PushBack(c)
	}
	return true
}

// Tight tells that so many connections are in use or between two calls that a client had better not keep its
// own after an answer. Those that are silent or lingering are left out: they are closed soon, whatever others do.
func (c *Client) Tight() bool {
	l := c.listener
	l.mu.Lock()
	defer l.mu.Unlock()
	return float64(l.open-l.phases[Silent].Len()-l.phases[Lingering].Len()) > tightShare*float64(l.limit)
}

// CloseResting closes the connections that rest between two calls, as a sidecar that is drained does: their
// clients are to go elsewhere, and nothing of theirs is open here. It returns how many it closed.
func (l *Listener) CloseResting() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for e := l.phases[Resting].Front(); e != nil; e = l.phases[Resting].Front() {
		c := e.Value.(*Client)
		l.leave(c)
		c.evicted = true
		l.open--
		c.Close()
		n++
	}
	return n
}

// Close stops listening; connections go on.
func (l *Listener) Close() error { return l.ln.Close() }

// Wait returns when the last connection has been served.
func (l *Listener) Wait() { l.serving.Wait() }
