package protocol

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"hash/maphash"
	"io"
	"log/slog"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

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
	idleTime     = 5 * time.Second         // a client's connection between two calls
	writeTime    = 2 * time.Second         // for one short answer: the client is on this machine and wants it
	answerMargin = 10 * time.Millisecond   // for the way of an answer back to its client
	maxExpires   = time.Hour               // a longer wait is held to be garbage
)

// Acceptor serves clients over HTTP/1.1: it reads their calls, hands them to the handler, writes the answers.
type Acceptor struct {
	Handler  Handler
	Classes  []string        // class names; a class is its position
	Draining context.Context // done from the moment on which clients are steered away
	Closing  context.Context // done when connections without a call are to end
	Held     *atomic.Bool    // true while the operators have drained the sidecar: steered away as when Draining
	Figures  *Figures        // counts the calls' answers; nil for none
	Log      *slog.Logger

	rejected tally
	traces   traces
}

// traces remembers the ids of the calls of late. An id is fresh on every call; one that comes again is another
// client's, and passing it on would be a second copy of that client's call.
type traces struct {
	mu      sync.Mutex
	seed    maphash.Seed
	turned  time.Time
	of, old map[uint64]struct{} // hashes of the ids since turned, and of those before
}

// traceMemory is the least time for which an id is remembered, longer than a call may take.
const traceMemory = 4 * time.Second

// take tells whether an id is new, and remembers it.
func (t *traces) take(id []byte, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.of == nil {
		t.seed = maphash.MakeSeed()
	}
	if t.of == nil || now.Sub(t.turned) >= traceMemory {
		if now.Sub(t.turned) >= 2*traceMemory {
			t.of = nil
		}
		t.of, t.old, t.turned = map[uint64]struct{}{}, t.of, now
	}
	h := maphash.Bytes(t.seed, id)
	_, known := t.of[h]
	if _, before := t.old[h]; known || before {
		return false
	}
	t.of[h] = struct{}{}
	return true
}

// tally thins out a log line that others can bring about as often as they like.
type tally struct {
	mu   sync.Mutex
	last time.Time
	held int
}

// tallyPace is the least time between two lines.
const tallyPace = time.Second

// due tells whether a line may be written now, and how many were held back before it.
func (t *tally) due(now time.Time) (held int, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Sub(t.last) < tallyPace {
		t.held++
		return 0, false
	}
	held, t.held, t.last = t.held, 0, now
	return held, true
}

// client is one client's connection.
type client struct {
	*Acceptor
	*transport.Client
	r       *bufio.Reader
	head    head
	body    []byte
	upload  *upload   // the rest of the body of the call at hand, nil where that is whole
	started time.Time // of the call's first byte
	asked   bool      // there has been a call before
	closing bool      // no further call on this connection
}

// failure is an answer that needs no handler.
type failure struct {
	status int
	text   string
}

func (f *failure) Error() string { return f.text }

// Serve reads and answers one call after another until the connection ends.
func (a *Acceptor) Serve(conn *transport.Client) {
	c := &client{Acceptor: a, Client: conn, r: bufio.NewReaderSize(conn, maxHead)}
	stop := context.AfterFunc(a.Closing, func() { conn.SetReadDeadline(time.Now()) })
	defer stop()
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
			c.reject(err)
		case call == nil:
			c.health()
		case conn.Crowded:
			c.closing = true
			c.answer(Answer{Verdict: Refused, Wait: time.Second})
		case !a.traces.take(c.head.get(headerTrace), c.started):
			c.reject(&failure{409, "the id of another call"})
		default:
			c.serve(call)
		}
		if cap(c.body) > maxHead {
			c.body = nil // large bodies are rare; an idle connection holds no memory for them
		}
	}
}

// await waits for a call's first byte. Until then the connection may be closed to make room for another.
func (c *client) await() bool {
	phase, wait, limit := transport.Resting, idleTime, readTime
	if !c.asked { // who connects and says nothing, or half of something, is owed an end in 3 s altogether
		phase, wait, limit = transport.Silent, silentTime, readTime-time.Since(c.Begun)
		c.asked = true
	}
	c.SetReadDeadline(time.Now().Add(wait))
	if c.Closing.Err() != nil { // its own deadline has just been overwritten
		return false
	}
	if !c.Enter(phase) {
		return false
	}
	if _, err := c.r.Peek(1); err != nil || !c.Enter(transport.Reading) {
		return false
	}
	c.started = time.Now()
	// With Closing done a deadline of the past stands; the call that has begun still gets its time.
	c.SetReadDeadline(c.started.Add(limit))
	return true
}

// read reads one call whole. It returns nil for a health check.
func (c *client) read() (*Call, error) {
	c.closing = true // until the message has been read whole, nothing can follow it
	h := &c.head
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
		if _, err := c.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n")); err != nil {
			return nil, err
		}
	}
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
	c.SetReadDeadline(begun.Add(bodyLimit(int64(most))))
	if c.body, err = body.upTo(c.body, most); err != nil {
		return err
	}
	if !body.over && body.chunked && body.left == 0 { // it may end just here
		if err := body.nextChunk(); err != nil && err != io.EOF {
			return err
		}
	}
	if !body.over {
		c.upload = newUpload(body, c.Client.Conn, time.Since(begun), int64(len(c.body)), 0)
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
	patience := max(expires-answerMargin, 0) // from the message's last byte on
	call := &Call{Class: class, Budget: patience, Repeat: string(c.head.get(headerRepeat)) == "1",
		Message: &request{head: &c.head, body: c.body, upload: c.upload}}
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

// serve hands a call over, watches meanwhile for the client's leaving, and writes the answer.
func (c *client) serve(call *Call) {
	left, watched, done := make(chan struct{}), make(chan struct{}), make(chan struct{})
	call.Left = left
	if c.upload == nil {
		c.SetReadDeadline(time.Time{})
	}
	go func() {
		defer close(watched)
		if c.upload != nil && !c.upload.await(done, left) {
			return
		}
		if _, err := c.r.Peek(1); err != nil && !isTimeout(err) {
			close(left)
		}
	}()
	answer := c.Handler.Serve(call)
	c.Figures.answered(call.Class, answer.Verdict) // before it is out: whoever has it finds it counted
	if c.upload == nil {
		c.answer(answer)
		c.SetReadDeadline(time.Now())
		<-watched
		return
	}
	err := c.upload.state()
	if err == nil {
		c.closing = c.last()
	}
	rejected := err != nil && err != errUnread
	if rejected {
		c.reject(err)
	} else {
		c.answer(answer)
	}
	c.upload.stop()
	close(done)
	<-watched
	if err != nil && !rejected && c.Enter(transport.Lingering) {
		c.absorb()
	}
}

// Bounds of what is still read of a long message after its call's final answer.
const (
	absorbStep = time.Second
	absorbTime = 30 * time.Second
)

// absorb reads on what the client still sends of a message that has been answered before its end: closing would reset the
// connection, and the reset can overtake the answer.
func (c *client) absorb() {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil {
		return
	}
	end := time.Now().Add(absorbTime)
	for n := 0; n < MaxBody && time.Now().Before(end) && c.Closing.Err() == nil; {
		c.SetReadDeadline(time.Now().Add(absorbStep))
		m, err := c.r.Discard(maxHead)
		if n += m; err != nil {
			return
		}
	}
}

func isTimeout(err error) bool {
	var t net.Error
	return errors.As(err, &t) && t.Timeout()
}

// reject answers what is no call. After a framing error nobody knows where the next message would start.
func (c *client) reject(err error) {
	var f *failure
	switch {
	case errors.As(err, &f):
	case errors.Is(err, ErrMalformed):
		f = &failure{400, err.Error()}
	case errors.Is(err, ErrHeadTooBig):
		f = &failure{431, err.Error()}
	case errors.Is(err, ErrBodyTooBig):
		f = &failure{413, err.Error()}
	case isTimeout(err):
		f = &failure{408, "call not whole in time"}
	default: // the client broke off
		c.closing = true
		return
	}
	if held, ok := c.rejected.due(time.Now()); ok {
		c.Log.Warn("call_rejected", "status", f.status, "reason", f.text, "more", held)
	}
	c.closing = c.closing || c.Tight()
	c.write(f.status, nil, "", []byte(f.text+"\n"))
	if c.closing && c.Enter(transport.Lingering) {
		linger(c.Conn, c.r)
	}
}

// lingerTime and lingerBytes bound how much of a rejected message is still read.
const (
	lingerTime  = 500 * time.Millisecond
	lingerBytes = 256 << 10
)

// linger reads on for a little while after the last answer: closing with unread bytes would reset the
// connection, and the reset can overtake the answer.
func linger(conn net.Conn, r *bufio.Reader) {
	if half, ok := conn.(interface{ CloseWrite() error }); ok && half.CloseWrite() == nil {
		conn.SetReadDeadline(time.Now().Add(lingerTime))
		r.Discard(lingerBytes)
	}
}

func (c *client) health() {
	if c.Handler.Healthy() && !c.steering() {
		c.write(200, nil, "", []byte("ok"))
	} else {
		c.write(503, nil, "", []byte("not able to serve"))
	}
}

// steering tells that clients are to go elsewhere: the sidecar ends, or the operators have drained it.
func (a *Acceptor) steering() bool { return a.Draining.Err() != nil || a.Held != nil && a.Held.Load() }

// answer writes a call's one final answer.
func (c *client) answer(a Answer) {
	if c.steering() || c.Tight() {
		c.closing = true
	}
	switch a.Verdict {
	case Served:
		if a.Reply.Rest != nil {
			c.relay(a.Reply)
			return
		}
		c.write(200, a.Reply.Header, "", a.Reply.Body)
	case Refused:
		advice := ""
		if a.Wait > 0 {
			advice = "Retry-After: " + strconv.FormatFloat(a.Wait.Seconds(), 'f', -1, 64) + "\r\n"
		}
		c.write(503, nil, advice, nil)
	case Expired:
		c.write(504, nil, "", nil)
	default:
		c.write(502, nil, "", nil)
	}
}

var statusLines = map[int]string{
	200: "HTTP/1.1 200 OK\r\n", 400: "HTTP/1.1 400 Bad Request\r\n",
	408: "HTTP/1.1 408 Request Timeout\r\n", 409: "HTTP/1.1 409 Conflict\r\n", 413: "HTTP/1.1 413 Content Too Large\r\n",
	431: "HTTP/1.1 431 Request Header Fields Too Large\r\n", 502: "HTTP/1.1 502 Bad Gateway\r\n",
	503: "HTTP/1.1 503 Service Unavailable\r\n", 504: "HTTP/1.1 504 Gateway Timeout\r\n",
}

func (c *client) write(status int, header []byte, extra string, body []byte) {
	tail := extra + "Content-Length: " + strconv.Itoa(len(body)) + "\r\n"
	if c.closing {
		tail += "Connection: close\r\n"
	}
	out := net.Buffers{[]byte(statusLines[status]), header, []byte(tail + "\r\n"), body}
	c.SetWriteDeadline(time.Now().Add(writeTime))
	if _, err := out.WriteTo(c.Conn); err != nil {
		c.closing = true
	}
}

// relay passes an answer on whose rest is still to come. It ends the connection where the worker breaks off, so that the
// client can tell, and the worker's where the client does.
func (c *client) relay(reply *Reply) {
	framing, chunked := "", false
	switch {
	case reply.Length >= 0:
		framing = "Content-Length: " + strconv.FormatInt(reply.Length, 10) + "\r\n"
	case bytes.Equal(c.head.start[2], []byte("HTTP/1.1")):
		framing, chunked = "Transfer-Encoding: chunked\r\n", true
	default:
		c.closing = true
	}
	if c.closing {
		framing += "Connection: close\r\n"
	}
	out := net.Buffers{[]byte(statusLines[200]), reply.Header, []byte(framing + "\r\n")}
	piece := reply.Body
	buf := make([]byte, relaySize)
	for {
		switch {
		case len(piece) > 0 && chunked:
			out = append(out, chunk(piece)...)
		case len(piece) > 0:
			out = append(out, piece)
		}
		if chunked && reply.rest.over {
			out = append(out, []byte("0\r\n\r\n"))
		}
		c.SetWriteDeadline(time.Now().Add(relayTime))
		if _, err := out.WriteTo(c.Conn); err != nil || reply.rest.over {
			c.closing = c.closing || err != nil
			reply.Rest.Close(err == nil && reply.reuse)
			return
		}
		reply.Rest.SetDeadline(time.Now().Add(relayTime))
		n, err := reply.rest.Read(buf)
		if err != nil && err != io.EOF {
			c.closing = true
			reply.Rest.Close(false)
			if reset, ok := c.Conn.(interface{ SetLinger(int) error }); ok && !chunked && reply.Length < 0 {
				reset.SetLinger(0) // its end would else look like the answer's
			}
			return
		}
		out, piece = out[:0], buf[:n]
	}
}
