package transport

import (
	"context"
	"net"
)

// Network is where connections come from: the system's sockets, or a network in memory.
type Network interface {
	Listen(addr string) (net.Listener, error)
	// Dial connects to a worker or the registry; it returns when ctx is done at the latest.
	Dial(ctx context.Context, addr string) (Socket, error)
}

// Socket is a connection that can be asked about its reading side without reading.
type Socket interface {
	net.Conn
	// Quiet tells that nothing has come that has not been read: not its end, and no bytes.
	Quiet() bool
	// Await waits until there is something to read and reads nothing. It returns an error where the connection
	// has ended or its read deadline has passed (os.ErrDeadlineExceeded).
	Await() error
}

// Pending is what lies unread on a client's connection.
type Pending uint8

// What may lie there.
const (
	Unknown Pending = iota // it cannot be told
	Nothing
	Bytes // an end may lie behind them
	End   // the client has closed or reset the connection, and left no bytes
)

// Quiet tells that nothing has come on a client's connection that has not been read. Where that cannot be told it returns
// false.
func Quiet(c net.Conn) bool {
	is, told := quiet(c)
	return is && told
}

// Unread tells that bytes or an end have come on a client's connection that have not been read. Where that cannot be told
// it returns false.
func Unread(c net.Conn) bool {
	is, told := quiet(c)
	return !is && told
}
