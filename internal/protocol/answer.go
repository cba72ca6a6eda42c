package protocol

import (
	"bytes"
	"errors"
	"io"
	"net"
	"strconv"
	"time"

	"burlpass/internal/transport"
)

// Bounds of what is still read of a long message after its call's final answer.
const (
	absorbStep = time.Second
	absorbTime = 30 * time.Second
)

// absorb reads on what the client still sends of a message that has been answered before its end: closing would reset the
// connection, and the reset can overtake the answer.
func (c *client) absorb() {
	if c.CloseWrite() != nil {
		return
	}
	c.broken = true // its end is out already
	end := time.Now().Add(absorbTime)
	for n := 0; n < MaxBody && time.Now().Before(end) && c.Closing.Err() == nil; {
		c.Receive(transport.Stage{Until: time.Now().Add(absorbStep), AtRest: true})
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
		c.closing, c.broken = true, true
		return
	}
	if held, ok := c.rejected.due(time.Now()); ok {
		c.Log.Warn("call_rejected", "status", f.status, "reason", f.text, "stage", c.stage, "id", string(c.head.get(headerTrace)),
			"since_last_byte", time.Since(c.LastByte()).Round(time.Millisecond), "age", time.Since(c.Begun()).Round(time.Millisecond), "more", held)
	}
	c.closing = c.closing || c.Tight()
	c.write(f.status, nil, "", []byte(f.text+"\n"))
}

// Bounds of what is still read of a client after the end has been sent to it.
const (
	lingerTime  = 500 * time.Millisecond
	lingerShort = 50 * time.Millisecond // where the connection is one of the few spare ones
	lingerBytes = 256 << 10
)

// finish ends a connection in order: it ends the sending, so that the client sees an end behind all answers, then reads on
// for a while until the client has closed too. Closing over unread bytes would reset the connection, and the reset can
// overtake an answer. What is read here is dropped. Meanwhile the connection may be closed to make room for another.
func (c *client) finish() {
	if c.Closing.Err() != nil { // the process ends: who sends on a connection that is half open finds nobody to ask again
		return
	}
	if c.broken || !c.Enter(transport.Lingering) || c.CloseWrite() != nil {
		return
	}
	wait := lingerTime
	if c.Pressed() {
		wait = lingerShort
	}
	c.Receive(transport.Stage{Until: time.Now().Add(wait), AtRest: true})
	piece := make([]byte, dropPiece)
	for n := 0; n < lingerBytes; {
		m, err := c.Client.Read(piece)
		if n += m; err != nil {
			return
		}
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
func (s *Server) steering() bool { return s.Draining.Err() != nil || s.Held != nil && s.Held.Load() }

// answer writes a call's one final answer.
func (c *client) answer(a Answer) {
	if c.steering() || c.Tight() {
		c.closing = true
	}
	if c.send(&a) && a.Written != nil {
		a.Written()
	}
}

// send tells whether all of it was written.
func (c *client) send(a *Answer) bool {
	switch a.Verdict {
	case Served:
		if a.Reply.Rest != nil {
			return c.relay(a.Reply, a.Header, a.End)
		}
		return c.write(200, a.Reply.Header, a.Header, a.Reply.Body)
	case Refused:
		return c.write(503, nil, a.advice()+a.Header, nil)
	case Limited:
		return c.write(429, nil, a.advice()+a.Header, nil)
	case Ended:
		return c.write(410, nil, a.Header, nil)
	case Expired:
		return c.write(504, nil, a.Header, nil)
	}
	return c.write(502, nil, a.Header, nil)
}

// advice is the header line that says how long to stay away.
func (a *Answer) advice() string {
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

// write tells whether all of it was written.
func (c *client) write(status int, header []byte, extra string, body []byte) bool {
	tail := extra + "Content-Length: " + strconv.Itoa(len(body)) + "\r\n"
	if c.closing {
		tail += "Connection: close\r\n"
	}
	out := net.Buffers{[]byte(statusLines[status]), header, []byte(tail + "\r\n"), body}
	err := c.Send(out, writeTime)
	c.broken = c.broken || err != nil
	c.closing = c.closing || c.broken
	return err == nil
}

// relay passes an answer on whose rest is still to come. It ends the connection where the worker breaks off, so that the
// client can tell, and the worker's where the client does. A worker that has stopped is waited for up to the client's end, or for relayStall where that is later. It tells
// whether all of it was written.
func (c *client) relay(reply *Reply, extra string, end time.Time) bool {
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
	out := net.Buffers{[]byte(statusLines[200]), reply.Header, []byte(extra + framing + "\r\n")}
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
		if err := c.Send(out, relayTime); err != nil || reply.rest.over {
			c.broken = c.broken || err != nil
			c.closing = c.closing || c.broken
			reply.Rest.Close(err == nil && reply.reuse)
			return err == nil
		}
		reply.Rest.ReadBy(c.endBefore(transport.Latest(end, time.Now().Add(relayStall))))
		n, err := reply.rest.Read(buf)
		if err != nil && err != io.EOF {
			c.closing, c.broken = true, true
			reply.Rest.Close(false)
			if !chunked && reply.Length < 0 {
				c.Reset() // its end would else look like the answer's
			}
			return false
		}
		out, piece = out[:0], buf[:n]
	}
}

// endBefore is a time, or the connection's end where that is earlier.
func (c *client) endBefore(t time.Time) time.Time {
	if end := c.End(); !end.IsZero() && end.Before(t) {
		return end
	}
	return t
}
