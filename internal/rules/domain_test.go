package rules

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"burlpass/internal/record"
)

// recordFixture writes rules to a record.
type recordFixture struct {
	t       *testing.T
	machine *record.Machine
	writes  int
	base    record.Version // base version of the next writes; 0 for the newest
}

func newRecordFixture(t *testing.T) *recordFixture {
	fixture := &recordFixture{t: t, machine: record.New(record.Bounds{}, Domains(nil)...)}
	fixture.mustApply("root/ann", TeamKind, "root", Team{}, NamespaceKind, "*/*/*", Namespace{Owner: "root"},
		ClassKind, "booking", Class{Attempts: 3},
		TeamKind, "book", Team{}, TeamKind, "pay", Team{}, TeamKind, "app", Team{},
		NamespaceKind, "*/*/booking", Namespace{"*/*/*", "book"}, NamespaceKind, "*/*/*/pay", Namespace{"*/*/*", "pay"})
	return fixture
}

// write builds a write of changes, given as kind, key and value each. The value nil removes an item.
func (d *recordFixture) write(by string, changes ...any) *record.Write {
	d.t.Helper()
	view := d.machine.View()
	d.writes++
	w := &record.Write{ID: fmt.Sprint("w", d.writes), By: by, Base: view.Version()}
	if d.base > 0 {
		w.Base = d.base
	}
	for i := 0; i < len(changes); i += 3 {
		kind, key := changes[i].(record.Kind), changes[i+1].(string)
		previous, ok := view.Get(kind, key)
		if !ok {
			previous = record.Item{Kind: kind, Key: key}
		}
		var value json.RawMessage
		if changes[i+2] != nil {
			value, _ = json.Marshal(changes[i+2])
		}
		c, err := Amend(previous, value, by)
		if err != nil {
			d.t.Fatal(err)
		}
		w.Changes = append(w.Changes, c)
	}
	return w
}

// apply applies a write, and requires that a dry run has the same result.
func (d *recordFixture) apply(w *record.Write) record.Result {
	d.t.Helper()
	dryRun := DryRun(&Decoder{}, d.machine.View(), w, Env{})
	result := d.machine.Apply(&record.Entry{Write: w})
	if (dryRun.Err() == nil) != (result.Outcome == record.Applied) || dryRun.Err() != nil &&
		!strings.Contains(result.Reason, dryRun.Err().Error()[:min(100, len(dryRun.Err().Error()))]) {
		d.t.Fatalf("dry run: %v; result of the record: %+v", dryRun.Err(), result)
	}
	return result
}

func (d *recordFixture) mustApply(by string, changes ...any) {
	d.t.Helper()
	if r := d.apply(d.write(by, changes...)); r.Outcome != record.Applied {
		d.t.Fatal(r.Reason)
	}
}

// mustRefuse requires that a write is refused with a reason that contains want.
func (d *recordFixture) mustRefuse(want, by string, changes ...any) {
	d.t.Helper()
	viewBefore := d.machine.View()
	r := d.apply(d.write(by, changes...))
	if r.Outcome != record.Invalid || !strings.Contains(r.Reason, want) {
		d.t.Fatalf("outcome %s, reason %q; want a refusal with %q", r.Outcome, r.Reason, want)
	}
	if viewBefore.Len() != d.machine.View().Len() {
		d.t.Fatal("a refused write changed something")
	}
}

func (d *recordFixture) state() *State {
	s, err := (&Decoder{}).Load(d.machine.View())
	if err != nil {
		d.t.Fatal(err)
	}
	return s
}

func numberRule(mode Mode, v int64) Rule { return Rule{Mode: mode, Value: Value{N: ptr(v)}} }

func shareRule(v int64) Rule { return Rule{Mode: Default, Value: Value{Share: ptr(v)}} }

func TestOnlyOwnersWrite(t *testing.T) {
	fixture := newRecordFixture(t)
	fixture.mustRefuse("is for book to change, not for pay", "pay", RuleKind, "*/*/booking#attempts#a", numberRule(Default, 2))
	fixture.mustRefuse("is for root to change, not for book", "book", TeamKind, "more", Team{})
	fixture.mustRefuse("is for book to change", "root", NamespaceKind, "*/*/booking", Namespace{"*/*/*", "root"})
	fixture.mustRefuse("by: ", "nobody", RuleKind, "*/*/booking#attempts#a", numberRule(Default, 2))
	fixture.mustRefuse("*/*/booking contains it", "root", NamespaceKind, "a/*/booking", Namespace{"*/*/*", "root"})
	fixture.mustApply("book", NamespaceKind, "a/h/booking", Namespace{"*/*/booking", "book"})
	fixture.mustRefuse("must be put below it", "book", NamespaceKind, "a/*/booking", Namespace{"*/*/booking", "app"})
	fixture.mustApply("book", NamespaceKind, "a/*/booking", Namespace{"*/*/booking", "app"},
		NamespaceKind, "a/h/booking", Namespace{"a/*/booking", "book"})
	fixture.mustApply("app/li", RuleKind, "a/*/booking#attempts#a", numberRule(Default, 2))
	fixture.mustRefuse("it owns the root", "root", TeamKind, "root", Team{Dissolved: true})
	fixture.mustRefuse("is not there", "app", NamespaceKind, "a/*/booking", nil)
	// The namespaces and rules of a dissolved team belong to the owner of the parent namespace.
	fixture.mustApply("app", TeamKind, "app", Team{Dissolved: true})
	if owner, _ := fixture.state().Owner("a/*/booking"); owner != "book" {
		t.Fatalf("owner %q", owner)
	}
	fixture.mustApply("book", RuleKind, "a/*/booking#attempts#a", numberRule(Default, 1))
}

func TestConflictKinds(t *testing.T) {
	const ruleKeyPrefix = "*/*/booking#attempts#"
	for name, c := range map[string]struct {
		first, second []any // the writing team, then the changes
		want          Conflict
	}{
		"equal": {[]any{"book", RuleKind, ruleKeyPrefix + "a", numberRule(Default, 2)},
			[]any{"book", RuleKind, ruleKeyPrefix + "b", numberRule(Default, 3)},
			Conflict{Kind: Equal, A: Side{Key: ruleKeyPrefix + "a", Owner: "book"},
				B: Side{Key: ruleKeyPrefix + "b", Owner: "book"}, Decider: "book",
				Witness: Call{"any-island", "any-hall", "booking", "", "any-caller"}}},
		"overlap": {[]any{"book", RuleKind, ruleKeyPrefix + "a", numberRule(Default, 2)},
			[]any{"pay", RuleKind, "*/*/*/pay#attempts#p", numberRule(Default, 3)},
			Conflict{Kind: Overlap, A: Side{Key: "*/*/*/pay#attempts#p", Owner: "pay"},
				B: Side{Key: ruleKeyPrefix + "a", Owner: "book"}, Decider: "root",
				Witness: Call{"any-island", "any-hall", "booking", "/pay", "any-caller"}}},
		"overlapping lists": {[]any{"book", RuleKind, "*/*/booking#callers#a",
			Rule{Mode: Default, Value: Value{Callers: []string{"app", "web"}}}},
			[]any{"pay", RuleKind, "*/*/*/pay#callers#p", Rule{Mode: Default, Value: Value{Callers: []string{"app"}}}},
			Conflict{Kind: Overlap, A: Side{Key: "*/*/*/pay#callers#p", Owner: "pay"},
				B: Side{Key: "*/*/booking#callers#a", Owner: "book"}, Decider: "root",
				Witness: Call{"any-island", "any-hall", "booking", "/pay", "web"}}},
		"looser than a bound": {[]any{"root", RuleKind, "*/*/*#attempts#r", numberRule(Bound, 1)},
			[]any{"book", RuleKind, ruleKeyPrefix + "a", numberRule(Default, 2)},
			Conflict{Kind: Looser, A: Side{Key: ruleKeyPrefix + "a", Owner: "book"}, B: Side{Key: "*/*/*#attempts#r", Owner: "root"},
				Witness: Call{"any-island", "any-hall", "booking", "", "any-caller"}}},
		"a bound above": {[]any{"book", RuleKind, ruleKeyPrefix + "a", numberRule(Default, 2)},
			[]any{"root", RuleKind, "*/*/*#attempts#r", numberRule(Bound, 1)},
			Conflict{Kind: Looser, A: Side{Key: ruleKeyPrefix + "a", Owner: "book"}, B: Side{Key: "*/*/*#attempts#r", Owner: "root"},
				Witness: Call{"any-island", "any-hall", "booking", "", "any-caller"}}},
		"looser than the class": {[]any{"book", RuleKind, ruleKeyPrefix + "b", numberRule(Default, 3)},
			[]any{"book", RuleKind, ruleKeyPrefix + "b", numberRule(Default, 4)},
			Conflict{Kind: Looser, A: Side{Key: ruleKeyPrefix + "b", Owner: "book"}, B: Side{Key: "booking", Owner: "root"},
				Witness: Call{"any-island", "any-hall", "booking", "", "any-caller"}}},
		"locked": {[]any{"root", RuleKind, "*/*/*#worth#r", numberRule(Locked, 9)},
			[]any{"pay", RuleKind, "*/*/*/pay#worth#p", numberRule(Default, 9)},
			Conflict{Kind: Below, A: Side{Key: "*/*/*/pay#worth#p", Owner: "pay"}, B: Side{Key: "*/*/*#worth#r", Owner: "root"},
				Witness: Call{"any-island", "any-hall", "any-class", "/pay", "any-caller"}}},
		"shares": {[]any{"root", RuleKind, "*/*/*#rate#r", numberRule(Bound, 5000), NamespaceKind, "a/*/*", Namespace{"*/*/*", "app"},
			NamespaceKind, "b/*/*",
			Namespace{"*/*/*", "app"}},
			[]any{"app", RuleKind, "a/*/*#rate#a", shareRule(600), RuleKind, "b/*/*#rate#b", shareRule(500)},
			Conflict{Kind: Shares, A: Side{Key: "a/*/*#rate#a", Owner: "app"},
				B: Side{Key: "*/*/*#rate#r", Owner: "root"}, Others: []string{"b/*/*#rate#b"},
				Witness: Call{"a", "any-hall", "any-class", "", "any-caller"}}},
		"withdrawn": {[]any{"book", GrantKind, "g", Grant{In: "*/*/booking", To: "app"}}, nil,
			Conflict{Kind: Withdrawn, A: Side{Key: ruleKeyPrefix + "g", Owner: "book"}, B: Side{Key: "g", Owner: "book"},
				Witness: Call{"any-island", "any-hall", "booking", "", "any-caller"}}},
		"circle": {[]any{"book", GrantKind, "g", Grant{In: "*/*/booking", To: "app", Pass: true}},
			[]any{"app", GrantKind, "h", Grant{In: "*/*/booking", To: "book", Under: "g"}},
			Conflict{Kind: Circle, A: Side{Key: "h", Owner: "app"}, B: Side{Key: "g", Owner: "book"},
				Witness: Call{"any-island", "any-hall", "booking", "", "any-caller"}}},
	} {
		t.Run(name, func(t *testing.T) {
			fixture := newRecordFixture(t)
			fixture.mustApply(c.first[0].(string), c.first[1:]...)
			if c.second == nil {
				r := numberRule(Default, 2)
				r.Under = "g"
				fixture.mustApply("app", RuleKind, ruleKeyPrefix+"g", r)
				c.second = []any{"book", GrantKind, "g", nil}
			}
			w := fixture.write(c.second[0].(string), c.second[1:]...)
			got := DryRun(&Decoder{}, fixture.machine.View(), w, Env{})
			if len(got.Faults) > 0 || len(got.Conflicts) == 0 {
				t.Fatalf("%+v", got)
			}
			conflict := got.Conflicts[0]
			conflict.Why, conflict.A.Kind, conflict.B.Kind, conflict.A.Value, conflict.B.Value, conflict.A.Sum, conflict.B.Sum =
				"", "", "", nil, nil, "", ""
			if diff := cmp.Diff(c.want, conflict); diff != "" {
				t.Fatal(diff)
			}
			fixture.mustRefuse("conflict "+string(c.want.Kind), c.second[0].(string), c.second[1:]...)
		})
	}
}

// Two teams write from the same base version. Each write alone has no conflict, but the second one is refused, and
// its conflict is marked as caused by concurrent writes.
func TestConcurrentWritesConflict(t *testing.T) {
	fixture := newRecordFixture(t)
	fixture.base = fixture.machine.View().Version()
	first := fixture.write("book", RuleKind, "*/*/booking#deadline#a", numberRule(Default, 200))
	second := fixture.write("pay", RuleKind, "*/*/*/pay#deadline#p", numberRule(Default, 300))
	for _, w := range []*record.Write{first, second} {
		if answer := DryRun(&Decoder{}, fixture.machine.View(), w, Env{}); answer.Err() != nil {
			t.Fatal(answer.Err())
		}
	}
	if r := fixture.apply(first); r.Outcome != record.Applied {
		t.Fatal(r)
	}
	answer := DryRun(&Decoder{}, fixture.machine.View(), second, Env{})
	if len(answer.Conflicts) != 1 || !answer.Conflicts[0].Together {
		t.Fatalf("%+v", answer)
	}
	if r := fixture.apply(second); r.Outcome != record.Invalid || !strings.Contains(r.Reason, "conflict overlap: *") {
		t.Fatal(r)
	}
	// The same write based on the newest version is refused too, but not marked as concurrent.
	fixture.base = 0
	if answer := DryRun(&Decoder{}, fixture.machine.View(),
		fixture.write("pay", RuleKind, "*/*/*/pay#deadline#p", numberRule(Default, 300)), Env{}); len(answer.Conflicts) != 1 ||
		answer.Conflicts[0].Together {
		t.Fatalf("%+v", answer)
	}
}

// A conflict can be resolved by a decision with the digests from the answer, after which the refused write is
// accepted. The decision applies to these values only, and the changes can be reverted.
func TestDecisionResolvesOverlap(t *testing.T) {
	fixture := newRecordFixture(t)
	a, p := "*/*/booking#deadline#a", "*/*/*/pay#deadline#p"
	expectDeadline := func(want time.Duration) {
		t.Helper()
		if got := Compile(fixture.state(), 1).Lookup(&Call{Class: "booking", Path: "/pay/now"}, time.Second).Deadline; got != want {
			t.Fatalf("deadline %v, want %v", got, want)
		}
	}
	fixture.mustApply("book", RuleKind, a, numberRule(Default, 200))
	answer := DryRun(&Decoder{}, fixture.machine.View(), fixture.write("pay", RuleKind, p, numberRule(Default, 300)), Env{})
	if len(answer.Conflicts) != 1 || answer.Conflicts[0].Decider != "root" {
		t.Fatalf("%+v", answer)
	}
	c := answer.Conflicts[0]
	pair := PairKey(a, p)
	decision := Decision{A: c.A.Key, B: c.B.Key, ASum: c.A.Sum, BSum: c.B.Sum, Pick: p, Why: "payments wait for banks"}
	fixture.mustRefuse("is for root to change, not for pay", "pay", DecisionKind, pair, decision)
	fixture.mustRefuse("conflict overlap", "pay", RuleKind, p, numberRule(Default, 300))
	expectDeadline(200 * time.Millisecond)
	fixture.mustApply("root", DecisionKind, pair, decision)
	expectDeadline(200 * time.Millisecond)
	fixture.mustApply("pay", RuleKind, p, numberRule(Default, 300))
	expectDeadline(300 * time.Millisecond)
	fixture.mustRefuse("conflict overlap", "pay", RuleKind, p, numberRule(Default, 900))
	fixture.mustRefuse("conflict overlap", "book", RuleKind, a, numberRule(Default, 250))
	fixture.mustRefuse("conflict overlap", "root", DecisionKind, pair, nil)
	expectDeadline(300 * time.Millisecond)
	revert := func(by string, kind record.Kind, key string) {
		t.Helper()
		i, _ := fixture.machine.View().Get(kind, key)
		change, err := TakeBack(i, by)
		if err != nil {
			t.Fatal(err)
		}
		w := fixture.write(by)
		w.Changes = []record.Change{change}
		if r := fixture.apply(w); r.Outcome != record.Applied {
			t.Fatal(r.Reason)
		}
	}
	revert("pay", RuleKind, p)
	expectDeadline(200 * time.Millisecond)
	revert("pay", RuleKind, p) // reverts the revert
	expectDeadline(300 * time.Millisecond)
	i, _ := fixture.machine.View().Get(RuleKind, p)
	past, now, err := History(i)
	if err != nil {
		t.Fatal(err)
	}
	rule := `{"mode":"default","value":300}`
	want := []Past{{json.RawMessage(rule), "pay"}, {json.RawMessage("null"), "pay"}}
	if diff := cmp.Diff(want, past) + cmp.Diff(rule, string(now)); diff != "" {
		t.Fatal(diff)
	}
	// Writes that drop the history, or remove an item without keeping its history, are refused.
	w := fixture.write("pay", RuleKind, p, numberRule(Default, 300))
	w.Changes[0].Value = json.RawMessage(`{"now":` + rule + `}`)
	if r := fixture.apply(w); !strings.Contains(r.Reason, "past: ") {
		t.Fatal(r)
	}
	w.ID, w.Changes[0].Value = "gone", nil
	if r := fixture.apply(w); !strings.Contains(r.Reason, "keeps its history") {
		t.Fatal(r)
	}
	for k := range 2 * maxPast {
		fixture.mustApply("book", RuleKind, "*/*/booking#worth#w", numberRule(Default, int64(k)))
	}
	if i, _ = fixture.machine.View().Get(RuleKind, "*/*/booking#worth#w"); strings.Count(string(i.Value), `"was"`) != maxPast {
		t.Fatalf("%s", i.Value)
	}
}

// A value has exactly one canonical form, white space aside; anything else is refused.
func TestCanonicalForm(t *testing.T) {
	for in, want := range map[string]string{
		`{"now": {"mode":"bound", "value":5}}`:                          "",
		`{"now":{"mode":"bound","value":5,"callers":["a"]}}`:            "must have one value",
		`{"now":{"value":5,"mode":"bound"}}`:                            "not in the one form",
		`{"now":{"Mode":"bound","value":5}}`:                            "not in the one form",
		`{"now":{"mode":"bound","value":5,"value":5}}`:                  "not in the one form",
		`{"now":{"mode":"bound","value":5.5}}`:                          "cannot unmarshal",
		`{"now":{"mode":"bound","value":101}}`:                          "must be 1 to 100",
		`{"now":{"mode":"bound","share":5}}`:                            "only a rule of rate or calls",
		`{"now":{"mode":"strict","value":5}}`:                           "mode: ",
		`{"now":{"mode":"bound","value":5},"then":1}`:                   "unknown field",
		`{"now":{"mode":"bound","value":5}}{}`:                          "invalid character",
		`{"now":null,"past":[{"was":{"mode":"x","value":5},"by":"a"}]}`: "past[0]: mode",
	} {
		_, err := Domains(nil)[4].Canonical("*/*/k#attempts#r", json.RawMessage(in))
		if (err == nil) != (want == "") || err != nil && !strings.Contains(err.Error(), want) {
			t.Errorf("%s: error %v, want %q", in, err, want)
		}
	}
}

// After a change of the tree, one of the rules of a decision can be in an ancestor of the other. The decision has
// no effect then.
func TestDecisionIgnoredAfterTreeMove(t *testing.T) {
	items := []record.Item{newItem(TeamKind, "root", 1, Team{}), newItem(NamespaceKind, "*/*/*", 1, Namespace{Owner: "root"}),
		newItem(NamespaceKind, "*/*/k", 1, Namespace{"*/*/*", "root"}), newItem(NamespaceKind, "*/*/*/x", 1, Namespace{"*/*/*", "root"}),
		newItem(RuleKind, "*/*/*#worth#r", 1, numberRule(Default, 1)), newItem(RuleKind, "*/*/*/x#worth#r", 1, numberRule(Default, 2))}
	s := mustMerge(t, items)
	above, _ := lookupValue[*rule](s, RuleKind, "*/*/*#worth#r")
	below, _ := lookupValue[*rule](s, RuleKind, "*/*/*/x#worth#r")
	s = mustMerge(t, append(items, newItem(DecisionKind, PairKey(above.Key, below.Key), 1,
		Decision{A: above.Key, B: below.Key, ASum: ruleDigest(above), BSum: ruleDigest(below), Pick: above.Key})))
	if v := Compile(s, 1).Lookup(&Call{Class: "k", Path: "/x"}, 0); v.Worth != 2 {
		t.Fatalf("%+v", v)
	}
}
