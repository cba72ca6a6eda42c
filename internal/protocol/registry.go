package protocol

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"time"

	"burlpass/internal/transport"
)

// Lifecycle is what the registry says of a worker.
type Lifecycle uint8

// The lifecycles.
const (
	Removed Lifecycle = iota
	LifecycleDraining
	Up
)

// Instance is one worker in the registry's list.
type Instance struct {
	ID        string    `json:"instanceId"`
	Addr      string    `json:"hostPort"`
	Zone      string    `json:"zone"`
	Kind      string    `json:"machineType"`
	Cell      int       `json:"cell"`
	Lifecycle Lifecycle `json:"lifecycle"`
	Weight    float64   `json:"weight"`
	StartedMs int64     `json:"startedAtMs"` // Unix time; 0 means long ago
}

// List is the whole list where Reset is set, else the entries that have changed.
type List struct {
	Generation uint64     `json:"generation"`
	Reset      bool       `json:"reset"`
	Instances  []Instance `json:"instances"`
}

// UnmarshalJSON reads a lifecycle by name.
func (l *Lifecycle) UnmarshalJSON(b []byte) error {
	switch string(b) {
	case `"up"`:
		*l = Up
	case `"draining"`:
		*l = LifecycleDraining
	case `"removed"`:
		*l = Removed
	default:
		return fmt.Errorf("unknown lifecycle %s", b)
	}
	return nil
}

// Bounds of a list, so that bad data cannot take the sidecar's memory.
const (
	maxList      = 4 << 20 // bytes
	maxInstances = 10_000
)

// ParseList reads the registry's JSON and checks what the sidecar relies on.
func ParseList(text []byte) (*List, error) {
	var l struct {
		List
		Generation *uint64     `json:"generation"`
		Instances  *[]Instance `json:"instances"`
	}
	if err := json.Unmarshal(text, &l); err != nil {
		return nil, fmt.Errorf("list: %w", err)
	}
	if l.Generation == nil || l.Instances == nil {
		return nil, malformed("list without generation or instances")
	}
	l.List.Generation, l.List.Instances = *l.Generation, *l.Instances
	if len(l.List.Instances) > maxInstances {
		return nil, malformed("list too long")
	}
	seen := make(map[string]bool, len(l.List.Instances))
	for i := range l.List.Instances {
		if err := l.List.Instances[i].check(); err != nil {
			return nil, err
		}
		if id := l.List.Instances[i].ID; l.Reset && seen[id] {
			return nil, fmt.Errorf("%w: instance %q listed twice", ErrMalformed, id)
		} else {
			seen[id] = true
		}
	}
	return &l.List, nil
}

// maxStartedMs is the latest start whose nanoseconds still fit.
const maxStartedMs = int64(1<<63-1) / int64(time.Millisecond)

func (i *Instance) check() error {
	if i.ID == "" {
		return malformed("instance without an id")
	}
	if i.Lifecycle == Removed {
		return nil
	}
	if _, port, err := net.SplitHostPort(i.Addr); err != nil || port == "" || strings.ContainsAny(i.Addr, "\r\n ") {
		return fmt.Errorf("%w: instance %q: address %q", ErrMalformed, i.ID, i.Addr)
	}
	if i.Weight < 0 || i.StartedMs < 0 || i.StartedMs > maxStartedMs || i.Cell < 0 {
		return fmt.Errorf("%w: instance %q: a figure out of range", ErrMalformed, i.ID)
	}
	return nil
}

// Registry asks the registry's service for lists. A Registry is used by one goroutine at a time.
type Registry struct {
	Network transport.Network
	Addr    string
	Wait    time.Duration // that a watch asks for
	Grace   time.Duration // in which an answer must be there, beyond its wait for a watch
	conn    net.Conn
	r       *bufio.Reader
}

// Watch waits for something newer than a generation.
func (g *Registry) Watch(ctx context.Context, since uint64) (*List, error) {
	target := "/catalog/members?since=" + strconv.FormatUint(since, 10) +
		"&timeout_ms=" + strconv.FormatInt(g.Wait.Milliseconds(), 10)
	return g.get(ctx, target, g.Wait+g.Grace)
}

// Fetch asks for the whole list.
func (g *Registry) Fetch(ctx context.Context) (*List, error) {
	return g.get(ctx, "/catalog/members", g.Grace)
}

// Close ends the connection.
func (g *Registry) Close() {
	if g.conn != nil {
		g.conn.Close()
		g.conn = nil
	}
}

func (g *Registry) get(ctx context.Context, target string, limit time.Duration) (*List, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	if g.conn == nil {
		conn, err := g.Network.Dial(ctx, g.Addr)
		if err != nil {
			return nil, err
		}
		g.conn, g.r = conn, bufio.NewReaderSize(conn, maxHead)
	}
	conn := g.conn
	stop := context.AfterFunc(ctx, func() { conn.SetDeadline(time.Now()) })
	list, reuse, err := g.exchange(target)
	if !stop() || !reuse || err != nil {
		g.Close()
	}
	return list, err
}

func (g *Registry) exchange(target string) (list *List, reuse bool, err error) {
	_, err = io.WriteString(g.conn, "GET "+target+" HTTP/1.1\r\nHost: "+g.Addr+"\r\n\r\n")
	if err != nil {
		return nil, false, err
	}
	var h head
	status, err := readResponse(g.r, &h)
	if err != nil {
		return nil, false, err
	}
	if status != 200 {
		return nil, false, fmt.Errorf("the registry answered %d", status)
	}
	body, err := readList(g.r, &h)
	if err != nil {
		return nil, false, err
	}
	list, err = ParseList(body)
	return list, !h.closing, err
}

// readList reads a list's body, which may be larger than a call's.
func readList(r *bufio.Reader, h *head) ([]byte, error) {
	switch {
	case h.chunked:
		return readBody(r, h, nil, maxList)
	case h.length > maxList:
		return nil, ErrBodyTooBig
	case h.length < 0:
		h.closing = true
		b, err := io.ReadAll(io.LimitReader(r, maxList))
		return b, err
	}
	b := make([]byte, h.length)
	_, err := io.ReadFull(r, b)
	return b, whole(err)
}
