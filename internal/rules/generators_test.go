package rules

import (
	"encoding/json"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"burlpass/internal/lease"
	"burlpass/internal/record"
)

// allCalls returns all calls of a small universe. The reference implementation tries each of them instead of
// intersecting selectors.
func allCalls() (calls []Call) {
	for _, island := range []string{"a", "b", "any"} {
		for _, zone := range []string{"h", "any"} {
			for _, class := range []string{"k", "l", "any"} {
				for _, path := range []string{"", "/x", "/x/y", "/xx", "/z"} {
					calls = append(calls, Call{island, zone, class, path, "c1"})
				}
			}
		}
	}
	return calls
}

// matches reports whether a selector matches a call. It is independent of the implementation in Selector.
func matches(selector string, c Call) bool {
	parts := strings.Split(selector, "/")
	for i, p := range []string{c.Island, c.Hall, c.Class} {
		if parts[i] != "*" && parts[i] != p {
			return false
		}
	}
	wantPath, callPath := parts[3:], strings.Split(c.Path, "/")[1:]
	if c.Path == "" {
		callPath = nil
	}
	return len(callPath) >= len(wantPath) && slices.Equal(callPath[:len(wantPath)], wantPath)
}

func ptr(n int64) *int64 { return &n }

func newItem(kind record.Kind, key string, version record.Version, v any) record.Item {
	now, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	raw, _ := json.Marshal(storedValue{Now: now})
	return record.Item{Kind: kind, Key: key, Value: raw, Version: version}
}

func mustMerge(t testing.TB, items []record.Item) *State {
	t.Helper()
	s, err := new(Decoder).Merge(items)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// drawTree draws namespaces below a root. For each it descends from the root into drawn children as long as these
// contain it.
func drawTree(t *rapid.T) map[string]Namespace {
	var selectors []Selector
	for range rapid.IntRange(1, 6).Draw(t, "namespaces") {
		selectors = append(selectors, Selector{
			rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "island"), rapid.SampledFrom([]string{"", "", "h"}).Draw(t, "hall"),
			rapid.SampledFrom([]string{"", "k", "l"}).Draw(t, "class"),
			rapid.SampledFrom([]string{"", "", "/x", "/x/y", "/xx"}).Draw(t, "path"),
		})
	}
	width := func(s Selector) int { return strings.Count(s.String(), "*")*4 - strings.Count(s.Path, "/") }
	slices.SortFunc(selectors, func(a, b Selector) int { return width(b) - width(a) })
	tree := map[string]Namespace{"*/*/*": {Owner: "t0"}}
	for _, s := range selectors {
		if _, ok := tree[s.String()]; ok {
			continue
		}
		parent := "*/*/*"
		for {
			var containing []string
			for key, n := range tree {
				sel, _ := ParseSelector(key)
				if n.Parent == parent && sel.Contains(s) {
					containing = append(containing, key)
				}
			}
			if len(containing) == 0 {
				break
			}
			slices.Sort(containing)
			parent = rapid.SampledFrom(containing).Draw(t, "parent")
		}
		tree[s.String()] = Namespace{parent, rapid.SampledFrom([]string{"t0", "t1", "t2", "t3"}).Draw(t, "owner")}
	}
	return tree
}

func sortedKeys[V any](m map[string]V) []string {
	var out []string
	for k := range m {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}

func drawValue(t *rapid.T, s Setting, share bool) Value {
	switch {
	case s == Callers:
		return Value{Callers: rapid.SampledFrom([][]string{{"c1"}, {"c2"}, {"c1", "c2"}, {"c2", "c3"}}).Draw(t, "callers")}
	case s.isFleetLimit() && share && rapid.Bool().Draw(t, "share"):
		return Value{Share: ptr(rapid.SampledFrom([]int64{300, 600, 1000}).Draw(t, "of 1000"))}
	}
	return Value{N: ptr(rapid.Int64Range(1, 4).Draw(t, "value"))}
}

func drawRule(t *rapid.T, namespaces, grants []string) (string, Rule) {
	k := RuleKey{Setting: rapid.SampledFrom([]Setting{Rate, Attempts, Callers}).Draw(t, "setting"),
		Name: rapid.SampledFrom([]string{"r", "r", "r", "s"}).Draw(t, "name")}
	k.In, _ = ParseSelector(rapid.SampledFrom(namespaces).Draw(t, "in"))
	r := Rule{Mode: rapid.SampledFrom([]Mode{Default, Default, Bound, Locked}).Draw(t, "mode"), Value: drawValue(t, k.Setting, true),
		Needs: rapid.SampledFrom([]string{"", "", "", "v1"}).Draw(t, "needs")}
	if k.Setting == Rate {
		r.Cut = rapid.SampledFrom([]*lease.Cut{nil, nil, {Mode: lease.Nothing}, {Mode: lease.Open},
			{Mode: lease.Reserve, Share: 100, Among: 2}, {Mode: lease.Reserve, Share: 400, Among: 2}}).Draw(t, "cut")
	}
	if len(grants) > 0 && rapid.IntRange(0, 3).Draw(t, "by grant") == 0 {
		r.Under = rapid.SampledFrom(append(slices.Clone(grants), "gone")).Draw(t, "under")
	}
	return k.String(), r
}

// drawItems draws a set of items that may have conflicts of every kind, but refers only to namespaces and teams
// that exist.
func drawItems(t *rapid.T) []record.Item {
	var items []record.Item
	add := func(kind record.Kind, key string, v any) {
		items = append(items, newItem(kind, key, record.Version(len(items)+1), v))
	}
	for _, team := range []string{"t0", "t1", "t2", "t3"} {
		add(TeamKind, team, Team{Dissolved: team != "t0" && rapid.IntRange(0, 5).Draw(t, "dissolved") == 0})
	}
	add(ClassKind, "k", Class{Attempts: 2})
	tree := drawTree(t)
	namespaces := sortedKeys(tree)
	for _, key := range namespaces {
		add(NamespaceKind, key, tree[key])
	}
	grants := []string{"g0", "g1", "g2"}[:rapid.IntRange(0, 3).Draw(t, "grants")]
	for _, key := range grants {
		g := Grant{In: rapid.SampledFrom(namespaces).Draw(t, "in"), To: rapid.SampledFrom([]string{"t1", "t2", "t3"}).Draw(t, "to"),
			Under: rapid.SampledFrom(slices.DeleteFunc(append([]string{"", "", "gone"}, grants...),
				func(o string) bool { return o == key })).Draw(t, "under"),
			Pass: rapid.Bool().Draw(t, "pass")}
		if rapid.Bool().Draw(t, "capped") {
			g.Caps = []Cap{{Attempts, drawValue(t, Attempts, false)}}
		}
		if rapid.Bool().Draw(t, "only") {
			g.Settings = []Setting{Attempts, Callers}
		}
		add(GrantKind, key, g)
	}
	rules := map[string]bool{}
	for range rapid.IntRange(1, 7).Draw(t, "rules") {
		key, r := drawRule(t, namespaces, grants)
		if !rules[key] {
			rules[key] = true
			add(RuleKind, key, r)
		}
	}
	s, err := new(Decoder).Merge(items)
	if err != nil {
		t.Fatal(err)
	}
	keys := sortedKeys(rules)
	for i, a := range keys {
		for _, b := range keys[i+1:] {
			if rapid.IntRange(0, 2).Draw(t, "decided") == 0 {
				add(DecisionKind, PairKey(a, b), drawDecision(t, s, a, b))
			}
		}
	}
	return items
}

func drawDecision(t *rapid.T, s *State, a, b string) Decision {
	ra, _ := lookupValue[*rule](s, RuleKind, a)
	rb, _ := lookupValue[*rule](s, RuleKind, b)
	d := Decision{A: a, B: b, ASum: ruleDigest(ra), BSum: ruleDigest(rb), Pick: rapid.SampledFrom([]string{a, b}).Draw(t, "pick")}
	if rapid.IntRange(0, 7).Draw(t, "other values") == 0 {
		d.ASum = d.BSum
	}
	return d
}

// v1Retired returns an environment in which version v1 is retired for class l.
func v1Retired() Env {
	return Env{Retired: func(v string) []Timeline {
		if v != "v1" {
			return nil
		}
		return []Timeline{{"end-v1", Selector{Class: "l"}}}
	}}
}
