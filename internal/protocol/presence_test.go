package protocol

import (
	"bufio"
	"io"
	"net"
	"strings"
	"testing"

	"burlpass/internal/transport"
)

// connected gives a client's connection and the other side of it.
func connected(t *testing.T) (*client, net.Conn) {
	t.Helper()
	l, err := transport.Listen(transport.System{}, "127.0.0.1:0", 4, 1)
	if err != nil {
		t.Fatal(err)
	}
	served, done := make(chan *transport.Client), make(chan struct{})
	go l.Accept(func(c *transport.Client) { served <- c; <-done }, nil)
	far, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { far.Close(); close(done); l.Close(); l.Wait() })
	c := &client{Client: <-served}
	c.in.conn = c.Client
	c.small = bufio.NewReaderSize(&c.in, maxHead)
	c.r = c.small
	return c, far
}

// The last look before an attempt's first byte sees an end that lies in the kernel, also where the goroutine that watches
// has not run since: here none does. What was sent ahead of the end changes nothing.
func TestLastLook(t *testing.T) {
	for name, ahead := range map[string]int{"nothing": 0, "a byte": 1, "a head": maxHead, "more than a head": maxHead + 1,
		"all that is held": maxAhead, "more than that": 3 * maxAhead} {
		for how, end := range map[string]func(*net.TCPConn){
			"closes":     func(far *net.TCPConn) { far.Close() },
			"resets":     func(far *net.TCPConn) { far.SetLinger(0); far.Close() },
			"ends write": func(far *net.TCPConn) { far.CloseWrite() },
		} {
			t.Run(how+" behind "+name, func(t *testing.T) {
				c, far := connected(t)
				p := c.presence()
				if !p.here() {
					t.Fatal("gone before it went")
				}
				if _, err := io.WriteString(far, strings.Repeat("x", ahead)); err != nil {
					t.Fatal(err)
				}
				for c.Pending() != transport.Bytes && ahead > 0 {
				}
				if ahead <= maxHead && !p.here() {
					t.Fatal("gone before it went")
				}
				end(far.(*net.TCPConn))
				for c.Pending() == transport.Nothing { // loopback delivers it at once
				}
				for c.Pending() == transport.Bytes && p.here() { // as the watching goroutine would
				}
				if p.here() {
					t.Error("it is held to be present")
				}
				select {
				case <-p.left:
				default:
					t.Error("nobody is told")
				}
			})
		}
	}
}
