package decide

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// This file holds the module's state and the index of servers. Nothing here decides.

// Tokens of timers: kind in the top bits, then an attempt number, then an id.
const (
	tokOverdue = iota + 1
	tokHold
	tokServer
	tokWatch
	tokKind = 60
	tokTry  = 52
	tokID   = 1<<tokTry - 1
)

// Balancer decides for one sidecar. It is not safe for concurrent use.
type Balancer struct {
	c         Config
	rng       *rand.Rand
	now       time.Duration
	acts      []Action
	servers   map[ServerID]*server
	cells     map[int][]*server
	zones     map[int][]*server
	tiers     [2]tier // by rank, best first: own zone, any other
	wmax      float64
	classes   []class
	kinds     []kind
	meanWorth float64
	anySafe   bool
	requests  map[uint64]*request
	tokens    float64
	out       int     // attempts out
	away      float64 // share of calls that leave the own zone for its load
	leanAt    time.Duration
	rate      float64 // requests per second
	near      []*server
	usage     []float64 // requests by tenant, decayed
	quotas    float64   // of all tenants
	flowAt    time.Duration
	failures  int
	shedding  bool
	logAt     time.Duration
}

// New returns a Balancer for one sidecar; seed makes its random draws repeatable.
func New(c Config, seed uint64) *Balancer {
	b := &Balancer{c: c, rng: rand.New(rand.NewPCG(seed, 0x9e3779b97f4a7c15)), tokens: retryBurst,
		servers: map[ServerID]*server{}, requests: map[uint64]*request{}}
	b.usage = make([]float64, max(len(c.Tenants), 1))
	for _, t := range c.Tenants {
		b.quotas += t.Quota
	}
	for _, k := range c.Classes {
		aim := max(k.Aim, time.Millisecond).Seconds()
		b.classes = append(b.classes, class{Class: k, mean: aim / 3, dev: aim / 8, base: aim / 3,
			flow: make([]float64, len(b.usage))})
		b.anySafe = b.anySafe || k.Effect == Safe
		b.meanWorth += k.Worth / float64(len(c.Classes))
	}
	return b
}

func (b *Balancer) act(a Action) { b.acts = append(b.acts, a) }

func (b *Balancer) jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.75 + 0.5*b.rng.Float64()))
}

func (b *Balancer) log(format string, args ...any) {
	b.act(Action{Kind: Log, Text: fmt.Sprintf(format, args...)})
}

// pool is an indexed set of servers: a draw is O(1), so is a change.
type pool struct {
	list []*server
	w    float64 // sum of weights
}

type server struct {
	Server
	weight  float64
	in      *pool // one of its tier's pools, nil while not ready
	pos     int
	tier    *tier
	out     int // own attempts out
	overdue int // of these, overdue
	strikes int // failures since the last answer
	level   int // ejections in a row
	wins    int // answers while half-open
	spoilt  int // unreadable answers since the last good one
	until   time.Duration
	okAt    time.Duration // of the last answer
	seen    time.Duration // of what the stretch was last learned from
	stretch float64       // latency against that of the class, averaged
	lot     uint64        // place in the tier's order
	credit  float64       // sends that a warming server may be given, see earn
	wholeAt time.Duration // since when that is a whole one
}

type tier struct {
	live, bad, half pool // in use; ejected; half-open
	warming         []*server
	order           []*server // all ready ones, in an order of this sidecar's own
	ref             float64   // weight that this tier's clients are used to
	refAt           time.Duration
	load            float64 // share of the slack that waiting takes
	debt            float64 // the lasting part of the pressure, summed up from the load
	loadAt          time.Duration
	unfelt          int // requests shed since the load was last felt
	lastOK          time.Duration
	since           time.Duration // start of the present silence
	misses          int
}

type class struct {
	Class
	mean, dev, base float64 // seconds; base is the mean with little waiting
	n               float64
	flow            []float64 // arriving work by tenant, decayed
}

// kind is what the servers of one machine kind show together.
type kind struct {
	mean float64 // latency against that of the class, averaged
	n    float64 // samples
}

type attempt struct {
	s       *server
	at      Server // as it was listed then
	sent    time.Duration
	open    bool
	ran     bool // closed, and it may have run
	overdue bool
}

type request struct {
	id       uint64
	class    *class
	tenant   int
	start    time.Duration
	end, aim time.Duration // when the client gives up; when the worth falls
	tries    []attempt
	out      int
	over     bool
	resend   bool // an attempt was cancelled to try elsewhere
	long     bool // nobody can tell when an attempt of it is overdue
}

// heard notes an answer from a tier.
func (t *tier) heard(now time.Duration) { t.lastOK, t.since, t.misses = now, now, 0 }

// kind is what is known of the servers of a server's kind.
func (b *Balancer) kind(s *server) *kind {
	for len(b.kinds) <= min(max(s.Kind, 0), mostKinds) {
		b.kinds = append(b.kinds, kind{mean: 1})
	}
	return &b.kinds[min(max(s.Kind, 0), mostKinds)]
}

// mostKinds bounds the table of kinds; what lies beyond shares the last place.
const mostKinds = 63

// move puts a server into a pool, or into none.
func (b *Balancer) move(s *server, to *pool) {
	if p := s.in; p != nil {
		last := p.list[len(p.list)-1]
		p.list[s.pos], last.pos = last, s.pos
		p.list = p.list[:len(p.list)-1]
		p.w -= s.weight
	}
	if b.c.Marks {
		b.mark(s, to)
	}
	if s.in = to; to != nil {
		s.pos = len(to.list)
		to.list = append(to.list, s)
		to.w += s.weight
	}
}

// mark tells a trace where a server moves.
func (b *Balancer) mark(s *server, to *pool) {
	text := "none"
	if t := s.tier; to != nil {
		text = map[*pool]string{&t.live: "live", &t.bad: "bad", &t.half: "half"}[to]
	}
	b.act(Action{Kind: Mark, Server: s.ID, Text: text})
}

// reindex rebuilds what hangs on the whole list; only list changes come here.
func (b *Balancer) reindex() {
	b.cells, b.zones, b.wmax = map[int][]*server{}, map[int][]*server{}, 0
	for i := range b.tiers {
		t := &b.tiers[i]
		t.warming, t.order = t.warming[:0], t.order[:0]
		for _, p := range []*pool{&t.live, &t.bad, &t.half} {
			p.w = 0
			for _, s := range p.list {
				p.w += s.weight
				b.wmax = max(b.wmax, s.weight)
				t.order = append(t.order, s)
				b.cells[s.Cell] = append(b.cells[s.Cell], s)
				b.zones[s.Zone] = append(b.zones[s.Zone], s)
				if b.share(s) < 1 {
					t.warming = append(t.warming, s)
				}
			}
		}
		slices.SortFunc(t.order, func(x, y *server) int { return cmp.Compare(x.lot, y.lot) })
	}
}

// rank is a tier's rank as the design counts it.
func (b *Balancer) rank(t *tier) int {
	if t == &b.tiers[0] {
		return 1
	}
	return 0
}

// meanWork is the unhindered time of a request in seconds, over the classes as they come; 0 before the first.
func (b *Balancer) meanWork() float64 {
	flow, n := 0.0, 0.0
	for i := range b.classes {
		for _, f := range b.classes[i].flow {
			flow += f
		}
	}
	for _, u := range b.usage {
		n += u
	}
	if n == 0 {
		return 0
	}
	return flow / n
}

// least is the least number of own attempts out at a server that would be drawn from a tier.
func (b *Balancer) least(t *tier) int {
	n := math.MaxInt
	for _, s := range b.subset(t) {
		n = min(n, s.out)
	}
	return n
}

// tight is the shortest aim, in seconds.
func (b *Balancer) tight() float64 {
	aim := math.Inf(1)
	for i := range b.classes {
		aim = min(aim, b.classes[i].Aim.Seconds())
	}
	return aim
}

func (r *request) tried(s *server) bool {
	for i := range r.tries {
		if r.tries[i].s == s {
			return true
		}
	}
	return false
}

// wake asks for a timer.
func (b *Balancer) wake(in time.Duration, kind, try int, id uint64) {
	b.act(Action{Kind: Wake, Wait: max(in, time.Microsecond),
		Token: uint64(kind)<<tokKind | uint64(try&0xff)<<tokTry | id})
}
