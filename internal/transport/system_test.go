package transport

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// Dial errors caused by this machine are distinguished from those caused by the peer.
func TestDialError(t *testing.T) {
	for errno, local := range map[syscall.Errno]bool{
		syscall.EADDRNOTAVAIL: true, syscall.ENOBUFS: true, syscall.EMFILE: true, syscall.ENFILE: true, syscall.ENETUNREACH: true,
		syscall.ECONNREFUSED: false, syscall.ETIMEDOUT: false, syscall.EHOSTUNREACH: false, syscall.ECONNRESET: false,
	} {
		err := DialError(&net.OpError{Op: "dial", Err: os.NewSyscallError("connect", errno)})
		if errors.Is(err, ErrLocal) != local || !errors.Is(err, errno) {
			t.Errorf("%v: %v", errno, err)
		}
	}
	if _, err := (System{}).Dial(context.Background(), "127.0.0.1:1"); err == nil || errors.Is(err, ErrLocal) {
		t.Errorf("a refused connection: %v", err)
	}
}

// flakyListener is a listener whose Accept first fails with each of the transient errors and then works.
type flakyListener struct {
	net.Listener
	remaining atomic.Int64
}

// transientErrors are the temporary errors of accept (accept(2)).
var transientErrors = []syscall.Errno{syscall.ECONNABORTED, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM,
	syscall.EPROTO, syscall.EINTR, syscall.ENETDOWN, syscall.EHOSTUNREACH}

func (l *flakyListener) Accept() (net.Conn, error) {
	if n := l.remaining.Add(-1); n >= 0 {
		return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", transientErrors[n])}
	}
	return l.Listener.Accept()
}

// A listener survives all temporary failures of accept, and reports each run of consecutive failures once.
func TestAcceptSurvivesTransientErrors(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	flaky := &flakyListener{Listener: ln}
	flaky.remaining.Store(int64(len(transientErrors)))
	l := NewListener(flaky, 1, 1)
	var failures atomic.Int64
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		l.Accept(func(c *Client) { c.Send(net.Buffers{[]byte("x")}, time.Second) }, func(error) { failures.Add(1) })
	}()
	c := connect(t, l)
	if _, err := c.Read(make([]byte, 1)); err != nil {
		t.Error(err)
	}
	l.Close()
	<-ended
	if n := failures.Load(); n != 1 {
		t.Error(fmt.Sprint(n, " failures were reported for one run of failures"))
	}
}
