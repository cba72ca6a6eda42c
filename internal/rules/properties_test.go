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

// namespaceOf returns the selector of the item of a side, or false if the item was removed.
func (state *State) namespaceOf(side Side) (string, bool) {
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
	return "", false // removed
}

func conflictLabel(c Conflict) string {
	if c.Kind == Circle {
		if c.A.Kind == GrantKind {
			return fmt.Sprint(c.Kind, []string{c.A.Key})
		}
		return fmt.Sprint(c.Kind, []string{c.A.Key, c.B.Key, c.Others[0]})
	}
	return fmt.Sprint(c.Kind, []string{c.A.Key, c.B.Key})
}

// The conflicts found are exactly those that the reference finds by trying all calls, and both sides match the witness.
func TestConflictsMatchReference(t *testing.T) {
	seen := map[ConflictKind]int{}
	rapid.Check(t, func(t *rapid.T) {
		s, err := new(Decoder).Merge(drawItems(t))
		if err != nil {
			t.Fatal(err)
		}
		got := map[string]bool{}
		for _, c := range s.Conflicts(v1Retired()) {
			got[conflictLabel(c)] = true
			seen[c.Kind]++
			for _, side := range []Side{c.A, c.B} {
				if in, present := s.namespaceOf(side); present && !matches(in, c.Witness) {
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
	t.Log(seen) // TestConflictKinds covers every kind, which random draws do not guarantee
}

// For a write of rules and decisions only what it can affect is checked. This must find the same conflicts as
// checking everything.
func TestFindAffectedMatchesFindAll(t *testing.T) {
	refused := 0
	rapid.Check(t, func(t *rapid.T) {
		var items []record.Item
		for _, i := range drawItems(t) { // without rules, decisions and grants, a tree has no conflict
			if i.Kind != RuleKind && i.Kind != DecisionKind && i.Kind != GrantKind {
				items = append(items, i)
			}
		}
		before, err := new(Decoder).Merge(items)
		if err != nil {
			t.Fatal(err)
		}
		namespaces := []string{}
		for _, n := range before.preorder {
			namespaces = append(namespaces, n.key)
		}
		table := Compile(before, 0)
		for version := range record.Version(rapid.IntRange(1, 14).Draw(t, "writes")) {
			w := &record.Write{Base: version}
			keys := []string{}
			for _, r := range valuesOf[*rule](before, RuleKind) {
				keys = append(keys, r.Key)
			}
			for range rapid.IntRange(1, 2).Draw(t, "changes") {
				key, r := drawRule(t, namespaces, nil)
				i := newItem(RuleKind, key, 0, r)
				if len(keys) > 0 && rapid.IntRange(0, 3).Draw(t, "takes away") == 0 {
					i.Key, i.Value = rapid.SampledFrom(keys).Draw(t, "which"), []byte(`{"now":null}`)
				} else if len(keys) > 1 && rapid.IntRange(0, 2).Draw(t, "decides") == 0 {
					two := rapid.SliceOfNDistinct(rapid.SampledFrom(keys), 2, 2, rapid.ID).Draw(t, "two")
					i = newItem(DecisionKind, PairKey(two[0], two[1]), 0, drawDecision(t, before, min(two[0], two[1]), max(two[0], two[1])))
				}
				if !slices.ContainsFunc(w.Changes, func(c record.Change) bool { return c.Key == i.Key }) {
					w.Changes = append(w.Changes, record.Change{Kind: i.Kind, Key: i.Key, Value: i.Value})
				}
			}
			after, err := before.With(w.Changes, version+1)
			if err != nil {
				t.Fatal(err)
			}
			affected := &conflictFinder{state: after, before: before, env: v1Retired(), conflicts: map[string]Conflict{}}
			affected.findAffected(before, w.Changes)
			all := &conflictFinder{state: after, before: before, env: v1Retired(), conflicts: map[string]Conflict{}}
			all.findAll()
			if d := cmp.Diff(all.sorted(), affected.sorted()); d != "" {
				t.Fatalf("%s\n%s", w.Changes, d)
			}
			next := table.Update(after, version+1)
			if d := cmp.Diff(string(Compile(after, version+1).Bytes()), string(next.Bytes())); d != "" {
				t.Fatal(d)
			}
			if len(all.conflicts) > 0 {
				refused++
				continue
			}
			before, table = after, next
		}
	})
	if refused == 0 {
		t.Error("no write had a conflict")
	}
}

// The table does not depend on the order of the items, on duplicates, or on what the decoder has read before.
func TestMergeIgnoresOrderAndDuplicates(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		items := drawItems(t)
		want := Compile(mustMergeRapid(t, items), 1).Bytes()
		shuffled := rapid.Permutation(append(slices.Clone(items),
			items[rapid.IntRange(0, len(items)-1).Draw(t, "again")])).Draw(t, "order")
		if got := Compile(mustMergeRapid(t, shuffled), 9).Bytes(); !bytes.Equal(want, got) {
			t.Fatal(cmp.Diff(string(want), string(got)))
		}
		// A decoder that has read a similar sorted list before, with fewer items or other values, gives the same
		// result.
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
			if got, want := Compile(s, 1).Bytes(), Compile(mustMergeRapid(t, list), 1).Bytes(); !bytes.Equal(got, want) {
				t.Fatal(cmp.Diff(string(want), string(got)))
			}
		}
	})
}

func mustMergeRapid(t *rapid.T, items []record.Item) *State {
	s, err := new(Decoder).Merge(items)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// A call gets the values of the rule that no other one takes precedence over. Bounds are never exceeded, even in
// sets with conflicts.
func TestLookupMatchesReference(t *testing.T) {
	conflictFreeCalls := 0
	rapid.Check(t, func(t *rapid.T) {
		state := mustMergeRapid(t, drawItems(t))
		table, ref := Compile(state, 1), &reference{state: state, calls: allCalls(), rules: valuesOf[*rule](state, RuleKind)}
		conflictFree := len(state.Conflicts(Env{})) == 0
		ref.checkBounds(t, table)
		for _, c := range ref.calls {
			v := table.Lookup(&c, time.Hour)
			effective := map[Setting]*rule{}
			for _, r := range ref.rules {
				if effective[r.Setting] == nil && matches(r.namespaceKey, c) && !slices.ContainsFunc(ref.rules, func(q *rule) bool {
					return matches(q.namespaceKey, c) && ref.takesPrecedence(q, r)
				}) {
					effective[r.Setting] = r
				}
			}
			if conflictFree {
				conflictFreeCalls++
				want := Verdict{Version: 1, Allowed: true, Repeat: c.Class != "k", Deadline: time.Hour, Worth: -1, Rate: v.Rate, Calls: NoLimit}
				if c.Class == "k" {
					want.Attempts = 2
				}
				if r := effective[Attempts]; r != nil && (want.Attempts == 0 || *r.N < want.Attempts) {
					want.Attempts = *r.N
				}
				if r := effective[Callers]; r != nil {
					want.Allowed = slices.Contains(r.Value.Callers, c.Caller)
				}
				if d := cmp.Diff(want, v); d != "" {
					t.Fatalf("%+v: %s", c, d)
				}
			}
			ref.checkLimits(t, table, c, v, effective[Rate], conflictFree)
		}
	})
	if conflictFreeCalls == 0 {
		t.Error("no set without conflicts was drawn")
	}
}

// checkBounds requires that no value in the table is looser than a bound above it.
func (r *reference) checkBounds(t *rapid.T, table *Table) {
	for i := range table.slots {
		slot := &table.slots[i]
		if slot.rule == nil {
			continue
		}
		for _, q := range r.rules {
			if q.Mode == Default || q.Setting != slot.rule.Setting || r.isOverruled(q) ||
				!slices.Contains(r.ancestors(slot.rule.namespaceKey), q.namespaceKey) {
				continue
			}
			limit := q.Value
			if q.Setting == Rate {
				if n := r.value(q); n >= 0 {
					limit = Value{N: &n}
				}
			}
			if limit.Share == nil && isLooser(slot.value, limit) {
				t.Fatalf("%s resolves to %s, looser than %s", slot.rule.Key, formatValue(q.Setting, slot.value), q.Key)
			}
		}
	}
}

// checkLimits checks the limits that count a call against the rules.
func (r *reference) checkLimits(t *rapid.T, table *Table, c Call, v Verdict, effective *rule, conflictFree bool) {
	var gotKeys, wantKeys []string
	for l := v.Rate; l != NoLimit; {
		rule, n, next := table.Limit(l)
		gotKeys = append(gotKeys, rule)
		at := slices.IndexFunc(table.Limits(), func(l lease.Limit) bool { return l.ID == rule })
		if q := r.byKey(rule); at < 0 || table.Limits()[at].Amount != n || q.Cut != nil && table.Limits()[at].Cut != *q.Cut {
			t.Fatalf("%s: Table.Limits has no matching entry: %v", rule, table.Limits())
		}
		if l = next; conflictFree && n != r.value(r.byKey(rule)) {
			t.Fatalf("%s resolves to %d, want %d", rule, n, r.value(r.byKey(rule)))
		}
	}
	if !conflictFree {
		return
	}
	if effective != nil {
		wantKeys = append(wantKeys, effective.Key)
		for _, up := range r.ancestors(effective.namespaceKey) {
			if q := r.effectiveRule(up, Rate); q != nil && q.Mode == Bound {
				wantKeys = append(wantKeys, q.Key)
			}
		}
	}
	if d := cmp.Diff(wantKeys, gotKeys); d != "" {
		t.Fatalf("%+v: %s", c, d)
	}
}

func (r *reference) byKey(key string) *rule {
	q, _ := lookupValue[*rule](r.state, RuleKind, key)
	return q
}
