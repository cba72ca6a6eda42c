package protocol

import (
	"bufio"
	"bytes"
	"context"
	"runtime"
	"sync"
	"time"

	"burlpass/internal/memory"
)

const (
	connectionBuffer = 1 << 10                // bytes of the read buffer that every client's connection has
	bufferGrowth     = 8                      // factor by which the buffer grows for requests that were sent ahead
	chunksBuffer     = 16 << 10               // bytes of the read buffer for a body in chunks, of which many may come together
	maxMemoryWait    = 250 * time.Millisecond // for memory that others are to give back
	maxEvictions     = 8                      // of clients that have stopped within a request, for one that waits for memory
	minPiece         = 4 << 10                // bytes in transit of a long message that every connection may have
)

// errNoMemory is the response to a request for which there is no memory. No part of it was sent to a worker.
var errNoMemory = &httpError{503, "no memory for the request"}

// reserve takes memory for the current request. Where there is none, clients that have stopped within a request are ended, and
// the request waits a little for what they and others give back.
func (c *client) reserve(kind memory.Kind, bytes int) error {
	if c.Memory.TryAcquire(&c.grant, kind, int64(bytes)) {
		return nil
	}
	c.EvictStalled(maxEvictions)
	ctx, cancel := context.WithTimeout(context.Background(), maxMemoryWait)
	defer cancel()
	if c.Memory.Acquire(ctx, &c.grant, kind, int64(bytes)) {
		return nil
	}
	return errNoMemory
}

// reserveHead takes memory for a head that is larger than usual.
func (c *client) reserveHead(bytes int) error { return c.reserve(memory.Heads, bytes) }

// reserveBody takes memory for a body, or the beginning of one.
func (c *client) reserveBody(bytes int) error {
	if bytes <= memory.SmallBody {
		return c.reserve(memory.Heads, bytes)
	}
	return c.reserve(memory.Bodies, bytes)
}

// releaseRequest drops what the last request has left behind: an idle connection holds nearly nothing.
func (c *client) releaseRequest() {
	c.head.shrink()
	if cap(c.body) > initialHeadBytes {
		c.body = nil
	}
	c.grant.Release()
}

// growBuffer gives the connection a larger buffer of the given size. It reports whether there was memory.
func (c *client) growBuffer(size int) bool {
	if !c.Memory.TryAcquire(&c.aheadGrant, memory.Transfers, int64(size-c.r.Size())) {
		return false
	}
	buffered, _ := c.r.Peek(c.r.Buffered())
	c.source.replay = append(bytes.Clone(buffered), c.source.replay...)
	c.r = bufio.NewReaderSize(&c.source, size)
	c.r.Peek(1) // moves all replayed bytes into the buffer
	return true
}

// shrinkBuffer returns to the connection's original buffer once the larger one is empty.
func (c *client) shrinkBuffer() {
	if c.r != c.smallReader && c.r.Buffered() == 0 {
		c.smallReader.Reset(&c.source)
		c.r = c.smallReader
		c.aheadGrant.Release()
	}
}

// pieceBuffer returns a buffer for the pieces of a long message: of the wanted size if there is memory, which then belongs to
// the grant, and of minPiece otherwise.
func pieceBuffer(budget *memory.Budget, grant *memory.Grant, wanted int) []byte {
	if !budget.TryAcquire(grant, memory.Transfers, int64(wanted)) {
		wanted = minPiece
	}
	return make([]byte, wanted)
}

// discardBuffers are used by reads whose bytes nobody looks at. A reader takes one only when there is something to read.
var discardBuffers = sync.Pool{New: func() any { return new([discardBufferSize]byte) }}

// discard waits for input and drops a piece of it.
func (c *client) discard() (int, error) {
	runtime.Gosched() // input that is always there would keep the processor
	if n := c.r.Buffered(); n > 0 {
		return c.r.Discard(n)
	}
	if c.source.held() == 0 {
		if err := c.AwaitInput(); err != nil {
			return 0, err
		}
	}
	buffer := discardBuffers.Get().(*[discardBufferSize]byte)
	defer discardBuffers.Put(buffer)
	return c.source.Read(buffer[:])
}
