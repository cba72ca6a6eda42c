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

// endless gives a text and then another one again and again.
type endless struct {
	begin *strings.Reader
	again string
	at    int
}

func (e *endless) Read(p []byte) (int, error) {
	if e.begin.Len() > 0 {
		return e.begin.Read(p)
	}
	n := copy(p, e.again[e.at:])
	e.at = (e.at + n) % len(e.again)
	return n, nil
}

// An answer that never ends is found out after a bounded number of bytes, of whatever part it is that has no end, also
// where its beginning has been passed on already.
func TestEndlessAnswers(t *testing.T) {
	const chunked, closing = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"
	for name, test := range map[string]struct{ begin, again string }{
		"status line":             {"HTTP/1.1 200 ", "x"},
		"head":                    {"HTTP/1.1 200 OK\r\n", "A: b\r\n"},
		"interim responses":       {"", "HTTP/1.1 103 Early Hints\r\n\r\n"},
		"chunk extension":         {chunked + "1;", "x"},
		"chunk size":              {chunked, "0"},
		"trailers":                {chunked + "1\r\na\r\n0\r\n", "T: x\r\n"},
		"chunks":                  {chunked, "1000\r\n" + strings.Repeat("a", 0x1000) + "\r\n"},
		"up to the end":           {closing, strings.Repeat("x", 0x1000)},
		"a length beyond the end": {"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n", "x"},
		"an error's chunks":       {strings.Replace(chunked, "200", "500", 1), "1\r\na\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var reply Reply
			r := bufio.NewReaderSize(&endless{begin: strings.NewReader(test.begin), again: test.again}, maxHead)
			reuse, err := readReply(r, nil, &reply)
			passed, buf := 0, make([]byte, relaySize)
			for err == nil && !reply.rest.over {
				var n int
				n, err = reply.rest.Read(buf)
				passed += n
			}
			if reply.Kind == ReplyError && err == nil && !reuse {
				return // an error's body is nobody's; its connection ends
			}
			if !IsMalformed(err) || passed > MaxBody {
				t.Errorf("%v after %d bytes, reuse %v", err, passed, reuse)
			}
		})
	}
}

// Pieces of a byte count like any others.
func TestEndlessPieces(t *testing.T) {
	const most = 1000
	r := bufio.NewReader(&endless{begin: strings.NewReader(""), again: "1\r\na\r\n"})
	body := (&head{chunked: true}).body(r, true, most)
	if b, err := body.upTo(nil, maxHeld); err != ErrBodyTooBig || len(b) != most {
		t.Errorf("%v after %d bytes", err, len(b))
	}
}

// A reset is no end: an answer without a length that is broken off by one is not whole, and is never served.
func TestResetIsNoEnd(t *testing.T) {
	for name, length := range map[string]int{"short": 10, "passed on": 3 * maxHeld} {
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
			r := bufio.NewReaderSize(&resetAfter{c, len(text), func() {
				<-sent
				peer.(*net.TCPConn).SetLinger(0)
				peer.Close()
			}}, maxHead)
			_, err = readReply(r, nil, &reply)
			for buf := make([]byte, relaySize); err == nil && !reply.rest.over; {
				_, err = reply.rest.Read(buf)
			}
			if !errors.Is(err, syscall.ECONNRESET) {
				t.Errorf("got %v", err)
			}
		})
	}
}

// resetAfter calls reset once all that the other side has sent has been read.
type resetAfter struct {
	net.Conn
	left  int
	reset func()
}

func (c *resetAfter) Read(p []byte) (int, error) {
	if c.left == 0 {
		c.reset()
		c.left = -1
	}
	n, err := c.Conn.Read(p)
	if c.left > 0 {
		c.left -= n
	}
	return n, err
}
