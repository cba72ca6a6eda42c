package retire

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"burlpass/internal/record"
	"burlpass/internal/rules"
)

func genUse(t *rapid.T) *Use {
	u := &Use{SeenMs: rapid.Int64Range(1, 9).Draw(t, "seen")}
	count := func(name string) Count {
		c := Count{Caller: name, Warned: rapid.Int64Range(0, 3).Draw(t, "warned"), Shed: rapid.Int64Range(0, 3).Draw(t, "shed"), Next: rapid.Int64Range(0, 3).Draw(t, "next")}
		c.Calls = c.Warned + c.Shed + rapid.Int64Range(0, 9).Draw(t, "more")
		if c.Warned > 0 {
			c.FirstMs = rapid.Int64Range(1, 9).Draw(t, "first")
		}
		return c
	}
	for i := range MaxFoldedCallers/2 + 20 { // merging two of them gives more callers than Fold keeps
		if rapid.IntRange(0, 3).Draw(t, "calls") > 0 {
			u.Callers = append(u.Callers, count(fmt.Sprintf("c%03d", i+100*rapid.IntRange(0, 2).Draw(t, "which")*i)))
		}
	}
	slices.SortFunc(u.Callers, compareCallers)
	u.Callers = slices.CompactFunc(u.Callers, func(a, b Count) bool { return a.Caller == b.Caller })
	u.Others = count("")
	return u
}

func TestMergeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var all []*Use
		for range rapid.IntRange(1, 5).Draw(t, "processes") {
			all = append(all, genUse(t))
		}
		sum := Merge(all)
		if diff := cmp.Diff(sum, Merge(rapid.Permutation(all).Draw(t, "order"))); diff != "" {
			t.Fatal(diff)
		}
		k := rapid.IntRange(0, len(all)).Draw(t, "folded")
		folded := Fold(all[:k])
		after := Merge(append([]*Use{&folded}, all[k:]...))
		if diff := cmp.Diff(sum.Total(), after.Total()); diff != "" || len(folded.Callers) > MaxFoldedCallers {
			t.Fatal(diff)
		}
		for _, c := range after.Callers { // folding may only understate the warnings
			if was := sum.Of(c.Caller); c.Warned > was.Warned || c.Warned > 0 && c.FirstMs < was.FirstMs {
				t.Fatalf("%+v was %+v", c, was)
			}
		}
	})
}

// The calls that are shed match the share to within half of the largest caller's calls, callers shed at one share are also
// shed at every higher share, and the callers are the same in every process.
func TestShedShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var callers []CallerTraffic
		var total, largest int64
		for i := range rapid.IntRange(1, 40).Draw(t, "callers") {
			calls := int64(1) << rapid.IntRange(0, 40).Draw(t, "size") // very uneven traffic
			callers = append(callers, CallerTraffic{Caller: fmt.Sprint("caller", i), Calls: calls})
			total, largest = total+calls, max(largest, calls)
		}
		last := uint64(0)
		for share := int64(0); share <= 1000; share += rapid.Int64Range(1, 300).Draw(t, "more") {
			cut := ShedCut(v1Key, callers, 0, share)
			if cut < last {
				t.Fatalf("at share %d the cut falls from %x to %x", share, last, cut)
			}
			last = cut
			var shed int64
			for _, c := range rapid.Permutation(callers).Draw(t, "order") {
				if belowCut(CallerHash(v1Key, c.Caller), cut) {
					shed += c.Calls
				}
			}
			if off := math.Abs(float64(shed) - float64(total)*float64(share)/1000); off > float64(largest)/2+1 {
				t.Fatalf("at share %d of %d calls, %d are shed: off by %g, the largest caller has %d", share, total, shed, off, largest)
			}
		}
		if others := ShedCut(v1Key, nil, total, 500); others>>44 != 1<<19 && total > 1<<24 && total%2 == 0 {
			t.Fatalf("others alone: %x", others)
		}
	})
	timeline := sampleTimeline("")
	active := &activeTimeline{key: v1Key, t: &timeline, stage: &Stage{At: 3, Stage: Pause, Cut: "f000000000000000"}}
	if cut := active.enterStage(4, &Use{}, Move{}).Cut; cut != "f000000000000000" {
		t.Fatalf("after a pause the cut falls to %s", cut)
	}
	got := []uint64{CallerHash(v1Key, "app"), CallerHash(v1Key, "web"), CallerHash(bookingNamespace+"@v2", "app")}
	if diff := cmp.Diff([]uint64{14861252777923639593, 5440329597695792363, 17699353513447554114}, got); diff != "" { // stored cuts depend on these
		t.Fatal(diff)
	}
}

// reportWarned applies a report of a process in which every call was answered with a warning.
func (env *testEnv) reportWarned(process string, at int64, calls map[string]int64) {
	u := Use{SeenMs: at}
	for c, n := range calls {
		u.Callers = append(u.Callers, Count{Caller: c, Calls: n, Warned: n, FirstMs: at})
	}
	slices.SortFunc(u.Callers, compareCallers)
	env.mustApply(env.newReport(v1Key, process, at, u))
}

// setMinute sets the record's time in minutes and returns it in milliseconds.
func (env *testEnv) setMinute(m int64) int64 {
	env.setTime(m * 60_000)
	return m * 60_000
}

// mustStep applies the due write, which must be a step to the given stage.
func (env *testEnv) mustStep(to string) {
	env.t.Helper()
	d := env.due()
	if len(d.Steps) != 1 || d.Steps[0].To != to || d.Steps[0].Why != "" {
		env.t.Fatalf("not a step to %s: %+v", to, d)
	}
	env.mustApply(d.Steps[0].Write)
}

// mustHold fails unless the timeline cannot advance for the given reason.
func (env *testEnv) mustHold(want string) {
	env.t.Helper()
	d := env.due()
	if len(d.Steps) != 0 || len(d.Holds) != 1 || !strings.Contains(d.Holds[0].Why, want) {
		env.t.Fatalf("the timeline is not kept waiting by %q: %+v", want, d)
	}
}

func TestTimelineLifecycle(t *testing.T) {
	env := newTestEnv(t)
	env.mustAmend("book", TimelineKind, v1Key, sampleTimeline("v2"))
	env.mustHold("the record's time is 1")
	env.setMinute(1)
	env.mustStep(Announced)
	env.setTime(119_000)
	env.mustHold("the record's time is 119000") // a timestamp ahead of the record's time does not count
	env.setMinute(2)
	env.mustStep(Warned)
	env.setMinute(10)
	env.mustHold("no process has reported")
	env.reportWarned("a", 600_000, map[string]int64{"app": 90, "web": 5})
	env.mustHold("warned since 600000")
	u := Use{SeenMs: env.setMinute(14), Others: Count{Calls: 9}, Callers: []Count{{Caller: "web", Calls: 60, Warned: 1, FirstMs: 840_000}}}
	env.mustApply(env.newReport(v1Key, "b", 840_000, u))
	env.mustRefuse("first_ms", env.newReport(v1Key, "c", 840_000, Use{SeenMs: 840_000, Callers: []Count{{Caller: "web", Calls: 1, Warned: 1, FirstMs: 1}}}))
	env.setMinute(18)
	env.mustStep(Shed) // "web" has 6 warnings in both processes together
	if s := env.stage(v1Key); s.Cut == formatCut(0) || s.At != 2 {
		t.Fatalf("%+v", s)
	}
	env.setMinute(20)
	env.mustStep(Pause)
	if n := env.table().Lookup(&rules.Call{Class: "booking", Caller: "app"}, "v1"); n.Shed || n.Lines == "" {
		t.Fatalf("%+v", n)
	}
	env.mustRefuse("for book to do", env.ownerMove("pay", DoHold, 0, "wait"))
	env.mustApply(env.ownerMove("book/ann", DoHold, 0, "a partner asks"))
	env.setMinute(40)
	env.mustHold("it is held: a partner asks")
	env.mustApply(env.ownerMove("book", DoGo, 0, ""))
	env.mustHold("no process has reported")
	env.mustApply(env.ownerMove("book", DoForce, 0, "agreed with all"))
	env.mustApply(env.ownerMove("book", DoBack, 1, "too early"))
	env.mustHold("it is held: too early")
	if n := env.table().Lookup(&rules.Call{Class: "booking", Caller: "app"}, "v1"); n.Stage != Warned {
		t.Fatalf("%+v", n)
	}
	changed := sampleTimeline("v2")
	changed.Steps[1].AtMs++
	env.mustRefuse("steps[1]: it has been taken", env.write("book", TimelineKind, v1Key, changed))
	for _, to := range []string{Shed, Pause, Shed, Ended} {
		env.mustApply(env.ownerMove("book", DoForce, 0, "to "+to))
	}
	if n := env.table().Lookup(&rules.Call{Class: "booking", Caller: "app"}, "v1"); !n.Ended {
		t.Fatalf("%+v", n)
	}
	var did []string
	for _, m := range env.stage(v1Key).Log {
		did = append(did, m.By+" "+m.Do)
	}
	want := "cluster/steward step cluster/steward step cluster/steward step cluster/steward step book/ann hold book go book force book back book force book force book force book force"
	if got := strings.Join(did, " "); got != want {
		t.Fatal(got)
	}
	env.mustAmend("book", TimelineKind, v1Key, nil) // withdrawn: the leftover items are removed
	env.mustApply(env.due().Folds[0])
	if env.stage(v1Key) != nil {
		t.Fatal("the stage of the withdrawn timeline was not removed")
	}
}

func TestMarkSince(t *testing.T) {
	m := Mark{Calls: 100, Others: 10, Callers: []CallerCalls{{"app", 80}, {"desk", 10}}}
	got := m.since(&Use{Callers: []Count{{Caller: "app", Calls: 90}, {Caller: "desk", Calls: 10}, {Caller: "web", Calls: 5}}, Others: Count{Calls: 12}})
	want := usageWindow{calls: 17, others: 2, callers: []CallerCalls{{"app", 10}, {"web", 5}}}
	if diff := cmp.Diff(want, got, cmp.AllowUnexported(usageWindow{})); diff != "" {
		t.Fatal(diff)
	}
}

func TestHoldForHarm(t *testing.T) {
	for want, c := range map[string]struct {
		harm  Harm
		count Count
	}{
		"worth 70 refused in 7 calls":         {Harm{Worth: 70}, Count{Calls: 100, Shed: 7, Worth: 70, Next: 1}},
		"1 callers were refused 5 times":      {Harm{Lost: 1, LostShed: 5}, Count{Calls: 100, Shed: 5}},
		"5 of 50 calls of v2 failed, and 100": {Harm{Failed: 100, FailedCalls: 50}, Count{Next: 50, Failed: 5}},
	} {
		env := newTestEnv(t)
		timeline := sampleTimeline("v2")
		timeline.Harm = c.harm
		env.mustAmend("book", TimelineKind, v1Key, timeline)
		env.setMinute(2)
		env.mustStep(Announced)
		env.mustApply(env.ownerMove("book", DoForce, 0, ""))
		env.mustApply(env.ownerMove("book", DoForce, 0, "")) // shed
		env.mustHold("the record's time")
		c.count.Caller = "app"
		env.mustApply(env.newReport(v1Key, "a", 120_000, Use{SeenMs: 120_000, Callers: []Count{c.count}}))
		d := env.due()
		if len(d.Steps) != 1 || !strings.Contains(d.Steps[0].Why, want) {
			t.Fatalf("%+v, not %q", d, want)
		}
		now := env.setMinute(20) // the time of the pause has come
		active, err := findActiveTimeline(env.machine.View(), v1Key)
		if err != nil {
			t.Fatal(err)
		}
		sums, _ := env.reader.Sums(env.machine.View(), v1Key)
		raw, _ := json.Marshal(active.enterStage(3, &sums, Move{Ms: now, By: Cluster, Do: DoStep}))
		env.mustRefuse(want, &record.Write{By: Cluster, Base: env.machine.View().Version(), Changes: []record.Change{{Kind: StageKind, Key: v1Key, Value: raw}}})
		env.mustApply(env.due().Steps[0].Write)
		if s := env.table().entries[0]; s.cut != 0 {
			t.Fatal("calls are shed while held for harm")
		}
		env.mustApply(env.ownerMove("book", DoGo, 0, "seen to"))
		env.mustStep(Pause)
	}
}

func TestTimelineConflicts(t *testing.T) {
	n := int64(2)
	rule := rules.Rule{Mode: rules.Default, Value: rules.Value{N: &n}, Needs: "v1"}
	for name, c := range map[string]struct {
		first, second []any // by, then changes
		want          string
	}{
		"two for one version": {[]any{"book", TimelineKind, v1Key, sampleTimeline("v2")}, []any{"pay", TimelineKind, "*/*/*/pay@v1", sampleTimeline("")},
			"conflict timelines: */*/*/pay@v1 (pay) and */*/booking@v1 (book), both match any-island/any-hall/booking/pay"},
		"the successor ends": {[]any{"book", TimelineKind, bookingNamespace + "@v2", sampleTimeline("")}, []any{"book", TimelineKind, v1Key, sampleTimeline("v2")}, "conflict retired"},
		"ending a successor": {[]any{"book", TimelineKind, v1Key, sampleTimeline("v2")}, []any{"pay", TimelineKind, "*/*/*/pay@v2", sampleTimeline("")}, "v2 is the successor of v1"},
		"a circle":           {[]any{"book", TimelineKind, v1Key, sampleTimeline("v2")}, []any{"book", TimelineKind, bookingNamespace + "@v2", sampleTimeline("v1")}, "conflict circle"},
		"of itself":          {[]any{"book", TimelineKind, v1Key, sampleTimeline("v2")}, []any{"book", TimelineKind, bookingNamespace + "@v3", sampleTimeline("v3")}, "conflict circle"},
		"a rule needs it": {[]any{"pay", rules.RuleKind, "*/*/*/pay#attempts#p", rule}, []any{"book", TimelineKind, v1Key, sampleTimeline("v2")},
			"conflict retired: */*/*/pay#attempts#p (pay) and */*/booking@v1 (book), both match any-island/any-hall/booking/pay"},
		"a rule comes to need it": {[]any{"book", TimelineKind, v1Key, sampleTimeline("v2")}, []any{"pay", rules.RuleKind, "*/*/*/pay#attempts#p", rule},
			"conflict retired: */*/*/pay#attempts#p (pay) and */*/booking@v1 (book), both match any-island/any-hall/booking/pay"},
		"not the owner's": {[]any{"book", TimelineKind, v1Key, sampleTimeline("v2")}, []any{"pay", TimelineKind, bookingNamespace + "@v3", sampleTimeline("")}, "for book to change, not for pay"},
	} {
		t.Run(name, func(t *testing.T) {
			env := newTestEnv(t)
			env.mustAmend(c.first[0].(string), c.first[1:]...)
			env.mustRefuse(c.want, env.write(c.second[0].(string), c.second[1:]...))
		})
	}
}

// Equal states have equal tables, also after a state was saved and restored.
func TestTablesOfEqualStates(t *testing.T) {
	env := newTestEnv(t)
	env.mustAmend("book", TimelineKind, v1Key, sampleTimeline("v2"))
	env.setMinute(2)
	env.mustStep(Announced)
	env.setMinute(3)
	env.mustStep(Warned)
	env.mustApply(env.ownerMove("book", DoForce, 0, ""))
	var saved bytes.Buffer
	if err := record.Save(&saved, env.machine.View()); err != nil {
		t.Fatal(err)
	}
	other := newTestEnv(t)
	if err := other.machine.Restore(&saved); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(env.table(), other.table(), cmp.AllowUnexported(Table{}, tableEntry{}, versionClass{})); diff != "" {
		t.Fatal(diff)
	}
	want := Notice{Stage: Shed, RetryAfter: 30, Lines: "Deprecation: @120\r\nSunset: Thu, 01 Jan 1970 01:00:00 GMT\r\n" +
		"Link: <https://api.example/v1-ends>; rel=\"deprecation\", <https://api.example/v1-ends>; rel=\"sunset\", </v2>; rel=\"successor-version\"\r\n"}
	got := env.table().Lookup(&rules.Call{Class: "booking", Path: "/seats", Caller: "app"}, "v1")
	got.Shed = false
	if diff := cmp.Diff(want, got); diff != "" {
		t.Fatal(diff)
	}
	if env.table().Lookup(&rules.Call{Class: "pay"}, "v1").Timeline != -1 || env.table().Follows(&rules.Call{Class: "booking"}, "v2", -1) != 0 {
		t.Fatal("a timeline matches the call of another class, or the successor's call is not found")
	}
}

func TestValidationErrorsNameTheField(t *testing.T) {
	for want, change := range map[string]func(*Timeline){
		"steps[3].at_ms":  func(t *Timeline) { t.Steps[3].AtMs = 1 },
		"steps[4].share":  func(t *Timeline) { t.Steps[4].Share = 100 },
		"steps[2].need":   func(t *Timeline) { t.Steps[2].Need = nil },
		"steps: they":     func(t *Timeline) { t.Steps = t.Steps[:3] },
		"exempt[0].until": func(t *Timeline) { t.Exempt = []Exemption{{"app", maxTimeMs}} },
		"link: ":          func(t *Timeline) { t.Link = "https://x/\"><a" },
		"successor_link":  func(t *Timeline) { t.SuccessorLink = "" },
		"harm: lost":      func(t *Timeline) { t.Harm.Lost = 1 },
	} {
		timeline := sampleTimeline("v2")
		change(&timeline)
		now, _ := json.Marshal(timeline)
		if _, err := canonical(TimelineKind, v1Key, []byte(`{"now":`+string(now)+`}`)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%v, not %q", err, want)
		}
	}
}

func BenchmarkLookup(b *testing.B) {
	var all []*activeTimeline
	for i := range 200 {
		in, _ := rules.ParseSelector(fmt.Sprintf("*/*/class%d", i))
		for _, version := range []string{"v1", "v2"} {
			t := sampleTimeline("v9")
			k := Key{in, version}
			all = append(all, &activeTimeline{k.String(), k, &t, &Stage{At: 2, Stage: Shed, Cut: formatCut(math.MaxUint64 / 2)}})
		}
	}
	t, _ := buildTable(all, 1)
	c := &rules.Call{Island: "athens", Hall: "north", Class: "class77", Path: "/v1/seats", Caller: "phone-app"}
	for version, want := range map[string]int{"v1": 154, "v3": -1} {
		b.Run(version, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if t.Lookup(c, version).Timeline != want {
					b.Fatal(t.Lookup(c, version))
				}
			}
		})
	}
}
