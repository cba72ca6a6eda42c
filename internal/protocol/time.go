package protocol

import (
	"time"

	"burlpass/internal/invariant"
	"burlpass/internal/transport"
)

const (
	// stoppedClientLimit is the time within which a client that stops in the middle of a request must get an error
	// or a close, counted from its last byte, or from the answer to the previous request. The operators require it.
	stoppedClientLimit = 3 * time.Second

	// lostAnswerDelay is how far past the client's deadline an answer is merely worthless; a later one counts as
	// lost.
	lostAnswerDelay = 500 * time.Millisecond
)

// remainingTime returns what is left of the client's time, which started with the last byte of its request. That byte may
// have waited in the kernel and, behind an open request, in this connection's buffer. The process may end before the time
// is up.
func (c *client) remainingTime(expires time.Duration) time.Duration {
	remaining := max(expires-answerMargin-c.overload.delay(), 0)
	c.deadline = time.Time{}
	if c.upload == nil {
		arrived := c.source.arrivalTime(c.r)
		c.deadline = arrived.Add(expires)
		remaining -= time.Since(arrived)
	}
	if end := c.End(); !end.IsZero() {
		remaining = min(remaining, time.Until(end)-answerMargin)
	}
	return max(remaining, 0)
}

// wasDelayed reports whether a request has waited in this process for part of its client's time.
func (c *client) wasDelayed() bool {
	return c.overload.delay() > 0 || c.upload == nil && time.Since(c.source.arrivalTime(c.r)) > answerMargin
}

// checkStopped checks the invariant that a client which stops within a request gets an end in time.
func (c *client) checkStopped(err error) {
	if !isTimeout(err) {
		return
	}
	stopped := transport.Latest(c.LastByte(), c.lastAnswered)
	if since := time.Since(stopped); since > stoppedClientLimit {
		c.Invariants.ReportViolation(invariant.StoppedClientEnded, string(c.head.get(headerTrace)), "stage", c.readStage, "since_last_byte", since)
	}
}

// checkAnswered checks the invariant that a request is answered before its client's deadline.
func (c *client) checkAnswered(watcher *disconnectWatcher) {
	if c.deadline.IsZero() {
		return
	}
	if late := time.Since(c.deadline); late > lostAnswerDelay && !watcher.hasDisconnected() {
		c.Invariants.ReportViolation(invariant.AnsweredInTime, string(c.head.get(headerTrace)), "late", late)
	}
}
