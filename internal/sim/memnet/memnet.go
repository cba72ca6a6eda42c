// Package memnet is a network in memory: connections with delay, jitter, bandwidth, segments that split writes at any
// byte, half-close, resets that drop bytes already sent, connects that never come up, and full buffers that block a
// writer. It stands in for sockets under the whole program; time is the time package's, which may be virtual.
package memnet

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"time"
)

// Config is how the network behaves. Chance is the seed of all that it draws.
type Config struct {
	Delay     time.Duration // one way
	Jitter    time.Duration // up to this much more
	Spike     float64       // share of segments that take SpikeTime more
	SpikeTime time.Duration
	Split     float64 // chance that a write is cut in two at a byte drawn, again for each part
	Buffer    int     // bytes in flight and unread before a writer blocks
	Bandwidth float64 // bytes a second, 0 without limit
	Chance    uint64
}

// Net is one network.
type Net struct {
	config Config

	mu        sync.Mutex
	rnd       *rand.Rand
	listeners map[string]*Listener
}

// New returns an empty network.
func New(c Config) *Net {
	if c.Buffer <= 0 {
		c.Buffer = 64 << 10
	}
	return &Net{config: c, rnd: rand.New(rand.NewPCG(c.Chance, 77)), listeners: map[string]*Listener{}}
}

func (n *Net) float() float64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.rnd.Float64()
}

// delay draws the way of one segment.
func (n *Net) delay(size int) time.Duration {
	d := n.config.Delay + time.Duration(n.float()*float64(n.config.Jitter))
	if n.config.Spike > 0 && n.float() < n.config.Spike {
		d += n.config.SpikeTime
	}
	if n.config.Bandwidth > 0 {
		d += time.Duration(float64(size) / n.config.Bandwidth * 1e9)
	}
	return d
}

// Host is one party on the network. When it is killed, all that is its own ends at once.
type Host struct {
	net *Net

	mu        sync.Mutex
	dead      bool
	conns     map[*Conn]struct{}
	listeners map[*Listener]struct{}
}

// Host returns a new party.
func (n *Net) Host() *Host {
	return &Host{net: n, conns: map[*Conn]struct{}{}, listeners: map[*Listener]struct{}{}}
}

// Kill ends the party as the death of its process does: its connections are reset, its listeners gone, and whatever
// code of it still runs reaches nobody.
func (h *Host) Kill() {
	h.mu.Lock()
	h.dead = true
	conns, listeners := h.conns, h.listeners
	h.conns, h.listeners = map[*Conn]struct{}{}, map[*Listener]struct{}{}
	h.mu.Unlock()
	for l := range listeners {
		l.Close()
	}
	for c := range conns {
		c.Reset()
	}
}

// Open is the number of the party's connections and listeners.
func (h *Host) Open() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.conns) + len(h.listeners)
}

type addr string

func (a addr) Network() string { return "tcp" }
func (a addr) String() string  { return string(a) }

func failed(op string, err error) error { return &net.OpError{Op: op, Net: "tcp", Err: err} }

func (h *Host) own(c *Conn) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.dead {
		return false
	}
	h.conns[c] = struct{}{}
	return true
}

func rest(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			return os.ErrDeadlineExceeded
		}
		return ctx.Err()
	}
}

func past(t time.Time) bool { return !t.IsZero() && !time.Now().Before(t) }

// wait waits on a condition until the first of the times at the latest.
func wait(c *sync.Cond, until ...time.Time) {
	first := time.Time{}
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
