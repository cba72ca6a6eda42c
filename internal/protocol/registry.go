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

// Lifecycle is the state of a worker according to the registry.
type Lifecycle uint8

// The lifecycle states.
const (
	LifecycleRemoved Lifecycle = iota
	LifecycleDraining
	LifecycleUp
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
	StartedMs int64     `json:"startedAtMs"` // Unix time in milliseconds; 0 means long ago
}

// List is the complete list if Reset is set, and otherwise the entries that have changed.
type List struct {
	Generation uint64     `json:"generation"`
	Reset      bool       `json:"reset"`
	Instances  []Instance `json:"instances"`
}

// UnmarshalJSON parses a lifecycle by its name.
func (l *Lifecycle) UnmarshalJSON(b []byte) error {
	switch string(b) {
	case `"up"`:
		*l = LifecycleUp
	case `"draining"`:
		*l = LifecycleDraining
	case `"removed"`:
		*l = LifecycleRemoved
	default:
		return fmt.Errorf("unknown lifecycle %s", b)
	}
	return nil
}

// Limits on a list, so that invalid data cannot exhaust the sidecar's memory.
const (
	maxListBytes = 4 << 20
	maxInstances = 10_000
)

// ParseList parses the registry's JSON and validates the properties that the sidecar relies on.
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

// maxStartedMs is the latest start time whose nanoseconds fit into an int64.
const maxStartedMs = int64(1<<63-1) / int64(time.Millisecond)

func (i *Instance) check() error {
	if i.ID == "" {
		return malformed("instance without an id")
	}
	if i.Lifecycle == LifecycleRemoved {
		return nil
	}
	if _, port, err := net.SplitHostPort(i.Addr); err != nil || port == "" || strings.ContainsAny(i.Addr, "\r\n ") {
		return fmt.Errorf("%w: instance %q: address %q", ErrMalformed, i.ID, i.Addr)
	}
	if i.Weight < 0 || i.StartedMs < 0 || i.StartedMs > maxStartedMs || i.Cell < 0 {
		return fmt.Errorf("%w: instance %q: number out of range", ErrMalformed, i.ID)
	}
	return nil
}

// RegistryClient is a client of the service registry. It must be used by one goroutine at a time.
type RegistryClient struct {
	Network         transport.Network
	Addr            string
	WatchTimeout    time.Duration // how long a watch asks the registry to wait for changes
	ResponseTimeout time.Duration // time limit for a response, in addition to the wait of a watch
	conn            net.Conn
	r               *bufio.Reader
}

// Watch waits for a list that is newer than the given generation.
func (g *RegistryClient) Watch(ctx context.Context, since uint64) (*List, error) {
	target := "/catalog/members?since=" + strconv.FormatUint(since, 10) +
		"&timeout_ms=" + strconv.FormatInt(g.WatchTimeout.Milliseconds(), 10)
	return g.get(ctx, target, g.WatchTimeout+g.ResponseTimeout)
}

// Fetch requests the complete list.
func (g *RegistryClient) Fetch(ctx context.Context) (*List, error) {
	return g.get(ctx, "/catalog/members", g.ResponseTimeout)
}

// Close closes the connection.
func (g *RegistryClient) Close() {
	if g.conn != nil {
		g.conn.Close()
		g.conn = nil
	}
}

func (g *RegistryClient) get(ctx context.Context, target string, limit time.Duration) (*List, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	if g.conn == nil {
		conn, err := g.Network.Dial(ctx, g.Addr)
		if err != nil {
			return nil, err
		}
		g.conn, g.r = conn, bufio.NewReaderSize(conn, maxHeadBytes)
	}
	conn := g.conn
	stop := context.AfterFunc(ctx, func() { conn.SetDeadline(time.Now()) })
	list, reuse, err := g.exchange(target)
	if !stop() || !reuse || err != nil {
		g.Close()
	}
	return list, err
}

func (g *RegistryClient) exchange(target string) (list *List, reuse bool, err error) {
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
		return nil, false, fmt.Errorf("registry responded with status %d", status)
	}
	body, err := readList(g.r, &h)
	if err != nil {
		return nil, false, err
	}
	list, err = ParseList(body)
	return list, !h.closeAfter, err
}

// readList reads the body of a list, which may be larger than that of a call.
func readList(r *bufio.Reader, h *head) ([]byte, error) {
	switch {
	case h.chunked:
		return readBody(r, h, nil, maxListBytes)
	case h.length > maxListBytes:
		return nil, ErrBodyTooBig
	case h.length < 0:
		h.closeAfter = true
		b, err := io.ReadAll(io.LimitReader(r, maxListBytes))
		return b, err
	}
	b := make([]byte, h.length)
	_, err := io.ReadFull(r, b)
	return b, unexpectedEOF(err)
}
