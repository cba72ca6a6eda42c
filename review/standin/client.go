package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// call is one request of a client.
type call struct {
	class   string
	id      string
	expires time.Duration
	body    int // bytes
}

var lastCall atomic.Int64

// newCall makes a request of a class with a fresh id.
func newCall(class string, expires time.Duration, body int) call {
	return call{class, fmt.Sprintf("%08x%08x", rand.Uint32(), lastCall.Add(1)), expires, body}
}

// bytes is the request as it is sent: GET for what is safe to repeat, POST with a key for what is keyed, else POST.
func (c call) bytes() string {
	head := []string{"POST /" + c.class + "/cars HTTP/1.1"}
	if c.class == "availability" {
		head[0] = "GET /" + c.class + "/cars HTTP/1.1"
	}
	head = append(head, "Host: service.internal", "X-Trace-Id: "+c.id, "X-Qos: "+c.class, fmt.Sprintf("X-Expires-In: %dm", c.expires.Milliseconds()))
	if c.class == "paid-extra" {
		head = append(head, "Idempotency-Key: key-"+c.id)
	}
	if c.class != "availability" {
		head = append(head, fmt.Sprintf("Content-Length: %d", c.body))
	}
	return strings.Join(head, "\r\n") + "\r\n\r\n" + strings.Repeat("x", c.body)
}

// client is a client with one connection that it keeps. It sends one request at a time.
type client struct {
	run    *run
	name   string
	addr   string
	conn   net.Conn
	reader *bufio.Reader
}

// answer is what a client got.
type answer struct {
	status int
	body   string
	at     time.Time
}

var errGaveUp = errors.New("no whole answer in time")

// do sends a request and waits for its answer. Where the end of a resting connection crosses the request, it is sent once
// more on a new one.
func (c *client) do(q call) (answer, error) {
	resting := c.conn != nil
	a, none, err := c.try(q)
	if err != nil && resting && none && !errors.Is(err, errGaveUp) {
		c.run.note(c.name, "resends %s %s", q.class, q.id)
		a, _, err = c.try(q)
	}
	if err != nil {
		c.run.note(c.name, "no answer to %s %s: %v", q.class, q.id, err)
		return a, err
	}
	c.run.noteAt(a.at, c.name, "answer to %s %s: %d %q", q.class, q.id, a.status, a.body)
	return a, nil
}

// try sends a request once. none is true if no byte of an answer has come.
func (c *client) try(q call) (a answer, none bool, err error) {
	if c.conn == nil {
		if c.conn, err = net.DialTimeout("tcp", c.addr, time.Second); err != nil {
			c.conn = nil
			return a, true, err
		}
		c.reader = bufio.NewReader(c.conn)
	}
	none = true
	sent := time.Now()
	c.conn.SetDeadline(sent.Add(q.expires + time.Second))
	c.run.noteAt(sent, c.name, "sends %s %s", q.class, q.id)
	defer func() {
		var timeout net.Error
		if err != nil {
			if errors.As(err, &timeout) && timeout.Timeout() {
				err = errGaveUp
			}
			c.close()
		}
	}()
	if _, err = io.WriteString(c.conn, q.bytes()); err != nil {
		return a, none, err
	}
	if _, err = c.reader.Peek(1); err != nil {
		return a, none, err
	}
	none = false
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return a, none, err
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return a, none, err
	}
	if response.Close {
		c.close()
	}
	return answer{response.StatusCode, string(body), time.Now()}, none, nil
}

// close ends the connection.
func (c *client) close() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// drawClass draws a class as they come in service, and the time of a try.
func drawClass() (string, time.Duration) {
	share := 0.4 + 0.4*rand.Float64() // of the class's give-up time
	switch n := rand.IntN(100); {
	case n < 47:
		return "availability", time.Duration(share * float64(3*time.Second))
	case n < 90:
		return "booking", time.Duration(share * float64(3*time.Second))
	}
	return "paid-extra", time.Duration(share * float64(2500*time.Millisecond))
}
