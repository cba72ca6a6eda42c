package protocol

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"
)

// Limits on what is read from a connection.
const (
	maxHeadBytes    = 8 << 10
	MaxBody         = 32 << 20 // bytes of a request or response body
	maxBufferedBody = 64 << 10 // bytes of a body that is buffered whole
	maxLineBytes    = 256      // bytes of a chunk-size line or a trailer line

	minHeadBytes     = 256     // least capacity for a head
	initialHeadBytes = 1 << 10 // capacity for a head that every connection may keep
	initialFields    = 64      // likewise, of its table of header lines
	fieldBytes       = 6       // of an entry of that table

	// maxConnectionOptions limits the headers that a message names in Connection, each of which is compared with each header.
	maxConnectionOptions = 32
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

// field is one header line, as offsets into the raw head: hundreds of heads of very many short lines may be held at a time.
type field struct{ start, colon, end uint16 } // end is that of the value's line, without the line end

// head is a parsed HTTP/1.1 request or response head. All slices point into raw.
type head struct {
	raw        []byte
	startLine  [3][]byte // the parts of the start line: method, target, version, or version, status, reason
	fields     []field
	length     int64 // Content-Length, -1 if absent
	chunked    bool
	closeAfter bool    // the connection ends after this message
	options    []field // the Connection headers that name headers of this connection
}

// name returns a header's name.
func (h *head) name(f field) []byte { return h.raw[f.start:f.colon] }

// value returns a header's value.
func (h *head) value(f field) []byte { return bytes.Trim(h.raw[f.colon+1:f.end], " \t") }

// line returns a header's whole line.
func (h *head) line(f field) []byte { return h.raw[f.start : f.end+2] }

// ensureRoom grows h.raw so that n more bytes fit. reserve is asked for the memory beyond what a connection always has.
func (h *head) ensureRoom(n int, reserve func(bytes int) error) error {
	size := cap(h.raw)
	if len(h.raw)+n <= size {
		return nil
	}
	size = max(size, minHeadBytes)
	for size < len(h.raw)+n {
		size *= 2
	}
	if added := size - max(cap(h.raw), initialHeadBytes); reserve != nil && added > 0 {
		if err := reserve(added); err != nil {
			return err
		}
	}
	h.raw = append(make([]byte, 0, size), h.raw...)
	return nil
}

// shrink drops the buffers of an unusually large head.
func (h *head) shrink() {
	if cap(h.raw) > initialHeadBytes || cap(h.fields) > initialFields {
		*h = head{}
	}
}

var headEnd = []byte("\r\n\r\n")

// readHead reads up to the empty line and copies the head into h.raw, so that it outlives the read buffer. The memory for a
// long head is taken from reserve, which may be nil.
func readHead(r *bufio.Reader, h *head, reserve func(bytes int) error) error {
	h.raw = h.raw[:0]
	for {
		if _, err := r.Peek(1); err != nil {
			if err == io.EOF && len(h.raw) > 0 {
				err = io.ErrUnexpectedEOF
			}
			return err
		}
		b, _ := r.Peek(min(r.Buffered(), maxHeadBytes+1-len(h.raw)))
		read := len(h.raw)
		if err := h.ensureRoom(len(b), reserve); err != nil {
			return err
		}
		h.raw = append(h.raw, b...)
		from := max(read-len(headEnd)+1, 0)
		if i := bytes.Index(h.raw[from:], headEnd); i >= 0 {
			h.raw = h.raw[:from+i+len(headEnd)]
		}
		r.Discard(len(h.raw) - read)
		switch {
		case len(h.raw) > maxHeadBytes:
			return ErrHeadTooBig
		case bytes.HasSuffix(h.raw, headEnd):
			return nil
		case len(h.raw) == maxHeadBytes:
			return ErrHeadTooBig
		}
	}
}

// parse splits h.raw in place. The memory for very many fields is taken from reserve, which may be nil.
func (h *head) parse(reserve func(bytes int) error) error {
	h.fields, h.length, h.chunked, h.closeAfter, h.options = h.fields[:0], -1, false, false, h.options[:0]
	options := 0
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
	if lines := bytes.Count(rest, []byte("\n")) - 1; lines > cap(h.fields) {
		if reserve != nil && lines > initialFields {
			if err := reserve(lines * fieldBytes); err != nil {
				return err
			}
		}
		h.fields = make([]field, 0, lines)
	}
	for at := len(h.raw) - len(rest); ; {
		length := bytes.Index(h.raw[at:], []byte("\r\n"))
		if length < 0 {
			return malformed("head cut short")
		}
		if length == 0 {
			return nil
		}
		colon := bytes.IndexByte(h.raw[at:at+length], ':')
		if colon < 1 {
			return malformed("header line without a name")
		}
		f := field{uint16(at), uint16(at + colon), uint16(at + length)}
		if !isToken(h.name(f)) || !hasNoControlChars(h.value(f)) {
			return malformed("header line")
		}
		if err := h.parseFraming(f); err != nil {
			return err
		}
		if options += h.parseConnection(f); options > maxConnectionOptions {
			return malformed("too many connection options")
		}
		h.fields = append(h.fields, f)
		at += length + 2
	}
}

// parseFraming records the headers that determine where the message ends. Ambiguous framing is rejected: a client and a
// worker that disagree on where the next message starts would allow request smuggling.
func (h *head) parseFraming(f field) error {
	name := h.name(f)
	switch {
	case equalFold(name, "Content-Length"):
		value := h.value(f)
		n, err := strconv.ParseUint(string(value), 10, 62)
		if err != nil || value[0] == '+' {
			return malformed("Content-Length")
		}
		if h.chunked || h.length >= 0 && h.length != int64(n) {
			return malformed("conflicting lengths")
		}
		h.length = int64(n)
	case equalFold(name, "Transfer-Encoding"):
		if h.chunked || h.length >= 0 || !equalFold(h.value(f), "chunked") {
			return malformed("Transfer-Encoding")
		}
		h.chunked = true
	}
	return nil
}

// parseConnection records what a Connection header says and returns how many headers it names. Other headers name none.
func (h *head) parseConnection(f field) (options int) {
	if !equalFold(h.name(f), "Connection") {
		return 0
	}
	for word := range bytes.SplitSeq(h.value(f), []byte(",")) {
		word = bytes.TrimSpace(word)
		switch {
		case equalFold(word, "close"):
			h.closeAfter = true
		case !equalFold(word, "keep-alive"):
			options++
		}
	}
	if options > 0 {
		h.options = append(h.options, f)
	}
	return options
}

// get returns the value of the first header with that name, nil if there is none.
func (h *head) get(name string) []byte {
	for _, f := range h.fields {
		if equalFold(h.name(f), name) {
			return h.value(f)
		}
	}
	return nil
}

// count returns the number of headers with that name.
func (h *head) count(name string) (n int) {
	for _, f := range h.fields {
		if equalFold(h.name(f), name) {
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
	name := h.name(f)
	for _, hop := range hopByHop {
		if equalFold(name, hop) {
			return false
		}
	}
	return !h.isConnectionOption(name)
}

// isConnectionOption reports whether a Connection header names the header.
func (h *head) isConnectionOption(name []byte) bool {
	for _, f := range h.options {
		for word := range bytes.SplitSeq(h.value(f), []byte(",")) {
			if bytes.EqualFold(bytes.TrimSpace(word), name) {
				return true
			}
		}
	}
	return false
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
