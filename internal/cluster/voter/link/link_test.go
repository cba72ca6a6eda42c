package link

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/raft"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// newPair returns two layers of one cluster, the address of b, and counters of dials and refusals.
func newPair(t *testing.T) (a, b *Layer, to raft.ServerAddress, dials, refusals *atomic.Int32) {
	mux := http.NewServeMux()
	server := httptest.NewServer(mux)
	dials, refusals = &atomic.Int32{}, &atomic.Int32{}
	newLayer := func(name, identity string) *Layer {
		l := New(Config{Cluster: "c1", Name: name, Identity: identity,
			Address: func(name string) string { return map[string]string{"b": server.Listener.Addr().String()}[name] },
			Dial: func(ctx context.Context, network, addr string) (net.Conn, error) {
				dials.Add(1)
				return (&net.Dialer{}).DialContext(ctx, network, addr)
			},
			OnRefused: func(by, of, why string) { refusals.Add(1) }})
		t.Cleanup(func() { l.Close() })
		return l
	}
	a, b = newLayer("a", "id-a"), newLayer("b", "id-b")
	mux.Handle("GET "+Path, b)
	t.Cleanup(server.Close)
	return a, b, Address("b", "id-b"), dials, refusals
}

// serveEcho echoes all data on the incoming connections of a layer.
func serveEcho(l *Layer) {
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(c, c); c.Close() }()
		}
	}()
}

// checkEcho writes a text and expects it back.
func checkEcho(t *testing.T, c net.Conn, text string) {
	t.Helper()
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	got := make([]byte, len(text))
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadFull(c, got); err != nil || string(got) != text {
		t.Fatal(string(got), err)
	}
}

// TestDialRefusesWrongIdentity checks that a connection meant for another identity or cluster is refused, and that both sides
// report it.
func TestDialRefusesWrongIdentity(t *testing.T) {
	a, b, to, _, refusals := newPair(t)
	serveEcho(b)
	c, err := a.Dial(to, 10*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	checkEcho(t, c, "hello")
	for _, other := range []raft.ServerAddress{Address("b", "id-of-before"), Address("b", ""), Address("b", "id-a")} {
		before := refusals.Load()
		if _, err := a.Dial(other, 10*time.Second); err == nil || !strings.Contains(err.Error(), "421") || !strings.Contains(err.Error(), "identity") {
			t.Errorf("%s: %v", other, err)
		}
		if refusals.Load() != before+2 { // reported by both sides
			t.Errorf("%s: %d refusals", other, refusals.Load()-before)
		}
	}
	a.c.Cluster = "c2"
	if _, err := a.Dial(to, 10*time.Second); err == nil || !strings.Contains(err.Error(), "another cluster") {
		t.Error(err)
	}
	if _, err := a.Dial(Address("x", "id-b"), 10*time.Second); err == nil {
		t.Error("a voter that is not configured was dialled")
	}
	b.Close()
	if _, err := io.ReadAll(c); err != nil && !errors.Is(err, net.ErrClosed) && !strings.Contains(err.Error(), "reset") {
		t.Error(err)
	}
}

// TestIdleConnectionIsRedialled closes a connection on the other side while raft keeps it for its next call. The next write must
// dial again.
func TestIdleConnectionIsRedialled(t *testing.T) {
	a, b, to, dials, _ := newPair(t)
	serveEcho(b)
	c, err := a.Dial(to, 10*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	checkEcho(t, c, "one")
	out := c.(*outgoing)
	makeIdle := func() {
		out.mu.Lock()
		out.lastUsed = out.lastUsed.Add(-2 * idleCheckAfter)
		out.mu.Unlock()
	}
	makeIdle()
	checkEcho(t, c, "two")
	if n := dials.Load(); n != 1 {
		t.Fatalf("%d dials: an open connection was dialled again", n)
	}
	b.mu.Lock()
	var in []net.Conn
	for k := range b.conns {
		in = append(in, k)
	}
	b.mu.Unlock()
	for _, k := range in {
		k.Close()
	}
	one := make([]byte, 1)
	if _, err := out.conn.Read(one); err != io.EOF { // the close has arrived
		t.Fatal(err)
	}
	makeIdle()
	checkEcho(t, c, "three")
	if n := dials.Load(); n != 2 {
		t.Fatalf("%d dials", n)
	}
	c.Close()
	if _, err := c.Write(one); err == nil {
		t.Fatal("write on a closed connection succeeded")
	}
}

func TestIncomingConnectionLimit(t *testing.T) {
	a, b, to, _, _ := newPair(t)
	serveEcho(b)
	for i := range maxIncoming {
		if _, err := a.Dial(to, 10*time.Second); err != nil {
			t.Fatal(fmt.Errorf("connection %d: %w", i, err))
		}
	}
	if _, err := a.Dial(to, 10*time.Second); err == nil || !strings.Contains(err.Error(), "503") {
		t.Fatal(err)
	}
}
