// Package fairness divides the processor among the connections of clients. It keeps an account of what each connection has
// taken, from which it decides who waits when there is not enough for all. It does no I/O and reads no clock.
package fairness

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"
)

const (
	// usageMemory is how long the use of the processor counts: after this time, 1/e of it is left.
	usageMemory = time.Second

	// meanWeight is the weight of one request in the mean of recent requests.
	meanWeight = 1.0 / 64

	// maxHeaviest limits the connections that a report names.
	maxHeaviest = 3
)

// Account is what one connection has taken.
type Account struct {
	client   string
	requests int64         // read since the connection began
	bytes    int64         // read since the connection began
	busy     time.Duration // spent on answers that needed no worker
	recent   float64       // requests, decaying with usageMemory
	updated  time.Time     // when recent was last changed

	turnUsed  time.Duration // processor time of the current turn
	turnStart time.Time     // when the wait for it ended
}

// Scheduler keeps the accounts of all open connections. The zero value has none. It is safe for concurrent use.
type Scheduler struct {
	Processors float64 // that the process is granted; 0 stands for 1

	mu         sync.Mutex
	accounts   map[*Account]struct{}
	meanRecent float64   // requests that the connection of a recent request had made recently
	share      share     // of the processor for answers that need no worker
	nextTurn   time.Time // when the turn that is reserved next begins
	waits      int64
	waited     time.Duration
}

// Open returns the account of a new connection. It starts with the mean use of the connections whose requests are read, so that a
// client gains nothing by opening its connections anew.
func (s *Scheduler) Open(client string, now time.Time) *Account {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := &Account{client: client, recent: s.meanRecent, updated: now, turnStart: now}
	if s.accounts == nil {
		s.accounts = map[*Account]struct{}{}
	}
	s.accounts[a] = struct{}{}
	return a
}

// Close forgets the account of a connection that has ended.
func (s *Scheduler) Close(a *Account) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.accounts, a)
}

// Request counts a request that has been read. bytes is the number of bytes read on the connection so far.
func (s *Scheduler) Request(a *Account, bytes int64, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a.requests++
	a.bytes = bytes
	a.recent = a.recentAt(now) + 1
	a.updated = now
	s.meanRecent += (a.recent - s.meanRecent) * meanWeight
}

// recentAt returns the account's recent requests at a time.
func (a *Account) recentAt(now time.Time) float64 {
	return a.recent * math.Exp(-now.Sub(a.updated).Seconds()/usageMemory.Seconds())
}

// heavyShare is the share of the mean use from which a connection counts as one that makes the load.
const heavyShare = 0.25

// Weight returns how far a connection is responsible for the load: 1 if it makes as many requests as the connection of a usual
// request, or nearly so, and less in proportion if it makes fewer.
func (s *Scheduler) Weight(a *Account, now time.Time) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.meanRecent <= 0 {
		return 1
	}
	return min(a.recentAt(now)/(heavyShare*s.meanRecent), 1)
}

// IsHeavy reports whether the connection's Weight is 1.
func (s *Scheduler) IsHeavy(a *Account, now time.Time) bool { return s.Weight(a, now) == 1 }

// Usage is what one connection has taken, for operators.
type Usage struct {
	Client        string `json:"client"`
	Requests      int64  `json:"requests"`
	Bytes         int64  `json:"bytes"`
	BusyMs        int64  `json:"busy_ms"`
	RecentPercent int    `json:"recent_percent"` // of all recent requests
}

// Heaviest returns the open connections that have recently made most requests, the heaviest first.
func (s *Scheduler) Heaviest(now time.Time) []Usage {
	s.mu.Lock()
	defer s.mu.Unlock()
	heaviest := make([]*Account, 0, maxHeaviest+1)
	total := 0.0
	for a := range s.accounts {
		total += a.recentAt(now)
		heaviest = append(heaviest, a)
		slices.SortFunc(heaviest, func(x, y *Account) int { return cmp.Compare(y.recentAt(now), x.recentAt(now)) })
		heaviest = heaviest[:min(len(heaviest), maxHeaviest)]
	}
	usages := make([]Usage, 0, len(heaviest))
	for _, a := range heaviest {
		usages = append(usages, Usage{Client: a.client, Requests: a.requests, Bytes: a.bytes, BusyMs: a.busy.Milliseconds(),
			RecentPercent: int(math.Round(100 * a.recentAt(now) / max(total, 1)))})
	}
	return usages
}
