//go:build !wasip1

package transport

import (
	"fmt"
	"net"
	"os"
	"syscall"
)

// Inherit returns a listener on the descriptor fd, which a parent process opened and passed on, as the platform does with
// the clients' socket on an upgrade. fd itself is closed: the listener holds a duplicate, and closing that one leaves the
// accept queue to the other processes that hold the socket. Inherit returns an error if fd is not a listening TCP socket.
func (System) Inherit(fd int) (net.Listener, error) {
	if fd < 0 {
		return nil, fmt.Errorf("descriptor %d: not a descriptor", fd)
	}
	listening, err := syscall.GetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_ACCEPTCONN)
	if err != nil {
		return nil, fmt.Errorf("descriptor %d: not a socket: %w", fd, err)
	}
	if listening != 1 {
		return nil, fmt.Errorf("descriptor %d: socket does not listen", fd)
	}
	f := os.NewFile(uintptr(fd), "inherited")
	ln, err := net.FileListener(f)
	f.Close()
	if err != nil {
		return nil, fmt.Errorf("descriptor %d: %w", fd, err)
	}
	if _, ok := ln.(*net.TCPListener); !ok {
		ln.Close()
		return nil, fmt.Errorf("descriptor %d: not a TCP listener", fd)
	}
	return ln, nil
}
