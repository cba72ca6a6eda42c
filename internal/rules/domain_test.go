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

// desk writes to a record that has rules.
type desk struct {
	t  *testing.T
	m  *record.Machine
	n  int
	at record.Version // the base of the next writes; 0: the newest
}

func newDesk(t *testing.T) *desk {
	d := &desk{t: t, m: record.New(record.Bounds{}, Domains(nil)...)}
	d.ok("root/ann", TeamKind, "root", Team{}, NamespaceKind, "*/*/*", Namespace{Owner: "root"}, ClassKind, "booking", Class{Attempts: 3},
		TeamKind, "book", Team{}, TeamKind, "pay", Team{}, TeamKind, "app", Team{},
		NamespaceKind, "*/*/booking", Namespace{"*/*/*", "book"}, NamespaceKind, "*/*/*/pay", Namespace{"*/*/*", "pay"})
	return d
}

// write takes kinds, keys and values by threes; nil is nothing in force.
func (d *desk) write(by string, changes ...any) *record.Write {
	d.t.Helper()
	v := d.m.View()
	d.n++
	w := &record.Write{ID: fmt.Sprint("w", d.n), By: by, Base: v.Version()}
	if d.at > 0 {
		w.Base = d.at
	}
	for i := 0; i < len(changes); i += 3 {
		kind, key := changes[i].(record.Kind), changes[i+1].(string)
		was, ok := v.Get(kind, key)
		if !ok {
			was = record.Item{Kind: kind, Key: key}
		}
		var now json.RawMessage
		if changes[i+2] != nil {
			now, _ = json.Marshal(changes[i+2])
		}
		c, err := Amend(was, now, by)
		if err != nil {
			d.t.Fatal(err)
		}
		w.Changes = append(w.Changes, c)
	}
	return w
}

// send applies a write, after a dry run that must say the same.
func (d *desk) send(w *record.Write) record.Result {
	d.t.Helper()
	dry := DryRun(&Decoder{}, d.m.View(), w, Env{})
	r := d.m.Apply(&record.Entry{Write: w})
	if (dry.Err() == nil) != (r.Outcome == record.Applied) || dry.Err() != nil && !strings.Contains(r.Reason, dry.Err().Error()[:min(100, len(dry.Err().Error()))]) {
		d.t.Fatalf("dry run: %v; the record: %+v", dry.Err(), r)
	}
	return r
}

func (d *desk) ok(by string, changes ...any) {
	d.t.Helper()
	if r := d.send(d.write(by, changes...)); r.Outcome != record.Applied {
		d.t.Fatal(r.Reason)
	}
}

// no wants a write to be refused, for a reason with all of some texts.
func (d *desk) no(want, by string, changes ...any) {
	d.t.Helper()
	before := d.m.View()
	r := d.send(d.write(by, changes...))
	if r.Outcome != record.Invalid || !strings.Contains(r.Reason, want) {
		d.t.Fatalf("%s %q does not have %q", r.Outcome, r.Reason, want)
	}
	if before.Len() != d.m.View().Len() {
		d.t.Fatal("a refused write changed something")
	}
}

func (d *desk) state() *State {
	s, err := (&Decoder{}).Load(d.m.View())
	if err != nil {
		d.t.Fatal(err)
	}
	return s
}

func n(mode Mode, v int64) Rule { return Rule{Mode: mode, Value: Value{N: ptr(v)}} }

func share(v int64) Rule { return Rule{Mode: Default, Value: Value{Share: ptr(v)}} }

func TestOnlyOwnersWrite(t *testing.T) {
	d := newDesk(t)
	d.no("is for book to change, not for pay", "pay", RuleKind, "*/*/booking#attempts#a", n(Default, 2))
	d.no("is for root to change, not for book", "book", TeamKind, "more", Team{})
	d.no("is for book to change", "root", NamespaceKind, "*/*/booking", Namespace{"*/*/*", "root"})
	d.no("by: ", "nobody", RuleKind, "*/*/booking#attempts#a", n(Default, 2))
	d.no("*/*/booking contains it", "root", NamespaceKind, "a/*/booking", Namespace{"*/*/*", "root"})
	d.ok("book", NamespaceKind, "a/h/booking", Namespace{"*/*/booking", "book"})
	d.no("must be put below it", "book", NamespaceKind, "a/*/booking", Namespace{"*/*/booking", "app"})
	d.ok("book", NamespaceKind, "a/*/booking", Namespace{"*/*/booking", "app"}, NamespaceKind, "a/h/booking", Namespace{"a/*/booking", "book"})
	d.ok("app/li", RuleKind, "a/*/booking#attempts#a", n(Default, 2))
	d.no("it owns the root", "root", TeamKind, "root", Team{Dissolved: true})
	d.no("is not there", "app", NamespaceKind, "a/*/booking", nil)
	// Dissolved: what it had is the parent's owner's, with the rule.
	d.ok("app", TeamKind, "app", Team{Dissolved: true})
	if o, _ := d.state().Owner("a/*/booking"); o != "book" {
		t.Fatalf("owner %q", o)
	}
	d.ok("book", RuleKind, "a/*/booking#attempts#a", n(Default, 1))
}

func TestEachConflict(t *testing.T) {
	const both = "*/*/booking#attempts#"
	for name, c := range map[string]struct {
		first, second []any // by, then changes
		want          Conflict
	}{
		"equal": {[]any{"book", RuleKind, both + "a", n(Default, 2)}, []any{"book", RuleKind, both + "b", n(Default, 3)},
			Conflict{Kind: Equal, A: Side{Key: both + "a", Owner: "book"}, B: Side{Key: both + "b", Owner: "book"}, Decider: "book",
				Witness: Call{"any-island", "any-hall", "booking", "", "any-caller"}}},
		"overlap": {[]any{"book", RuleKind, both + "a", n(Default, 2)}, []any{"pay", RuleKind, "*/*/*/pay#attempts#p", n(Default, 3)},
			Conflict{Kind: Overlap, A: Side{Key: "*/*/*/pay#attempts#p", Owner: "pay"}, B: Side{Key: both + "a", Owner: "book"}, Decider: "root",
				Witness: Call{"any-island", "any-hall", "booking", "/pay", "any-caller"}}},
		"overlapping lists": {[]any{"book", RuleKind, "*/*/booking#callers#a", Rule{Mode: Default, Value: Value{Callers: []string{"app", "web"}}}},
			[]any{"pay", RuleKind, "*/*/*/pay#callers#p", Rule{Mode: Default, Value: Value{Callers: []string{"app"}}}},
			Conflict{Kind: Overlap, A: Side{Key: "*/*/*/pay#callers#p", Owner: "pay"}, B: Side{Key: "*/*/booking#callers#a", Owner: "book"}, Decider: "root",
				Witness: Call{"any-island", "any-hall", "booking", "/pay", "web"}}},
		"looser than a bound": {[]any{"root", RuleKind, "*/*/*#attempts#r", n(Bound, 1)}, []any{"book", RuleKind, both + "a", n(Default, 2)},
			Conflict{Kind: Looser, A: Side{Key: both + "a", Owner: "book"}, B: Side{Key: "*/*/*#attempts#r", Owner: "root"},
				Witness: Call{"any-island", "any-hall", "booking", "", "any-caller"}}},
		"a bound above": {[]any{"book", RuleKind, both + "a", n(Default, 2)}, []any{"root", RuleKind, "*/*/*#attempts#r", n(Bound, 1)},
			Conflict{Kind: Looser, A: Side{Key: both + "a", Owner: "book"}, B: Side{Key: "*/*/*#attempts#r", Owner: "root"},
				Witness: Call{"any-island", "any-hall", "booking", "", "any-caller"}}},
		"looser than the class": {[]any{"book", RuleKind, both + "b", n(Default, 3)}, []any{"book", RuleKind, both + "b", n(Default, 4)},
			Conflict{Kind: Looser, A: Side{Key: both + "b", Owner: "book"}, B: Side{Key: "booking", Owner: "root"},
				Witness: Call{"any-island", "any-hall", "booking", "", "any-caller"}}},
		"locked": {[]any{"root", RuleKind, "*/*/*#worth#r", n(Locked, 9)}, []any{"pay", RuleKind, "*/*/*/pay#worth#p", n(Default, 9)},
			Conflict{Kind: Below, A: Side{Key: "*/*/*/pay#worth#p", Owner: "pay"}, B: Side{Key: "*/*/*#worth#r", Owner: "root"},
				Witness: Call{"any-island", "any-hall", "any-class", "/pay", "any-caller"}}},
		"shares": {[]any{"root", RuleKind, "*/*/*#rate#r", n(Bound, 5000), NamespaceKind, "a/*/*", Namespace{"*/*/*", "app"}, NamespaceKind, "b/*/*",
			Namespace{"*/*/*", "app"}},
			[]any{"app", RuleKind, "a/*/*#rate#a", share(600), RuleKind, "b/*/*#rate#b", share(500)},
			Conflict{Kind: Shares, A: Side{Key: "a/*/*#rate#a", Owner: "app"}, B: Side{Key: "*/*/*#rate#r", Owner: "root"}, Others: []string{"b/*/*#rate#b"},
				Witness: Call{"a", "any-hall", "any-class", "", "any-caller"}}},
		"withdrawn": {[]any{"book", GrantKind, "g", Grant{In: "*/*/booking", To: "app"}}, nil,
			Conflict{Kind: Withdrawn, A: Side{Key: both + "g", Owner: "book"}, B: Side{Key: "g", Owner: "book"},
				Witness: Call{"any-island", "any-hall", "booking", "", "any-caller"}}},
		"circle": {[]any{"book", GrantKind, "g", Grant{In: "*/*/booking", To: "app", Pass: true}},
			[]any{"app", GrantKind, "h", Grant{In: "*/*/booking", To: "book", Under: "g"}},
			Conflict{Kind: Circle, A: Side{Key: "h", Owner: "app"}, B: Side{Key: "g", Owner: "book"},
				Witness: Call{"any-island", "any-hall", "booking", "", "any-caller"}}},
	} {
		t.Run(name, func(t *testing.T) {
			d := newDesk(t)
			d.ok(c.first[0].(string), c.first[1:]...)
			if c.second == nil {
				r := n(Default, 2)
				r.Under = "g"
				d.ok("app", RuleKind, both+"g", r)
				c.second = []any{"book", GrantKind, "g", nil}
			}
			w := d.write(c.second[0].(string), c.second[1:]...)
			got := DryRun(&Decoder{}, d.m.View(), w, Env{})
			if len(got.Faults) > 0 || len(got.Conflicts) == 0 {
				t.Fatalf("%+v", got)
			}
			one := got.Conflicts[0]
			one.Why, one.A.Kind, one.B.Kind, one.A.Value, one.B.Value, one.A.Sum, one.B.Sum = "", "", "", nil, nil, "", ""
			if diff := cmp.Diff(c.want, one); diff != "" {
				t.Fatal(diff)
			}
			d.no("conflict "+string(c.want.Kind), c.second[0].(string), c.second[1:]...)
		})
	}
}

// Two teams write from the same base. Either write is fine alone; the one that comes second is refused, and told so.
func TestTogether(t *testing.T) {
	d := newDesk(t)
	d.at = d.m.View().Version()
	one := d.write("book", RuleKind, "*/*/booking#deadline#a", n(Default, 200))
	other := d.write("pay", RuleKind, "*/*/*/pay#deadline#p", n(Default, 300))
	for _, w := range []*record.Write{one, other} {
		if a := DryRun(&Decoder{}, d.m.View(), w, Env{}); a.Err() != nil {
			t.Fatal(a.Err())
		}
	}
	if r := d.send(one); r.Outcome != record.Applied {
		t.Fatal(r)
	}
	a := DryRun(&Decoder{}, d.m.View(), other, Env{})
	if len(a.Conflicts) != 1 || !a.Conflicts[0].Together {
		t.Fatalf("%+v", a)
	}
	if r := d.send(other); r.Outcome != record.Invalid || !strings.Contains(r.Reason, "conflict overlap: *") {
		t.Fatal(r)
	}
	// Who has seen it and writes the same is refused as well, but not for being late.
	d.at = 0
	if a := DryRun(&Decoder{}, d.m.View(), d.write("pay", RuleKind, "*/*/*/pay#deadline#p", n(Default, 300)), Env{}); len(a.Conflicts) != 1 || a.Conflicts[0].Together {
		t.Fatalf("%+v", a)
	}
}

// What is refused can be decided by the digests of the answer, and written again. The decision holds for these values, and it and
// the rules can be taken back.
func TestDecision(t *testing.T) {
	d := newDesk(t)
	a, p := "*/*/booking#deadline#a", "*/*/*/pay#deadline#p"
	holds := func(want time.Duration) {
		t.Helper()
		if got := Compile(d.state(), 1).Lookup(&Call{Class: "booking", Path: "/pay/now"}, time.Second).Deadline; got != want {
			t.Fatalf("%v, not %v", got, want)
		}
	}
	d.ok("book", RuleKind, a, n(Default, 200))
	answer := DryRun(&Decoder{}, d.m.View(), d.write("pay", RuleKind, p, n(Default, 300)), Env{})
	if len(answer.Conflicts) != 1 || answer.Conflicts[0].Decider != "root" {
		t.Fatalf("%+v", answer)
	}
	c := answer.Conflicts[0]
	pair := PairKey(a, p)
	decision := Decision{A: c.A.Key, B: c.B.Key, ASum: c.A.Sum, BSum: c.B.Sum, Pick: p, Why: "payments wait for banks"}
	d.no("is for root to change, not for pay", "pay", DecisionKind, pair, decision)
	d.no("conflict overlap", "pay", RuleKind, p, n(Default, 300))
	holds(200 * time.Millisecond)
	d.ok("root", DecisionKind, pair, decision)
	holds(200 * time.Millisecond)
	d.ok("pay", RuleKind, p, n(Default, 300))
	holds(300 * time.Millisecond)
	d.no("conflict overlap", "pay", RuleKind, p, n(Default, 900))
	d.no("conflict overlap", "book", RuleKind, a, n(Default, 250))
	d.no("conflict overlap", "root", DecisionKind, pair, nil)
	holds(300 * time.Millisecond)
	back := func(by string, kind record.Kind, key string) {
		t.Helper()
		i, _ := d.m.View().Get(kind, key)
		change, err := TakeBack(i, by)
		if err != nil {
			t.Fatal(err)
		}
		w := d.write(by)
		w.Changes = []record.Change{change}
		if r := d.send(w); r.Outcome != record.Applied {
			t.Fatal(r.Reason)
		}
	}
	back("pay", RuleKind, p)
	holds(200 * time.Millisecond)
	back("pay", RuleKind, p) // takes the taking back back
	holds(300 * time.Millisecond)
	i, _ := d.m.View().Get(RuleKind, p)
	past, now, err := History(i)
	if err != nil {
		t.Fatal(err)
	}
	rule := `{"mode":"default","value":300}`
	want := []Past{{json.RawMessage(rule), "pay"}, {json.RawMessage("null"), "pay"}}
	if diff := cmp.Diff(want, past) + cmp.Diff(rule, string(now)); diff != "" {
		t.Fatal(diff)
	}
	// A history that is not carried on, and an item that goes without leaving it, are refused.
	w := d.write("pay", RuleKind, p, n(Default, 300))
	w.Changes[0].Value = json.RawMessage(`{"now":` + rule + `}`)
	if r := d.send(w); !strings.Contains(r.Reason, "past: ") {
		t.Fatal(r)
	}
	w.ID, w.Changes[0].Value = "gone", nil
	if r := d.send(w); !strings.Contains(r.Reason, "keeps its history") {
		t.Fatal(r)
	}
	for k := range 2 * maxPast {
		d.ok("book", RuleKind, "*/*/booking#worth#w", n(Default, int64(k)))
	}
	if i, _ = d.m.View().Get(RuleKind, "*/*/booking#worth#w"); strings.Count(string(i.Value), `"was"`) != maxPast {
		t.Fatalf("%s", i.Value)
	}
}

// A value has one form.
func TestStrict(t *testing.T) {
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
			t.Errorf("%s: %v, not %q", in, err, want)
		}
	}
}

// A decision between rules of which one has come to stand above the other, since the tree has moved, decides nothing.
func TestDecisionOverTheTree(t *testing.T) {
	items := []record.Item{item(TeamKind, "root", 1, Team{}), item(NamespaceKind, "*/*/*", 1, Namespace{Owner: "root"}),
		item(NamespaceKind, "*/*/k", 1, Namespace{"*/*/*", "root"}), item(NamespaceKind, "*/*/*/x", 1, Namespace{"*/*/*", "root"}),
		item(RuleKind, "*/*/*#worth#r", 1, n(Default, 1)), item(RuleKind, "*/*/*/x#worth#r", 1, n(Default, 2))}
	s := mustMerge(t, items)
	above, _ := lookupValue[*rule](s, RuleKind, "*/*/*#worth#r")
	below, _ := lookupValue[*rule](s, RuleKind, "*/*/*/x#worth#r")
	s = mustMerge(t, append(items, item(DecisionKind, PairKey(above.Key, below.Key), 1,
		Decision{A: above.Key, B: below.Key, ASum: ruleDigest(above), BSum: ruleDigest(below), Pick: above.Key})))
	if v := Compile(s, 1).Lookup(&Call{Class: "k", Path: "/x"}, 0); v.Worth != 2 {
		t.Fatalf("%+v", v)
	}
}
