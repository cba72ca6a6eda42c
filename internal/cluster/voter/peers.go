package voter

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"
)

const (
	maxBodyBytes    = 4 << 20
	forwardedHeader = "Burlpass-Handed-On" // set on a call that another voter forwards
)

// peers makes the HTTP calls to other voters that are not part of raft's protocol.
type peers struct {
	c         *Config
	transport *http.Transport
	client    *http.Client
}

func newPeers(c *Config) *peers {
	t := &http.Transport{DialContext: c.Dial, MaxIdleConnsPerHost: 8, IdleConnTimeout: 30 * time.Second,
		DisableCompression: true, MaxResponseHeaderBytes: 16 << 10}
	return &peers{c: c, transport: t, client: &http.Client{Transport: t,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}}
}

func (p *peers) close() { p.transport.CloseIdleConnections() }

// refusal is the body of a response with a status other than 200.
type refusal struct {
	Refused string `json:"refused,omitempty"`
	Unknown string `json:"unknown,omitempty"`
	State   bool   `json:"state,omitempty"` // response to a claim: this voter's disk already holds state
	status  int
}

func (r *refusal) Error() string {
	if r.Unknown != "" {
		return r.Unknown
	}
	return r.Refused
}

// errNotSent means that a request was certainly not sent.
var errNotSent = errors.New("no connection")

// call sends a request to a voter. The error is a *refusal if the voter answered with one, and errNotSent if the request was
// certainly not sent.
func (p *peers) call(ctx context.Context, name, method, path string, in, out any) error {
	return p.forward(ctx, name, method, path, in, out, false)
}

// forward is call, with a header that marks a forwarded request if forwarded is set.
func (p *peers) forward(ctx context.Context, name, method, path string, in, out any, forwarded bool) error {
	addr := p.c.address(name)
	if addr == "" {
		return fmt.Errorf("%w: %q is no voter of the configuration", errNotSent, name)
	}
	var body io.Reader
	if in != nil {
		text, err := json.Marshal(in)
		if err != nil {
			return fmt.Errorf("%w: %w", errNotSent, err)
		}
		body = bytes.NewReader(text)
	}
	var connected atomic.Bool
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }})
	r, err := http.NewRequestWithContext(traced, method, "http://"+addr+path, body)
	if err != nil {
		return fmt.Errorf("%w: %w", errNotSent, err)
	}
	if forwarded {
		r.Header.Set(forwardedHeader, "1")
	}
	resp, err := p.client.Do(r)
	if err != nil && !connected.Load() {
		return fmt.Errorf("%w: %w", errNotSent, err)
	}
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxBodyBytes))
	if err != nil {
		return err
	}
	if resp.StatusCode == http.StatusOK {
		return json.Unmarshal(text, out)
	}
	refused := &refusal{status: resp.StatusCode}
	if json.Unmarshal(text, refused) != nil || refused.Error() == "" {
		return fmt.Errorf("%s: %.200q", resp.Status, text)
	}
	return refused
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func writeRefusal(w http.ResponseWriter, status int, r refusal) { writeJSON(w, status, r) }

// decodeBody decodes a request's body. If that fails it writes the error response and returns false.
func decodeBody(w http.ResponseWriter, r *http.Request, to any) bool {
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err := d.Decode(to); err != nil {
		writeRefusal(w, http.StatusBadRequest, refusal{Refused: "body: " + err.Error()})
		return false
	}
	return true
}
