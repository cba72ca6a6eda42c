//go:build !wasip1

package transport

import (
	"fmt"
	"net"
	"os"
	"syscall"
)

// Inherit returns a listener on the descriptor fd, which a parent process opened and left open, as the platform does
// with the clients' socket on an upgrade. The descriptor itself is closed: the listener holds a copy of its own, and
// closing that leaves the queue of the socket to those that hold it too. The error says where fd is no TCP socket
// that listens.
func (System) Inherit(fd int) (net.Listener, error) {
	if fd < 0 {
		return nil, fmt.Errorf("descriptor %d: not a descriptor", fd)
	}
	listening, err := syscall.GetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_ACCEPTCONN)
	if err != nil {
		return nil, fmt.Errorf("descriptor %d: not a socket: %w", fd, err)
	}
	if listening != 1 {
		return nil, fmt.Errorf("descriptor %d: a socket that does not listen", fd)
	}
	f := os.NewFile(uintptr(fd), "inherited")
	ln, err := net.FileListener(f)
	f.Close()
	if err != nil {
		return nil, fmt.Errorf("descriptor %d: %w", fd, err)
	}
	if _, ok := ln.(*net.TCPListener); !ok {
		ln.Close()
		return nil, fmt.Errorf("descriptor %d: a listener, but not of TCP", fd)
	}
	return ln, nil
}
