package record

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"

	"github.com/google/go-cmp/cmp"
)

const disableValue = `{"do":"disable","by":"ops","until_ms":0}`

func drainUntil(ms int64) string { return fmt.Sprintf(`{"do":"drain","by":"ops","until_ms":%d}`, ms) }

// writeEntry returns a write of the given changes: "KEY" for a removal, or "KEY VALUE".
func writeEntry(id string, base Version, changes ...string) *Entry {
	w := &Write{ID: id, By: "ops", Base: base}
	for _, c := range changes {
		key, value, _ := strings.Cut(c, " ")
		w.Changes = append(w.Changes, Change{Kind: OrderKind, Key: key, Value: json.RawMessage(value)})
	}
	return &Entry{Write: w}
}

// clockEntry returns a clock entry with one reading for each of the given times.
func clockEntry(voters int, ms ...int64) *Entry {
	c := &Clock{Voters: voters}
	for i, m := range ms {
		c.Readings = append(c.Readings, Reading{Voter: fmt.Sprint(i), Ms: m})
	}
	return &Entry{Clock: c}
}

func savedBytes(t interface{ Fatal(...any) }, v View) []byte {
	var b bytes.Buffer
	if err := Save(&b, v); err != nil {
		t.Fatal(err)
	}
	return b.Bytes()
}

func TestApply(t *testing.T) {
	type step struct {
		writeEntry *Entry
		want       Result
	}
	applied := func(id string, v Version) Result { return Result{ID: id, Outcome: Applied, Version: v} }
	refused := func(id string, o Outcome, v Version, reason string, newer ...Item) Result {
		return Result{ID: id, Outcome: o, Version: v, Reason: reason, Newer: newer}
	}
	orderItem := func(key, value string, v Version) Item {
		i := Item{Kind: OrderKind, Key: key, Version: v}
		if value != "" {
			i.Value = json.RawMessage(value)
		}
		return i
	}
	repeated := func(r Result) Result { r.Again = true; return r }
	foreignKind := func(e *Entry) *Entry { e.Write.Changes[0].Kind = "foreign"; return e }
	long := `{"do":"disable","by":"` + strings.Repeat("x", 200) + `","until_ms":0}`
	for name, c := range map[string]struct {
		bounds Bounds
		steps  []step
	}{
		"a repeated write returns its first result, which keeps its place in the table": {Bounds{Results: 2}, []step{
			{writeEntry("a", 0, "worker/1 "+disableValue), applied("a", 1)},
			{writeEntry("b", 1, "worker/2 "+disableValue), applied("b", 2)},
			{writeEntry("a", 0, "worker/1 "+disableValue), repeated(applied("a", 1))},
			{writeEntry("c", 3, "worker/3 "+disableValue), applied("c", 4)},
			{writeEntry("a", 0, "worker/1 "+disableValue), refused("a", Forgotten, 5, "base: 0 is older than what is remembered, since version 1")},
			{writeEntry("a", 5, "worker/1 "+disableValue), repeated(refused("a", Forgotten, 5, "base: 0 is older than what is remembered, since version 1"))},
		}},
		"stale": {Bounds{}, []step{
			{writeEntry("a", 0, "worker/1 "+disableValue), applied("a", 1)},
			{writeEntry("b", 0, "worker/2 "+disableValue, "worker/1"), refused("b", Stale, 2, "base: 0 is older than version 1 of order worker/1", orderItem("worker/1", disableValue, 1))},
			{writeEntry("c", 1, "worker/1"), applied("c", 3)},
			{writeEntry("d", 1, "worker/1 "+disableValue), refused("d", Stale, 4, "base: 1 is older than version 3 of order worker/1", Item{Kind: OrderKind, Key: "worker/1", Version: 3})},
			{writeEntry("b", 4, "worker/2 "+disableValue), repeated(refused("b", Stale, 2, "base: 0 is older than version 1 of order worker/1", orderItem("worker/1", disableValue, 1)))},
			{writeEntry("e", 4, "worker/1 "+disableValue), applied("e", 6)},
		}},
		"the removal of a missing item conflicts with older writes": {Bounds{}, []step{
			{writeEntry("a", 0, "hall/x"), applied("a", 1)},
			{writeEntry("b", 0, "hall/x "+disableValue), refused("b", Stale, 2, "base: 0 is older than version 1 of order hall/x", Item{Kind: OrderKind, Key: "hall/x", Version: 1})},
		}},
		"too many tombstones raise the horizon": {Bounds{Items: 2}, []step{
			{writeEntry("a", 0, "hall/x", "hall/y", "hall/z"), applied("a", 1)},
			{writeEntry("b", 0, "hall/u "+disableValue), refused("b", Forgotten, 2, "base: 0 is older than what is remembered, since version 1")},
			{writeEntry("c", 1, "hall/x "+disableValue), applied("c", 3)},
		}},
		"long values of conflicting items are omitted": {Bounds{}, []step{
			{writeEntry("a", 0, "worker/1 "+long, "worker/2 "+long, "worker/3 "+long, "worker/4 "+long, "worker/5 "+long), applied("a", 1)},
			{writeEntry("b", 0, "worker/1", "worker/2", "worker/3", "worker/4", "worker/5"), refused("b", Stale, 2, "base: 0 is older than version 1 of order worker/1",
				orderItem("worker/1", "", 1), orderItem("worker/2", "", 1), orderItem("worker/3", "", 1), orderItem("worker/4", "", 1), orderItem("worker/5", "", 1))},
		}},
		"invalid": {Bounds{Items: 1, Changes: 2, KeyBytes: 20, ValueBytes: 60, ItemBytes: 64}, []step{
			{nil, refused("", Invalid, 1, "entry: it must hold either a write or a clock")},
			{&Entry{Write: &Write{ID: "a"}, Clock: &Clock{}}, refused("", Invalid, 2, "entry: it must hold either a write or a clock")},
			{writeEntry("a b", 0), refused("a b", Invalid, 3, "id: it must be 1 to 64 of A-Z a-z 0-9 . _ : -")},
			{writeEntry("b", 4, "worker/1"), refused("b", Invalid, 4, "base: 4 is newer than the record's version 3")},
			{writeEntry("c", 0), refused("c", Invalid, 5, "changes: 0 of them; there must be 1 to 2")},
			{writeEntry("d", 0, "a", "b", "c"), refused("d", Invalid, 6, "changes: 3 of them; there must be 1 to 2")},
			{writeEntry("e", 0, "worker/1", "worker/1 "+disableValue), refused("e", Invalid, 7, "changes[1]: it changes the same item as changes[0]")},
			{writeEntry("f", 0, "worker/1", "worker/"+strings.Repeat("1", 20)), refused("f", Invalid, 8, "changes[1].key: 27 bytes; it must have 1 to 20")},
			{writeEntry("g", 0, "worker/\x01"), refused("g", Invalid, 9, "changes[0].key: it has control characters, or is not UTF-8")},
			{writeEntry("h", 0, "worker/1 "+disableValue+strings.Repeat(" ", 60)), refused("h", Invalid, 10, "changes[0].value: longer than 60 bytes")},
			{writeEntry("i", 0, `worker/1 {"do":"stop"}`), refused("i", Invalid, 11, `changes[0].value: do: "stop" is neither disable nor drain`)},
			{writeEntry("j", 0, "worker/1 "+disableValue, "hall/1 "+disableValue), refused("j", Invalid, 12, "changes: with them there are more than 1 items")},
			{writeEntry("k", 0, "worker/1234567890123 "+disableValue), refused("k", Invalid, 13, "changes: with them the items have more than 64 bytes")},
			{foreignKind(writeEntry("l", 0, "worker/1")), refused("l", Invalid, 14, `changes[0].kind: "foreign" is not known`)},
			{clockEntry(1, 50), Result{Outcome: Applied, Version: 15}},
			{writeEntry("m", 0, "worker/1 "+drainUntil(50)), refused("m", Invalid, 16, "changes[0].value: it ends at 50, and the record's time is 50")},
		}},
	} {
		t.Run(name, func(t *testing.T) {
			m := New(c.bounds, Orders())
			for i, s := range c.steps {
				if d := cmp.Diff(s.want, m.Apply(s.writeEntry)); d != "" {
					t.Errorf("step %d: %s", i, d)
				}
				if v := m.View().Version(); v != Version(i+1) {
					t.Errorf("step %d: version %d", i, v)
				}
			}
		})
	}
}

func TestClock(t *testing.T) {
	for _, c := range []struct {
		name       string
		writeEntry *Entry
		time       int64
		keys       string // remaining items of those that expire at 100, 200 and never
	}{
		{"majority", clockEntry(3, 250, 100), 100, "b c"},
		{"lower median", clockEntry(4, 300, 200, 90, 400), 200, "c"},
		{"all", clockEntry(3, 90, 99, 500), 99, "a a2 b c"},
		{"one of one", clockEntry(1, 1000), 1000, "c"},
		{"back", clockEntry(1, 10), 50, "a a2 b c"},
		{"half", clockEntry(4, 300, 300), 50, "a a2 b c"},
		{"no voters", clockEntry(0), 50, "a a2 b c"},
		{"more than voters", clockEntry(1, 300, 300), 50, "a a2 b c"},
		{"too many", clockEntry(16, make([]int64, 16)...), 50, "a a2 b c"},
		{"twice the same voter", &Entry{Clock: &Clock{Voters: 3, Readings: []Reading{{"x", 300}, {"x", 300}}}}, 50, "a a2 b c"},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := New(Bounds{}, Orders())
			m.Apply(clockEntry(1, 50))
			m.Apply(writeEntry("0", 0, "hall/c "+drainUntil(60), "hall/b "+drainUntil(70))) // replaced before they expire
			m.Apply(writeEntry("1", 2, "hall/c "+disableValue, "hall/b "+drainUntil(200), "hall/a "+drainUntil(100), "hall/a2 "+drainUntil(100)))
			m.Apply(c.writeEntry)
			var keys []string
			m.View().Each(OrderKind, func(i Item) bool {
				keys = append(keys, strings.TrimPrefix(i.Key, "hall/"))
				return true
			})
			if got := strings.Join(keys, " "); got != c.keys || m.View().TimeMs() != c.time {
				t.Errorf("%s remain at %d; want %s at %d", got, m.View().TimeMs(), c.keys, c.time)
			}
			if r := m.Apply(writeEntry("2", 3, "hall/a "+drainUntil(5000))); (r.Outcome == Stale) != !strings.Contains(c.keys, "a") {
				t.Errorf("after the clock entry: %+v", r) // an expired order counts as removed
			}
		})
	}
}

func TestOrder(t *testing.T) {
	for _, c := range []struct{ key, value, canonical, err string }{
		{"worker/s-1", ` { "until_ms":5, "by":"a b", "do":"drain"}`, `{"do":"drain","by":"a b","until_ms":5}`, ""},
		{"hall/Süd", `{"do":"disable"}`, `{"do":"disable","by":"","until_ms":0}`, ""},
		{"room/1", disableValue, "", "key"},
		{"worker/", disableValue, "", "key"},
		{"hall/a b", disableValue, "", "key"},
		{"hall/a\u202eb", disableValue, "", "key"},
		{"hall/" + strings.Repeat("ü", 201), disableValue, "", "key"},
		{"hall/a", `{"do":"enable"}`, "", "do"},
		{"hall/a", `{"do":"drain","until_ms":-1}`, "", "until_ms"},
		{"hall/a", `{"do":"drain","by":"\u0000"}`, "", "by"},
		{"hall/a", `{"do":"drain","then":"x"}`, "", "then"},
		{"hall/a", `{"do":"drain"} 1`, "", "more than one"},
		{"hall/a", ``, "", "EOF"},
	} {
		got, err := Orders().Canonical(c.key, json.RawMessage(c.value))
		if string(got) != c.canonical || (err == nil) != (c.err == "") || err != nil && !strings.Contains(err.Error(), c.err) {
			t.Errorf("%s %s: %s, %v", c.key, c.value, got, err)
		}
	}
	got, err := DecodeOrder(Item{Kind: OrderKind, Key: "hall/a/b", Value: json.RawMessage(drainUntil(7)), Version: 3})
	if d := cmp.Diff(Order{Of: OfZone, Name: "a/b", Do: Drain, By: "ops", UntilMs: 7, Version: 3}, got); d != "" || err != nil || got.Key() != "hall/a/b" {
		t.Error(d, err)
	}
}

// strictDomain is a domain that reads the views of Check, panics on one key, and refuses states with more than two items.
type strictDomain struct{ t *testing.T }

func (strictDomain) Kind() Kind { return "strict" }
func (strictDomain) Canonical(key string, v json.RawMessage) (json.RawMessage, error) {
	if key == "panic" {
		panic(&key)
	}
	return v, nil
}
func (strictDomain) Ends(string, json.RawMessage) int64 { return 0 }
func (d strictDomain) Check(before, after View, w *Write) error {
	if before.Version()+1 != after.Version() || before.Hash() == after.Hash() {
		d.t.Error("the views before and after the write have wrong versions or equal hashes")
	}
	for _, c := range w.Changes {
		if i, ok := after.Get(c.Kind, c.Key); !ok || string(i.Value) != string(c.Value) {
			d.t.Errorf("the view after the write has %+v", i)
		}
	}
	if after.Len() > 2 {
		return errors.New("no\nmore " + strings.Repeat("ü", 500) + " than " + fmt.Sprint(before.Len()))
	}
	return nil
}

func TestDomain(t *testing.T) {
	m := New(Bounds{}, strictDomain{t}, Orders())
	write := func(id string, keys ...string) Result {
		w := &Write{ID: id, Base: m.View().Version()}
		for _, k := range keys {
			w.Changes = append(w.Changes, Change{Kind: "strict", Key: k, Value: json.RawMessage(`{ "a": "<" }`)})
		}
		return m.Apply(&Entry{Write: w})
	}
	if r := write("1", "a", "b"); r.Outcome != Applied {
		t.Fatalf("%+v", r)
	}
	if i, _ := m.View().Get("strict", "a"); string(i.Value) != `{"a":"\u003c"}` {
		t.Errorf("stored as %s", i.Value)
	}
	m.Apply(writeEntry("2", 0, "hall/a "+disableValue)) // Check of strictDomain is not called
	was := m.View()
	if r := write("3", "a", "c"); r.Outcome != Invalid || !strings.HasPrefix(r.Reason, "changes[0]: no more ü") || len(r.Reason) > maxReasonBytes {
		t.Errorf("%+v", r)
	}
	if r := write("4", "panic"); r.Reason != "changes[0].value: its domain has failed on it" {
		t.Errorf("%+v", r)
	}
	if i, ok := m.View().Get("strict", "c"); ok || m.View().Len() != was.Len() {
		t.Errorf("a refused write left %+v", i)
	}
	b := savedBytes(t, m.View())
	if err := New(Bounds{}, strictDomain{t}, Orders()).Restore(bytes.NewReader(b)); err != nil {
		t.Error(err)
	}
	if err := New(Bounds{}, Orders()).Restore(bytes.NewReader(b)); !errors.Is(err, ErrState) || !strings.Contains(err.Error(), "line 1:") {
		t.Errorf("with an unknown kind: %v", err)
	}
}

// Views are read by other goroutines while the machine applies entries. The race detector finds writes to shared nodes, and
// restoring each view verifies that its items still match its hash.
func TestViewsDuringApply(t *testing.T) {
	m := New(Bounds{Results: 50}, Orders())
	views := make(chan View)
	var readers sync.WaitGroup
	for range 4 {
		readers.Go(func() {
			for v := range views {
				n := 0
				v.Each(OrderKind, func(i Item) bool {
					got, ok := v.Get(i.Kind, i.Key)
					if n++; !ok || got.Version != i.Version {
						t.Errorf("%s differs between Get and Each", i.Key)
					}
					return true
				})
				var b bytes.Buffer
				if err := errors.Join(Save(&b, v), New(Bounds{}, Orders()).Restore(&b)); err != nil || n != v.Len() {
					t.Error(n, v.Len(), err)
				}
			}
		})
	}
	for i := range 3000 {
		at := m.View()
		select {
		case views <- at:
		default:
		}
		e := writeEntry(fmt.Sprint(i), at.Version(), fmt.Sprintf("worker/%d %s", i%701, drainUntil(int64(i+500))), fmt.Sprintf("worker/%d", (i*7)%709+701))
		if i%10 == 0 {
			e = clockEntry(1, int64(i))
		}
		if r := m.Apply(e); r.Outcome != Applied {
			t.Fatal(r)
		}
	}
	views <- m.View()
	close(views)
	readers.Wait()
}
