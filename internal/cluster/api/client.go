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

// Limits on the size of responses.
const (
	maxReadBytes     = 64 << 20 // of a read
	maxResponseBytes = 4 << 20  // of any other call except for entries
)

// Client calls one member. It is safe for concurrent use and stateless.
type Client struct {
	base string
	http *http.Client
}

// NewClient returns a client of the member at addr, host:port. The caller owns the transport; nil means
// http.DefaultTransport. The client follows no redirects.
func NewClient(addr string, transport http.RoundTripper) *Client {
	return &Client{"http://" + addr, &http.Client{Transport: transport,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}}
}

// NewTransport returns a transport for clients that limits the time of a dial and keeps idle connections. A nil dialer means
// the system dialer.
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

// get decodes the JSON body of a response with status 200 into dst. The error for any other status includes the body.
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

// readAll reads a body of at most maxBytes.
func readAll(src io.Reader, maxBytes int64) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(src, maxBytes+1))
	if err == nil && int64(len(body)) > maxBytes {
		err = fmt.Errorf("an answer over %d bytes", maxBytes)
	}
	return body, err
}

// Status returns the status of the member.
func (c *Client) Status(ctx context.Context) (st Status, err error) {
	_, err = c.get(ctx, "/v1/status", nil, maxResponseBytes, &st)
	return st, err
}

// Read returns all items of a kind, or the one with the given key if it is not empty. The error is ErrNothing if the member
// has no state yet and ErrRefused if it cannot serve a consistent read.
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

// Result returns the stored result of a write, or false if the member has none.
func (c *Client) Result(ctx context.Context, id string) (result record.Result, ok bool, err error) {
	status, err := c.get(ctx, "/v1/result", url.Values{"id": {id}}, maxResponseBytes, &result)
	if status == http.StatusNotFound {
		return record.Result{}, false, nil
	}
	return result, err == nil, err
}

// ReadIndex asks a voter for the version that a consistent read has to wait for, and for the ID of its cluster.
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

// Write sends a write to the member. The error is ErrRefused if the write was certainly not applied, because no connection
// was established or the member said so. Any other failure is ErrUnknown.
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

// parseWriteResponse interprets a response to a write.
func parseWriteResponse(status int, body []byte, id string) (record.Result, error) {
	var reply struct {
		Refused, Unknown, Invalid string
	}
	if status != http.StatusOK {
		_ = json.Unmarshal(body, &reply) // on failure reply stays empty: the response may not come from a member
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
