package protocol

import (
	"bytes"
	"errors"
	"io"
	"net"
	"runtime"
	"strconv"
	"time"

	"burlpass/internal/memory"
	"burlpass/internal/transport"
)

func isTimeout(err error) bool {
	var t net.Error
	return errors.As(err, &t) && t.Timeout()
}

// reject responds to a request that is not a valid call. After a framing error the start of the next message is unknown,
// so the connection is not reused.
func (c *client) reject(err error) {
	var f *httpError
	switch {
	case errors.As(err, &f):
	case errors.Is(err, ErrMalformed):
		f = &httpError{400, err.Error()}
	case errors.Is(err, ErrHeadTooBig):
		f = &httpError{431, err.Error()}
	case errors.Is(err, ErrBodyTooBig):
		f = &httpError{413, err.Error()}
	case isTimeout(err):
		f = &httpError{408, "call not whole in time"}
	default: // the client closed or reset the connection
		c.closing, c.broken = true, true
		c.closeReason = closedByClient
		return
	}
	c.closeReason = closedRejected
	if suppressed, ok := c.rejectionLog.allow(time.Now()); ok {
		c.Log.Warn("call_rejected", "status", f.status, "reason", f.text, "stage", c.readStage, "id", string(c.head.get(headerTrace)),
			"since_last_byte", time.Since(c.LastByte()).Round(time.Millisecond), "age", time.Since(c.ConnectedAt()).Round(time.Millisecond), "more", suppressed)
	}
	c.closing = c.closing || c.makesRoom(false)
	extra := ""
	if f.status == statusRefused {
		extra = (&Answer{Wait: c.Advice}).retryAfterHeader()
	}
	c.writeResponse(f.status, nil, extra, []byte(f.text+"\n"))
}

func (c *client) answerHealthCheck() {
	c.closing = c.closing || c.makesRoom(false)
	if c.Handler.Healthy() && !c.isDraining() {
		c.writeResponse(200, nil, "", []byte("ok"))
	} else {
		c.writeResponse(503, nil, "", []byte("not able to serve"))
	}
}

// isDraining reports whether clients should go elsewhere: the sidecar is shutting down, or an operator has drained it.
func (s *Server) isDraining() bool {
	return s.Draining.Err() != nil || s.isOperatorDrained()
}

// isOperatorDrained reports whether an operator has drained the sidecar.
func (s *Server) isOperatorDrained() bool {
	return s.OperatorDrained != nil && s.OperatorDrained.Load()
}

// statusRefused is the status of a request that may be retried, after the time that a Retry-After header names.
const statusRefused = 503

// answer writes the final response of a call.
func (c *client) answer(a Answer) {
	if c.isDraining() || c.makesRoom(a.Forwarded) {
		c.closing = true
	}
	if c.writeAnswer(&a) && a.Written != nil {
		a.Written()
	}
}

// writeAnswer reports whether the whole response was written.
func (c *client) writeAnswer(a *Answer) bool {
	switch a.Verdict {
	case Served:
		if a.Reply.Rest != nil {
			return c.relayReply(a.Reply, a.Header, a.Deadline)
		}
		return c.writeResponse(200, a.Reply.Header, a.Header, a.Reply.Body)
	case Refused:
		return c.writeResponse(503, nil, a.retryAfterHeader()+a.Header, nil)
	case Limited:
		return c.writeResponse(429, nil, a.retryAfterHeader()+a.Header, nil)
	case Ended:
		return c.writeResponse(410, nil, a.Header, nil)
	case Expired:
		return c.writeResponse(504, nil, a.Header, nil)
	}
	return c.writeResponse(502, nil, a.Header, nil)
}

// retryAfterHeader returns the Retry-After header line, or "" if the answer gives no advice.
func (a *Answer) retryAfterHeader() string {
	if a.Wait <= 0 {
		return ""
	}
	return "Retry-After: " + strconv.FormatFloat(a.Wait.Seconds(), 'f', -1, 64) + "\r\n"
}

var statusLines = map[int]string{
	200: "HTTP/1.1 200 OK\r\n", 400: "HTTP/1.1 400 Bad Request\r\n",
	408: "HTTP/1.1 408 Request Timeout\r\n", 409: "HTTP/1.1 409 Conflict\r\n", 410: "HTTP/1.1 410 Gone\r\n", 413: "HTTP/1.1 413 Content Too Large\r\n",
	429: "HTTP/1.1 429 Too Many Requests\r\n", 431: "HTTP/1.1 431 Request Header Fields Too Large\r\n", 502: "HTTP/1.1 502 Bad Gateway\r\n",
	503: "HTTP/1.1 503 Service Unavailable\r\n", 504: "HTTP/1.1 504 Gateway Timeout\r\n",
}

// writeResponse writes a response whose body is complete, and reports whether all of it was written.
func (c *client) writeResponse(status int, header []byte, extra string, body []byte) bool {
	tail := extra + "Content-Length: " + strconv.Itoa(len(body)) + "\r\n"
	if c.closing {
		tail += "Connection: close\r\n"
	}
	out := net.Buffers{[]byte(statusLines[status]), header, []byte(tail + "\r\n"), body}
	err := c.Send(out, writeTimeout)
	c.broken = c.broken || err != nil
	c.closing = c.closing || c.broken
	return err == nil
}

// relayReply forwards a reply whose body is still arriving, and reports whether all of it was written. If the worker breaks
// off, the client's connection is closed, so that the client can tell; if the client breaks off, the worker's is. A stalled
// worker is waited for until the client's deadline, or for relayStallTimeout if that ends later. A process that stops goes on
// for as long as both sides move.
func (c *client) relayReply(reply *Reply, extra string, end time.Time) bool {
	framing, chunked := "", false
	switch {
	case reply.Length >= 0:
		framing = "Content-Length: " + strconv.FormatInt(reply.Length, 10) + "\r\n"
	case bytes.Equal(c.head.startLine[2], []byte("HTTP/1.1")):
		framing, chunked = "Transfer-Encoding: chunked\r\n", true
	default:
		c.closing = true
	}
	if c.closing {
		framing += "Connection: close\r\n"
	}
	c.LimitUnsent()
	c.BeginResponse()
	defer c.EndResponse()
	out := net.Buffers{[]byte(statusLines[200]), reply.Header, []byte(extra + framing + "\r\n")}
	piece := reply.Body
	var grant memory.Grant
	defer grant.Release()
	buf := pieceBuffer(c.Memory, &grant, relayBufferSize)
	for {
		switch {
		case len(piece) > 0 && chunked:
			out = append(out, encodeChunk(piece)...)
		case len(piece) > 0:
			out = append(out, piece)
		}
		if chunked && reply.rest.done {
			out = append(out, []byte("0\r\n\r\n"))
		}
		if err := c.Send(out, relayWriteTimeout); err != nil || reply.rest.done {
			c.broken = c.broken || err != nil
			c.closing = c.closing || c.broken
			reply.Rest.Close(err == nil && reply.reuse)
			return err == nil
		}
		runtime.Gosched() // a response whose pieces are always there would keep the processor
		reply.Rest.ReadBy(transport.Latest(end, time.Now().Add(relayStallTimeout)))
		n, err := reply.rest.readTogether(buf)
		if err != nil && err != io.EOF {
			c.closing, c.broken = true, true
			reply.Rest.Close(false)
			if !chunked && reply.Length < 0 {
				c.Reset() // a regular close would look like the end of the body
			}
			return false
		}
		out, piece = out[:0], buf[:n]
	}
}
