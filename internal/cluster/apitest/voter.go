// Package apitest has a member of a cluster for tests: a voter that agrees with itself.
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

// Cluster is the id of the cluster that a Voter is of, unless told otherwise.
const Cluster = "c-test"

// Voter is a whole cluster in one member. Several with one State are its voters.
type Voter struct {
	Name     string
	Cluster  string
	State    *replica.Replica
	IsLeader atomic.Bool
	Age      atomic.Int64 // of the state, in ns
	// Fails, where it is set, is what Write answers after it has, or has not, taken the write.
	Fails func(w *record.Write) (take bool, err error)
	// LeaseHook, where it is set, answers questions about leases.
	LeaseHook func(ask lease.Ask) (lease.Answer, error)
}

// NewVoter returns a leading voter with an empty state that keeps so many entries.
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

// Order is a write that disables a worker.
func DisableOrder(id, worker string, base record.Version) *record.Write {
	value, _ := json.Marshal(map[string]any{"do": record.Disable, "by": "test", "until_ms": 0})
	return &record.Write{ID: id, By: "test", Base: base,
		Changes: []record.Change{{Kind: record.OrderKind, Key: record.OfWorker + "/" + worker, Value: value}}}
}

// Add applies so many further writes and gives the version after them.
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

// Lease refuses, or has Leases answer.
func (v *Voter) Lease(_ context.Context, ask lease.Ask) (lease.Answer, error) {
	if v.LeaseHook == nil {
		return lease.Answer{}, fmt.Errorf("%w: no limits are divided", api.ErrRefused)
	}
	return v.LeaseHook(ask)
}

// Read gives the state.
func (v *Voter) Read(context.Context, bool) (record.View, time.Duration, error) {
	return v.State.View(), time.Duration(v.Age.Load()), nil
}

// Replica gives the state.
func (v *Voter) Replica() *replica.Replica { return v.State }

// Status is a voter's.
func (v *Voter) Status() api.Status {
	st := api.Status{Cluster: v.Cluster, Name: v.Name, Role: "voter", State: "follower", Path: []string{v.Name},
		Version: uint64(v.State.View().Version()), Hash: v.State.View().Hash(), AgeMs: v.Age.Load() / int64(time.Millisecond)}
	if v.IsLeader.Load() {
		st.State = "leader"
	}
	return st
}

// Handler serves the voter, with the read index that only voters have.
func (v *Voter) Handler(o api.Options) http.Handler {
	mux := api.Handler(v, o)
	mux.HandleFunc("GET /v1/readindex", func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprintf(w, `{"version":%d,"cluster":%q}`, v.State.View().Version(), v.Cluster)
	})
	return mux
}

// Serve serves a handler on a loopback port until the test ends or stop is called, which breaks all connections.
func Serve(t testing.TB, h http.Handler) (addr string, stop func()) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	stop = ServeOn(t, ln, h)
	return ln.Addr().String(), stop
}

// ServeOn is Serve on a listener that is there.
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
