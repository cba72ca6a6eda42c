package protocol

import (
	"errors"
	"time"

	"burlpass/internal/transport"
)

// clientState is check for the moment right before an attempt. While a long message has not been read, it looks behind the
// message, which check does not.
func (w *disconnectWatcher) clientState() ClientState {
	if state, known := w.uploadClientState(); known {
		return state
	}
	return w.check()
}

// Limits on the check whether a client whose message has not been read is still there.
const (
	maxPresenceAge  = 50 * time.Millisecond // for which a client that was there needs no further check; half of what is allowed for an attempt
	quietCheckDelay = time.Millisecond      // after a check that finds no unread bytes
	maxQuietChecks  = int(settleTime / quietCheckDelay)
	maxAheadReads   = 1000 // of one check; a client that always has bytes cannot hold it up for longer
)

// uploadClientState checks for a disconnect behind a long message of which no attempt has read anything: it reads the message ahead
// until the client's system has nothing left to send. The second result is false where the message does not stand in the way.
func (w *disconnectWatcher) uploadClientState() (ClientState, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	u := w.client.upload
	if u == nil || u.source == nil || w.answered || w.gone || w.mayReadAhead || time.Since(u.presentAt) < maxPresenceAge {
		return 0, false
	}
	for reads, quiet := 0, 0; reads < maxAheadReads; {
		switch w.client.Pending() {
		case transport.PendingEnd:
			w.markDisconnected()
			return ClientDisconnected, true
		case transport.PendingBytes:
			reads++
			err := u.readAhead()
			switch {
			case errors.Is(err, errUploadStarted):
				return 0, false
			case errors.Is(err, errNoRoomAhead):
				return w.stateBehindUnread(), true
			case err != nil && !isTimeout(err):
				w.markDisconnected()
				return ClientDisconnected, true
			}
		case transport.PendingNone:
			if quiet++; quiet > maxQuietChecks || u.isHeld() {
				u.presentAt = time.Now()
				return ClientConnected, true
			}
			time.Sleep(quietCheckDelay)
		default:
			return 0, false
		}
	}
	return w.stateBehindUnread(), true
}

// stateBehindUnread returns what the kernel knows of a client whose bytes cannot be read. The lock must be held.
func (w *disconnectWatcher) stateBehindUnread() ClientState {
	if w.isPeerOpen() {
		return ClientUnknown
	}
	return ClientDisconnected
}
