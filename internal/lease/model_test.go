package lease

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// simulation runs leaders and holders on one true time. Each has a clock that is off by up to 1/Drift; messages are lost, delayed,
// duplicated and reordered.
type simulation struct {
	t          *rapid.T
	now        time.Duration // true time
	limits     []Limit
	history    []limitsChange
	leader     *leaderNode
	leaders    []*leaderNode
	holders    []*process
	asks       []Ask
	pending    []*batch
	answers    []Answer
	recipients []*process // of answers, by index
	starts     int
}

// limitsChange records the limits in force at the leader from a time on.
type limitsChange struct {
	from     time.Duration
	leasable map[string]int64
}

// skewedClock is a clock with an offset and a constant drift.
type skewedClock struct {
	offset time.Duration
	rate   int64 // drift, in thousandths
}

func (c skewedClock) at(t time.Duration) time.Duration {
	return c.offset + t + t*time.Duration(c.rate)/1000
}

type leaderNode struct {
	book  *Book
	clock skewedClock
}

// batch holds answers that are not sent yet. They may be sent once the sender has verified that it still leads.
type batch struct {
	sender   *leaderNode
	verified bool
	asks     []Ask
	replies  []Reply
}

type process struct {
	name     string
	h        *Holder
	clock    skewedClock
	wakesAt  time.Duration // true time until which the process is stopped
	demand   map[string]int64
	callEnds []time.Duration // true end times of the calls in flight
}

const callTail = 4 * time.Second

func (s *simulation) clock() skewedClock {
	return skewedClock{time.Duration(rapid.IntRange(1, 1000).Draw(s.t, "offset")) * time.Second,
		int64(rapid.SampledFrom([]int{-1000 / Drift, 0, 1000 / Drift}).Draw(s.t, "drift"))}
}

func (s *simulation) start(i int) *process {
	s.starts++
	name := fmt.Sprintf("p%d/%d", i, s.starts)
	p := &process{name: name, h: NewHolder(name, callTail), clock: s.clock(), demand: map[string]int64{}}
	p.h.Set(s.limits)
	return p
}

func (s *simulation) elect() {
	d := &leaderNode{clock: s.clock()}
	d.book = NewBook(uint64(len(s.leaders)+1), d.clock.at(s.now))
	s.leader, s.leaders = d, append(s.leaders, d)
	s.applyLimits()
}

// applyLimits sets the limits in force at the leader and records the change.
func (s *simulation) applyLimits() {
	s.leader.book.Set(s.leader.clock.at(s.now), s.limits)
	e := limitsChange{s.now, map[string]int64{}}
	for _, l := range s.limits {
		e.leasable[l.ID] = l.Leased()
	}
	s.history = append(s.history, e)
}

// maxLeasable returns the highest leasable amount in force during the given time before now.
func (s *simulation) maxLeasable(id string, back time.Duration) (most int64) {
	for i := len(s.history) - 1; i >= 0; i-- {
		most = max(most, s.history[i].leasable[id])
		if s.history[i].from <= s.now-back {
			break
		}
	}
	return most
}

func (p *process) liveCalls(now time.Duration) int64 {
	n := int64(0)
	for _, end := range p.callEnds {
		if end > now {
			n++
		}
	}
	return n
}

func (p *process) leased(id string, now time.Duration) int64 {
	l := p.h.Held(id)
	if l == nil {
		return 0
	}
	at := p.clock.at(now)
	if n, leased, _ := l.Now(at, at); leased {
		return n
	}
	return 0
}

// checkLimits fails the test if leases or calls add up to more than a limit allows.
func (s *simulation) checkLimits() {
	var rates, calls int64
	for _, p := range s.holders {
		rates += p.leased("r", s.now)
		calls += p.liveCalls(s.now)
	}
	const window = Length + 4*Length/Drift
	if most := s.maxLeasable("r", window); rates > most {
		s.t.Fatalf("at %v: rate leases add up to %d, at most %d are allowed", s.now, rates, most)
	}
	if most := s.maxLeasable("c", window+callTail+8*callTail/Drift); calls > most {
		s.t.Fatalf("at %v: %d calls in flight, at most %d are allowed", s.now, calls, most)
	}
}

func (s *simulation) ask(p *process) {
	if s.now < p.wakesAt {
		return
	}
	at := p.clock.at(s.now)
	s.asks = append(s.asks, p.h.Ask(at, at, func(l *Held) Use {
		u := Use{Demand: p.demand[l.ID], Most: -1}
		if l.ID == "c" {
			u.Under = p.liveCalls(s.now)
		} else if rapid.IntRange(0, 3).Draw(s.t, "less") == 0 {
			u.Most = u.Demand
		}
		return u
	}))
}

// pick returns one element, often the last one, and removes it unless keep is true.
func pick[T any](s *simulation, of *[]T, keep bool) (x T, ok bool) {
	if len(*of) == 0 {
		return x, false
	}
	i := len(*of) - 1
	if rapid.Bool().Draw(s.t, "any") {
		i = rapid.IntRange(0, len(*of)-1).Draw(s.t, "which")
	}
	x = (*of)[i]
	if !keep {
		*of = append(append([]T(nil), (*of)[:i]...), (*of)[i+1:]...)
	}
	return x, true
}

func (s *simulation) duplicate() bool { return rapid.IntRange(0, 9).Draw(s.t, "duplicate") == 0 }

func (s *simulation) answerBatch(d *leaderNode) {
	var b batch
	for range rapid.IntRange(1, 3).Draw(s.t, "gathered") {
		if a, ok := pick(s, &s.asks, s.duplicate()); ok {
			b.asks = append(b.asks, a)
		}
	}
	b.sender, b.replies = d, d.book.Answer(d.clock.at(s.now), b.asks)
	s.pending = append(s.pending, &b)
}

func (s *simulation) verify(b *batch) { b.verified = b.verified || b.sender == s.leader }

func (s *simulation) send(b *batch) {
	for i, r := range b.replies {
		if r.Refused == "" {
			s.answers = append(s.answers, r.Answer)
			var to *process
			for _, p := range s.holders {
				if p.name == b.asks[i].Holder {
					to = p
				}
			}
			s.recipients = append(s.recipients, to)
		}
	}
}

func (s *simulation) deliver() {
	if len(s.answers) == 0 {
		return
	}
	i := len(s.answers) - 1
	if rapid.Bool().Draw(s.t, "any") {
		i = rapid.IntRange(0, i).Draw(s.t, "which")
	}
	a, p := s.answers[i], s.recipients[i]
	if !s.duplicate() {
		s.answers, s.recipients = append(s.answers[:i:i], s.answers[i+1:]...), append(s.recipients[:i:i], s.recipients[i+1:]...)
	}
	for _, q := range s.holders {
		if p == q && s.now >= p.wakesAt {
			p.h.Answer(&a)
		}
	}
}

// exchange sends one request to the leader and delivers the answer at once.
func (s *simulation) exchange(p *process) {
	s.ask(p)
	if a, n := s.asks, len(s.asks); n > 0 {
		r := s.leader.book.Answer(s.leader.clock.at(s.now), a[n-1:])[0]
		s.asks = a[:n-1]
		if r.Refused == "" && s.now >= p.wakesAt {
			p.h.Answer(&r.Answer)
		}
	}
}

func (s *simulation) admit(p *process) {
	for s.now >= p.wakesAt && p.liveCalls(s.now) < p.leased("c", s.now) {
		p.callEnds = append(p.callEnds, s.now+time.Duration(rapid.IntRange(1, 4).Draw(s.t, "lasts"))*callTail/4)
	}
}

func (s *simulation) step() {
	p := rapid.SampledFrom(s.holders).Draw(s.t, "holder")
	switch rapid.IntRange(0, 27).Draw(s.t, "step") {
	case 0:
		if len(s.leaders) < 6 {
			s.elect()
		}
	case 1:
		p.wakesAt = s.now + 20*time.Second
	case 2:
		for i := range s.holders {
			if s.holders[i] == p {
				s.holders[i] = s.start(i)
			}
		}
	case 3:
		s.limits = s.drawLimits()
		s.applyLimits()
		for _, q := range s.holders {
			q.h.Set(s.limits)
		}
	case 4:
		if at := p.clock.at(s.now); s.now >= p.wakesAt && rapid.IntRange(0, 3).Draw(s.t, "leaves") == 0 {
			s.asks = append(s.asks, p.h.Leave(at, at, func(*Held) Use { return Use{Under: p.liveCalls(s.now), Most: -1} }))
		}
	case 5, 6:
		s.ask(p)
	case 7, 8:
		s.answerBatch(s.leader)
	case 9:
		s.answerBatch(rapid.SampledFrom(s.leaders).Draw(s.t, "leader"))
	case 10, 11:
		if b, ok := pick(s, &s.pending, true); ok { // only the current leader can prove that it still led after it answered
			s.verify(b)
		}
	case 12, 13:
		if b, ok := pick(s, &s.pending, false); ok && b.verified {
			s.send(b)
		}
	case 14, 15:
		s.deliver()
	case 16, 17:
		for _, id := range []string{"r", "c"} {
			p.demand[id] = int64(rapid.IntRange(0, 1).Draw(s.t, "wants")) * int64(rapid.IntRange(1, 20_000).Draw(s.t, "demand"))
		}
	case 18, 19:
		s.admit(p)
	case 20, 21, 22:
		for _, q := range s.holders {
			s.exchange(q)
			s.admit(q)
			s.checkLimits()
		}
	case 23:
		s.changeLeader(p)
	case 24:
		s.lowerLimits(p)
	default:
		s.now += rapid.SampledFrom([]time.Duration{time.Millisecond, 50 * time.Millisecond, 250 * time.Millisecond, time.Second,
			Length - Length/Drift, Length, 20 * time.Second}).Draw(s.t, "time")
	}
}

// drawLimits draws the limits in force.
func (s *simulation) drawLimits() (all []Limit) {
	if rapid.IntRange(0, 9).Draw(s.t, "r there") > 0 {
		all = append(all, Limit{ID: "r", Kind: Rate, Amount: int64(rapid.SampledFrom([]int{500, 2000, 5000, 20_000}).Draw(s.t, "rate"))})
	}
	if rapid.IntRange(0, 9).Draw(s.t, "c there") > 0 {
		all = append(all, Limit{ID: "c", Kind: Calls, Amount: int64(rapid.IntRange(1, 8).Draw(s.t, "calls"))})
	}
	return all
}

// Guards against leases that add up to more than the limit: after a change of leaders, lost or late messages, clock drift, or stopped and
// restarted processes.
func TestLeasesNeverExceedLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &simulation{t: t, now: time.Second}
		s.limits = s.drawLimits()
		s.elect()
		for i := range rapid.IntRange(2, 4).Draw(t, "holders") {
			s.holders = append(s.holders, s.start(i))
		}
		for range rapid.IntRange(50, 250).Draw(t, "steps") {
			s.step()
			s.checkLimits()
		}
	})
}
