package record

import (
	"bytes"
	"fmt"
	"io"
	"runtime"
	"testing"
)

const benchItems = 100_000

// newLargeMachine returns a machine with benchItems orders, one in four of which expires, and a full table of results.
func newLargeMachine(b *testing.B) *Machine {
	m := New(Bounds{}, Orders())
	for i := range benchItems {
		if r := m.Apply(orderEntry(m, i)); r.Outcome != Applied {
			b.Fatal(r)
		}
	}
	return m
}

func orderEntry(m *Machine, i int) *Entry {
	v := disableValue
	if i%4 == 0 {
		v = drainUntil(int64(1_800_000_000_000 + i))
	}
	n := i * 7919 % benchItems // not in key order
	return writeEntry(fmt.Sprintf("write-%d-%d", m.version, i), m.version, fmt.Sprintf("worker/s-%06d %s", n, v))
}

// BenchmarkApply applies writes of one order each and takes a view after each, as a replica does.
func BenchmarkApply(b *testing.B) {
	m := newLargeMachine(b)
	entries := make([]*Entry, b.N)
	for i := range entries {
		entries[i] = orderEntry(m, i)
	}
	b.ReportAllocs()
	b.ResetTimer()
	for _, e := range entries {
		e.Write.Base = m.version
		if r := m.Apply(e); r.Outcome != Applied {
			b.Fatal(r)
		}
		m.View()
	}
}

func BenchmarkView(b *testing.B) {
	m := newLargeMachine(b)
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		m.cachedView = nil
		m.View()
	}
}

func BenchmarkSave(b *testing.B) {
	v := newLargeMachine(b).View()
	b.ResetTimer()
	for range b.N {
		if err := Save(io.Discard, v); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkRestore(b *testing.B) {
	raw := savedBytes(b, newLargeMachine(b).View())
	m := New(Bounds{}, Orders())
	b.SetBytes(int64(len(raw)))
	b.ResetTimer()
	for range b.N {
		if err := m.Restore(bytes.NewReader(raw)); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkMemory reports the heap bytes per item and per retained result.
func BenchmarkMemory(b *testing.B) {
	heap := func() int {
		runtime.GC()
		var s runtime.MemStats
		runtime.ReadMemStats(&s)
		return int(s.HeapAlloc)
	}
	for range b.N {
		before := heap()
		m := newLargeMachine(b)
		all := heap() - before
		m.results = newResultTable()
		items := heap() - before
		b.ReportMetric(float64(items)/benchItems, "B/item")
		b.ReportMetric(float64(all-items)/float64(m.params.Bounds.Results), "B/result")
		runtime.KeepAlive(m)
	}
}
