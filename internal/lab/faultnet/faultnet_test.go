package faultnet

import (
	"context"
	"errors"
	"io"
	"net"
	"slices"
	"syscall"
	"testing"

	"burlpass/internal/transport"
)

// A seed's bursts are always the same ones, do not overlap, and over some seeds are of every kind.
func TestDraw(t *testing.T) {
	seen := map[Kind]int{}
	for seed := range uint64(50) {
		bursts := Draw(seed)
		if !slices.Equal(bursts, Draw(seed)) {
			t.Fatalf("seed %d gives two schedules", seed)
		}
		end := bursts[0].From
		for _, b := range bursts {
			if b.From < end || b.To-b.From < shortest || b.To-b.From > longest || b.Share < leastFailing || b.Share > 1 {
				t.Errorf("seed %d: %+v", seed, b)
			}
			end = b.To + leastRest
			seen[b.Kind]++
			if at(bursts, b.Kind, b.From) != b.Share || at(bursts, b.Kind, b.To) != 0 {
				t.Errorf("seed %d: %+v is not in force in its time alone", seed, b)
			}
		}
	}
	for _, k := range Kinds() {
		if seen[k] == 0 {
			t.Errorf("%v never arose", k)
		}
	}
}

// once makes the next call of a kind fail, and no other.
func once(kind Kind) *Network {
	failed := false
	return newNetwork(func(k Kind) bool {
		fails := k == kind && !failed
		failed = failed || fails
		return fails
	})
}

// pair connects through a network: near is the network's own end, far the other side's.
func pair(t *testing.T, n *Network) (near transport.Socket, far net.Conn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	near, err = n.Dial(context.Background(), ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	far, err = ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { near.Close(); far.Close() })
	return near, far
}

// A failed accept takes no connection: the next call gives it.
func TestAcceptFails(t *testing.T) {
	n := once(Accept)
	ln, err := n.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	c, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if _, err := ln.Accept(); !errors.As(err, new(syscall.Errno)) || errors.Is(err, net.ErrClosed) {
		t.Errorf("the first call: %v", err)
	}
	accepted, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer accepted.Close()
	if _, ok := accepted.(transport.Socket); !ok || n.Counts() != "accept=1 dial=0 read=0 write=0 short_read=0" {
		t.Errorf("a %T, and %s", accepted, n.Counts())
	}
}

// A failed connect sends nothing.
func TestDialFails(t *testing.T) {
	n := once(Dial)
	if _, err := n.Dial(context.Background(), "127.0.0.1:1"); !errors.As(err, new(*net.OpError)) {
		t.Errorf("%v", err)
	}
	near, far := pair(t, n)
	if _, err := io.WriteString(near, "all"); err != nil {
		t.Fatal(err)
	}
	near.Close()
	if text, err := io.ReadAll(far); err != nil || string(text) != "all" {
		t.Errorf("%q, %v", text, err)
	}
}

// A failed read breaks the connection for both sides.
func TestReadFails(t *testing.T) {
	near, far := pair(t, once(Read))
	if _, err := io.WriteString(far, "an answer"); err != nil {
		t.Fatal(err)
	}
	if n, err := near.Read(make([]byte, 64)); n != 0 || !errors.As(err, new(syscall.Errno)) {
		t.Errorf("%d, %v", n, err)
	}
	if _, err := near.Read(make([]byte, 64)); err == nil {
		t.Error("it can be read again")
	}
	if _, err := far.Read(make([]byte, 64)); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("the other side: %v", err)
	}
}

// What discovery answers is not lost, wherever it listens on its port.
func TestReadsFromDiscovery(t *testing.T) {
	n := Always(Read, 1)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	n.discovery = port(ln.Addr().String())
	near, err := n.Dial(context.Background(), ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer near.Close()
	far, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	io.WriteString(far, "a list")
	far.Close()
	if text, err := io.ReadAll(near); err != nil || string(text) != "a list" {
		t.Errorf("%q, %v", text, err)
	}
	if port("nowhere") != "" {
		t.Error("an address without a port has one")
	}
}

// A failed write has sent a part, never all of it, and breaks the connection.
func TestWriteFails(t *testing.T) {
	const text = "a request"
	near, far := pair(t, once(Write))
	n, err := io.WriteString(near, text)
	if n >= len(text) || !errors.As(err, new(syscall.Errno)) {
		t.Errorf("%d of %d, %v", n, len(text), err)
	}
	if got, err := io.ReadAll(far); !errors.Is(err, syscall.ECONNRESET) || len(got) > n {
		t.Errorf("the other side: %q, %v", got, err)
	}
}

// A short read takes nothing away.
func TestShortReads(t *testing.T) {
	const text = "an answer of more than sixteen bytes"
	near, far := pair(t, Always(ShortRead, 1))
	if _, err := io.WriteString(far, text); err != nil {
		t.Fatal(err)
	}
	far.Close()
	got := ""
	for b := make([]byte, 64); ; {
		n, err := near.Read(b)
		if n > shortRead {
			t.Errorf("a read of %d", n)
		}
		if got += string(b[:n]); err != nil {
			break
		}
	}
	if got != text {
		t.Errorf("%q", got)
	}
}
