// Package fleet plays a laboratory day with many sidecars in one process: an instance of the decision module for each,
// over the laboratory's world, driven by events on virtual time. There are no sockets, goroutines or clocks, so that a
// day of eighty sidecars takes a second or two and the same seed gives the same day. What the network code adds (its
// parsers, its pool's races, processor time) is not here; internal/sim and the stage play that.
package fleet

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"burlpass/decide"
	"burlpass/internal/lab/judge"
	"burlpass/internal/lab/world"
)

// epoch is the module's clock at the start of a day; a worker's start of zero means long ago.
const epoch = 24 * time.Hour

// tail is how long a day runs on after the last call.
const tail = 4 * time.Second

// Counts are totals of a day over all sidecars.
type Counts struct {
	Sends       int `json:"sends"`
	Handshakes  int `json:"handshakes"`
	ConnsAtOnce int `json:"connections_at_once"` // the most over all workers
	TurnedOff   int `json:"connections_refused"` // by workers whose table was full
	Probes      int `json:"probes"`
	ListCalls   int `json:"list_calls"`
	ListFailed  int `json:"list_calls_failed"`
	Ejections   int `json:"ejections"`
	Lost        int `json:"sends_to_the_gone"` // connects to workers whose process had ended
}

// WorkerCounts are those of one worker.
type WorkerCounts struct {
	Name       string  `json:"name"`
	Hall       int     `json:"hall"`
	Sends      int     `json:"sends"`
	Handshakes int     `json:"handshakes"`
	MostConns  int     `json:"most_connections"`
	Probes     int     `json:"probes"`
	TurnedAway int     `json:"turned_away"`
	ColdUse    float64 `json:"cold_use"` // the most of its allowance while cold that was used; over 1 it falls
}

// Result is a day played.
type Result struct {
	Report  *judge.Report  `json:"report"`
	Counts  Counts         `json:"counts"`
	Workers []WorkerCounts `json:"workers"`
}

// Policy decides for one sidecar: decide.Balancer, or what is set beside it.
type Policy interface {
	Handle(now time.Duration, e decide.Event) []decide.Action
}

// Play plays a day with the decision module as it is. adjust, where it is not nil, changes each sidecar's settings.
// Faults that only sockets can show are an error.
func Play(p *world.Plan, adjust func(sidecar int, c *decide.Config)) (*Result, error) {
	return PlayWith(p, adjust, func(c decide.Config, seed uint64) Policy { return decide.New(c, seed) })
}

// PlayWith is Play with another policy, made anew for each start of a sidecar's process.
func PlayWith(p *world.Plan, adjust func(sidecar int, c *decide.Config), policy func(c decide.Config, seed uint64) Policy) (*Result, error) {
	for i, f := range p.Faults {
		switch f.Kind {
		case "hang", "hall_loss", "replace", "kill", "registry_lag", "registry_down", "slow", "shrink":
		default:
			return nil, fmt.Errorf("fault[%d].kind: a fleet on virtual time has no %s; lab run and sim play it", i, f.Kind)
		}
	}
	d := newDay(p, adjust, policy)
	for d.queue.Len() > 0 {
		e := heap.Pop(&d.queue).(event)
		if e.at > p.Length+tail {
			break
		}
		d.now = e.at
		e.do()
	}
	return d.result(), nil
}

// day is a day under way.
type day struct {
	*world.Plan
	now      time.Duration
	queue    events
	seq      int
	judge    *judge.Judge
	chance   *rand.Rand
	machines []*machine
	sidecars []*sidecar
	registry *world.Registry
	dedup    []map[int]*world.Dedup // by class and group; nil where a class has no keys
	counts   Counts
	serial   uint64
	adjust   func(int, *decide.Config)
	policy   func(decide.Config, uint64) Policy
}

// chanceStream keeps the network's chance apart from that of the plan.
const chanceStream = 1 << 50

func newDay(p *world.Plan, adjust func(int, *decide.Config), policy func(decide.Config, uint64) Policy) *day {
	d := &day{Plan: p, chance: rand.New(rand.NewPCG(p.Seed, chanceStream)), adjust: adjust, policy: policy,
		registry: world.NewRegistry(p.Registry.Notice, p.Registry.Silent, p.Registry.Capacity, p.Registry.Timeout)}
	f := judge.Fleet{Scenario: p.Scenario, Until: p.Length}
	for _, w := range p.Fleet {
		f.Worker = append(f.Worker, w.Hall)
		f.Cell = append(f.Cell, w.Cell)
		f.Able = append(f.Able, w.Speed*float64(p.Kinds[w.Kind].Cores))
	}
	for _, s := range p.Sidecar {
		f.Sidecar = append(f.Sidecar, s.Hall)
	}
	for _, a := range p.Arrivals {
		f.Arrivals = append(f.Arrivals, judge.ArrivalOf{At: a.At, Class: a.Class, Sidecar: a.Sidecar})
	}
	d.judge = judge.New(f)
	for c, k := range p.Classes {
		var groups map[int]*world.Dedup
		if k.Effect == "keyed" {
			groups = map[int]*world.Dedup{}
			for n := range p.Fleet {
				groups[p.Group(c, n)] = world.NewDedup(k.Window)
			}
		}
		d.dedup = append(d.dedup, groups)
	}
	for n := range p.Fleet {
		m := &machine{day: d, n: n, jobs: map[uint64]*attempt{}, begun: -time.Hour, counts: WorkerCounts{Name: p.Fleet[n].Name, Hall: p.Fleet[n].Hall}}
		d.machines = append(d.machines, m)
		if n < p.AtStart {
			m.start(-time.Hour)
			d.registry.List(world.Entry{Worker: n, State: world.Up, Started: m.begun})
			d.judge.Observe(judge.Event{Kind: judge.Listed, Worker: n, State: uint8(world.Up), Started: m.begun})
		}
	}
	for n := range p.Sidecar {
		s := &sidecar{day: d, n: n, view: map[int]world.Entry{}}
		d.sidecars = append(d.sidecars, s)
		for _, e := range d.registry.Since(0, true) {
			s.view[e.Worker] = e
		}
		s.version = d.registry.Version
		s.start()
	}
	for i := range p.Arrivals {
		a := &p.Arrivals[i]
		d.at(a.At, func() { d.sidecars[a.Sidecar].try(a, world.NewClient(p, a)) })
	}
	for _, step := range p.Steps {
		d.at(step.At, func() { d.step(step) })
	}
	return d
}

func (d *day) observe(e judge.Event) {
	e.At = d.now
	d.judge.Observe(e)
}

func (d *day) oneWay(from, to int) time.Duration { return d.OneWay(from, to, d.chance.Float64()) }

func (d *day) result() *Result {
	d.judge.Finish(d.now)
	work := judge.Work{}
	for _, a := range d.Arrivals {
		work.Asked += a.Work.Seconds()
	}
	r := &Result{Counts: d.counts}
	for _, m := range d.machines {
		if m.model != nil {
			work.Wasted += m.model.Totals.Wasted + m.model.Totals.Lost
			m.counts.ColdUse = max(m.counts.ColdUse, m.model.ColdUse)
		}
		r.Workers = append(r.Workers, m.counts)
	}
	r.Report = d.judge.Report(work)
	return r
}
