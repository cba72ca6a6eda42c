// Package relay stands between two processes as a bad network would: plain TCP on loopback, each direction with faults of
// its own that may change at any time.
package relay

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// Direction names one way through a relay.
type Direction int

// The directions.
const (
	Up   Direction = iota // from whoever dialled to the target
	Down                  // back
)

// Fault is what happens to one direction. The zero value passes everything as it comes.
type Fault struct {
	Cut        bool          // nothing passes; connections stay open and silent, and what was sent passes when the cut ends
	Delay      time.Duration // added to all that is sent
	Jitter     time.Duration // the most that is added to Delay, drawn evenly; order is kept
	Rate       int           // bytes a second; 0: as fast as it comes
	ResetAfter int64         // bytes, of each connection, after which it is reset; 0: never
	SpoilEvery int64         // bytes, on average, of which one has a bit turned; 0: never
}

// Greeting is what becomes of new connections.
type Greeting int

// The greetings. A cut direction makes Welcome like Silent: the connection comes up for whoever dials and goes on, to the
// target, when the cut has ended.
const (
	Welcome Greeting = iota // taken to the target
	Refuse                  // reset at once
	Silent                  // accepted, and nothing more until the greeting changes
)

// Bounds of one relay.
const (
	maxConnections = 256      // more are reset
	chunkSize      = 16 << 10 // bytes read at once
	maxChunks      = 16       // under way in one direction of one connection; then the sender waits
	dialTime       = 2 * time.Second
)

// Relay listens on loopback and takes what comes to its target. It is safe for concurrent use.
type Relay struct {
	target   string
	listener *net.TCPListener
	lines    [2]*line
	ctx      context.Context // ended by Close
	stop     context.CancelFunc
	work     sync.WaitGroup

	mu       sync.Mutex
	greeting Greeting
	changed  chan struct{} // closed when the greeting changes
	open     map[*link]struct{}
	seed     uint64
	accepted uint64
}

// New starts a relay to a target's host and port. seed draws its jitter and which bits are spoilt.
func New(target string, seed uint64) (*Relay, error) {
	l, err := net.ListenTCP("tcp4", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, fmt.Errorf("relay to %s: %w", target, err)
	}
	r := &Relay{target: target, listener: l, lines: [2]*line{newLine(), newLine()}, changed: make(chan struct{}),
		open: map[*link]struct{}{}, seed: seed}
	r.ctx, r.stop = context.WithCancel(context.Background())
	r.work.Go(r.accept)
	return r, nil
}

// Addr is the host and port to dial in place of the target's.
func (r *Relay) Addr() string { return r.listener.Addr().String() }

// Set puts a fault on a direction, of the connections there are and of those to come. Counts of bytes begin anew.
func (r *Relay) Set(d Direction, f Fault) { r.lines[d].set(f) }

// Greet says what becomes of new connections from now on.
func (r *Relay) Greet(g Greeting) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.greeting = g
	close(r.changed)
	r.changed = make(chan struct{})
}

// Sever resets every connection there is.
func (r *Relay) Sever() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for l := range r.open {
		l.reset()
	}
}

// Open is the number of connections that have been accepted and not ended.
func (r *Relay) Open() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.open)
}

// Close ends the relay and its connections, and returns when nothing of it runs any more.
func (r *Relay) Close() {
	r.stop()
	r.listener.Close()
	r.Sever()
	r.work.Wait()
}

func (r *Relay) accept() {
	for {
		c, err := r.listener.AcceptTCP()
		if err != nil {
			if r.ctx.Err() != nil {
				return
			}
			time.Sleep(time.Millisecond) // out of descriptors, say: the next one may do
			continue
		}
		r.mu.Lock()
		if r.ctx.Err() != nil || r.greeting == Refuse || len(r.open) >= maxConnections {
			r.mu.Unlock()
			abort(c)
			continue
		}
		r.accepted++
		l := &link{from: c, chance: rand.New(rand.NewPCG(r.seed, r.accepted))}
		l.ctx, l.end = context.WithCancel(r.ctx)
		r.open[l] = struct{}{}
		r.mu.Unlock()
		r.work.Go(func() {
			l.finish(r.serve(l))
			r.mu.Lock()
			delete(r.open, l)
			r.mu.Unlock()
		})
	}
}

// serve takes one connection through, from its greeting to its end; true where both sides have closed it in order.
func (r *Relay) serve(l *link) bool {
	if !r.welcomed(l.ctx) {
		return false
	}
	for _, line := range r.lines { // what a connect would need both ways
		if _, ok := line.pass(l.ctx); !ok {
			return false
		}
	}
	dialer := net.Dialer{Timeout: dialTime}
	to, err := dialer.DialContext(l.ctx, "tcp4", r.target)
	if err != nil {
		return false // and whoever dialled is reset
	}
	if !l.connect(to.(*net.TCPConn)) {
		return false
	}
	var both sync.WaitGroup
	seeds := [2]uint64{l.chance.Uint64(), l.chance.Uint64()}
	both.Go(func() { r.lines[Up].carry(l, l.from, l.to, seeds[Up]) })
	both.Go(func() { r.lines[Down].carry(l, l.to, l.from, seeds[Down]) })
	both.Wait()
	return l.ctx.Err() == nil
}

// welcomed waits until new connections are taken on; false where the connection ends before.
func (r *Relay) welcomed(ctx context.Context) bool {
	for {
		r.mu.Lock()
		greeting, changed := r.greeting, r.changed
		r.mu.Unlock()
		switch greeting {
		case Welcome:
			return true
		case Refuse:
			return false
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

// link is one connection through the relay: two sockets that end together.
type link struct {
	from   *net.TCPConn
	chance *rand.Rand
	ctx    context.Context
	end    context.CancelFunc

	mu   sync.Mutex
	to   *net.TCPConn // nil before the target has been dialled
	over bool
}

// connect keeps the target's side; false where the link has ended meanwhile.
func (l *link) connect(to *net.TCPConn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.over {
		abort(to)
		return false
	}
	l.to = to
	return true
}

// reset ends both sides by RST.
func (l *link) reset() { l.finish(false) }

// finish ends both sides, once: in order, where each has been told so already, or by RST.
func (l *link) finish(inOrder bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.over {
		return
	}
	l.over = true
	l.end()
	for _, c := range []*net.TCPConn{l.from, l.to} {
		switch {
		case c == nil:
		case inOrder:
			c.Close() // what is still on its way to a slow reader arrives
		default:
			abort(c)
		}
	}
}

// abort closes a connection by RST: what it has not sent yet is lost.
func abort(c *net.TCPConn) {
	c.SetLinger(0)
	c.Close()
}
