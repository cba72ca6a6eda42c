package stage

import (
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"burlpass/internal/lab/judge"
	"burlpass/internal/lab/world"
)

// oneWay waits for a message to cross the network, which it does not while the machine is silent. It returns false
// where the connection has gone meanwhile.
func (h *host) oneWay(c *workerConn) bool {
	d := h.plan.OneWay(h.plan.Sidecar[c.sidecar].Hall, h.plan.Fleet[h.n].Hall, rand.Float64())
	if c.fresh {
		c.fresh = false
		d *= 3 // and the handshake before it
	}
	return h.pause(d, c) && h.through(c)
}

func (h *host) pause(d time.Duration, c *workerConn) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-c.gone:
		return false
	}
}

// through waits until the machine is not silent.
func (h *host) through(c *workerConn) bool {
	for {
		h.mu.Lock()
		gate, silent := h.gate, h.silent > 0
		h.mu.Unlock()
		if !silent {
			return true
		}
		select {
		case <-gate:
		case <-c.gone:
			return false
		}
	}
}

// answer carries an exchange through the model and writes the worker's answer.
func (h *host) answer(x *exchange) {
	defer close(x.done)
	c := x.conn
	handshake := time.Duration(0)
	if c.fresh {
		handshake = h.plan.Conn.Handshake
	}
	if !h.oneWay(c) {
		return
	}
	if x.try == nil && h.lying() {
		h.write(x, 200, "", "TEXT "+h.loadText(true))
		return
	}
	work := h.plan.Probe.Work
	repeat := false
	if x.try != nil {
		work = h.plan.AttemptWork(x.try.arrival.Index, int(x.try.id&0xff)<<4+x.attempt)
		if x.try.key != "" && !h.dedup(x.try.arrival.Class, h.n, x.try.key) {
			repeat, work = true, time.Millisecond
		}
	}
	verdict, done := h.offer(x, work+handshake)
	switch verdict {
	case world.Down:
		return
	case world.Full:
		if x.try != nil {
			h.observe(judge.Event{Kind: judge.Unrun, Serial: x.serial})
			if x.try.key != "" && !repeat {
				h.undedup(x.try.arrival.Class, h.n, x.try.key)
			}
		}
		h.write(x, 503, "X-Never-Ran: 1\r\n", "")
		return
	}
	select {
	case <-done:
	case <-c.gone:
		h.abandon(x)
		return
	}
	if x.try == nil {
		h.write(x, 200, "", "TEXT "+h.loadText(false))
		return
	}
	if !repeat && h.plan.Chance(x.try.arrival.Index, x.attempt, 9) < h.plan.Kinds[h.plan.Fleet[h.n].Kind].ErrorRate {
		h.mu.Lock()
		h.model.Failed()
		h.mu.Unlock()
		h.write(x, 500, "", "no")
		return
	}
	body := fmt.Sprintf(`{"worker":%q,"call":%q,"attempt":%d}`, h.plan.Fleet[h.n].Name, x.try.trace, x.serial)
	switch {
	case h.met("cut"):
		c.end(true)
		return
	case h.met("overlong"):
		body += strings.Repeat("x", 100<<10) // longer than a sidecar holds: it passes as it comes
	case h.met("surplus"):
		h.observe(judge.Event{Kind: judge.Ran, Serial: x.serial, Body: hash(body)})
		good := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		if h.through(c) {
			h.send(x, good+good)
		}
		return
	case h.met("spoil"):
		h.spoil(x, body)
		return
	}
	h.observe(judge.Event{Kind: judge.Ran, Serial: x.serial, Body: hash(body)})
	h.write(x, 200, "", body)
	if h.met("reset") {
		if rand.IntN(2) == 0 { // while idle; else a close that crosses the next call
			h.pause(time.Duration(rand.IntN(30))*time.Millisecond, c)
			c.end(true)
		} else {
			c.dead.Store(true)
		}
	}
}

func hash(s string) uint64 {
	h := fnv.New64a()
	io.WriteString(h, s)
	return h.Sum64()
}

// met tells whether a fault that meets a share of the answers meets this one.
func (h *host) met(kind string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return rand.Float64() < h.shares[kind]
}

func (h *host) lying() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.lie > 0
}

// write sends an answer back over the network.
func (h *host) write(x *exchange, status int, extra, body string) {
	c := x.conn
	if !h.pause(h.plan.OneWay(h.plan.Sidecar[c.sidecar].Hall, h.plan.Fleet[h.n].Hall, rand.Float64()), c) || !h.through(c) {
		return
	}
	text := fmt.Sprintf("HTTP/1.1 %d %s\r\n%sContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), extra, len(body), body)
	h.send(x, text)
}

func (h *host) send(x *exchange, text string) {
	c := x.conn
	c.SetReadDeadline(time.Now().Add(h.plan.Conn.Idle))
	x.answered.Store(true)
	h.closed(x) // before the bytes are out: what their reader does next must come after it
	c.SetWriteDeadline(time.Now().Add(5 * time.Second))
	if _, err := io.WriteString(c, text); err != nil {
		c.end(false)
	}
}

// spoil answers with what cannot be read, in one of several ways.
func (h *host) spoil(x *exchange, body string) {
	if !h.through(x.conn) {
		return
	}
	switch rand.IntN(4) {
	case 0: // ends before its length
		h.send(x, fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body)+10, body))
		x.conn.end(false)
	case 1: // no HTTP
		h.send(x, "\x00\x16\x03garbage "+body+"\r\n\r\n")
	case 2: // two lengths
		h.send(x, fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\nContent-Length: %d\r\n\r\n%s", len(body), len(body)-1, body))
	case 3: // a chunk that does not end
		h.send(x, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabc")
		x.conn.end(false)
	}
}
