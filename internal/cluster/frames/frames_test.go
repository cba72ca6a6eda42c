package frames

import (
	"bytes"
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"testing"
	"time"
)

// connPair returns both ends of a connection; corrupt may alter the bytes that the dialed end writes.
func connPair(t *testing.T, corrupt func([]byte)) (dialed, accepted net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	dialed, err = Dial(func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := (&net.Dialer{}).DialContext(ctx, network, addr)
		return &corruptingConn{c, corrupt}, err
	})(context.Background(), "tcp4", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	if accepted, err = Listen(l).Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { dialed.Close(); accepted.Close() })
	return dialed, accepted
}

// corruptingConn passes written data through corrupt.
type corruptingConn struct {
	net.Conn
	corrupt func([]byte)
}

func (s *corruptingConn) Write(b []byte) (int, error) {
	b = bytes.Clone(b)
	s.corrupt(b)
	return s.Conn.Write(b)
}

func TestBothDirectionsInOrder(t *testing.T) {
	a, b := connPair(t, func([]byte) {})
	r := rand.New(rand.NewPCG(1, 2))
	sent := make([]byte, 200_000)
	for i := range sent {
		sent[i] = byte(r.Uint32())
	}
	go func() {
		for rest := sent; len(rest) > 0; {
			n, err := a.Write(rest[:min(len(rest), 1+r.IntN(40_000))])
			if err != nil {
				return
			}
			rest = rest[n:]
		}
	}()
	echoed := make(chan []byte)
	go func() {
		got := make([]byte, len(sent))
		io.ReadFull(a, got)
		echoed <- got
	}()
	// A read that fails at its deadline must not lose data.
	b.SetReadDeadline(time.Now().Add(-time.Second))
	if _, err := b.Read(make([]byte, 1)); err == nil {
		t.Error("read succeeded after its deadline")
	}
	b.SetReadDeadline(time.Time{})
	got := make([]byte, len(sent))
	if _, err := io.ReadFull(b, got); err != nil || !bytes.Equal(got, sent) {
		t.Fatalf("%v; equal: %v", err, bytes.Equal(got, sent))
	}
	b.Write(got)
	if !bytes.Equal(<-echoed, sent) {
		t.Error("echoed data differs")
	}
}

// A flipped bit must never deliver altered data. If it hits the first byte, the connection counts as plain, but starts with a
// byte that no HTTP request begins with.
func TestEveryBitFlipIsDetected(t *testing.T) {
	const text = "GET /v1/read HTTP/1.1\r\n"
	for bit := range 8 * (len(preface) + headerBytes + len(text)) {
		a, b := connPair(t, func(b []byte) { b[bit/8] ^= 1 << (bit % 8) })
		if _, err := a.Write([]byte(text)); err != nil {
			t.Fatal(err)
		}
		a.Close() // an orderly close: the written data still arrives
		got, err := io.ReadAll(b)
		if bit < 8 {
			if len(got) < 2 || bytes.HasPrefix(got, []byte("G")) {
				t.Errorf("bit %d: %q, %v", bit, got, err)
			}
		} else if !errors.Is(err, ErrCorrupted) || len(got) > 0 {
			t.Errorf("bit %d: %q, %v", bit, got, err)
		}
		b.Close()
	}
}

func TestPlainConnection(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	plain, err := net.Dial("tcp4", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer plain.Close()
	c, err := Listen(l).Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	io.WriteString(plain, "GET")
	got := make([]byte, 3)
	if _, err := io.ReadFull(c, got); err != nil || string(got) != "GET" {
		t.Fatalf("%q %v", got, err)
	}
	io.WriteString(c, "200")
	if _, err := io.ReadFull(plain, got); err != nil || string(got) != "200" {
		t.Fatalf("%q %v", got, err)
	}
}
