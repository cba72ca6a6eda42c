package transport

import (
	"errors"
	"net"
	"os"
	"time"
)

// Accept serves connections until Close or Stop. At the limit, a connection without a call is evicted to make room for a new
// one. If none can be evicted, further clients are served as crowded, and beyond the spare connections they wait in the
// accept queue until another can be evicted. Each client waits for room in its own goroutine, so that those behind it can be
// asked to retry later in the meantime. Failures such as a lack of descriptors are temporary: onFailure, unless nil, is
// called with the first of consecutive failures.
func (l *Listener) Accept(serve func(c *Client), onFailure func(error)) {
	queueEmptyAt := time.Now() // when the accept queue was last known to be empty; a client may have waited in it since then
	failing := false
	for l.keepAccepting() {
		start := time.Now()
		conn, err := l.ln.Accept()
		if errors.Is(err, os.ErrDeadlineExceeded) && l.stopping() {
			l.ln.Close()
			return
		}
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			if !failing && onFailure != nil {
				onFailure(err)
			}
			failing = true
			time.Sleep(acceptRetryDelay)
			continue
		}
		failing = false
		now := time.Now()
		if now.Sub(start) >= immediateReturn {
			queueEmptyAt = now
		}
		connectedAt := Latest(queueEmptyAt, now.Add(-maxQueueTime))
		c := &Client{deadlines: deadlines{conn: conn, connectedAt: connectedAt}, socket: AsSocket(conn), listener: l}
		l.acquireSlot()
		l.track(c)
		l.serving.Go(func() {
			defer l.release(c)
			l.admit(c)
			serve(c)
		})
	}
}

// acquireSlot takes one of the slots that limit the number of connections. If none is free, it evicts a client without a
// call as soon as possible.
func (l *Listener) acquireSlot() {
	for {
		select {
		case l.slots <- struct{}{}:
			return
		default:
		}
		l.mu.Lock()
		wait := l.evict()
		l.mu.Unlock()
		select {
		case l.slots <- struct{}{}:
			return
		case <-time.After(max(wait, slotRetryDelay)):
		}
	}
}

// track adds a connection to those that are subject to EndBy.
func (l *Listener) track(c *Client) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.clients[c] = struct{}{}
	if !l.end.IsZero() {
		c.EndBy(l.end)
	}
}

// admit counts a connection as open. At the limit it first waits for a place, as long as one can be freed soon.
func (l *Listener) admit(c *Client) {
	spare := max(cap(l.slots)-l.limit, 1)
	deadline := time.Now().Add(maxAdmitWait * time.Duration(min(cap(l.slots)-len(l.slots)+1, spare)) / time.Duration(spare))
	for {
		l.mu.Lock()
		wait := time.Duration(0)
		if l.openCount >= l.limit {
			wait = min(l.evict(), time.Until(deadline))
		}
		if wait <= 0 {
			l.openCount++
			c.OverLimit = l.openCount > l.limit
			hasRoom := l.openCount < l.limit
			l.mu.Unlock()
			if hasRoom {
				l.signalRoom()
			}
			return
		}
		l.mu.Unlock()
		select {
		case <-l.roomFreed:
		case <-time.After(wait):
		}
	}
}

// signalRoom wakes a client that waits in admit.
func (l *Listener) signalRoom() {
	select {
	case l.roomFreed <- struct{}{}:
	default:
	}
}

// Stop makes Accept stop listening as soon as the accept queue is empty, and by the deadline at the latest. Clients in the
// queue may already have sent their requests, and a close would reset them, so accepting continues even after temporary
// failures.
func (l *Listener) Stop(deadline time.Time) {
	l.mu.Lock()
	l.stopDeadline = deadline
	l.mu.Unlock()
	l.keepAccepting()
}

// stopping reports whether Stop has been called.
func (l *Listener) stopping() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.stopDeadline.IsZero()
}

// keepAccepting reports whether Accept should continue. After Stop it limits the wait of the next Accept to
// emptyQueueTimeout; once the deadline has passed, it closes the listener and returns false.
func (l *Listener) keepAccepting() bool {
	l.mu.Lock()
	deadline := l.stopDeadline
	l.mu.Unlock()
	if deadline.IsZero() {
		return true
	}
	if !time.Now().Before(deadline) || !setAcceptTimeout(l.ln, emptyQueueTimeout) {
		l.ln.Close()
		return false
	}
	return true
}
