package protocol

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"slices"
	"strconv"
)

// bodyReader decodes a message body piece by piece, according to the framing given by its head.
type bodyReader struct {
	r          *bufio.Reader
	remaining  int64 // bytes left of the body or of the current chunk
	chunked    bool
	untilClose bool  // the body extends to the end of the connection
	inChunk    bool  // the line end that closes the current chunk has not been read yet
	done       bool  // the whole body has been read
	allowance  int64 // bytes that further chunks, or the rest of a body that extends to the connection's end, may contain
	failed     error // returned by the next Read; bytes before it have been returned
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
	case b.failed != nil:
		return 0, b.failed
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
		n, err := b.readTogether(dst[len(dst):min(cap(dst), limit)])
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

// discardUpTo reads and drops the body until limit bytes have been read or the body ends.
func (b *bodyReader) discardUpTo(limit int) error {
	buffer := discardBuffers.Get().(*[discardBufferSize]byte)
	defer discardBuffers.Put(buffer)
	for n := 0; !b.done && n < limit; {
		m, err := b.Read(buffer[:min(len(buffer), limit-n)])
		if n += m; err != nil && err != io.EOF {
			return err
		}
	}
	return nil
}
