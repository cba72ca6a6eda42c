package protocol

import (
	"bytes"
	"io"
)

// readTogether is Read, but returns small chunks that have come together at once. It does not wait for more than Read does.
func (b *bodyReader) readTogether(p []byte) (int, error) {
	n, err := b.Read(p)
	for err == nil && n < len(p) && b.hasNextBuffered() {
		more := b.takeWholeChunks(p[n:])
		if more == 0 {
			more, err = b.Read(p[n:])
		}
		n += more
	}
	if n > 0 && err != nil && err != io.EOF {
		b.failed, err = err, nil
	}
	return n, err
}

// hasNextBuffered reports whether Read would return more of a chunked body without waiting.
func (b *bodyReader) hasNextBuffered() bool {
	if !b.chunked || b.done {
		return false
	}
	buffered, _ := b.r.Peek(b.r.Buffered())
	if b.remaining > 0 {
		return len(buffered) > 0
	}
	if b.inChunk {
		buffered = buffered[min(len(buffered), len("\r\n")):]
	}
	line, rest, found := bytes.Cut(buffered, []byte("\n"))
	if !found || len(rest) == 0 {
		return false
	}
	return !bytes.HasPrefix(line, []byte("0")) || bytes.HasPrefix(rest, []byte("\r\n")) // the last chunk has trailers
}

// takeWholeChunks moves chunks that are buffered completely to p, as many as fit, and returns the number of bytes. It leaves whatever is not a
// plain chunk to Read.
func (b *bodyReader) takeWholeChunks(p []byte) (n int) {
	if b.remaining > 0 {
		return 0
	}
	buffered, _ := b.r.Peek(b.r.Buffered())
	used := 0
	for {
		size, head := parseChunkHead(buffered[used:], b.inChunk)
		if size == 0 || int64(size) > b.allowance || size > len(p)-n || head+size > len(buffered)-used {
			break
		}
		n += copy(p[n:], buffered[used+head:used+head+size])
		used += head + size
		b.allowance -= int64(size)
		b.inChunk = true
	}
	b.r.Discard(used)
	return n
}

// maxPlainDigits is the number of hexadecimal digits in the size of a plain chunk; any buffer is smaller.
const maxPlainDigits = 6

// parseChunkHead parses the line end of the previous chunk, if it is still to come, and a size without extensions. It returns the chunk's size
// and the length of what comes before its data; a size of 0 for anything else.
func parseChunkHead(text []byte, afterChunk bool) (size, head int) {
	if afterChunk {
		if len(text) < 2 || text[0] != '\r' || text[1] != '\n' {
			return 0, 0
		}
		head = 2
	}
	for digits := 0; head < len(text) && digits <= maxPlainDigits; digits++ {
		switch c := text[head]; {
		case '0' <= c && c <= '9':
			size = size<<4 | int(c-'0')
		case 'a' <= c|0x20 && c|0x20 <= 'f':
			size = size<<4 | int(c|0x20-'a'+10)
		case c == '\r' && digits > 0 && head+1 < len(text) && text[head+1] == '\n':
			return size, head + 2
		default:
			return 0, 0
		}
		head++
	}
	return 0, 0
}
