package record

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

func genBounds(t *rapid.T) Bounds {
	return Bounds{
		Items: rapid.IntRange(2, 9).Draw(t, "items"), ItemBytes: rapid.IntRange(200, 800).Draw(t, "item bytes"),
		Results: rapid.IntRange(1, 9).Draw(t, "results"), ResultBytes: rapid.IntRange(40, 700).Draw(t, "result bytes"),
	}
}

// genEntry draws from few items, ids and times, so that conflicts are frequent.
func genEntry(t *rapid.T, n int, now Version) *Entry {
	if rapid.IntRange(0, 4).Draw(t, "sort") == 0 {
		ms := rapid.SliceOfN(rapid.Int64Range(0, 1000), 0, 3).Draw(t, "readings")
		return clockEntry(rapid.IntRange(0, 4).Draw(t, "voters"), ms...)
	}
	var changes []string
	for range rapid.IntRange(0, 3).Draw(t, "changes") {
		key := rapid.SampledFrom([]string{"worker/1", "worker/2", "worker/3", "worker/4", "hall/<1>", "hall/2", "room/1"}).Draw(t, "key")
		value := rapid.SampledFrom([]string{"", " " + disableValue, " " + disableValue, " {}", " " + drainUntil(int64(100*n))}).Draw(t, "value")
		changes = append(changes, key+value)
	}
	base := now - min(now, Version(rapid.IntRange(0, 9).Draw(t, "behind"))) + Version(rapid.IntRange(0, 20).Draw(t, "ahead")/20)
	return writeEntry(fmt.Sprintf("id-%d", n), base, changes...)
}

func mustRestore(t *rapid.T, b []byte) *Machine {
	m := New(Bounds{Items: 3, Results: 3}, Orders()) // replaced by the bounds of the saved state
	if err := m.Restore(bytes.NewReader(b)); err != nil {
		t.Fatalf("%v:\n%s", err, b)
	}
	return m
}

// The same entries give the same bytes in every machine, including one that was saved and restored in between. Restore
// computes the hash from scratch, so this also verifies the incrementally maintained hash.
func TestSameEntriesGiveSameState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := genBounds(t)
		one, other := New(b, Orders()), New(b, Orders())
		count := rapid.IntRange(1, 60).Draw(t, "entries")
		restoreAt := rapid.IntRange(0, count).Draw(t, "restored at")
		for i := range count {
			if i == restoreAt {
				other = mustRestore(t, savedBytes(t, other.View()))
			}
			e := genEntry(t, rapid.IntRange(0, i).Draw(t, "id"), one.View().Version())
			if raw, err := Encode(e); err != nil {
				t.Fatal(err)
			} else if back, err := Decode(raw); err != nil {
				t.Fatal(err)
			} else if d := cmp.Diff(one.Apply(e), other.Apply(back)); d != "" {
				t.Fatal(d)
			}
			if one.View().Hash() != other.View().Hash() {
				t.Fatalf("hashes differ after entry %d", i)
			}
		}
		if d := cmp.Diff(string(savedBytes(t, one.View())), string(savedBytes(t, other.View()))); d != "" {
			t.Fatal(d)
		}
		mustRestore(t, savedBytes(t, one.View()))
	})
}

// However often and late writes are repeated, even on a machine that was restored and retains few results, each takes effect
// at most once, and only if nothing that it touches has changed since its base.
func TestWritesApplyOnceAndNeverOverwriteNewer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := New(genBounds(t), Orders())
		var entries []*Entry
		applied := map[string]int{}
		lastChanged := map[string]Version{} // version of the last change of each item, never pruned
		for range rapid.IntRange(1, 80).Draw(t, "entries") {
			before := m.View()
			var e *Entry
			if i := rapid.IntRange(-len(entries)-1, len(entries)-1).Draw(t, "again"); i >= 0 {
				e = entries[i]
			} else {
				e = genEntry(t, len(entries), before.Version())
				entries = append(entries, e)
			}
			r := m.Apply(e)
			v := m.View().Version()
			if v != before.Version()+1 {
				t.Fatalf("version %d after %d", v, before.Version())
			}
			conflicting := ""
			if e.Write != nil {
				for _, c := range e.Write.Changes {
					if lastChanged[c.Key] > e.Write.Base {
						conflicting = c.Key
					}
				}
				if r.Outcome == Applied && !r.Again {
					if applied[r.ID]++; applied[r.ID] > 1 || conflicting != "" {
						t.Fatalf("%+v is applied %d times, or over a newer %q", e.Write, applied[r.ID], conflicting)
					}
					for _, c := range e.Write.Changes {
						lastChanged[c.Key] = v
					}
				} else if r.Outcome == Stale && !r.Again && conflicting == "" {
					t.Fatalf("%+v is refused as stale without a conflict: %+v", e.Write, r)
				}
			}
			before.Each(OrderKind, func(i Item) bool {
				if _, ok := m.View().Get(i.Kind, i.Key); !ok {
					lastChanged[i.Key] = v
				}
				return true
			})
			if rapid.IntRange(0, 9).Draw(t, "restore") == 0 {
				m = mustRestore(t, savedBytes(t, m.View()))
			}
		}
	})
}

// newFullMachine returns a machine whose state has items, tombstones and results of all kinds.
func newFullMachine() *Machine {
	m := New(Bounds{Results: 4}, Orders())
	m.Apply(writeEntry("z", 0, "worker/0"))
	m.Apply(writeEntry("a", 0, "worker/1 "+disableValue, "worker/2 "+drainUntil(90), "hall/<x> "+drainUntil(100)))
	m.Apply(clockEntry(1, 95))
	m.Apply(writeEntry("b", 0, "worker/1"))
	m.Apply(writeEntry("c", 3, "hall/1"))
	m.Apply(writeEntry("d", 3, "x"))
	m.Apply(writeEntry("e", 0, "room/1 {}"))
	return m
}

// A saved state that is truncated, extended, reordered or has one byte changed is refused and leaves the machine unchanged.
func TestRestoreRefusesDamage(t *testing.T) {
	whole := savedBytes(t, newFullMachine().View())
	m := New(Bounds{}, Orders())
	m.Apply(writeEntry("q", 0, "hall/q "+disableValue))
	before := m.View().Hash()
	mustRefuse := func(b []byte, what string) {
		t.Helper()
		err := m.Restore(bytes.NewReader(b))
		if err == nil || m.View().Hash() != before {
			t.Errorf("%s: %v", what, err)
		} else if !errors.Is(err, ErrState) && !errors.Is(err, ErrFormat) || !strings.HasPrefix(err.Error(), "line ") {
			t.Errorf("%s: the error does not name the fault or the line: %v", what, err)
		}
	}
	for n := range whole {
		mustRefuse(whole[:n], fmt.Sprintf("the first %d bytes", n))
		for _, flip := range []byte{1, 2, 4, 0x20, 0x80, 0xff} {
			b := bytes.Clone(whole)
			b[n] ^= flip
			mustRefuse(b, fmt.Sprintf("byte %d of %s", n, b))
		}
	}
	mustRefuse(append(bytes.Clone(whole), '\n'), "an extra byte")
	endless := io.MultiReader(bytes.NewReader(bytes.Repeat([]byte(" "), 1<<20)), iotest.ErrReader(io.ErrUnexpectedEOF))
	if err := m.Restore(endless); !errors.Is(err, ErrState) {
		t.Errorf("a header line of 1 MiB is not refused: %v", err)
	}
	lines := bytes.SplitAfter(whole, []byte("\n"))
	for i := range len(lines) - 2 {
		b := append(append(bytes.Join(lines[:i], nil), lines[i+1]...), lines[i]...)
		mustRefuse(append(b, bytes.Join(lines[i+2:], nil)...), fmt.Sprintf("lines %d and %d swapped", i+1, i+2))
	}
	mustRefuse(bytes.Replace(whole, []byte(`"f":1`), []byte(`"f":2`), 1), "a newer format")
	if err := m.Restore(bytes.NewReader(whole)); err != nil || !bytes.Equal(savedBytes(t, m.View()), whole) {
		t.Errorf("the undamaged state: %v", err)
	}
}

func TestDecodeRefuses(t *testing.T) {
	for raw, want := range map[string]string{
		`{"f":2,"write":{"id":"a","by":"","base":0,"changes":[],"more":1}}`: "format 2, and this program reads 1",
		`{"f":1,"write":{"id":"a","by":"","base":0,"changes":[],"more":1}}`: "canonical",
		`{"f":1,"Write":{"id":"a","by":"","base":0,"changes":[]}}`:          "canonical",
		`{"f":1, "clock":{"voters":1,"readings":[]}}`:                       "canonical",
		`{"f":1}`: "neither",
		`{"f":1,"write":{"id":"\u0001","by":"","base":0,"changes":[]}}`:                               "plain",
		`{"f":1,"write":{"id":"a","by":"","base":0,"changes":[]},"clock":{"voters":1,"readings":[]}}`: "both",
		`{"write":{"id":"a","by":"","base":0,"changes":[]}}`:                                          "format 0",
		`{"f":1,"clock":{"voters":1.5,"readings":[]}}`:                                                "voters",
		``: "no format",
	} {
		if e, err := Decode([]byte(raw)); !errors.Is(err, ErrFormat) || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %+v, %v", raw, e, err)
		}
	}
	for _, e := range []*Entry{nil, {}, {Write: &Write{}, Clock: &Clock{}}, writeEntry("a", 0, "\xff"), writeEntry("a\n", 0), writeEntry("a", 0, "x {"), writeEntry("a", 0, "x \"\xff\""),
		{Clock: &Clock{Readings: []Reading{{Voter: "\x00"}}}}} {
		if raw, err := Encode(e); err == nil {
			t.Errorf("%+v is encoded as %s", e, raw)
		}
	}
}

func FuzzEntry(f *testing.F) {
	for _, e := range []*Entry{writeEntry("a", 0, "hall/<x> "+disableValue, "worker/1"), clockEntry(3, 1, 2)} {
		raw, _ := Encode(e)
		f.Add(raw)
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		e, err := Decode(raw)
		if err != nil {
			return
		}
		if again, err := Encode(e); err != nil || !bytes.Equal(again, raw) {
			t.Errorf("%q is decoded, and encoded as %q, %v", raw, again, err)
		}
		m := newFullMachine()
		m.Apply(e)
		if err := New(Bounds{}, Orders()).Restore(bytes.NewReader(savedBytes(t, m.View()))); err != nil {
			t.Error(err)
		}
	})
}

func FuzzRestore(f *testing.F) {
	f.Add(savedBytes(f, newFullMachine().View()))
	f.Add(savedBytes(f, New(Bounds{}, Orders()).View()))
	f.Fuzz(func(t *testing.T, b []byte) {
		m := newFullMachine()
		before := m.View().Hash()
		if err := m.Restore(bytes.NewReader(b)); err != nil && m.View().Hash() != before {
			t.Error("a refused state changed the machine")
		} else if err == nil && !bytes.Equal(savedBytes(t, m.View()), b) {
			t.Errorf("a restored state is saved differently: %q", b)
		}
		m.Apply(writeEntry("n", m.View().Version(), "worker/1"))
	})
}
