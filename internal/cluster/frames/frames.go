// Package frames guards what members of a cluster say to one another against bytes that a network spoils and TCP's sum of 16
// bits lets through: raft's messages, a handed-on write or an age have no checksum of their own. Whoever dials sends a preface
// and then frames, and is answered in frames; a connection without the preface is left as it is, so that the address answers
// curl as well.
package frames

import (
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"hash/crc32"
	"io"
	"net"
	"sync"
	"sync/atomic"

	"burlpass/internal/transport"
)

const (
	preface         = "\x00burlpass-1\n" // no request begins with a zero byte
	headerBytes     = 8                  // length and its complement, two bytes each, and a CRC-32C over the payload
	maxPayloadBytes = 16 << 10           // of a payload
)

// ErrSpoilt is a frame that is not what was sent. The connection is of no use any more.
var ErrCorrupted = errors.New("bytes were spoilt on the way")

// Dial makes a connection of a dialer's one that speaks frames.
func Dial(dial func(ctx context.Context, network, addr string) (net.Conn, error)) func(ctx context.Context, network, addr string) (net.Conn, error) {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: c, table: crc32.MakeTable(crc32.Castagnoli), dialed: true, framed: newAtomicBool(true)}, nil
	}
}

// Listen gives the connections of a listener, in frames where whoever dialled speaks them.
func Listen(l net.Listener) net.Listener { return listener{l} }

type listener struct{ net.Listener }

func (l listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, table: crc32.MakeTable(crc32.Castagnoli), framed: newAtomicBool(false)}, nil
}

func newAtomicBool(framed bool) *atomic.Bool {
	m := &atomic.Bool{}
	m.Store(framed)
	return m
}

// conn is one end. What was read of an unfinished frame is kept, for reads may be broken off by a deadline and go on.
type conn struct {
	net.Conn
	table  *crc32.Table
	dialed bool
	framed *atomic.Bool // of who has accepted, known after the first read, which comes before the first write

	readMu         sync.Mutex
	prefaceChecked bool   // whether the preface was there
	undecoded      []byte // read and not looked at
	decoded        []byte // payload that nobody has had
	corrupted      bool

	writeMu     sync.Mutex
	prefaceSent bool // the preface was sent
	writeBuffer []byte
}

func (c *conn) Read(b []byte) (int, error) {
	c.readMu.Lock()
	defer c.readMu.Unlock()
	for len(b) > 0 {
		if len(c.decoded) > 0 {
			n := copy(b, c.decoded)
			c.decoded = c.decoded[n:]
			return n, nil
		}
		if err := c.decode(); err != nil {
			return 0, err
		}
		if len(c.decoded) > 0 {
			continue
		}
		if c.prefaceChecked && !c.framed.Load() {
			return c.Conn.Read(b)
		}
		n, err := c.fill()
		if n == 0 && errors.Is(err, io.EOF) && len(c.undecoded) > 0 {
			return 0, io.ErrUnexpectedEOF
		}
		if n == 0 && err != nil {
			return 0, err
		}
	}
	return 0, nil
}

// fill reads what there is.
func (c *conn) fill() (int, error) {
	var chunk [4 << 10]byte
	n, err := c.Conn.Read(chunk[:])
	c.undecoded = append(c.undecoded, chunk[:n]...)
	return n, err
}

// parse takes a preface or a frame from raw, if a whole one is there.
func (c *conn) decode() error {
	switch {
	case c.corrupted:
		return ErrCorrupted
	case !c.prefaceChecked && c.dialed:
		c.prefaceChecked = true
	case !c.prefaceChecked && len(c.undecoded) > 0 && c.undecoded[0] != preface[0]:
		c.prefaceChecked, c.decoded, c.undecoded = true, c.undecoded, nil
		return nil
	case !c.prefaceChecked && len(c.undecoded) >= len(preface):
		if c.corrupted = !bytes.HasPrefix(c.undecoded, []byte(preface)); c.corrupted {
			return ErrCorrupted
		}
		c.framed.Store(true)
		c.prefaceChecked, c.undecoded = true, c.undecoded[len(preface):]
	}
	if !c.prefaceChecked || !c.framed.Load() || len(c.undecoded) < headerBytes {
		return nil
	}
	n := int(binary.BigEndian.Uint16(c.undecoded))
	if n^0xffff != int(binary.BigEndian.Uint16(c.undecoded[2:])) || n > maxPayloadBytes || n == 0 {
		c.corrupted = true
		return ErrCorrupted
	}
	if len(c.undecoded) < headerBytes+n {
		return nil
	}
	payload := c.undecoded[headerBytes : headerBytes+n]
	if crc32.Checksum(payload, c.table) != binary.BigEndian.Uint32(c.undecoded[4:]) {
		c.corrupted = true
		return ErrCorrupted
	}
	c.decoded, c.undecoded = payload, c.undecoded[headerBytes+n:]
	return nil
}

// Write sends b in as many frames as it takes, by one call each. The preface goes with the first.
func (c *conn) Write(b []byte) (int, error) {
	if !c.framed.Load() {
		return c.Conn.Write(b)
	}
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	for sent := 0; sent < len(b); {
		part := b[sent:min(len(b), sent+maxPayloadBytes)]
		c.writeBuffer = c.writeBuffer[:0]
		if c.dialed && !c.prefaceSent {
			c.writeBuffer = append(c.writeBuffer, preface...)
		}
		c.writeBuffer = binary.BigEndian.AppendUint16(c.writeBuffer, uint16(len(part)))
		c.writeBuffer = binary.BigEndian.AppendUint16(c.writeBuffer, ^uint16(len(part)))
		c.writeBuffer = binary.BigEndian.AppendUint32(c.writeBuffer, crc32.Checksum(part, c.table))
		c.writeBuffer = append(c.writeBuffer, part...)
		if _, err := c.Conn.Write(c.writeBuffer); err != nil {
			return sent, err // where a frame went in part, the other side finds it spoilt
		}
		c.prefaceSent = true
		sent += len(part)
	}
	return len(b), nil
}

// CloseWrite ends this side's direction, as of a TCP connection.
func (c *conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// Quiet tells that nothing has come that was not read. It is for who does not read meanwhile.
func (c *conn) Quiet() bool {
	if !c.readMu.TryLock() {
		return true
	}
	defer c.readMu.Unlock()
	return len(c.undecoded) == 0 && len(c.decoded) == 0 && transport.Quiet(c.Conn)
}
