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

// maxUnsent is the number of bytes that a connection of a long message may hold for a peer that does not take them yet. A
// write that waits for the peer continues once half of them have been sent, so that it does not wait long for a peer that reads
// slowly.
const maxUnsent = 128 << 10

// unsentLimiter is implemented by sockets that can hold back writes at maxUnsent.
type unsentLimiter interface{ LimitUnsent() error }

// limitUnsent limits the unsent bytes of a connection where its socket layer supports that.
func limitUnsent(s Socket) {
	if limiter, ok := s.(unsentLimiter); ok {
		limiter.LimitUnsent() // without the limit, only a peer that reads slowly may be taken for one that has stopped
	}
}

// unreadCounter is implemented by sockets that can count the bytes that have arrived and have not been read.
type unreadCounter interface{ UnreadBytes() (int, error) }

// closeDetector is implemented by sockets that can tell, without reading, that the end of the connection has arrived behind
// unread bytes.
type closeDetector interface{ PeerClosed() bool }

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
