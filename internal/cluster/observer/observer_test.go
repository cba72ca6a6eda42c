package observer

import (
	"bytes"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	"burlpass/internal/cluster/api"
	"burlpass/internal/cluster/apitest"
	"burlpass/internal/record"
)

// The server delays closing a connection with unread data by half a second, which goleak would report.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m, goleak.IgnoreAnyFunction("net/http.(*conn).closeWriteAndWait"))
}

const unreachableAddr = "127.0.0.1:1" // no listener

// logBuffer is a log that can be searched while it is written.
type logBuffer struct {
	mu  sync.Mutex
	all bytes.Buffer
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.all.Write(p)
}

func (l *logBuffer) count(event string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Count(l.all.String(), "msg="+event+" ")
}

// openObserver opens an observer with short timings that is closed when the test ends.
func openObserver(t testing.TB, c Config) *Observer {
	t.Helper()
	if c.Cluster, c.Domains = "test", []record.Domain{record.Orders()}; c.Name == "" {
		c.Name = "o"
	}
	if c.Timings == (Timings{}) {
		c.Timings = Timings{Wait: 500 * time.Millisecond, SilenceTimeout: 500 * time.Millisecond, InitialBackoff: 2 * time.Millisecond, MaxBackoff: 50 * time.Millisecond}
	}
	o, err := Open(t.Context(), c)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = o.Close() })
	return o
}

// waitFor polls until a condition holds.
func waitFor(t testing.TB, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(30 * time.Second); !condition(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timed out waiting for %s", what)
		}
	}
}

// waitForVersion waits until an observer serves at least a version.
func waitForVersion(t testing.TB, o *Observer, v record.Version) {
	t.Helper()
	waitFor(t, o.config.Name+" at version "+strconv.Itoa(int(v)), func() bool { return o.Replica() != nil && o.state.View().Version() >= v })
}

// startObservers starts n observers that accept up to capacity followers each.
func startObservers(t *testing.T, n, capacity int, sources ...Source) []*Observer {
	t.Helper()
	var all []*Observer
	for i := range n {
		all = append(all, startFollowable(t, "o"+strconv.Itoa(i), capacity, sources...))
	}
	return all
}

// startFollowable starts one such observer.
func startFollowable(t *testing.T, name string, capacity int, sources ...Source) *Observer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	o := openObserver(t, Config{Name: name, Addr: l.Addr().String(), Sources: sources})
	apitest.ServeOn(t, l, api.Handler(o, api.Options{Followers: capacity}))
	return o
}

func TestObserversFormTree(t *testing.T) {
	for _, c := range []struct {
		name                  string
		n, capacity, minDepth int
	}{{"tree", 40, 4, 3}, {"chain", 8, 1, 8}} {
		t.Run(c.name, func(t *testing.T) {
			v := apitest.NewVoter("a", 0)
			v.Add(t, 3)
			addr, _ := apitest.Serve(t, v.Handler(api.Options{Followers: c.capacity}))
			all := startObservers(t, c.n, c.capacity, Source{Name: "a", Addr: addr})
			for _, o := range all {
				waitForVersion(t, o, 3)
			}
			last := v.Add(t, 5)
			followerCounts, deepest := map[string]int{}, 0
			for _, o := range all {
				waitForVersion(t, o, last)
				if o.state.View().Hash() != v.State.View().Hash() {
					t.Errorf("%s has a different state", o.config.Name)
				}
				waitFor(t, o.config.Name+" follows", func() bool { return o.Status().State == "following" })
				path := o.Status().Path
				followerCounts[path[len(path)-2]]++
				deepest = max(deepest, len(path)-1)
				if sorted := slices.Sorted(slices.Values(path)); path[0] != "a" || path[len(path)-1] != o.config.Name || len(slices.Compact(sorted)) != len(path) {
					t.Errorf("%s: path %v", o.config.Name, path)
				}
			}
			for name, n := range followerCounts {
				if n > c.capacity {
					t.Errorf("%s has %d followers", name, n)
				}
			}
			if deepest < c.minDepth {
				t.Errorf("maximum depth is %d, want at least %d", deepest, c.minDepth)
			}
		})
	}
}

func TestFailoverToAnotherSource(t *testing.T) {
	for _, failure := range []string{"killed", "silent", "stale"} {
		t.Run(failure, func(t *testing.T) {
			a := apitest.NewVoter("a", 0)
			b := &apitest.Voter{Name: "b", Cluster: a.Cluster, State: a.State}
			a.IsLeader.Store(false)
			voters := map[string]*apitest.Voter{"a": a, "b": b}
			stops := map[string]func(){}
			var silent atomic.Value
			silent.Store("")
			var sources []Source
			for name, v := range voters {
				h := v.Handler(api.Options{})
				addr, stop := apitest.Serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					if silent.Load() == name {
						<-r.Context().Done()
						return
					}
					h.ServeHTTP(w, r)
				}))
				sources, stops[name] = append(sources, Source{Name: name, Addr: addr}), stop
			}
			o := openObserver(t, Config{Sources: sources})
			waitForVersion(t, o, 0)
			waitFor(t, "following", func() bool { return o.Status().State == "following" })
			source := o.Status().Path[0]
			switch failure {
			case "killed":
				stops[source]()
			case "silent":
				silent.Store(source)
			case "stale":
				voters[source].Age.Store(int64(time.Hour))
			}
			waitFor(t, "another source", func() bool {
				st := o.Status()
				return st.Path[0] != source && st.State == "following"
			})
			waitForVersion(t, o, a.Add(t, 2))
		})
	}
}

func TestFollowsCutOffSourceWhenNoOtherExists(t *testing.T) {
	v := apitest.NewVoter("a", 0)
	v.Age.Store(int64(time.Hour))
	addr, _ := apitest.Serve(t, v.Handler(api.Options{}))
	o := openObserver(t, Config{Sources: []Source{{Name: "a", Addr: addr}}})
	waitForVersion(t, o, v.Add(t, 2))
	waitForVersion(t, o, v.Add(t, 2))
	waitFor(t, "cut off", func() bool { return o.Status().State == "cut_off" })
	if st := o.Status(); st.AgeMs < time.Hour.Milliseconds() {
		t.Errorf("age %d ms", st.AgeMs)
	}
	v.Age.Store(0)
	waitFor(t, "following", func() bool { return o.Status().State == "following" })
	if st := o.Status(); st.AgeMs > 10_000 {
		t.Errorf("age %d ms", st.AgeMs)
	}
}

func TestLeaderIsLastResortSource(t *testing.T) {
	a := apitest.NewVoter("a", 0)
	b := &apitest.Voter{Name: "b", Cluster: a.Cluster, State: a.State}
	addrA, _ := apitest.Serve(t, a.Handler(api.Options{}))
	addrB, stopB := apitest.Serve(t, b.Handler(api.Options{Followers: 3}))
	sources := []Source{{Name: "a", Addr: addrA}, {Name: "b", Addr: addrB}}
	first := openObserver(t, Config{Sources: sources, Timings: Timings{Wait: 100 * time.Millisecond, SilenceTimeout: 500 * time.Millisecond, LeaderRecheck: time.Millisecond}})
	waitForVersion(t, first, 0) // it occupies one of the follower's three slots; otherwise its own source would decide when it leaves the leader
	for i := range 6 {          // one at a time; TestLeavesLeaderOnceFollowerIsReady covers concurrent starts
		o := startFollowable(t, "o"+strconv.Itoa(i), 3, sources...)
		waitForVersion(t, o, 0)
		if path := o.Status().Path; path[0] != "b" {
			t.Errorf("%s has path %v, which bypasses the follower of the leader", o.config.Name, path)
		}
	}
	stopB()
	waitFor(t, "the leader to be followed", func() bool { return first.Status().Path[0] == "a" })
	l, err := net.Listen("tcp", addrB)
	if err != nil {
		t.Fatal(err)
	}
	apitest.ServeOn(t, l, b.Handler(api.Options{}))
	waitFor(t, "the leader to be left", func() bool { return first.Status().Path[0] == "b" })
}

// When a fleet starts, an observer may find its only other source full and the follower that this source names not ready. It then
// follows the leader and must leave it once that follower answers.
func TestLeavesLeaderOnceFollowerIsReady(t *testing.T) {
	a := apitest.NewVoter("a", 0)
	b := &apitest.Voter{Name: "b", Cluster: a.Cluster, State: a.State}
	addrA, _ := apitest.Serve(t, a.Handler(api.Options{}))
	addrB, _ := apitest.Serve(t, b.Handler(api.Options{Followers: 1}))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	follower := openObserver(t, Config{Name: "follower", Addr: l.Addr().String(), Sources: []Source{{Name: "b", Addr: addrB}}})
	handler := api.Handler(follower, api.Options{})
	var ready atomic.Bool
	apitest.ServeOn(t, l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !ready.Load() {
			http.Error(w, "not ready", http.StatusServiceUnavailable)
			return
		}
		handler.ServeHTTP(w, r)
	}))
	waitForVersion(t, follower, 0)
	o := openObserver(t, Config{Sources: []Source{{Name: "a", Addr: addrA}, {Name: "b", Addr: addrB}},
		Timings: Timings{Wait: 20 * time.Millisecond, SilenceTimeout: 500 * time.Millisecond, LeaderRecheck: time.Millisecond}})
	waitForVersion(t, o, 0)
	if path := o.Status().Path; !slices.Equal(path, []string{"a", "o"}) {
		t.Fatalf("path is %v, want one through the leader", path)
	}
	ready.Store(true)
	waitFor(t, "the leader to be left", func() bool { return slices.Equal(o.Status().Path, []string{"b", "follower", "o"}) })
}

func TestCutOffObserverServesStateWithAge(t *testing.T) {
	v := apitest.NewVoter("a", 0)
	v.Add(t, 3)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	stop := apitest.ServeOn(t, l, v.Handler(api.Options{}))
	var log logBuffer
	m := api.NewMetrics()
	o := openObserver(t, Config{Sources: []Source{{Name: "a", Addr: l.Addr().String()}}, Metrics: m, Log: slog.New(slog.NewTextHandler(&log, nil))})
	waitForVersion(t, o, 3)
	stop()
	stopped := time.Now()
	waitFor(t, "cut off", func() bool { return o.Status().State == "cut_off" })
	waitFor(t, "a cluster_cut_off event", func() bool { return log.count("cluster_cut_off") == 1 })
	view, age, err := o.Read(t.Context(), false)
	if err != nil || view.Version() != 3 || age < time.Since(stopped)/2 {
		t.Errorf("while cut off: %v, age %v", err, age)
	}
	if _, _, err := o.Read(t.Context(), true); !errors.Is(err, api.ErrRefused) {
		t.Errorf("a consistent read: %v", err)
	}
	last := v.Add(t, 2)
	if l, err = net.Listen("tcp", l.Addr().String()); err != nil {
		t.Fatal(err)
	}
	apitest.ServeOn(t, l, v.Handler(api.Options{}))
	waitForVersion(t, o, last)
	waitFor(t, "following", func() bool { return o.Status().State == "following" })
	waitFor(t, "a second cluster_following event", func() bool { return log.count("cluster_following") == 2 })
	if _, age, _ := o.Read(t.Context(), false); age > time.Since(stopped) {
		t.Errorf("age %v after reconnecting", age)
	}
}

func TestForwardsWritesAndConsistentReads(t *testing.T) {
	a := apitest.NewVoter("a", 0)
	b := &apitest.Voter{Name: "b", Cluster: a.Cluster, State: a.State}
	addrA, stopA := apitest.Serve(t, a.Handler(api.Options{}))
	addrB, _ := apitest.Serve(t, b.Handler(api.Options{}))
	o := openObserver(t, Config{Sources: []Source{{Name: "gone", Addr: unreachableAddr}, {Name: "a", Addr: addrA}, {Name: "b", Addr: addrB}}})
	waitForVersion(t, o, 0)
	a.Fails = func(*record.Write) (bool, error) { return true, api.ErrUnknown }
	r, err := o.Write(t.Context(), apitest.DisableOrder("x1", "w1", 0))
	if err != nil || r.Outcome != record.Applied || r.Version != 1 || !r.Again {
		t.Errorf("applied with unknown outcome, then retried at the next member: %+v, %v", r, err)
	}
	a.Fails = func(*record.Write) (bool, error) { return false, api.ErrRefused }
	if r, err = o.Write(t.Context(), apitest.DisableOrder("x2", "w2", 1)); err != nil || r.Again || r.Outcome != record.Applied {
		t.Errorf("refused by one member, applied by the next: %+v, %v", r, err)
	}
	last := a.Add(t, 3)
	if view, _, err := o.Read(t.Context(), true); err != nil || view.Version() < last {
		t.Errorf("a consistent read: %v", err)
	}
	b.Fails = a.Fails
	if _, err = o.Write(t.Context(), apitest.DisableOrder("x3", "w3", last)); !errors.Is(err, api.ErrRefused) {
		t.Errorf("refused by all: %v", err)
	}
	if o.state.View().Version() != last {
		t.Error("a refused write was applied")
	}
	stopA()
	b.Fails = func(*record.Write) (bool, error) { return false, api.ErrUnknown }
	ctx, cancel := contextWithTimeout(t, 200*time.Millisecond)
	defer cancel()
	if _, err = o.Write(ctx, apitest.DisableOrder("x4", "w4", last)); !errors.Is(err, api.ErrUnknown) {
		t.Errorf("outcome unknown until the deadline: %v", err)
	}
}
