// The interface of this module (types, events, actions) is in api.go; every decision is in this file.
// Its state and the index of servers, which decide nothing, are in state.go.
//
// Ordinary path: rank servers by locality match to the sidecar's zone, leave out unhealthy ones, draw at
// random (by nominal size) in the best non-empty tier, step down tier by tier. docs/design.md lists the
// exceptions and when each acts.

package decide

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Settings. None comes from a deployment; times are on the caller's clock.
const (
	draws        = 40              // draws in a tier before the best seen is taken; bounds the work of a send
	priorSamples = 4               // answers that the first guess of a class's latency counts for
	overdueDevs  = 3               // mean deviations past the mean at which an attempt is overdue
	retryShare   = 0.05            // retry budget: retries earned by each request
	retryBurst   = 1.0             // and the most that can be saved up
	answerFresh  = time.Second     // an answer that recent outweighs one broken connection
	softEject    = time.Second     // a first unanswered attempt keeps a server out this long
	baseEject    = 4 * time.Second // ejection after repeated or hard failures, doubled each time
	maxEject     = 32 * time.Second
	hardStrike   = 3    // evidence of a failed connection; 2 ejects, less suspends
	badRun       = 4    // unreadable answers, or breaks soon after an answer, in a row that are a failure
	trialWins    = 2    // answers a half-open server must give; one alone is weak evidence
	trialChance  = 0.5  // chance that a safe request is used as a trial when one is due
	panicShare   = 0.5  // soft evidence never leaves less than this share of a tier's weight in use
	headroom     = 1.4  // a tier carries its load until less than 1/headroom of its weight is able
	deadMisses   = 3    // failures without any answer in between that declare a tier dead
	subsetLeast  = 5    // servers of a tier that even the quietest sidecar draws from
	subsetUses   = 15.0 // sends to a server, within the time an idle connection lasts, that justify one more
	doubtSpill   = 0.5  // share sent elsewhere to find out whether a silent tier is lost or all are slow
	deadSilence  = 800 * time.Millisecond
	refDecay     = 60 * time.Second // how slowly a tier's remembered weight follows a shrinking list
	loadTau      = 2 * time.Second  // memory of a tier's load signal
	loadLow      = 0.3              // share of the slack used by waiting at which load is moved or shed
	loadSpan     = 0.8              // and the further share at which all of it is
	loadReset    = 8 * time.Second  // time in which the lasting pressure can go from none to all, or back
	unfeltMost   = 3                // requests shed with no attempt felt between, taken on trust
	unfeltFade   = 0.9              // and what each further one leaves of the pressure
	outlierSlow  = 2.0              // a server this many times slower than the others is an outlier
	outlierFelt  = 0.5              // and adds no more than this to the load signal
	shareOdds    = 20.0             // requests that a tenant's fair part is taken on trust for
	spillLeast   = 0.3              // difference in pressure under which nothing spills: noise of few samples
	busyWork     = 0.1              // part of the shortest aim that crossing must save, in work ahead
	busyFelt     = 0.05             // waiting at which one own attempt at each server is too many
	leanLeast    = 0.1              // difference in waiting under which no further share leaves the own zone
	leanTime     = 3 * time.Second  // time in which a difference of the whole slack moves all
	leanFade     = 8 * time.Second  // in which the share falls to a third where no difference is felt
	leanStep     = 500 * time.Millisecond
	leanMost     = 0.9
	spillGain    = 0.5 // part of a request's worth that a crossing must not cost more than
	coldRoom     = 3.0 // deviations of chance that the credit of warming servers leaves under the multiple
	coldLeast    = 0.5 // of its usual share that a warming server is given in any case
	coldMost     = 1.5 // and at most
	outPower     = 8.0 // a server is drawn this steeply less with own attempts out there
	fastest      = 0.2 // latency against the rest below which a server is not preferred further
	holdStep     = 50 * time.Millisecond
	watchSlot    = 60 * time.Millisecond // first subscription calls are spread over this for each sidecar
	watchBackoff = time.Second           // doubled at each failure up to
	watchMax     = 8 * time.Second
	healthMemory = 2 * time.Second // age at which what was learned of a server's speed counts half
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

// Handle takes one event and returns what to do about it; the slice is valid until the next call.
func (b *Balancer) Handle(now time.Duration, e Event) []Action {
	b.now, b.acts = max(now, b.now), b.acts[:0]
	switch e.Kind {
	case Members:
		b.members(&e)
	case Request:
		b.request(&e)
	case First:
		if r := b.requests[e.ID]; r != nil {
			r.over = true // the client owns a stream that has begun
		}
	case Outcome:
		b.outcome(&e)
	case Left:
		if r := b.requests[e.ID]; r != nil {
			b.finish(r)
		}
	case Probed:
		b.probed(&e)
	case Timer:
		b.timer(e.Token)
	}
	return b.acts
}

func (b *Balancer) act(a Action) { b.acts = append(b.acts, a) }

func (b *Balancer) jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.75 + 0.5*b.rng.Float64()))
}

func (b *Balancer) log(format string, args ...any) {
	b.act(Action{Kind: Log, Text: fmt.Sprintf(format, args...)})
}

// ---- The rules. Every send and every refusal passes here, whatever the policy wants. ----

// first is the earliest attempt that may have run or is still out.
func (r *request) first() *attempt {
	for i := range r.tries {
		if r.tries[i].open || r.tries[i].ran {
			return &r.tries[i]
		}
	}
	return nil
}

// repeatable tells whether a further attempt at s is lawful as to effects.
func (b *Balancer) repeatable(r *request, s *server) bool {
	first := r.first()
	if first == nil || r.class.Effect == Safe {
		return true
	}
	if r.class.Effect == Unsafe || b.now+b.c.ConnectTime >= first.sent+r.class.Window {
		return false
	}
	switch r.class.Group {
	case GroupZone:
		return s.Zone == first.at.Zone
	case GroupCell:
		return s.Cell == first.at.Cell
	}
	return true
}

// maySend is the gate of every send: live request, listed ready server (drains are kept at once, the grace
// is never used), attempts left, no forbidden second copy, no effect twice, no cold server pushed over.
func (b *Balancer) maySend(r *request, s *server) bool {
	return !r.over && b.now < r.end && len(r.tries) < b.c.Limits.MaxAttempts && s.in != nil &&
		(r.out == 0 || b.c.Limits.SecondCopies) && b.repeatable(r, s) && (b.share(s) >= 1 || s.credit >= 1)
}

// mayRefuse tells whether "trying again is harmless" would be true.
func (b *Balancer) mayRefuse(r *request) bool {
	return r.first() == nil || r.class.Effect == Safe ||
		r.class.Effect == Keyed && r.class.Group == GroupAll
}

// share is the least part of its capacity that a server can have by now (rule four).
func (b *Balancer) share(s *server) float64 {
	if s.Started == 0 || b.c.Safety.WarmAfter <= 0 {
		return 1
	}
	age := float64(max(b.now-s.Started, 0)) / float64(b.c.Safety.WarmAfter)
	return min(1, b.c.Safety.StartShare+(1-b.c.Safety.StartShare)*age)
}

// earn gives each warming server its credit for one request, shed or not: the chance it would have had in its
// tier's usual size, cut to the share of its capacity it must have. Every send to it costs a whole credit,
// so however few servers are left, and whatever the retries, all sidecars together stay under the multiple.
func (b *Balancer) earn() {
	mean := (b.tiers[0].ref + b.tiers[1].ref) / float64(max(len(b.zones), 1)) // weight of a zone
	for i := range b.tiers {
		t := &b.tiers[i]
		for _, s := range t.warming {
			if s.in != nil {
				usual := s.weight / max(t.ref, mean) // a small zone gets no more calls than others
				s.credit = min(s.credit+usual*b.share(s)*b.coldShare(s), 1)
			}
		}
	}
}

// coldShare is what a warming server may be given of its usual share. What comes in the span in which it may
// fall scatters by the root of its number: few long requests need more room under the multiple than many.
func (b *Balancer) coldShare(s *server) float64 {
	work := b.meanWork()
	if work <= 0 {
		return coldLeast
	}
	able := b.share(s) * b.c.Safety.TipAfter.Seconds() / work // requests sure to be done in the span
	root := (math.Sqrt(coldRoom*coldRoom+4*b.c.Safety.FallMultiple*able) - coldRoom) / 2
	return min(max(root*root/able, coldLeast), coldMost)
}

// answer gives the final answer, as a refusal where that is lawful. While the aim can still be met the
// client may come back at once; after that each further try is load for nothing.
func (b *Balancer) answer(r *request) {
	if r.over {
		return
	}
	if b.mayRefuse(r) {
		wait := time.Duration(0)
		if b.late(r) {
			wait = b.c.Limits.MaxRetryAfter
		}
		b.act(Action{Kind: Refuse, ID: r.id, Wait: wait})
	} else {
		b.act(Action{Kind: Fail, ID: r.id})
	}
	b.finish(r)
}

// finish drops a request once it is over and its attempts are closed; attempts still out are called off.
func (b *Balancer) finish(r *request) {
	if !r.over && b.c.Limits.Cancel {
		for i := range r.tries {
			if r.tries[i].open {
				b.act(Action{Kind: Cancel, ID: r.id, Attempt: i})
			}
		}
	}
	r.over = true
	if r.out == 0 {
		delete(b.requests, r.id)
	}
}

// ---- Discovery and the index of tiers. ----

func (b *Balancer) members(e *Event) {
	if e.List == ListMoved { // what failed there says nothing of this one
		b.failures = 0
		b.act(Action{Kind: Watch, On: true})
		return
	}
	if e.List == ListFailed {
		b.failures++
		most := min((watchBackoff+b.watchSpread())<<min(b.failures-1, 8), watchMax)
		b.wake(time.Duration((0.1+0.9*b.rng.Float64())*float64(most)), tokWatch, 0, 0)
		return
	}
	switch {
	case e.List == ListCached && b.c.Subscribe:
		b.wake(time.Duration(b.rng.Float64()*float64(b.watchSpread())), tokWatch, 0, 0)
	case e.List != ListCached:
		b.failures = 0
	}
	if e.List != ListDelta {
		keep := make(map[ServerID]bool, len(e.Servers))
		for i := range e.Servers {
			keep[e.Servers[i].ID] = true
		}
		var lost []ServerID
		for id := range b.servers {
			if !keep[id] {
				lost = append(lost, id)
			}
		}
		slices.Sort(lost) // the order of a pool must not hang on that of a map
		for _, id := range lost {
			b.drop(b.servers[id])
		}
	}
	for i := range e.Servers {
		b.learn(&e.Servers[i])
	}
	b.reindex()
	for i := range b.tiers { // credit is measured by the tiers' weights from the first request on
		b.able(&b.tiers[i])
	}
	if e.List == ListCached {
		b.away = b.firstLean()
	}
}

// firstLean is the share of calls that would leave the own zone if every zone had as many calls: all that a
// sidecar can go by before it has felt anything. Where a whole fleet starts at once, jams would teach it.
func (b *Balancer) firstLean() float64 {
	own, all := float64(len(b.tiers[0].order)), float64(len(b.tiers[0].order)+len(b.tiers[1].order))
	if own == 0 {
		return 0
	}
	return min(max(1-own/all*float64(len(b.zones)), 0), leanMost)
}

// watchSpread is the time over which the first calls of all sidecars are spread: they start together.
func (b *Balancer) watchSpread() time.Duration {
	return min(time.Duration(b.c.Balancers)*watchSlot, watchMax)
}

func (b *Balancer) drop(s *server) {
	b.move(s, nil)
	s.State = Gone
	delete(b.servers, s.ID)
}

func (b *Balancer) learn(n *Server) {
	s := b.servers[n.ID]
	if n.State == Gone {
		if s != nil {
			b.drop(s)
		}
		return
	}
	if s == nil {
		s = &server{Server: *n, stretch: 1, credit: b.rng.Float64(), lot: b.rng.Uint64()}
		b.servers[n.ID] = s
	}
	restarted, half := n.Started != s.Started, s.tier != nil && s.in == &s.tier.half
	b.move(s, nil)
	s.Server = *n
	s.weight = 1
	if b.c.Weights != WeightsNone && n.Nominal > 0 && !math.IsInf(n.Nominal, 0) {
		s.weight = n.Nominal
	}
	s.tier = &b.tiers[1]
	if n.Zone == b.c.Zone {
		s.tier = &b.tiers[0]
	}
	if n.State != Ready {
		return
	}
	if restarted { // a new process owes nothing for the failures of the old one
		s.strikes, s.level, s.wins, s.until, s.stretch = 0, 0, 0, 0, 1
		s.credit = b.rng.Float64()
	}
	switch {
	case half && !restarted: // a list is no proof of health, the trials go on
		b.move(s, &s.tier.half)
	case s.until > b.now:
		b.move(s, &s.tier.bad)
	default:
		b.move(s, &s.tier.live)
	}
}

// able is the part of the weight this tier's clients are used to that can take work now: healthy, and a
// warming server only as far as it is sure to be warm.
func (b *Balancer) able(t *tier) float64 {
	listed := t.live.w + t.bad.w + t.half.w
	t.ref = max(listed, t.ref*math.Exp(-float64(b.now-t.refAt)/float64(refDecay)))
	t.refAt = b.now
	if t.ref <= 0 {
		return 0
	}
	w := t.live.w
	for i := 0; i < len(t.warming); i++ {
		s := t.warming[i]
		share := b.share(s)
		if share >= 1 || s.in == nil {
			t.warming[i] = t.warming[len(t.warming)-1]
			t.warming = t.warming[:len(t.warming)-1]
			i--
		} else if s.in == &t.live {
			w -= s.weight * (1 - share)
		}
	}
	return w / t.ref
}

// ---- Choosing a server. ----

// fitness scales a server's chance to be drawn, 0 to 1: own attempts out and learned speed against the
// rest. It moves a random choice, it never rules a server out.
func (b *Balancer) fitness(s *server) float64 {
	f := 1.0
	if p := s.in; s.out > 0 && p != nil {
		f = math.Pow(1+float64(s.out)*p.w/(s.weight*float64(len(p.list))), -outPower)
	}
	slow := max(1, b.expected(s)/fastest)
	return f / (slow * slow)
}

// expected is a server's latency against that of its class: what it last showed, and the more that has aged,
// what servers of its kind show.
func (b *Balancer) expected(s *server) float64 {
	prior := b.kind(s).mean
	if s.seen == 0 {
		return prior
	}
	return prior + (s.stretch-prior)*math.Exp2(-float64(b.now-s.seen)/float64(healthMemory))
}

// draw picks at random from a list by weight, fitness and warmth, or returns nil.
func (b *Balancer) draw(list []*server, r *request, cold bool) *server {
	var best *server
	var top float64
	if len(list) == 0 {
		return nil
	}
	for range draws {
		s := list[b.rng.IntN(len(list))]
		if s.overdue > 0 || r.tried(s) || !b.maySend(r, s) || s.in != &s.tier.live {
			continue
		}
		if !cold && b.share(s) < 1 {
			continue
		}
		a := s.weight * b.fitness(s)
		if b.rng.Float64()*b.wmax < a {
			return s
		}
		if a > top {
			best, top = s, a
		}
	}
	return best
}

// pick chooses the server of the next attempt, nil where none is eligible.
func (b *Balancer) pick(r *request) *server {
	if first := r.first(); first != nil && r.class.Effect == Keyed && r.class.Group != GroupAll {
		if r.class.Group == GroupCell {
			return b.draw(b.cells[first.at.Cell], r, true)
		}
		return b.draw(b.zones[first.at.Zone], r, true)
	}
	for i := range b.tiers { // before any draw: a tier that no draw reaches must come back too
		if s := b.trial(&b.tiers[i], r); s != nil {
			return s
		}
	}
	for i := range b.tiers {
		t := &b.tiers[i]
		if able := b.able(t) * headroom; able < 1 && b.rng.Float64() >= able {
			continue
		}
		if i == 0 && b.spill(r) {
			continue
		}
		if s := b.draw(b.subset(t), r, true); s != nil {
			return s
		}
		if s := b.draw(t.live.list, r, true); s != nil {
			return s
		}
	}
	for i := range b.tiers { // every tier turned it down: warm servers only, then ejected ones (panic)
		if s := b.draw(b.tiers[i].live.list, r, false); s != nil {
			return s
		}
	}
	for i := range b.tiers {
		for _, p := range []*pool{&b.tiers[i].live, &b.tiers[i].half, &b.tiers[i].bad} {
			for range min(len(p.list), draws) {
				s := p.list[b.rng.IntN(len(p.list))]
				if !r.tried(s) && b.share(s) >= 1 && b.maySend(r, s) {
					return s
				}
			}
		}
	}
	return nil
}

// subset is the part of a tier that this sidecar draws from: as many servers as its traffic keeps
// connected. A sidecar with little traffic would else meet every server with a new connection, and learn
// of each one's failure by a request of its own. The order is this sidecar's own draw, the list is short.
func (b *Balancer) subset(t *tier) []*server {
	most := max(subsetLeast, int(b.rate*b.c.IdleClose.Seconds()/subsetUses))
	if most >= len(t.live.list) || b.c.IdleClose <= 0 {
		return t.live.list
	}
	b.near = b.near[:0]
	for _, s := range t.order {
		if s.in == &t.live {
			if b.near = append(b.near, s); len(b.near) == most {
				break
			}
		}
	}
	return b.near
}

// spill tells whether a request that is worth the crossing leaves its own zone for load alone: every server
// there has more own work out than one elsewhere, enough to be felt, or the zone waits longer.
func (b *Balancer) spill(r *request) bool {
	if len(b.tiers[1].live.list) == 0 {
		return false
	}
	b.lean()
	own, other := b.pressure(&b.tiers[0]), b.pressure(&b.tiers[1])
	if b.doubtful(&b.tiers[0]) && !b.doubtful(&b.tiers[1]) {
		own = max(own, doubtSpill)
	}
	away := b.away
	if gap := own - other; gap > spillLeast {
		away += gap
	}
	here, there := b.least(&b.tiers[0]), b.least(&b.tiers[1])
	busier := float64(here-there)*b.meanWork() > busyWork*b.tight()
	busier = busier && (here > 1 || b.felt(&b.tiers[0]) > busyFelt)
	return b.worthCrossing(r) && (busier || b.rng.Float64() < away)
}

// lean moves the share of the calls that leave the own zone as long as waiting differs: what spills at once
// follows the difference alone, and would need a large one to last for a small zone to lose most of its load.
func (b *Balancer) lean() {
	step := min(b.now-b.leanAt, leanStep)
	b.leanAt = b.now
	gap := b.felt(&b.tiers[0]) - b.felt(&b.tiers[1]) - leanLeast
	b.away *= math.Exp(-float64(step) / float64(leanFade))
	b.away = min(max(b.away+gap*step.Seconds()/leanTime.Seconds(), 0), leanMost)
}

// felt is a tier's load signal; old news fades.
func (b *Balancer) felt(t *tier) float64 {
	return t.load * math.Exp2(-float64(b.now-t.loadAt)/float64(2*loadTau))
}

// worthCrossing weighs the chance that another zone serves what this one would lose against the price.
func (b *Balancer) worthCrossing(r *request) bool {
	return spillGain*r.class.Worth >= b.c.Prices.CrossZone*b.meanWorth
}

// trial offers a half-open server one request at a time, one that is safe to repeat if there are any.
func (b *Balancer) trial(t *tier, r *request) *server {
	risky := b.anySafe && r.class.Effect != Safe
	if len(r.tries) > 0 || len(t.half.list) == 0 || risky || b.rng.Float64() >= trialChance {
		return nil
	}
	s := t.half.list[b.rng.IntN(len(t.half.list))]
	if s.out > 0 || !b.maySend(r, s) {
		return nil
	}
	return s
}

// ---- Requests. ----

func (b *Balancer) request(e *Event) {
	if b.requests[e.ID] != nil || e.Class < 0 || e.Class >= len(b.classes) {
		return
	}
	k := &b.classes[e.Class]
	aim := k.Aim + time.Duration(k.AimStretch*float64(e.Work))
	r := &request{id: e.ID, class: k, start: b.now, end: b.now + e.Budget, aim: b.now + min(aim, e.Budget),
		tenant: min(max(e.Tenant, 0), len(b.usage)-1), long: e.Long, tries: make([]attempt, 0, 2)}
	b.requests[e.ID] = r
	b.tokens = min(retryBurst, b.tokens+retryShare)
	b.earn()
	if p := b.shedShare(r); p > 0 && b.rng.Float64() < p {
		for i := range b.tiers { // heavy shedding leaves few attempts to feel that a jam is over
			t := &b.tiers[i]
			if t.unfelt++; t.unfelt > unfeltMost && b.out == 0 {
				t.load, t.debt = t.load*unfeltFade, t.debt*unfeltFade
			}
		}
		b.answer(r)
		return
	}
	b.dispatch(r)
}

// dispatch sends the next attempt, or holds the request a little, or gives it up.
func (b *Balancer) dispatch(r *request) {
	if s := b.pick(r); s != nil {
		b.send(r, s)
		return
	}
	if r.out > 0 {
		return
	}
	step := min(holdStep, r.end-b.now-b.c.Tick)
	if step <= 0 || len(r.tries) >= b.c.Limits.MaxAttempts || b.late(r) {
		b.answer(r)
		return
	}
	b.wake(step, tokHold, 0, r.id)
}

// late tells that no further attempt can still earn anything.
func (b *Balancer) late(r *request) bool {
	end := r.aim
	if r.class.LateWorth > 0 {
		end = r.end
	}
	return b.now+time.Duration(0.7*r.class.base*float64(time.Second)) > end
}

func (b *Balancer) send(r *request, s *server) {
	b.act(Action{Kind: Send, ID: r.id, Server: s.ID})
	if s.tier.since == 0 {
		s.tier.since = b.now // silence counts from the first attempt
	}
	r.tries = append(r.tries, attempt{s: s, at: s.Server, sent: b.now, open: true})
	r.out++
	b.out++
	s.out++
	if b.share(s) < 1 {
		s.credit--
	}
	if !r.long {
		b.wake(b.patience(r), tokOverdue, len(r.tries)-1, r.id)
	}
}

// patience is how long an attempt may take before it is overdue: against learned latency, and early enough
// to leave room for another one before the aim.
func (b *Balancer) patience(r *request) time.Duration {
	k := r.class
	// The wider latencies scatter, the likelier it is the server that is stuck and not the work that is long.
	d := k.mean + (overdueDevs-min(max(2*k.dev/k.mean-1, 0), 1))*k.dev
	if room := (r.aim - b.now).Seconds() - 1.5*k.mean; d > room {
		d = max(room, 1.5*k.mean)
	}
	return time.Duration(d*float64(time.Second)) + b.c.Tick
}

func (b *Balancer) timer(token uint64) {
	id := token & tokID
	r, s := b.requests[id], b.servers[ServerID(id)]
	switch kind := token >> tokKind; {
	case kind == tokOverdue && r != nil:
		b.overdueAt(r, int(token>>tokTry&0xff))
	case kind == tokHold && r != nil && r.out == 0 && !r.over:
		b.dispatch(r)
	case kind == tokServer && s != nil && s.in == &s.tier.bad && b.now >= s.until:
		b.readmit(s)
	case kind == tokWatch:
		b.act(Action{Kind: Watch, On: true})
	}
}

// overdueAt treats an attempt that is out for longer than it should be: the server is not drawn while it is
// out, and another attempt is made if that can still help and the retry budget allows.
func (b *Balancer) overdueAt(r *request, i int) {
	if i >= len(r.tries) || !r.tries[i].open || r.tries[i].overdue {
		return
	}
	t := &r.tries[i]
	t.overdue = true
	t.s.overdue++
	b.miss(t.s)
	b.learnSpeed(t.s, r.class, (b.now - t.sent).Seconds())
	b.sample(t.s, ((b.now-t.sent).Seconds()-r.class.base)/b.slack(r))
	if r.over || b.tokens < 1 || b.pressure(t.s.tier) > 0 || b.late(r) ||
		len(r.tries) >= b.c.Limits.MaxAttempts || r.class.Effect == Unsafe {
		return
	}
	if b.c.Limits.SecondCopies {
		if s := b.pick(r); s != nil && (t.s.strikes > 0 || t.s.overdue > 1) {
			b.tokens--
			b.send(r, s)
		}
	} else if b.c.Limits.Cancel && (t.s.strikes > 0 || t.s.overdue > 1) {
		b.tokens--
		r.resend = true
		b.act(Action{Kind: Cancel, ID: r.id, Attempt: i})
	}
}

func (b *Balancer) outcome(e *Event) {
	r := b.requests[e.ID]
	if r == nil || e.Attempt < 0 || e.Attempt >= len(r.tries) || !r.tries[e.Attempt].open {
		return
	}
	t := &r.tries[e.Attempt]
	s := t.s
	t.open = false
	r.out--
	b.out--
	if s.out--; t.overdue {
		s.overdue--
	}
	t.ran = e.Status != Full && e.Status != ConnectFailed && e.Status != Moot
	if t.at.Started == s.Started && s.State != Gone { // else the process that it tells of is no more
		b.judge(r, t, e)
	}
	if e.Done || r.over {
		b.finish(r)
		return
	}
	if r.out > 0 {
		return
	}
	// Soon seen, or already paid for, or no sign of load.
	cheap := e.Status == ConnectFailed || e.Status >= Moot || r.resend
	r.resend = false
	if b.now >= r.end || b.late(r) || len(r.tries) >= b.c.Limits.MaxAttempts || !cheap && b.tokens < 1 {
		b.answer(r)
		return
	}
	if !cheap {
		b.tokens--
	}
	b.dispatch(r)
}

// ---- Health of servers and load of tiers. ----

// judge draws the conclusions of an outcome.
func (b *Balancer) judge(r *request, t *attempt, e *Event) {
	k, s := r.class, t.s
	lat := e.Latency.Seconds()
	slack := b.slack(r)
	switch e.Status {
	case OK:
		b.learnLatency(k, lat)
		b.sample(s, (lat-k.base)/slack)
		b.learnSpeed(s, k, lat)
		s.strikes, s.spoilt, s.okAt = 0, 0, b.now
		s.tier.heard(b.now)
		if s.in == &s.tier.half && !t.overdue {
			if s.wins++; s.wins >= trialWins {
				s.level, s.wins = max(s.level-1, 0), 0
				b.move(s, &s.tier.live)
			}
		}
	case Full:
		s.tier.heard(b.now) // turning away is an answer
		b.sample(s, 1.5)
	case TimedOut:
		b.sample(s, max((lat-k.base)/slack, 1))
		b.strike(s, b.weigh(s))
		if !t.overdue {
			b.miss(s)
		}
	case Cancelled:
		if t.overdue && !r.over {
			b.sample(s, (lat-k.base)/slack)
		}
		if t.overdue {
			b.strike(s, 1)
		}
	case ConnectFailed, Reset:
		b.miss(s)
		b.broke(s)
	case Errored:
		b.strike(s, 1)
	case Spoilt: // the server works; only one that spoils answer after answer is no use
		s.tier.heard(b.now)
		if s.spoilt++; s.spoilt >= badRun {
			b.strike(s, hardStrike)
		}
	}
}

// slack is the time a request can wait and still meet its aim, in seconds.
func (b *Balancer) slack(r *request) float64 {
	return max((r.aim-r.start).Seconds()-r.class.base, 0.25*r.class.Aim.Seconds())
}

func (b *Balancer) learnLatency(k *class, lat float64) {
	k.n++
	a := max(1/(k.n+priorSamples), 1.0/32)
	k.dev += a * (math.Abs(lat-k.mean) - k.dev)
	k.mean += a * (lat - k.mean)
	if k.mean < k.base {
		k.base = k.mean
	} else {
		k.base += 0.002 * (min(k.mean, 0.4*k.Aim.Seconds()) - k.base)
	}
}

// learnSpeed compares a server with the others on the same class.
func (b *Balancer) learnSpeed(s *server, k *class, lat float64) {
	x := min(lat/max(k.mean, 1e-3), 10)
	s.stretch += 0.5 * (x - s.stretch)
	s.seen = b.now
	kind := b.kind(s)
	kind.n++
	kind.mean += max(1/(kind.n+priorSamples), 1.0/64) * (x - kind.mean)
}

// doubtful tells that a tier may be lost (a zone gone or cut): several attempts in a row got no answer, and
// none came for long. Overload can look the same.
func (b *Balancer) doubtful(t *tier) bool {
	return t.misses >= deadMisses && b.now-t.since >= deadSilence
}

// miss counts an attempt that got no answer in time. A doubtful tier is ejected whole only once another
// has answered since: without that proof it is overload, and moving all of it would spread the jam.
func (b *Balancer) miss(s *server) {
	t, other := s.tier, &b.tiers[0]
	if t == other {
		other = &b.tiers[1]
	}
	t.misses++
	if !b.doubtful(t) || s.in != &t.live || other.lastOK <= t.lastOK || len(other.live.list) == 0 {
		return
	}
	b.log("tier of rank %d: no answer while another answers, all %d ejected", b.rank(t), len(t.live.list))
	for len(t.live.list) > 0 {
		b.eject(t.live.list[len(t.live.list)-1], baseEject)
	}
}

// broke counts a connection that failed, or broke under an attempt. Single breaks happen to every server:
// between answers, or a few, prove nothing. A dead process breaks all its connections, and soon that many.
func (b *Balancer) broke(s *server) {
	if s.in == &s.tier.live && s.strikes < badRun-1 && s.okAt > 0 && b.now-s.okAt < answerFresh {
		s.strikes++
		return
	}
	b.strike(s, hardStrike)
}

// strike counts evidence against a server and ejects it. Evidence that overload gives as well (no answer
// in time) never ejects past the panic threshold.
func (b *Balancer) strike(s *server, n int) {
	t := s.tier
	s.strikes += n
	switch s.in {
	case &t.half:
		s.wins = 0
		s.level++
		b.eject(s, baseEject)
	case &t.live:
		if n < hardStrike && t.live.w-s.weight < panicShare*(t.live.w+t.bad.w+t.half.w) {
			return
		}
		if s.strikes < 2 {
			b.eject(s, softEject)
		} else {
			b.eject(s, baseEject)
			s.level++
		}
	}
}

// weigh tells what a time-out proves: much where the tier is otherwise at ease, little under load.
func (b *Balancer) weigh(s *server) int {
	if b.pressure(s.tier) > 0 {
		return 1
	}
	return 2
}

func (b *Balancer) eject(s *server, d time.Duration) {
	b.move(s, &s.tier.bad)
	d = b.jitter(min(d<<min(s.level, 8), maxEject))
	s.until = b.now + d
	b.wake(d, tokServer, 0, uint64(s.ID))
}

// readmit ends an ejection: a probe first where allowed, so that no request is risked on a dead server.
func (b *Balancer) readmit(s *server) {
	if s.strikes < 2 && s.level == 0 {
		b.move(s, &s.tier.live)
		return
	}
	if b.c.Limits.Probe {
		s.until = math.MaxInt64
		b.act(Action{Kind: Probe, Server: s.ID})
		return
	}
	b.move(s, &s.tier.half)
}

func (b *Balancer) probed(e *Event) {
	s := b.servers[e.Server]
	if s == nil || s.in != &s.tier.bad {
		return
	}
	if e.Status != OK {
		s.level++
		b.eject(s, baseEject)
		return
	}
	b.move(s, &s.tier.half)
}

// sample feeds a tier's load signal with the share of its slack that an attempt spent waiting.
func (b *Balancer) sample(s *server, v float64) {
	t := s.tier
	if s.in != &t.live && t.live.w > panicShare*t.ref {
		return // an outlier says nothing of a tier that mostly works
	}
	t.unfelt = 0
	if s.stretch > outlierSlow {
		v = min(v, outlierFelt) // one slow server among others is for draws to avoid, not a loaded tier
	}
	a := min(max(float64(b.now-t.loadAt)/float64(loadTau), 0.08), 0.3)
	t.load += a * (min(max(v, -0.5), 1) - t.load)
	t.debt += min((b.now-t.loadAt).Seconds()/loadReset.Seconds(), 0.2) * min(max(t.load/loadLow-1, -1), 1)
	t.debt = min(max(t.debt, 0), 0.95)
	t.loadAt = b.now
}

// pressure is the share of its work that a tier should lose, 0 to 1; old news fades.
func (b *Balancer) pressure(t *tier) float64 {
	fade := math.Exp2(-float64(b.now-t.loadAt) / float64(2*loadTau))
	return min(max((t.load*fade-loadLow)/loadSpan, 0)+t.debt*fade, 1)
}

// shedShare is the chance that a request is refused at once: work of the least worth goes first, until the
// share of work that the tiers should lose is gone.
func (b *Balancer) shedShare(r *request) float64 {
	age := min((b.now - b.flowAt).Seconds(), 100)
	fade := math.Exp2(-age / (5 * loadTau.Seconds()))
	b.rate = b.rate*fade + math.Ln2/(5*loadTau.Seconds())
	b.flowAt = b.now
	for t := range b.usage {
		b.usage[t] *= fade
	}
	b.usage[r.tenant]++
	own := b.worthDensity(r.class, r.tenant)
	below, same, total := 0.0, 0.0, 0.0
	for i := range b.classes {
		k := &b.classes[i]
		for t := range k.flow {
			if k.flow[t] *= fade; k == r.class && t == r.tenant {
				k.flow[t] += k.base
			}
			total += k.flow[t]
			if d := b.worthDensity(k, t); d < own {
				below += k.flow[t]
			} else if d == own {
				same += k.flow[t]
			}
		}
	}
	p, elsewhere := b.pressure(&b.tiers[0]), b.pressure(&b.tiers[1])
	if len(b.tiers[0].live.list) == 0 { // an empty own zone feels no pressure and helps nobody
		p = elsewhere
	} else if len(b.tiers[1].live.list) > 0 && b.worthCrossing(r) {
		p = min(p, elsewhere)
	}
	if p > 0 != b.shedding && b.now >= b.logAt {
		b.shedding, b.logAt = p > 0, b.now+10*time.Second
		b.log("shedding %v, share %.2f", b.shedding, p)
	}
	return min(max((p*total-below)/same, 0), 1)
}

// worthDensity is the worth of a unit of work. What a tenant sends beyond its share is worth little: its part
// is judged by the mix that this sidecar sees, as if all tenants together sent what all shares come to.
func (b *Balancer) worthDensity(k *class, tenant int) float64 {
	worth := k.Worth
	if tenant < len(b.c.Tenants) && b.quotas > 0 && b.c.Tenants[tenant].Quota > 0 {
		sent, fair := shareOdds, b.c.Tenants[tenant].Quota/b.quotas
		for _, n := range b.usage {
			sent += n
		}
		within := min(1, fair*sent/(b.usage[tenant]+fair*shareOdds))
		worth *= within + (1-within)*b.c.OverShareWorth
	}
	if b.c.WorthByWork {
		return worth
	}
	return worth / max(k.base, 1e-4)
}
