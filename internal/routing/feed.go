package routing

import (
	"time"

	"burlpass/internal/protocol"
)

// Where lists are pushed, the registry's address belongs to an agent beside the sidecar. What the agent has been sent
// counts as told to the sidecar whether it has asked or not, so a watch is kept for as long as the router lives, and
// nobody has to ask for it. The agent answers at once and at no cost, so calls are short: one that gets no answer
// means that the agent is silent, and the next one finds out soon when it no longer is.
const (
	feedWait  = time.Second            // of one watch call
	feedGrace = 500 * time.Millisecond // past it the agent counts as silent
	feedPace  = 20 * time.Millisecond  // least time between two calls while it answers
	feedRetry = 100 * time.Millisecond // and after a failure
	feedTry   = 250 * time.Millisecond // that a call may take after a failure; doubled from one to the next, twice
)

// feed follows the agent until the router's end. Each watch begins with the whole list: an agent that has been away
// may have begun to count anew, and what was missed has counted as told meanwhile.
func (r *Router) feed() {
	for failures := 0; r.ctx.Err() == nil; {
		r.mu.Lock()
		r.foreign = true // whatever the agent's count, its whole list is the one in force
		s := r.subscribe()
		before := r.heard
		r.mu.Unlock()
		registry := &protocol.Registry{Network: r.Network, Addr: s.addr, Wait: feedWait, Grace: feedGrace}
		if failures > 0 {
			registry.Grace = feedTry << ((failures - 1) % 3)
		}
		err := r.follow(s, registry, feedPace)
		if err == nil { // moved to another agent, or over
			failures = 0
			continue
		}
		r.mu.Lock()
		answered := r.heard.After(before)
		r.mu.Unlock()
		if answered {
			failures = 0
		}
		failures++
		r.Log.Warn("registry_failed", "registry", s.addr, "call", "feed", "failures", failures,
			"list_age", r.ListAge().Round(time.Millisecond), "err", err)
		select {
		case <-time.After(feedRetry):
		case <-r.ctx.Done():
		}
	}
}

// ListAge is how long ago the registry last answered, with news or without. It grows while the registry is silent,
// and to the length of one watch call (10 s where lists are asked for, 1 s where they are pushed) while all is well.
func (r *Router) ListAge() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Since(r.heard)
}
