package voter

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	"burlpass/internal/cluster/api"
	"burlpass/internal/lease"
	"burlpass/internal/record"
	"burlpass/internal/transport"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// cluster is a set of voters in this process, each with its own folder and address.
type cluster struct {
	t       testing.TB
	nodes   []*node
	timings Timings
	limits  func(record.View) []lease.Limit

	mu    sync.Mutex
	cut   map[[2]string]bool // pairs of from and to whose connections are blocked
	conns map[*conn]bool
}

type node struct {
	c      *cluster
	peer   Peer
	voters []Peer
	folder string
	server *httptest.Server
	mux    atomic.Pointer[http.ServeMux] // nil while the voter is not open
	logs   logBuffer
	v      *Voter
}

// logBuffer collects the log output of a node.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *logBuffer) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(b)
}

// count returns how often an event was logged.
func (l *logBuffer) count(event string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Count(l.text.String(), "msg="+event)
}

// conn is a connection between two nodes, which can be blocked.
type conn struct {
	net.Conn
	c        *cluster
	from, to string
}

func (c *conn) Quiet() bool { return transport.Quiet(c.Conn) }

func (c *conn) Close() error {
	c.c.mu.Lock()
	delete(c.c.conns, c)
	c.c.mu.Unlock()
	return c.Conn.Close()
}

// newCluster prepares addresses and folders for n voters, and opens none of them.
func newCluster(t testing.TB, n int) *cluster {
	c := &cluster{t: t, cut: map[[2]string]bool{}, conns: map[*conn]bool{}}
	var voters []Peer
	for i := range n {
		d := &node{c: c, folder: t.TempDir()}
		d.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if mux := d.mux.Load(); mux != nil {
				mux.ServeHTTP(w, r)
				return
			}
			w.WriteHeader(http.StatusServiceUnavailable)
		}))
		d.peer = Peer{fmt.Sprintf("v%d", i+1), d.server.Listener.Addr().String()}
		voters = append(voters, d.peer)
		c.nodes = append(c.nodes, d)
	}
	for _, d := range c.nodes {
		d.voters = voters
	}
	t.Cleanup(func() {
		for _, d := range c.nodes {
			d.close()
			d.server.Close()
		}
		http.DefaultTransport.(*http.Transport).CloseIdleConnections()
	})
	return c
}

func (d *node) config() Config {
	log := slog.New(slog.NewTextHandler(&d.logs, nil))
	return Config{Cluster: "plant", Name: d.peer.Name, Folder: d.folder, Voters: d.voters, Bounds: record.DefaultBounds(),
		Domains: []record.Domain{record.Orders()}, Timings: d.c.timings, Log: log, Dial: d.dial, Limits: d.c.limits}
}

func (d *node) open() {
	d.c.t.Helper()
	v, err := Open(context.Background(), d.config())
	if err != nil {
		d.c.t.Fatal(err)
	}
	mux := http.NewServeMux()
	v.Mount(mux)
	d.v = v
	d.mux.Store(mux)
}

func (d *node) close() {
	d.mux.Store(nil)
	if d.v != nil {
		if err := d.v.Close(); err != nil {
			d.c.t.Error(err)
		}
	}
	d.v = nil
}

// kill stops a voter like the end of its process does: it cannot transfer its leadership.
func (d *node) kill() {
	d.c.isolate(d, true)
	d.close()
	d.c.isolate(d, false)
}

func (d *node) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	to := ""
	for _, p := range d.voters {
		if p.Addr == addr {
			to = p.Name
		}
	}
	raw, err := (&net.Dialer{}).DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	c := &conn{raw, d.c, d.peer.Name, to}
	d.c.mu.Lock()
	defer d.c.mu.Unlock()
	if d.c.cut[[2]string{c.from, c.to}] {
		raw.Close()
		return nil, errors.New("cut")
	}
	d.c.conns[c] = true
	return c, nil
}

// isolate blocks all connections between a node and the others, or allows them again.
func (c *cluster) isolate(d *node, cut bool) {
	for _, o := range c.nodes {
		c.block(d, o, cut)
		c.block(o, d, cut)
	}
}

// block closes and refuses the connections that one node opens to another, or allows them again.
func (c *cluster) block(from, to *node, cut bool) {
	c.mu.Lock()
	route := [2]string{from.peer.Name, to.peer.Name}
	c.cut[route] = cut && from != to
	var blocked []*conn
	for n := range c.conns {
		if c.cut[route] && [2]string{n.from, n.to} == route {
			blocked = append(blocked, n)
		}
	}
	c.mu.Unlock()
	for _, n := range blocked {
		n.Close()
	}
}

// open opens all nodes that are not open, and waits until all have a vote.
func (c *cluster) open() {
	c.t.Helper()
	for _, d := range c.nodes {
		if d.v == nil {
			d.open()
		}
	}
	c.eventually("all nodes have a vote", func() bool {
		for _, d := range c.nodes {
			if s := d.v.Status(); s.Leader == "" || s.State == "forming" || s.State == "joining" || d.v.Replica() == nil {
				return false
			}
		}
		return true
	})
}

// eventually polls a condition for up to a minute.
func (c *cluster) eventually(what string, condition func() bool) {
	c.t.Helper()
	for end := time.Now().Add(time.Minute); !condition(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			for _, d := range c.nodes {
				if d.v != nil {
					c.t.Logf("%+v\n%s", d.v.Status(), d.logs.text.String())
				}
			}
			c.t.Fatalf("never: %s", what)
		}
	}
}

// leader waits until one of the given nodes, or of all if none are given, leads, and returns it.
func (c *cluster) leader(among ...*node) *node {
	c.t.Helper()
	if among == nil {
		among = c.nodes
	}
	var found *node
	c.eventually("a leader", func() bool {
		for _, d := range among {
			if d.v != nil && d.v.Status().State == "leader" {
				found = d
				return true
			}
		}
		return false
	})
	return found
}

func (c *cluster) others(d *node) (others []*node) {
	for _, o := range c.nodes {
		if o != d {
			others = append(others, o)
		}
	}
	return others
}

// disableOrder is a write that disables a worker.
func disableOrder(id, worker string, base record.Version) *record.Write {
	return &record.Write{ID: id, By: "test", Base: base, Changes: []record.Change{{Kind: record.OrderKind, Key: "worker/" + worker,
		Value: []byte(`{"do":"disable","by":"test"}`)}}}
}

// write applies a write, and repeats it under the same id until the outcome is known.
func (d *node) write(id, worker string, base record.Version) record.Result {
	d.c.t.Helper()
	var result record.Result
	var err error
	d.c.eventually("the write "+id, func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		result, err = d.v.Write(ctx, disableOrder(id, worker, base))
		return err == nil
	})
	if result.Outcome != record.Applied || result.ID != id {
		d.c.t.Fatalf("%+v", result)
	}
	return result
}

// waitShows waits until a node shows the orders of all given workers.
func (d *node) waitShows(workers ...string) {
	d.c.t.Helper()
	d.c.eventually(fmt.Sprintf("%s shows %v", d.peer.Name, workers), func() bool {
		r := d.v.Replica()
		if r == nil {
			return false
		}
		view := r.View()
		for _, w := range workers {
			if _, ok := view.Get(record.OrderKind, "worker/"+w); !ok {
				return false
			}
		}
		return true
	})
}

// read performs a consistent read, and repeats it until it succeeds.
func (d *node) read() record.View {
	d.c.t.Helper()
	var view record.View
	d.c.eventually("a consistent read", func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		var err error
		view, _, err = d.v.Read(ctx, true)
		if err != nil && !errors.Is(err, api.ErrRefused) {
			d.c.t.Fatal(err)
		}
		return err == nil
	})
	return view
}

// get sends a GET request with the given header.
func get(t testing.TB, addr, path string, header http.Header) (status int, text string) {
	t.Helper()
	r, err := http.NewRequest(http.MethodGet, "http://"+addr+path, nil)
	if err != nil {
		t.Fatal(err)
	}
	r.Header = header
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	b, _ := io.ReadAll(io.LimitReader(resp.Body, 4096))
	return resp.StatusCode, string(b)
}
