package protocol

import (
	"time"

	"burlpass/internal/invariant"
	"burlpass/internal/transport"
)

const (
	// stoppedOwed is what a client that stops in the middle of a request is owed at most: an error or a close, counted from
	// its last byte, or from the answer to the request before it (the operators' terms).
	stoppedOwed = 3 * time.Second

	// lateAnswer is how long after its client's time an answer is merely worth nothing; later it counts as lost.
	lateAnswer = 500 * time.Millisecond
)

// patience is what is left of a client's time, which began with its request's last byte. That may have waited in the kernel
// and, behind an open request, in this connection's buffer; the end of the process may come before it.
func (c *client) patience(expires time.Duration) time.Duration {
	left := max(expires-answerMargin-c.late.standing(), 0)
	c.due = time.Time{}
	if c.upload == nil {
		arrived := c.in.arrived(c.r)
		c.due = arrived.Add(expires)
		left -= time.Since(arrived)
	}
	if end := c.End(); !end.IsZero() {
		left = min(left, time.Until(end)-answerMargin)
	}
	return max(left, 0)
}

// waited tells that a request has waited here for a part of its client's time.
func (c *client) waited() bool {
	return c.late.standing() > 0 || c.upload == nil && time.Since(c.in.arrived(c.r)) > answerMargin
}

// checkStopped checks that a client which has stopped within a request is ended in time.
func (c *client) checkStopped(err error) {
	if !isTimeout(err) {
		return
	}
	stopped := transport.Latest(c.LastByte(), c.settled)
	if since := time.Since(stopped); since > stoppedOwed {
		c.Invariants.Broken(invariant.StoppedClientEnded, string(c.head.get(headerTrace)), "stage", c.stage, "since_last_byte", since)
	}
}

// checkAnswered checks that a request has its answer in its client's time.
func (c *client) checkAnswered(p *presence) {
	if c.due.IsZero() {
		return
	}
	if late := time.Since(c.due); late > lateAnswer && !p.hasLeft() {
		c.Invariants.Broken(invariant.AnsweredInTime, string(c.head.get(headerTrace)), "late", late)
	}
}
