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

// EntriesRequest is what a follower asks of its source.
type EntriesRequest struct {
	Since       record.Version // that it has
	Wait        time.Duration  // at most, for something newer
	Name, Addr  string         // its own; the address, where it has one, is told to others
	FullState   bool           // the whole state, not older than Since
	AvoidLeader bool           // ErrLeader is wanted where the source leads

	// SilenceTimeout is how long the source may say nothing, beyond Wait before the first byte and between any two.
	SilenceTimeout time.Duration
	MaxBytes       int64 // bytes of the answer; 0: DefaultMost
}

// Errors of Entries.
var (
	ErrSourceIsLeader = errors.New("the source is the leader")
	errSourceSilent   = errors.New("the source is silent")
)

// AtCapacityError is a source without a free place.
type AtCapacityError struct{ Alternatives []Peer } // its own followers

// Error implements error.
func (e *AtCapacityError) Error() string {
	return fmt.Sprintf("no free place; it names %d others", len(e.Alternatives))
}

// Entries is one long call for what is newer than the asker's state. An answer that is not whole, in every line and by its
// own count, is an error: nothing of it is used.
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
		return nil, fmt.Errorf("entries after %d where those after %d were asked for", b.Since, req.Since)
	}
	// Of the time since the question only what the source says it waited is surely no part of the age.
	b.AgeMs += max(0, ceilMs(time.Since(sentAt))-b.WaitedMs)
	return b, nil
}

// causeOf prefers why a call was ended to how that showed.
func causeOf(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return err
}

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

// What a source must send at least, so that one that dribbles is given up too.
const (
	minReceiveTime = 10 * time.Second // for what is short
	minReceiveRate = 64 << 10         // bytes a second of what is long
)

// monitoredReader puts the alarm off with every read, as long as enough comes.
type monitoredReader struct {
	src             io.Reader
	watchdog        *time.Timer
	silenceTimeout  time.Duration
	initialDeadline time.Time // of the first bytes
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
