package measure

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// counter takes connections on loopback to a target, and counts the bytes both ways.
type counter struct {
	ln     net.Listener
	target string
	to     atomic.Int64 // bytes to the target
	from   atomic.Int64
	ctx    context.Context
	stop   context.CancelFunc
	work   sync.WaitGroup
}

func count(target string) (*counter, error) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	c := &counter{ln: ln, target: target}
	c.ctx, c.stop = context.WithCancel(context.Background())
	c.work.Go(c.accept)
	return c, nil
}

func (c *counter) addr() string { return c.ln.Addr().String() }

func (c *counter) close() {
	c.stop()
	c.ln.Close()
	c.work.Wait()
}

func (c *counter) accept() {
	for {
		conn, err := c.ln.Accept()
		if err != nil {
			return
		}
		c.work.Go(func() { c.carry(conn) })
	}
}

func (c *counter) carry(near net.Conn) {
	defer near.Close()
	far, err := net.DialTimeout("tcp4", c.target, 2*time.Second)
	if err != nil {
		return
	}
	defer far.Close()
	defer context.AfterFunc(c.ctx, func() { near.Close(); far.Close() })()
	var both sync.WaitGroup
	both.Go(func() { pour(far, near, &c.to) })
	both.Go(func() { pour(near, far, &c.from) })
	both.Wait()
}

// pour copies until src ends, which dst is told. What it has sent it counts at once, as connections stay open.
func pour(dst, src net.Conn, bytes *atomic.Int64) {
	buf := make([]byte, 16<<10)
	for {
		n, err := src.Read(buf)
		bytes.Add(int64(n))
		if n > 0 {
			if _, bad := dst.Write(buf[:n]); bad != nil {
				break
			}
		}
		if err == io.EOF {
			dst.(*net.TCPConn).CloseWrite()
			return
		} else if err != nil {
			break
		}
	}
	src.Close()
	dst.Close()
}

// counters are those before some members.
type counters map[*member]*counter

// addr gives the address of a member's counter, which is made where there is none; one that nobody answers where it cannot be.
func (a counters) addr(to *member) string {
	if a[to] == nil {
		c, err := count(to.listen)
		if err != nil {
			return "127.0.0.1:9"
		}
		a[to] = c
	}
	return a[to].addr()
}

func (a counters) close() {
	for _, c := range a {
		c.close()
	}
}
