package virtual

import (
	"context"
	"math/rand/v2"
	"net"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	"burlpass/internal/clustertest/relay"
)

// The way of one piece of bytes, without any fault: shortest, and the most that is added.
const (
	wayTime   = 40 * time.Microsecond
	wayJitter = 120 * time.Microsecond
	buffer    = 128 << 10 // bytes under way in one direction of one connection; then the sender waits
)

// network is all connections of one run, in memory. Whoever waits in it waits on a condition or a timer, never on a lock that is
// held while time has to pass.
type network struct {
	mu    sync.Mutex
	rnd   *rand.Rand
	hosts map[string]*host
	wires map[string]*wire
}

func newNetwork(seed uint64) *network {
	return &network{rnd: rand.New(rand.NewPCG(seed, 0x6e6574)), hosts: map[string]*host{}, wires: map[string]*wire{}}
}

// host is one life of a member on the network, or all clients.
type host struct {
	n     *network
	name  string
	still bool // it stands still: it takes nothing and gives nothing
	dark  bool // its machine is gone without a word, until the member's next life
	gone  bool // nothing of it is left
	conns map[*conn]struct{}
	queue []*conn // not accepted yet
	cond  *sync.Cond
	ended bool // of the listener
}

// join puts a life of a member on the network. What was open to a life that went without a word is reset now.
func (n *network) join(name string) *host {
	h := &host{n: n, name: name, conns: map[*conn]struct{}{}}
	h.cond = sync.NewCond(&n.mu)
	n.mu.Lock()
	defer n.mu.Unlock()
	if old := n.hosts[name]; old != nil {
		old.dark = false
		for c := range old.conns {
			c.reset()
		}
	}
	n.hosts[name] = h
	return h
}

// leave ends a life on the network: its connections are reset or, where dark, others hear nothing of it.
func (h *host) leave(dark bool) {
	n := h.n
	n.mu.Lock()
	defer n.mu.Unlock()
	h.gone, h.dark, h.ended, h.still = true, dark, true, false
	h.cond.Broadcast()
	for c := range h.conns {
		if c.host == h {
			c.in.deaf, c.out.over = true, true
			c.in.wake()
			c.out.wake()
		}
		if !dark {
			c.reset()
		}
	}
	h.queue = nil
}

// stand has a life stand still or go on.
func (h *host) stand(still bool) {
	h.n.mu.Lock()
	defer h.n.mu.Unlock()
	h.still = still && !h.gone
	h.cond.Broadcast()
	for c := range h.conns {
		c.in.wake()
		c.out.wake()
	}
}

// Accept implements net.Listener.
func (h *host) Accept() (net.Conn, error) {
	h.n.mu.Lock()
	defer h.n.mu.Unlock()
	for {
		switch {
		case h.ended:
			return nil, opError("accept", net.ErrClosed)
		case len(h.queue) > 0 && !h.still:
			c := h.queue[0]
			h.queue = h.queue[1:]
			return c, nil
		}
		h.cond.Wait()
	}
}

// Close ends the listener.
func (h *host) Close() error {
	h.n.mu.Lock()
	defer h.n.mu.Unlock()
	h.ended = true
	h.cond.Broadcast()
	for _, c := range h.queue {
		c.reset()
	}
	h.queue = nil
	return nil
}

// Addr is the member's.
func (h *host) Addr() net.Addr { return addr(h.name + ":7000") }

type addr string

func (a addr) Network() string { return "tcp" }
func (a addr) String() string  { return string(a) }

func opError(op string, err error) error { return &net.OpError{Op: op, Net: "tcp", Err: err} }

// again is between two looks at whether a connect that nobody answered goes through.
const again = 50 * time.Millisecond

// Dial connects to a member by its name as host.
func (h *host) Dial(ctx context.Context, _, to string) (net.Conn, error) {
	name, _, _ := strings.Cut(to, ":")
	n := h.n
	for wait := n.way(); ; wait = again {
		t := time.NewTimer(wait)
		select {
		case <-t.C:
		case <-ctx.Done():
			t.Stop()
			return nil, opError("dial", ctx.Err())
		}
		c, err := n.connect(h, name)
		if c != nil || err != nil {
			if err != nil {
				return nil, opError("dial", err)
			}
			return c, nil
		}
	}
}

// connect makes a connection; neither one nor an error where nobody answers.
func (n *network) connect(from *host, name string) (net.Conn, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	w := n.wire(from.name, name)
	to := n.hosts[name]
	switch {
	case from.gone:
		return nil, net.ErrClosed
	case from.still, w.lanes[relay.Up].fault.Cut && w.greeting != relay.Refuse, w.lanes[relay.Down].fault.Cut && w.greeting != relay.Refuse:
		return nil, nil
	case w.greeting == relay.Refuse:
		return nil, syscall.ECONNREFUSED
	case to != nil && to.dark:
		return nil, nil
	case to == nil || to.ended:
		return nil, syscall.ECONNREFUSED
	}
	up, down := newHalf(n, w.lanes[relay.Up], from, to), newHalf(n, w.lanes[relay.Down], to, from)
	near := &conn{host: from, in: down, out: up, local: addr(from.name + ":1"), remote: addr(name + ":7000")}
	far := &conn{host: to, in: up, out: down, local: near.remote, remote: near.local}
	near.peer, far.peer = far, near
	from.conns[near], to.conns[far] = struct{}{}, struct{}{}
	w.conns[near] = struct{}{}
	if w.greeting == relay.Silent {
		w.pending = append(w.pending, far)
		return near, nil
	}
	to.queue = append(to.queue, far)
	to.cond.Broadcast()
	return near, nil
}

func (n *network) way() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return wayTime + time.Duration(n.rnd.Int64N(int64(wayJitter)))
}

// wire is what stands between who dials and who is dialled.
type wire struct {
	n        *network
	to       string
	lanes    [2]*lane
	greeting relay.Greeting
	conns    map[*conn]struct{} // of who has dialled
	pending  []*conn            // accepted and nothing more
}

// lane is one direction of a wire.
type lane struct {
	fault  relay.Fault
	serial int // counts the faults set
}

// wire gives the pair's. It is called under the lock.
func (n *network) wire(from, to string) *wire {
	w := n.wires[from+" "+to]
	if w == nil {
		w = &wire{n: n, to: to, lanes: [2]*lane{{}, {}}, conns: map[*conn]struct{}{}}
		n.wires[from+" "+to] = w
	}
	return w
}

// Addr implements run.Wire.
func (w *wire) Addr() string { return w.to + ":7000" }

// Set puts a fault on a direction.
func (w *wire) Set(d relay.Direction, f relay.Fault) {
	w.n.mu.Lock()
	defer w.n.mu.Unlock()
	w.lanes[d].fault = f
	w.lanes[d].serial++
	for c := range w.conns {
		c.in.wake()
		c.out.wake()
	}
}

// Greet says what becomes of new connections.
func (w *wire) Greet(g relay.Greeting) {
	w.n.mu.Lock()
	defer w.n.mu.Unlock()
	w.greeting = g
	if g == relay.Silent {
		return
	}
	for _, c := range w.pending {
		if g == relay.Refuse || c.host.ended {
			c.reset()
			continue
		}
		c.host.queue = append(c.host.queue, c)
		c.host.cond.Broadcast()
	}
	w.pending = nil
}

// Sever resets every connection there is.
func (w *wire) Sever() {
	w.n.mu.Lock()
	defer w.n.mu.Unlock()
	for c := range w.conns {
		c.reset()
		c.peer.reset()
	}
}

// Close implements run.Wire.
func (w *wire) Close() { w.Sever() }

func past(t time.Time) bool { return !t.IsZero() && !time.Now().Before(t) }

// await waits on a condition until the first of the times at the latest.
func await(c *sync.Cond, until ...time.Time) {
	var first time.Time
	for _, t := range until {
		if !t.IsZero() && (first.IsZero() || t.Before(first)) {
			first = t
		}
	}
	if first.IsZero() {
		c.Wait()
		return
	}
	timer := time.AfterFunc(max(0, time.Until(first)), func() {
		c.L.Lock()
		c.Broadcast()
		c.L.Unlock()
	})
	c.Wait()
	timer.Stop()
}

var deadline = os.ErrDeadlineExceeded
