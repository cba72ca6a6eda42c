package fairness

import "time"

const (
	// turnLength is the processor time after which a connection that always has a next request lets others go first.
	turnLength = 200 * time.Microsecond

	// The charge for one piece of work lies between these, whatever the clock says: the process may have been stopped meanwhile.
	minCharge = 2 * time.Microsecond
	maxCharge = time.Millisecond

	// maxWait is the longest wait between two turns of a connection.
	maxWait = time.Second
)

// Charge records work that needed no worker, such as an answer, and took the given time. It returns how long the connection has to wait
// before its next request is read. Connections that use less than an equal part of the share of such work never wait.
func (s *Scheduler) Charge(a *Account, used time.Duration, now time.Time) (wait time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	used = min(max(used, minCharge), maxCharge)
	a.busy += used
	if a.turnUsed += used; a.turnUsed < turnLength {
		return 0
	}
	wait = s.reserveTurn(a.turnUsed, now)
	if now.Sub(a.turnStart) >= wait {
		wait = 0
	}
	a.turnUsed, a.turnStart = 0, now.Add(wait)
	if wait > 0 {
		s.waits++
		s.waited += wait
	}
	return wait
}

// reserveTurn puts a turn of the given processor time behind the turns that are reserved already, and returns how long it is until
// the turn after it. The caller holds s.mu.
func (s *Scheduler) reserveTurn(used time.Duration, now time.Time) time.Duration {
	if s.nextTurn.Before(now) {
		s.nextTurn = now
	}
	s.nextTurn = s.nextTurn.Add(time.Duration(float64(used) / (s.share.current() * s.processors())))
	wait := min(s.nextTurn.Sub(now), maxWait)
	s.nextTurn = now.Add(wait)
	return wait
}

// IsContended reports whether turns are reserved that have not begun.
func (s *Scheduler) IsContended(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.nextTurn.After(now)
}

// Woke records that a wait has ended late by the given delay.
func (s *Scheduler) Woke(delay time.Duration, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.share.observe(delay, now)
}

// processors returns the number of processors that the process is granted.
func (s *Scheduler) processors() float64 {
	if s.Processors <= 0 {
		return 1
	}
	return s.Processors
}

// Waits are the waits of connections that always had a next request, since the process began.
type Waits struct {
	Count   int64   `json:"count"`
	TotalMs int64   `json:"total_ms"`
	Share   float64 `json:"share"` // of the processor that is left to them now
}

// Waits returns the waits so far.
func (s *Scheduler) Waits() Waits {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Waits{s.waits, s.waited.Milliseconds(), s.share.current()}
}
