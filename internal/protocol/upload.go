package protocol

import (
	"errors"
	"fmt"
	"io"
	"net"
	"runtime"
	"strconv"
	"sync"
	"time"

	"burlpass/internal/memory"
	"burlpass/internal/transport"
)

// Limits on long messages. A client may send its body at 64 kB per second; half of that is still accepted.
const (
	bodyWindow        = 16 << 10         // bytes of a long message that are kept, to be sent again where a retry is allowed
	bodyBaseTimeout   = 2 * time.Second  // for a body, in addition to the time for its length
	minBodyRate       = 32 << 10         // bytes per second
	uploadBufferSize  = 16 << 10         // bytes of a request body in transit
	relayBufferSize   = 32 << 10         // bytes of a reply in transit
	relayWriteTimeout = 10 * time.Second // for a client to accept one piece of a reply
	relayStallTimeout = stallTimeout     // for a worker that stalls within a reply after its client's deadline
)

// bodyTimeout returns the time within which n bytes of a body have to arrive.
func bodyTimeout(n int64) time.Duration {
	return bodyBaseTimeout + time.Duration(n)*time.Second/minBodyRate
}

// MaxResponseTime is the longest time that a client may take for a response.
func MaxResponseTime() time.Duration { return bodyTimeout(MaxBody) }

// upload is the rest of a client's long message. The goroutine of a worker's connection reads it, once; the client's own
// goroutine waits until that has finished before it continues reading.
type upload struct {
	body     bodyReader
	conn     *transport.Client
	expires  time.Duration // how long the client waits after its last byte
	waited   time.Duration // time spent waiting for the client since the body began; delays caused by a slow worker are not the client's
	received int64         // bytes of the body so far
	lastRead time.Time     // when the last read ended
	memory   *memory.Budget
	source   *clientSource // what body reads from; nil if nothing is read ahead

	presentAt time.Time // when the client was last known to be connected; guarded by the mutex of the disconnectWatcher

	mu           sync.Mutex
	incompleteAt time.Time     // latest time at which the last byte had certainly not arrived
	started      bool          // an attempt reads or has read it
	stopped      bool          // no further read may begin
	complete     chan struct{} // closed when the last byte has arrived
	failed       chan struct{} // closed when the client has disconnected, stalled or sent invalid data
	readerDone   chan struct{} // closed when reading has ended
	err          error         // why it failed
}

func newUpload(rest bodyReader, conn *transport.Client, waited time.Duration, received int64, expires time.Duration) *upload {
	return &upload{body: rest, conn: conn, waited: waited, received: received, expires: expires, incompleteAt: time.Now().Add(-waited),
		complete: make(chan struct{}), failed: make(chan struct{}), readerDone: make(chan struct{})}
}

// Complete is closed when the client's last byte has arrived.
func (u *upload) Complete() <-chan struct{} { return u.complete }

// Deadline returns when the client gives up if all that is missing has arrived without having been read. A worker that accepts a
// message slowly must not hide the end of the message from the sidecar.
func (u *upload) Deadline() time.Time {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.incompleteAt.Add(u.expires)
}

// ReadStarted reports whether part of the message has been read.
func (u *upload) ReadStarted() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.started
}

// stream forwards the message piece by piece as the client sends it.
func (u *upload) stream(write transport.WriteFunc) error {
	u.mu.Lock()
	if u.started || u.stopped {
		u.mu.Unlock()
		return fmt.Errorf("%w: the body has already been read", transport.ErrIncompleteMessage)
	}
	u.started = true
	u.mu.Unlock()
	defer close(u.readerDone)
	var grant memory.Grant
	defer grant.Release()
	buf := pieceBuffer(u.memory, &grant, uploadBufferSize)
	for {
		n, err := u.read(buf)
		if err == io.EOF && u.body.chunked { // only the end of the chunked encoding is left to write
			close(u.complete)
			return write(net.Buffers{[]byte("0\r\n\r\n")}, true)
		}
		if err != nil {
			u.err = err
			close(u.failed)
			return fmt.Errorf("%w: %w", transport.ErrIncompleteMessage, err)
		}
		if n == 0 {
			continue
		}
		piece := net.Buffers{buf[:n]}
		if u.body.chunked {
			piece = encodeChunk(buf[:n])
		}
		if u.body.done && !u.body.chunked {
			close(u.complete)
			return write(piece, true)
		}
		if err := write(piece, false); err != nil {
			return err
		}
		runtime.Gosched() // a message whose pieces are always there would keep the processor
	}
}

// read reads one piece within the time allowed for it.
func (u *upload) read(buf []byte) (int, error) {
	u.mu.Lock()
	if u.stopped {
		u.mu.Unlock()
		return 0, net.ErrClosed
	}
	begun := time.Now()
	drained := u.body.r.Buffered()+u.source.held() == 0 && u.conn.Quiet()
	if u.isIncomplete(drained) {
		u.incompleteAt = begun
	}
	u.conn.SetReadBounds(transport.ReadBounds{StallTimeout: stallTimeout, Until: begun.Add(bodyTimeout(u.received+int64(len(buf))) - u.waited), RequestAccepted: true})
	u.mu.Unlock()
	n, err := u.body.readTogether(buf)
	u.lastRead = time.Now()
	u.received += int64(n)
	wait := u.lastRead.Sub(begun)
	u.waited += wait
	if drained && wait >= settleTime { // the client sent these bytes only now
		u.mu.Lock()
		u.incompleteAt = u.lastRead
		u.mu.Unlock()
	}
	if n > 0 {
		err = nil // the error is returned again by the next read
	}
	return n, err
}

const (
	// maxSendBuffer is the number of bytes that a client's system holds for it, by the default of Linux (tcp_wmem).
	maxSendBuffer = 4 << 20

	// settleTime is how long a client's system may take to send once it is free to.
	settleTime = 20 * time.Millisecond
)

// isIncomplete reports whether the client has certainly not sent the last byte: all that has arrived was read (drained), and the
// client's system had the time to send more, or more is missing than that can hold. While bytes wait unread, which a worker that
// takes the message slowly leaves, the last ones may wait in the client's own system, however little of the window they use: on
// loopback a sender waits for a window of 64 KiB.
func (u *upload) isIncomplete(drained bool) bool {
	unread, known := u.conn.UnreadBytes()
	if known && u.body.remaining-int64(u.body.r.Buffered()+u.source.held()+unread) > maxSendBuffer {
		return true
	}
	return drained && time.Since(u.lastRead) >= settleTime
}

// awaitComplete waits for the end of the message. It returns true once the end has arrived and been forwarded and the
// connection may be watched, an error if the client has failed, and false once done is closed.
func (u *upload) awaitComplete(done <-chan struct{}) (bool, error) {
	select {
	case <-u.complete:
	case <-u.failed:
		return false, u.err
	case <-done:
		return false, nil
	}
	<-u.readerDone
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.stopped {
		u.conn.ClearReadBounds()
	}
	return !u.stopped, nil
}

// errBodyNotRead means that part of a message has not been read.
var errBodyNotRead = errors.New("request body not completely read")

// state returns nil if the message has been received completely, errBodyNotRead if it has not, and otherwise the error with
// which it failed.
func (u *upload) state() error {
	select {
	case <-u.complete:
		return nil
	case <-u.failed:
		return u.err
	default:
		return errBodyNotRead
	}
}

// stop ends reading, and returns when no goroutine reads any more.
func (u *upload) stop() {
	u.mu.Lock()
	u.stopped = true
	started := u.started
	u.conn.InterruptRead()
	u.mu.Unlock()
	if started {
		<-u.readerDone
	}
}

// encodeChunk encodes b as one chunk.
func encodeChunk(b []byte) net.Buffers {
	if len(b) == 0 {
		return nil
	}
	return net.Buffers{[]byte(strconv.FormatInt(int64(len(b)), 16) + "\r\n"), b, []byte("\r\n")}
}
