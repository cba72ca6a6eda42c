package protocol

import (
	"bufio"
	"errors"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
)

// endlessReader returns a prefix and then the same text over and over.
type endlessReader struct {
	prefix   *strings.Reader
	repeated string
	offset   int
}

func (e *endlessReader) Read(p []byte) (int, error) {
	if e.prefix.Len() > 0 {
		return e.prefix.Read(p)
	}
	n := copy(p, e.repeated[e.offset:])
	e.offset = (e.offset + n) % len(e.repeated)
	return n, nil
}

// A reply that never ends must be detected after a bounded number of bytes, whichever part of it has no end, and also when
// its beginning has already been forwarded.
func TestUnboundedReplies(t *testing.T) {
	const chunked, closing = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"
	for name, test := range map[string]struct{ prefix, repeated string }{
		"status line":                {"HTTP/1.1 200 ", "x"},
		"head":                       {"HTTP/1.1 200 OK\r\n", "A: b\r\n"},
		"interim responses":          {"", "HTTP/1.1 103 Early Hints\r\n\r\n"},
		"chunk extension":            {chunked + "1;", "x"},
		"chunk size":                 {chunked, "0"},
		"trailers":                   {chunked + "1\r\na\r\n0\r\n", "T: x\r\n"},
		"chunks":                     {chunked, "1000\r\n" + strings.Repeat("a", 0x1000) + "\r\n"},
		"up to the connection's end": {closing, strings.Repeat("x", 0x1000)},
		"a length beyond the end":    {"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n", "x"},
		"an error's chunks":          {strings.Replace(chunked, "200", "500", 1), "1\r\na\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var reply Reply
			r := bufio.NewReaderSize(&endlessReader{prefix: strings.NewReader(test.prefix), repeated: test.repeated}, maxHeadBytes)
			reuse, err := readReply(r, nil, &reply)
			forwarded, buf := 0, make([]byte, relayBufferSize)
			for err == nil && !reply.rest.done {
				var n int
				n, err = reply.rest.Read(buf)
				forwarded += n
			}
			if reply.Kind == ReplyError && err == nil && !reuse {
				return // the body of an error is dropped and its connection closed
			}
			if !IsMalformed(err) || forwarded > MaxBody {
				t.Errorf("%v after %d bytes, reuse %v", err, forwarded, reuse)
			}
		})
	}
}

// Chunks of a single byte count towards the body limit like any others.
func TestUnboundedTinyChunks(t *testing.T) {
	const most = 1000
	r := bufio.NewReader(&endlessReader{prefix: strings.NewReader(""), repeated: "1\r\na\r\n"})
	body := (&head{chunked: true}).body(r, true, most)
	if b, err := body.readUpTo(nil, maxBufferedBody); err != ErrBodyTooBig || len(b) != most {
		t.Errorf("%v after %d bytes", err, len(b))
	}
}

// A reply without a length that is cut off by a connection reset is incomplete and must never be served.
func TestResetIsNotEndOfBody(t *testing.T) {
	for name, length := range map[string]int{"short": 10, "relayed": 3 * maxBufferedBody} {
		t.Run(name, func(t *testing.T) {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer ln.Close()
			backend := make(chan net.Conn, 1)
			go func() {
				c, _ := ln.Accept()
				backend <- c
			}()
			c, err := net.Dial("tcp", ln.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			peer := <-backend
			text := "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + strings.Repeat("x", length)
			sent := make(chan struct{})
			go func() {
				io.WriteString(peer, text)
				close(sent)
			}()
			var reply Reply
			r := bufio.NewReaderSize(&resettingConn{c, len(text), func() {
				<-sent
				peer.(*net.TCPConn).SetLinger(0)
				peer.Close()
			}}, maxHeadBytes)
			_, err = readReply(r, nil, &reply)
			for buf := make([]byte, relayBufferSize); err == nil && !reply.rest.done; {
				_, err = reply.rest.Read(buf)
			}
			if !errors.Is(err, syscall.ECONNRESET) {
				t.Errorf("got %v", err)
			}
		})
	}
}

// resettingConn calls reset once everything that the other side has sent has been read.
type resettingConn struct {
	net.Conn
	remaining int
	reset     func()
}

func (c *resettingConn) Read(p []byte) (int, error) {
	if c.remaining == 0 {
		c.reset()
		c.remaining = -1
	}
	n, err := c.Conn.Read(p)
	if c.remaining > 0 {
		c.remaining -= n
	}
	return n, err
}
