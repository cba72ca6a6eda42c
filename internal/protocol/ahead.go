package protocol

import (
	"errors"

	"burlpass/internal/memory"
	"burlpass/internal/transport"
)

// Limits on what is read of a long message before an attempt asks for it.
const (
	maxUploadAhead = 8 << 20  // bytes of one message: more than the systems on both sides hold by default
	maxAheadPiece  = 64 << 10 // bytes taken from the memory budget at a time
	minAheadPiece  = 4 << 10
)

// errUploadStarted means that an attempt reads the message, or that nobody may read it any more.
var errUploadStarted = errors.New("the message is already being read, or no longer read")

// aheadQueue holds bytes that were read from a client before anyone asked for them. The zero value is empty.
type aheadQueue struct {
	pieces []*aheadPiece // oldest first
	size   int           // bytes held in all of them
}

// aheadPiece is a block of memory of which unread[:] has not been consumed.
type aheadPiece struct {
	unread []byte
	grant  memory.Grant
}

// fill reads once from the connection, which must have unread bytes, into memory of the budget. It returns errNoRoomAhead
// where there is none.
func (q *aheadQueue) fill(budget *memory.Budget, conn *transport.Client) (int, error) {
	last, err := q.withRoom(budget, conn)
	if err != nil {
		return 0, err
	}
	n, err := conn.Read(last.unread[len(last.unread):cap(last.unread)])
	last.unread = last.unread[:len(last.unread)+n]
	q.size += n
	if len(last.unread) == 0 {
		last.grant.Release()
		q.pieces = q.pieces[:len(q.pieces)-1]
	}
	return n, err
}

// withRoom returns the last piece, or a new one if that is full.
func (q *aheadQueue) withRoom(budget *memory.Budget, conn *transport.Client) (*aheadPiece, error) {
	if n := len(q.pieces); n > 0 && len(q.pieces[n-1].unread) < cap(q.pieces[n-1].unread) {
		return q.pieces[n-1], nil
	}
	size := maxAheadPiece
	if unread, known := conn.UnreadBytes(); known {
		size = min(max(unread, minAheadPiece), maxAheadPiece)
	}
	piece := &aheadPiece{}
	if q.size+size > maxUploadAhead || !budget.TryAcquire(&piece.grant, memory.Transfers, int64(size)) {
		return nil, errNoRoomAhead
	}
	piece.unread = make([]byte, 0, size)
	q.pieces = append(q.pieces, piece)
	return piece, nil
}

// take moves the oldest bytes to b and gives back the memory of each piece that has been consumed.
func (q *aheadQueue) take(b []byte) int {
	first := q.pieces[0]
	n := copy(b, first.unread)
	first.unread = first.unread[n:]
	q.size -= n
	if len(first.unread) == 0 {
		first.grant.Release()
		q.pieces = q.pieces[1:]
	}
	return n
}

// release drops everything.
func (q *aheadQueue) release() {
	for _, piece := range q.pieces {
		piece.grant.Release()
	}
	*q = aheadQueue{}
}

// held returns the number of bytes that have been read from the connection and that Read has not returned yet.
func (s *clientSource) held() int {
	if s == nil {
		return 0
	}
	return len(s.replay) + s.ahead.size
}

// readAhead reads a piece of the message, if no attempt has begun to read it, so that what follows it becomes visible. It is
// called when unread bytes are available.
func (u *upload) readAhead() error {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.started || u.stopped {
		return errUploadStarted
	}
	n, err := u.source.ahead.fill(u.memory, u.conn)
	u.source.recordArrival(n)
	if n > 0 {
		return nil // the error is returned again by the next read
	}
	return err
}

// isHeld reports whether the whole message is known to have been read from the connection. An end in chunks is not looked for.
func (u *upload) isHeld() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return !u.started && !u.body.chunked && u.body.remaining <= int64(u.body.r.Buffered()+u.source.held())
}
