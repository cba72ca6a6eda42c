package crowd

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"time"
)

const (
	lateAnswer = 500 * time.Millisecond // past its deadline, an answer counts as lost
	maxLosses  = 5                      // whose cause is kept
)

// Load is what ordinary clients send.
type Load struct {
	Clients     int
	Pause       time.Duration // between an answer and the next request of a client
	MinDeadline time.Duration
	MaxDeadline time.Duration
}

// StandardLoad is a little traffic with long deadlines.
var StandardLoad = Load{Clients: 6, Pause: 100 * time.Millisecond, MinDeadline: 2 * time.Second, MaxDeadline: 2 * time.Second}

// deadline draws the deadline of one request.
func (l Load) deadline() time.Duration {
	return (l.MinDeadline + rand.N(l.MaxDeadline-l.MinDeadline+1)).Truncate(time.Millisecond)
}

// Tally counts what ordinary clients got for their requests.
type Tally struct {
	Sent    int
	Served  int
	Refused int      // with 429 or 503
	Failed  int      // with any other status
	Lost    int      // without a whole answer in time
	Losses  []string // the cause of some that were lost

	latencies []time.Duration // of the served
}

// Percentile returns the latency within which the given share of the served requests was answered.
func (t *Tally) Percentile(share float64) time.Duration {
	if len(t.latencies) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(t.latencies))
	return sorted[min(int(share*float64(len(sorted))), len(sorted)-1)]
}

// add counts one outcome.
func (t *Tally) add(status int, latency time.Duration, err error) {
	t.Sent++
	if err == nil && status == http.StatusOK {
		t.latencies = append(t.latencies, latency)
	}
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
	load  Load
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
		start := time.Now()
		status, err := o.request()
		latency := time.Since(start)
		if ctx.Err() != nil && err != nil {
			return
		}
		if wasAlive && o.alive() && o.kills() == kills && (!o.connected || o.accepting()) {
			o.mu.Lock()
			o.tally.add(status, latency, err)
			o.mu.Unlock()
		}
		sleep(ctx, o.load.Pause)
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
	deadline := o.load.deadline()
	text := requestHead("GET", "availability/x", deadline) + "\r\n"
	if status, err = o.send(text, deadline); errors.Is(err, errUnanswered) {
		status, err = o.send(text, deadline)
	}
	if status == http.StatusConflict {
		err = errReadAndClosed
	}
	return status, err
}

// send sends a request on the kept connection, or on a new one.
func (o *ordinary) send(text string, deadline time.Duration) (status int, err error) {
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
	status, closes, err := o.exchange(text, deadline)
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

func (o *ordinary) exchange(text string, deadline time.Duration) (status int, closes bool, err error) {
	o.conn.SetDeadline(time.Now().Add(deadline + lateAnswer))
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
