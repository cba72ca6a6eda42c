package replica

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"burlpass/internal/record"
)

// drawEntries draws n random clock and write entries.
func drawEntries(t *rapid.T, n int) [][]byte {
	var out [][]byte
	for i := range n {
		e := &record.Entry{Clock: &record.Clock{Voters: 1, Readings: []record.Reading{{Voter: "a", Ms: int64(i)}}}}
		if rapid.IntRange(0, 5).Draw(t, "sort") > 0 {
			c := record.Change{Kind: record.OrderKind, Key: fmt.Sprint("worker/", rapid.IntRange(0, 9).Draw(t, "worker"))}
			if rapid.Bool().Draw(t, "sets") {
				c.Value = fmt.Appendf(nil, `{"do":"drain","by":"x","until_ms":%d}`, rapid.IntRange(0, 2*n).Draw(t, "until"))
			}
			id, base := rapid.IntRange(0, i).Draw(t, "id"), rapid.IntRange(0, i).Draw(t, "base")
			e = &record.Entry{Write: &record.Write{ID: fmt.Sprint(id), Base: record.Version(base), Changes: []record.Change{c}}}
		}
		raw, err := record.Encode(e)
		if err != nil {
			t.Fatal(err)
		}
		out = append(out, raw)
	}
	return out
}

// savedBytes returns a view in the format of record.Save.
func savedBytes(t *rapid.T, v record.View) string {
	var b bytes.Buffer
	if err := record.Save(&b, v); err != nil {
		t.Fatal(err)
	}
	return b.String()
}

// Applying the same entries in batches of any size, with or without views in between, gives the same results and states, and
// earlier views do not change.
func TestBatchSizeDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		bounds := record.Bounds{Items: 6, Results: 20}
		single, batched := New(record.New(bounds, record.Orders()), 0, 0), New(record.New(bounds, record.Orders()), 0, 0)
		raw := drawEntries(t, rapid.IntRange(1, 150).Draw(t, "entries"))
		views, expected := []record.View{}, []string{}
		for len(raw) > 0 {
			n := rapid.IntRange(1, len(raw)).Draw(t, "batch")
			changed := batched.Changed()
			results, err := batched.ApplyAll(raw[:n])
			if err != nil {
				t.Fatal(err)
			}
			select {
			case <-changed:
			default:
				t.Fatal("Changed was not closed")
			}
			for i := range n {
				want, err := single.Apply(raw[i])
				if d := cmp.Diff(want, results[i]); d != "" || err != nil {
					t.Fatal(d, err)
				}
				single.View()
			}
			if raw = raw[n:]; rapid.Bool().Draw(t, "looks") {
				views, expected = append(views, batched.View()), append(expected, savedBytes(t, batched.View()))
				if d := cmp.Diff(savedBytes(t, single.View()), expected[len(expected)-1]); d != "" {
					t.Fatal(d)
				}
			}
		}
		if single.Version() != batched.Version() || savedBytes(t, single.View()) != savedBytes(t, batched.View()) {
			t.Fatal("the states differ")
		}
		for i, v := range views {
			if savedBytes(t, v) != expected[i] {
				t.Fatalf("view %d changed", i)
			}
		}
	})
}

// Entries before an invalid one are applied; it and those after it are not.
func TestBatchWithInvalidEntry(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		raw := drawEntries(t, rapid.IntRange(1, 80).Draw(t, "entries"))
		at := rapid.IntRange(0, len(raw)-1).Draw(t, "fault")
		raw[at] = []byte(`{"f":99,"write":{}}`)
		r := New(record.New(record.Bounds{}, record.Orders()), 0, 0)
		if results, err := r.ApplyAll(raw); err == nil || len(results) != at || r.Version() != record.Version(at) {
			t.Fatal(len(results), err, r.Version())
		}
	})
}
