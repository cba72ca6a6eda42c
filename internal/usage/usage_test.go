package usage

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"burlpass/internal/cluster/replica"
	"burlpass/internal/logging"
	"burlpass/internal/record"
	"burlpass/internal/retire"
	"burlpass/internal/rules"
)

const timelineKey = "*/*/booking@v1"

// lossyRecord is a record of which writes or their results may get lost.
type lossyRecord struct {
	t     *rapid.T
	r     *replica.Replica
	fault string // of the next writes: "", "lost" before they are applied, or "unknown" result though they are applied
}

func (p *lossyRecord) Replica() *replica.Replica { return p.r }

func (p *lossyRecord) Write(_ context.Context, w *record.Write) (record.Result, error) {
	if p.fault == "lost" {
		return record.Result{}, errors.New("lost")
	}
	res := p.apply(&record.Entry{Write: w})
	if p.fault == "unknown" {
		return record.Result{}, errors.New("unknown")
	}
	return res, nil
}

func (p *lossyRecord) apply(e *record.Entry) record.Result {
	raw, err := record.Encode(e)
	if err != nil {
		p.t.Fatal(err)
	}
	res, err := p.r.Apply(raw)
	if err != nil {
		p.t.Fatal(err)
	}
	return res
}

func (p *lossyRecord) clock(ms int64) {
	p.apply(&record.Entry{Clock: &record.Clock{Voters: 1, Readings: []record.Reading{{Voter: "a", Ms: ms}}}})
}

func newLossyRecord(t *rapid.T) *lossyRecord {
	p := &lossyRecord{t: t, r: replica.New(record.New(record.Bounds{}, append(rules.Domains(retire.Env), retire.Domains()...)...), 0, 0)}
	p.clock(1000)
	for i, c := range []record.Change{
		{Kind: rules.TeamKind, Key: "root", Value: []byte(`{"now":{}}`)},
		{Kind: rules.NamespaceKind, Key: "*/*/*", Value: []byte(`{"now":{"owner":"root"}}`)},
		{Kind: rules.NamespaceKind, Key: "*/*/booking", Value: []byte(`{"now":{"parent":"*/*/*","owner":"root"}}`)},
		{Kind: retire.TimelineKind, Key: timelineKey, Value: []byte(`{"now":{"link":"/x","retry_s":1,"steps":[{"stage":"announced","at_ms":1},{"stage":"warned","at_ms":2},` +
			`{"stage":"ended","at_ms":3,"need":{"above":1,"times":1,"for_ms":0}}],"harm":{}}}`)},
	} {
		w := &record.Write{ID: fmt.Sprint("w", i), By: "root", Base: p.r.Version(), Changes: []record.Change{c}}
		if i == 0 {
			continue // written with the next change, as the root namespace and its team need each other
		} else if i == 1 {
			w.Changes = append(w.Changes, record.Change{Kind: rules.TeamKind, Key: "root", Value: []byte(`{"now":{}}`)})
		}
		if res := p.apply(&record.Entry{Write: w}); res.Outcome != record.Applied {
			t.Fatal(res.Reason)
		}
	}
	return p
}

// Guards against calls that are reported twice: after lost writes, unknown results, or counts that were folded meanwhile, the record must
// never hold more than was counted. At the end it must hold all of it, unless the result of a write was unknown.
func TestReportsNeverOvercount(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newLossyRecord(t)
		r := New(Config{Member: p, Process: "a", Log: logging.Discard()})
		reader := &retire.Reader{}
		now, n, uncertain := int64(1000), 0, false
		sums := func() retire.Use {
			s, err := reader.Sums(p.r.View(), timelineKey)
			if err != nil {
				t.Fatal(err)
			}
			return s
		}
		for range rapid.IntRange(1, 40).Draw(t, "actions") {
			switch do := rapid.SampledFrom([]string{"call", "call", "report", "report", "lost", "unknown", "time", "fold"}).Draw(t, "do"); do {
			case "call":
				c := r.Line(timelineKey).Of(rapid.SampledFrom([]string{"app", "web", "No Name"}).Draw(t, "caller"))
				c.Called()
				switch rapid.IntRange(0, 2).Draw(t, "then") {
				case 0:
					c.Warned()
				case 1:
					c.Shed(7)
				}
			case "report", "lost", "unknown":
				p.fault = map[string]string{"report": "", "lost": "lost", "unknown": "unknown"}[do]
				uncertain = uncertain || do == "unknown"
				r.Report(t.Context())
			case "time":
				now += rapid.SampledFrom([]int64{1000, 100_000, retire.QuietMs + 2*retire.UseLeadMs}).Draw(t, "ms")
				p.clock(now)
			case "fold":
				dues, err := reader.Due(p.r.View())
				if err != nil {
					t.Fatal(err)
				}
				for _, w := range dues.Folds {
					n++
					w.ID = fmt.Sprint("fold", n)
					if res := p.apply(&record.Entry{Write: w}); res.Outcome != record.Applied {
						t.Fatal(res.Reason)
					}
				}
			}
			all, got := r.Line(timelineKey).snapshot(), sums()
			for _, c := range append(all.Callers, all.Others) {
				recorded := got.Others
				if c.Caller != "" {
					recorded = got.Of(c.Caller)
				}
				if recorded.Calls > c.Calls || recorded.Warned > c.Warned || recorded.Shed > c.Shed || recorded.Worth > c.Worth {
					t.Fatalf("recorded %+v, counted only %+v", recorded, c)
				}
			}
		}
		p.fault = ""
		for range 4 { // a new incarnation reports what was refused or folded
			now += 1000
			p.clock(now)
			r.Report(t.Context())
		}
		l := r.Line(timelineKey).snapshot()
		if got, want := sums(), l; !uncertain && got.Total().Calls != want.Total().Calls {
			t.Fatalf("recorded %+v, want %+v", got, want)
		}
	})
}

func TestCountsAreBounded(t *testing.T) {
	var l Line
	var all sync.WaitGroup
	for range 8 {
		all.Go(func() {
			for i := range 1000 {
				l.Of(fmt.Sprint("caller", i%100)).Called()
			}
		})
	}
	all.Wait()
	u := l.snapshot()
	if total := u.Total(); len(u.Callers) != retire.MaxCallers || total.Calls != 8000 {
		t.Fatalf("%d callers, %d calls", len(u.Callers), total.Calls)
	}
	if diff := cmp.Diff(int64((100-retire.MaxCallers)*80), u.Others.Calls); diff != "" {
		t.Fatal(diff)
	}
	if n := testing.AllocsPerRun(100, func() { l.Of("caller1").Called(); l.Of("somebody-else").Called() }); n != 0 {
		t.Fatalf("%g allocations per call", n)
	}
}
