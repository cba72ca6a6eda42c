package rules

import (
	"bytes"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"burlpass/internal/lease"
	"burlpass/internal/record"
)

// placeOf says where a side's item is.
func (state *State) placeOf(side Side) (string, bool) {
	switch side.Kind {
	case RuleKind:
		k, _ := ParseRuleKey(side.Key)
		return k.In.String(), true
	case GrantKind:
		if g, ok := lookupValue[*grant](state, GrantKind, side.Key); ok {
			return g.Grant.In, true
		}
	case ClassKind:
		return "*/*/" + side.Key, true
	case "timeline":
		return "*/*/l", true
	}
	return "", false // gone
}

func told(c Conflict) string {
	if c.Kind == Circle {
		if c.A.Kind == GrantKind {
			return fmt.Sprint(c.Kind, []string{c.A.Key})
		}
		return fmt.Sprint(c.Kind, []string{c.A.Key, c.B.Key, c.Others[0]})
	}
	return fmt.Sprint(c.Kind, []string{c.A.Key, c.B.Key})
}

// What is found is what going through all calls finds, no more and no less, and each witness is a call that both sides match.
func TestConflictsAreThoseOfTheReference(t *testing.T) {
	seen := map[ConflictKind]int{}
	rapid.Check(t, func(t *rapid.T) {
		s, err := new(Decoder).Merge(drawItems(t))
		if err != nil {
			t.Fatal(err)
		}
		got := map[string]bool{}
		for _, c := range s.Conflicts(retired()) {
			got[told(c)] = true
			seen[c.Kind]++
			for _, side := range []Side{c.A, c.B} {
				if in, there := s.placeOf(side); there && !matches(in, c.Witness) {
					t.Fatalf("%s does not match the witness of %v", side.Key, c)
				}
			}
			if c.A.Owner == "" || c.A.Key == c.B.Key || (c.Decider != "") != (c.Kind == Equal || c.Kind == Overlap) {
				t.Fatalf("%+v", c)
			}
			if a, b := c.A, c.B; c.Kind == Overlap && (a.Owner == b.Owner || b.Owner == "") {
				t.Fatalf("%+v", c)
			}
		}
		if d := cmp.Diff(sortedKeys(referenceOf(s)), sortedKeys(got)); d != "" {
			t.Fatal(d)
		}
	})
	t.Log(seen) // TestEachConflict has each kind for sure
}

// A write of rules and decisions is held only against what it can touch; what is found is the same as by looking at everything.
func TestAroundFindsWhatEverythingFinds(t *testing.T) {
	refused := 0
	rapid.Check(t, func(t *rapid.T) {
		var items []record.Item
		for _, i := range drawItems(t) { // the tree alone has no conflict, unless its grants do
			if i.Kind != RuleKind && i.Kind != DecisionKind && i.Kind != GrantKind {
				items = append(items, i)
			}
		}
		was, err := new(Decoder).Merge(items)
		if err != nil {
			t.Fatal(err)
		}
		spaces := []string{}
		for _, n := range was.preorder {
			spaces = append(spaces, n.key)
		}
		table := Compile(was, 0)
		for version := range record.Version(rapid.IntRange(1, 14).Draw(t, "writes")) {
			w := &record.Write{Base: version}
			keys := []string{}
			for _, r := range valuesOf[*rule](was, RuleKind) {
				keys = append(keys, r.Key)
			}
			for range rapid.IntRange(1, 2).Draw(t, "changes") {
				key, r := drawRule(t, spaces, nil)
				i := item(RuleKind, key, 0, r)
				if len(keys) > 0 && rapid.IntRange(0, 3).Draw(t, "takes away") == 0 {
					i.Key, i.Value = rapid.SampledFrom(keys).Draw(t, "which"), []byte(`{"now":null}`)
				} else if len(keys) > 1 && rapid.IntRange(0, 2).Draw(t, "decides") == 0 {
					two := rapid.SliceOfNDistinct(rapid.SampledFrom(keys), 2, 2, rapid.ID).Draw(t, "two")
					i = item(DecisionKind, PairKey(two[0], two[1]), 0, drawDecision(t, was, min(two[0], two[1]), max(two[0], two[1])))
				}
				if !slices.ContainsFunc(w.Changes, func(c record.Change) bool { return c.Key == i.Key }) {
					w.Changes = append(w.Changes, record.Change{Kind: i.Kind, Key: i.Key, Value: i.Value})
				}
			}
			will, err := was.With(w.Changes, version+1)
			if err != nil {
				t.Fatal(err)
			}
			narrow := &conflictFinder{state: will, before: was, env: retired(), conflicts: map[string]Conflict{}}
			narrow.findAffected(was, w.Changes)
			whole := &conflictFinder{state: will, before: was, env: retired(), conflicts: map[string]Conflict{}}
			whole.findAll()
			if d := cmp.Diff(whole.sorted(), narrow.sorted()); d != "" {
				t.Fatalf("%s\n%s", w.Changes, d)
			}
			next := table.Update(will, version+1)
			if d := cmp.Diff(string(Compile(will, version+1).Bytes()), string(next.Bytes())); d != "" {
				t.Fatal(d)
			}
			if len(whole.conflicts) > 0 {
				refused++
				continue
			}
			was, table = will, next
		}
	})
	if refused == 0 {
		t.Error("no write met a conflict")
	}
}

// Any order of the items, and any of them twice, gives the same bytes.
func TestMergingIsOfTheSetAlone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		items := drawItems(t)
		one := Compile(mustMergeIn(t, items), 1).Bytes()
		mixed := rapid.Permutation(append(slices.Clone(items), items[rapid.IntRange(0, len(items)-1).Draw(t, "again")])).Draw(t, "order")
		if other := Compile(mustMergeIn(t, mixed), 9).Bytes(); !bytes.Equal(one, other) {
			t.Fatal(cmp.Diff(string(one), string(other)))
		}
		// By a decoder that has read something near before, in order: fewer items, or other values.
		slices.SortFunc(items, func(a, b record.Item) int { return strings.Compare(string(a.Kind)+" "+a.Key, string(b.Kind)+" "+b.Key) })
		before, dec := slices.Clone(items), &Decoder{}
		for range rapid.IntRange(1, 3).Draw(t, "other") {
			i := rapid.IntRange(0, len(before)-1).Draw(t, "at")
			if before[i].Version++; rapid.Bool().Draw(t, "less") {
				before = slices.Delete(before, i, i+1)
			} else if before[i].Kind == RuleKind {
				before[i].Value = []byte(`{"now":null}`)
			}
		}
		for _, list := range [][]record.Item{before, items, before, items} {
			s, err := dec.Merge(list)
			if err != nil {
				t.Fatal(err)
			}
			if got, want := Compile(s, 1).Bytes(), Compile(mustMergeIn(t, list), 1).Bytes(); !bytes.Equal(got, want) {
				t.Fatal(cmp.Diff(string(want), string(got)))
			}
		}
	})
}

func mustMergeIn(t *rapid.T, items []record.Item) *State {
	s, err := new(Decoder).Merge(items)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// What a call gets is what the one rule says over which no other holds, and nothing looser than what is bound above that, also
// in a set with conflicts.
func TestLookupIsWhatTheRulesSay(t *testing.T) {
	clear := 0
	rapid.Check(t, func(t *rapid.T) {
		s := mustMergeIn(t, drawItems(t))
		table, ref := Compile(s, 1), &reference{s: s, calls: universe(), rules: valuesOf[*rule](s, RuleKind)}
		sound := len(s.Conflicts(Env{})) == 0
		ref.bounds(t, table)
		for _, c := range ref.calls {
			v := table.Lookup(&c, time.Hour)
			holds := map[Setting]*rule{}
			for _, r := range ref.rules {
				if holds[r.Setting] == nil && matches(r.namespaceKey, c) && !slices.ContainsFunc(ref.rules, func(q *rule) bool {
					return matches(q.namespaceKey, c) && ref.over(q, r)
				}) {
					holds[r.Setting] = r
				}
			}
			if sound {
				clear++
				want := Verdict{Version: 1, Allowed: true, Repeat: c.Class != "k", Deadline: time.Hour, Worth: -1, Rate: v.Rate, Calls: NoLimit}
				if c.Class == "k" {
					want.Attempts = 2
				}
				if r := holds[Attempts]; r != nil && (want.Attempts == 0 || *r.N < want.Attempts) {
					want.Attempts = *r.N
				}
				if r := holds[Callers]; r != nil {
					want.Allowed = slices.Contains(r.Value.Callers, c.Caller)
				}
				if d := cmp.Diff(want, v); d != "" {
					t.Fatalf("%+v: %s", c, d)
				}
			}
			ref.limits(t, table, c, v, holds[Rate], sound)
		}
	})
	if clear == 0 {
		t.Error("no set without a conflict was drawn")
	}
}

// bounds wants nothing to hold anywhere that is looser than a bound above it.
func (r *reference) bounds(t *rapid.T, table *Table) {
	for i := range table.slots {
		sl := &table.slots[i]
		if sl.rule == nil {
			continue
		}
		for _, q := range r.rules {
			if q.Mode == Default || q.Setting != sl.rule.Setting || r.loses(q) || !slices.Contains(r.ups(sl.rule.namespaceKey), q.namespaceKey) {
				continue
			}
			most := q.Value
			if q.Setting == Rate {
				if n := r.value(q); n >= 0 {
					most = Value{N: &n}
				}
			}
			if most.Share == nil && isLooser(sl.value, most) {
				t.Fatalf("%s gives %s, looser than %s", sl.rule.Key, formatValue(q.Setting, sl.value), q.Key)
			}
		}
	}
}

// limits holds the limits that count a call against what the rules say.
func (r *reference) limits(t *rapid.T, table *Table, c Call, v Verdict, holds *rule, sound bool) {
	var got, want []string
	for l := v.Rate; l != NoLimit; {
		rule, n, next := table.Limit(l)
		got = append(got, rule)
		at := slices.IndexFunc(table.Limits(), func(l lease.Limit) bool { return l.ID == rule })
		if q := r.byKey(rule); at < 0 || table.Limits()[at].Amount != n || q.Cut != nil && table.Limits()[at].Cut != *q.Cut {
			t.Fatalf("%s is not among the limits as it is counted: %v", rule, table.Limits())
		}
		if l = next; sound && n != r.value(r.byKey(rule)) {
			t.Fatalf("%s gives %d, not %d", rule, n, r.value(r.byKey(rule)))
		}
	}
	if !sound {
		return
	}
	if holds != nil {
		want = append(want, holds.Key)
		for _, up := range r.ups(holds.namespaceKey) {
			if q := r.own(up, Rate); q != nil && q.Mode == Bound {
				want = append(want, q.Key)
			}
		}
	}
	if d := cmp.Diff(want, got); d != "" {
		t.Fatalf("%+v: %s", c, d)
	}
}

func (r *reference) byKey(key string) *rule {
	q, _ := lookupValue[*rule](r.s, RuleKind, key)
	return q
}
