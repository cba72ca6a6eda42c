package link

import (
	"net"
	"sync"
	"time"

	"github.com/hashicorp/raft"

	"burlpass/internal/transport"
)

// incoming is a connection from another voter. It sets the deadlines, because raft sets none on accepted connections.
type incoming struct {
	net.Conn
	l *Layer
}

func (c *incoming) Read(b []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(idleTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Read(b)
}

func (c *incoming) Write(b []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

func (c *incoming) Close() error {
	c.l.remove(c)
	return c.Conn.Close()
}

// idleCheckAfter is how long a connection must have been unused to be checked before its next use.
const idleCheckAfter = time.Second

// outgoing is a connection to another voter. Raft pools some of them for the next election, which may be days away. By then
// the other process may have been restarted, and a vote request over a dead connection delays the election. So an idle
// connection that the other side has closed is dialled again before its next use.
type outgoing struct {
	l       *Layer
	to      raft.ServerAddress
	timeout time.Duration

	mu                          sync.Mutex
	conn                        net.Conn
	lastUsed                    time.Time
	activeReads                 int // Read calls in progress
	readDeadline, writeDeadline time.Time
	closed                      bool
}

func (c *outgoing) Read(b []byte) (int, error) {
	c.mu.Lock()
	conn := c.conn
	c.activeReads++
	c.mu.Unlock()
	n, err := conn.Read(b)
	c.mu.Lock()
	c.activeReads--
	c.lastUsed = time.Now()
	c.mu.Unlock()
	return n, err
}

func (c *outgoing) Write(b []byte) (int, error) {
	conn, err := c.usableConn()
	if err != nil {
		return 0, err
	}
	return conn.Write(b)
}

// usableConn returns the connection, dialled again if it was idle and has been closed by the other side.
func (c *outgoing) usableConn() (net.Conn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if now.Sub(c.lastUsed) > idleCheckAfter && c.activeReads == 0 && !c.closed && !transport.Quiet(c.conn) {
		c.conn.Close()
		fresh, err := c.l.dial(c.to, c.timeout)
		if err != nil {
			return nil, err
		}
		c.conn = fresh
		_ = fresh.SetReadDeadline(c.readDeadline)
		_ = fresh.SetWriteDeadline(c.writeDeadline)
	}
	c.lastUsed = now
	return c.conn, nil
}

func (c *outgoing) Close() error {
	c.l.remove(c)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	return c.conn.Close()
}

func (c *outgoing) LocalAddr() net.Addr  { return c.l.Addr() }
func (c *outgoing) RemoteAddr() net.Addr { return address(c.to) }

func (c *outgoing) SetDeadline(t time.Time) error {
	_ = c.SetReadDeadline(t)
	return c.SetWriteDeadline(t)
}

func (c *outgoing) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline = t
	return c.conn.SetReadDeadline(t)
}

func (c *outgoing) SetWriteDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writeDeadline = t
	return c.conn.SetWriteDeadline(t)
}
