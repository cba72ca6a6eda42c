package enforcement

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"burlpass/internal/cluster/replica"
	"burlpass/internal/lease"
	"burlpass/internal/limits"
	"burlpass/internal/protocol"
	"burlpass/internal/record"
	"burlpass/internal/routing"
	"burlpass/internal/rules"
)

// fixture is a record with rules, an Enforcer that is updated after each write, and limits that answer as configured.
type fixture struct {
	testing.TB
	*Enforcer
	replica    *replica.Replica
	now        time.Time
	log        bytes.Buffer
	exhausted  map[string]time.Duration // exhausted limits, and the wait they report
	setLimits  []lease.Limit
	limitCalls [][]string // the limits of each Take, and {"done"} for each Done
}

func newFixture(t testing.TB, domains ...record.Domain) *fixture {
	f := &fixture{TB: t, replica: replica.New(record.New(record.DefaultBounds(), domains...), 0, 0), now: time.Unix(1000, 0), exhausted: map[string]time.Duration{}}
	f.Enforcer = New(Config{Member: f, Limits: f, Island: "athens", Hall: "h1", Now: func() time.Time { return f.now },
		Classes: []Class{{Name: "booking"}, {Name: "paid", Window: 10 * time.Second}}, Log: slog.New(slog.NewTextHandler(&f.log, nil))})
	return f
}

func newFixtureWithRules(t testing.TB, changes ...string) *fixture {
	f := newFixture(t, rules.Domains(nil)...)
	f.writeItems("team root {}", "team book {}", `namespace */*/* {"owner":"root"}`, `namespace */*/booking {"parent":"*/*/*","owner":"book"}`,
		`class paid {"attempts":3,"repeat":true}`)
	f.writeItems(changes...)
	return f
}

func (f *fixture) Replica() *replica.Replica { return f.replica }

func (f *fixture) Set(l []lease.Limit) { f.setLimits = l }

func (f *fixture) Take(ids []string, _ time.Duration) (limits.Ticket, time.Duration, bool) {
	f.limitCalls = append(f.limitCalls, ids)
	for _, id := range ids {
		if wait, ok := f.exhausted[id]; ok {
			return limits.Ticket{}, wait, false
		}
	}
	return limits.Ticket{}, 0, true
}

func (f *fixture) Done(limits.Ticket) { f.limitCalls = append(f.limitCalls, []string{"done"}) }

// writeItems applies "KIND KEY VALUE" items, each as its owner, and updates the Enforcer.
func (f *fixture) writeItems(items ...string) {
	f.Helper()
	for _, text := range items {
		part := strings.SplitN(text, " ", 3)
		was, _ := f.replica.View().Get(record.Kind(part[0]), part[1])
		was.Kind, was.Key = record.Kind(part[0]), part[1]
		by := "root"
		if strings.HasPrefix(part[1], "*/*/booking#") {
			by = "book"
		}
		c, err := rules.Amend(was, json.RawMessage(part[2]), by)
		if err != nil {
			f.Fatal(err)
		}
		write := &record.Write{ID: fmt.Sprint("w", f.replica.Version()), By: by, Base: f.replica.Version(), Changes: []record.Change{c}}
		if was.Kind == rules.NamespaceKind && part[1] == "*/*/*" { // the first write creates the root namespace together with the teams
			write.Changes = append(write.Changes, record.Change{Kind: rules.TeamKind, Key: "root", Value: json.RawMessage(`{"now":{}}`)},
				record.Change{Kind: rules.TeamKind, Key: "book", Value: json.RawMessage(`{"now":{}}`)})
		} else if was.Kind == rules.TeamKind {
			continue
		}
		raw, err := record.Encode(&record.Entry{Write: write})
		if err != nil {
			f.Fatal(err)
		}
		if r, err := f.replica.Apply(raw); err != nil || r.Outcome != record.Applied {
			f.Fatal(text, r, err)
		}
	}
	f.applyView(f.replica.View())
}

// enter passes a call to the Enforcer and describes the resulting terms.
func (f *fixture) enter(class int, caller, key, path string) string {
	terms := f.Admit(&protocol.Call{Class: class, Budget: 2 * time.Second, Origin: &protocol.Origin{Caller: caller, Key: key, Path: path}})
	return describeTerms(terms)
}

func describeTerms(terms routing.CallPolicy) string {
	if a := terms.Refusal; a != nil {
		return fmt.Sprintf("refused %d %v", a.Verdict, a.Wait)
	}
	if terms.Ended != nil {
		terms.Ended(routing.CallResult{})
	}
	return fmt.Sprintf("passes %d %v %v", terms.Attempts, terms.AtMostOnce, terms.Deadline)
}

func TestEnter(t *testing.T) {
	limited := fmt.Sprintf("refused %d ", protocol.Limited)
	for name, test := range map[string]struct {
		rules      []string
		exhausted  map[string]time.Duration
		call       func(f *fixture) string
		want       string
		limitCalls [][]string
	}{
		"no rules": {call: func(f *fixture) string { return f.enter(0, "", "", "") }, want: "passes 0 false 0s"},
		"terms": {rules: []string{`rule */*/*#attempts#a {"mode":"default","value":2}`, `rule */*/*#repeat#a {"mode":"default","value":0}`,
			`rule */*/*#deadline#a {"mode":"default","value":1500}`},
			call: func(f *fixture) string { return f.enter(0, "", "", "") }, want: "passes 2 true 1.5s"},
		"a deadline longer than the client's": {rules: []string{`rule */*/*#deadline#a {"mode":"default","value":2500}`},
			call: func(f *fixture) string { return f.enter(0, "", "", "") }, want: "passes 0 false 0s"},
		"attempts above the class's maximum": {rules: []string{`rule */*/*#attempts#a {"mode":"default","value":9}`},
			call: func(f *fixture) string { return f.enter(1, "", "", "") }, want: "passes 3 false 0s"},
		"another caller": {rules: []string{`rule */*/booking#callers#a {"mode":"default","callers":["app"]}`},
			call: func(f *fixture) string { return f.enter(0, "web", "", "") }, want: limited + "1s"},
		"a caller": {rules: []string{`rule */*/booking#callers#a {"mode":"default","callers":["app"]}`},
			call: func(f *fixture) string { return f.enter(0, "app", "", "") }, want: "passes 0 false 0s"},
		"another class": {rules: []string{`rule */*/booking#callers#a {"mode":"default","callers":["app"]}`},
			call: func(f *fixture) string { return f.enter(1, "web", "", "") }, want: "passes 3 false 0s"},
		"a limit and the parent's bound": {
			rules: []string{`rule */*/*#rate#a {"mode":"bound","value":9000}`, `rule */*/booking#rate#b {"mode":"default","share":500}`},
			call:  func(f *fixture) string { return f.enter(0, "", "", "") }, want: "passes 0 false 0s",
			limitCalls: [][]string{{"*/*/booking#rate#b", "*/*/*#rate#a"}}},
		"concurrent calls are released": {rules: []string{`rule */*/*#calls#a {"mode":"default","value":9}`},
			call: func(f *fixture) string { return f.enter(0, "", "", "") }, want: "passes 0 false 0s",
			limitCalls: [][]string{{"*/*/*#calls#a"}, {"done"}}},
		"limit exhausted": {rules: []string{`rule */*/*#rate#a {"mode":"default","value":9}`}, exhausted: map[string]time.Duration{"*/*/*#rate#a": 30 * time.Millisecond},
			call: func(f *fixture) string { return f.enter(0, "", "", "") }, want: limited + "30ms", limitCalls: [][]string{{"*/*/*#rate#a"}}},
		"limit exhausted, wait unknown": {rules: []string{`rule */*/*#rate#a {"mode":"default","value":0}`}, exhausted: map[string]time.Duration{"*/*/*#rate#a": 0},
			call: func(f *fixture) string { return f.enter(0, "", "", "") }, want: limited + "1s", limitCalls: [][]string{{"*/*/*#rate#a"}}},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixtureWithRules(t, test.rules...)
			f.exhausted = test.exhausted
			if got := test.call(f); got != test.want {
				t.Errorf("%s, not %s", got, test.want)
			}
			if diff := cmp.Diff(test.limitCalls, f.limitCalls); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// A repeat of an admitted key is admitted even if the rules have changed, and no limit counts it again. Another key, a class
// that does not recognize repeats, a refused key and a key whose window is over are treated as new calls.
func TestRepeatedKeyIsAdmitted(t *testing.T) {
	f := newFixtureWithRules(t, `rule */*/*#rate#a {"mode":"default","value":9}`)
	pass, no := "passes 3 false 0s", fmt.Sprintf("refused %d 1s", protocol.Limited)
	expect := func(class int, key, want string) {
		t.Helper()
		if got := f.enter(class, "", key, ""); !strings.HasPrefix(got, strings.Fields(want)[0]) {
			t.Errorf("%s, not %s", got, want)
		}
	}
	expect(1, "k1", pass)
	expect(0, "k2", pass)
	f.exhausted["*/*/*#rate#a"] = 0
	expect(1, "k1", pass)
	expect(1, "k3", no)
	expect(1, "k3", no)
	expect(0, "k2", no)
	expect(1, "", no)
	f.writeItems(`rule */*/*#callers#a {"mode":"default","callers":["app"]}`)
	expect(1, "k1", pass)
	f.now = f.now.Add(9999 * time.Millisecond)
	expect(1, "k1", pass)
	f.now = f.now.Add(time.Millisecond)
	expect(1, "k1", no)
	taken := 0
	for _, ids := range f.limitCalls {
		taken += len(ids)
	}
	if taken != 6 { // k1, k2 and the four refused by the limit; the callers rule refuses before limits are consulted
		t.Errorf("limits were consulted %d times: %v", taken, f.limitCalls)
	}
}

// A key admitted for one caller does not admit a call of another caller that has chosen the same key.
func TestKeysAreScopedToCaller(t *testing.T) {
	f := newFixtureWithRules(t, `rule */*/*#callers#a {"mode":"default","callers":["app"]}`)
	steps := []string{f.enter(1, "app", "k1", ""), f.enter(1, "web", "k1", ""), f.enter(1, "", "appk1", ""), f.enter(1, "app", "k1", "")}
	pass, refused := "passes 3 false 0s", fmt.Sprintf("refused %d 1s", protocol.Limited)
	if diff := cmp.Diff([]string{pass, refused, refused, pass}, steps); diff != "" {
		t.Error(diff)
	}
}

// A key set is bounded, and remembers each key for exactly its window.
func TestKeySetIsBounded(t *testing.T) {
	k := keySet{window: time.Second}
	now := time.Unix(50, 0)
	for i := range uint64(maxKeysPerWindow) {
		if !k.add(i, now) {
			t.Fatal(i)
		}
	}
	if k.add(maxKeysPerWindow, now) || k.contains(maxKeysPerWindow, now) {
		t.Error("a full set accepted another key")
	}
	later := now.Add(time.Second - 1)
	if !k.contains(0, later) || k.contains(0, later.Add(1)) {
		t.Error("key not remembered for exactly its window")
	}
	if !k.add(maxKeysPerWindow, later.Add(1)) || !k.add(7, now.Add(3*time.Second)) || len(k.current) != 1 || len(k.previous) != 0 {
		t.Error("expired keys still take up space")
	}
}

// A new table takes effect together with its limits, while a call in progress keeps its terms.
func TestApplyView(t *testing.T) {
	f := newFixtureWithRules(t)
	before := f.Version()
	terms := f.Admit(&protocol.Call{Budget: time.Second, Origin: &protocol.Origin{}})
	f.writeItems(`rule */*/*#calls#a {"mode":"default","value":3,"cut":{"mode":"open"}}`)
	if got := describeTerms(terms); got != "passes 0 false 0s" || f.limitCalls != nil {
		t.Errorf("the call's terms changed: %s %v", got, f.limitCalls)
	}
	if f.Version() != before+1 {
		t.Errorf("version %d after %d", f.Version(), before)
	}
	if diff := cmp.Diff([]lease.Limit{{ID: "*/*/*#calls#a", Kind: "calls", Amount: 3, Cut: lease.Cut{Mode: "open"}}}, f.setLimits); diff != "" {
		t.Error(diff)
	}
	f.applyView(f.replica.View())                                 // unchanged: not logged
	if n := strings.Count(f.log.String(), "msg=rules "); n != 2 { // one for the fixture's items, one for the rule
		t.Errorf("%d lines:\n%s", n, f.log.String())
	}
}

// corruptView returns a rule that no domain would have accepted.
type corruptView struct{ record.View }

func (s corruptView) Each(k record.Kind, f func(record.Item) bool) {
	if k == rules.RuleKind {
		f(record.Item{Kind: k, Key: "*/*/*#rate#x", Value: json.RawMessage(`{"now":{"mode":"newer"}}`), Version: 99})
		return
	}
	s.View.Each(k, f)
}

// A state that cannot be decoded leaves the previous table in effect and is logged once.
func TestCorruptStateKeepsPreviousTable(t *testing.T) {
	f := newFixtureWithRules(t, `rule */*/booking#callers#a {"mode":"default","callers":["app"]}`)
	before := f.Version()
	for range 3 {
		f.applyRules(corruptView{f.replica.View()})
	}
	if f.Version() != before || strings.Count(f.log.String(), "rules_refused") != 1 || !strings.HasPrefix(f.enter(0, "web", "", ""), "refused") {
		t.Errorf("version %d, not %d:\n%s", f.Version(), before, f.log.String())
	}
}

// In a cluster without rules no call is refused, and their absence is logged once.
func TestClusterWithoutRules(t *testing.T) {
	f := newFixture(t, record.Orders())
	f.applyView(f.replica.View())
	f.applyView(f.replica.View())
	if got := f.enter(0, "", "", ""); got != "passes 0 false 0s" || strings.Count(f.log.String(), "rules_unknown") != 1 {
		t.Errorf("%s\n%s", got, f.log.String())
	}
}

// Refusals are counted by rule up to maxNamedRules, and logged at most once a second per rule.
func TestRefusalCounts(t *testing.T) {
	f := newFixtureWithRules(t)
	table := f.table.Load()
	for i := range maxNamedRules + 5 {
		f.recordRefusal(table, fmt.Sprintf("r%02d", i))
		f.recordRefusal(table, fmt.Sprintf("r%02d", i))
	}
	got := f.RefusalCounts()
	if len(got) != maxNamedRules+1 || !slices.Contains(got, RefusalCount{otherRules, 10}) || !slices.Contains(got, RefusalCount{"r63", 2}) {
		t.Error(got)
	}
	if n := strings.Count(f.log.String(), "rule_refused"); n != maxNamedRules+1 {
		t.Errorf("%d lines", n)
	}
	f.now = f.now.Add(logInterval)
	f.recordRefusal(table, "r63")
	if !strings.Contains(f.log.String(), "rule=r63 owner=\"\" count=2") {
		t.Error(f.log.String())
	}
}

// Run follows the record until its context is cancelled.
func TestRun(t *testing.T) {
	f := newFixtureWithRules(t)
	f.Enforcer.table.Store(nil)
	f.Enforcer.state = nil
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); f.Run(ctx) }()
	for f.Version() == 0 {
		time.Sleep(time.Millisecond)
	}
	cancel()
	<-done
}
