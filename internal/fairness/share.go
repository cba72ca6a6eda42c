package fairness

import "time"

const (
	// maxShare is the share of the processor for answers that need no worker. The rest is left for requests that are forwarded,
	// and for the moments without runnable work in which the runtime looks at the network.
	maxShare = 0.4

	// minShare is what is left of maxShare where the machine gives much less processor time than the settings say.
	minShare = 0.01

	shareWindow  = 200 * time.Millisecond // over which a delay has to persist; a platform may pause a process for part of that
	minWakes     = 4                      // per window
	maxWakeDelay = 5 * time.Millisecond   // up to this the processor is not short
	shareDecay   = 0.7                    // factor per window above maxWakeDelay
	shareGrowth  = 1.1                    // factor per window below
)

// share adapts the part of the processor that goes to answers that need no worker: while all waits for a turn end late, a queue of
// runnable work persists, and the share shrinks. The zero value begins at maxShare.
type share struct {
	fraction    float64 // of the processor; 0 stands for maxShare
	windowStart time.Time
	wakes       int           // in the current window
	minDelay    time.Duration // in the current window
}

// current returns the share.
func (s *share) current() float64 {
	if s.fraction == 0 {
		return maxShare
	}
	return s.fraction
}

// observe records that a wait for a turn has ended late by the given delay.
func (s *share) observe(delay time.Duration, now time.Time) {
	if s.wakes == 0 {
		s.windowStart, s.minDelay = now, delay
	}
	s.wakes++
	s.minDelay = min(s.minDelay, delay)
	if now.Sub(s.windowStart) < shareWindow || s.wakes < minWakes {
		return
	}
	next := s.current() * shareGrowth
	if s.minDelay > maxWakeDelay {
		next = s.current() * shareDecay
	}
	s.fraction = min(max(next, minShare), maxShare)
	s.wakes = 0
}
