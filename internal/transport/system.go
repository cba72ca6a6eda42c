//go:build !wasip1

package transport

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"syscall"
)

// System is the network of the system's sockets.
type System struct{}

// Listen listens on a TCP address.
func (System) Listen(addr string) (net.Listener, error) { return net.Listen("tcp", addr) }

// Dial connects over TCP.
func (System) Dial(ctx context.Context, addr string) (Socket, error) {
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, DialError(err)
	}
	t := c.(*net.TCPConn)
	raw, err := t.SyscallConn()
	if err != nil {
		t.Close()
		return nil, err
	}
	return &socket{t, raw}, nil
}

// localFailures are the errors of socket, bind and connect that have their cause on this machine (connect(2), socket(2)).
var localFailures = []error{syscall.EADDRNOTAVAIL, syscall.ENOBUFS, syscall.ENOMEM, syscall.EMFILE, syscall.ENFILE, syscall.ENETUNREACH,
	syscall.ENETDOWN, syscall.EAGAIN}

// DialError marks a failure that has its cause on this machine with ErrLocal.
func DialError(err error) error {
	for _, local := range localFailures {
		if errors.Is(err, local) {
			return fmt.Errorf("%w: %w", ErrLocal, err)
		}
	}
	return err
}

// socket is a TCP connection. Embedding keeps its gathered writes.
type socket struct {
	*net.TCPConn
	raw syscall.RawConn
}

// Await waits until there is something to read, and reads nothing: until then Quiet sees all that has come.
func (s *socket) Await() error {
	var state error
	err := s.raw.Read(func(fd uintptr) bool {
		state = peek(fd)
		return !errors.Is(state, syscall.EAGAIN)
	})
	if err != nil {
		return err
	}
	return state
}

// Quiet tells that nothing has come on an idle connection: not its end, and no bytes, which would be taken for
// the answer to the next message.
func (s *socket) Quiet() bool {
	state := error(nil)
	err := s.raw.Control(func(fd uintptr) { state = peek(fd) })
	return err == nil && errors.Is(state, syscall.EAGAIN)
}

// Pending looks at the connection without waiting.
func (s *socket) Pending() Pending {
	state := error(nil)
	err := s.raw.Control(func(fd uintptr) { state = peek(fd) })
	switch {
	case err != nil:
		return End // closed on this side
	case state == nil:
		return Bytes
	case errors.Is(state, syscall.EAGAIN):
		return Nothing
	}
	return End
}

// AsSocket is a connection that was accepted as a Socket, nil where it is none.
func AsSocket(c net.Conn) Socket {
	if s, ok := c.(Socket); ok {
		return s
	}
	t, ok := c.(*net.TCPConn)
	if !ok {
		return nil
	}
	raw, err := t.SyscallConn()
	if err != nil {
		return nil
	}
	return &socket{t, raw}
}

// quiet tells that nothing has come on a client's connection that has not been read, where that can be told.
func quiet(c net.Conn) (is, told bool) {
	if q, ok := c.(interface{ Quiet() bool }); ok {
		return q.Quiet(), true
	}
	s := AsSocket(c)
	if s == nil {
		return false, false
	}
	return s.Quiet(), true
}

// peek returns nil where there are bytes to read, EAGAIN where there is nothing yet.
func peek(fd uintptr) error {
	var b [1]byte
	for {
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case errors.Is(err, syscall.EINTR):
			continue
		case err == nil && n == 0:
			return io.EOF
		}
		return err
	}
}
