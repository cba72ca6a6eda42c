package lease

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// maxAllocations bounds the memory of a Book: the number of pairs of limit and holder.
const maxAllocations = 1 << 18

// demandTimeout is the time after a holder's last request from which its demand is ignored.
const demandTimeout = Length / 2

// Book divides the limits on the leader, for one leadership term. It is not safe for concurrent use. All times that are passed to it
// come from one monotonic clock. Its answers may be sent only after the caller has verified that no other leader had begun to divide
// when Answer was called.
type Book struct {
	epoch       uint64
	startedAt   time.Duration
	limits      map[string]*limit
	holders     map[string]*holderState
	allocations int
	lastSweep   time.Duration
}

// holderState is what the leader knows about one holder.
type holderState struct {
	name        string
	number      uint64
	tail        time.Duration
	lastSeen    time.Duration
	allocations int
}

// limit is a limit in force, or a removed one that still has outstanding grants.
type limit struct {
	Limit
	leasable    int64         // maximum sum of all leases; 0 if the limit is not in force
	cappedUntil time.Duration // until then each holder is held to its cap; 0: there are no caps
	outstanding int64         // sum over all holders
	totalDemand int64
	allocations map[string]*allocation // by holder
	byArrival   []*allocation          // in the order of the first request
	divideScratch
}

// allocation is the part of one limit that is leased to one holder.
type allocation struct {
	holder      *holderState
	outstanding []grant // not expired; amounts fall and expiry times rise along the slice
	demand      int64
	claim       int64 // during recovery: the largest amount that the holder has claimed under this epoch
	cap         int64 // valid until limit.cappedUntil
	target      int64
	turnStart   time.Duration // start of its current turn; 0: it has none
	lastTurn    time.Duration // start of its latest turn; 0: it never had one
	lastSeen    time.Duration
}

// grant is an amount that a holder may use until an expiry time.
type grant struct {
	amount    int64
	expiresAt time.Duration
}

// Reply holds an answer, or the reason why the request was refused.
type Reply struct {
	Answer  Answer
	Refused string
}

// NewBook returns a Book for a leadership term that starts now. The epoch is not 0, and no other term of the fleet has the same one.
func NewBook(epoch uint64, now time.Duration) *Book {
	return &Book{epoch: epoch, startedAt: now, limits: map[string]*limit{}, holders: map[string]*holderState{}, lastSweep: now}
}

// grantLifetime returns how long the leader counts a new grant as outstanding, by its own clock. It allows for a holder whose clock is
// slow and a leader whose clock is fast.
func grantLifetime(tail time.Duration) time.Duration {
	return Length + Length/Drift + tail + 3*tail/Drift
}

// Wait returns how long after its start a new leader grants only what holders claim to have: until then grants of the leader before it may
// still be in use.
func Wait(kind string) time.Duration {
	if kind == Calls {
		return grantLifetime(MostTail)
	}
	return grantLifetime(0)
}

// Set replaces the limits in force. The warning is not empty if there are too many: those after the first MostLimits are not divided.
func (b *Book) Set(now time.Duration, limits []Limit) (warning string) {
	if len(limits) > MostLimits {
		warning = fmt.Sprintf("%d limits are set, but only the first %d are divided", len(limits), MostLimits)
		limits = limits[:MostLimits]
	}
	present := make(map[string]bool, len(limits))
	for _, l := range limits {
		present[l.ID] = true
		existing := b.limits[l.ID]
		if existing == nil {
			existing = &limit{allocations: map[string]*allocation{}}
			existing.Limit = l
			b.limits[l.ID] = existing
		}
		leased := l.Leased()
		if existing.Kind != l.Kind { // in another unit: only after all grants of the old kind have expired
			l.Kind, leased = existing.Kind, 0
		}
		existing.Limit = l
		existing.setAmount(now, leased)
	}
	for id, l := range b.limits {
		if !present[id] {
			l.setAmount(now, 0)
		}
	}
	return warning
}

// setAmount changes the amount that may be leased. While more than that is outstanding, each holder has a cap, and the caps add up to no more
// than the new amount: older grants expire or are returned, and newer ones cannot exceed it in sum.
func (l *limit) setAmount(now time.Duration, leasable int64) {
	l.expire(now)
	lowered := leasable < l.leasable
	if l.leasable = leasable; !lowered || l.outstanding <= leasable {
		return
	}
	claims := make([]int64, len(l.byArrival))
	for i, p := range l.byArrival {
		if claims[i] = p.maxBelieved(); l.cappedUntil != 0 {
			claims[i] = min(claims[i], p.cap)
		}
		for _, g := range p.outstanding {
			l.cappedUntil = max(l.cappedUntil, g.expiresAt)
		}
	}
	for i, n := range maxMinShares(leasable, claims) {
		l.byArrival[i].cap = n
	}
}

// expire drops expired grants.
func (l *limit) expire(now time.Duration) {
	l.outstanding = 0
	for _, p := range l.byArrival {
		ended := 0
		for ended < len(p.outstanding) && p.outstanding[ended].expiresAt <= now {
			ended++
		}
		p.outstanding = slices.Delete(p.outstanding, 0, ended)
		l.outstanding += p.maxBelieved()
	}
	if l.outstanding <= l.leasable || now >= l.cappedUntil {
		l.cappedUntil = 0
	}
}

// maxBelieved returns the largest amount that the holder may believe it has, as answers can be late or lost.
func (p *allocation) maxBelieved() int64 {
	if len(p.outstanding) == 0 {
		return 0
	}
	return p.outstanding[0].amount
}

// lowerTo records that the holder uses no more than the given amount.
func (p *allocation) lowerTo(ceiling int64) {
	if ceiling == 0 {
		p.outstanding = p.outstanding[:0]
		return
	}
	for i := range p.outstanding {
		p.outstanding[i].amount = min(p.outstanding[i].amount, ceiling)
	}
	// Of grants with equal amounts keep the last one: it expires last.
	kept := p.outstanding[:0]
	for i, g := range p.outstanding {
		if i+1 == len(p.outstanding) || p.outstanding[i+1].amount < g.amount {
			kept = append(kept, g)
		}
	}
	p.outstanding = kept
}

// grant records a new grant. Its expiry is moved to that of the grant before it, if that is later.
func (p *allocation) grant(amount int64, until time.Duration) {
	if n := len(p.outstanding); n > 0 { // the holder's tail may have become smaller, but expiry times never fall
		until = max(until, p.outstanding[n-1].expiresAt)
	}
	for n := len(p.outstanding); n > 0 && p.outstanding[n-1].amount <= amount; n-- {
		p.outstanding = p.outstanding[:n-1]
	}
	if amount > 0 {
		p.outstanding = append(p.outstanding, grant{amount, until})
	}
}

// Answer answers a batch of requests: it records all of them, divides each limit concerned once, and then grants.
func (b *Book) Answer(now time.Duration, asks []Ask) []Reply {
	b.sweep(now)
	replies := make([]Reply, len(asks))
	touched := map[*limit]bool{}
	for i := range asks {
		replies[i].Answer = Answer{Epoch: b.epoch, Number: asks[i].Number}
		replies[i].Refused = b.recordAsk(now, &asks[i], touched)
	}
	for l := range touched {
		l.expire(now)
		l.divide(now, now < b.startedAt+Wait(l.Kind))
	}
	for i := range asks {
		a := &asks[i]
		h := b.holders[a.Holder]
		if h == nil || h.number != a.Number || a.Leaves || replies[i].Refused != "" {
			continue
		}
		given := make([]Given, 0, len(a.Wants))
		for _, w := range a.Wants {
			l := b.limits[w.ID]
			if l == nil || l.allocations[h.name] == nil {
				continue
			}
			recovering := now < b.startedAt+Wait(l.Kind)
			if recovering && (a.Epoch != b.epoch || l.allocations[h.name].claim == 0) {
				continue // an earlier leader's grant stays in force until it expires
			}
			p := l.allocations[h.name]
			n := l.grant(now, p, recovering)
			given = append(given, Given{w.ID, n, !recovering && n < p.target && n < w.Demand})
		}
		replies[i].Answer.Given = given
	}
	return replies
}

// recordAsk stores the demand and the holdings of a request. It returns the reason if the request is refused.
func (b *Book) recordAsk(now time.Duration, a *Ask, touched map[*limit]bool) (refused string) {
	if err := a.Check(); err != nil {
		return err.Error()
	}
	h := b.holders[a.Holder]
	if h == nil {
		if len(b.holders) >= MostHolders {
			return fmt.Sprintf("%d processes hold leases, and no more are served", len(b.holders))
		}
		h = &holderState{name: a.Holder}
		b.holders[a.Holder] = h
	}
	if a.Number <= h.number {
		return "an older question, or the same again"
	}
	h.number, h.lastSeen, h.tail = a.Number, now, time.Duration(a.TailMs)*time.Millisecond
	for _, w := range a.Wants {
		l := b.limits[w.ID]
		if l == nil {
			continue
		}
		touched[l] = true
		p := l.allocations[h.name]
		if p == nil {
			if b.allocations >= maxAllocations {
				return fmt.Sprintf("%d limits at processes are divided, and no more", b.allocations)
			}
			p = &allocation{holder: h}
			l.allocations[h.name] = p
			l.byArrival = append(l.byArrival, p)
			b.allocations++
			h.allocations++
		}
		p.lastSeen, p.demand = now, w.Demand
		if l.Kind == Calls {
			p.lowerTo(max(w.Holds, w.Under))
		} else {
			p.lowerTo(w.Holds)
		}
		if a.Epoch == b.epoch && now < b.startedAt+Wait(l.Kind) {
			p.claim = max(p.claim, w.Holds)
		}
		if a.Leaves {
			p.demand, p.claim = 0, 0
			p.lowerTo(w.Under)
		}
	}
	return ""
}

// grant grants a holder its target amount, as far as the amount that is not outstanding allows.
func (l *limit) grant(now time.Duration, p *allocation, recovering bool) int64 {
	granted := p.target
	if recovering {
		granted = min(granted, p.claim)
	}
	before := p.maxBelieved()
	if l.cappedUntil != 0 {
		granted = min(granted, p.cap)
	} else if granted > before {
		granted = before + max(0, min(granted-before, l.leasable-l.outstanding))
	}
	if granted > 0 && granted < l.quantum() && granted < p.target && granted > before { // less than a quantum is of no use
		granted = before
	}
	tail := time.Duration(0)
	if l.Kind == Calls {
		tail = p.holder.tail
	}
	p.grant(granted, now+grantLifetime(tail))
	l.outstanding += p.maxBelieved() - before
	switch {
	case granted == 0:
		p.turnStart = 0
	case p.turnStart == 0:
		p.turnStart, p.lastTurn = now, now
	}
	return granted
}

// sweep periodically removes holders that have gone, and allocations and limits without grants.
func (b *Book) sweep(now time.Duration) {
	if now < b.lastSweep+Length {
		return
	}
	b.lastSweep = now
	for id, l := range b.limits {
		l.expire(now)
		l.byArrival = slices.DeleteFunc(l.byArrival, func(p *allocation) bool {
			if len(p.outstanding) > 0 || now < p.lastSeen+Length || now < b.startedAt+Wait(l.Kind) && p.claim > 0 {
				return false
			}
			delete(l.allocations, p.holder.name)
			p.holder.allocations--
			b.allocations--
			return true
		})
		if l.leasable == 0 && len(l.byArrival) == 0 {
			delete(b.limits, id)
		}
	}
	for name, h := range b.holders {
		if h.allocations == 0 && now >= h.lastSeen+Length {
			delete(b.holders, name)
		}
	}
}

// Figure holds the statistics of one limit on the leader, in the unit of the limit's kind.
type Figure struct {
	ID, Kind            string
	Amount, Out, Wanted int64
	Holders             int
}

// Figures returns the statistics of at most count limits in force, by falling demand.
func (b *Book) Figures(count int) []Figure {
	var all []Figure
	for _, l := range b.limits {
		if l.leasable > 0 {
			all = append(all, Figure{l.ID, l.Kind, l.Amount, l.outstanding, l.totalDemand, len(l.byArrival)})
		}
	}
	slices.SortFunc(all, func(x, y Figure) int {
		if x.Wanted != y.Wanted {
			return int(max(-1, min(1, y.Wanted-x.Wanted)))
		}
		return strings.Compare(x.ID, y.ID)
	})
	return all[:min(count, len(all))]
}

// Holders returns the number of known holders.
func (b *Book) Holders() int { return len(b.holders) }
