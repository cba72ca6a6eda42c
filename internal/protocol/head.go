package protocol

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"slices"
	"strconv"
)

// Limits on what is read from a connection.
const (
	maxHeadBytes    = 8 << 10  // at most the size of the connection's buffer
	MaxBody         = 32 << 20 // bytes of a request or response body
	maxBufferedBody = 64 << 10 // bytes of a body that is buffered whole
	maxLineBytes    = 256      // bytes of a chunk-size line or a trailer line
)

// Parse errors.
var (
	ErrMalformed  = errors.New("malformed message")
	ErrHeadTooBig = errors.New("head too large")
	ErrBodyTooBig = errors.New("body too large")
)

// IsMalformed reports whether an error was caused by the received bytes rather than by the connection.
func IsMalformed(err error) bool {
	return errors.Is(err, ErrMalformed) || errors.Is(err, ErrHeadTooBig) || errors.Is(err, ErrBodyTooBig)
}

func malformed(what string) error { return fmt.Errorf("%w: %s", ErrMalformed, what) }

// field is one header line. Its slices point into the head.
type field struct{ name, value, line []byte }

// head is a parsed HTTP/1.1 request or response head. All slices point into raw.
type head struct {
	raw        []byte
	startLine  [3][]byte // the parts of the start line: method, target, version, or version, status, reason
	fields     []field
	length     int64 // Content-Length, -1 if absent
	chunked    bool
	closeAfter bool // the connection ends after this message
}

// readHead reads up to the empty line and copies the head into h.raw, so that it outlives the read buffer.
func readHead(r *bufio.Reader, h *head) error {
	seen := 0
	for {
		if _, err := r.Peek(seen + 1); err != nil {
			if errors.Is(err, bufio.ErrBufferFull) {
				return ErrHeadTooBig
			}
			if err == io.EOF && seen > 0 {
				err = io.ErrUnexpectedEOF
			}
			return err
		}
		b, _ := r.Peek(r.Buffered())
		if i := bytes.Index(b[max(seen-3, 0):], []byte("\r\n\r\n")); i >= 0 {
			n := max(seen-3, 0) + i + 4
			if n > maxHeadBytes {
				return ErrHeadTooBig
			}
			h.raw = append(h.raw[:0], b[:n]...)
			r.Discard(n)
			return nil
		}
		if seen = len(b); seen >= maxHeadBytes {
			return ErrHeadTooBig
		}
	}
}

// parse splits h.raw in place.
func (h *head) parse() error {
	h.fields, h.length, h.chunked, h.closeAfter = h.fields[:0], -1, false, false
	line, rest, _ := bytes.Cut(h.raw, []byte("\r\n"))
	if !hasNoControlChars(line) {
		return malformed("start line")
	}
	var ok bool
	var tail []byte
	if h.startLine[0], tail, ok = bytes.Cut(line, []byte(" ")); !ok || len(h.startLine[0]) == 0 {
		return malformed("start line")
	}
	h.startLine[1], h.startLine[2], _ = bytes.Cut(tail, []byte(" "))
	for {
		end := bytes.Index(rest, []byte("\r\n"))
		if end < 0 {
			return malformed("head cut short")
		}
		if end == 0 {
			return nil
		}
		f := field{line: rest[:end+2]}
		rest = rest[end+2:]
		colon := bytes.IndexByte(f.line, ':')
		if colon < 1 {
			return malformed("header line without a name")
		}
		f.name, f.value = f.line[:colon], bytes.Trim(f.line[colon+1:len(f.line)-2], " \t")
		if !isToken(f.name) || !hasNoControlChars(f.value) {
			return malformed("header line")
		}
		if err := h.parseFraming(f); err != nil {
			return err
		}
		h.fields = append(h.fields, f)
	}
}

// parseFraming records the headers that determine where the message ends. Ambiguous framing is rejected: a client and a
// worker that disagree on where the next message starts would allow request smuggling.
func (h *head) parseFraming(f field) error {
	switch {
	case equalFold(f.name, "Content-Length"):
		n, err := strconv.ParseUint(string(f.value), 10, 62)
		if err != nil || f.value[0] == '+' {
			return malformed("Content-Length")
		}
		if h.chunked || h.length >= 0 && h.length != int64(n) {
			return malformed("conflicting lengths")
		}
		h.length = int64(n)
	case equalFold(f.name, "Transfer-Encoding"):
		if h.chunked || h.length >= 0 || !equalFold(f.value, "chunked") {
			return malformed("Transfer-Encoding")
		}
		h.chunked = true
	case equalFold(f.name, "Connection"):
		for word := range bytes.SplitSeq(f.value, []byte(",")) {
			h.closeAfter = h.closeAfter || equalFold(bytes.TrimSpace(word), "close")
		}
	}
	return nil
}

// get returns the value of the first header with that name, nil if there is none.
func (h *head) get(name string) []byte {
	for i := range h.fields {
		if equalFold(h.fields[i].name, name) {
			return h.fields[i].value
		}
	}
	return nil
}

// count returns the number of headers with that name.
func (h *head) count(name string) (n int) {
	for i := range h.fields {
		if equalFold(h.fields[i].name, name) {
			n++
		}
	}
	return n
}

// hopByHop lists the headers that apply to a single connection and are not forwarded.
var hopByHop = [...]string{"Connection", "Content-Length", "Transfer-Encoding", "Keep-Alive", "TE", "Trailer",
	"Upgrade", "Expect", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization"}

// isEndToEnd reports whether a header is forwarded to the other side.
func (h *head) isEndToEnd(f field) bool {
	for _, name := range hopByHop {
		if equalFold(f.name, name) {
			return false
		}
	}
	for _, c := range h.fields {
		if equalFold(c.name, "Connection") {
			for word := range bytes.SplitSeq(c.value, []byte(",")) {
				if bytes.EqualFold(bytes.TrimSpace(word), f.name) {
					return false
				}
			}
		}
	}
	return true
}

// bodyReader decodes a message body piece by piece, according to the framing given by its head.
type bodyReader struct {
	r          *bufio.Reader
	remaining  int64 // bytes left of the body or of the current chunk
	chunked    bool
	untilClose bool  // the body extends to the end of the connection
	inChunk    bool  // the line end that closes the current chunk has not been read yet
	done       bool  // the whole body has been read
	allowance  int64 // bytes that further chunks, or the rest of a body that extends to the connection's end, may contain
}

// body returns a reader for the body that follows a head. A body of unknown length is limited to limit bytes. A
// message with neither a length nor chunks has no body, unless untilClose says that it extends to the end of the connection.
func (h *head) body(r *bufio.Reader, untilClose bool, limit int64) bodyReader {
	untilClose = untilClose && !h.chunked && h.length < 0
	return bodyReader{r: r, remaining: max(h.length, 0), chunked: h.chunked, untilClose: untilClose, allowance: limit,
		done: !h.chunked && !untilClose && h.length <= 0}
}

// Read implements io.Reader. It returns io.EOF, with no bytes, after the end of the body, and io.ErrUnexpectedEOF if the
// connection ends earlier.
func (b *bodyReader) Read(p []byte) (int, error) {
	switch {
	case b.done:
		return 0, io.EOF
	case len(p) == 0:
		return 0, nil
	case b.untilClose:
		n, err := b.r.Read(p)
		if b.allowance -= int64(n); b.allowance < 0 {
			return 0, ErrBodyTooBig
		}
		b.done = err == io.EOF
		return n, err
	case b.chunked && b.remaining == 0:
		if err := b.nextChunk(); err != nil {
			return 0, err
		}
	}
	n, err := b.r.Read(p[:min(int64(len(p)), b.remaining)])
	b.remaining -= int64(n)
	b.done = !b.chunked && b.remaining == 0
	return n, unexpectedEOF(err)
}

// nextChunk reads the line end of the previous chunk and the size of the next one. After the last chunk it reads the
// trailers and returns io.EOF.
func (b *bodyReader) nextChunk() error {
	if b.inChunk {
		if line, err := readLine(b.r); err != nil {
			return err
		} else if len(line) > 0 {
			return malformed("chunk end")
		}
		b.inChunk = false
	}
	line, err := readLine(b.r)
	if err != nil {
		return err
	}
	size, _, _ := bytes.Cut(line, []byte(";"))
	size = bytes.TrimRight(size, " \t")
	n, err := strconv.ParseUint(string(size), 16, 31)
	if err != nil || size[0] == '+' {
		return malformed("chunk size")
	}
	if int64(n) > b.allowance {
		return ErrBodyTooBig
	}
	if n > 0 {
		b.allowance -= int64(n)
		b.remaining, b.inChunk = int64(n), true
		return nil
	}
	for trailer := 0; trailer <= maxHeadBytes; { // trailers are read and discarded
		line, err := readLine(b.r)
		if err != nil {
			return err
		}
		if len(line) == 0 {
			b.done = true
			return io.EOF
		}
		trailer += len(line)
	}
	return ErrHeadTooBig
}

// readUpTo appends the body to dst until dst holds limit bytes or the body ends.
func (b *bodyReader) readUpTo(dst []byte, limit int) ([]byte, error) {
	if !b.chunked && !b.untilClose {
		dst = slices.Grow(dst, int(min(b.remaining, int64(limit-len(dst)))))
	}
	for !b.done && len(dst) < limit {
		if len(dst) == cap(dst) {
			dst = slices.Grow(dst, 512)
		}
		n, err := b.Read(dst[len(dst):min(cap(dst), limit)])
		dst = dst[:len(dst)+n]
		if err != nil && err != io.EOF {
			return dst, err
		}
	}
	return dst, nil
}

// readBody appends a complete body to dst, and returns ErrBodyTooBig if that is longer than limit bytes.
func readBody(r *bufio.Reader, h *head, dst []byte, limit int) ([]byte, error) {
	if h.length > int64(limit) {
		return dst, ErrBodyTooBig
	}
	body := h.body(r, false, int64(limit))
	return body.readUpTo(dst, limit+1)
}

// readLine reads a short line and strips its line end. The slice is valid until the next read.
func readLine(r *bufio.Reader) ([]byte, error) {
	line, err := r.ReadSlice('\n')
	if err != nil && !errors.Is(err, bufio.ErrBufferFull) {
		return nil, unexpectedEOF(err)
	}
	if len(line) > maxLineBytes || len(line) < 2 || line[len(line)-2] != '\r' {
		return nil, malformed("line")
	}
	return line[:len(line)-2], nil
}

// unexpectedEOF converts io.EOF to io.ErrUnexpectedEOF, for messages that end too early.
func unexpectedEOF(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}

// equalFold compares b with an ASCII name, ignoring case.
func equalFold(b []byte, name string) bool {
	if len(b) != len(name) {
		return false
	}
	for i := range b {
		if toLowerASCII(b[i]) != toLowerASCII(name[i]) {
			return false
		}
	}
	return true
}

func toLowerASCII(c byte) byte {
	if 'A' <= c && c <= 'Z' {
		return c + 'a' - 'A'
	}
	return c
}

// hasNoControlChars reports whether a line contains no control characters except tabs.
func hasNoControlChars(b []byte) bool {
	for _, c := range b {
		if c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}

// isToken reports whether b is a token as defined by HTTP.
func isToken(b []byte) bool {
	for _, c := range b {
		switch {
		case 'a' <= toLowerASCII(c) && toLowerASCII(c) <= 'z', '0' <= c && c <= '9':
		case bytes.IndexByte([]byte("!#$%&'*+-.^_`|~"), c) >= 0:
		default:
			return false
		}
	}
	return len(b) > 0
}
