package transport

import (
	"context"
	"net"
)

// Network listens and dials: on the operating system's sockets, or on an in-memory network.
type Network interface {
	Listen(addr string) (net.Listener, error)
	// Dial connects to a worker or the registry. It returns no later than ctx is done.
	Dial(ctx context.Context, addr string) (Socket, error)
}

// Socket is a connection whose readable state can be checked without reading.
type Socket interface {
	net.Conn
	// Quiet reports whether there is nothing unread: neither bytes nor the end of the connection.
	Quiet() bool
	// Await blocks until there is something to read, without reading it. It returns an error if the connection has ended
	// or its read deadline has passed (os.ErrDeadlineExceeded).
	Await() error
}

// Pending describes what is unread on a client's connection.
type Pending uint8

// The possible values of Pending.
const (
	PendingUnknown Pending = iota // the state cannot be determined
	PendingNone
	PendingBytes // the end of the connection may follow
	PendingEnd   // the client has closed or reset the connection, and no bytes are left
)

// Quiet reports whether there is nothing unread on the connection. It returns false where that is unknown.
func Quiet(c net.Conn) bool {
	is, told := checkQuiet(c)
	return is && told
}

// Unread reports whether bytes or the end of the connection are waiting to be read. It returns false where that is unknown.
func Unread(c net.Conn) bool {
	is, told := checkQuiet(c)
	return !is && told
}
