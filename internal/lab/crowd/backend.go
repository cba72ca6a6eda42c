package crowd

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

// The paths, below the class, for which a backend behaves in a special way.
const (
	longPath     = "long"      // answered with longAnswer bytes
	mediumPath   = "medium"    // answered with mediumAnswer bytes
	slowReadPath = "slow-read" // its body is read at slowRate
	interimPath  = "interim"   // answered with interim responses at full speed, for interimTime
)

const (
	longAnswer    = 32 << 20
	interimTime   = 500 * time.Millisecond
	mediumAnswer  = 60 << 10
	backendBuffer = 16 << 10 // receive buffer of a backend, so that a slow one holds its sender back
	maxWatch      = 5 * time.Second

	eagerInstances = 500
)

// world is what the sidecar talks to: backends and discovery.
type world struct {
	servers    []*http.Server
	instances  []instance
	discovery  string // address
	departures departures

	eager      bool // discovery answers each watch at once, with a new list of eagerInstances more
	generation atomic.Int64
}

// instance is an entry of discovery's list.
type instance struct {
	ID        string  `json:"instanceId"`
	HostPort  string  `json:"hostPort"`
	Zone      string  `json:"zone"`
	Machine   string  `json:"machineType"`
	Lifecycle string  `json:"lifecycle"`
	Weight    float64 `json:"weight"`
}

// list is discovery's list, or what has changed of it.
type list struct {
	Generation int        `json:"generation"`
	Reset      bool       `json:"reset"`
	Instances  []instance `json:"instances"`
}

// newWorld starts n backends and discovery.
func newWorld(n int) (*world, error) {
	w := &world{}
	for i := range n {
		addr, err := w.serve(http.HandlerFunc(w.answerRequest))
		if err != nil {
			w.close()
			return nil, err
		}
		w.instances = append(w.instances, instance{fmt.Sprintf("s-%d", i), addr, "hall-" + string(rune('a'+i%2)), "new", "up", 1})
	}
	var err error
	if w.discovery, err = w.serve(http.HandlerFunc(w.answerDiscovery)); err != nil {
		w.close()
		return nil, err
	}
	return w, nil
}

// serve starts one server and returns its address.
func (w *world) serve(handler http.Handler) (string, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, backendBuffer)
		})
	}}
	ln, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler}
	w.servers = append(w.servers, server)
	go server.Serve(ln)
	return ln.Addr().String(), nil
}

// close ends all servers and their connections.
func (w *world) close() {
	for _, server := range w.servers {
		server.Close()
	}
}

// answerRequest answers as a booking server.
func (w *world) answerRequest(out http.ResponseWriter, r *http.Request) {
	w.departures.check(r)
	_, path, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	if path == slowReadPath {
		piece := make([]byte, int(slowRate*slowPause.Seconds()))
		for {
			if _, err := io.ReadFull(r.Body, piece); err != nil {
				break
			}
			time.Sleep(slowPause)
		}
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	switch path {
	case interimPath:
		for start := time.Now(); time.Since(start) < interimTime && r.Context().Err() == nil; {
			out.WriteHeader(http.StatusProcessing)
		}
		io.WriteString(out, "ok")
	case longPath:
		writeBytes(out, longAnswer)
	case mediumPath:
		writeBytes(out, mediumAnswer)
	default:
		io.WriteString(out, "ok")
	}
}

// writeBytes writes a body of n bytes.
func writeBytes(w http.ResponseWriter, n int) {
	w.Header().Set("Content-Length", strconv.Itoa(n))
	piece := make([]byte, 16<<10)
	for ; n > 0; n -= len(piece) {
		if _, err := w.Write(piece[:min(n, len(piece))]); err != nil {
			return
		}
	}
}

// answerDiscovery answers with the whole list, or holds a watch, for nothing changes.
func (w *world) answerDiscovery(out http.ResponseWriter, r *http.Request) {
	if w.eager {
		json.NewEncoder(out).Encode(w.eagerList())
		return
	}
	l := list{Generation: 1, Reset: true, Instances: w.instances}
	if r.URL.Query().Has("since") {
		l = list{Generation: 1, Instances: []instance{}}
		wait, _ := strconv.Atoi(r.URL.Query().Get("timeout_ms"))
		sleep(r.Context(), min(time.Duration(wait)*time.Millisecond, maxWatch))
	}
	json.NewEncoder(out).Encode(l)
}

// eagerList returns a new list, in which further instances drain.
func (w *world) eagerList() list {
	l := list{Generation: 1 + int(w.generation.Add(1)), Reset: true, Instances: slices.Clone(w.instances)}
	for i := range eagerInstances {
		l.Instances = append(l.Instances, instance{fmt.Sprintf("d-%d", i), fmt.Sprintf("127.0.0.2:%d", 1000+i), "hall-a", "new", "draining", 1})
	}
	return l
}
