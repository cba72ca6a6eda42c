package wire

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"time"

	"burlpass/decide"
)

// Op says what a Record is.
type Op uint8

// The records as the caller sees them: lists and addressing are resolved by the Decoder.
const (
	Launch Op = iota + 1 // Seed, Settings
	Down
	Deliver // Event
)

// Record is one record of a batch, addressed to an instance.
type Record struct {
	Op       Op
	Instance uint16
	Seed     uint64
	Settings []byte
	Event    decide.Event
}

// Decoder reads batches. Slices inside the records stay valid until the next call of Batch, those of
// server lists until the list's number is used again.
type Decoder struct {
	r     *bufio.Reader
	buf   []byte
	lists [maxLists][]decide.Server
	known [maxLists]bool
	clock uint64
}

// NewDecoder returns a Decoder that reads from r.
func NewDecoder(r io.Reader) *Decoder {
	return &Decoder{r: bufio.NewReaderSize(r, 1<<16)}
}

// Batch reads one batch and calls f for each of its records in order. It returns the batch's clock, and
// io.EOF where the input ends between two batches.
func (d *Decoder) Batch(f func(now time.Duration, rec *Record) error) (time.Duration, error) {
	var head [batchHeader]byte
	if _, err := io.ReadFull(d.r, head[:]); err != nil {
		if err == io.EOF {
			return 0, io.EOF
		}
		return 0, fmt.Errorf("batch header: %w", err)
	}
	clock := binary.LittleEndian.Uint64(head[:])
	size := binary.LittleEndian.Uint32(head[8:])
	count := binary.LittleEndian.Uint32(head[12:])
	switch {
	case clock > maxClock:
		return 0, fmt.Errorf("batch header: clock %d is out of range", clock)
	case clock < d.clock:
		return 0, fmt.Errorf("batch header: clock went back from %d to %d", d.clock, clock)
	case size < 4:
		return 0, fmt.Errorf("batch header: length %d does not cover the count", size)
	case size > maxFrame:
		return 0, fmt.Errorf("batch header: length %d is over %d", size, maxFrame)
	case uint64(count)*5 > uint64(size-4):
		return 0, fmt.Errorf("batch header: %d records do not fit into %d bytes", count, size)
	}
	d.clock = clock
	size -= 4 // the length counts the count
	if err := d.fill(int(size)); err != nil {
		return 0, fmt.Errorf("batch of %d bytes: %w", size, err)
	}
	now := micros(clock)
	rest := d.buf
	instance, addressed := uint16(0), false
	var rec Record
	for i := uint32(0); i < count; i++ {
		if len(rest) < 5 {
			return 0, fmt.Errorf("record %d: header cut short", i)
		}
		code, n := rest[0], binary.LittleEndian.Uint32(rest[1:])
		if uint64(n) > uint64(len(rest)-5) {
			return 0, fmt.Errorf("record %d (code %d): %d bytes of fields, %d left in the batch",
				i, code, n, len(rest)-5)
		}
		c := cursor{b: rest[5 : 5+n]}
		rest = rest[5+n:]
		switch code {
		case eventTarget:
			instance, addressed = c.u16(), true
			if err := c.end(); err != nil {
				return 0, fmt.Errorf("record %d (target_instance): %w", i, err)
			}
			continue
		case eventServerList:
			if err := d.serverList(&c); err != nil {
				return 0, fmt.Errorf("record %d (census): %w", i, err)
			}
			continue
		}
		if !addressed {
			return 0, fmt.Errorf("record %d (code %d): no target_instance before it", i, code)
		}
		rec = Record{Op: Deliver, Instance: instance}
		if err := d.decode(code, &c, &rec); err != nil {
			return 0, fmt.Errorf("record %d: %w", i, err)
		}
		if err := f(now, &rec); err != nil {
			return 0, fmt.Errorf("record %d: %w", i, err)
		}
	}
	if len(rest) > 0 {
		return 0, fmt.Errorf("batch: %d bytes after its last record", len(rest))
	}
	return now, nil
}

// fill reads size bytes into the buffer, growing it only as bytes arrive, so that a false length field
// cannot make it allocate.
func (d *Decoder) fill(size int) error {
	d.buf = d.buf[:0]
	for len(d.buf) < size {
		n := min(size-len(d.buf), max(readChunk, cap(d.buf)-len(d.buf)))
		at := len(d.buf)
		if cap(d.buf) < at+n {
			d.buf = append(make([]byte, 0, 2*(at+n)), d.buf...)
		}
		d.buf = d.buf[:at+n]
		if _, err := io.ReadFull(d.r, d.buf[at:]); err != nil {
			if err == io.EOF {
				err = io.ErrUnexpectedEOF
			}
			return err
		}
	}
	return nil
}
