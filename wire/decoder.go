package wire

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"time"

	"burlpass/decide"
)

// Op is the kind of a Record.
type Op uint8

// The kinds of records that a Decoder passes on. It resolves server lists and addressing records itself.
const (
	Launch  Op = iota + 1 // start an instance; Seed and Settings are set
	Down                  // stop the instance
	Deliver               // handle an event; Event is set
)

// Record is one record of a batch, addressed to an instance.
type Record struct {
	Op       Op
	Instance uint16
	Seed     uint64
	Settings []byte
	Event    decide.Event
}

// Decoder reads batches. Slices in records are valid until the next call of Batch; server lists are valid until
// a list with the same number is received.
type Decoder struct {
	r        *bufio.Reader
	buf      []byte
	lists    [maxServerLists][]decide.Server
	received [maxServerLists]bool
	clock    uint64
}

// NewDecoder returns a Decoder that reads from r.
func NewDecoder(r io.Reader) *Decoder {
	return &Decoder{r: bufio.NewReaderSize(r, 1<<16)}
}

// Batch reads one batch and calls handle for each of its records in order. It returns the batch's clock, or
// io.EOF if the input ends between batches.
func (d *Decoder) Batch(handle func(now time.Duration, rec *Record) error) (time.Duration, error) {
	var header [batchHeaderSize]byte
	if _, err := io.ReadFull(d.r, header[:]); err != nil {
		if err == io.EOF {
			return 0, io.EOF
		}
		return 0, fmt.Errorf("batch header: %w", err)
	}
	clock := binary.LittleEndian.Uint64(header[:])
	size := binary.LittleEndian.Uint32(header[8:])
	count := binary.LittleEndian.Uint32(header[12:])
	switch {
	case clock > maxClockMicros:
		return 0, fmt.Errorf("batch header: clock %d is out of range", clock)
	case clock < d.clock:
		return 0, fmt.Errorf("batch header: clock went backwards from %d to %d", d.clock, clock)
	case size < 4:
		return 0, fmt.Errorf("batch header: length %d is too short for the count", size)
	case size > maxFrameSize:
		return 0, fmt.Errorf("batch header: length %d exceeds %d", size, maxFrameSize)
	case uint64(count)*5 > uint64(size-4):
		return 0, fmt.Errorf("batch header: %d records do not fit into %d bytes", count, size)
	}
	d.clock = clock
	size -= 4 // the length includes the count
	if err := d.readBody(int(size)); err != nil {
		return 0, fmt.Errorf("batch of %d bytes: %w", size, err)
	}
	now := fromMicros(clock)
	rest := d.buf
	instance, addressed := uint16(0), false
	var rec Record
	for i := uint32(0); i < count; i++ {
		if len(rest) < 5 {
			return 0, fmt.Errorf("record %d: header truncated", i)
		}
		code, n := rest[0], binary.LittleEndian.Uint32(rest[1:])
		if uint64(n) > uint64(len(rest)-5) {
			return 0, fmt.Errorf("record %d (code %d): %d bytes of fields, %d left in the batch",
				i, code, n, len(rest)-5)
		}
		c := cursor{data: rest[5 : 5+n]}
		rest = rest[5+n:]
		switch code {
		case eventTarget:
			instance, addressed = c.u16(), true
			if err := c.finish(); err != nil {
				return 0, fmt.Errorf("record %d (target_instance): %w", i, err)
			}
			continue
		case eventServerList:
			if err := d.decodeServerList(&c); err != nil {
				return 0, fmt.Errorf("record %d (census): %w", i, err)
			}
			continue
		}
		if !addressed {
			return 0, fmt.Errorf("record %d (code %d): no preceding target_instance", i, code)
		}
		rec = Record{Op: Deliver, Instance: instance}
		if err := d.decodeRecord(code, &c, &rec); err != nil {
			return 0, fmt.Errorf("record %d: %w", i, err)
		}
		if err := handle(now, &rec); err != nil {
			return 0, fmt.Errorf("record %d: %w", i, err)
		}
	}
	if len(rest) > 0 {
		return 0, fmt.Errorf("batch: %d bytes after the last record", len(rest))
	}
	return now, nil
}

// readBody reads size bytes into the buffer. The buffer grows only as bytes arrive, so that a corrupt length field
// cannot cause a large allocation.
func (d *Decoder) readBody(size int) error {
	d.buf = d.buf[:0]
	for len(d.buf) < size {
		n := min(size-len(d.buf), max(readChunkSize, cap(d.buf)-len(d.buf)))
		offset := len(d.buf)
		if cap(d.buf) < offset+n {
			d.buf = append(make([]byte, 0, 2*(offset+n)), d.buf...)
		}
		d.buf = d.buf[:offset+n]
		if _, err := io.ReadFull(d.r, d.buf[offset:]); err != nil {
			if err == io.EOF {
				err = io.ErrUnexpectedEOF
			}
			return err
		}
	}
	return nil
}
