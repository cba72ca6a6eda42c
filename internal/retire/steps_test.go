package retire

import (
	"encoding/json"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"burlpass/internal/record"
)

// fakeProcess is a process that counts only its first two callers by name, together with the actual numbers for all of them.
type fakeProcess struct {
	name   string
	bornMs int64
	named  []string
	actual map[string]*callerTotals
	sent   Use // the last report
}

// callerTotals is what actually happened to a caller at a process, with times by the record's time.
type callerTotals struct{ calls, warned, shed, worth, next, first int64 }

// use returns the counts of the process: two callers by name, the rest in Others. A first warning gets the timestamp of its
// first report.
func (p *fakeProcess) use(stamp int64) Use {
	u := Use{SeenMs: stamp}
	for caller, f := range p.actual {
		c := Count{Caller: caller, Calls: f.calls, Warned: f.warned, Shed: f.shed, Worth: f.worth, Next: f.next}
		named := slices.Contains(p.named, caller)
		if !named {
			c.Caller = ""
		}
		if c.Warned > 0 {
			c.FirstMs = stamp
		}
		if named {
			u.Callers = append(u.Callers, c)
		} else {
			u.Others = u.Others.add(c)
		}
	}
	slices.SortFunc(u.Callers, compareCallers)
	keep := func(c *Count, was Count) {
		if was.Warned > 0 {
			c.FirstMs = was.FirstMs
		}
	}
	for i := range u.Callers {
		keep(&u.Callers[i], p.sent.Of(u.Callers[i].Caller))
	}
	keep(&u.Others, p.sent.Others)
	return u
}

// referenceModel checks steps against what was actually reported, without marks, sums or timestamps.
type referenceModel struct {
	reported     map[string]map[string]callerTotals // last reports, by process and caller
	callsAtStart map[string]int64                   // calls by caller when the stage began
	stageStartMs int64                              // start of the stage
	at           int
	worth        int64 // worth refused when the stage began
	hasReport    bool  // whether a process reported since the stage began
}

func (r *referenceModel) sum(caller string) (f callerTotals) {
	for _, callers := range r.reported {
		c := callers[caller]
		f.calls, f.warned, f.worth = f.calls+c.calls, f.warned+c.warned, f.worth+c.worth
		if c.warned > 0 && (f.first == 0 || c.first < f.first) {
			f.first = c.first
		}
	}
	return f
}

var callers = []string{"app", "branch", "desk", "web"}

// blockedBy returns the reason why the next step may not be taken at a time, "" if it may.
func (r *referenceModel) blockedBy(t *Timeline, now int64) string {
	s := t.Steps[r.at+1]
	if now < s.AtMs || r.at >= 0 && now < r.stageStartMs+s.AfterMs {
		return "time"
	}
	var worth, all int64
	for _, c := range callers {
		worth += r.sum(c).worth
		all += r.sum(c).calls - r.callsAtStart[c]
	}
	if r.at > 0 && worth-r.worth >= t.Harm.Worth {
		return "harm"
	}
	if s.Need == nil {
		return ""
	}
	if !r.hasReport {
		return "nobody has reported"
	}
	for _, c := range callers {
		f := r.sum(c)
		if (f.calls-r.callsAtStart[c])*1000 > s.Need.Above*all && (f.warned < s.Need.Times || now < f.first+s.Need.ForMs) {
			return "caller " + c
		}
	}
	return ""
}

func (r *referenceModel) setStage(at int, now int64) {
	r.at, r.stageStartMs, r.hasReport, r.worth, r.callsAtStart = at, now, false, 0, map[string]int64{}
	for _, c := range callers {
		r.callsAtStart[c] = r.sum(c).calls
		r.worth += r.sum(c).worth
	}
}

// No step is accepted unless its conditions are met, whoever proposes it. Steps that are due are accepted. Reports that are
// lost, late, repeated or older do not change the sums, and neither does folding.
func TestNoStepWithoutConditions(t *testing.T) {
	steps := map[string]int{}
	rapid.Check(t, func(t *rapid.T) {
		env := newTestEnv(t)
		timeline := sampleTimeline("v2")
		timeline.Harm.Worth = 60
		for i := range timeline.Steps {
			if timeline.Steps[i].Need != nil {
				timeline.Steps[i].Need = &Need{Above: 450, Times: 2, ForMs: 180_000}
			}
		}
		env.mustAmend("book", TimelineKind, v1Key, timeline)
		ref := &referenceModel{reported: map[string]map[string]callerTotals{}, at: -1, callsAtStart: map[string]int64{}}
		now, processes := int64(1), []*fakeProcess{}
		start := func() {
			processes = append(processes, &fakeProcess{name: string(rune('a' + len(processes))), actual: map[string]*callerTotals{}})
		}
		start()
		start()
		for range rapid.IntRange(40, 90).Draw(t, "actions") {
			p := processes[rapid.IntRange(max(0, len(processes)-3), len(processes)-1).Draw(t, "process")]
			switch rapid.SampledFrom([]string{"calls", "calls", "report", "report", "older", "step", "step", "step", "forge", "time", "time", "time", "fold", "crash"}).Draw(t, "do") {
			case "calls":
				for range rapid.IntRange(1, 3).Draw(t, "callers") {
					p.call(t, env, now)
				}
			case "report":
				env.deliverReport(p, ref, now+rapid.SampledFrom([]int64{0, 500, UseLeadMs}).Draw(t, "stamp"))
			case "older":
				if p.bornMs > 0 && len(p.sent.Callers) > 0 {
					old := p.sent
					old.SeenMs = now
					old.Callers = slices.Clone(old.Callers)
					less := rapid.Int64Range(0, 1).Draw(t, "less")
					old.Callers[0].Calls -= less
					old.Callers[0].Warned = min(old.Callers[0].Warned, max(0, old.Callers[0].Calls-old.Callers[0].Shed))
					if env.apply(env.newReport(v1Key, p.name, p.bornMs, old)).Outcome == record.Applied { // an identical repeat is accepted
						if ref.hasReport = true; less > 0 {
							t.Fatal("an older report was taken")
						}
					}
				}
			case "step":
				for _, s := range env.due().Steps {
					if s.Why == "" {
						if why := ref.blockedBy(&timeline, now); why != "" {
							t.Fatalf("a step to %s is due, but blocked by %s", s.To, why)
						}
						ref.setStage(ref.at+1, now)
						steps[s.To]++
					}
					env.mustApply(s.Write)
				}
			case "forge":
				env.proposeForgedStep(t, ref, &timeline, now)
			case "time":
				now += rapid.SampledFrom([]int64{1_000, 61_000, 900_000, 1_800_000}).Draw(t, "ms")
				env.setTime(now)
			case "fold":
				for _, f := range env.due().Folds {
					before, _ := env.reader.Sums(env.machine.View(), v1Key)
					env.mustApply(f)
					after, _ := env.reader.Sums(env.machine.View(), v1Key)
					if a, b := before.Total(), after.Total(); a != b {
						t.Fatalf("folding changed the total from %+v to %+v", a, b)
					}
					for _, q := range processes { // a process whose counts were folded while it runs starts a new incarnation
						if _, ok := env.machine.View().Get(UseKind, UseKey(v1Key, q.name, q.bornMs)); q.bornMs > 0 && !ok {
							env.mustRefuse("a new one's number", env.newReport(v1Key, q.name, q.bornMs, q.use(now)))
							*q = fakeProcess{name: q.name + "x", actual: map[string]*callerTotals{}}
						}
					}
				}
			case "crash":
				start()
			}
		}
		sums, err := env.reader.Sums(env.machine.View(), v1Key)
		if err != nil {
			t.Fatal(err)
		}
		for _, c := range callers {
			if f, got := ref.sum(c), sums.Of(c); got.Calls > f.calls || got.Warned > f.warned || got.Warned > 0 && got.FirstMs < f.first {
				t.Fatalf("%s: the sums %+v exceed the actual %+v", c, got, f)
			}
		}
	})
	if steps[Shed] == 0 {
		t.Fatalf("too few steps to be conclusive: %v", steps)
	}
}

func (p *fakeProcess) call(t *rapid.T, env *testEnv, now int64) {
	caller := rapid.SampledFrom(callers).Draw(t, "caller")
	f := p.actual[caller]
	if f == nil {
		f = &callerTotals{}
		p.actual[caller] = f
		if len(p.named) < 2 {
			p.named = append(p.named, caller)
		}
	}
	n := rapid.Int64Range(1, 9).Draw(t, "calls")
	f.calls += n
	s := env.stage(v1Key)
	if s == nil || s.At == 0 || rapid.IntRange(0, 3).Draw(t, "cut short") == 0 {
		return
	}
	if s.Stage == Shed && rapid.Bool().Draw(t, "refused") {
		f.shed, f.worth = f.shed+n, f.worth+n
		return
	}
	if f.warned += n; f.first == 0 {
		f.first = now
	}
}

// deliverReport applies a report of a process, twice, and updates the reference model.
func (env *testEnv) deliverReport(p *fakeProcess, ref *referenceModel, stamp int64) {
	if p.bornMs == 0 {
		p.bornMs = stamp
	}
	u := p.use(stamp)
	write := env.newReport(v1Key, p.name, p.bornMs, u)
	first := env.apply(write)
	if again := env.machine.Apply(&record.Entry{Write: write}); again.Outcome != first.Outcome || !again.Again {
		env.t.Fatalf("again: %+v", again)
	}
	if first.Outcome != record.Applied {
		env.t.Fatal(first.Reason)
	}
	p.sent = u
	ref.reported[p.name+write.Changes[0].Key] = map[string]callerTotals{}
	for c, f := range p.actual {
		ref.reported[p.name+write.Changes[0].Key][c] = *f
	}
	ref.hasReport = true
}

// proposeForgedStep proposes a step whose conditions may not be met: too early, past a stage, with a timestamp from another
// clock, or based on the counts of one process.
func (env *testEnv) proposeForgedStep(t *rapid.T, ref *referenceModel, timeline *Timeline, now int64) {
	v := env.machine.View()
	active, err := findActiveTimeline(v, v1Key)
	if err != nil || active.nextIndex() == len(timeline.Steps) {
		return
	}
	uses, _ := env.reader.readUses(v, v1Key)
	sums := Merge(nil)
	one := rapid.Bool().Draw(t, "one process's counts")
	for _, u := range uses {
		if sums = Merge([]*Use{&sums, u}); one {
			break
		}
	}
	to := active.nextIndex()
	if rapid.IntRange(0, 3).Draw(t, "skip") == 0 && to+1 < len(timeline.Steps) {
		to++
	}
	ms := now + rapid.SampledFrom([]int64{0, 1000, 7 * 86_400_000}).Draw(t, "clock")
	raw, _ := json.Marshal(active.enterStage(to, &sums, Move{Ms: ms, By: "cluster/x", Do: DoStep}))
	r := env.apply(&record.Write{By: "cluster/x", Base: v.Version(), Changes: []record.Change{{Kind: StageKind, Key: v1Key, Value: raw}}})
	if r.Outcome != record.Applied {
		return
	}
	if why := ref.blockedBy(timeline, now); why != "" || to != ref.at+1 || ms > now+StageLeadMs {
		t.Fatalf("a forged step to %d at %d was accepted, but blocked by %q", to, ms, why)
	}
	ref.setStage(to, now)
}
