package transport

import (
	"io"
	"net"
	"os"
	"strings"
	"testing"
	"time"
)

// descriptor returns a copy of the descriptor of what f's owner holds, as a parent leaves it open for its child.
func descriptor(t *testing.T, f interface{ File() (*os.File, error) }) int {
	t.Helper()
	file, err := f.File()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { file.Close() })
	return int(file.Fd())
}

// A socket that another holds is served through its copy, and goes on listening for its other holder when the copy
// is closed: the old process of an upgrade closes its own, the new one accepts from the same queue.
func TestInheritServesTheSameQueue(t *testing.T) {
	held, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer held.Close()
	old, err := System{}.Inherit(descriptor(t, held.(*net.TCPListener)))
	if err != nil {
		t.Fatal(err)
	}
	if old.Addr().String() != held.Addr().String() {
		t.Fatalf("inherited %s, held %s", old.Addr(), held.Addr())
	}
	l := Serve(old, 4, 1)
	done := make(chan struct{})
	go func() {
		defer close(done)
		l.Accept(func(c *Client) { c.Send(net.Buffers{[]byte("old\n")}, time.Second) }, nil)
	}()
	if got := greeting(t, held.Addr().String()); got != "old\n" {
		t.Fatalf("through the inherited socket: %q", got)
	}
	l.Close()
	<-done
	l.Wait()

	// The queue stays: a connection made after the copy is closed waits for the next holder.
	waiting, err := net.Dial("tcp", held.Addr().String())
	if err != nil {
		t.Fatalf("after the copy was closed: %v", err)
	}
	defer waiting.Close()
	next, err := System{}.Inherit(descriptor(t, held.(*net.TCPListener)))
	if err != nil {
		t.Fatal(err)
	}
	defer next.Close()
	c, err := next.Accept()
	if err != nil {
		t.Fatalf("the next holder: %v", err)
	}
	c.Close()
}

func greeting(t *testing.T, addr string) string {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	b, _ := io.ReadAll(c)
	return string(b)
}

// What is no listening TCP socket is refused with a reason, and nothing is taken over.
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
	connected := descriptor(t, conn.(*net.TCPConn)) // before the number of a closed one is taken, which it would reuse
	closed, err := os.Open(os.DevNull)
	if err != nil {
		t.Fatal(err)
	}
	gone := int(closed.Fd())
	closed.Close()
	for name, test := range map[string]struct {
		fd   int
		want string
	}{
		"negative":           {-1, "not a descriptor"},
		"closed":             {gone, "not a socket"},
		"a pipe":             {int(r.Fd()), "not a socket"},
		"a connected socket": {connected, "does not listen"},
	} {
		t.Run(name, func(t *testing.T) {
			l, err := System{}.Inherit(test.fd)
			if err == nil {
				l.Close()
				t.Fatal("taken over")
			}
			if !strings.Contains(err.Error(), test.want) {
				t.Fatalf("%v, want %q", err, test.want)
			}
		})
	}
}
