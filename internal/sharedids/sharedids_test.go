package sharedids

import (
	"fmt"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

const lifetime = 4 * time.Second

// openTwice opens one table as two processes do, with a clock that the test sets.
func openTwice(t *testing.T) (one, other *Table, clock *atomic.Int64) {
	path := filepath.Join(t.TempDir(), "ids")
	clock = &atomic.Int64{}
	clock.Store(int64(time.Hour))
	open := func() *Table {
		table, err := Open(path, 2*lifetime)
		if err != nil {
			t.Fatal(err)
		}
		table.now = func() time.Duration { return time.Duration(clock.Load()) }
		t.Cleanup(func() { table.Close() })
		return table
	}
	return open(), open(), clock
}

// An ID that one process has added is refused by the other, until the time after its last extension is over.
func TestOtherProcessRemembers(t *testing.T) {
	one, other, clock := openTwice(t)
	id := []byte("t1")
	if !one.TryAdd(id, lifetime) || one.TryAdd(id, lifetime) || other.TryAdd(id, lifetime) {
		t.Fatal("the first was refused, or a second was not")
	}
	clock.Add(int64(lifetime / 2))
	one.Extend(id, lifetime)
	clock.Add(int64(lifetime - tick))
	if other.TryAdd(id, lifetime) {
		t.Error("forgotten before the time was over")
	}
	clock.Add(int64(3 * tick))
	if !other.TryAdd(id, lifetime) {
		t.Error("remembered after the time was over")
	}
	clock.Store(int64(time.Minute)) // the machine was started again
	if !one.TryAdd(id, lifetime) {
		t.Error("remembered from before the machine was started")
	}
}

// Of several processes that add an ID at the same moment one at most succeeds.
func TestAddedAtOnce(t *testing.T) {
	one, other, _ := openTwice(t)
	for i := range 2000 {
		id := fmt.Appendf(nil, "t%d", i)
		var added atomic.Int64
		var adding sync.WaitGroup
		for _, table := range []*Table{one, other, one, other} {
			adding.Go(func() {
				if table.TryAdd(id, lifetime) {
					added.Add(1)
				}
			})
		}
		adding.Wait()
		if added.Load() > 1 {
			t.Fatalf("%s was added %d times", id, added.Load())
		}
	}
}

// A table that is full forgets the oldest and takes the newest.
func TestFullTable(t *testing.T) {
	table, _, clock := openTwice(t)
	refused := 0
	for i := range 3 * buckets * slotsPerBucket {
		if !table.TryAdd(fmt.Appendf(nil, "t%d", i), lifetime) {
			refused++
		}
		clock.Add(int64(time.Microsecond))
	}
	if refused > 0 {
		t.Errorf("%d new IDs were refused", refused)
	}
	if last := fmt.Appendf(nil, "t%d", 3*buckets*slotsPerBucket-1); table.TryAdd(last, lifetime) {
		t.Error("the newest ID was forgotten")
	}
}
