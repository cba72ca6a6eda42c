// Package frames protects the connections between members of a cluster against corruption that the 16-bit checksum of TCP
// misses: raft messages, forwarded writes and ages have no checksum of their own. The dialing side sends a preface followed
// by frames, and receives frames. A connection without the preface is passed through unchanged, so that the same address also
// serves plain HTTP clients such as curl.
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
	preface         = "\x00burlpass-1\n" // starts with a zero byte, which no HTTP request does
	headerBytes     = 8                  // 16-bit length, its complement and a CRC-32C of the payload
	maxPayloadBytes = 16 << 10
)

// ErrCorrupted reports a frame that was altered in transit. The connection cannot be used any further.
var ErrCorrupted = errors.New("bytes were spoilt on the way")

// Dial wraps a dial function so that its connections send and receive frames.
func Dial(dial func(ctx context.Context, network, addr string) (net.Conn, error)) func(ctx context.Context, network, addr string) (net.Conn, error) {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: c, table: crc32.MakeTable(crc32.Castagnoli), dialed: true, framed: newAtomicBool(true)}, nil
	}
}

// Listen wraps a listener so that its connections use frames if the dialing side does.
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

// conn is one end of a connection. It keeps a partially received frame, so that a read interrupted by a deadline can resume.
type conn struct {
	net.Conn
	table  *crc32.Table
	dialed bool
	framed *atomic.Bool // on an accepted connection set by the first read, which precedes the first write

	readMu         sync.Mutex
	prefaceChecked bool   // whether the presence of the preface is known
	undecoded      []byte // received bytes
	decoded        []byte // payload not yet returned by Read
	corrupted      bool

	writeMu     sync.Mutex
	prefaceSent bool
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

// fill reads the available bytes into undecoded.
func (c *conn) fill() (int, error) {
	var chunk [4 << 10]byte
	n, err := c.Conn.Read(chunk[:])
	c.undecoded = append(c.undecoded, chunk[:n]...)
	return n, err
}

// decode consumes the preface or a complete frame from undecoded, if there is one.
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

// Write sends b in one or more frames with one write each. The first one includes the preface.
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
			return sent, err // the peer detects a partially sent frame as corrupted
		}
		c.prefaceSent = true
		sent += len(part)
	}
	return len(b), nil
}

// CloseWrite closes the write side, as on a TCP connection.
func (c *conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// Quiet reports whether there is no unread data. It is meant for callers that do not read concurrently.
func (c *conn) Quiet() bool {
	if !c.readMu.TryLock() {
		return true
	}
	defer c.readMu.Unlock()
	return len(c.undecoded) == 0 && len(c.decoded) == 0 && transport.Quiet(c.Conn)
}
