// Package address reserves TCP addresses on loopback for processes that are told where to listen.
package address

import (
	"fmt"
	"net/netip"

	"golang.org/x/sys/unix"
)

// Reservation holds an address: until it is closed the system gives the port to no other socket by itself, neither to a
// listener that asks for any port nor to an outgoing connection. A listener that names the address gets it, since listeners
// of package net set SO_REUSEADDR. While nobody listens there connections are refused.
type Reservation struct {
	addr netip.AddrPort
	fd   int
}

// Reserve reserves a free address.
func Reserve() (*Reservation, error) {
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, fmt.Errorf("socket: %w", err)
	}
	addr, err := bind(fd)
	if err != nil {
		unix.Close(fd)
		return nil, err
	}
	return &Reservation{addr: addr, fd: fd}, nil
}

// bind binds a socket to any free port of 127.0.0.1.
func bind(fd int) (netip.AddrPort, error) {
	loopback := [4]byte{127, 0, 0, 1}
	if err := unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1); err != nil {
		return netip.AddrPort{}, fmt.Errorf("set SO_REUSEADDR: %w", err)
	}
	if err := unix.Bind(fd, &unix.SockaddrInet4{Addr: loopback}); err != nil {
		return netip.AddrPort{}, fmt.Errorf("bind: %w", err)
	}
	name, err := unix.Getsockname(fd)
	if err != nil {
		return netip.AddrPort{}, fmt.Errorf("getsockname: %w", err)
	}
	port := name.(*unix.SockaddrInet4).Port
	return netip.AddrPortFrom(netip.AddrFrom4(loopback), uint16(port)), nil
}

// String returns the address as host:port.
func (r *Reservation) String() string { return r.addr.String() }

// Close ends the reservation. Whoever listens at the address goes on.
func (r *Reservation) Close() error { return unix.Close(r.fd) }
