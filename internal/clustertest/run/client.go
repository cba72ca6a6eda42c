package run

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"time"

	"burlpass/internal/clustertest/history"
)

// client speaks the cluster's wire as docs/cluster.md has it, with nothing of the product's own client.
type client struct {
	http  *http.Client
	addrs map[string]string // of the members
}

// newClient has the system's dialer unless it is given another.
func newClient(addrs map[string]string, dial ...func(ctx context.Context, network, addr string) (net.Conn, error)) *client {
	via := &http.Transport{MaxIdleConnsPerHost: 16, IdleConnTimeout: 10 * time.Second}
	for _, d := range dial {
		via.DialContext = d
	}
	return &client{&http.Client{Transport: via}, addrs}
}

func (c *client) close() { c.http.CloseIdleConnections() }

const mostAnswer = 16 << 20

// ask makes a call. unsent: it surely did not reach the member.
func (c *client) ask(ctx context.Context, member, method, path string, body any, to any) (status int, unsent bool, err error) {
	var text []byte
	if body != nil {
		if text, err = json.Marshal(body); err != nil {
			return 0, true, err
		}
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+c.addrs[member]+path, bytes.NewReader(text))
	if err != nil {
		return 0, true, err
	}
	resp, err := c.http.Do(r)
	if err != nil {
		var op *net.OpError
		return 0, errors.As(err, &op) && op.Op == "dial", err
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(resp.Body, mostAnswer))
	if err != nil {
		return resp.StatusCode, false, err
	}
	if err := json.Unmarshal(answer, to); err != nil {
		return resp.StatusCode, false, fmt.Errorf("status %d, %.100q: %w", resp.StatusCode, answer, err)
	}
	return resp.StatusCode, false, nil
}

type wireItem struct {
	Kind    string          `json:"kind"`
	Key     string          `json:"key"`
	Value   json.RawMessage `json:"value,omitempty"`
	Version uint64          `json:"version,omitempty"`
}

// orderValue is the value of an item of the kind order. By carries what tells one write from all others.
type orderValue struct {
	Do      string `json:"do"`
	By      string `json:"by"`
	UntilMs int64  `json:"until_ms"`
}

type wireWrite struct {
	ID      string     `json:"id"`
	By      string     `json:"by"`
	Base    uint64     `json:"base"`
	Changes []wireItem `json:"changes"`
}

const kind = "order"

// write makes one call with a write; the times are the caller's to set.
func (c *client) write(ctx context.Context, member string, w *history.Write) (history.Attempt, string) {
	order := wireWrite{ID: w.ID, By: "clustertest", Base: w.Base}
	for _, change := range w.Changes {
		item := wireItem{Kind: kind, Key: change.Key}
		if change.Value != "" {
			item.Value, _ = json.Marshal(orderValue{"disable", change.Value, w.UntilMs})
		}
		order.Changes = append(order.Changes, item)
	}
	var said struct {
		ID, Outcome, Reason       string
		Version                   uint64
		Newer                     []wireItem
		Refused, Unknown, Invalid string
	}
	a := history.Attempt{Process: member}
	status, unsent, err := c.ask(ctx, member, http.MethodPost, "/v1/write", order, &said)
	switch {
	case unsent:
		a.Refused = true
		return a, err.Error()
	case err != nil:
		a.Unknown = true
		return a, err.Error()
	case status == http.StatusOK && said.ID == w.ID && said.Outcome != "" && said.Version > 0:
		a.Outcome, a.Version, a.Newer = said.Outcome, said.Version, map[string]uint64{}
		for _, item := range said.Newer {
			a.Newer[item.Key] = item.Version
		}
		return a, said.Reason
	case status == http.StatusServiceUnavailable && said.Refused != "":
		a.Refused = true
		return a, said.Refused
	case status == http.StatusGatewayTimeout:
		a.Unknown = true
		return a, said.Unknown
	}
	a.Unknown = true
	return a, fmt.Sprintf("status %d: %+v", status, said)
}

// read gives a member's state; false with why where it shows none.
func (c *client) read(ctx context.Context, member string, consistent bool) (history.Read, bool, string) {
	var said struct {
		Version          uint64
		TimeMs           int64 `json:"time_ms"`
		AgeMs            int64 `json:"age_ms"`
		Hash             string
		Items            []wireItem
		Refused, Nothing string
	}
	q := url.Values{"kind": {kind}}
	if consistent {
		q.Set("consistent", "1")
	}
	status, _, err := c.ask(ctx, member, http.MethodGet, "/v1/read?"+q.Encode(), nil, &said)
	if err != nil {
		return history.Read{}, false, err.Error()
	}
	if status != http.StatusOK {
		return history.Read{}, false, fmt.Sprintf("status %d: %s%s", status, said.Refused, said.Nothing)
	}
	r := history.Read{Process: member, Consistent: consistent, Version: said.Version, TimeMs: said.TimeMs, Hash: said.Hash, AgeMs: said.AgeMs}
	for _, item := range said.Items {
		var v orderValue
		if err := json.Unmarshal(item.Value, &v); err != nil {
			v.By = "not an order: " + string(item.Value)
		}
		r.Items = append(r.Items, history.Item{Key: item.Key, Value: v.By, Version: item.Version})
	}
	return r, true, ""
}

// status is what a member says of itself.
type status struct {
	Cluster  string // its id
	Name     string
	Role     string
	State    string
	Identity string
	Leader   string
	Version  uint64
	Hash     string
	AgeMs    int64 `json:"age_ms"`
	Path     []string
	Voters   []struct {
		Name, Identity string
		Votes          bool
	}
	Fault string
}

func (c *client) status(ctx context.Context, member string) (s status, err error) {
	code, _, err := c.ask(ctx, member, http.MethodGet, "/v1/status", nil, &s)
	if err == nil && code != http.StatusOK {
		err = fmt.Errorf("status %d", code)
	}
	return s, err
}
