package transport

import "net"

// quiet tells that nothing has come on a client's connection that has not been read, where that can be told.
func quiet(c net.Conn) (is, told bool) {
	if q, ok := c.(interface{ Quiet() bool }); ok {
		return q.Quiet(), true
	}
	return false, false
}

// AsSocket is a client's connection as a Socket, nil where it is none.
func AsSocket(c net.Conn) Socket {
	s, _ := c.(Socket)
	return s
}
