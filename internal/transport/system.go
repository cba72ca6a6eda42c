//go:build !wasip1

package transport

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// System is the Network of the operating system's TCP sockets.
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

// localErrors are the errors of socket, bind and connect whose cause is on this machine (connect(2), socket(2)).
var localErrors = []error{syscall.EADDRNOTAVAIL, syscall.ENOBUFS, syscall.ENOMEM, syscall.EMFILE, syscall.ENFILE,
	syscall.ENETUNREACH, syscall.ENETDOWN, syscall.EAGAIN}

// DialError wraps an error whose cause is on this machine with ErrLocal and returns any other unchanged.
func DialError(err error) error {
	for _, local := range localErrors {
		if errors.Is(err, local) {
			return fmt.Errorf("%w: %w", ErrLocal, err)
		}
	}
	return err
}

// socket is a TCP connection. Embedding *net.TCPConn preserves its vectored writes (net.Buffers).
type socket struct {
	*net.TCPConn
	raw syscall.RawConn
}

// Await blocks until there is something to read, without reading it, so that Quiet still sees everything that has arrived.
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

// Quiet reports whether there is nothing unread: neither the end of the connection nor bytes, which on an idle connection
// would be mistaken for the response to the next message.
func (s *socket) Quiet() bool {
	state := error(nil)
	err := s.raw.Control(func(fd uintptr) { state = peek(fd) })
	return err == nil && errors.Is(state, syscall.EAGAIN)
}

// Pending returns what is unread on the connection, without blocking.
func (s *socket) Pending() Pending {
	state := error(nil)
	err := s.raw.Control(func(fd uintptr) { state = peek(fd) })
	switch {
	case err != nil:
		return PendingEnd // closed on this side
	case state == nil:
		return PendingBytes
	case errors.Is(state, syscall.EAGAIN):
		return PendingNone
	}
	return PendingEnd
}

// PeerClosed implements closeDetector.
func (s *socket) PeerClosed() bool {
	const ended = unix.POLLRDHUP | unix.POLLHUP | unix.POLLERR
	closed := false
	s.raw.Control(func(fd uintptr) {
		state := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		_, err := unix.Poll(state, 0)
		closed = err == nil && state[0].Revents&ended != 0
	})
	return closed
}

// UnreadBytes implements unreadCounter.
func (s *socket) UnreadBytes() (int, error) {
	unread := 0
	var failed error
	err := s.raw.Control(func(fd uintptr) {
		unread, failed = unix.IoctlGetInt(int(fd), unix.SIOCINQ)
	})
	return unread, errors.Join(err, failed)
}

// LimitUnsent implements unsentLimiter.
func (s *socket) LimitUnsent() error {
	var set error
	err := s.raw.Control(func(fd uintptr) {
		set = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_NOTSENT_LOWAT, maxUnsent)
	})
	return errors.Join(err, set)
}

// AsSocket returns an accepted connection as a Socket, nil if it is neither a Socket nor a TCP connection.
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

// checkQuiet reports whether there is nothing unread on the connection, and whether that is known.
func checkQuiet(c net.Conn) (isQuiet, known bool) {
	if q, ok := c.(interface{ Quiet() bool }); ok {
		return q.Quiet(), true
	}
	s := AsSocket(c)
	if s == nil {
		return false, false
	}
	return s.Quiet(), true
}

// peek returns nil if there are bytes to read, EAGAIN if there is nothing yet, and io.EOF or another error if the
// connection has ended.
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
