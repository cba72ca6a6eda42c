package rules

import (
	"bytes"
	"cmp"
	"fmt"
	"sync"

	"burlpass/internal/record"
)

// Decoder builds states from items. It keeps the last state, so that a state that differs little from it is cheap
// to build. Its results depend only on the items. It is safe for concurrent use.
type Decoder struct {
	mu   sync.Mutex
	last *State
}

// Load builds the state of the items of a view that are of these kinds. It fails if a value is not canonical.
func (d *Decoder) Load(v record.View) (*State, error) {
	var items []record.Item
	for _, k := range Kinds() {
		v.Each(k, func(i record.Item) bool {
			items = append(items, i)
			return true
		})
	}
	return d.Merge(items)
}

// Merge builds a state from items in any order. Duplicates of an item are ignored. Two different values under one
// key are an error, as is a value that is not canonical.
func (d *Decoder) Merge(items []record.Item) (*State, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.last == nil {
		d.last = newState(map[itemKey]*entry{})
	}
	next, err := d.mergeIncremental(items)
	if next == nil && err == nil {
		next, err = d.mergeAll(items)
	}
	if err == nil {
		d.last = next
	}
	return next, err
}

// parseOrReuse returns the entry of an item, taken from the last state if the item is unchanged.
func (d *Decoder) parseOrReuse(i record.Item) (e *entry, reused bool, err error) {
	if e = d.last.entries[itemKey{i.Kind, i.Key}]; e != nil && e.Version == i.Version && bytes.Equal(e.Value, i.Value) {
		return e, true, nil
	}
	e, err = parseEntry(i)
	return e, false, err
}

// maxIncrementalChanges is the number of changed items up to which a state is derived from the last one instead of
// built anew.
const maxIncrementalChanges = 64

// mergeIncremental derives a state from the last one. It requires that the items are sorted, that none of the last
// state is missing, and that only a few are changed or new, no namespaces among them. Otherwise it returns nil.
func (d *Decoder) mergeIncremental(items []record.Item) (*State, error) {
	var changed []*entry
	matched := 0
	for n, i := range items {
		if n > 0 && cmp.Or(cmp.Compare(items[n-1].Kind, i.Kind), cmp.Compare(items[n-1].Key, i.Key)) >= 0 {
			return nil, nil
		}
		e, reused, err := d.parseOrReuse(i)
		if err != nil {
			return nil, err
		}
		if d.last.entries[itemKey{i.Kind, i.Key}] != nil {
			matched++
		}
		if reused {
			continue
		}
		if changed = append(changed, e); len(changed) > maxIncrementalChanges || i.Kind == NamespaceKind {
			return nil, nil
		}
	}
	switch {
	case matched != len(d.last.entries):
		return nil, nil
	case len(changed) == 0:
		return d.last, nil
	}
	out := d.last.clone()
	for _, e := range changed {
		out.put(itemKey{e.Kind, e.Key}, e)
	}
	return out, nil
}

func (d *Decoder) mergeAll(items []record.Item) (*State, error) {
	entries := make(map[itemKey]*entry, len(items))
	for _, i := range items {
		key := itemKey{i.Kind, i.Key}
		if e, ok := entries[key]; ok {
			if e.Version != i.Version || !bytes.Equal(e.Value, i.Value) {
				return nil, fmt.Errorf("%s %s: two values under one key", i.Kind, i.Key)
			}
			continue
		}
		e, _, err := d.parseOrReuse(i)
		if err != nil {
			return nil, err
		}
		entries[key] = e
	}
	return newState(entries), nil
}
