package wire

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"time"

	"burlpass/decide"
)

func micros(v uint64) time.Duration { return time.Duration(v) * time.Microsecond }

// cursor reads the fields of one record; short is set once a read went past the end.
type cursor struct {
	b     []byte
	short bool
}

var errShort = errors.New("fields cut short")

func (c *cursor) bytes(n int64) []byte {
	if c.short || n > int64(len(c.b)) {
		c.short, c.b = true, nil
		return nil
	}
	v := c.b[:n:n]
	c.b = c.b[n:]
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

func (c *cursor) attempt(e *decide.Event) {
	e.ID, e.Attempt, e.Server = c.u64(), int(c.u16()), decide.ServerID(c.u32())
}

func (c *cursor) floats() []float32 {
	n := int(c.u8())
	raw := c.bytes(int64(4 * n))
	if n == 0 || c.short {
		return nil
	}
	v := make([]float32, n)
	for i := range v {
		v[i] = math.Float32frombits(binary.LittleEndian.Uint32(raw[4*i:]))
	}
	return v
}

func (c *cursor) end() error {
	switch {
	case c.short:
		return errShort
	case len(c.b) > 0:
		return fmt.Errorf("%d bytes after the last field", len(c.b))
	}
	return nil
}
