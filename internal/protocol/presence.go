package protocol

import (
	"bufio"
	"errors"
	"io"
	"sync"
	"time"

	"burlpass/internal/transport"
)

// Limits on what is read from a client that keeps sending while a request of its is open.
const (
	maxReadAhead      = 64 << 10 // bytes buffered to be parsed as further requests: as many as of one body
	maxDiscard        = MaxBody  // bytes discarded beyond that; a client that sends even more is given up
	discardBufferSize = 16 << 10 // bytes discarded per read

	maxUnreadAhead = 56 << 10 // bytes left unread where they cannot be buffered: less than a receive window, so that an end behind them is seen

	// maxAheadPresenceAge is for how long a client with unread bytes counts as connected after all that it had sent was read. The rest
	// of 0.1 s is left for a process that is held up between the check and the first byte.
	maxAheadPresenceAge = 10 * time.Millisecond

	maxCheckTime    = 20 * time.Millisecond // bounds one check, as maxCheckReads does, so that a client that never stops sending delays nobody
	maxCheckReads   = 512                   // more than a client that has gone can have left in both systems
	shortCheckReads = 16                    // where connections wait for their turns
	aheadRetryDelay = 50 * time.Millisecond // between two checks of a client whose bytes cannot be read; a disconnect may go unnoticed for twice that
)

// errNoRoomAhead means that there is no room for what a client has sent ahead, which stays unread for now.
var errNoRoomAhead = errors.New("no room for requests sent ahead")

// errTooMuchSentAhead means that a client has sent more than maxDiscard bytes beyond what is buffered for further requests.
var errTooMuchSentAhead = errors.New("client sent too much data ahead of a response")

// clientSource is the reader behind the buffer of a client's connection.
type clientSource struct {
	conn      *transport.Client
	replay    []byte     // bytes from a smaller buffer, returned again before anything else is read
	ahead     aheadQueue // bytes of a long message that were read before an attempt asked for them
	truncated bool       // too much was sent ahead: what is not buffered yet is never parsed as a request

	totalRead   int64         // bytes read from the connection
	waited      time.Duration // spent in reads beyond what reading takes, since the current request began
	unreadSince time.Time     // what is read next may have arrived as early as this, if it is not zero
	arrivals    []arrival     // when the bytes arrived that may still be asked about, in order
}

// arrival records when all bytes up to a stream offset had arrived.
type arrival struct {
	offset int64
	at     time.Time
}

// maxArrivals bounds the arrivals kept; beyond it the two oldest are merged, with the earlier time.
const maxArrivals = 32

// maxReadWork is the longest that one read keeps the processor; what it takes beyond that is spent waiting for the client.
const maxReadWork = 50 * time.Microsecond

// Read reads from the connection. After truncation it returns io.EOF.
func (s *clientSource) Read(b []byte) (int, error) {
	if len(s.replay) > 0 {
		n := copy(b, s.replay)
		s.replay = s.replay[n:]
		return n, nil
	}
	if s.ahead.size > 0 {
		return s.ahead.take(b), nil
	}
	if s.truncated {
		return 0, io.EOF
	}
	begun := time.Now()
	n, err := s.conn.Read(b)
	s.waited += max(time.Since(begun)-maxReadWork, 0)
	s.recordArrival(n)
	return n, err
}

// recordArrival notes that n bytes have just been read from the connection.
func (s *clientSource) recordArrival(n int) {
	if n == 0 {
		return
	}
	s.totalRead += int64(n)
	arrivedAt := s.conn.LastByte()
	if !s.unreadSince.IsZero() {
		arrivedAt, s.unreadSince = s.unreadSince, time.Time{}
	}
	if len(s.arrivals) == maxArrivals { // of the two oldest, the later bytes are taken to have arrived with the earlier
		s.arrivals[1].at = s.arrivals[0].at
		s.arrivals = append(s.arrivals[:0], s.arrivals[1:]...)
	}
	s.arrivals = append(s.arrivals, arrival{s.totalRead, arrivedAt})
}

// arrivalTime returns when the last byte that was consumed from r, which reads from s, had arrived. After a request has
// been read, that is its last byte. Arrivals before it are dropped.
func (s *clientSource) arrivalTime(r *bufio.Reader) time.Time {
	consumed := s.totalRead - int64(s.held()) - int64(r.Buffered())
	for len(s.arrivals) > 1 && s.arrivals[0].offset < consumed {
		s.arrivals = append(s.arrivals[:0], s.arrivals[1:]...)
	}
	if len(s.arrivals) == 0 {
		return time.Now()
	}
	return s.arrivals[0].at
}

// disconnectWatcher detects that a client disconnects while a request of its is open. The end of the stream of a client
// that has sent more data lies behind that data, so the data is read ahead: first into the connection's buffer, then, as memory
// allows, into one of up to maxReadAhead bytes. Up to maxUnreadAhead further bytes stay unread, and the kernel is asked for the end
// behind them. It does not see an end behind more bytes than its receive buffer holds: those are read and discarded, and the
// connection ends after the requests that are buffered.
type disconnectWatcher struct {
	client       *client
	disconnected chan struct{} // closed once the client has disconnected
	done         chan struct{} // closed when the request has been answered
	stopped      chan struct{} // closed when watching has ended

	mu           sync.Mutex    // guards the fields below, and the connection's buffer while the request is open
	mayReadAhead bool          // the request's message has been read completely, so what follows may be read ahead
	answered     bool          // the request has been answered: the buffer belongs to the connection's own goroutine again
	gone         bool          // disconnected is closed
	noRoom       bool          // bytes were left unread for want of room
	discarded    int64         // bytes
	readTime     time.Duration // spent on reading ahead, and not charged to the connection yet
}

// newDisconnectWatcher returns a watcher that is not running yet.
func (c *client) newDisconnectWatcher() *disconnectWatcher {
	return &disconnectWatcher{client: c, mayReadAhead: c.upload == nil, disconnected: make(chan struct{}), done: make(chan struct{}), stopped: make(chan struct{})}
}

// isConnected is check, for callers to whom a client that may have gone counts as connected.
func (w *disconnectWatcher) isConnected() bool { return w.check() != ClientDisconnected }

// check checks the connection and reports whether the client was still connected at that moment. It does not wait for the client, and
// may be called from any goroutine. A client that has sent more than is read here may have closed behind it, which is unknown.
func (w *disconnectWatcher) check() ClientState {
	w.mu.Lock()
	defer w.mu.Unlock()
	start := time.Now()
	drained := w.drain(start)
	switch {
	case w.answered || w.gone:
		return ClientDisconnected
	case drained:
		w.client.presentAt = start
		return ClientConnected
	case w.mayReadAhead && start.Sub(w.client.presentAt) > maxAheadPresenceAge:
		return w.stateIfOpen(ClientUnknown)
	}
	return w.stateIfOpen(ClientConnected)
}

// drain reads ahead, and reports whether all that the client has sent was read. Where connections wait for their turns, it reads little.
// The lock must be held.
func (w *disconnectWatcher) drain(start time.Time) bool {
	maxReads := maxCheckReads
	if w.client.isContended(start) {
		maxReads = shortCheckReads
		if w.client.source.truncated { // nothing of what is unread is going to be used
			w.noRoom = true
			return false
		}
	}
	for reads := 0; reads < maxReads && time.Since(start) < maxCheckTime; reads++ {
		if w.answered || w.gone {
			return false
		}
		switch w.client.Pending() {
		case transport.PendingEnd:
			w.markDisconnected()
		case transport.PendingBytes:
			if !w.mayReadAhead { // the bytes belong to the request's own message
				return false
			}
			err := w.readAhead()
			if errors.Is(err, errNoRoomAhead) {
				w.noRoom = true
				return false
			}
			if err != nil && !isTimeout(err) {
				w.markDisconnected()
			}
		default:
			return !w.client.source.truncated // the client's system may hold more than it could send yet
		}
	}
	return false
}

// readAhead reads a piece of what the client has sent ahead, and records the time that it takes. The lock must be held.
func (w *disconnectWatcher) readAhead() error {
	begun := time.Now()
	err := w.client.readAhead(&w.discarded)
	w.readTime += time.Since(begun)
	return err
}

// stateIfOpen returns the given state unless the system knows that the client has closed. The lock must be held.
func (w *disconnectWatcher) stateIfOpen(state ClientState) ClientState {
	if !w.isPeerOpen() {
		return ClientDisconnected
	}
	return state
}

// isPeerOpen asks the kernel whether the client has closed its connection, behind whatever is unread. The lock must be held.
func (w *disconnectWatcher) isPeerOpen() bool {
	if w.client.PeerClosed() {
		w.markDisconnected()
	}
	return !w.gone
}

// markDisconnected must be called with the lock held.
func (w *disconnectWatcher) markDisconnected() {
	if !w.answered && !w.gone {
		w.gone = true
		close(w.disconnected)
	}
}

// watch checks the connection whenever the client sends something, until end.
func (w *disconnectWatcher) watch() {
	defer close(w.stopped)
	if u := w.client.upload; u != nil {
		whole, err := u.awaitComplete(w.done)
		w.mu.Lock()
		if err != nil {
			w.markDisconnected()
		}
		w.mayReadAhead = whole
		w.mu.Unlock()
		if !whole {
			return
		}
	}
	for {
		err := w.client.Await()
		switch {
		case err != nil && (isTimeout(err) || errors.Is(err, errors.ErrUnsupported)):
			return
		case err != nil:
			w.mu.Lock()
			w.markDisconnected()
			w.mu.Unlock()
			return
		}
		if !w.isConnected() || !w.awaitRoom() || !w.awaitTurn() {
			return
		}
	}
}

// awaitTurn charges the connection for what was read ahead, and waits until it is its turn again. It returns false once the request
// has been answered.
func (w *disconnectWatcher) awaitTurn() bool {
	w.mu.Lock()
	used := w.readTime
	w.readTime = 0
	w.mu.Unlock()
	if used == 0 {
		return true
	}
	wait := w.client.Fairness.Charge(w.client.account, used, time.Now())
	if wait <= 0 {
		return true
	}
	return w.client.wait(min(wait, aheadRetryDelay), w.done)
}

// awaitRoom waits a little if bytes had to be left unread. It returns false once the request has been answered.
func (w *disconnectWatcher) awaitRoom() bool {
	w.mu.Lock()
	wait := w.noRoom
	w.noRoom = false
	w.mu.Unlock()
	if !wait {
		return true
	}
	return w.client.wait(aheadRetryDelay, w.done)
}

// hasDisconnected reports whether the client has been seen to disconnect.
func (w *disconnectWatcher) hasDisconnected() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.gone
}

// hasNext reports whether the client has sent something behind the open request.
func (w *disconnectWatcher) hasNext() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.client.r.Buffered() > 0 || !w.client.Quiet()
}

// end stops watching, and returns when only the caller reads from the connection.
func (w *disconnectWatcher) end() {
	w.mu.Lock()
	w.answered = true
	w.mu.Unlock()
	close(w.done)
	w.client.InterruptRead()
	<-w.stopped
}

// readAhead reads part of what the client has sent after a request that is still open. It is called when unread bytes are
// available.
func (c *client) readAhead(discarded *int64) error {
	if c.source.truncated {
		buffer := discardBuffers.Get().(*[discardBufferSize]byte)
		defer discardBuffers.Put(buffer)
		n, err := c.Client.Read(buffer[:])
		if *discarded += int64(n); *discarded > maxDiscard {
			return errTooMuchSentAhead
		}
		return err
	}
	if _, err := c.r.Peek(c.r.Buffered() + 1); !errors.Is(err, bufio.ErrBufferFull) {
		return err
	}
	if c.r.Size() < maxReadAhead && c.growBuffer(min(bufferGrowth*c.r.Size(), maxReadAhead)) {
		return nil
	}
	if unread, known := c.UnreadBytes(); known && unread < maxUnreadAhead {
		return errNoRoomAhead
	}
	c.source.truncated = true
	return nil
}
