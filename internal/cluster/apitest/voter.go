// Package apitest provides a fake cluster member for tests: a voter that commits its own writes.
package apitest

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"burlpass/internal/cluster/api"
	"burlpass/internal/cluster/replica"
	"burlpass/internal/lease"
	"burlpass/internal/record"
)

// Cluster is the default cluster ID of a Voter.
const Cluster = "c-test"

// Voter acts as a complete cluster. Several voters that share one State act as its voters.
type Voter struct {
	Name     string
	Cluster  string
	State    *replica.Replica
	IsLeader atomic.Bool
	Age      atomic.Int64 // of the state, in nanoseconds
	// Fails, if set, decides the outcome of Write: an error is returned after the write was applied or, if take is false,
	// without applying it.
	Fails func(w *record.Write) (take bool, err error)
	// LeaseHook, if set, answers lease requests.
	LeaseHook func(ask lease.Ask) (lease.Answer, error)
}

// NewVoter returns a leading voter with an empty state that keeps up to the given number of entries.
func NewVoter(name string, entries int) *Voter {
	v := &Voter{Name: name, Cluster: Cluster, State: replica.New(record.New(record.Bounds{}, record.Orders()), entries, 0)}
	v.IsLeader.Store(true)
	return v
}

// Write applies a write.
func (v *Voter) Write(_ context.Context, w *record.Write) (record.Result, error) {
	if v.Fails != nil {
		if take, err := v.Fails(w); err != nil {
			if take {
				_, _ = v.apply(w)
			}
			return record.Result{}, err
		}
	}
	return v.apply(w)
}

func (v *Voter) apply(w *record.Write) (record.Result, error) {
	raw, err := record.Encode(&record.Entry{Write: w})
	if err != nil {
		return record.Result{}, fmt.Errorf("%w: %w", api.ErrRefused, err)
	}
	return v.State.Apply(raw)
}

// DisableOrder returns a write that disables a worker.
func DisableOrder(id, worker string, base record.Version) *record.Write {
	value, _ := json.Marshal(map[string]any{"do": record.Disable, "by": "test", "until_ms": 0})
	return &record.Write{ID: id, By: "test", Base: base,
		Changes: []record.Change{{Kind: record.OrderKind, Key: record.OfWorker + "/" + worker, Value: value}}}
}

// Add applies n further writes and returns the version after them.
func (v *Voter) Add(t testing.TB, n int) record.Version {
	t.Helper()
	for range n {
		version := v.State.View().Version()
		if r, err := v.apply(DisableOrder("w"+strconv.Itoa(int(version)), "w"+strconv.Itoa(int(version)), version)); err != nil || r.Outcome != record.Applied {
			t.Fatalf("write after version %d: %+v, %v", version, r, err)
		}
	}
	return v.State.View().Version()
}

// Lease calls LeaseHook, or refuses if it is not set.
func (v *Voter) Lease(_ context.Context, ask lease.Ask) (lease.Answer, error) {
	if v.LeaseHook == nil {
		return lease.Answer{}, fmt.Errorf("%w: no limits are divided", api.ErrRefused)
	}
	return v.LeaseHook(ask)
}

// Read returns the current state.
func (v *Voter) Read(context.Context, bool) (record.View, time.Duration, error) {
	return v.State.View(), time.Duration(v.Age.Load()), nil
}

// Replica returns the replica of the state.
func (v *Voter) Replica() *replica.Replica { return v.State }

// Status returns the status of a voter.
func (v *Voter) Status() api.Status {
	st := api.Status{Cluster: v.Cluster, Name: v.Name, Role: "voter", State: "follower", Path: []string{v.Name},
		Version: uint64(v.State.View().Version()), Hash: v.State.View().Hash(), AgeMs: v.Age.Load() / int64(time.Millisecond)}
	if v.IsLeader.Load() {
		st.State = "leader"
	}
	return st
}

// Handler serves the API and the read index, which only voters have.
func (v *Voter) Handler(o api.Options) http.Handler {
	mux := api.Handler(v, o)
	mux.HandleFunc("GET /v1/readindex", func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprintf(w, `{"version":%d,"cluster":%q}`, v.State.View().Version(), v.Cluster)
	})
	return mux
}

// Serve serves a handler on a loopback port until the test ends or stop is called, which closes all connections.
func Serve(t testing.TB, h http.Handler) (addr string, stop func()) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	stop = ServeOn(t, ln, h)
	return ln.Addr().String(), stop
}

// ServeOn is like Serve with an existing listener.
func ServeOn(t testing.TB, ln net.Listener, h http.Handler) (stop func()) {
	server := api.NewServer(h)
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = server.Serve(ln)
	}()
	stop = func() {
		_ = server.Close()
		<-done
	}
	t.Cleanup(stop)
	return stop
}
