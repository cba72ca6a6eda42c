package protocol

import (
	"bytes"
	"io"
	"net"
	"strconv"
	"time"

	"burlpass/internal/memory"
)

// httpError is an error response that does not involve the handler.
type httpError struct {
	status int
	text   string
}

func (f *httpError) Error() string { return f.text }

// readCall reads one complete call. It returns nil for a health check.
func (c *client) readCall() (*Call, error) {
	c.closing = true // until the message has been read completely, nothing can follow it
	h := &c.head
	h.fields = h.fields[:0] // the previous request's fields must not be taken for this one's
	c.readStage = "head"
	if err := readHead(c.r, h, c.reserveHead); err != nil {
		return nil, err
	}
	if err := h.parse(c.reserveHead); err != nil {
		return nil, err
	}
	version := h.startLine[2]
	if !bytes.Equal(version, []byte("HTTP/1.1")) && !bytes.Equal(version, []byte("HTTP/1.0")) ||
		!isToken(h.startLine[0]) || len(h.startLine[1]) == 0 || bytes.IndexByte(version, ' ') >= 0 {
		return nil, malformed("request line")
	}
	if m := string(h.startLine[0]); m == "HEAD" || m == "CONNECT" { // responses to these methods are framed differently
		return nil, &httpError{400, "method not served"}
	}
	if h.length > MaxBody {
		return nil, ErrBodyTooBig
	}
	if !c.OverLimit && equalFold(h.get("Expect"), "100-continue") && (h.chunked || h.length > 0) && c.r.Buffered() == 0 {
		if err := c.Send(net.Buffers{[]byte("HTTP/1.1 100 Continue\r\n\r\n")}, writeTimeout); err != nil {
			return nil, err
		}
	}
	c.readStage = "body"
	if err := c.readWindow(); err != nil {
		return nil, err
	}
	c.closing = c.isLastCall() || c.upload != nil
	path, _, _ := bytes.Cut(h.startLine[1], []byte("?"))
	if string(path) == healthPath {
		return nil, nil
	}
	return c.newCall(path)
}

// isLastCall reports whether the client's connection ends after the current call.
func (c *client) isLastCall() bool {
	return c.head.closeAfter || c.head.startLine[2][7] == '0' || c.isDraining()
}

// readWindow reads a short body, or the beginning of a long one.
func (c *client) readWindow() error {
	body := c.head.body(c.r, false, MaxBody)
	c.upload, c.body = nil, c.body[:0]
	if body.done {
		return nil
	}
	if c.OverLimit && (body.chunked || body.remaining > int64(c.r.Buffered())) { // refused in any case
		c.upload = newUpload(body, c.Client, 0, 0, 0)
		return nil
	}
	limit := maxBufferedBody
	if c.head.length > maxBufferedBody {
		limit = bodyWindow
	}
	begun := time.Now()
	c.limitRead(bodyTimeout(int64(limit)))
	if body.chunked { // most are short
		if err := c.readBody(&body, memory.SmallBody); err != nil {
			return err
		}
	}
	if err := c.readBody(&body, limit); err != nil {
		return err
	}
	if !body.done && body.chunked && body.remaining == 0 { // the body may end exactly here
		if err := body.nextChunk(); err != nil && err != io.EOF {
			return err
		}
	}
	if !body.done {
		if body.chunked && c.r.Buffered() > 0 && c.r.Size() < chunksBuffer && c.growBuffer(chunksBuffer) { // so that many small chunks are read together
			body.r = c.r
		}
		c.upload = newUpload(body, c.Client, time.Since(begun), int64(len(c.body)), 0)
		c.upload.memory, c.upload.source = c.Memory, &c.source
		c.upload.presentAt = c.started.Add(-c.overload.delay())
	}
	return nil
}

// readBody reads a body until limit bytes of it are held or it ends.
func (c *client) readBody(body *bodyReader, limit int) (err error) {
	if body.done {
		return nil
	}
	if !body.chunked {
		limit = int(min(body.remaining, int64(limit)))
	}
	if err := c.reserveBody(limit - len(c.body)); err != nil {
		return err
	}
	c.body, err = body.readUpTo(c.body, limit)
	return err
}

// newCall builds the protocol-independent call from what has been read.
func (c *client) newCall(path []byte) (*Call, error) {
	for _, name := range []string{headerClass, headerTrace, headerExpires, headerIdempotencyKey} {
		if c.head.count(name) > 1 { // the sidecar and the worker could each use a different one
			return nil, &httpError{400, name + " more than once"}
		}
	}
	name, _, _ := bytes.Cut(bytes.TrimPrefix(path, []byte("/")), []byte("/"))
	if v := c.head.get(headerClass); v != nil && !bytes.Equal(v, name) {
		return nil, &httpError{400, "class and path differ"}
	}
	class := -1
	for i, k := range c.Classes {
		if string(name) == k {
			class = i
		}
	}
	if class < 0 {
		return nil, &httpError{400, "unknown class"}
	}
	if len(c.head.get(headerTrace)) == 0 {
		return nil, &httpError{400, "no " + headerTrace}
	}
	expires, ok := parseExpires(c.head.get(headerExpires))
	if !ok {
		return nil, &httpError{400, "missing or invalid " + headerExpires}
	}
	remaining := c.remainingTime(expires)
	call := &Call{ID: c.head.get(headerTrace), Class: class, Budget: remaining, Repeat: string(c.head.get(headerRetry)) == "1",
		Message: &request{head: &c.head, body: c.body, upload: c.upload}}
	if c.OriginConfig != nil {
		call.Origin = c.OriginConfig.extract(&c.head, path)
	}
	if u := c.upload; u != nil {
		u.expires = remaining
		call.Upload = u
	}
	return call, nil
}

// parseExpires parses a number followed by a unit: m for milliseconds, u for microseconds.
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
