package fleet

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"burlpass/decide"
	"burlpass/internal/lab/judge"
	"burlpass/internal/lab/world"
)

// idleShare is the part of a worker's idle time after which a sidecar closes a connection, as in the program.
const idleShare = 0.7

// watchTime is how long a watch waits for news before it asks again; watchPace the least time between two calls.
const (
	watchTime = 20 * time.Second
	watchPace = 100 * time.Millisecond
	probeTime = 400 * time.Millisecond
)

// sidecar is an instance of the decision module with what it holds open.
type sidecar struct {
	*day
	n       int
	b       Policy
	life    int
	running bool
	view    map[int]world.Entry // the list as it has it
	version uint64
	parked  bool // its watch waits for news
	failing bool // its last call for the list failed
	lastID  uint64
	calls   map[uint64]*call
	idle    map[int][]*conn // by worker, newest last
}

func (s *sidecar) hall() int { return s.Sidecar[s.n].Hall }

// start starts the process with the list that it last had.
func (s *sidecar) start() {
	s.life++
	s.running, s.parked, s.failing = true, false, false
	s.calls, s.idle = map[uint64]*call{}, map[int][]*conn{}
	c := s.config()
	if s.adjust != nil {
		s.adjust(s.n, &c)
	}
	seed := rand.New(rand.NewPCG(s.Seed, uint64(s.n)<<20+uint64(s.life))).Uint64()
	s.b = s.policy(c, seed)
	s.observe(judge.Event{Kind: judge.Began, Sidecar: s.n})
	all := make([]world.Entry, 0, len(s.view))
	for _, e := range s.view {
		all = append(all, e)
	}
	slices.SortFunc(all, func(x, y world.Entry) int { return x.Worker - y.Worker })
	s.tell(decide.Event{Kind: decide.Members, List: decide.ListCached, Servers: s.servers(all)})
	if s.Registry.Pushed && !s.registry.IsDown() {
		s.deliver(s.life)
	}
}

func (s *sidecar) revive() {
	if !s.running {
		s.start()
	}
}

// kill ends the process: its clients and workers see their connections break.
func (s *sidecar) kill() {
	if !s.running {
		return
	}
	s.running, s.parked = false, false
	s.observe(judge.Event{Kind: judge.Killed, Sidecar: s.n})
	ids := make([]uint64, 0, len(s.calls))
	for id := range s.calls {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		c := s.calls[id]
		for _, a := range c.tries {
			a.drop()
		}
		if !c.over {
			c.over = true
			s.observe(judge.Event{Kind: judge.Ended, Call: c.id, Sidecar: s.n, Text: "killed"})
			s.ended(c, world.Broken, 0)
		}
	}
	workers := make([]int, 0, len(s.idle))
	for w := range s.idle {
		workers = append(workers, w)
	}
	slices.Sort(workers)
	for _, w := range workers {
		s.release(w)
	}
	s.life++
}

// config is the settings as the module is given them.
func (s *sidecar) config() decide.Config {
	p := s.Plan
	coldest, longest := p.Coldest()
	c := decide.Config{Zone: s.hall(), Ordinal: s.n, Balancers: len(p.Sidecar), Tick: time.Millisecond, OverShareWorth: 1,
		Weights: decide.WeightsRough, Subscribe: !p.Registry.Pushed, Reports: decide.ReportsProbe, Columns: []string{"util", "eps", "queue"},
		ClientsMarkRetries: p.Clients.Marks, IdleClose: p.Conn.Idle, ConnectTime: p.Conn.Connect, ConnStreams: 1, Marks: true,
		Safety: decide.Safety{AnswerSlack: 20 * time.Millisecond, AskWithin: 10 * time.Second, DrainGrace: p.Rules.DrainGrace,
			FallMultiple: p.Rules.FallMultiple, OverloadWindow: p.Rules.FallTime, StartShare: coldest, WarmAfter: longest},
		Limits: decide.Limits{Cancel: true, Probe: true, SecondCopies: p.Rules.Copies, RetryAfter: true, MaxAttempts: p.Rules.MaxAttempts, MaxRetryAfter: p.Rules.MaxRetry},
		Prices: decide.Prices{CrossZone: p.Goal.Cross, Waste: p.Goal.Waste, Probe: p.Goal.Probe, LateFail: p.Goal.LateFail}}
	effects := map[string]decide.Effect{"safe": decide.Safe, "keyed": decide.Keyed, "unsafe": decide.Unsafe}
	for _, k := range p.Classes {
		group := decide.GroupAll
		if k.Effect == "keyed" {
			group = decide.Group(slices.Index([]string{"all", "zone", "cell"}, cmp.Or(k.Group, "zone")))
		}
		c.Classes = append(c.Classes, decide.Class{Aim: k.Aim, Deadline: k.Deadline, Worth: k.Worth, LateWorth: k.LateWorth,
			Effect: effects[k.Effect], Group: group, Window: k.Window})
	}
	return c
}

func (s *sidecar) servers(entries []world.Entry) (out []decide.Server) {
	states := map[world.State]decide.State{world.Removed: decide.Gone, world.Draining: decide.Draining, world.Up: decide.Ready}
	for _, e := range entries {
		w := s.Fleet[e.Worker]
		x := decide.Server{ID: decide.ServerID(e.Worker + 1), Zone: w.Hall, Cell: w.Cell, Kind: w.Kind, State: states[e.State], Nominal: 1}
		if e.Started >= 0 {
			x.Started = epoch + e.Started
		}
		out = append(out, x)
	}
	return out
}

// tell hands the module an event and carries out what it chose.
func (s *sidecar) tell(e decide.Event) {
	for _, a := range slices.Clone(s.b.Handle(epoch+s.now, e)) {
		life := s.life
		switch a.Kind {
		case decide.Send:
			s.send(a.ID, int(a.Server)-1)
		case decide.Refuse, decide.Fail:
			s.answer(a)
		case decide.Cancel:
			if c := s.calls[a.ID]; c != nil && a.Attempt < len(c.tries) {
				t := c.tries[a.Attempt]
				s.after(0, func() { t.close(decide.Cancelled, false) })
			}
		case decide.Probe:
			s.probe(int(a.Server) - 1)
		case decide.Close:
			s.release(int(a.Server) - 1)
		case decide.SetTimer:
			s.after(a.Wait, func() {
				if s.life == life {
					s.tell(decide.Event{Kind: decide.Timer, Token: a.Token})
				}
			})
		case decide.Watch:
			if a.On {
				s.watch()
			}
		case decide.Mark:
			if a.Text == "bad" {
				s.counts.Ejections++
			}
		}
	}
}
