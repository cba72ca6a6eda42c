package api

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"

	"burlpass/internal/lease"
)

const maxLeaseBytes = 64 << 10 // of a lease request body

// lease serves POST /v1/lease. A lost request has no lasting effect, so every failure is reported as refused.
func (s *server) lease(w http.ResponseWriter, r *http.Request) {
	var ask lease.Ask
	err := decodeBody(http.MaxBytesReader(w, r.Body, maxLeaseBytes), &ask)
	if err == nil {
		err = ask.Check()
	}
	if err != nil {
		writeInvalid(w, "body, "+err.Error())
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), min(s.options.RequestTimeout, lease.Length))
	defer cancel()
	a, err := s.member.Lease(ctx, ask)
	if err != nil {
		writeJSON(w, http.StatusServiceUnavailable, map[string]string{"refused": err.Error()})
		return
	}
	writeJSON(w, http.StatusOK, a)
}

// Lease requests leases through the member. Every error is ErrRefused: a lease that was granted in a lost response expires by
// itself.
func (c *Client) Lease(ctx context.Context, ask lease.Ask) (a lease.Answer, err error) {
	body, err := json.Marshal(ask)
	if err != nil {
		return a, fmt.Errorf("%w: %w", ErrRefused, err)
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+"/v1/lease", bytes.NewReader(body))
	if err != nil {
		return a, fmt.Errorf("%w: %w", ErrRefused, err)
	}
	r.Header.Set("Content-Type", "application/json")
	resp, err := c.http.Do(r)
	if err != nil {
		return a, fmt.Errorf("%w: %w", ErrRefused, err)
	}
	defer resp.Body.Close()
	respBody, err := readAll(resp.Body, maxResponseBytes)
	if err == nil && resp.StatusCode != http.StatusOK {
		err = fmt.Errorf("%s: %.200s", resp.Status, bytes.TrimSpace(respBody))
	}
	if err == nil {
		err = json.Unmarshal(respBody, &a)
	}
	if err == nil && a.Number != ask.Number {
		err = errors.New("an answer to another question")
	}
	if err != nil {
		return lease.Answer{}, fmt.Errorf("%w: %w", ErrRefused, err)
	}
	return a, nil
}
