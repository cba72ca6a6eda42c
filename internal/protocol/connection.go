package protocol

import (
	"bufio"
	"time"

	"burlpass/internal/fairness"
	"burlpass/internal/memory"
	"burlpass/internal/transport"
)

// client is the connection of one client.
type client struct {
	*Server
	*transport.Client
	account      *fairness.Account // what the connection has taken of the processor
	source       clientSource      // what r reads from
	smallReader  *bufio.Reader     // of connectionBuffer bytes
	r            *bufio.Reader     // smallReader, or a larger one while requests have been sent ahead
	aheadGrant   memory.Grant      // of the larger one
	grant        memory.Grant      // of the current request's head and body
	head         head
	body         []byte
	upload       *upload       // the rest of the current call's body, nil if that is complete
	started      time.Time     // when the call's first byte arrived
	readAt       time.Time     // when the call, or its beginning if it is long, had been read
	readWait     time.Duration // for the client's bytes until readAt
	sentAhead    bool          // the client had sent its next request before it could have the answer to a call that waited
	handlerTime  time.Duration // that the handler has had the current call
	hadCall      bool          // there has been a call on this connection
	readStage    string        // part of the current request that is being read, for the log
	presentAt    time.Time     // when the client was last known to be connected
	deadline     time.Time     // when the current request's client gives up; zero while the request has not been received completely
	lastAnswered time.Time     // when the previous request was answered
	closing      bool          // no further call on this connection
	broken       bool          // nothing more is sent to the client, or it must notice that a response is incomplete
	transferring bool          // the connection counts among those with a long message under way
	closeReason  closeReason
	roomNeeded   bool // the connection ends after its next answer, since no place is left and it has waited for its turn
}

// serveCalls reads and answers one call after another.
func (c *client) serveCalls() {
	for !c.closing {
		if !c.awaitCall() {
			return
		}
		call, err := c.readCall()
		c.recordRead()
		if err == nil && c.isUnwanted(call) {
			c.closeReason = closedUnwanted
			return
		}
		forwarded := c.answerCall(call, err)
		c.endTransfer()
		c.releaseRequest()
		c.takeTurn(forwarded)
	}
}

// recordRead counts the request that has just been read, whole or not.
func (c *client) recordRead() {
	c.readAt = time.Now()
	c.readWait = c.source.waited
	c.Enter(transport.PhaseBusy)
	c.Fairness.Request(c.account, c.source.totalRead, c.readAt)
}

// isUnwanted reports whether a call that could be refused since the processor is short has a client that no longer waits for the answer.
func (c *client) isUnwanted(call *Call) bool {
	return call != nil && !c.OverLimit && c.overload.refusing.Load() && (c.Pending() == transport.PendingEnd || c.PeerClosed())
}

// answerCall answers a request, or what was read instead of one. It reports whether the request was forwarded to a worker.
func (c *client) answerCall(call *Call, err error) (forwarded bool) {
	switch {
	case err != nil:
		c.checkStopped(err)
		c.reject(err)
		return false
	case call == nil:
		c.answerHealthCheck()
		return false
	}
	if reason, refused := c.refusal(call); refused {
		c.refuse(call, reason)
		return false
	}
	id := c.head.get(headerTrace)
	if !c.addID(id, c.started) {
		c.reject(&httpError{409, "the id of another call"})
		return false
	}
	defer c.finishID(id)
	return c.handle(call)
}

// refusal reports whether a call is refused before the handler sees it, and why.
func (c *client) refusal(call *Call) (reason refusalReason, refused bool) {
	switch {
	case c.OverLimit:
		c.closing = true
		return refusedOverLimit, true
	case c.overload.shouldRefuse(call.Class, c.Worth, c.weight):
		c.logOverload()
		return refusedOverload, true
	case call.Budget <= 0 && c.wasDelayed():
		c.logOverload()
		return refusedLate, true
	case c.upload != nil && !c.beginTransfer():
		return refusedTransfers, true
	}
	return 0, false
}

// awaitCall waits for the first byte of a call. Until then the connection may be closed to make room for another one.
func (c *client) awaitCall() bool {
	c.shrinkBuffer()
	now := time.Now()
	phase, until, limit := transport.PhaseIdle, now.Add(idleTimeout), headTimeout
	if !c.hadCall { // a client that connects and sends nothing, or an incomplete request, is owed an end within 3 s in total
		phase, until = transport.PhaseNew, transport.Latest(c.ConnectedAt().Add(firstByteTimeout), now.Add(minFirstByteTimeout))
		limit = max(headTimeout-now.Sub(c.ConnectedAt()), minHeadTimeout)
		c.hadCall = true
	}
	c.SetReadBounds(transport.ReadBounds{Until: until, NoRequest: true})
	c.Enter(phase)
	// Checked after Enter: a drain that begins now finds the connection idle and ends its wait. A request that has arrived is
	// still answered.
	if c.Closing.Err() != nil || phase == transport.PhaseIdle && c.isOperatorDrained() {
		c.EndIdleWaits()
	}
	if _, err := c.r.Peek(1); err != nil {
		c.closeReason = c.idleReason(err)
		return false
	}
	c.Enter(transport.PhaseReading)
	c.started = time.Now()
	c.source.waited, c.handlerTime, c.sentAhead = 0, 0, false
	c.limitRead(limit)
	return true
}

// limitRead sets the time limits for part of a request: its bytes may take up to limit in total, and pause for no longer
// than stallTimeout.
func (c *client) limitRead(limit time.Duration) {
	c.SetReadBounds(transport.ReadBounds{StallTimeout: stallTimeout, Until: time.Now().Add(limit)})
}
