package rules

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"burlpass/internal/record"
)

// largeRuleSet returns 200 teams with 50 rules each, in 1,411 namespaces: a root, 10 islands, in each of them 20
// classes, one per team, and in each class 6 paths.
func largeRuleSet() (items []record.Item) {
	add := func(kind record.Kind, key string, v any) { items = append(items, newItem(kind, key, 1, v)) }
	add(TeamKind, "root", Team{})
	add(NamespaceKind, "*/*/*", Namespace{Owner: "root"})
	for i := range 10 {
		island := fmt.Sprintf("island%d/*/*", i)
		add(NamespaceKind, island, Namespace{"*/*/*", "root"})
		for k := range 20 {
			team := fmt.Sprintf("team%d-%d", i, k)
			add(TeamKind, team, Team{})
			class := fmt.Sprintf("island%d/*/class%d", i, k)
			add(NamespaceKind, class, Namespace{island, team})
			for p := range 7 {
				in := class
				if p > 0 {
					in = fmt.Sprintf("%s/v1/path%d", class, p)
					add(NamespaceKind, in, Namespace{class, team})
				}
				for s, set := range Settings() {
					r := Rule{Mode: Default, Value: Value{N: ptr(int64(100 - 10*p))}}
					switch {
					case set == Callers:
						r.Value = Value{Callers: []string{"app", "web"}}
					case set == Repeat:
						r.Value = Value{N: ptr(0)}
					case p == 0 && s < 5:
						r.Mode = Bound
					case p > 0 && set.isFleetLimit():
						r.Value = Value{Share: ptr(100)}
					}
					add(RuleKind, in+"#"+string(set)+"#r", r)
				}
			}
			add(RuleKind, class+"#worth#r2", Rule{Mode: Default, Value: Value{N: ptr(100)}})
		}
	}
	return items
}

func BenchmarkCompile(b *testing.B) {
	items := largeRuleSet()
	s := mustMerge(b, items)
	if c := s.Conflicts(Env{}); len(c) > 0 || len(valuesOf[*rule](s, RuleKind)) != 10_000 {
		b.Fatal(len(c), len(valuesOf[*rule](s, RuleKind)))
	}
	b.Run("from-bytes", func(b *testing.B) {
		for b.Loop() {
			s, _ := new(Decoder).Merge(items)
			Compile(s, 1)
		}
	})
	b.Run("from-a-state", func(b *testing.B) {
		for b.Loop() {
			Compile(s, 1)
		}
	})
	b.Run("conflicts-of-all", func(b *testing.B) {
		for b.Loop() {
			s.Conflicts(Env{})
		}
	})
}

// BenchmarkChange measures a change of one rule: deriving the state and the table, the same from all items of the
// record, and the check of the write.
func BenchmarkChange(b *testing.B) {
	items := largeRuleSet()
	for _, key := range []string{"island3/*/class7/v1/path2#attempts#r", "island3/*/class7#attempts#r", "island3/*/class7#worth#r2"} {
		b.Run(key, func(b *testing.B) {
			state := mustMerge(b, items)
			table := Compile(state, 1)
			for i := 0; b.Loop(); i++ {
				value := newItem(RuleKind, key, 0, numberRule(Default, int64(40+i%2))).Value
				state, _ = state.With([]record.Change{{Kind: RuleKind, Key: key, Value: value}}, record.Version(i+2))
				table = table.Update(state, record.Version(i+2))
			}
		})
	}
	b.Run("from-items", func(b *testing.B) {
		slices.SortFunc(items, func(a, b record.Item) int { // the order in which the record returns them
			return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Key, b.Key))
		})
		at := slices.IndexFunc(items, func(i record.Item) bool { return i.Key == "island3/*/class7#worth#r2" })
		dec := &Decoder{}
		state, _ := dec.Merge(items)
		table := Compile(state, 1)
		for i := 0; b.Loop(); i++ {
			items[at] = newItem(RuleKind, items[at].Key, record.Version(i+2), numberRule(Default, int64(40+i%2)))
			state, _ = dec.Merge(items)
			table = table.Update(state, record.Version(i+2))
		}
	})
	state := mustMerge(b, items)
	b.Run("check", func(b *testing.B) {
		now := newItem(RuleKind, "island3/*/class7/v1/path2#attempts#r", 0, numberRule(Default, 39)).Value
		w := &record.Write{By: "team3-7", Changes: []record.Change{
			{Kind: RuleKind, Key: "island3/*/class7/v1/path2#attempts#r", Value: now},
		}}
		for b.Loop() {
			will, _ := state.With(w.Changes, 9)
			f := &conflictFinder{state: will, before: state, conflicts: map[string]Conflict{}}
			if f.findAffected(state, w.Changes); len(f.conflicts) > 0 {
				b.Fatal(f.sorted())
			}
		}
	})
}

func BenchmarkLookup(b *testing.B) {
	t := Compile(mustMerge(b, largeRuleSet()), 1)
	for _, c := range []Call{
		{"island3", "h", "class7", "/v1/path2/seats", "app"},
		{"island3", "h", "class7", "/other", "app"},
		{"none", "h", "none", "/", "app"},
	} {
		b.Run(c.Island+c.Path, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				t.Lookup(&c, time.Second)
			}
		})
	}
}

// BenchmarkApply measures a write of one rule to a record that holds 10,000: Machine.Apply, including Check and
// decoding the state.
func BenchmarkApply(b *testing.B) {
	m := record.New(record.Bounds{}, Domains(nil)...)
	write := func(w *record.Write) {
		w.ID, w.Base = fmt.Sprint("w", m.View().Version()), m.View().Version()
		if r := m.Apply(&record.Entry{Write: w}); r.Outcome != record.Applied {
			b.Fatal(r.Reason)
		}
	}
	w := &record.Write{By: "root"}
	for _, i := range largeRuleSet() {
		by := "root"
		if i.Kind == RuleKind || strings.Contains(i.Key, "/v1/") {
			sel, _ := ParseSelector(strings.Split(i.Key, "#")[0])
			by = "team" + strings.TrimPrefix(sel.Island, "island") + "-" + strings.TrimPrefix(sel.Class, "class")
		}
		if by != w.By || len(w.Changes) == 64 {
			write(w)
			w = &record.Write{By: by}
		}
		w.Changes = append(w.Changes, record.Change{Kind: i.Kind, Key: i.Key, Value: i.Value})
	}
	write(w)
	for i := 0; b.Loop(); i++ {
		was, _ := m.View().Get(RuleKind, "island3/*/class7/v1/path2#attempts#r")
		c, _ := Amend(was, []byte(fmt.Sprintf(`{"mode":"default","value":%d}`, 40+i%2)), "team3-7")
		write(&record.Write{By: "team3-7", Changes: []record.Change{c}})
	}
}
