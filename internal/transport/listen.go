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

	// How long a connection without a call is safe from being closed to make room. Clients send as soon as
	// they are connected; one that has asked before may be about to ask again.
	silentGrace = 100 * time.Millisecond
	restGrace   = 2 * time.Second

	// tightShare of the limit in use by clients that do ask is when they had better not stay.
	tightShare = 0.75
)

// Listener hands each client's connection to a goroutine of its own.
type Listener struct {
	ln      net.Listener
	limit   int
	grace   [2]time.Duration // silent, resting
	slots   chan struct{}    // one for each connection, the spare ones too
	serving sync.WaitGroup

	mu      sync.Mutex
	open    int
	silent  list.List // of *Client: those that have never asked, the one longest at rest first
	resting list.List // of *Client: those between two calls, likewise
}

// Client is a client's connection.
type Client struct {
	net.Conn
	Begun   time.Time // when it was accepted
	Crowded bool      // beyond the limit: to be told to come back, not to be served

	listener *Listener
	asked    bool // guarded by the listener's mutex, like all below
	evicted  bool // closed to make room; no longer counted as open
	since    time.Time
	place    *list.Element // in silent or resting, nil while in use
}

// Listen listens on addr for at most limit connections and a few spare ones, which are served as crowded.
func Listen(addr string, limit, spare int) (*Listener, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	return &Listener{ln: ln, limit: limit, grace: [2]time.Duration{silentGrace, restGrace},
		slots: make(chan struct{}, limit+spare)}, nil
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

// evict closes the connection that has been without a call for longest, if its grace is over, and returns 0.
// It returns how long to wait where one will be able to make room soon, and 0 where none will.
func (l *Listener) evict() time.Duration {
	soonest := silentGrace + 1
	for i, from := range []*list.List{&l.silent, &l.resting} {
		first := from.Front()
		if first == nil {
			continue
		}
		c := first.Value.(*Client)
		left := l.grace[i] - time.Since(c.since)
		if left <= 0 {
			l.use(c)
			c.evicted = true
			l.open--
			c.Close()
			return 0
		}
		soonest = min(soonest, left)
	}
	if soonest > silentGrace {
		return 0
	}
	return soonest
}

func (l *Listener) release(c *Client) {
	c.Close()
	l.mu.Lock()
	l.use(c)
	if !c.evicted {
		l.open--
	}
	l.mu.Unlock()
	<-l.slots
}

// use takes a connection off the list of those that may make room.
func (l *Listener) use(c *Client) {
	if c.place == nil {
		return
	}
	if c.asked {
		l.resting.Remove(c.place)
	} else {
		l.silent.Remove(c.place)
	}
	c.place = nil
}

// Rest says that no call is open on the connection: from now on it may be closed to make room for another.
func (c *Client) Rest() {
	l := c.listener
	l.mu.Lock()
	defer l.mu.Unlock()
	from := &l.silent
	if c.asked {
		from = &l.resting
	}
	c.since = time.Now()
	c.place = from.PushBack(c)
}

// Use takes the connection into use for a call; false tells that it has been closed to make room.
func (c *Client) Use() bool {
	l := c.listener
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.place == nil {
		return false
	}
	l.use(c)
	c.asked = true
	return true
}

// Tight tells that so many connections are in use or between two calls that a client had better not keep its
// own after an answer. Those that have never asked are left out: they are closed soon, whatever others do.
func (c *Client) Tight() bool {
	l := c.listener
	l.mu.Lock()
	defer l.mu.Unlock()
	return float64(l.open-l.silent.Len()) > tightShare*float64(l.limit)
}

// Close stops listening; connections go on.
func (l *Listener) Close() error { return l.ln.Close() }

// Wait returns when the last connection has been served.
func (l *Listener) Wait() { l.serving.Wait() }
