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

// world is a record with rules, a governor that follows it by hand, and limits that say what they are told to.
type world struct {
	testing.TB
	*Enforcer
	r    *replica.Replica
	now  time.Time
	log  bytes.Buffer
	full map[string]time.Duration // limits without room, and after how long there is some
	set  []lease.Limit
	took [][]string
}

func newWorld(t testing.TB, domains ...record.Domain) *world {
	w := &world{TB: t, r: replica.New(record.New(record.DefaultBounds(), domains...), 0, 0), now: time.Unix(1000, 0), full: map[string]time.Duration{}}
	w.Enforcer = New(Config{Member: w, Limits: w, Island: "athens", Hall: "h1", Now: func() time.Time { return w.now },
		Classes: []Class{{Name: "booking"}, {Name: "paid", Window: 10 * time.Second}}, Log: slog.New(slog.NewTextHandler(&w.log, nil))})
	return w
}

func governed(t testing.TB, changes ...string) *world {
	w := newWorld(t, rules.Domains(nil)...)
	w.write("team root {}", "team book {}", `namespace */*/* {"owner":"root"}`, `namespace */*/booking {"parent":"*/*/*","owner":"book"}`,
		`class paid {"attempts":3,"repeat":true}`)
	w.write(changes...)
	return w
}

func (w *world) Replica() *replica.Replica { return w.r }

func (w *world) Set(l []lease.Limit) { w.set = l }

func (w *world) Take(ids []string, _ time.Duration) (limits.Ticket, time.Duration, bool) {
	w.took = append(w.took, ids)
	for _, id := range ids {
		if wait, ok := w.full[id]; ok {
			return limits.Ticket{}, wait, false
		}
	}
	return limits.Ticket{}, 0, true
}

func (w *world) Done(limits.Ticket) { w.took = append(w.took, []string{"done"}) }

// write applies "KIND KEY VALUE" items, each by its owner's root, and has the governor follow.
func (w *world) write(items ...string) {
	w.Helper()
	for _, text := range items {
		part := strings.SplitN(text, " ", 3)
		was, _ := w.r.View().Get(record.Kind(part[0]), part[1])
		was.Kind, was.Key = record.Kind(part[0]), part[1]
		by := "root"
		if strings.HasPrefix(part[1], "*/*/booking#") {
			by = "book"
		}
		c, err := rules.Amend(was, json.RawMessage(part[2]), by)
		if err != nil {
			w.Fatal(err)
		}
		write := &record.Write{ID: fmt.Sprint("w", w.r.Version()), By: by, Base: w.r.Version(), Changes: []record.Change{c}}
		if was.Kind == rules.NamespaceKind && part[1] == "*/*/*" { // the first write of all makes the root and its team
			write.Changes = append(write.Changes, record.Change{Kind: rules.TeamKind, Key: "root", Value: json.RawMessage(`{"now":{}}`)},
				record.Change{Kind: rules.TeamKind, Key: "book", Value: json.RawMessage(`{"now":{}}`)})
		} else if was.Kind == rules.TeamKind {
			continue
		}
		raw, err := record.Encode(&record.Entry{Write: write})
		if err != nil {
			w.Fatal(err)
		}
		if r, err := w.r.Apply(raw); err != nil || r.Outcome != record.Applied {
			w.Fatal(text, r, err)
		}
	}
	w.applyView(w.r.View())
}

// enter asks about a call, and gives the answer in short.
func (w *world) enter(class int, caller, key, path string) string {
	terms := w.Enter(&protocol.Call{Class: class, Budget: 2 * time.Second, Origin: &protocol.Origin{Caller: caller, Key: key, Path: path}})
	return short(terms)
}

func short(terms routing.Terms) string {
	if a := terms.Refusal; a != nil {
		return fmt.Sprintf("refused %d %v", a.Verdict, a.Wait)
	}
	if terms.Ended != nil {
		terms.Ended(routing.End{})
	}
	return fmt.Sprintf("passes %d %v %v", terms.Attempts, terms.Once, terms.Deadline)
}

func TestEnter(t *testing.T) {
	limited := fmt.Sprintf("refused %d ", protocol.Limited)
	for name, test := range map[string]struct {
		rules []string
		full  map[string]time.Duration
		call  func(w *world) string
		want  string
		took  [][]string
	}{
		"no rules": {call: func(w *world) string { return w.enter(0, "", "", "") }, want: "passes 0 false 0s"},
		"terms": {rules: []string{`rule */*/*#attempts#a {"mode":"default","value":2}`, `rule */*/*#repeat#a {"mode":"default","value":0}`,
			`rule */*/*#deadline#a {"mode":"default","value":1500}`},
			call: func(w *world) string { return w.enter(0, "", "", "") }, want: "passes 2 true 1.5s"},
		"a deadline longer than the client's": {rules: []string{`rule */*/*#deadline#a {"mode":"default","value":2500}`},
			call: func(w *world) string { return w.enter(0, "", "", "") }, want: "passes 0 false 0s"},
		"the class's law": {rules: []string{`rule */*/*#attempts#a {"mode":"default","value":9}`},
			call: func(w *world) string { return w.enter(1, "", "", "") }, want: "passes 3 false 0s"},
		"another caller": {rules: []string{`rule */*/booking#callers#a {"mode":"default","callers":["app"]}`},
			call: func(w *world) string { return w.enter(0, "web", "", "") }, want: limited + "1s"},
		"a caller": {rules: []string{`rule */*/booking#callers#a {"mode":"default","callers":["app"]}`},
			call: func(w *world) string { return w.enter(0, "app", "", "") }, want: "passes 0 false 0s"},
		"another class": {rules: []string{`rule */*/booking#callers#a {"mode":"default","callers":["app"]}`},
			call: func(w *world) string { return w.enter(1, "web", "", "") }, want: "passes 3 false 0s"},
		"a limit and the bound above it": {
			rules: []string{`rule */*/*#rate#a {"mode":"bound","value":9000}`, `rule */*/booking#rate#b {"mode":"default","share":500}`},
			call:  func(w *world) string { return w.enter(0, "", "", "") }, want: "passes 0 false 0s",
			took: [][]string{{"*/*/booking#rate#b", "*/*/*#rate#a"}}},
		"calls are given back": {rules: []string{`rule */*/*#calls#a {"mode":"default","value":9}`},
			call: func(w *world) string { return w.enter(0, "", "", "") }, want: "passes 0 false 0s",
			took: [][]string{{"*/*/*#calls#a"}, {"done"}}},
		"no room": {rules: []string{`rule */*/*#rate#a {"mode":"default","value":9}`}, full: map[string]time.Duration{"*/*/*#rate#a": 30 * time.Millisecond},
			call: func(w *world) string { return w.enter(0, "", "", "") }, want: limited + "30ms", took: [][]string{{"*/*/*#rate#a"}}},
		"no room, nobody knows until when": {rules: []string{`rule */*/*#rate#a {"mode":"default","value":0}`}, full: map[string]time.Duration{"*/*/*#rate#a": 0},
			call: func(w *world) string { return w.enter(0, "", "", "") }, want: limited + "1s", took: [][]string{{"*/*/*#rate#a"}}},
	} {
		t.Run(name, func(t *testing.T) {
			w := governed(t, test.rules...)
			w.full = test.full
			if got := test.call(w); got != test.want {
				t.Errorf("%s, not %s", got, test.want)
			}
			if diff := cmp.Diff(test.took, w.took); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// A repeat of a key that has passed passes whatever rules say by now, and no limit counts it again; another key, a class without
// repeats by key, a key that was refused and one whose window is over are calls like any other.
func TestRepeatsOfAKey(t *testing.T) {
	w := governed(t, `rule */*/*#rate#a {"mode":"default","value":9}`)
	pass, no := "passes 3 false 0s", fmt.Sprintf("refused %d 1s", protocol.Limited)
	step := func(class int, key, want string) {
		t.Helper()
		if got := w.enter(class, "", key, ""); !strings.HasPrefix(got, strings.Fields(want)[0]) {
			t.Errorf("%s, not %s", got, want)
		}
	}
	step(1, "k1", pass)
	step(0, "k2", pass)
	w.full["*/*/*#rate#a"] = 0
	step(1, "k1", pass)
	step(1, "k3", no)
	step(1, "k3", no)
	step(0, "k2", no)
	step(1, "", no)
	w.write(`rule */*/*#callers#a {"mode":"default","callers":["app"]}`)
	step(1, "k1", pass)
	w.now = w.now.Add(9999 * time.Millisecond)
	step(1, "k1", pass)
	w.now = w.now.Add(time.Millisecond)
	step(1, "k1", no)
	taken := 0
	for _, ids := range w.took {
		taken += len(ids)
	}
	if taken != 6 { // k1, k2, and the four refused by the limit; callers refuse before it is asked
		t.Errorf("limits were asked %d times: %v", taken, w.took)
	}
}

// What has passed for one caller does not pass for another that has chosen the same key.
func TestKeysOfTwoCallers(t *testing.T) {
	w := governed(t, `rule */*/*#callers#a {"mode":"default","callers":["app"]}`)
	steps := []string{w.enter(1, "app", "k1", ""), w.enter(1, "web", "k1", ""), w.enter(1, "", "appk1", ""), w.enter(1, "app", "k1", "")}
	pass, refused := "passes 3 false 0s", fmt.Sprintf("refused %d 1s", protocol.Limited)
	if diff := cmp.Diff([]string{pass, refused, refused, pass}, steps); diff != "" {
		t.Error(diff)
	}
}

// The memory of keys is bounded, forgets by its window alone, and never remembers longer than that.
func TestKeysAreBounded(t *testing.T) {
	k := keySet{window: time.Second}
	now := time.Unix(50, 0)
	for i := range uint64(maxKeysPerWindow) {
		if !k.add(i, now) {
			t.Fatal(i)
		}
	}
	if k.add(maxKeysPerWindow, now) || k.contains(maxKeysPerWindow, now) {
		t.Error("there was room for one more")
	}
	later := now.Add(time.Second - 1)
	if !k.contains(0, later) || k.contains(0, later.Add(1)) {
		t.Error("not for its window")
	}
	if !k.add(maxKeysPerWindow, later.Add(1)) || !k.add(7, now.Add(3*time.Second)) || len(k.current) != 1 || len(k.previous) != 0 {
		t.Error("the room was not given back")
	}
}

// A table is in force from when it is read, a call keeps the terms that it had, and the limits are set with it.
func TestFollow(t *testing.T) {
	w := governed(t)
	before := w.Version()
	terms := w.Enter(&protocol.Call{Budget: time.Second, Origin: &protocol.Origin{}})
	w.write(`rule */*/*#calls#a {"mode":"default","value":3,"cut":{"mode":"open"}}`)
	if got := short(terms); got != "passes 0 false 0s" || w.took != nil {
		t.Errorf("the call's terms changed: %s %v", got, w.took)
	}
	if w.Version() != before+1 {
		t.Errorf("version %d after %d", w.Version(), before)
	}
	if diff := cmp.Diff([]lease.Limit{{ID: "*/*/*#calls#a", Kind: "calls", Amount: 3, Cut: lease.Cut{Mode: "open"}}}, w.set); diff != "" {
		t.Error(diff)
	}
	w.applyView(w.r.View())                                       // nothing new: no line
	if n := strings.Count(w.log.String(), "msg=rules "); n != 2 { // the world's, written as one, and the rule
		t.Errorf("%d lines:\n%s", n, w.log.String())
	}
}

// spoilt shows a value that no domain would have let in.
type spoilt struct{ record.View }

func (s spoilt) Each(k record.Kind, f func(record.Item) bool) {
	if k == rules.RuleKind {
		f(record.Item{Kind: k, Key: "*/*/*#rate#x", Value: json.RawMessage(`{"now":{"mode":"newer"}}`), Version: 99})
		return
	}
	s.View.Each(k, f)
}

// What does not decode leaves the table before, and is told once.
func TestASpoiltState(t *testing.T) {
	w := governed(t, `rule */*/booking#callers#a {"mode":"default","callers":["app"]}`)
	before := w.Version()
	for range 3 {
		w.applyRules(spoilt{w.r.View()})
	}
	if w.Version() != before || strings.Count(w.log.String(), "rules_refused") != 1 || !strings.HasPrefix(w.enter(0, "web", "", ""), "refused") {
		t.Errorf("version %d, not %d:\n%s", w.Version(), before, w.log.String())
	}
}

// A cluster without rules refuses nothing, and the log says once that it has none.
func TestAClusterWithoutRules(t *testing.T) {
	w := newWorld(t, record.Orders())
	w.applyView(w.r.View())
	w.applyView(w.r.View())
	if got := w.enter(0, "", "", ""); got != "passes 0 false 0s" || strings.Count(w.log.String(), "rules_unknown") != 1 {
		t.Errorf("%s\n%s", got, w.log.String())
	}
}

// Refusals are counted by rule up to a number of rules, and logged once a second a rule.
func TestRefusals(t *testing.T) {
	w := governed(t)
	table := w.table.Load()
	for i := range maxNamedRules + 5 {
		w.recordRefusal(table, fmt.Sprintf("r%02d", i))
		w.recordRefusal(table, fmt.Sprintf("r%02d", i))
	}
	got := w.RefusalCounts()
	if len(got) != maxNamedRules+1 || !slices.Contains(got, RefusalCount{otherRules, 10}) || !slices.Contains(got, RefusalCount{"r63", 2}) {
		t.Error(got)
	}
	if n := strings.Count(w.log.String(), "rule_refused"); n != maxNamedRules+1 {
		t.Errorf("%d lines", n)
	}
	w.now = w.now.Add(logInterval)
	w.recordRefusal(table, "r63")
	if !strings.Contains(w.log.String(), "rule=r63 owner=\"\" count=2") {
		t.Error(w.log.String())
	}
}

// Run follows a record until it is stopped.
func TestRun(t *testing.T) {
	w := governed(t)
	w.Enforcer.table.Store(nil)
	w.Enforcer.state = nil
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); w.Run(ctx) }()
	for w.Version() == 0 {
		time.Sleep(time.Millisecond)
	}
	cancel()
	<-done
}
