package main

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// instance is one entry of the list of workers.
type instance struct {
	ID        string  `json:"instanceId"`
	Addr      string  `json:"hostPort"`
	Zone      string  `json:"zone"`
	Kind      string  `json:"machineType"`
	Cell      int     `json:"cell"`
	Lifecycle string  `json:"lifecycle"`
	Weight    float64 `json:"weight"`
	StartedMs int64   `json:"startedAtMs"`
}

// members is an answer of the registry.
type members struct {
	Generation uint64     `json:"generation"`
	Reset      bool       `json:"reset"`
	Instances  []instance `json:"instances"`
}

// registry is a sound registry whose list does not change.
type registry struct {
	addr string

	mu        sync.Mutex
	instances []instance
}

const generation = 41

// startRegistry serves the list of the workers.
func startRegistry(workers []*worker) (*registry, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &registry{addr: ln.Addr().String()}
	for i, w := range workers {
		r.instances = append(r.instances, instance{ID: w.id, Addr: w.addr, Zone: w.zone, Kind: "standard", Cell: i / 6, Lifecycle: "up", Weight: 1})
	}
	go http.Serve(ln, r)
	return r, nil
}

// whole is the whole list.
func (r *registry) whole() members {
	r.mu.Lock()
	defer r.mu.Unlock()
	return members{generation, true, append([]instance{}, r.instances...)}
}

// ServeHTTP answers a call for the whole list at once, and a watch after its wait, since nothing changes.
func (r *registry) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	if q.URL.Path != "/catalog/members" {
		http.NotFound(w, q)
		return
	}
	answer := r.whole()
	if since, err := strconv.ParseUint(q.URL.Query().Get("since"), 10, 64); err == nil && since == generation {
		wait, _ := strconv.Atoi(q.URL.Query().Get("timeout_ms"))
		select {
		case <-time.After(time.Duration(wait) * time.Millisecond):
		case <-q.Context().Done():
			return
		}
		answer = members{generation, false, []instance{}}
	}
	text, _ := json.Marshal(answer)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	w.Write(text)
}
