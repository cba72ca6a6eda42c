package stage

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"syscall"
)

// The stage's ports. All lie below the range from which systems choose ports for outgoing connections, and each run
// has a /16 of 127.0.0.0/8 to itself, so that neither a connection nor another run takes an address that is free for a
// moment because the process behind it is down.
const (
	workerPort   = 8000
	registryPort = 8500
	sidecarPort  = 3000
	guardPort    = 7999

	registryHost  = 254
	registryHost2 = 253 // where a reload moves to
	sidecarHost   = 252
)

// network is one run's addresses.
type network struct {
	block int // 127.block.0.0/16
	guard net.Listener
}

// claim takes a free block, which is the run's until release.
func claim() (*network, error) {
	for range 200 {
		block := 16 + rand.IntN(200)
		ln, err := net.Listen("tcp", fmt.Sprintf("127.%d.0.1:%d", block, guardPort))
		if err == nil {
			return &network{block, ln}, nil
		}
	}
	return nil, errors.New("no free block of loopback addresses")
}

func (n *network) release() { n.guard.Close() }

// Each sidecar reaches every other party at addresses of its own: that tells the parties who calls.
func (n *network) worker(sidecar, slot int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", n.block, sidecar+1, slot+1, workerPort)
}
func (n *network) registry(sidecar int, second bool) string {
	host := registryHost
	if second {
		host = registryHost2
	}
	return fmt.Sprintf("127.%d.%d.%d:%d", n.block, sidecar+1, host, registryPort)
}
func (n *network) sidecar(sidecar int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", n.block, sidecar+1, sidecarHost, sidecarPort)
}

// listen listens with a backlog that silence can take away again.
func listen(addr string) (*net.TCPListener, error) {
	c := net.ListenConfig{}
	ln, err := c.Listen(context.Background(), "tcp", addr)
	if err != nil {
		return nil, err
	}
	return ln.(*net.TCPListener), nil
}

// backlog sets how many connections a listener's system completes ahead of their being accepted. At 0 one fits, and
// once that is there further ones never come up, as with a machine that is cut off.
func backlog(ln *net.TCPListener, n int) error {
	raw, err := ln.SyscallConn()
	if err != nil {
		return err
	}
	var inner error
	if err := raw.Control(func(fd uintptr) { inner = syscall.Listen(int(fd), n) }); err != nil {
		return err
	}
	return inner
}

// reset ends a connection so that the other side sees a reset.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		t.SetLinger(0)
	}
	c.Close()
}

// quiet tells that an idle connection has neither ended nor anything to read; readable that there are bytes.
func quiet(c net.Conn) bool    { return errors.Is(peek(c), syscall.EAGAIN) }
func readable(c net.Conn) bool { return peek(c) == nil }

// peek returns nil where there are bytes to read, EAGAIN where there is nothing yet.
func peek(c net.Conn) error {
	raw, err := c.(syscall.Conn).SyscallConn()
	if err != nil {
		return err
	}
	var state error
	var b [1]byte
	err = raw.Control(func(fd uintptr) {
		n, _, e := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		if state = e; e == nil && n == 0 {
			state = net.ErrClosed
		}
	})
	return errors.Join(err, state)
}
