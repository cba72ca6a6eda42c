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

	// slotPause is the least wait between two looks for a slot.
	slotPause = 10 * time.Millisecond

	// atOnce is the time within which a system call returns that had nothing to wait for.
	atOnce = time.Millisecond

	// sweepTime is how long Accept waits, once it is to stop, before it takes the system's queue to be empty.
	sweepTime = 5 * time.Millisecond

	// longestQueued bounds the time for which a client is held to have waited in the system's queue.
	longestQueued = time.Second

	// looks bounds the connections of a phase that are looked at for one that can make room.
	looks = 32
)

// Listener hands each client's connection to a goroutine of its own.
type Listener struct {
	ln      net.Listener
	limit   int
	graces  [Busy]time.Duration
	slots   chan struct{} // one for each connection, the spare ones too
	room    chan struct{} // wakes one of the clients that wait for room
	serving sync.WaitGroup

	mu      sync.Mutex
	open    int
	clients map[*Client]struct{} // all that are connected
	phases  [Busy]list.List      // of *Client, the one longest in its phase first
	end     time.Time            // of all connections; zero while it is not known
	stopBy  time.Time            // set by Stop; zero before
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
	return &Listener{ln: ln, limit: limit, graces: graces, slots: make(chan struct{}, limit+spare), room: make(chan struct{}, 1),
		clients: map[*Client]struct{}{}}
}

// Addr is where it listens.
func (l *Listener) Addr() net.Addr { return l.ln.Addr() }

// Accept serves connections until Close or Stop. At the limit a client without a call makes room for a new one; where
// none does, further clients are served as crowded, and then wait in the system's queue, up to the next that can make room.
// A client waits for room in a goroutine of its own: those behind it may be told to come back meanwhile. Failures such as a
// lack of descriptors pass: failed, unless nil, is told the first of several in a row.
func (l *Listener) Accept(serve func(c *Client), failed func(error)) {
	empty := time.Now() // when the system's queue was last known to be empty: who came behind it may have waited since
	failing := false
	for l.sweep() {
		asked := time.Now()
		conn, err := l.ln.Accept()
		if errors.Is(err, os.ErrDeadlineExceeded) && l.stops() {
			l.ln.Close()
			return
		}
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			if !failing && failed != nil {
				failed(err)
			}
			failing = true
			time.Sleep(acceptPause)
			continue
		}
		failing = false
		now := time.Now()
		if now.Sub(asked) >= atOnce {
			empty = now
		}
		begun := Latest(empty, now.Add(-longestQueued))
		c := &Client{deadlines: deadlines{conn: conn, begun: begun}, socket: AsSocket(conn), listener: l}
		l.takeSlot()
		l.join(c)
		l.serving.Go(func() {
			defer l.release(c)
			l.admit(c)
			serve(c)
		})
	}
}

// takeSlot takes one of the slots, which bound the connections. Where none is free it makes a client without a call give
// its up as soon as one can.
func (l *Listener) takeSlot() {
	for {
		select {
		case l.slots <- struct{}{}:
			return
		default:
		}
		l.mu.Lock()
		wait := l.evict()
		l.mu.Unlock()
		select {
		case l.slots <- struct{}{}:
			return
		case <-time.After(max(wait, slotPause)):
		}
	}
}

// join counts a connection among those that EndBy ends.
func (l *Listener) join(c *Client) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.clients[c] = struct{}{}
	if !l.end.IsZero() {
		c.EndBy(l.end)
	}
}

// EndBy ends every connection by a time, those too that come after the call.
func (l *Listener) EndBy(end time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.end = end
	for c := range l.clients {
		c.EndBy(end)
	}
}

// ResetBusy resets the connections on which a request is still open, and returns how many there were. The process ends with
// it: whoever serves them need not have noticed when it returns.
func (l *Listener) ResetBusy() (n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.clients {
		if c.phase == Busy {
			c.Reset()
			n++
		}
	}
	return n
}

// admit counts a connection in, and waits for room below the limit as long as some can be made soon.
func (l *Listener) admit(c *Client) {
	spare := max(cap(l.slots)-l.limit, 1)
	end := time.Now().Add(soon * time.Duration(min(cap(l.slots)-len(l.slots)+1, spare)) / time.Duration(spare))
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
			if left := l.graces[phase] - time.Since(c.quietSince()); left > 0 {
				wait = min(wait, left)
				continue
			}
			if c.idle() {
				l.makeRoom(c)
				return 0
			}
		}
	}
	if wait > soon {
		return 0
	}
	return wait
}

// makeRoom ends a connection without a call, which no longer counts as open. One with a part of a request is woken, so that
// it is told so before its end; any other is closed. It is called under the lock.
func (l *Listener) makeRoom(c *Client) {
	l.leave(c)
	if !c.uncounted {
		c.uncounted = true
		l.open--
	}
	if c.phase == Reading {
		c.Wake()
		return
	}
	c.evicted = true
	c.Close()
}

func (l *Listener) release(c *Client) {
	c.Close()
	l.mu.Lock()
	l.leave(c)
	delete(l.clients, c)
	if !c.uncounted {
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

// CloseResting ends the wait of the connections that rest between two calls, as a sidecar that is drained does: their
// clients are to go elsewhere, and nothing of theirs is open here. Whoever serves them ends them in order; one whose next
// call has come already gets its answer first. It returns how many there are.
func (l *Listener) CloseResting() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	resting := &l.phases[Resting]
	for e := resting.Front(); e != nil; e = e.Next() {
		e.Value.(*Client).EndRest()
	}
	return resting.Len()
}

// Close stops listening at once, and resets the clients that wait in the system's queue; connections go on.
func (l *Listener) Close() error { return l.ln.Close() }

// Stop has Accept stop listening as soon as no client waits in the system's queue, also where accepting them fails for a
// moment, and by the given time at the latest. Their requests have been sent, and a close would reset them.
func (l *Listener) Stop(by time.Time) {
	l.mu.Lock()
	l.stopBy = by
	l.mu.Unlock()
	l.sweep()
}

func (l *Listener) stops() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.stopBy.IsZero()
}

// sweep gives Accept, where it is to stop, a moment more for the system's queue. It closes the listener and returns false
// when the time for that is over.
func (l *Listener) sweep() bool {
	l.mu.Lock()
	by := l.stopBy
	l.mu.Unlock()
	if by.IsZero() {
		return true
	}
	if !time.Now().Before(by) || !acceptFor(l.ln, sweepTime) {
		l.ln.Close()
		return false
	}
	return true
}

// Wait returns when the last connection has been served.
func (l *Listener) Wait() { l.serving.Wait() }
