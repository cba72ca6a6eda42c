package reconciler

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	"burlpass/internal/cluster/api"
	"burlpass/internal/cluster/voter"
	"burlpass/internal/logging"
	"burlpass/internal/record"
	"burlpass/internal/retire"
	"burlpass/internal/rules"
	"burlpass/internal/usage"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const (
	day   = int64(86_400_000)
	start = int64(1_800_000_000_000)
	key   = "*/*/booking@v1"
)

// testCluster is a cluster of three voters in this process, each with its own clock.
type testCluster struct {
	t      *testing.T
	nowMs  atomic.Int64    // the correct time
	skewMs [3]atomic.Int64 // how far each voter's clock is ahead
	voters []*voter.Voter
	writes int
}

func newTestCluster(t *testing.T) *testCluster {
	c := &testCluster{t: t}
	c.nowMs.Store(start)
	var peers []voter.Peer
	var muxes [3]atomic.Pointer[http.ServeMux]
	for i := range 3 {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if mux := muxes[i].Load(); mux != nil {
				mux.ServeHTTP(w, r)
				return
			}
			w.WriteHeader(http.StatusServiceUnavailable)
		}))
		t.Cleanup(server.Close)
		peers = append(peers, voter.Peer{Name: fmt.Sprint("v", i), Addr: server.Listener.Addr().String()})
	}
	for i := range 3 {
		v, err := voter.Open(context.Background(), voter.Config{Cluster: "plant", Name: peers[i].Name, Folder: t.TempDir(), Voters: peers,
			Bounds: record.DefaultBounds(), Domains: append(rules.Domains(retire.Env), retire.Domains()...),
			Timings: voter.Timings{ClockInterval: 20 * time.Millisecond}, Log: logging.Discard(),
			Now: func() time.Time { return time.UnixMilli(c.nowMs.Load() + c.skewMs[i].Load()) },
			WhileLeading: func(ctx context.Context, m api.Member) {
				New(slog.New(slog.NewTextHandler(t.Output(), nil))).Run(ctx, m, 20*time.Millisecond)
			}})
		if err != nil {
			t.Fatal(err)
		}
		mux := http.NewServeMux()
		v.Mount(mux)
		muxes[i].Store(mux)
		c.voters = append(c.voters, v)
		t.Cleanup(func() {
			if err := v.Close(); err != nil {
				t.Error(err)
			}
		})
	}
	return c
}

// write submits a write to the voters in turn until one returns a result.
func (c *testCluster) write(w *record.Write) record.Result {
	c.t.Helper()
	c.writes++
	w.ID = fmt.Sprint("test", c.writes)
	for {
		ctx, cancel := context.WithTimeout(c.t.Context(), 5*time.Second)
		r, err := c.voters[c.writes%3].Write(ctx, w)
		cancel()
		if err == nil {
			return r
		}
		if c.t.Context().Err() != nil {
			c.t.Fatal(err)
		}
	}
}

// await waits until a voter's view satisfies a condition.
func (c *testCluster) await(i int, what string, f func(record.View) bool) record.View {
	c.t.Helper()
	late := time.After(time.Minute)
	for {
		changed := (<-chan struct{})(nil)
		if r := c.voters[i].Replica(); r != nil {
			changed = r.Changed()
			if v := r.View(); f(v) {
				return v
			}
		}
		select {
		case <-changed:
		case <-time.After(10 * time.Millisecond): // there may be no state yet
		case <-late:
			c.t.Fatalf("not reached within a minute: %s", what)
		}
	}
}

func stageOf(v record.View) (s retire.Stage) {
	if i, ok := v.Get(retire.StageKind, key); ok {
		_ = json.Unmarshal(i.Value, &s)
	}
	return s
}

// advance moves the correct time forward and waits until the record's time has caught up.
func (c *testCluster) advance(by time.Duration) record.View {
	c.t.Helper()
	ms := c.nowMs.Add(by.Milliseconds())
	return c.await(0, "the record's time", func(v record.View) bool { return v.TimeMs() >= ms })
}

// awaitStage waits until all voters have reached a stage.
func (c *testCluster) awaitStage(to string) {
	c.t.Helper()
	for i := range c.voters {
		c.await(i, to, func(v record.View) bool { return stageOf(v).Stage == to })
	}
}

// expectStage gives the leader time for several passes and fails the test if the stage changes.
func (c *testCluster) expectStage(stage string) {
	c.t.Helper()
	from := c.await(0, "a state", func(record.View) bool { return true })
	v := c.await(0, "clock entries", func(v record.View) bool { return v.Version() >= from.Version()+4 })
	if got := stageOf(v).Stage; got != stage {
		c.t.Fatalf("the stage changed to %s", got)
	}
}

// A timeline passes through all stages on three members, based on the usage counts of two processes. A leader whose clock is
// a week ahead must not advance it, and a step dated by that clock must be rejected.
func TestTimelineAcrossThreeMembers(t *testing.T) {
	c := newTestCluster(t)
	need := &retire.Need{Above: 100, Times: 10, ForMs: day}
	tl := retire.Timeline{Successor: "v2", SuccessorLink: "/v2", Link: "https://api.example/v1", RetryS: 10, Steps: []retire.Step{
		{Stage: retire.Announced, AtMs: start}, {Stage: retire.Warned, AtMs: start + day}, {Stage: retire.Shed, Share: 500, AtMs: start + 2*day, Need: need},
		{Stage: retire.Ended, AtMs: start + 5*day, AfterMs: day, Need: need}}}
	change := func(kind record.Kind, key string, v any) record.Change {
		now, _ := json.Marshal(v)
		c, err := rules.Amend(record.Item{Kind: kind, Key: key}, now, "root")
		if err != nil {
			t.Fatal(err)
		}
		return c
	}
	c.await(0, "the first time", func(v record.View) bool { return v.TimeMs() >= start })
	for _, w := range [][]record.Change{{change(rules.TeamKind, "root", rules.Team{}), change(rules.NamespaceKind, "*/*/*", rules.Namespace{Owner: "root"}),
		change(rules.NamespaceKind, "*/*/booking", rules.Namespace{Parent: "*/*/*", Owner: "root"})}, {change(retire.TimelineKind, key, tl)}} {
		if r := c.write(&record.Write{By: "root", Changes: w}); r.Outcome != record.Applied {
			t.Fatal(r)
		}
	}
	c.awaitStage(retire.Announced)
	leader := 0
	for i, v := range c.voters {
		if v.Status().State == "leader" {
			leader = i
		}
	}
	c.skewMs[leader].Store(7 * day)
	c.expectStage(retire.Announced)
	c.advance(24 * time.Hour)
	c.awaitStage(retire.Warned)
	c.advance(24 * time.Hour)
	c.expectStage(retire.Warned) // no caller has been warned
	forged, _ := json.Marshal(retire.Stage{At: 2, Stage: retire.Shed, SinceMs: start + 9*day, Cut: "8000000000000000",
		Log: []retire.Move{{Ms: start + 9*day, By: "cluster/steward", Do: retire.DoStep, To: 2}}})
	v := c.voters[leader].Replica().View()
	if r := c.write(&record.Write{By: "cluster/steward", Base: v.Version(), Changes: []record.Change{{Kind: retire.StageKind, Key: key, Value: forged}}}); r.Outcome != record.Invalid || !strings.Contains(r.Reason, "the record's time is") {
		t.Fatalf("a step by the leader's clock: %+v", r)
	}
	var reporters []*usage.Reporter
	for i, name := range []string{"a", "b"} { // ten warnings for each caller, five from each process
		r := usage.New(usage.Config{Member: c.voters[i], Process: name, Log: logging.Discard()})
		reporters = append(reporters, r)
		for range 5 {
			for _, caller := range []string{"app", "web"} {
				c := r.Line(key).Of(caller)
				c.Called()
				c.Warned()
			}
		}
	}
	reader := &retire.Reader{}
	awaitCalls := func(r *usage.Reporter, calls int64) { // totals include folded counts
		t.Helper()
		for tries := 0; ; tries++ { // report again while there is no leader, or if an idle incarnation was folded
			r.Report(t.Context())
			sums, err := reader.Sums(c.voters[0].Replica().View(), key)
			if err != nil {
				t.Fatal(err)
			}
			if got := sums.Total().Calls; got == calls {
				return
			} else if tries == 2000 {
				t.Fatalf("%d calls are in the record, not %d", got, calls)
			}
			time.Sleep(5 * time.Millisecond)
		}
	}
	awaitCalls(reporters[0], 10)
	c.advance(25 * time.Hour)
	c.expectStage(retire.Warned) // one process's counts show only five warnings
	awaitCalls(reporters[1], 20)
	c.awaitStage(retire.Shed) // ten warnings in total, the first a day ago
	c.advance(25 * time.Hour)
	c.expectStage(retire.Shed)
	for i := range reporters {
		reporters[i].Line(key).Of("app").Called()
		awaitCalls(reporters[i], int64(21+i))
	}
	c.advance(25 * time.Hour)
	c.awaitStage(retire.Ended)
	first := c.voters[0].Replica().View()
	for _, m := range stageOf(first).Log {
		if m.Ms > c.nowMs.Load()+retire.StageLeadMs || m.Do != retire.DoStep {
			t.Fatalf("%+v", m)
		}
	}
}
