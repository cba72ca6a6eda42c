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

// Ask is what a follower asks of its source.
type Ask struct {
	Since      record.Version // that it has
	Wait       time.Duration  // at most, for something newer
	Name, Addr string         // its own; the address, where it has one, is told to others
	Whole      bool           // the whole state, not older than Since
	NotLeader  bool           // ErrLeader is wanted where the source leads

	// Silence is how long the source may say nothing, beyond Wait before the first byte and between any two.
	Silence time.Duration
	Most    int64 // bytes of the answer; 0: DefaultMost
}

// Errors of Entries.
var (
	ErrLeader  = errors.New("the source is the leader")
	errSilence = errors.New("the source is silent")
)

// FullError is a source without a free place.
type FullError struct{ Try []Peer } // its own followers

// Error implements error.
func (e *FullError) Error() string {
	return fmt.Sprintf("no free place; it names %d others", len(e.Try))
}

// Entries is one long call for what is newer than the asker's state. An answer that is not whole, in every line and by its
// own count, is an error: nothing of it is used.
func (c *Client) Entries(ctx context.Context, a Ask) (*Batch, error) {
	q := url.Values{"since": {strconv.FormatUint(uint64(a.Since), 10)}, "name": {a.Name},
		"wait_ms": {strconv.FormatInt(a.Wait.Milliseconds(), 10)}}
	if a.Addr != "" {
		q.Set("addr", a.Addr)
	}
	if a.Whole {
		q.Set("state", "1")
	}
	if a.NotLeader {
		q.Set("unless_leader", "1")
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	alarm := time.AfterFunc(a.Wait+a.Silence, func() { cancel(errSilence) })
	defer alarm.Stop()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+"/v1/entries?"+q.Encode(), nil)
	if err != nil {
		return nil, err
	}
	asked := time.Now()
	resp, err := c.http.Do(r)
	if err != nil {
		return nil, cause(ctx, err)
	}
	defer resp.Body.Close()
	body := &heard{resp.Body, alarm, a.Silence, time.Now().Add(leastTime), 0}
	if resp.StatusCode != http.StatusOK {
		return nil, cause(ctx, notServed(resp, body))
	}
	b, err := ReadBatch(body, or(a.Most, DefaultMost))
	if err != nil {
		return nil, cause(ctx, err)
	}
	if b.Since != a.Since {
		return nil, fmt.Errorf("entries after %d where those after %d were asked for", b.Since, a.Since)
	}
	// Of the time since the question only what the source says it waited is surely no part of the age.
	b.AgeMs += max(0, ceilMs(time.Since(asked))-b.WaitedMs)
	return b, nil
}

// cause prefers why a call was ended to how that showed.
func cause(ctx context.Context, err error) error {
	if why := context.Cause(ctx); why != nil {
		return why
	}
	return err
}

func notServed(resp *http.Response, body io.Reader) error {
	text, err := readAll(body, mostWord)
	if err != nil {
		return err
	}
	var no noEntries
	if resp.StatusCode != http.StatusServiceUnavailable || json.Unmarshal(text, &no) != nil {
		return fmt.Errorf("%s: %.200q", resp.Status, text)
	}
	switch {
	case no.Leader:
		return ErrLeader
	case no.Full:
		return &FullError{no.Try}
	case no.Nothing != "":
		return ErrNothing
	}
	return fmt.Errorf("%w: %.200s", ErrRefused, no.Refused)
}

// What a source must send at least, so that one that dribbles is given up too.
const (
	leastTime = 10 * time.Second // for what is short
	leastRate = 64 << 10         // bytes a second of what is long
)

// heard puts the alarm off with every read, as long as enough comes.
type heard struct {
	from    io.Reader
	alarm   *time.Timer
	silence time.Duration
	end     time.Time // of the first bytes
	got     int64
}

func (h *heard) Read(p []byte) (int, error) {
	n, err := h.from.Read(p)
	if n > 0 {
		h.got += int64(n)
		h.alarm.Reset(min(h.silence, time.Until(h.end.Add(time.Duration(h.got)*time.Second/leastRate))))
	}
	return n, err
}
