package relay

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// pieces is how many writes a second a limited rate is cut into.
const pieces = 20

// line is one direction of a relay: the fault that is on it, for all connections.
type line struct {
	mu      sync.Mutex
	fault   Fault
	serial  int           // counts the faults set
	changed chan struct{} // closed when the fault changes
}

func newLine() *line { return &line{changed: make(chan struct{})} }

func (l *line) set(f Fault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fault = f
	l.serial++
	close(l.changed)
	l.changed = make(chan struct{})
}

func (l *line) now() (Fault, int, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fault, l.serial, l.changed
}

// state is what holds for a connection's next bytes.
type state struct {
	Fault
	serial int
}

// pass waits until the direction is not cut and gives the fault that is on it then; false where ctx ends before.
func (l *line) pass(ctx context.Context) (state, bool) {
	for {
		fault, serial, changed := l.now()
		if !fault.Cut {
			return state{fault, serial}, ctx.Err() == nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return state{}, false
		}
	}
}

// chunk is some bytes of one direction under way.
type chunk struct {
	data []byte
	due  time.Time // not passed on before
	err  error     // after the data: io.EOF where the sender has closed in order
}

// carry takes the bytes of one direction of a connection, in order, until it ends.
func (l *line) carry(k *link, src, dst *net.TCPConn, seed uint64) {
	queue := make(chan chunk, maxChunks)
	var reading sync.WaitGroup
	reading.Go(func() {
		defer close(queue)
		l.read(k, src, queue, rand.New(rand.NewPCG(seed, 1)))
	})
	out := &outlet{line: l, link: k, dst: dst, chance: rand.New(rand.NewPCG(seed, 2))}
	if !out.drain(queue) {
		k.reset()
	}
	reading.Wait()
}

// read fills the queue. While the direction is cut it reads nothing, so that the sender feels it.
func (l *line) read(k *link, src *net.TCPConn, queue chan<- chunk, chance *rand.Rand) {
	var last time.Time
	for {
		fault, ok := l.pass(k.ctx)
		if !ok {
			return
		}
		buf := make([]byte, chunkSize)
		n, err := src.Read(buf)
		// The fault of now, not of before: a read may have waited for long.
		fault.Fault, _, _ = l.now()
		due := time.Now().Add(fault.Delay)
		if fault.Jitter > 0 {
			due = due.Add(time.Duration(chance.Int64N(int64(fault.Jitter))))
		}
		if due.Before(last) {
			due = last
		}
		last = due
		select {
		case queue <- chunk{buf[:n], due, err}:
		case <-k.ctx.Done():
			return
		}
		if err != nil {
			return
		}
	}
}

// outlet is the far end of one direction of one connection.
type outlet struct {
	line   *line
	link   *link
	dst    *net.TCPConn
	chance *rand.Rand

	serial int   // of the fault that the counts belong to
	passed int64 // bytes since it was set
	spoil  int64 // bytes until the next one is spoilt
}

// drain passes on what comes by the queue, and true means: to its end in order, which the other side has been told.
func (o *outlet) drain(queue <-chan chunk) bool {
	for c := range queue {
		if !o.wait(time.Until(c.due)) || !o.write(c.data) {
			return false
		}
		switch {
		case c.err == nil:
		case errors.Is(c.err, io.EOF):
			if _, ok := o.line.pass(o.link.ctx); !ok {
				return false
			}
			return o.dst.CloseWrite() == nil
		default:
			return false
		}
	}
	return false
}

// wait returns false where the connection ends before.
func (o *outlet) wait(d time.Duration) bool {
	if d <= 0 {
		return o.link.ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-o.link.ctx.Done():
		return false
	}
}

// write passes data on under the faults that hold while it does.
func (o *outlet) write(data []byte) bool {
	for len(data) > 0 {
		s, ok := o.line.pass(o.link.ctx)
		if !ok {
			return false
		}
		if s.serial != o.serial {
			o.serial, o.passed, o.spoil = s.serial, 0, 0
		}
		part := data
		if s.Rate > 0 {
			part = part[:min(len(part), max(1, s.Rate/pieces))]
		}
		reset := s.ResetAfter > 0 && o.passed+int64(len(part)) >= s.ResetAfter
		if reset {
			part = part[:max(0, s.ResetAfter-o.passed)]
		}
		o.spoilt(part, s.SpoilEvery)
		if _, err := o.dst.Write(part); err != nil || reset {
			return false
		}
		o.passed += int64(len(part))
		data = data[len(part):]
		if s.Rate > 0 && !o.wait(time.Duration(len(part))*time.Second/time.Duration(s.Rate)) {
			return false
		}
	}
	return true
}

// spoilt turns bits of data in place, one in every so many bytes.
func (o *outlet) spoilt(data []byte, every int64) {
	if every <= 0 {
		return
	}
	for at := int64(0); ; {
		if o.spoil == 0 {
			o.spoil = 1 + o.chance.Int64N(2*every)
		}
		if at+o.spoil > int64(len(data)) {
			o.spoil -= int64(len(data)) - at
			return
		}
		at += o.spoil
		o.spoil = 0
		data[at-1] ^= 1 << o.chance.IntN(8)
	}
}
