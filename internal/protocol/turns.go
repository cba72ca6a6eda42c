package protocol

import (
	"runtime"
	"time"
)

const (
	// minReadCharge is the least time of reading a request that is forwarded for which the connection is charged. The usual request,
	// which takes less, is not.
	minReadCharge = 100 * time.Microsecond

	// maxHandlerCharge is the most of the time in the handler for which a call is charged that was not forwarded. Beyond it the call
	// has waited, such as for a worker with room.
	maxHandlerCharge = 50 * time.Microsecond
)

// takeTurn charges the connection for a request that needed no worker, or for reading one that was costly to read. A connection that
// always has a next request waits until it is its turn again, so that the runtime finds the time to look after the others.
func (c *client) takeTurn(forwarded bool) {
	if c.closing {
		return
	}
	now := time.Now()
	used := c.usedTime(forwarded, now)
	if forwarded && used < minReadCharge {
		return
	}
	wait := c.Fairness.Charge(c.account, used, now)
	if wait <= 0 {
		return
	}
	c.logWait(wait, now)
	c.waiting.Add(1)
	defer c.waiting.Add(-1)
	if !c.awaitTurn(wait) {
		return
	}
	c.roomNeeded = c.AtLimit()
	if !c.Quiet() {
		c.source.unreadSince = now
	}
}

// usedTime returns the time that the current request has taken, or its reading if it was forwarded. What it only waited for, a worker
// with room or the client's bytes, does not count, unless the client has sent its next request already: then it waits behind its own.
func (c *client) usedTime(forwarded bool, now time.Time) time.Duration {
	used, waited := c.readAt.Sub(c.started), c.readWait
	if !forwarded {
		used = now.Sub(c.started)
		waited += max(c.handlerTime-maxHandlerCharge, 0)
	}
	if c.sentAhead {
		return used
	}
	return used - waited
}

// leaveCheckInterval is the time between two checks whether a client that waits for its turn has left: it holds its place until then.
const leaveCheckInterval = 50 * time.Millisecond

// awaitTurn waits for the given time, and returns false if the client leaves meanwhile.
func (c *client) awaitTurn(wait time.Duration) bool {
	for ; wait > 0; wait -= leaveCheckInterval {
		if !c.wait(min(wait, leaveCheckInterval), c.Closing.Done()) {
			return true
		}
		if c.PeerClosed() {
			c.closing, c.broken, c.closeReason = true, true, closedByClient
			return false
		}
	}
	return true
}

// weight returns how far the connection is responsible for the load.
func (c *client) weight() float64 { return c.Fairness.Weight(c.account, time.Now()) }

// isContended reports whether connections wait for their turns.
func (c *client) isContended(now time.Time) bool {
	return c.Fairness.IsContended(now)
}

// wait waits for the given time. It returns false if done is closed before.
func (c *client) wait(wait time.Duration, done <-chan struct{}) bool {
	due := time.Now().Add(wait)
	select {
	case <-time.After(wait):
	case <-done:
		return false
	}
	runtime.Gosched() // timers run first; after yielding, this goroutine is behind everything that is runnable
	woke := time.Now()
	c.Fairness.Woke(woke.Sub(due), woke)
	return true
}

// logWait logs that the connection has to wait for its turn.
func (c *client) logWait(wait time.Duration, now time.Time) {
	if suppressed, ok := c.waitLog.allow(now); ok {
		c.Log.Warn("connection_held_back", "client", c.RemoteAddr().String(), "wait", wait.Round(time.Millisecond), "waiting", c.waiting.Load()+1, "more", suppressed)
	}
}

// makesRoom reports whether the connection ends after its current answer: another one has its place, or few places are left and it
// makes the load. Where connections wait for their turns, one that is answered without a worker does so first: opening it anew would
// be a shorter way.
func (c *client) makesRoom(forwarded bool) bool {
	if c.Replaced() || c.roomNeeded {
		return true
	}
	now := time.Now()
	return c.NearLimit() && c.Fairness.IsHeavy(c.account, now) && (forwarded || !c.Fairness.IsContended(now))
}
