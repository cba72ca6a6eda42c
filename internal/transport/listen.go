package transport

import (
	"container/list"
	"errors"
	"net"
	"os"
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

// Descriptors that belong to no connection that is counted, by what needs them. None of these may wait for a client to go.
const (
	reservedRuntime   = 8 // the standard streams and the poller
	reservedAccept    = 2 // the clients' listener, and the client that it has just accepted
	reservedDiscovery = 6 // calls to discovery, some beside one another
	reservedFiles     = 8 // the configuration at a reload, what is kept for the next process, what the runtime opens
	reserved          = reservedRuntime + reservedAccept + reservedDiscovery + reservedFiles

	leastShared = 16 // for both sides, however few a platform grants
)

// Split divides a process's descriptors, operators of which are for the operators' address. An open call holds one
// connection to its client and one to a worker, so both sides get about the same; the clients' share is a little larger for
// those that hold a connection without a call. A tenth of it is kept for connections that are only told to come back.
func Split(sockets, operators int) (clients, spare, workers int) {
	n := max(sockets-reserved-operators, leastShared)
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

const (
	// soon is how long a new client waits for room at most, before it is served as crowded. The more wait, the less:
	// they hold the spare connections, and behind them nobody is told anything.
	soon = 250 * time.Millisecond

	// looks bounds the connections of a phase that are looked at for one that can make room.
	looks = 8
)

// Listener hands each client's connection to a goroutine of its own.
type Listener struct {
	ln      net.Listener
	limit   int
	graces  [Busy]time.Duration
	slots   chan struct{} // one for each connection, the spare ones too
	room    chan struct{} // wakes one of the clients that wait for room
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
	socket   Socket       // the connection as one that can be asked; nil where it cannot
	waiting  atomic.Bool  // its goroutine waits for bytes, so that it holds none that it has not dealt with
	heard    atomic.Int64 // when its last bytes were read, in nanoseconds since started; 0 where none were
	phase    Phase        // guarded by the listener's mutex, like all below
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
	return &Listener{ln: ln, limit: limit, graces: graces, slots: make(chan struct{}, limit+spare), room: make(chan struct{}, 1)}
}

// Addr is where it listens.
func (l *Listener) Addr() net.Addr { return l.ln.Addr() }

// Accept serves connections until Close. At the limit a client without a call makes room for a new one; where
// none does, further clients are served as crowded, and then wait in the system's queue. A client waits for room in a
// goroutine of its own: those behind it may be told to come back meanwhile.
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
		c := &Client{Conn: conn, socket: asSocket(conn), Begun: time.Now(), listener: l}
		l.slots <- struct{}{}
		l.serving.Go(func() {
			defer l.release(c)
			l.admit(c)
			serve(c)
		})
	}
}

// admit counts a connection in, and waits for room below the limit as long as some can be made soon.
func (l *Listener) admit(c *Client) {
	spare := max(cap(l.slots)-l.limit, 1)
	end := c.Begun.Add(soon * time.Duration(min(cap(l.slots)-len(l.slots)+1, spare)) / time.Duration(spare))
	for {
		l.mu.Lock()
		wait := time.Duration(0)
		if l.open >= l.limit {
			wait = min(l.evict(), time.Until(end))
		}
		if wait <= 0 {
			l.open++
			c.Crowded = l.open > l.limit
			more := l.open < l.limit
			l.mu.Unlock()
			if more {
				l.roomy()
			}
			return
		}
		l.mu.Unlock()
		select {
		case <-l.room:
		case <-time.After(wait):
		}
	}
}

// roomy wakes a client that waits for room.
func (l *Listener) roomy() {
	select {
	case l.room <- struct{}{}:
	default:
	}
}

// evict closes the connection that has been longest in its phase, if its grace is over and no call can be under way in
// it, and returns 0. It returns how long to wait where one will be able to make room soon, and 0 where none will.
func (l *Listener) evict() time.Duration {
	wait := soon + 1
	for phase := range l.phases {
		for e, n := l.phases[phase].Front(), 0; e != nil && n < looks; e, n = e.Next(), n+1 {
			c := e.Value.(*Client)
			if left := l.graces[phase] - time.Since(c.since); left > 0 {
				wait = min(wait, left)
				break
			}
			if c.idle() {
				l.end(c)
				return 0
			}
		}
	}
	if wait > soon {
		return 0
	}
	return wait
}

// idle tells that no call can be under way in a connection. What has come and not been read counts as one: where the
// processor is short, a call waits in the kernel for longer than any grace, and a close would reset its connection.
func (c *Client) idle() bool { return c.waiting.Load() && Quiet(c.Conn) }

// end closes a connection without a call, which no longer counts as open. It is called under the lock.
func (l *Listener) end(c *Client) {
	l.leave(c)
	c.evicted = true
	l.open--
	c.Close()
}

// started is the moment from which times are counted that are kept as numbers; only its monotonic reading matters.
var started = time.Now()

// LastByte is when the client's last bytes were read, and when it was accepted where none were.
func (c *Client) LastByte() time.Time {
	if at := c.heard.Load(); at > 0 {
		return started.Add(time.Duration(at))
	}
	return c.Begun
}

// Read reads what the client has sent. A deadline ends a wait for the client, not the reading of what is there already: a
// process that is late finds the one passed and the other come, and the client has done its part.
func (c *Client) Read(b []byte) (n int, err error) {
	c.waiting.Store(true)
	n, err = c.Conn.Read(b)
	c.waiting.Store(false)
	if n > 0 {
		c.heard.Store(int64(time.Since(started)))
	}
	for tries := 0; tries < 3 && n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && Unread(c.Conn); tries++ {
		c.SetReadDeadline(time.Time{})
		n, err = c.Conn.Read(b)
		c.SetReadDeadline(time.Now()) // what comes after it is late
	}
	return n, err
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
	l.roomy()
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

// CloseResting ends the wait of the connections that rest between two calls, as a sidecar that is drained does: their
// clients are to go elsewhere, and nothing of theirs is open here. Whoever serves them ends them in order; one whose next
// call has come already gets its answer first. It returns how many there are.
func (l *Listener) CloseResting() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	resting := &l.phases[Resting]
	for e := resting.Front(); e != nil; e = e.Next() {
		e.Value.(*Client).SetReadDeadline(time.Now()) // whatever has come is read all the same
	}
	return resting.Len()
}

// Close stops listening; connections go on.
func (l *Listener) Close() error { return l.ln.Close() }

// Wait returns when the last connection has been served.
func (l *Listener) Wait() { l.serving.Wait() }
