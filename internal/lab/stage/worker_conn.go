package stage

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"burlpass/internal/lab/judge"
)

// workerConn is one connection of a sidecar.
type workerConn struct {
	Conn
	sidecar int
	gone    chan struct{} // closed with the connection
	once    sync.Once
	fresh   bool        // no request has come on it yet
	dead    atomic.Bool // reset at the next request: the worker's close crossed it
}

func (c *workerConn) end(hard bool) {
	c.once.Do(func() {
		close(c.gone)
		if hard {
			c.Conn.Reset()
		} else {
			c.Conn.Close()
		}
	})
}

func (h *host) accept(ln Listener, sidecar int) {
	for {
		conn, err := ln.Accept()
		if err != nil {
			if errors.Is(err, os.ErrDeadlineExceeded) {
				h.mu.Lock()
				gate := h.gate
				h.mu.Unlock()
				select {
				case <-gate:
					time.Sleep(time.Millisecond) // the deadline is taken away just before the gate opens
				case <-h.over:
					return
				}
				continue
			}
			return
		}
		c := &workerConn{Conn: conn.(Conn), sidecar: sidecar, gone: make(chan struct{}), fresh: true}
		h.mu.Lock()
		full := len(h.conns) >= h.plan.Conn.Most || !h.up
		if !full {
			h.conns[c] = struct{}{}
		}
		h.mu.Unlock()
		if full {
			c.end(true)
			continue
		}
		h.work.Go(func() {
			h.serve(c)
			c.end(false)
			h.mu.Lock()
			delete(h.conns, c)
			h.mu.Unlock()
		})
	}
}

// exchange is one attempt or probe on a connection.
type exchange struct {
	serial   int64
	conn     *workerConn
	request  *http.Request
	try      *try        // nil for a probe
	attempt  int         // of its try
	job      uint64      // of the model
	answered atomic.Bool // its answer is about to be written
	closed   atomic.Bool
	done     chan struct{}
}

const maxRequest = 1 << 20

// serve reads one request after another; while one is open it watches for the connection's end.
func (h *host) serve(c *workerConn) {
	r := bufio.NewReaderSize(c, 4<<10)
	c.SetReadDeadline(time.Now().Add(h.plan.Conn.Idle))
	for {
		if _, err := r.Peek(1); err != nil {
			return // idle for too long, closed, or reset
		}
		first := h.now()
		c.SetReadDeadline(time.Time{})
		request, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, err := io.ReadAll(io.LimitReader(request.Body, maxRequest))
		if err != nil {
			return
		}
		x := h.take(c, request, body, first)
		if x == nil {
			return
		}
		if c.dead.Load() {
			h.closed(x)
			c.end(true)
			return
		}
		h.work.Go(func() { h.answer(x) })
		_, err = r.Peek(1)
		if !x.answered.Load() {
			if err == nil {
				h.observe(judge.Event{Kind: judge.Pipelined, Sidecar: c.sidecar, Worker: h.n, Serial: x.serial})
			}
			h.closed(x)
			c.end(false)
			<-x.done
			return
		}
		<-x.done
		if err != nil {
			return
		}
	}
}

// closed notes the end of an attempt on its connection, once.
func (h *host) closed(x *exchange) {
	if x.try != nil && !x.closed.Swap(true) {
		h.observe(judge.Event{Kind: judge.Closed, Serial: x.serial})
	}
}

// take looks at what came, tells the judge, and returns the exchange; nil for what is no request of the protocol.
func (h *host) take(c *workerConn, request *http.Request, body []byte, first time.Duration) *exchange {
	x := &exchange{conn: c, request: request, done: make(chan struct{})}
	if request.URL.Path == "/_load" || request.URL.Path == "/ping" {
		h.observe(judge.Event{Kind: judge.Probed, Sidecar: c.sidecar, Worker: h.n})
		return x
	}
	id := request.Header.Get("X-Trace-Id")
	x.try = h.tryOf(id)
	if x.try == nil {
		h.observe(judge.Event{Kind: judge.BadCall, Sidecar: c.sidecar, Worker: h.n, Text: fmt.Sprintf("id %q", id)})
		return nil
	}
	x.serial = h.serial.Add(1)
	x.attempt = int(x.try.attempts.Add(1))
	h.observe(judge.Event{Kind: judge.Arrived, Call: x.try.id, Serial: x.serial, Sidecar: c.sidecar, Worker: h.n, First: first,
		Unread: sinceData(c.Conn), Text: x.try.differs(request, body)})
	return x
}

// sinceData returns for how long a connection's last byte has lain at this machine, 0 where that is unknown.
func sinceData(c Conn) time.Duration {
	if system, ok := c.(interface{ SinceData() time.Duration }); ok {
		return system.SinceData()
	}
	return 0
}

// differs tells how a request differs from what its client sent.
func (t *try) differs(q *http.Request, body []byte) string {
	switch {
	case q.Method != t.method:
		return fmt.Sprintf("method %q became %q", t.method, q.Method)
	case q.RequestURI != t.target:
		return fmt.Sprintf("target %q became %q", t.target, q.RequestURI)
	case string(body) != t.body:
		return fmt.Sprintf("a body of %d bytes became another of %d", len(t.body), len(body))
	case len(q.Header.Values("X-Trace-Id")) != 1:
		return "X-Trace-Id came more than once"
	case q.Header.Get("Idempotency-Key") != t.key || len(q.Header.Values("Idempotency-Key")) > 1:
		return fmt.Sprintf("key %q became %q", t.key, q.Header.Values("Idempotency-Key"))
	}
	return ""
}
