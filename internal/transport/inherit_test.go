package transport

import (
	"io"
	"net"
	"os"
	"strings"
	"testing"
	"time"
)

// descriptor returns a duplicate of f's descriptor, as a parent process leaves it open for its child.
func descriptor(t *testing.T, f interface{ File() (*os.File, error) }) int {
	t.Helper()
	file, err := f.File()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { file.Close() })
	return int(file.Fd())
}

// During an upgrade the old process closes its duplicate of the listening socket while the new one accepts from the same
// queue. Closing one duplicate must not stop the other from listening.
func TestInheritSharesAcceptQueue(t *testing.T) {
	original, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer original.Close()
	inherited, err := System{}.Inherit(descriptor(t, original.(*net.TCPListener)))
	if err != nil {
		t.Fatal(err)
	}
	if inherited.Addr().String() != original.Addr().String() {
		t.Fatalf("inherited %s, want %s", inherited.Addr(), original.Addr())
	}
	l := NewListener(inherited, 4, 1)
	done := make(chan struct{})
	go func() {
		defer close(done)
		l.Accept(func(c *Client) { c.Send(net.Buffers{[]byte("served\n")}, time.Second) }, nil)
	}()
	if got := readAll(t, original.Addr().String()); got != "served\n" {
		t.Fatalf("read through the inherited socket: %q", got)
	}
	l.Close()
	<-done
	l.Wait()

	// The accept queue survives: a connection made after the close waits for the next process.
	waiting, err := net.Dial("tcp", original.Addr().String())
	if err != nil {
		t.Fatalf("dial after the duplicate was closed: %v", err)
	}
	defer waiting.Close()
	next, err := System{}.Inherit(descriptor(t, original.(*net.TCPListener)))
	if err != nil {
		t.Fatal(err)
	}
	defer next.Close()
	c, err := next.Accept()
	if err != nil {
		t.Fatalf("accept by the next process: %v", err)
	}
	c.Close()
}

func readAll(t *testing.T, addr string) string {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	b, _ := io.ReadAll(c)
	return string(b)
}

// Inherit rejects anything but a listening TCP socket, with the reason.
func TestInheritRefuses(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	conn, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	r, w, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	defer w.Close()
	connected := descriptor(t, conn.(*net.TCPConn)) // opened before closedFD is closed, whose number it would reuse
	closed, err := os.Open(os.DevNull)
	if err != nil {
		t.Fatal(err)
	}
	closedFD := int(closed.Fd())
	closed.Close()
	for name, test := range map[string]struct {
		fd   int
		want string
	}{
		"negative":           {-1, "not a descriptor"},
		"closed":             {closedFD, "not a socket"},
		"a pipe":             {int(r.Fd()), "not a socket"},
		"a connected socket": {connected, "does not listen"},
	} {
		t.Run(name, func(t *testing.T) {
			l, err := System{}.Inherit(test.fd)
			if err == nil {
				l.Close()
				t.Fatal("Inherit accepted it")
			}
			if !strings.Contains(err.Error(), test.want) {
				t.Fatalf("%v, want %q", err, test.want)
			}
		})
	}
}
