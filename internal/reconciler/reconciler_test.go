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

// plant is three voters in this process, each with a clock of its own.
type plant struct {
	t      *testing.T
	ms     atomic.Int64 // the time by a right clock
	ahead  [3]atomic.Int64
	voters []*voter.Voter
	n      int
}

func newPlant(t *testing.T) *plant {
	p := &plant{t: t}
	p.ms.Store(start)
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
			Timings: voter.Timings{Clock: 20 * time.Millisecond}, Log: logging.Discard(),
			Now: func() time.Time { return time.UnixMilli(p.ms.Load() + p.ahead[i].Load()) },
			Reign: func(ctx context.Context, m api.Member) {
				New(slog.New(slog.NewTextHandler(t.Output(), nil))).Run(ctx, m, 20*time.Millisecond)
			}})
		if err != nil {
			t.Fatal(err)
		}
		mux := http.NewServeMux()
		v.Mount(mux)
		muxes[i].Store(mux)
		p.voters = append(p.voters, v)
		t.Cleanup(func() {
			if err := v.Close(); err != nil {
				t.Error(err)
			}
		})
	}
	return p
}

// write has a write taken, by any voter that can.
func (p *plant) write(w *record.Write) record.Result {
	p.t.Helper()
	p.n++
	w.ID = fmt.Sprint("test", p.n)
	for {
		ctx, cancel := context.WithTimeout(p.t.Context(), 5*time.Second)
		r, err := p.voters[p.n%3].Write(ctx, w)
		cancel()
		if err == nil {
			return r
		}
		if p.t.Context().Err() != nil {
			p.t.Fatal(err)
		}
	}
}

// until waits until a voter shows what f wants.
func (p *plant) until(i int, what string, f func(record.View) bool) record.View {
	p.t.Helper()
	late := time.After(time.Minute)
	for {
		changed := (<-chan struct{})(nil)
		if r := p.voters[i].Replica(); r != nil {
			changed = r.Changed()
			if v := r.View(); f(v) {
				return v
			}
		}
		select {
		case <-changed:
		case <-time.After(10 * time.Millisecond): // there may be no state yet
		case <-late:
			p.t.Fatalf("not within a minute: %s", what)
		}
	}
}

func at(v record.View) (s retire.Stage) {
	if i, ok := v.Get(retire.StageKind, key); ok {
		_ = json.Unmarshal(i.Value, &s)
	}
	return s
}

// goesOn sets the right time, and waits until the record has it.
func (p *plant) goesOn(by time.Duration) record.View {
	p.t.Helper()
	ms := p.ms.Add(by.Milliseconds())
	return p.until(0, "the record's time", func(v record.View) bool { return v.TimeMs() >= ms })
}

// moves waits for a stage at all voters.
func (p *plant) moves(to string) {
	p.t.Helper()
	for i := range p.voters {
		p.until(i, to, func(v record.View) bool { return at(v).Stage == to })
	}
}

// stays lets the leader look often, and wants nothing to have moved.
func (p *plant) stays(stage string) {
	p.t.Helper()
	from := p.until(0, "a state", func(record.View) bool { return true })
	v := p.until(0, "clock entries", func(v record.View) bool { return v.Version() >= from.Version()+4 })
	if got := at(v).Stage; got != stage {
		p.t.Fatalf("it moved to %s", got)
	}
}

// A timeline goes all its way over three members by counts of two processes. What a leader's clock says, a week ahead, moves nothing, nor
// does a step that it makes by that clock.
func TestATimelineOverThreeMembers(t *testing.T) {
	p := newPlant(t)
	need := &retire.Need{Above: 100, Times: 10, ForMs: day}
	tl := retire.Timeline{Successor: "v2", SuccessorLink: "/v2", Link: "https://api.example/v1", RetryS: 10, Steps: []retire.Step{
		{Stage: retire.Announced, AtMs: start}, {Stage: retire.Warned, AtMs: start + day}, {Stage: retire.Shed, Share: 500, AtMs: start + 2*day, Need: need},
		{Stage: retire.Ended, AtMs: start + 5*day, AfterMs: day, Need: need}}}
	set := func(kind record.Kind, key string, v any) record.Change {
		now, _ := json.Marshal(v)
		c, err := rules.Amend(record.Item{Kind: kind, Key: key}, now, "root")
		if err != nil {
			t.Fatal(err)
		}
		return c
	}
	p.until(0, "the first time", func(v record.View) bool { return v.TimeMs() >= start })
	for _, w := range [][]record.Change{{set(rules.TeamKind, "root", rules.Team{}), set(rules.NamespaceKind, "*/*/*", rules.Namespace{Owner: "root"}),
		set(rules.NamespaceKind, "*/*/booking", rules.Namespace{Parent: "*/*/*", Owner: "root"})}, {set(retire.TimelineKind, key, tl)}} {
		if r := p.write(&record.Write{By: "root", Changes: w}); r.Outcome != record.Applied {
			t.Fatal(r)
		}
	}
	p.moves(retire.Announced)
	leader := 0
	for i, v := range p.voters {
		if v.Status().State == "leader" {
			leader = i
		}
	}
	p.ahead[leader].Store(7 * day)
	p.stays(retire.Announced)
	p.goesOn(24 * time.Hour)
	p.moves(retire.Warned)
	p.goesOn(24 * time.Hour)
	p.stays(retire.Warned) // nobody has been warned
	forged, _ := json.Marshal(retire.Stage{At: 2, Stage: retire.Shed, SinceMs: start + 9*day, Cut: "8000000000000000",
		Log: []retire.Move{{Ms: start + 9*day, By: "cluster/steward", Do: retire.DoStep, To: 2}}})
	v := p.voters[leader].Replica().View()
	if r := p.write(&record.Write{By: "cluster/steward", Base: v.Version(), Changes: []record.Change{{Kind: retire.StageKind, Key: key, Value: forged}}}); r.Outcome != record.Invalid || !strings.Contains(r.Reason, "the record's time is") {
		t.Fatalf("a step by the leader's clock: %+v", r)
	}
	var counts []*usage.Reporter
	for i, name := range []string{"a", "b"} { // ten warnings of each caller at both together
		r := usage.New(usage.Config{Member: p.voters[i], Process: name, Log: logging.Discard()})
		counts = append(counts, r)
		for range 5 {
			for _, caller := range []string{"app", "web"} {
				c := r.Line(key).Of(caller)
				c.Called()
				c.Warned()
			}
		}
	}
	reader := &retire.Reader{}
	seen := func(r *usage.Reporter, calls int64) { // in all, also what is folded
		t.Helper()
		for tries := 0; ; tries++ { // while there is no leader, and where a quiet incarnation was folded, it is told again
			r.Report(t.Context())
			sums, err := reader.Sums(p.voters[0].Replica().View(), key)
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
	seen(counts[0], 10)
	p.goesOn(25 * time.Hour)
	p.stays(retire.Warned) // by one process's counts they have been warned five times
	seen(counts[1], 20)
	p.moves(retire.Shed) // ten times at both together, for the first time a day ago
	p.goesOn(25 * time.Hour)
	p.stays(retire.Shed)
	for i := range counts {
		counts[i].Line(key).Of("app").Called()
		seen(counts[i], int64(21+i))
	}
	p.goesOn(25 * time.Hour)
	p.moves(retire.Ended)
	first := p.voters[0].Replica().View()
	for _, m := range at(first).Log {
		if m.Ms > p.ms.Load()+retire.StageLeadMs || m.Do != retire.DoStep {
			t.Fatalf("%+v", m)
		}
	}
}
