package stage

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"burlpass/internal/lab/judge"
	"burlpass/internal/lab/world"
)

// host is one worker on sockets: the model, and a listener for each sidecar.
type host struct {
	*stage
	n    int // position in the fleet
	slot int // of its addresses; a replacement takes over its forerunner's

	mu        sync.Mutex
	model     *world.Worker
	up        bool // the process runs
	begun     time.Duration
	stamp     atomic.Int64  // the same by the wall clock of then, Unix time in milliseconds
	silent    int           // silences that go on
	gate      chan struct{} // closed while nothing is silent
	listeners []Listener
	conns     map[*workerConn]struct{}
	waiting   map[uint64]chan struct{} // by job: closed when done
	timer     *time.Timer
	able      bool
	report    world.Load
	reported  time.Duration
	lie       int                  // probe_lie: faults that go on
	shares    map[string]float64   // cut, reset, spoil, overlong: share of answers met
	sizes     map[string][]float64 // the same by fault that goes on
	slows     []float64            // speeds left over, by fault that goes on
	downs     int                  // reasons for which the process is down
	replaced  bool                 // for good
}

func newHost(s *stage, n, slot int) *host {
	open := make(chan struct{})
	close(open)
	return &host{stage: s, n: n, slot: slot, gate: open, conns: map[*workerConn]struct{}{}, waiting: map[uint64]chan struct{}{},
		shares: map[string]float64{}, sizes: map[string][]float64{}}
}

// start begins the process: at the day's start warm (cold false), later cold.
func (h *host) start(cold bool) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.now()
	h.begun = -1
	if cold {
		h.begun = now
		h.stamp.Store(time.Now().UnixMilli())
	}
	if h.model == nil {
		h.model = world.NewWorker(h.plan.Fleet[h.n], h.plan.Kinds[h.plan.Fleet[h.n].Kind], h.plan.Rules, h.begun, now)
	} else {
		h.model.Restart(now)
	}
	h.up = true
	h.report, h.reported = world.Load{}, now
	for i := range h.plan.Sidecar {
		ln, err := h.sockets.Listen(h.net.worker(i, h.slot))
		if err != nil {
			return fmt.Errorf("worker %s: %w", h.model.Name, err)
		}
		h.listeners = append(h.listeners, ln)
		h.work.Go(func() { h.accept(ln, i) })
	}
	if h.silent > 0 {
		h.mute()
	}
	h.truth()
	return nil
}

// started is when the process began; negative: long ago.
func (h *host) started() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.begun
}

// stop ends the process: its connections are reset, new ones refused, its work lost.
func (h *host) stop() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.stopLocked()
}

func (h *host) stopLocked() {
	if !h.up {
		return
	}
	h.up = false
	h.model.Stop(h.now())
	h.unmute()
	for _, ln := range h.listeners {
		ln.Close()
	}
	h.listeners = nil
	for c := range h.conns {
		c.end(true)
	}
	h.waiting = map[uint64]chan struct{}{}
	h.truth()
}

// truth notes a change of whether the worker could serve.
func (h *host) truth() {
	able := h.up && h.silent == 0 && h.model.Up() && !h.model.Stalled()
	if able != h.able {
		h.able = able
		h.observe(judge.Event{Kind: judge.Able, Worker: h.n, On: able})
	}
}

// silence begins or ends a time in which nothing passes to or from the machine.
func (h *host) silence(on bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if on {
		if h.silent++; h.silent == 1 {
			h.gate = make(chan struct{})
			h.mute()
		}
	} else if h.silent > 0 {
		if h.silent--; h.silent == 0 {
			h.unmute()
			close(h.gate)
		}
	}
	h.truth()
}

// mute lets no further connection come up.
func (h *host) mute() {
	for _, ln := range h.listeners {
		ln.Mute(true)
	}
}

func (h *host) unmute() {
	for _, ln := range h.listeners {
		ln.Mute(false)
		ln.SetDeadline(time.Time{})
	}
}
