package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// entry is one worker in the registry's list.
type entry struct {
	ID        string  `json:"instanceId"`
	Addr      string  `json:"hostPort"`
	Zone      string  `json:"zone"`
	Kind      string  `json:"machineType"`
	Cell      int     `json:"cell"`
	Lifecycle string  `json:"lifecycle"`
	Weight    float64 `json:"weight"`
	Started   int64   `json:"startedAtMs"`

	changed int // version of its last change
}

type list struct {
	Generation int     `json:"generation"`
	Reset      bool    `json:"reset"`
	Instances  []entry `json:"instances"`
}

// registry is the discovery service: one list, served at any number of addresses.
type registry struct {
	*rig
	mu      sync.Mutex
	version int
	entries []*entry
	news    chan struct{} // closed at the next change

	// wait, unless nil, is how long a call has to wait before the service turns to it.
	wait func() time.Duration
}

func newRegistry(g *rig, entries ...*entry) *registry {
	return &registry{rig: g, version: 1, entries: entries, news: make(chan struct{})}
}

// known is the list as a sidecar's configuration has it.
func (r *registry) known() list { return r.since(-1) }

// since returns what has changed after a version, or the whole list for -1.
func (r *registry) since(version int) list {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := list{Generation: r.version, Reset: version < 0 || version > r.version, Instances: []entry{}}
	for _, e := range r.entries {
		if l.Reset && e.Lifecycle != "removed" || !l.Reset && e.changed > version {
			l.Instances = append(l.Instances, *e)
		}
	}
	return l
}

// set changes a worker's lifecycle.
func (r *registry) set(id, lifecycle string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.version++
	for _, e := range r.entries {
		if e.ID == id {
			e.Lifecycle, e.changed = lifecycle, r.version
		}
	}
	close(r.news)
	r.news = make(chan struct{})
	r.note("registry: %s is %s, generation %d", id, lifecycle, r.version)
}

func (r *registry) next() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.news
}

// endpoint is one address of the registry.
type endpoint struct {
	server *http.Server
	ln     net.Listener
	addr   string
}

// serve opens a further address.
func (r *registry) serve(name string) (*endpoint, error) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &endpoint{ln: ln, addr: ln.Addr().String()}
	e.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) { r.answer(name, w, q) })}
	go e.server.Serve(ln)
	return e, nil
}

// retire ends an address as at a move: no new connections at once, and the open ones are closed 1.5 s later.
func (e *endpoint) retire() {
	e.ln.Close()
	time.AfterFunc(1500*time.Millisecond, func() { e.server.Close() })
}

func (r *registry) answer(name string, w http.ResponseWriter, q *http.Request) {
	if q.URL.Path != "/catalog/members" {
		http.Error(w, "no such page", http.StatusNotFound)
		return
	}
	began := time.Now()
	version, err := strconv.Atoi(q.URL.Query().Get("since"))
	if err != nil {
		version = -1
	}
	if r.wait != nil {
		if d := r.wait(); d > 0 {
			select {
			case <-time.After(d):
			case <-q.Context().Done():
				r.note("registry %s: the sidecar gave up %s after %.2f s", name, q.URL.RawQuery, time.Since(began).Seconds())
				return
			}
		}
	}
	ms, _ := strconv.Atoi(q.URL.Query().Get("timeout_ms"))
	end := time.After(time.Duration(min(ms, 60000)) * time.Millisecond)
	for {
		news := r.next()
		l := r.since(version)
		if version < 0 || l.Reset || len(l.Instances) > 0 {
			r.tell(name, w, q, began, l)
			return
		}
		select {
		case <-news:
		case <-end:
			r.tell(name, w, q, began, l)
			return
		case <-q.Context().Done():
			return
		case <-r.ctx.Done():
			return
		}
	}
}

func (r *registry) tell(name string, w http.ResponseWriter, q *http.Request, began time.Time, l list) {
	b, err := json.Marshal(l)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	w.Write(b)
	if len(l.Instances) > 0 {
		r.note("registry %s: told generation %d to %s (%s), asked %.2f s before", name, l.Generation, q.RemoteAddr, q.URL.RawQuery, time.Since(began).Seconds())
	}
}

// hall returns the name of a hall by its number.
func hall(i int) string { return fmt.Sprintf("hall-%c", 'a'+i) }
