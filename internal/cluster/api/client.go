package api

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"burlpass/internal/record"
)

// Bounds of answers that a client reads, in bytes.
const (
	maxReadBytes     = 64 << 20 // of a read
	maxResponseBytes = 4 << 20  // of anything else but entries
)

// Client asks one member. It is safe for concurrent use, and keeps no state of its own.
type Client struct {
	base string
	http *http.Client
}

// NewClient returns a client of the member at an address, host:port. The transport holds the connections and is the caller's
// to close; nil: http.DefaultTransport. No redirect is followed.
func NewClient(addr string, transport http.RoundTripper) *Client {
	return &Client{"http://" + addr, &http.Client{Transport: transport,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}}
}

// NewTransport returns connections for clients: a dial is given up after dial, and idle ones are kept for reuse. A nil dialer is
// the system's.
func NewTransport(dialTimeout time.Duration, dialer func(ctx context.Context, network, addr string) (net.Conn, error)) *http.Transport {
	if dialer == nil {
		dialer = (&net.Dialer{}).DialContext
	}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			ctx, cancel := context.WithTimeout(ctx, dialTimeout)
			defer cancel()
			return dialer(ctx, network, addr)
		},
		MaxIdleConnsPerHost: 4, IdleConnTimeout: 30 * time.Second, DisableCompression: true,
		MaxResponseHeaderBytes: 16 << 10,
	}
}

// get asks for a JSON answer of status 200. Another status is an error with what the member says.
func (c *Client) get(ctx context.Context, path string, q url.Values, maxBytes int64, dst any) (status int, err error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+path+"?"+q.Encode(), nil)
	if err != nil {
		return 0, err
	}
	resp, err := c.http.Do(r)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	body, err := readAll(resp.Body, maxBytes)
	if err == nil && resp.StatusCode != http.StatusOK {
		err = fmt.Errorf("%s: %.200s", resp.Status, bytes.TrimSpace(body))
	} else if err == nil {
		err = json.Unmarshal(body, dst)
	}
	return resp.StatusCode, err
}

func readAll(src io.Reader, maxBytes int64) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(src, maxBytes+1))
	if err == nil && int64(len(body)) > maxBytes {
		err = fmt.Errorf("an answer over %d bytes", maxBytes)
	}
	return body, err
}

// Status asks what the member says of itself.
func (c *Client) Status(ctx context.Context) (st Status, err error) {
	_, err = c.get(ctx, "/v1/status", nil, maxResponseBytes, &st)
	return st, err
}

// Read asks for the items of a kind, or for one where key is not empty. The error is ErrNothing where the member shows
// nothing yet, ErrRefused where it cannot prove what a consistent read asks.
func (c *Client) Read(ctx context.Context, kind record.Kind, key string, consistent bool) (*ReadResponse, error) {
	q := url.Values{"kind": {string(kind)}}
	if key != "" {
		q.Set("key", key)
	}
	if consistent {
		q.Set("consistent", "1")
	}
	a := &ReadResponse{}
	status, err := c.get(ctx, "/v1/read", q, maxReadBytes, a)
	if err != nil {
		if status == http.StatusServiceUnavailable && !consistent {
			return nil, fmt.Errorf("%w: %w", ErrNothing, err)
		}
		return nil, fmt.Errorf("%w: %w", ErrRefused, err)
	}
	return a, nil
}

// Result asks what the member remembers of a write; false where that is nothing.
func (c *Client) Result(ctx context.Context, id string) (result record.Result, ok bool, err error) {
	status, err := c.get(ctx, "/v1/result", url.Values{"id": {id}}, maxResponseBytes, &result)
	if status == http.StatusNotFound {
		return record.Result{}, false, nil
	}
	return result, err == nil, err
}

// ReadIndex asks a voter for the version that a consistent read has to wait for, and of which cluster that is.
func (c *Client) ReadIndex(ctx context.Context) (v record.Version, cluster string, err error) {
	var a struct {
		Version *record.Version `json:"version"`
		Cluster string          `json:"cluster"`
	}
	if _, err = c.get(ctx, "/v1/readindex", nil, maxResponseBytes, &a); err != nil {
		return 0, "", err
	}
	if a.Version == nil {
		return 0, "", errors.New("an answer without a version")
	}
	return *a.Version, a.Cluster, nil
}

// Write has the member see to a write. The error is ErrRefused where it surely was not taken: no connection came about, or
// the member says so. Anything else that is not a result is ErrUnknown.
func (c *Client) Write(ctx context.Context, write *record.Write) (record.Result, error) {
	body, err := json.Marshal(write)
	if err != nil {
		return record.Result{}, fmt.Errorf("%w: %w", ErrRefused, err)
	}
	var connRequested, connected atomic.Bool
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GetConn: func(string) { connRequested.Store(true) },
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	r, err := http.NewRequestWithContext(traced, http.MethodPost, c.base+"/v1/write", bytes.NewReader(body))
	if err != nil {
		return record.Result{}, fmt.Errorf("%w: %w", ErrRefused, err)
	}
	r.Header.Set("Content-Type", "application/json")
	if hops, ok := ctx.Value(hopsKey{}).(int); ok {
		r.Header.Set(hopsHeader, strconv.Itoa(hops+1))
	}
	resp, err := c.http.Do(r)
	if err != nil {
		var opErr *net.OpError
		if connRequested.Load() && !connected.Load() || errors.As(err, &opErr) && opErr.Op == "dial" {
			return record.Result{}, fmt.Errorf("%w: %w", ErrRefused, err)
		}
		return record.Result{}, fmt.Errorf("%w: %w", ErrUnknown, err)
	}
	defer resp.Body.Close()
	respBody, err := readAll(resp.Body, maxResponseBytes)
	if err != nil {
		return record.Result{}, fmt.Errorf("%w: %w", ErrUnknown, err)
	}
	return parseWriteResponse(resp.StatusCode, respBody, write.ID)
}

// parseWriteResponse is what an answer to a write says.
func parseWriteResponse(status int, body []byte, id string) (record.Result, error) {
	var reply struct {
		Refused, Unknown, Invalid string
	}
	if status != http.StatusOK {
		_ = json.Unmarshal(body, &reply) // without a word in it the answer may be anybody's
	}
	switch {
	case status == http.StatusOK:
		var result record.Result
		if err := json.Unmarshal(body, &result); err != nil || result.ID != id || result.Outcome == "" {
			return record.Result{}, fmt.Errorf("%w: an answer that is no result of it: %.100q", ErrUnknown, body)
		}
		return result, nil
	case status == http.StatusServiceUnavailable && reply.Refused != "":
		return record.Result{}, fmt.Errorf("%w: %s", ErrRefused, reply.Refused)
	case status == http.StatusBadRequest && reply.Invalid != "":
		return record.Result{}, fmt.Errorf("%w: %s", ErrRefused, reply.Invalid)
	}
	return record.Result{}, fmt.Errorf("%w: status %d %.100s", ErrUnknown, status, reply.Unknown)
}
