package transport

import "net"

// checkQuiet reports whether there is nothing unread on the connection, and whether that is known.
func checkQuiet(c net.Conn) (isQuiet, known bool) {
	if q, ok := c.(interface{ Quiet() bool }); ok {
		return q.Quiet(), true
	}
	return false, false
}

// AsSocket returns an accepted connection as a Socket, nil if it does not implement one.
func AsSocket(c net.Conn) Socket {
	s, _ := c.(Socket)
	return s
}
