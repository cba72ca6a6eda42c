package api

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"burlpass/internal/record"
)

// EntriesRequest is a follower's request for entries.
type EntriesRequest struct {
	Since       record.Version // version that the follower has
	Wait        time.Duration  // how long the source may wait for newer entries
	Name, Addr  string         // of the follower; the address is optional and is given to other followers
	FullState   bool           // request a full state that is not older than Since
	AvoidLeader bool           // fail with ErrSourceIsLeader if the source leads

	// SilenceTimeout is how long the source may send nothing: beyond Wait before the first byte, and between any two bytes.
	SilenceTimeout time.Duration
	MaxBytes       int64 // of the response; 0 means DefaultMaxBatchBytes
}

// Errors of Entries.
var (
	ErrSourceIsLeader = errors.New("the source is the leader")
	errSourceSilent   = errors.New("the source is silent")
)

// AtCapacityError is returned by a source that accepts no further followers. Alternatives are its own followers.
type AtCapacityError struct{ Alternatives []Peer }

// Error implements error.
func (e *AtCapacityError) Error() string {
	return fmt.Sprintf("follower capacity reached; %d alternatives", len(e.Alternatives))
}

// Entries long-polls for entries that are newer than the state of the follower. An incomplete or malformed response is an
// error and none of it is used.
func (c *Client) Entries(ctx context.Context, req EntriesRequest) (*Batch, error) {
	q := url.Values{"since": {strconv.FormatUint(uint64(req.Since), 10)}, "name": {req.Name},
		"wait_ms": {strconv.FormatInt(req.Wait.Milliseconds(), 10)}}
	if req.Addr != "" {
		q.Set("addr", req.Addr)
	}
	if req.FullState {
		q.Set("state", "1")
	}
	if req.AvoidLeader {
		q.Set("unless_leader", "1")
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watchdog := time.AfterFunc(req.Wait+req.SilenceTimeout, func() { cancel(errSourceSilent) })
	defer watchdog.Stop()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+"/v1/entries?"+q.Encode(), nil)
	if err != nil {
		return nil, err
	}
	sentAt := time.Now()
	resp, err := c.http.Do(r)
	if err != nil {
		return nil, causeOf(ctx, err)
	}
	defer resp.Body.Close()
	body := &monitoredReader{resp.Body, watchdog, req.SilenceTimeout, time.Now().Add(minReceiveTime), 0}
	if resp.StatusCode != http.StatusOK {
		return nil, causeOf(ctx, refusalError(resp, body))
	}
	b, err := ReadBatch(body, orDefault(req.MaxBytes, DefaultMaxBatchBytes))
	if err != nil {
		return nil, causeOf(ctx, err)
	}
	if b.Since != req.Since {
		return nil, fmt.Errorf("got entries after version %d, requested those after %d", b.Since, req.Since)
	}
	// Only the time that the source reports as waited certainly does not add to the age; the rest of the round trip may.
	b.AgeMs += max(0, ceilMs(time.Since(sentAt))-b.WaitedMs)
	return b, nil
}

// causeOf returns the reason why ctx was cancelled, or err if it was not.
func causeOf(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return err
}

// refusalError converts a response without entries to an error.
func refusalError(resp *http.Response, body io.Reader) error {
	content, err := readAll(body, maxResponseBytes)
	if err != nil {
		return err
	}
	var refusal entriesRefusal
	if resp.StatusCode != http.StatusServiceUnavailable || json.Unmarshal(content, &refusal) != nil {
		return fmt.Errorf("%s: %.200q", resp.Status, content)
	}
	switch {
	case refusal.Leader:
		return ErrSourceIsLeader
	case refusal.Full:
		return &AtCapacityError{refusal.Alternatives}
	case refusal.Nothing != "":
		return ErrNothing
	}
	return fmt.Errorf("%w: %.200s", ErrRefused, refusal.Refused)
}

// Minimum receive rate, which also disconnects a source that sends very slowly.
const (
	minReceiveTime = 10 * time.Second // granted to every response
	minReceiveRate = 64 << 10         // bytes per second
)

// monitoredReader resets the watchdog with every read while enough data arrives.
type monitoredReader struct {
	src             io.Reader
	watchdog        *time.Timer
	silenceTimeout  time.Duration
	initialDeadline time.Time // deadline of an empty response; every received byte extends it
	received        int64
}

func (m *monitoredReader) Read(p []byte) (int, error) {
	n, err := m.src.Read(p)
	if n > 0 {
		m.received += int64(n)
		m.watchdog.Reset(min(m.silenceTimeout, time.Until(m.initialDeadline.Add(time.Duration(m.received)*time.Second/minReceiveRate))))
	}
	return n, err
}
