package decide

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// This file holds the state of the balancer and the server index. It contains no decisions.

// Timer tokens: the kind is in the top bits, followed by an attempt index and an ID.
const (
	timerOverdue = iota + 1
	timerHold
	timerServer
	timerWatch
	tokenKindShift    = 60
	tokenAttemptShift = 52
	tokenIDMask       = 1<<tokenAttemptShift - 1
)

// Balancer makes the decisions for one sidecar. It is not safe for concurrent use.
type Balancer struct {
	config            Config
	rng               *rand.Rand
	now               time.Duration
	actions           []Action
	servers           map[ServerID]*server
	cells             map[int][]*server
	zones             map[int][]*server
	tiers             [2]tier // best first: own zone, all others
	maxWeight         float64
	classes           []class
	kindStats         []kindStats
	meanWorth         float64
	hasSafeClass      bool
	requests          map[uint64]*request
	retryTokens       float64
	outstanding       int     // open attempts at all servers
	crossZoneShare    float64 // share of requests that leave the own zone because of its load
	crossZoneShareAt  time.Duration
	requestRate       float64 // requests per second
	subsetBuffer      []*server
	tenantRequests    []float64 // requests by tenant, decayed
	totalQuota        float64   // over all tenants
	rateUpdatedAt     time.Duration
	discoveryFailures int
	shedding          bool
	nextShedLog       time.Duration
}

// New returns a Balancer for one sidecar; the seed makes its random draws reproducible.
func New(config Config, seed uint64) *Balancer {
	b := &Balancer{config: config, rng: rand.New(rand.NewPCG(seed, 0x9e3779b97f4a7c15)),
		retryTokens: retryBudgetBurst,
		servers:     map[ServerID]*server{}, requests: map[uint64]*request{}}
	b.tenantRequests = make([]float64, max(len(config.Tenants), 1))
	for _, t := range config.Tenants {
		b.totalQuota += t.Quota
	}
	for _, k := range config.Classes {
		aim := max(k.Aim, time.Millisecond).Seconds()
		b.classes = append(b.classes, class{Class: k,
			meanLatency: aim / 3, latencyDeviation: aim / 8, baseLatency: aim / 3,
			workByTenant: make([]float64, len(b.tenantRequests))})
		b.hasSafeClass = b.hasSafeClass || k.Effect == Safe
		b.meanWorth += k.Worth / float64(len(config.Classes))
	}
	return b
}

func (b *Balancer) addAction(a Action) { b.actions = append(b.actions, a) }

func (b *Balancer) jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.75 + 0.5*b.rng.Float64()))
}

func (b *Balancer) log(format string, args ...any) {
	b.addAction(Action{Kind: Log, Text: fmt.Sprintf(format, args...)})
}

// pool is an indexed set of servers with draws and changes in O(1).
type pool struct {
	members     []*server
	totalWeight float64 // sum of the members' weights
}

// server is a listed server with its health and slow-start state.
type server struct {
	Server
	weight          float64
	pool            *pool // a pool of its tier, nil while not ready
	poolIndex       int
	tier            *tier
	outstanding     int // open attempts of this balancer
	overdue         int // open attempts that are overdue
	failures        int // weighted, since the last answer
	ejections       int // in a row; lengthens the next one
	trialSuccesses  int // in a row while half-open
	unreadable      int // answers in a row
	ejectedUntil    time.Duration
	lastSuccess     time.Duration
	latencyRatioAt  time.Duration // when latencyRatio was last updated
	latencyRatio    float64       // moving average of latency over the mean of the class
	orderKey        uint64        // random position in tier.order
	credit          float64       // attempts that may be sent while warming, see earnCredit
	fullCreditSince time.Duration // when the credit reached 1
}

// tier is a group of servers of equal locality, with its load and health signals.
type tier struct {
	active, ejected, halfOpen pool // by circuit breaker state
	warming                   []*server
	order                     []*server // all ready servers, in an order random for each balancer
	referenceWeight           float64   // usual total weight; falls slowly when servers leave the list
	referenceWeightAt         time.Duration
	load                      float64 // moving average of the share of the slack spent waiting
	sustainedPressure         float64 // part of the pressure that is integrated from the load
	loadUpdatedAt             time.Duration
	unsampledSheds            int // requests shed since the last load sample
	lastAnswer                time.Duration
	silentSince               time.Duration // last answer, or the first attempt before any answer
	misses                    int
}

// class is a request class with its measured latency and arriving work.
type class struct {
	Class
	meanLatency, latencyDeviation, baseLatency float64 // seconds; base: with little queueing
	samples                                    float64
	workByTenant                               []float64 // decayed sum of arriving work
}

// kindStats is the measured relative latency of the servers of one machine kind.
type kindStats struct {
	meanLatency float64 // moving average of latency over the mean of the class
	samples     float64
}

// attempt is one attempt of a request at a server.
type attempt struct {
	target     *server
	listed     Server // the server's list entry when the attempt was sent
	sentAt     time.Duration
	open       bool
	mayHaveRun bool // closed, and the server may have run it
	overdue    bool
}

// request is a request in progress, or one that is done with attempts still open.
type request struct {
	id            uint64
	class         *class
	tenant        int
	arrivedAt     time.Duration
	deadline, aim time.Duration // when the client gives up; when the class's aim is missed
	attempts      []attempt
	outstanding   int
	done          bool
	retryOnCancel bool // an attempt was cancelled to retry elsewhere
	openEnded     bool // its upload takes unknown time, so no attempt is ever overdue
}

// recordAnswer notes an answer from a tier and ends its silence.
func (t *tier) recordAnswer(now time.Duration) { t.lastAnswer, t.silentSince, t.misses = now, now, 0 }

// statsFor returns the statistics of a server's machine kind.
func (b *Balancer) statsFor(s *server) *kindStats {
	for len(b.kindStats) <= min(max(s.Kind, 0), maxKind) {
		b.kindStats = append(b.kindStats, kindStats{meanLatency: 1})
	}
	return &b.kindStats[min(max(s.Kind, 0), maxKind)]
}

// maxKind bounds the table of machine kinds; higher numbers share the last entry.
const maxKind = 63

// move puts a server into a pool, or takes it out of its pool if to is nil.
func (b *Balancer) move(s *server, to *pool) {
	if p := s.pool; p != nil {
		last := p.members[len(p.members)-1]
		p.members[s.poolIndex], last.poolIndex = last, s.poolIndex
		p.members = p.members[:len(p.members)-1]
		p.totalWeight -= s.weight
	}
	if b.config.Marks {
		b.addMark(s, to)
	}
	if s.pool = to; to != nil {
		s.poolIndex = len(to.members)
		to.members = append(to.members, s)
		to.totalWeight += s.weight
	}
}

// addMark reports to the trace which pool a server moves to.
func (b *Balancer) addMark(s *server, to *pool) {
	text := "none"
	if t := s.tier; to != nil {
		text = map[*pool]string{&t.active: "live", &t.ejected: "bad", &t.halfOpen: "half"}[to]
	}
	b.addAction(Action{Kind: Mark, Server: s.ID, Text: text})
}

// reindex rebuilds the indexes over all servers after a change of the list.
func (b *Balancer) reindex() {
	b.cells, b.zones, b.maxWeight = map[int][]*server{}, map[int][]*server{}, 0
	for i := range b.tiers {
		t := &b.tiers[i]
		t.warming, t.order = t.warming[:0], t.order[:0]
		for _, p := range []*pool{&t.active, &t.ejected, &t.halfOpen} {
			p.totalWeight = 0
			for _, s := range p.members {
				p.totalWeight += s.weight
				b.maxWeight = max(b.maxWeight, s.weight)
				t.order = append(t.order, s)
				b.cells[s.Cell] = append(b.cells[s.Cell], s)
				b.zones[s.Zone] = append(b.zones[s.Zone], s)
				if b.minCapacityShare(s) < 1 {
					t.warming = append(t.warming, s)
				}
			}
		}
		slices.SortFunc(t.order, func(x, y *server) int { return cmp.Compare(x.orderKey, y.orderKey) })
	}
}

// rank is the number of a tier in logs and in docs/design.md: 1 for the own zone, 0 for all others.
func (b *Balancer) rank(t *tier) int {
	if t == &b.tiers[0] {
		return 1
	}
	return 0
}

// meanWork is the mean base latency of the arriving requests in seconds; 0 before the first one.
func (b *Balancer) meanWork() float64 {
	flow, requests := 0.0, 0.0
	for i := range b.classes {
		for _, f := range b.classes[i].workByTenant {
			flow += f
		}
	}
	for _, u := range b.tenantRequests {
		requests += u
	}
	if requests == 0 {
		return 0
	}
	return flow / requests
}

// minOutstanding is the lowest number of open attempts among the servers that draws from a tier use.
func (b *Balancer) minOutstanding(t *tier) int {
	fewest := math.MaxInt
	for _, s := range b.subset(t) {
		fewest = min(fewest, s.outstanding)
	}
	return fewest
}

// shortestAim is the shortest aim of all classes, in seconds.
func (b *Balancer) shortestAim() float64 {
	aim := math.Inf(1)
	for i := range b.classes {
		aim = min(aim, b.classes[i].Aim.Seconds())
	}
	return aim
}

// tried reports whether an attempt of the request was sent to s.
func (r *request) tried(s *server) bool {
	for i := range r.attempts {
		if r.attempts[i].target == s {
			return true
		}
	}
	return false
}

// setTimer requests a timer event; kind, attempt index and ID are packed into its token.
func (b *Balancer) setTimer(delay time.Duration, kind, index int, id uint64) {
	b.addAction(Action{Kind: SetTimer, Wait: max(delay, time.Microsecond),
		Token: uint64(kind)<<tokenKindShift | uint64(index&0xff)<<tokenAttemptShift | id})
}
