package protocol

import (
	"context"
	"log/slog"
	"time"

	"burlpass/internal/transport"
)

// closeReason is why a client's connection ends, for the log.
type closeReason string

const (
	closedAfterAnswer closeReason = "no further request is served" // requested by the client, or told to it with the answer
	closedByClient    closeReason = "closed by the client"
	closedIdle        closeReason = "no request in time"
	closedEvicted     closeReason = "room for another connection"
	closedDraining    closeReason = "draining"
	closedRejected    closeReason = "rejected"
	closedUnwanted    closeReason = "the client no longer waits"
)

// idleReason returns why the wait for a request has ended without one.
func (c *client) idleReason(err error) closeReason {
	switch {
	case !isTimeout(err):
		return closedByClient
	case c.Evicted():
		return closedEvicted
	case c.isDraining():
		return closedDraining
	}
	return closedIdle
}

// logClose logs why the connection ends.
func (c *client) logClose() {
	ctx := context.Background()
	if !c.Log.Enabled(ctx, slog.LevelDebug) {
		return
	}
	c.Log.LogAttrs(ctx, slog.LevelDebug, "connection_closed", slog.String("reason", string(c.closeReason)),
		slog.String("client", c.RemoteAddr().String()), slog.String("last_id", string(c.head.get(headerTrace))),
		slog.Bool("over_limit", c.OverLimit), slog.Bool("broken", c.broken), slog.Duration("age", time.Since(c.ConnectedAt())))
}

// Limits on reading the rest of a request that was answered before its end.
const (
	discardReadTimeout = time.Second
	discardTimeout     = 30 * time.Second
)

// discardRequest reads and drops the rest of a request that was answered before its end. Closing the connection instead
// would reset it, and the reset can overtake the response.
func (c *client) discardRequest() {
	if c.CloseWrite() != nil {
		return
	}
	c.broken = true // the write side is closed already
	end := time.Now().Add(discardTimeout)
	for n := 0; n < MaxBody && time.Now().Before(end) && c.Closing.Err() == nil; {
		c.SetReadBounds(transport.ReadBounds{Until: time.Now().Add(discardReadTimeout), NoRequest: true})
		m, err := c.discard()
		if n += m; err != nil {
			return
		}
	}
}

// Limits on reading from a client after the write side of its connection has been closed.
const (
	lingerTimeout      = 500 * time.Millisecond
	shortLingerTimeout = 50 * time.Millisecond // used when another connection needs the descriptor
	maxLingerBytes     = 256 << 10
)

// closeGracefully closes the write side, so that the client sees the end of the stream after all responses, and then reads
// and drops input for a while until the client has closed too. Closing with unread input would reset the connection, and
// the reset can overtake a response. Meanwhile the connection may be closed to make room for another one.
func (c *client) closeGracefully() {
	if c.Closing.Err() != nil { // the process exits: a client that sends on a half-closed connection has nobody left to retry with
		return
	}
	if c.broken || c.Evicted() {
		return
	}
	c.Enter(transport.PhaseLingering)
	if c.CloseWrite() != nil {
		return
	}
	wait := lingerTimeout
	if c.DescriptorNeeded() {
		wait = shortLingerTimeout
	}
	c.SetReadBounds(transport.ReadBounds{Until: time.Now().Add(wait), NoRequest: true})
	for n := 0; n < maxLingerBytes; {
		m, err := c.discard()
		if n += m; err != nil {
			return
		}
	}
}
