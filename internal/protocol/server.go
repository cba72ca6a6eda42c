package protocol

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"log/slog"
	"net"
	"strconv"
	"sync/atomic"
	"time"

	"burlpass/internal/invariant"
	"burlpass/internal/transport"
)

// Handler gives every call its one answer.
type Handler interface {
	Serve(c *Call) Answer
	Healthy() bool // able to serve
}

// Names of the headers that matter here.
const (
	headerClass   = "X-Qos"
	headerTrace   = "X-Trace-Id"
	headerExpires = "X-Expires-In"
	headerRepeat  = "X-Second-Try"
	headerKey     = "Idempotency-Key"
	headerUnrun   = "X-Never-Ran"
)

const (
	healthPath   = "/_health"
	silentTime   = 2 * time.Second         // a new connection's time for its first byte
	readTime     = 2500 * time.Millisecond // for one call's head, the first one counted from its connection's begin
	leastSilent  = 250 * time.Millisecond  // the same two for a connection that waited long until it was accepted
	leastRead    = 500 * time.Millisecond
	stallTime    = 2200 * time.Millisecond // since a client's last byte, in the middle of a request; it is owed an error or a close in 3 s
	idleTime     = 5 * time.Second         // a client's connection between two calls
	writeTime    = 2 * time.Second         // for one short answer: the client is on this machine and wants it
	answerMargin = 10 * time.Millisecond   // for the way of an answer back to its client
	maxExpires   = time.Hour               // a longer wait is held to be garbage
)

// Server serves clients over HTTP/1.1: it reads their calls, hands them to the handler, writes the answers.
type Server struct {
	Handler  Handler
	Classes  []string        // class names; a class is its position
	Worth    []float64       // of a call of each class, by which calls are refused where the processor is short; nil for all alike
	Longest  time.Duration   // the longest deadline of the classes; ids of answered requests are remembered for at least that long
	Advice   time.Duration   // how long a client stays away that is refused for want of room or time, 0 for no advice
	Draining context.Context // done from the moment on which clients are steered away
	Closing  context.Context // done when connections without a call are to end
	Held     *atomic.Bool    // true while the operators have drained the sidecar: steered away as when Draining
	Figures  *Figures        // counts the calls' answers; nil for none
	Origins  *Origins        // where calls carry what rules go by; nil where nobody asks
	Log      *slog.Logger

	Invariants *invariant.Monitor // counts what must never happen; nil: nobody counts

	rejected tally
	refused  tally
	traces   traces
	late     lateness
}

// client is one client's connection.
type client struct {
	*Server
	*transport.Client
	in      source        // what r reads from
	small   *bufio.Reader // of the size of a head
	r       *bufio.Reader // small, or a wider one while requests have come ahead
	head    head
	body    []byte
	upload  *upload   // the rest of the body of the call at hand, nil where that is whole
	started time.Time // of the call's first byte
	asked   bool      // there has been a call before
	stage   string    // what of the request at hand is read, for the log
	due     time.Time // when the client of the request at hand gives up; zero where the request has not come whole
	settled time.Time // when the request before had its answer
	closing bool      // no further call on this connection
	broken  bool      // nothing is owed to the client any more, or it must see that an answer is not whole
}

// failure is an answer that needs no handler.
type failure struct {
	status int
	text   string
}

func (f *failure) Error() string { return f.text }

// Serve reads and answers one call after another until the connection is to end, and ends it in order. The listener closes
// it when Serve returns.
func (s *Server) Serve(conn *transport.Client) {
	c := &client{Server: s, Client: conn, in: source{conn: conn}}
	c.small = bufio.NewReaderSize(&c.in, maxHead)
	c.r = c.small
	stop := context.AfterFunc(s.Closing, conn.EndRest)
	defer stop()
	c.run()
	c.finish()
}

// run reads and answers one call after another.
func (c *client) run() {
	server := c.Server
	for !c.closing {
		if !c.await() {
			return
		}
		call, err := c.read()
		if !c.Enter(transport.Busy) {
			return
		}
		switch {
		case err != nil:
			c.checkStopped(err)
			c.reject(err)
		case call == nil:
			c.health()
		case c.Crowded:
			c.closing = true
			c.refuse(call)
		case server.late.presses.Load() && !c.presence().here(): // nobody waits for it any more
			return
		case server.late.refuses(call.Class, server.Worth) || call.Budget <= 0 && c.waited():
			server.tellLate()
			c.refuse(call)
		case !server.traces.take(c.head.get(headerTrace), c.started, server.Longest):
			c.reject(&failure{409, "the id of another call"})
		default:
			c.serve(call)
			server.traces.end(c.head.get(headerTrace), time.Now(), server.Longest)
		}
		if cap(c.body) > maxHead {
			c.body = nil // large bodies are rare; an idle connection holds no memory for them
		}
	}
}

// await waits for a call's first byte. Until then the connection may be closed to make room for another.
func (c *client) await() bool {
	c.narrow()
	now := time.Now()
	phase, until, limit := transport.Resting, now.Add(idleTime), readTime
	if !c.asked { // who connects and says nothing, or half of something, is owed an end in 3 s altogether
		phase, until = transport.Silent, transport.Latest(c.Begun().Add(silentTime), now.Add(leastSilent))
		limit = max(readTime-now.Sub(c.Begun()), leastRead)
		c.asked = true
	}
	c.Receive(transport.Stage{Until: until, AtRest: true})
	if c.Closing.Err() != nil { // a request that has come is still answered
		c.EndRest()
	}
	if !c.Enter(phase) {
		return false
	}
	if _, err := c.r.Peek(1); err != nil || !c.Enter(transport.Reading) {
		return false
	}
	c.started = time.Now()
	c.receive(limit)
	return true
}

// receive begins a part of a request: its bytes may take so long altogether, and pause for no longer than stallTime.
func (c *client) receive(limit time.Duration) {
	c.Receive(transport.Stage{Stall: stallTime, Until: time.Now().Add(limit)})
}

// read reads one call whole. It returns nil for a health check.
func (c *client) read() (*Call, error) {
	c.closing = true // until the message has been read whole, nothing can follow it
	h := &c.head
	h.fields = h.fields[:0] // those of the request before say nothing of this one
	c.stage = "head"
	if err := readHead(c.r, h); err != nil {
		return nil, err
	}
	if err := h.parse(); err != nil {
		return nil, err
	}
	version := h.start[2]
	if !bytes.Equal(version, []byte("HTTP/1.1")) && !bytes.Equal(version, []byte("HTTP/1.0")) ||
		!token(h.start[0]) || len(h.start[1]) == 0 || bytes.IndexByte(version, ' ') >= 0 {
		return nil, malformed("request line")
	}
	if m := string(h.start[0]); m == "HEAD" || m == "CONNECT" { // their answers are framed unlike all others
		return nil, &failure{400, "method not served"}
	}
	if h.length > MaxBody {
		return nil, ErrBodyTooBig
	}
	if is(h.get("Expect"), "100-continue") && (h.chunked || h.length > 0) && c.r.Buffered() == 0 {
		if err := c.Send(net.Buffers{[]byte("HTTP/1.1 100 Continue\r\n\r\n")}, writeTime); err != nil {
			return nil, err
		}
	}
	c.stage = "body"
	if err := c.window(); err != nil {
		return nil, err
	}
	c.closing = c.last() || c.upload != nil
	path, _, _ := bytes.Cut(h.start[1], []byte("?"))
	if string(path) == healthPath {
		return nil, nil
	}
	return c.call(path)
}

// last tells that the client's connection ends with the call at hand.
func (c *client) last() bool { return c.head.closing || c.head.start[2][7] == '0' || c.steering() }

// window reads a body that is short, or the beginning of a long one.
func (c *client) window() (err error) {
	body := c.head.body(c.r, false, MaxBody)
	c.upload, c.body = nil, c.body[:0]
	if body.over {
		return nil
	}
	most := maxHeld
	if c.head.length > maxHeld {
		most = maxWindow
	}
	begun := time.Now()
	c.receive(bodyLimit(int64(most)))
	if c.body, err = body.upTo(c.body, most); err != nil {
		return err
	}
	if !body.over && body.chunked && body.left == 0 { // it may end just here
		if err := body.nextChunk(); err != nil && err != io.EOF {
			return err
		}
	}
	if !body.over {
		c.upload = newUpload(body, c.Client, time.Since(begun), int64(len(c.body)), 0)
	}
	return nil
}

// call makes the protocol-neutral call of what has been read.
func (c *client) call(path []byte) (*Call, error) {
	for _, name := range []string{headerClass, headerTrace, headerExpires, headerKey} {
		if c.head.count(name) > 1 { // sidecar and worker could each take another
			return nil, &failure{400, name + " more than once"}
		}
	}
	name, _, _ := bytes.Cut(bytes.TrimPrefix(path, []byte("/")), []byte("/"))
	if v := c.head.get(headerClass); v != nil && !bytes.Equal(v, name) {
		return nil, &failure{400, "class and path differ"}
	}
	class := -1
	for i, k := range c.Classes {
		if string(name) == k {
			class = i
		}
	}
	if class < 0 {
		return nil, &failure{400, "unknown class"}
	}
	if len(c.head.get(headerTrace)) == 0 {
		return nil, &failure{400, "no " + headerTrace}
	}
	expires, ok := parseExpires(c.head.get(headerExpires))
	if !ok {
		return nil, &failure{400, "missing or invalid " + headerExpires}
	}
	patience := c.patience(expires)
	call := &Call{ID: c.head.get(headerTrace), Class: class, Budget: patience, Repeat: string(c.head.get(headerRepeat)) == "1",
		Message: &request{head: &c.head, body: c.body, upload: c.upload}}
	if c.Origins != nil {
		call.Origin = c.Origins.origin(&c.head, path)
	}
	if u := c.upload; u != nil {
		u.expires = patience
		call.Upload = u
	}
	return call, nil
}

// parseExpires reads a number and a unit, m or u.
func parseExpires(v []byte) (time.Duration, bool) {
	if len(v) < 2 {
		return 0, false
	}
	unit := time.Millisecond
	switch v[len(v)-1] {
	case 'm':
	case 'u':
		unit = time.Microsecond
	default:
		return 0, false
	}
	n := v[:len(v)-1]
	if !('0' <= n[0] && n[0] <= '9') || bytes.ContainsAny(n, "xXpPeE_nN") {
		return 0, false
	}
	f, err := strconv.ParseFloat(string(n), 64)
	if err != nil || f <= 0 || f > float64(maxExpires/unit) {
		return 0, false
	}
	return time.Duration(f * float64(unit)), true
}

// tellLate logs that calls are refused for the process's own lateness.
func (s *Server) tellLate() {
	if held, ok := s.refused.due(time.Now()); ok {
		s.Log.Warn("processor_short", "late", s.late.standing().Round(time.Millisecond), "more", held)
	}
}

// refuse answers a call that is not handed over. Nothing of it has gone to a worker.
func (c *client) refuse(call *Call) {
	c.Figures.answered(call.Class, Refused)
	if c.upload != nil {
		c.closing = true
	}
	c.answer(Answer{Verdict: Refused, Wait: c.Advice})
	if c.upload != nil && c.Enter(transport.Lingering) {
		c.absorb()
	}
}

// serve hands a call over, watches meanwhile for the client's leaving, and writes the answer.
func (c *client) serve(call *Call) {
	c.late.begin(c.Closing)
	defer c.late.end()
	p := c.presence()
	call.Left, call.Present = p.left, p.here
	if c.upload == nil {
		c.Hold()
	}
	go p.watch()
	answer := c.Handler.Serve(call)
	c.checkAnswered(p)
	c.Figures.answered(call.Class, answer.Verdict) // before it is out: whoever has it finds it counted
	if c.upload != nil {
		c.finishUpload(p, answer)
		return
	}
	c.closing = c.closing || p.hasLeft()
	c.answer(answer)
	c.settled = time.Now()
	p.end()
	c.broken = c.broken || p.hasLeft()
	c.closing = c.closing || c.broken // what it has sent ahead is not read as a request
}

// finishUpload answers a call of which some may not have been read.
func (c *client) finishUpload(p *presence, answer Answer) {
	err := c.upload.state()
	if err == nil {
		c.closing = c.last() || p.hasLeft()
	}
	rejected := err != nil && err != errUnread
	if rejected {
		c.reject(err)
	} else {
		c.answer(answer)
	}
	c.upload.stop()
	p.end()
	c.broken = c.broken || p.hasLeft() && !rejected
	c.closing = c.closing || c.broken
	if err != nil && !rejected && c.Enter(transport.Lingering) {
		c.absorb()
	}
}
