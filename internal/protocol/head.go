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

// Bounds of what is read from a connection.
const (
	maxHead = 8 << 10  // bytes; at most the size of the connection's buffer
	MaxBody = 32 << 20 // bytes of a body or an answer
	maxHeld = 64 << 10 // bytes of one that is held whole
	maxLine = 256      // bytes of a chunk's size line or a trailer's line
)

// Errors of the parsers.
var (
	ErrMalformed  = errors.New("malformed message")
	ErrHeadTooBig = errors.New("head too large")
	ErrBodyTooBig = errors.New("body too large")
)

// IsMalformed tells whether an error lies in the bytes that came, not in the connection.
func IsMalformed(err error) bool {
	return errors.Is(err, ErrMalformed) || errors.Is(err, ErrHeadTooBig) || errors.Is(err, ErrBodyTooBig)
}

func malformed(what string) error { return fmt.Errorf("%w: %s", ErrMalformed, what) }

// field is one header line; both slices point into the head.
type field struct{ name, value, line []byte }

// head is a parsed HTTP/1.1 head. All slices point into raw.
type head struct {
	raw     []byte
	start   [3][]byte // the words of the start line: method, target, version, or version, status, reason
	fields  []field
	length  int64 // Content-Length, -1 where there is none
	chunked bool
	closing bool // the connection ends after this message
}

// readHead reads up to the empty line and copies the head into h.raw, so that it outlives the buffer.
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
			if n > maxHead {
				return ErrHeadTooBig
			}
			h.raw = append(h.raw[:0], b[:n]...)
			r.Discard(n)
			return nil
		}
		if seen = len(b); seen >= maxHead {
			return ErrHeadTooBig
		}
	}
}

// parse splits h.raw in place.
func (h *head) parse() error {
	h.fields, h.length, h.chunked, h.closing = h.fields[:0], -1, false, false
	line, rest, _ := bytes.Cut(h.raw, []byte("\r\n"))
	if !clean(line) {
		return malformed("start line")
	}
	var ok bool
	var tail []byte
	if h.start[0], tail, ok = bytes.Cut(line, []byte(" ")); !ok || len(h.start[0]) == 0 {
		return malformed("start line")
	}
	h.start[1], h.start[2], _ = bytes.Cut(tail, []byte(" "))
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
		if !token(f.name) || !clean(f.value) {
			return malformed("header line")
		}
		if err := h.framing(f); err != nil {
			return err
		}
		h.fields = append(h.fields, f)
	}
}

// framing takes note of what decides where the message ends. Two answers to that question would let a
// client and a worker disagree on where the next message starts, so they are rejected.
func (h *head) framing(f field) error {
	switch {
	case is(f.name, "Content-Length"):
		n, err := strconv.ParseUint(string(f.value), 10, 62)
		if err != nil || f.value[0] == '+' {
			return malformed("Content-Length")
		}
		if h.chunked || h.length >= 0 && h.length != int64(n) {
			return malformed("conflicting lengths")
		}
		h.length = int64(n)
	case is(f.name, "Transfer-Encoding"):
		if h.chunked || h.length >= 0 || !is(f.value, "chunked") {
			return malformed("Transfer-Encoding")
		}
		h.chunked = true
	case is(f.name, "Connection"):
		for word := range bytes.SplitSeq(f.value, []byte(",")) {
			h.closing = h.closing || is(bytes.TrimSpace(word), "close")
		}
	}
	return nil
}

// get returns the value of the first header of that name, nil where there is none.
func (h *head) get(name string) []byte {
	for i := range h.fields {
		if is(h.fields[i].name, name) {
			return h.fields[i].value
		}
	}
	return nil
}

// count tells how many headers have that name.
func (h *head) count(name string) (n int) {
	for i := range h.fields {
		if is(h.fields[i].name, name) {
			n++
		}
	}
	return n
}

// hopByHop headers belong to one connection and are written anew on the next.
var hopByHop = [...]string{"Connection", "Content-Length", "Transfer-Encoding", "Keep-Alive", "TE", "Trailer",
	"Upgrade", "Expect", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization"}

// passes tells whether a header goes on to the other side.
func (h *head) passes(f field) bool {
	for _, name := range hopByHop {
		if is(f.name, name) {
			return false
		}
	}
	for _, c := range h.fields {
		if is(c.name, "Connection") {
			for word := range bytes.SplitSeq(c.value, []byte(",")) {
				if bytes.EqualFold(bytes.TrimSpace(word), f.name) {
					return false
				}
			}
		}
	}
	return true
}

// framed reads a body of the framing that its head gives, piece by piece.
type framed struct {
	r       *bufio.Reader
	left    int64 // bytes to come, of the body or of the chunk at hand
	chunked bool
	toEnd   bool  // up to the connection's end
	inside  bool  // a chunk has begun whose end has not been read
	over    bool  // the body has been read to its end
	room    int64 // bytes that further chunks, or the rest up to the connection's end, may bring
}

// body is the framed body that follows a head, of at most most bytes where it comes without a length. Without one there is
// none, unless toEnd says that it goes up to the connection's end.
func (h *head) body(r *bufio.Reader, toEnd bool, most int64) framed {
	toEnd = toEnd && !h.chunked && h.length < 0
	return framed{r: r, left: max(h.length, 0), chunked: h.chunked, toEnd: toEnd, room: most,
		over: !h.chunked && !toEnd && h.length <= 0}
}

// Read reads a part of the body. It returns io.EOF after the end, with no bytes, and io.ErrUnexpectedEOF where the
// connection ends before it.
func (f *framed) Read(p []byte) (int, error) {
	switch {
	case f.over:
		return 0, io.EOF
	case len(p) == 0:
		return 0, nil
	case f.toEnd:
		n, err := f.r.Read(p)
		if f.room -= int64(n); f.room < 0 {
			return 0, ErrBodyTooBig
		}
		f.over = err == io.EOF
		return n, err
	case f.chunked && f.left == 0:
		if err := f.nextChunk(); err != nil {
			return 0, err
		}
	}
	n, err := f.r.Read(p[:min(int64(len(p)), f.left)])
	f.left -= int64(n)
	f.over = !f.chunked && f.left == 0
	return n, whole(err)
}

// nextChunk reads the end of the chunk before and the size of the next one, or the trailers and then returns io.EOF.
func (f *framed) nextChunk() error {
	if f.inside {
		if line, err := readLine(f.r); err != nil {
			return err
		} else if len(line) > 0 {
			return malformed("chunk end")
		}
		f.inside = false
	}
	line, err := readLine(f.r)
	if err != nil {
		return err
	}
	size, _, _ := bytes.Cut(line, []byte(";"))
	size = bytes.TrimRight(size, " \t")
	n, err := strconv.ParseUint(string(size), 16, 31)
	if err != nil || size[0] == '+' {
		return malformed("chunk size")
	}
	if int64(n) > f.room {
		return ErrBodyTooBig
	}
	if n > 0 {
		f.room -= int64(n)
		f.left, f.inside = int64(n), true
		return nil
	}
	for trailer := 0; trailer <= maxHead; { // trailers are read and dropped
		line, err := readLine(f.r)
		if err != nil {
			return err
		}
		if len(line) == 0 {
			f.over = true
			return io.EOF
		}
		trailer += len(line)
	}
	return ErrHeadTooBig
}

// upTo appends the body to dst until dst holds most bytes or the body is over.
func (f *framed) upTo(dst []byte, most int) ([]byte, error) {
	if !f.chunked && !f.toEnd {
		dst = slices.Grow(dst, int(min(f.left, int64(most-len(dst)))))
	}
	for !f.over && len(dst) < most {
		if len(dst) == cap(dst) {
			dst = slices.Grow(dst, 512)
		}
		n, err := f.Read(dst[len(dst):min(cap(dst), most)])
		dst = dst[:len(dst)+n]
		if err != nil && err != io.EOF {
			return dst, err
		}
	}
	return dst, nil
}

// readBody reads a whole body of at most most bytes into dst.
func readBody(r *bufio.Reader, h *head, dst []byte, most int) ([]byte, error) {
	if h.length > int64(most) {
		return dst, ErrBodyTooBig
	}
	body := h.body(r, false, int64(most))
	return body.upTo(dst, most+1)
}

// readLine reads a short line and drops its end; the slice is valid until the next read.
func readLine(r *bufio.Reader) ([]byte, error) {
	line, err := r.ReadSlice('\n')
	if err != nil && !errors.Is(err, bufio.ErrBufferFull) {
		return nil, whole(err)
	}
	if len(line) > maxLine || len(line) < 2 || line[len(line)-2] != '\r' {
		return nil, malformed("line")
	}
	return line[:len(line)-2], nil
}

// whole says that a message ended before it was whole.
func whole(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}

// is compares a word with a name, without regard to case.
func is(b []byte, name string) bool {
	if len(b) != len(name) {
		return false
	}
	for i := range b {
		if lower(b[i]) != lower(name[i]) {
			return false
		}
	}
	return true
}

func lower(c byte) byte {
	if 'A' <= c && c <= 'Z' {
		return c + 'a' - 'A'
	}
	return c
}

// clean tells that no control character but a tab hides in a line.
func clean(b []byte) bool {
	for _, c := range b {
		if c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}

// token tells whether b is a token as HTTP spells names.
func token(b []byte) bool {
	for _, c := range b {
		switch {
		case 'a' <= lower(c) && lower(c) <= 'z', '0' <= c && c <= '9':
		case bytes.IndexByte([]byte("!#$%&'*+-.^_`|~"), c) >= 0:
		default:
			return false
		}
	}
	return len(b) > 0
}
