package world

import (
	"time"

	"burlpass/internal/lab/scenario"
)

// End is how a client's try ended.
type End uint8

// The ends.
const (
	Served      End = iota
	Refused         // trying again is harmless
	Failed          // an answer that says nothing of the effect
	GivenUp         // no answer in the try's time
	Broken          // the connection ended without an answer
	Unreachable     // no connection
	Left            // the client closed its connection on purpose
)

// Client is the model of one call's client: its tries, its patience and its back-off. It is driven by the ends of
// its tries.
type Client struct {
	plan    *Plan
	a       *Arrival
	class   *scenario.Class
	Tries   int
	first   time.Duration // when the first try went out
	backoff time.Duration
}

// NewClient returns the client of an arrival.
func NewClient(p *Plan, a *Arrival) *Client {
	return &Client{plan: p, a: a, class: &p.Classes[a.Class], first: a.At, backoff: p.Clients.Backoff}
}

// Patience is how long a try that begins now is waited for: a share of the class's deadline, and no longer than what
// is left of the whole.
func (c *Client) Patience(now time.Duration) time.Duration {
	d := c.class.Deadline
	return min(time.Duration(float64(d)*c.plan.Clients.TryShare), d-(now-c.first))
}

// Leaves tells whether a try's client closes its connection early, and after what share of its patience.
func (c *Client) Leaves() (after float64, ok bool) {
	if c.plan.Chance(c.a.Index, c.Tries, 1) >= c.plan.Clients.Leave {
		return 0, false
	}
	return c.plan.Chance(c.a.Index, c.Tries, 2), true
}

// leastPatience is the shortest time for which another try is worth its while.
const leastPatience = 50 * time.Millisecond

// Next tells when the client tries again after a try that ended at now; ok is false where it does not. after is the
// Retry-After that a refusal carried. A call that may have run is tried again only where its class allows it.
func (c *Client) Next(now time.Duration, end End, after time.Duration) (at time.Duration, ok bool) {
	if end == Served || end == Left || c.Tries > c.plan.Clients.Retries {
		return 0, false
	}
	if c.class.Effect != "safe" && end != Refused && end != Unreachable {
		return 0, false
	}
	wait := time.Duration(float64(c.backoff) * (0.5 + c.plan.Chance(c.a.Index, c.Tries, 3)))
	c.backoff *= 2
	if c.a.Honours && after > 0 {
		wait = max(wait, min(after, c.plan.Rules.MaxRetry))
	}
	at = now + wait
	return at, c.Patience(at) >= leastPatience
}
