//go:build !wasip1

package transport

import (
	"net"
	"syscall"
	"testing"
)

// All connections have TCP_NODELAY set, so that small writes are not delayed by Nagle's algorithm: a close right after a
// delayed write would discard it.
func TestNoDelayIsSet(t *testing.T) {
	bound, err := System{}.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer bound.Close()
	file, err := bound.(*net.TCPListener).File()
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	inherited, err := net.FileListener(file)
	if err != nil {
		t.Fatal(err)
	}
	defer inherited.Close()
	for name, ln := range map[string]net.Listener{"bound": bound, "inherited": inherited} {
		dialled, err := System{}.Dial(t.Context(), bound.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer dialled.Close()
		accepted, err := ln.Accept()
		if err != nil {
			t.Fatal(err)
		}
		defer accepted.Close()
		for side, c := range map[string]any{"dialled": dialled, "accepted": accepted} {
			raw, err := c.(syscall.Conn).SyscallConn()
			if err != nil {
				t.Fatal(err)
			}
			on := 0
			raw.Control(func(fd uintptr) { on, err = syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_NODELAY) })
			if err != nil || on == 0 {
				t.Errorf("%s, %s: TCP_NODELAY %d (%v)", name, side, on, err)
			}
		}
	}
}
