package protocol

import (
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"sync"
	"time"

	"burlpass/internal/transport"
)

// Pace of long messages. A client may send its body at 64 kB a second; half of that is still let through.
const (
	maxWindow  = 16 << 10         // bytes of a long message that are held, to go out again where that is lawful
	bodyTime   = 2 * time.Second  // for a body, beside what its length takes
	bodyPace   = 32 << 10         // bytes a second
	pieceSize  = 16 << 10         // bytes of an upload on their way
	relaySize  = 32 << 10         // bytes of an answer on their way
	relayTime  = 10 * time.Second // for a client to take one piece of an answer
	relayStall = stallTime        // for a worker that stops within an answer, where its client's time is over
)

// bodyLimit is the time in which n bytes of a body have to come.
func bodyLimit(n int64) time.Duration {
	return bodyTime + time.Duration(n)*time.Second/bodyPace
}

// upload is the rest of a client's long message. A worker's goroutine reads it, once; the client's own goroutine waits
// for that one's end before it reads on.
type upload struct {
	framed  framed
	conn    *transport.Client
	expires time.Duration // the client's patience from the last byte on
	waited  time.Duration // for the client, since the body began; what a slow worker takes is not the client's
	got     int64         // bytes of it so far

	mu      sync.Mutex
	since   time.Time     // when the last byte had certainly not come yet
	taken   bool          // an attempt reads it, or has
	stopped bool          // no further read may begin
	whole   chan struct{} // closed when the last byte has come
	failed  chan struct{} // closed where the client has broken off, stalled or sent garbage
	ended   chan struct{} // closed when nobody reads any more
	err     error         // why it failed
}

func newUpload(f framed, conn *transport.Client, waited time.Duration, got int64, expires time.Duration) *upload {
	return &upload{framed: f, conn: conn, waited: waited, got: got, expires: expires, since: time.Now().Add(-waited),
		whole: make(chan struct{}), failed: make(chan struct{}), ended: make(chan struct{})}
}

// Whole is closed when the last byte has come from the client.
func (u *upload) Whole() <-chan struct{} { return u.whole }

// End is when the client gives up, should all that is still to come have come already without having been read. A worker
// that takes a message slowly must not hide its end from us.
func (u *upload) End() time.Time {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.since.Add(u.expires)
}

// Begun tells that some of it has been read.
func (u *upload) Begun() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.taken
}

// pass hands the message on, piece by piece, as the client sends it.
func (u *upload) pass(write transport.Write) error {
	u.mu.Lock()
	if u.taken || u.stopped {
		u.mu.Unlock()
		return fmt.Errorf("%w: it has been read before", transport.ErrSource)
	}
	u.taken = true
	u.mu.Unlock()
	defer close(u.ended)
	buf := make([]byte, pieceSize)
	for {
		n, err := u.read(buf)
		if err == io.EOF && u.framed.chunked { // only the end of its framing is left to write
			close(u.whole)
			return write(net.Buffers{[]byte("0\r\n\r\n")}, true)
		}
		if err != nil {
			u.err = err
			close(u.failed)
			return fmt.Errorf("%w: %w", transport.ErrSource, err)
		}
		if n == 0 {
			continue
		}
		piece := net.Buffers{buf[:n]}
		if u.framed.chunked {
			piece = chunk(buf[:n])
		}
		if u.framed.over {
			close(u.whole)
			return write(piece, true)
		}
		if err := write(piece, false); err != nil {
			return err
		}
	}
}

// read reads a piece within its pace.
func (u *upload) read(buf []byte) (int, error) {
	u.mu.Lock()
	if u.stopped {
		u.mu.Unlock()
		return 0, net.ErrClosed
	}
	begun := time.Now()
	if u.framed.r.Buffered() == 0 && u.conn.Quiet() {
		u.since = begun
	}
	u.conn.Receive(transport.Stage{Stall: stallTime, Until: begun.Add(bodyLimit(u.got+int64(len(buf))) - u.waited), Taken: true})
	u.mu.Unlock()
	n, err := u.framed.Read(buf)
	u.got += int64(n)
	u.waited += time.Since(begun)
	if n > 0 {
		err = nil // an error comes again
	}
	return n, err
}

// await waits for the end of the message. It returns true once that has come, been passed on, and the connection is free
// to be watched. It returns an error where the client has failed, and false once done is closed.
func (u *upload) await(done <-chan struct{}) (bool, error) {
	select {
	case <-u.whole:
	case <-u.failed:
		return false, u.err
	case <-done:
		return false, nil
	}
	<-u.ended
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.stopped {
		u.conn.Hold()
	}
	return !u.stopped, nil
}

// errUnread says that some of a message has not been read.
var errUnread = errors.New("not read to its end")

// state is nil where the message has come whole, errUnread where it has not, and else what it failed with.
func (u *upload) state() error {
	select {
	case <-u.whole:
		return nil
	case <-u.failed:
		return u.err
	default:
		return errUnread
	}
}

// stop ends the reading, and returns when nobody reads any more.
func (u *upload) stop() {
	u.mu.Lock()
	u.stopped = true
	taken := u.taken
	u.conn.Wake()
	u.mu.Unlock()
	if taken {
		<-u.ended
	}
}

// chunk frames a piece as a chunk.
func chunk(b []byte) net.Buffers {
	if len(b) == 0 {
		return nil
	}
	return net.Buffers{[]byte(strconv.FormatInt(int64(len(b)), 16) + "\r\n"), b, []byte("\r\n")}
}
