package stage

import (
	"context"
	"errors"
	"runtime"
	"slices"
	"strings"
	"sync"
	"time"

	"burlpass/internal/lab/judge"
	"burlpass/internal/lab/world"
)

// tail is how long after the last call's arrival a day goes on at most.
const tail = 4 * time.Second

func (s *stage) play(ctx context.Context, o Options) (*Result, error) {
	runtime.GC()
	// The day begins now: the clock starts again, so that its script and the calls count from here.
	s.rebase(o.Watch)

	watch := newLateness(o.Virtual)
	var clients sync.WaitGroup
	bySidecar := make([][]*world.Arrival, len(s.plan.Sidecar))
	for i := range s.plan.Arrivals {
		a := &s.plan.Arrivals[i]
		bySidecar[a.Sidecar] = append(bySidecar[a.Sidecar], a)
	}
	for n, list := range bySidecar {
		clients.Go(func() {
			for _, a := range list {
				if !s.sleepUntil(a.At) {
					return
				}
				watch.dispatched(s.now() - a.At)
				clients.Go(func() { s.apps[n].run(a) })
			}
		})
	}
	script := make(chan struct{})
	go func() { defer close(script); s.script(ctx) }()
	every := time.NewTicker(250 * time.Millisecond)
	defer every.Stop()
	end := time.After(s.plan.Length + tail)
	finished := make(chan struct{})
	go func() { clients.Wait(); close(finished) }()
	cut := false
	for on := true; on; {
		select {
		case <-every.C:
			s.each(o)
		case <-end:
			on = false
		case <-finished:
			on = s.now() < s.plan.Length && len(s.plan.Arrivals) > 0
			finished = nil
			if on {
				continue
			}
		case <-ctx.Done():
			on, cut = false, true
		}
		if finished == nil && s.now() >= s.plan.Length {
			on = false
		}
	}
	if o.Done != nil && !cut {
		o.Done()
	}
	played := s.now()
	late := watch.stop()
	close(s.over)
	<-script
	return s.judged(played, cut, late), errors.Join(s.failures...)
}

// rebase starts the clock again, with warm, empty workers.
func (s *stage) rebase(watch func(judge.Event, []judge.Violation)) {
	for _, h := range s.hosts {
		h.mu.Lock()
		defer h.mu.Unlock()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	shift := s.now()
	s.started.Store(s.started.Load() + int64(shift))
	for i := range s.events {
		s.events[i].At -= shift
	}
	for _, h := range s.hosts[:s.plan.AtStart] {
		h.model = world.NewWorker(h.plan.Fleet[h.n], h.plan.Kinds[h.plan.Fleet[h.n].Kind], h.plan.Rules, -1, 0)
		h.reported = 0
		for _, done := range h.waiting {
			close(done)
		}
		clear(h.waiting)
	}
	if watch != nil {
		s.watch = watch
		s.live = judge.New(s.fleet(s.plan.Length))
		for _, e := range s.events {
			s.follow(e)
		}
	}
}

// fleet is what the judge must know, of the calls that came until a time.
func (s *stage) fleet(until time.Duration) judge.Fleet {
	f := judge.Fleet{Scenario: s.plan.Scenario, Until: until}
	for _, w := range s.plan.Fleet {
		f.Worker = append(f.Worker, w.Hall)
		f.Cell = append(f.Cell, w.Cell)
	}
	for _, c := range s.plan.Sidecar {
		f.Sidecar = append(f.Sidecar, c.Hall)
	}
	for _, a := range s.plan.Arrivals {
		if a.At <= until {
			f.Arrivals = append(f.Arrivals, judge.ArrivalOf{At: a.At, Class: a.Class, Sidecar: a.Sidecar, Kept: a.Kept})
		}
	}
	return f
}

func (s *stage) each(o Options) {
	for _, p := range s.sidecars {
		p.sample()
	}
	for _, h := range s.hosts {
		h.sample()
	}
	if o.Progress == nil {
		return
	}
	now := s.now()
	s.mu.Lock()
	p := s.counts
	s.mu.Unlock()
	p.At, p.Length = now, s.plan.Length
	for _, f := range s.plan.Faults {
		if f.At <= now && now < f.At+f.Length {
			p.Running = append(p.Running, strings.TrimSpace(f.Kind+" "+f.Hall))
		}
	}
	o.Progress(p)
}

// judged hands the day to the judge, where none has followed it.
func (s *stage) judged(played time.Duration, cut bool, late Lateness) *Result {
	until := played
	if cut { // what there was no time to answer is nobody's fault
		until = played - tail
	}
	work := judge.Work{}
	for _, a := range s.plan.Arrivals {
		if a.At <= until {
			work.Asked += a.Work.Seconds()
		}
	}
	for _, h := range s.hosts {
		h.mu.Lock()
		if h.model != nil {
			work.Wasted += h.model.Totals.Wasted + h.model.Totals.Lost
		}
		h.mu.Unlock()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	j := s.live
	if j == nil {
		events := slices.Clone(s.events)
		slices.SortStableFunc(events, func(a, b judge.Event) int { return int(a.At - b.At) })
		j = judge.New(s.fleet(played))
		for _, e := range events {
			if e.At <= played {
				j.Observe(e)
			}
		}
	}
	j.Until(until)
	if !cut || s.live == nil {
		j.Finish(played)
	}
	s.live = nil
	return &Result{Report: j.Report(work), Lateness: late, Played: played, Cut: cut}
}
