package main

import (
	"io"
	"net"
	"sync"
)

// network is what lies between two places: while it is cut, nothing passes, and connections stay open and silent.
type network struct {
	mu     sync.Mutex
	cut    bool
	opened chan struct{} // closed when the cut ends
}

func newNetwork() *network { return &network{opened: make(chan struct{})} }

// set cuts the network or ends the cut.
func (n *network) set(cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	switch {
	case cut && !n.cut:
		n.opened = make(chan struct{})
	case !cut && n.cut:
		close(n.opened)
	}
	n.cut = cut
}

// pass waits while the network is cut, and reports whether it was.
func (n *network) pass() bool {
	n.mu.Lock()
	cut, opened := n.cut, n.opened
	n.mu.Unlock()
	if cut {
		<-opened
	}
	return cut
}

// relay returns an address that leads to another one over the network.
func (n *network) relay(to string) (string, error) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go n.carry(conn, to)
		}
	}()
	return ln.Addr().String(), nil
}

func (n *network) carry(from net.Conn, addr string) {
	defer from.Close()
	if n.pass() { // a connection that is begun meanwhile is reset once the network is whole
		from.(*net.TCPConn).SetLinger(0)
		return
	}
	to, err := net.Dial("tcp4", addr)
	if err != nil {
		return
	}
	defer to.Close()
	done := make(chan struct{}, 2)
	for _, way := range [][2]net.Conn{{from, to}, {to, from}} {
		go func() {
			n.copy(way[1], way[0])
			done <- struct{}{}
		}()
	}
	<-done
}

func (n *network) copy(to io.Writer, from io.Reader) {
	b := make([]byte, 16<<10)
	for {
		m, err := from.Read(b)
		n.pass()
		if m > 0 {
			if _, err := to.Write(b[:m]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
