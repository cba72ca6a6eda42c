package protocol

import (
	"bufio"
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"burlpass/internal/fairness"
	"burlpass/internal/invariant"
	"burlpass/internal/memory"
	"burlpass/internal/sharedids"
	"burlpass/internal/transport"
)

// Handler produces the single answer to each call.
type Handler interface {
	Serve(c *Call) Answer
	Healthy() bool // reports whether calls can be served
}

// Header names.
const (
	headerClass          = "X-Qos"
	headerTrace          = "X-Trace-Id"
	headerExpires        = "X-Expires-In"
	headerRetry          = "X-Second-Try"
	headerIdempotencyKey = "Idempotency-Key"
	headerNeverRan       = "X-Never-Ran"
)

const (
	healthPath          = "/_health"
	firstByteTimeout    = 2 * time.Second         // for the first byte on a new connection
	headTimeout         = 2500 * time.Millisecond // for the head of one call; for the first call it counts from the start of the connection
	minFirstByteTimeout = 250 * time.Millisecond  // minimum of firstByteTimeout and headTimeout for a connection that waited long to be accepted
	minHeadTimeout      = 500 * time.Millisecond
	stallTimeout        = 2200 * time.Millisecond // since the client's last byte within a request; the client is owed an error or a close within 3 s
	idleTimeout         = 5 * time.Second         // for a client's connection between two calls
	writeTimeout        = 2 * time.Second         // for one short response: the client runs on this machine and is waiting for it
	answerMargin        = 10 * time.Millisecond   // reserved for the response's way back to the client
	maxExpires          = time.Hour               // longer deadlines are considered invalid
)

// Server serves clients over HTTP/1.1: it reads their calls, passes them to the handler and writes the answers.
type Server struct {
	Handler         Handler
	Classes         []string        // class names, indexed by class
	Worth           []float64       // of a call, by class; decides which calls are refused when the processor is short; nil if all are alike
	MaxDeadline     time.Duration   // the longest deadline of all classes; IDs of answered requests are remembered for at least that long
	Advice          time.Duration   // how long a client stays away that is refused for lack of capacity or time, 0 for no advice
	Draining        context.Context // done from the moment on which clients are told to go elsewhere
	Closing         context.Context // done when connections without a call are to be closed
	OperatorDrained *atomic.Bool    // true while an operator has drained the sidecar: has the same effect as Draining
	Counters        *Counters       // counts the calls' answers; may be nil
	Memory          *memory.Budget  // limits what is held of requests and responses; nil for no limit
	OriginConfig    *OriginConfig   // where calls carry what rules match on; nil if no rules are in use
	Log             *slog.Logger

	MaxTransfers int // long messages under way at a time, so that they leave connections for others; 0 for no limit

	// SharedIDs remembers the IDs of requests for the sidecar's other processes as well; nil if there are none.
	SharedIDs *sharedids.Table

	Invariants *invariant.Monitor // counts violations of invariants; may be nil

	Fairness fairness.Scheduler // divides the processor among clients

	rejectionLog logLimiter
	overloadLog  logLimiter
	transfers    atomic.Int64 // long messages under way
	requestIDs   recentIDs
	overload     overloadDetector
	refusals     [refusalReasons]refusalCounter
	waiting      atomic.Int64 // connections that wait for their turn
	waitLog      logLimiter
}

// Serve reads and answers calls one after another until the connection is to end, and then closes it gracefully. The
// listener closes the connection when Serve returns.
func (s *Server) Serve(conn *transport.Client) {
	c := &client{Server: s, Client: conn, source: clientSource{conn: conn}, presentAt: conn.ConnectedAt(), closeReason: closedAfterAnswer}
	c.account = s.Fairness.Open(conn.RemoteAddr().String(), time.Now())
	defer s.Fairness.Close(c.account)
	c.smallReader = bufio.NewReaderSize(&c.source, connectionBuffer)
	c.r = c.smallReader
	stop := context.AfterFunc(s.Closing, conn.EndIdleWaits)
	defer stop()
	defer c.aheadGrant.Release()
	defer c.source.ahead.release()
	c.serveCalls()
	c.logClose()
	c.releaseRequest()
	c.closeGracefully()
}
