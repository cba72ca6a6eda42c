package transport

import (
	"container/list"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Budget limits the number of descriptors for one purpose, such as connections to workers.
type Budget struct {
	limit int64
	used  atomic.Int64
}

// NewBudget returns a Budget of n descriptors.
func NewBudget(n int) *Budget { return &Budget{limit: int64(n)} }

func (b *Budget) acquire() bool {
	if b.used.Add(1) > b.limit {
		b.used.Add(-1)
		return false
	}
	return true
}

func (b *Budget) release() { b.used.Add(-1) }

// Descriptors that are reserved for other uses than client and worker connections. None of these uses may have to wait for
// a client to disconnect.
const (
	reservedRuntime   = 8 // the standard streams and the poller
	reservedAccept    = 2 // the client listener and a connection that it has just accepted
	reservedDiscovery = 6 // calls to the registry, some of them concurrent
	reservedFiles     = 8 // the configuration during a reload, state saved for the next process, files opened by the runtime

	// ReservedDescriptors is the sum of these.
	ReservedDescriptors = reservedRuntime + reservedAccept + reservedDiscovery + reservedFiles

	minShared = 16 // for clients and workers together, however low the process's limit
)

// SplitDescriptors divides a process's descriptors between clients and workers after setting aside operators of them for the operator
// address. An open call holds one connection to its client and one to a worker, so both sides get about the same; the
// clients' share is slightly larger because of connections without a call. A tenth of it is spare: for connections that are
// only asked to retry later.
func SplitDescriptors(sockets, operators int) (clients, spare, workers int) {
	n := max(sockets-ReservedDescriptors-operators, minShared)
	clients = n * 11 / 20
	spare = max(clients/10, 1)
	return clients - spare, spare, n - clients
}

const (
	acceptRetryDelay = 5 * time.Millisecond // after a failure such as a lack of descriptors

	// nearLimitShare is the share of the connection limit in use above which connections are not kept alive.
	nearLimitShare = 0.75
)

// Phase is the state of a client's connection. In all phases but PhaseBusy there is no accepted request without a response, and
// the connection may be closed to make room for another.
type Phase uint8

// The phases of a connection.
const (
	PhaseNew       Phase = iota // no byte has arrived yet
	PhaseReading                // part of a call has arrived
	PhaseIdle                   // idle between two calls
	PhaseLingering              // rejected, waiting for the client to close
	PhaseBusy                   // a call is in progress
)

// gracePeriods is how long a connection in each phase is protected from eviction. A client usually sends as soon as it is
// connected, and the rest of its call follows quickly. An idle client may be about to send its next call, but a new
// client's call is already waiting.
var gracePeriods = [PhaseBusy]time.Duration{PhaseNew: 100 * time.Millisecond, PhaseReading: 500 * time.Millisecond,
	PhaseIdle: 250 * time.Millisecond, PhaseLingering: 0}

const (
	// maxAdmitWait is the longest time that a new client waits for a place below the limit before it is served as crowded.
	// The time shrinks as more clients wait: they occupy the spare connections, and the clients behind them get no response.
	maxAdmitWait = 250 * time.Millisecond

	// slotRetryDelay is the shortest wait between two attempts to get a slot.
	slotRetryDelay = 10 * time.Millisecond

	// immediateReturn is the duration below which a system call is taken not to have blocked.
	immediateReturn = time.Millisecond

	// emptyQueueTimeout is how long Accept waits, after Stop, before it considers the accept queue empty.
	emptyQueueTimeout = 5 * time.Millisecond

	// maxQueueTime limits the time that a client is assumed to have waited in the accept queue.
	maxQueueTime = time.Second

	// maxEvictionScan limits the connections of a phase that are examined for one to evict.
	maxEvictionScan = 32
)

// Listener accepts client connections, limits their number, and serves each in its own goroutine.
type Listener struct {
	ln           net.Listener
	limit        int
	gracePeriods [PhaseBusy]time.Duration
	slots        chan struct{} // one for each connection, including the spare ones
	roomFreed    chan struct{} // wakes one of the clients that wait for a place below the limit
	serving      sync.WaitGroup

	mu           sync.Mutex
	openCount    int
	clients      map[*Client]struct{} // all connected clients
	byPhase      [PhaseBusy]list.List // of *Client, the longest in its phase first
	end          time.Time            // of all connections; zero while unknown
	stopDeadline time.Time            // set by Stop; zero until then
}

// Listen listens on addr for up to limit connections, and for spare further ones, which are served as crowded.
func Listen(network Network, addr string, limit, spare int) (*Listener, error) {
	ln, err := network.Listen(addr)
	if err != nil {
		return nil, err
	}
	return NewListener(ln, limit, spare), nil
}

// NewListener is Listen for a socket that is listening already, such as one inherited from the platform.
func NewListener(ln net.Listener, limit, spare int) *Listener {
	return &Listener{ln: ln, limit: limit, gracePeriods: gracePeriods, slots: make(chan struct{}, limit+spare),
		roomFreed: make(chan struct{}, 1), clients: map[*Client]struct{}{}}
}

// Addr returns the listener's address.
func (l *Listener) Addr() net.Addr { return l.ln.Addr() }

// evict closes the connection that has been longest in its phase and whose grace period is over, if no call can be in
// progress on it, and returns 0. Otherwise it returns how long to wait until a connection can be evicted, or 0 if none can
// be soon. The caller holds l.mu.
func (l *Listener) evict() time.Duration {
	wait := maxAdmitWait + 1
	for phase := range l.byPhase {
		for e, n := l.byPhase[phase].Front(), 0; e != nil && n < maxEvictionScan; e, n = e.Next(), n+1 {
			c := e.Value.(*Client)
			if remaining := l.gracePeriods[phase] - time.Since(c.inactiveSince()); remaining > 0 {
				wait = min(wait, remaining)
				continue
			}
			if c.idle() {
				l.evictClient(c)
				return 0
			}
		}
	}
	if wait > maxAdmitWait {
		return 0
	}
	return wait
}

// EvictStalled ends up to n connections whose clients have stopped in the middle of a request.
func (c *Client) EvictStalled(n int) {
	l := c.listener
	l.mu.Lock()
	defer l.mu.Unlock()
	reading := &l.byPhase[PhaseReading]
	for e, scanned := reading.Front(), 0; e != nil && n > 0 && scanned < reading.Len(); scanned++ {
		other := e.Value.(*Client)
		e = e.Next()
		if other != c && time.Since(other.inactiveSince()) >= l.gracePeriods[PhaseReading] && other.idle() {
			l.evictClient(other)
			n--
		}
	}
}

// evictClient ends a connection without a call and no longer counts it as open. Where a request may arrive, it only interrupts
// the read: the serving goroutine alone knows whether it has just read one, and answers that first. The caller holds l.mu.
func (l *Listener) evictClient(c *Client) {
	l.leavePhase(c)
	if !c.uncounted {
		c.uncounted = true
		l.openCount--
	}
	if c.phase == PhaseLingering {
		c.Close()
		return
	}
	c.InterruptRead()
}

// release closes a served connection and frees its slot.
func (l *Listener) release(c *Client) {
	c.Close()
	l.mu.Lock()
	l.leavePhase(c)
	delete(l.clients, c)
	if !c.uncounted {
		l.openCount--
	}
	l.mu.Unlock()
	<-l.slots
	l.signalRoom()
}

// leavePhase removes a connection from the list of its phase. The caller holds l.mu.
func (l *Listener) leavePhase(c *Client) {
	if c.phaseElement != nil {
		l.byPhase[c.phase].Remove(c.phaseElement)
		c.phaseElement = nil
	}
}

// CloseIdle interrupts the wait of all connections that are idle between two calls and returns their number. It is used
// when the sidecar is drained, to move clients elsewhere. The serving goroutines close the connections in an orderly way; a
// client whose next call has already arrived gets its response first.
func (l *Listener) CloseIdle() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	idle := &l.byPhase[PhaseIdle]
	for e := idle.Front(); e != nil; e = e.Next() {
		e.Value.(*Client).EndIdleWaits()
	}
	return idle.Len()
}

// Close stops listening immediately and resets the clients in the accept queue. Accepted connections are not affected.
func (l *Listener) Close() error { return l.ln.Close() }

// Wait blocks until all connections have been served.
func (l *Listener) Wait() { l.serving.Wait() }
