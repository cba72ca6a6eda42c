package wire

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"time"

	"burlpass/decide"
)

func fromMicros(v uint64) time.Duration { return time.Duration(v) * time.Microsecond }

// cursor reads the fields of one record. truncated is set by a read past the end; later reads return zero values.
type cursor struct {
	data      []byte
	truncated bool
}

var errTruncated = errors.New("fields truncated")

func (c *cursor) bytes(n int64) []byte {
	if c.truncated || n > int64(len(c.data)) {
		c.truncated, c.data = true, nil
		return nil
	}
	v := c.data[:n:n]
	c.data = c.data[n:]
	return v
}

func (c *cursor) u8() uint8 {
	if v := c.bytes(1); v != nil {
		return v[0]
	}
	return 0
}

func (c *cursor) u16() uint16 {
	if v := c.bytes(2); v != nil {
		return binary.LittleEndian.Uint16(v)
	}
	return 0
}

func (c *cursor) u32() uint32 {
	if v := c.bytes(4); v != nil {
		return binary.LittleEndian.Uint32(v)
	}
	return 0
}

func (c *cursor) u64() uint64 {
	if v := c.bytes(8); v != nil {
		return binary.LittleEndian.Uint64(v)
	}
	return 0
}

// attempt reads the request ID, attempt number and server that identify an attempt.
func (c *cursor) attempt(e *decide.Event) {
	e.ID, e.Attempt, e.Server = c.u64(), int(c.u16()), decide.ServerID(c.u32())
}

// floats reads a one-byte count and that many 32-bit floats.
func (c *cursor) floats() []float32 {
	n := int(c.u8())
	raw := c.bytes(int64(4 * n))
	if n == 0 || c.truncated {
		return nil
	}
	v := make([]float32, n)
	for i := range v {
		v[i] = math.Float32frombits(binary.LittleEndian.Uint32(raw[4*i:]))
	}
	return v
}

// finish returns an error unless the fields filled the record exactly.
func (c *cursor) finish() error {
	switch {
	case c.truncated:
		return errTruncated
	case len(c.data) > 0:
		return fmt.Errorf("%d bytes after the last field", len(c.data))
	}
	return nil
}
