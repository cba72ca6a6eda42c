package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// worker is a booking server that answers after a fixed time.
type worker struct {
	*rig
	id, addr string
	work     time.Duration

	mu   sync.Mutex
	seen []arrival
}

// arrival is a request that has come whole.
type arrival struct {
	id string
	at time.Time
}

func (g *rig) newWorker(id string, work time.Duration) (*worker, error) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &worker{rig: g, id: id, addr: ln.Addr().String(), work: work}
	server := &http.Server{Handler: w, IdleTimeout: 5 * time.Second}
	go server.Serve(ln)
	return w, nil
}

func (w *worker) ServeHTTP(out http.ResponseWriter, q *http.Request) {
	switch q.URL.Path {
	case "/ping":
		return
	case "/_load":
		fmt.Fprint(out, "TEXT util=0.10, eps=0.00, queue=0")
		return
	}
	id := q.Header.Get("X-Trace-Id")
	w.mu.Lock()
	w.seen = append(w.seen, arrival{id, time.Now()})
	w.mu.Unlock()
	w.note("worker %s: %s has come", w.id, id)
	time.Sleep(w.work)
	fmt.Fprintf(out, "%s by %s", id, w.id)
}

// after returns what has come since a moment, of the requests whose id begins with a prefix.
func (w *worker) after(t time.Time, prefix string) (late []arrival) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, a := range w.seen {
		if a.at.After(t) && len(a.id) >= len(prefix) && a.id[:len(prefix)] == prefix {
			late = append(late, a)
		}
	}
	return late
}
