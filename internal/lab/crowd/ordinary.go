package crowd

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

const (
	ordinaryDeadline = 2 * time.Second
	ordinaryPause    = 100 * time.Millisecond // between two requests of a client
	lateAnswer       = 500 * time.Millisecond // past its deadline, an answer counts as lost
	maxLosses        = 5                      // whose cause is kept
)

// Tally counts what ordinary clients got for their requests.
type Tally struct {
	Sent    int
	Served  int
	Refused int      // with 429 or 503
	Failed  int      // with any other status
	Lost    int      // without a whole answer in time
	Losses  []string // the cause of some that were lost
}

// add counts one outcome.
func (t *Tally) add(status int, err error) {
	t.Sent++
	switch {
	case err != nil:
		t.Lost++
		if len(t.Losses) < maxLosses {
			t.Losses = append(t.Losses, err.Error())
		}
	case status == http.StatusOK:
		t.Served++
	case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
		t.Refused++
	default:
		t.Failed++
	}
}

// ordinary is a client that sends one small request after another on a connection that it keeps.
type ordinary struct {
	addr  string
	mu    *sync.Mutex // guards tally
	tally *Tally
	alive func() bool // false while the sidecar is down: what it had then is not owed

	kills     func() int64 // of the sidecar so far: what a request got across one is not owed
	accepting func() bool  // false while nobody accepts: what is sent on a new connection then is not owed
	connected bool         // the last request opened a connection
	conn      net.Conn
	r         *bufio.Reader
}

// run sends requests until ctx is done.
func (o *ordinary) run(ctx context.Context) {
	defer o.disconnect()
	for ctx.Err() == nil {
		wasAlive, kills := o.alive(), o.kills()
		status, err := o.request()
		if ctx.Err() != nil && err != nil {
			return
		}
		if wasAlive && o.alive() && o.kills() == kills && (!o.connected || o.accepting()) {
			o.mu.Lock()
			o.tally.add(status, err)
			o.mu.Unlock()
		}
		sleep(ctx, ordinaryPause)
	}
}

func (o *ordinary) disconnect() {
	if o.conn != nil {
		o.conn.Close()
		o.conn = nil
	}
}

// request sends one request and reads its answer. Where the connection ends without an answer, the close has crossed the request,
// which goes out once more on a new connection with the same ID: a sidecar that has read the first refuses the second (409).
func (o *ordinary) request() (status int, err error) {
	o.connected = false
	text := requestHead("GET", "availability/x", ordinaryDeadline) + "\r\n"
	if status, err = o.send(text); errors.Is(err, errUnanswered) {
		status, err = o.send(text)
	}
	if status == http.StatusConflict {
		err = errReadAndClosed
	}
	return status, err
}

// send sends a request on the kept connection, or on a new one.
func (o *ordinary) send(text string) (status int, err error) {
	reused := o.conn != nil
	if !reused {
		o.connected = true
		if o.conn, err = net.DialTimeout("tcp", o.addr, dialTimeout); err != nil {
			o.conn = nil
			return http.StatusServiceUnavailable, nil // nothing was sent
		}
		o.r = bufio.NewReader(o.conn)
	}
	start, local := time.Now(), o.conn.LocalAddr()
	status, closes, err := o.exchange(text)
	if closes || err != nil {
		o.disconnect()
	}
	if err != nil {
		err = fmt.Errorf("from %v, after %v, reused %v: %w", local, time.Since(start).Round(time.Millisecond), reused, err)
	}
	return status, err
}

// errReadAndClosed means that a request was read and its connection closed without an answer.
var errReadAndClosed = errors.New("the request was read, and its connection closed with no answer")

// errUnanswered means that the connection ended without a byte of an answer.
var errUnanswered = errors.New("closed with no answer")

func (o *ordinary) exchange(text string) (status int, closes bool, err error) {
	o.conn.SetDeadline(time.Now().Add(ordinaryDeadline + lateAnswer))
	if _, err := io.WriteString(o.conn, text); err != nil {
		return 0, true, errors.Join(errUnanswered, err)
	}
	if _, err := o.r.Peek(1); err != nil {
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return 0, true, err
		}
		return 0, true, errors.Join(errUnanswered, err)
	}
	response, err := http.ReadResponse(o.r, nil)
	if err != nil {
		return 0, true, err
	}
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, response.Close, err
}
