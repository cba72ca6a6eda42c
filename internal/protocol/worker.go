package protocol

import (
	"bufio"
	"bytes"
	"net"
	"strconv"
	"sync/atomic"
	"time"

	"burlpass/internal/transport"
)

// request is a client's HTTP request, to be passed on to a worker. Its head and body stay where the
// client's connection read them until the call is over.
type request struct {
	head   *head
	body   []byte  // whole, or its window
	upload *upload // what follows the window; nil where the body is whole
}

// Encode gathers the request line, the headers that pass, and the body, all unchanged.
func (q *request) Encode(worker string, remaining time.Duration) [][]byte {
	h := q.head
	out := make([][]byte, 0, len(h.fields)+3)
	line, _, _ := bytes.Cut(h.raw, []byte("\r\n"))
	target := line[:len(line)-len(h.start[2])]
	out = append(out, target, []byte("HTTP/1.1\r\nHost: "+worker+"\r\n"))
	for _, f := range h.fields {
		if h.passes(f) && !is(f.name, headerExpires) && !is(f.name, "Host") {
			out = append(out, f.line)
		}
	}
	if q.upload != nil { // its time counts from its last byte
		remaining = min(remaining, q.upload.expires)
	}
	tail := headerExpires + ": " + strconv.FormatInt(max(remaining.Microseconds(), 1), 10) + "u\r\n"
	switch {
	case q.upload != nil && h.chunked:
		return append(append(out, []byte(tail+"Transfer-Encoding: chunked\r\n\r\n")), chunk(q.body)...)
	case q.upload != nil:
		tail += "Content-Length: " + strconv.FormatInt(h.length, 10) + "\r\n"
	case h.chunked || h.length >= 0:
		tail += "Content-Length: " + strconv.Itoa(len(q.body)) + "\r\n"
	}
	return append(out, []byte(tail+"\r\n"), q.body)
}

// Rest passes on what follows the window.
func (q *request) Rest() func(transport.Write) error {
	if q.upload == nil {
		return nil
	}
	return q.upload.pass
}

// probe asks a worker for its load report.
type probe struct{}

// Probe is the message of a probe.
func Probe() Message { return probe{} }

// Rest is nothing: a probe has no body.
func (probe) Rest() func(transport.Write) error { return nil }

func (probe) Encode(worker string, _ time.Duration) [][]byte {
	return [][]byte{[]byte("GET /_load HTTP/1.1\r\nHost: " + worker + "\r\n\r\n")}
}

// Workers sends messages to workers over HTTP/1.1.
type Workers struct {
	Pool    *transport.Pool
	Columns []string // of a load report, in the order of the settings
	Figures *Figures // counts the calls' attempts written whole; nil for none
}

// Delegation is one attempt at a worker. Exactly one Result arrives on Done; Reply is filled in where that
// has no error.
type Delegation struct {
	*transport.Attempt
	Reply *Reply
}

// Return is where an attempt's Result goes, and the tag that it bears there. The zero value leaves it to the
// attempt's own Done; a channel that several share needs room for all of them.
type Return struct {
	To  chan transport.Result
	Tag int
}

// Start sends a message to a worker, which is told the time that is left until end when its first byte goes out. guard is
// asked once the connection is there; where it says no, nothing goes out.
func (w *Workers) Start(peer transport.Peer, m Message, end time.Time, guard transport.Guard, back Return) Delegation {
	reply := &Reply{}
	q, _ := m.(*request)
	var written *atomic.Int64
	if _, probing := m.(probe); !probing && w.Figures != nil {
		written = &w.Figures.Written
	}
	return Delegation{Reply: reply, Attempt: w.Pool.Start(peer, transport.Exchange{
		Written: written, Tag: back.Tag, Done: back.To,
		Message: func() net.Buffers { return m.Encode(peer.Addr, time.Until(end)) },
		Rest:    m.Rest(),
		Long:    q != nil && len(q.body)+len(q.head.raw) > transport.WholeWrite,
		Guard:   guard,
		Read:    func(r *bufio.Reader) (bool, error) { return readReply(r, w.Columns, reply) },
		More:    func() bool { return !reply.rest.over },
	})}
}

// Revoked is an attempt that has ended before it began, for the given reason.
func Revoked(err error, back Return) Delegation {
	return Delegation{Reply: &Reply{}, Attempt: transport.Refused(transport.Exchange{Tag: back.Tag, Done: back.To}, err)}
}

// CloseIdle closes the idle connections to a worker.
func (w *Workers) CloseIdle(peer transport.Peer) { w.Pool.CloseIdle(peer) }

// maxInterim bounds the interim responses before a final one.
const maxInterim = 8

// readResponse reads the head of a final response; interim ones are passed over.
func readResponse(r *bufio.Reader, h *head) (status int, err error) {
	for range maxInterim + 1 {
		if err := readHead(r, h); err != nil {
			return 0, err
		}
		if err := h.parse(); err != nil {
			return 0, err
		}
		status, err := strconv.Atoi(string(h.start[1]))
		if err != nil || status < 100 || status > 599 || !bytes.HasPrefix(h.start[0], []byte("HTTP/1.")) {
			return 0, malformed("status line")
		}
		if status >= 200 {
			return status, nil
		}
		if status == 101 {
			return 0, malformed("unasked switch of protocols")
		}
	}
	return 0, malformed("interim responses without end")
}

// readReply reads a worker's answer: whole, or, of a good one that is longer than is held, its beginning. The rest of
// that is reply.rest's.
func readReply(r *bufio.Reader, columns []string, reply *Reply) (reuse bool, err error) {
	var h head
	status, err := readResponse(r, &h)
	if err != nil {
		return false, err
	}
	switch {
	case status == 200:
		reply.Kind = ReplyServed
	case (status == 503 || status == 504) && string(h.get(headerUnrun)) == "1":
		reply.Kind = ReplyFull
	default:
		reply.Kind = ReplyError
	}
	reuse = !h.closing && !bytes.Equal(h.start[0], []byte("HTTP/1.0"))
	reply.rest.over = true
	if status != 204 && status != 304 {
		if h.length < 0 && !h.chunked && reuse { // a body up to the connection's end, which nothing has announced
			return false, malformed("answer without a length")
		}
		if h.length > MaxBody {
			return false, ErrBodyTooBig
		}
		body := h.body(r, true, MaxBody)
		most := maxHeld
		switch {
		case h.length > maxHeld && reply.Kind != ReplyServed: // nobody wants what an error says at such length
			most, body.over, reuse = 0, true, false
		case h.length > maxHeld: // the client waits for its first bytes
			most = 0
		case h.length < 0:
			most = maxWindow
		}
		if reply.Body, err = body.upTo(nil, most); err != nil {
			return false, err
		}
		if !body.over && reply.Kind != ReplyServed {
			body.over, reuse = true, false
		}
		if reply.rest = body; !body.over {
			reply.Length, reply.reuse = h.length, reuse
		}
	}
	if v := h.get(loadHeader); v != nil {
		reply.Load = parseReport(v, columns)
	} else if reply.Kind == ReplyServed && reply.rest.over {
		reply.Load = parseReport(reply.Body, columns)
	}
	for _, f := range h.fields {
		if h.passes(f) && !is(f.name, loadHeader) {
			reply.Header = append(reply.Header, f.line...)
		}
	}
	return reuse, nil
}
