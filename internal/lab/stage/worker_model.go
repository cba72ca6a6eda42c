package stage

import (
	"math/rand/v2"
	"strconv"
	"time"

	"burlpass/internal/lab/judge"
	"burlpass/internal/lab/world"
)

// offer hands the model a job; done is closed when it has been done.
func (h *host) offer(x *exchange, work time.Duration) (world.Verdict, <-chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.up {
		return world.Down, nil
	}
	now := h.now()
	h.finish(h.model.Advance(now))
	id := h.jobs.Add(1)
	v := h.model.Offer(now, world.Job{ID: id, Work: work, From: x.conn.sidecar, Probe: x.try == nil})
	switch v {
	case world.Taken:
		done := make(chan struct{})
		h.waiting[id] = done
		x.job = id
		h.arm()
		return v, done
	case world.Down:
		if h.model.Fallen() && h.up {
			h.observe(judge.Event{Kind: judge.Fell, Worker: h.n, From: h.model.FellFrom, Started: h.begun})
			h.stopLocked()
			h.registry.change(world.Entry{Worker: h.n, State: world.Removed, Started: h.begun}, false)
		}
	}
	return v, nil
}

// abandon tells the model that nobody waits for a job.
func (h *host) abandon(x *exchange) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.up {
		delete(h.waiting, x.job)
		h.finish(h.model.Abandon(h.now(), x.job))
		h.arm()
	}
}

func (h *host) finish(done []world.Finished) {
	for _, f := range done {
		if c := h.waiting[f.ID]; c != nil {
			close(c)
			delete(h.waiting, f.ID)
		}
	}
}

// arm sets the timer to when the model does something next.
func (h *host) arm() {
	if h.timer == nil {
		h.timer = time.AfterFunc(time.Hour, h.tick)
	}
	if at, ok := h.model.Due(); ok && h.up {
		h.timer.Reset(max(0, at-h.now()))
	}
}

func (h *host) tick() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.up {
		h.finish(h.model.Advance(h.now()))
		h.arm()
	}
}

// stall begins or ends a hang; slow sets the speed left over.
func (h *host) stall(on bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.finish(h.model.Stall(h.now(), on))
	h.arm()
	h.truth()
}

func (h *host) slow(share float64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.finish(h.model.Slow(h.now(), share))
	h.arm()
}

// loadText is the load report, made anew once a period; a lie says that all is well.
func (h *host) loadText(lie bool) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.now()
	if now-h.reported >= h.plan.Probe.Period {
		h.finish(h.model.Advance(now))
		h.arm()
		h.report, h.reported = h.model.Report(), now
	}
	load := h.report
	if lie {
		load = world.Load{}
	}
	noise := 1 + h.plan.Probe.Noise*rand.NormFloat64()
	return "util=" + strconv.FormatFloat(max(0, min(1, load.Util*noise)), 'f', 4, 64) +
		", eps=" + strconv.FormatFloat(max(0, load.Errors*noise), 'f', 3, 64) + ", queue=" + strconv.Itoa(load.Queue)
}
