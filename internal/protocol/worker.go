package protocol

import (
	"bufio"
	"bytes"
	"net"
	"strconv"
	"sync/atomic"
	"time"

	"burlpass/internal/memory"
	"burlpass/internal/transport"
)

// request is a client's HTTP request, to be forwarded to a worker. Its head and body stay where the client's connection
// read them until the call ends.
type request struct {
	head   *head
	body   []byte  // complete, or its window
	upload *upload // what follows the window; nil if the body is complete
}

// Encode assembles the request line, the end-to-end headers and the body, all unchanged.
func (q *request) Encode(worker string, remaining time.Duration) [][]byte {
	if q.upload != nil { // its time counts from its last byte
		remaining = min(remaining, q.upload.expires)
	}
	head := q.encodeHead(worker, remaining)
	if q.upload != nil && q.head.chunked {
		return append([][]byte{head}, encodeChunk(q.body)...)
	}
	return [][]byte{head, q.body}
}

// maxAddedHead is about the number of bytes by which a head grows on its way to a worker, beside the worker's name.
const maxAddedHead = 128

// encodeHead returns the head for a worker.
func (q *request) encodeHead(worker string, remaining time.Duration) []byte {
	h := q.head
	out := make([]byte, 0, len(h.raw)+len(worker)+maxAddedHead)
	line, _, _ := bytes.Cut(h.raw, []byte("\r\n"))
	out = append(out, line[:len(line)-len(h.startLine[2])]...)
	out = append(append(append(out, "HTTP/1.1\r\nHost: "...), worker...), "\r\n"...)
	for _, f := range h.fields {
		if h.isEndToEnd(f) && !equalFold(h.name(f), headerExpires) && !equalFold(h.name(f), "Host") {
			out = append(out, h.line(f)...)
		}
	}
	out = append(append(out, headerExpires...), ": "...)
	out = append(strconv.AppendInt(out, max(remaining.Microseconds(), 1), 10), "u\r\n"...)
	switch {
	case q.upload != nil && h.chunked:
		out = append(out, "Transfer-Encoding: chunked\r\n"...)
	case q.upload != nil:
		out = append(strconv.AppendInt(append(out, "Content-Length: "...), h.length, 10), "\r\n"...)
	case h.chunked || h.length >= 0:
		out = append(strconv.AppendInt(append(out, "Content-Length: "...), int64(len(q.body)), 10), "\r\n"...)
	}
	return append(out, "\r\n"...)
}

// Rest streams what follows the window.
func (q *request) Rest() func(transport.WriteFunc) error {
	if q.upload == nil {
		return nil
	}
	return q.upload.stream
}

// probe requests a worker's load report.
type probe struct{}

// Probe returns the message of a load probe.
func Probe() Message { return probe{} }

// Rest returns nil, since a probe has no body.
func (probe) Rest() func(transport.WriteFunc) error { return nil }

func (probe) Encode(worker string, _ time.Duration) [][]byte {
	return [][]byte{[]byte("GET /_load HTTP/1.1\r\nHost: " + worker + "\r\n\r\n")}
}

// Workers sends messages to workers over HTTP/1.1.
type Workers struct {
	Pool     *transport.Pool
	Columns  []string       // of a load report, in the order of the settings
	Counters *Counters      // counts the calls' attempts that were written completely; may be nil
	Memory   *memory.Budget // limits what is held of responses; nil for no limit
}

// WorkerAttempt is one attempt at a worker. Exactly one Result arrives on Done; Reply is set if that has no error.
type WorkerAttempt struct {
	*transport.Attempt
	Reply *Reply
}

// ResultTarget says where an attempt's Result is sent, and the tag that it carries. With the zero value the attempt uses its own
// Done channel; a channel shared by several attempts needs capacity for all of their results.
type ResultTarget struct {
	Channel chan transport.Result
	Tag     int
}

// Start sends a message to a worker. The worker is told the time that is left until end when the first byte is sent. guard
// is asked once the connection is established; if it refuses, nothing is sent.
func (w *Workers) Start(peer transport.Peer, m Message, end time.Time, guard transport.Guard, target ResultTarget) WorkerAttempt {
	reply := &Reply{memory: w.Memory}
	q, _ := m.(*request)
	var written *atomic.Int64
	if _, probing := m.(probe); !probing && w.Counters != nil {
		written = &w.Counters.Written
	}
	return WorkerAttempt{Reply: reply, Attempt: w.Pool.Start(peer, transport.Exchange{
		Written: written, Tag: target.Tag, Done: target.Channel,
		Message:  func() net.Buffers { return m.Encode(peer.Addr, time.Until(end)) },
		Rest:     m.Rest(),
		MayBlock: q != nil && len(q.body)+len(q.head.raw) > transport.MaxSingleWrite,
		Guard:    guard,
		Read:     func(r *bufio.Reader) (bool, error) { return readReply(r, w.Columns, reply) },
		More:     func() bool { return !reply.rest.done },
		Dropped:  reply.Release,
	})}
}

// NewFailedAttempt returns an attempt that ended before it began, with the given error as its result.
func NewFailedAttempt(err error, target ResultTarget) WorkerAttempt {
	return WorkerAttempt{Reply: &Reply{}, Attempt: transport.FailedAttempt(transport.Exchange{Tag: target.Tag, Done: target.Channel}, err)}
}

// CloseIdle closes the idle connections to a worker.
func (w *Workers) CloseIdle(peer transport.Peer) { w.Pool.CloseIdle(peer) }

// maxInterimResponses bounds the interim responses before a final one.
const maxInterimResponses = 8

// readResponse reads the head of a final response and skips interim ones.
func readResponse(r *bufio.Reader, h *head) (status int, err error) {
	for range maxInterimResponses + 1 {
		if err := readHead(r, h, nil); err != nil {
			return 0, err
		}
		if err := h.parse(nil); err != nil {
			return 0, err
		}
		status, err := strconv.Atoi(string(h.startLine[1]))
		if err != nil || status < 100 || status > 599 || !bytes.HasPrefix(h.startLine[0], []byte("HTTP/1.")) {
			return 0, malformed("status line")
		}
		if status >= 200 {
			return status, nil
		}
		if status == 101 {
			return 0, malformed("unexpected switch of protocols")
		}
	}
	return 0, malformed("too many interim responses")
}

// readReply reads a worker's reply: all of it, or the beginning of a successful one that is too long to buffer. The rest is
// then read from reply.rest.
func readReply(r *bufio.Reader, columns []string, reply *Reply) (reuse bool, err error) {
	var h head
	status, err := readResponse(r, &h)
	if err != nil {
		return false, err
	}
	switch {
	case status == 200:
		reply.Kind = ReplyServed
	case (status == 503 || status == 504) && string(h.get(headerNeverRan)) == "1":
		reply.Kind = ReplyNeverRan
	default:
		reply.Kind = ReplyError
	}
	reuse = !h.closeAfter && !bytes.Equal(h.startLine[0], []byte("HTTP/1.0"))
	reply.rest.done = true
	if status != 204 && status != 304 {
		if h.length < 0 && !h.chunked && reuse { // a body that extends to the connection's end, without Connection: close
			return false, malformed("response without a length")
		}
		if h.length > MaxBody {
			return false, ErrBodyTooBig
		}
		if reuse, err = reply.readBody(h.body(r, true, MaxBody), &h, reuse); err != nil {
			reply.Release()
			return false, err
		}
	}
	if v := h.get(headerLoadReport); v != nil {
		reply.Load = parseLoadReport(v, columns)
	} else if reply.Kind == ReplyServed && reply.rest.done {
		reply.Load = parseLoadReport(reply.Body, columns)
	}
	for _, f := range h.fields {
		if h.isEndToEnd(f) && !equalFold(h.name(f), headerLoadReport) {
			reply.Header = append(reply.Header, h.line(f)...)
		}
	}
	return reuse, nil
}

// readBody reads a body, or the beginning of a successful one that is too long to buffer. reuse says whether the connection may
// be reused after the response; the result, whether that still holds.
func (r *Reply) readBody(body bodyReader, h *head, reuse bool) (bool, error) {
	if r.Kind != ReplyServed {
		return skipBody(&body, h, reuse)
	}
	var err error
	if r.Body, err = body.readUpTo(nil, r.reserveBody(h)); err != nil {
		return false, err
	}
	if r.rest = body; !body.done {
		r.Length, r.reuse = h.length, reuse
	}
	return reuse, nil
}

// skipBody drops the body of an error, which is of no use but for the next response on the connection. A long one is not read,
// and its connection is not reused.
func skipBody(body *bodyReader, h *head, reuse bool) (bool, error) {
	limit := maxBufferedBody
	switch {
	case h.length > maxBufferedBody:
		return false, nil
	case h.length < 0:
		limit = bodyWindow
	}
	if err := body.discardUpTo(limit); err != nil {
		return false, err
	}
	return reuse && body.done, nil
}

// reserveBody takes memory for a body and returns how much of it may be read before it is passed on: all of a short one, the
// beginning of one of unknown length, nothing of a long one, for whose first bytes the client waits.
func (r *Reply) reserveBody(h *head) int {
	switch {
	case h.length > maxBufferedBody:
		return 0
	case h.length >= 0:
		return r.reserve(int(h.length))
	}
	if window := r.reserve(bodyWindow); window > 0 {
		return window
	}
	return r.reserve(memory.SmallBody)
}

// reserve takes n bytes of memory. It returns n, or 0 if there is none.
func (r *Reply) reserve(n int) int {
	kind := memory.Responses
	if n <= memory.SmallBody {
		kind = memory.Heads
	}
	if !r.memory.TryAcquire(&r.grant, kind, int64(n)) {
		return 0
	}
	return n
}
