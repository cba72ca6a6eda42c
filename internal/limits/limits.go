// Package limits enforces fleet-wide limits at one process: it requests leases, four times a second and at once when its demand changes, and
// admits calls (client requests) by local token buckets and counters. docs/limits.md describes the design.
package limits

import (
	"context"
	"log/slog"
	"strconv"
	"sync"
	"time"

	"burlpass/internal/lease"
	"burlpass/internal/logging"
)

// Member is the member of the cluster that lease requests go to.
type Member interface {
	Lease(ctx context.Context, ask lease.Ask) (lease.Answer, error)
}

// Config holds the parameters of Limits.
type Config struct {
	Member Member
	Name   string        // of the process; New appends a random number
	Tail   time.Duration // the longest time that a call which a limit of kind Calls counts may last; 0: lease.MostTail
	Log    *slog.Logger  // nil: none
}

// Limits enforces the limits at one process. It is safe for concurrent use. Until Run has received an answer each limit's Cut applies.
type Limits struct {
	config      Config
	log         *slog.Logger
	debug       bool
	name        string
	tail        time.Duration
	clockBase   time.Time     // start of this process's monotonic times
	clockOffset time.Duration // of clockBase, by the clock that all processes of the machine share

	mu           sync.Mutex
	holder       *lease.Holder
	buckets      map[string]*bucket
	draining     map[string]*bucket // of removed limits, with calls in flight
	lastSample   time.Duration
	lastAnswer   time.Duration // when the last answer arrived
	cutOffLogged bool          // limits_cut_off was logged, limits_back not yet
}

// ticketSlots is the number of limits of kind Calls that can count one call without an allocation.
const ticketSlots = 8

// Ticket stands for an admitted call. The zero value is a call that no limit of kind Calls counts.
type Ticket struct {
	n        int
	inline   [ticketSlots]*bucket
	overflow []*bucket
}

// New returns Limits without leases, for a process that starts now.
func New(config Config) *Limits {
	l := &Limits{config: config, log: config.Log, clockBase: time.Now(), clockOffset: monotonicTime(),
		buckets: map[string]*bucket{}, draining: map[string]*bucket{}}
	if l.log == nil {
		l.log = logging.Discard()
	}
	if l.tail = config.Tail; l.tail <= 0 {
		l.tail = lease.MostTail
	}
	l.debug = l.log.Enabled(context.Background(), slog.LevelDebug)
	l.name = config.Name
	if maxLength := lease.MostName - 21; len(l.name) > maxLength {
		l.name = l.name[:maxLength]
	}
	l.name += "/" + strconv.FormatUint(randomNumber(), 36)
	l.holder = lease.NewHolder(l.name, l.tail)
	l.tail = l.holder.Tail()
	return l
}

// Holder returns the name in this process's lease requests; it differs at each start.
func (l *Limits) Holder() string { return l.name }

// Tail returns the longest budget with which a limit of kind Calls admits a call.
func (l *Limits) Tail() time.Duration { return l.tail }

// readClocks reads both clocks: now is the monotonic time since clockBase, wall is the wall clock's.
func (l *Limits) readClocks() (at time.Time, now, wall time.Duration) {
	at = time.Now()
	return at, at.Sub(l.clockBase), time.Duration(at.UnixNano())
}

// Set replaces the limits in force at this process.
func (l *Limits) Set(limits []lease.Limit) {
	l.mu.Lock()
	defer l.mu.Unlock()
	at, now, wall := l.readClocks()
	l.holder.Set(limits)
	previous := l.buckets
	l.buckets = make(map[string]*bucket, len(limits))
	for _, limit := range limits {
		held := l.holder.Held(limit.ID)
		b := previous[limit.ID]
		if b == nil {
			b = l.draining[limit.ID]
		}
		if b == nil || b.countsCalls != (limit.Kind == lease.Calls) {
			b = newBucket(limit.ID, limit.Kind == lease.Calls)
		}
		b.held = held
		l.buckets[limit.ID] = b
	}
	for id, b := range previous {
		if l.buckets[id] != b && b.inFlight > 0 {
			l.draining[id] = b
		}
	}
	for id, b := range l.draining {
		if b.inFlight == 0 || l.buckets[id] == b {
			delete(l.draining, id)
		}
	}
	for _, b := range l.buckets {
		l.refresh(b, at, now, wall)
	}
}

// Take admits a call by all of the given limits or by none. If it is refused, wait is the time after which it may be admitted, or 0 if it
// never is: limits of kind Calls refuse a budget longer than Tail. The ids must be distinct; those of limits not in force are ignored. The
// budget is how long the call may last.
func (l *Limits) Take(ids []string, budget time.Duration) (ticket Ticket, wait time.Duration, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	at, now, wall := l.readClocks()
	ok, never := true, false
	for _, id := range ids {
		b := l.buckets[id]
		if b == nil {
			continue
		}
		b.offered++
		l.refresh(b, at, now, wall)
		if b.countsCalls && budget > l.tail {
			never, ok = true, false
		} else if w := b.wait(at); w > 0 {
			wait, ok = max(wait, w), false
		}
	}
	if never {
		wait = 0
	}
	for _, id := range ids {
		b := l.buckets[id]
		switch {
		case b == nil:
		case !ok:
			b.refused++
		case !b.countsCalls:
			b.take(at)
		default:
			b.inFlight++
			b.peakInFlight = max(b.peakInFlight, b.inFlight)
			if ticket.n < ticketSlots {
				ticket.inline[ticket.n] = b
				ticket.n++
			} else {
				ticket.overflow = append(ticket.overflow, b)
			}
		}
	}
	return ticket, wait, ok
}

// Done records the end of an admitted call. It must be called once for each ticket.
func (l *Limits) Done(ticket Ticket) {
	if ticket.n == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, b := range ticket.inline[:ticket.n] {
		b.inFlight--
	}
	for _, b := range ticket.overflow {
		b.inFlight--
	}
}

// refresh applies the amount that is now in force to a bucket, and logs the end of its lease.
func (l *Limits) refresh(b *bucket, at time.Time, now, wall time.Duration) {
	amount, leased, unlimited := b.held.Now(now, wall)
	if b.leased && !leased && l.debug {
		l.log.Debug("lease_ended", "limit", b.id, "holder", l.name, "at", (l.clockOffset + now).Microseconds())
	}
	b.leased = leased
	if amount != b.amount || unlimited != b.unlimited {
		b.setAmount(at, amount, unlimited)
	}
}
