package record

import (
	"cmp"

	"github.com/google/btree"
)

// The trees are from google/btree. Its Clone takes constant-time snapshots by copying nodes on write. tidwall/btree's Copy
// does the same, but numbers its trees with a process-wide counter, counts the items below each node, which is not needed
// here, and has four times the code. Readers of a clone touch only nodes that belong to the tree that created them; no later
// tree writes to or reuses those. Clone itself writes to the tree that it is called on, so only the machine's own trees
// are cloned, never those of a view.

// treeDegree gives nodes of 15 to 31 pointers. The first entry applied after a snapshot copies one path of them.
const treeDegree = 16

// storedItem is an item in the trees. It is immutable once inserted.
type storedItem struct {
	Item
	endMs int64 // expiry by the record's time, Unix ms; 0: never
}

// tombstone marks a removed item, so that a write with an older base is recognized as conflicting with the removal.
type tombstone struct {
	Kind    Kind    `json:"kind"`
	Key     string  `json:"key"`
	Version Version `json:"version"` // of the entry that removed it
}

func lessItem(a, b *storedItem) bool {
	return compareKeys(a.Kind, a.Key, b.Kind, b.Key) < 0
}

func lessEndTime(a, b *storedItem) bool {
	return cmp.Or(cmp.Compare(a.endMs, b.endMs), compareKeys(a.Kind, a.Key, b.Kind, b.Key)) < 0
}

func lessTombstone(a, b *tombstone) bool {
	return compareKeys(a.Kind, a.Key, b.Kind, b.Key) < 0
}

func lessTombstoneVersion(a, b *tombstone) bool {
	return cmp.Or(cmp.Compare(a.Version, b.Version), compareKeys(a.Kind, a.Key, b.Kind, b.Key)) < 0
}

// compareKeys orders items by kind, then by key.
func compareKeys(kind Kind, key string, otherKind Kind, otherKey string) int {
	if kind != otherKind {
		return cmp.Compare(kind, otherKind)
	}
	return cmp.Compare(key, otherKey)
}

// itemSet holds the items and the tombstones, with their indexes.
type itemSet struct {
	byKey               *btree.BTreeG[*storedItem]
	byEnd               *btree.BTreeG[*storedItem] // only items that expire
	tombstone           *btree.BTreeG[*tombstone]
	tombstonesByVersion *btree.BTreeG[*tombstone]
	bytes               int
	sum                 digestSum // over the items and the tombstones
}

func newItemSet() itemSet {
	return itemSet{
		byKey: btree.NewG(treeDegree, lessItem), byEnd: btree.NewG(treeDegree, lessEndTime),
		tombstone: btree.NewG(treeDegree, lessTombstone), tombstonesByVersion: btree.NewG(treeDegree, lessTombstoneVersion),
	}
}

// clone returns an independent copy.
func (s *itemSet) clone() itemSet {
	c := s.snapshot()
	c.byEnd, c.tombstonesByVersion = s.byEnd.Clone(), s.tombstonesByVersion.Clone()
	return c
}

// snapshot returns a copy with only the trees that a view reads.
func (s *itemSet) snapshot() itemSet {
	return itemSet{byKey: s.byKey.Clone(), tombstone: s.tombstone.Clone(), bytes: s.bytes, sum: s.sum}
}

func (s *itemSet) get(kind Kind, key string) (*storedItem, bool) {
	return s.byKey.Get(&storedItem{Item: Item{Kind: kind, Key: key}})
}

func (s *itemSet) findTombstone(kind Kind, key string) (*tombstone, bool) {
	return s.tombstone.Get(&tombstone{Kind: kind, Key: key})
}

func (s *itemSet) putAll(changes []*storedItem) {
	for _, item := range changes {
		s.put(item)
	}
}

// put sets an item, or removes it if it has no value. A removal leaves a tombstone even if the item did not exist: a write
// that has not seen the removal must be reported as stale.
func (s *itemSet) put(item *storedItem) {
	var old *storedItem
	var replaced bool
	if item.Value == nil {
		old, replaced = s.byKey.Delete(item)
	} else {
		old, replaced = s.insert(item)
	}
	if replaced {
		s.bytes -= itemBytes(old)
		s.sum.sub(old.digest())
		if old.endMs > 0 {
			s.byEnd.Delete(old)
		}
	}
	if t, ok := s.tombstone.Delete(&tombstone{Kind: item.Kind, Key: item.Key}); ok {
		s.tombstonesByVersion.Delete(t)
		s.sum.sub(t.digest())
	}
	if item.Value == nil {
		s.addTombstone(&tombstone{Kind: item.Kind, Key: item.Key, Version: item.Version})
	} else if item.endMs > 0 { // after the old one was deleted: both may expire at the same time
		s.byEnd.ReplaceOrInsert(item)
	}
}

// insert adds an item to everything except byEnd and returns the item that it replaces.
func (s *itemSet) insert(item *storedItem) (*storedItem, bool) {
	s.bytes += itemBytes(item)
	s.sum.add(item.digest())
	return s.byKey.ReplaceOrInsert(item)
}

// addTombstone adds t to both tombstone trees and to the digest sum.
func (s *itemSet) addTombstone(t *tombstone) {
	s.tombstone.ReplaceOrInsert(t)
	s.tombstonesByVersion.ReplaceOrInsert(t)
	s.sum.add(t.digest())
}

// itemBytes is what an item counts towards Bounds.ItemBytes.
func itemBytes(item *storedItem) int { return len(item.Kind) + len(item.Key) + len(item.Value) }

// endingBy returns the items that expire at endMs or before, in the order of their expiry, then kind and key.
func (s *itemSet) endingBy(endMs int64) []*storedItem {
	var out []*storedItem
	s.byEnd.Ascend(func(item *storedItem) bool {
		if item.endMs > endMs {
			return false
		}
		out = append(out, item)
		return true
	})
	return out
}

// pruneTombstones drops the tombstones whose version is not newer than the horizon: a write that would conflict with one
// has an older base and is refused as Forgotten whatever it touches. While more than maxTombstones remain, it drops the
// oldest and raises the horizon to its version. It returns the resulting horizon.
func (s *itemSet) pruneTombstones(horizon Version, maxTombstones int) Version {
	for {
		t, ok := s.tombstonesByVersion.Min()
		if !ok || t.Version > horizon && s.tombstonesByVersion.Len() <= maxTombstones {
			return horizon
		}
		horizon = max(horizon, t.Version)
		s.tombstonesByVersion.DeleteMin()
		s.tombstone.Delete(t)
		s.sum.sub(t.digest())
	}
}
