package record

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"unicode/utf8"
)

// maxNewerBytes is the maximum total size of the values in Result.Newer. If they exceed it, all values are omitted.
const maxNewerBytes = 1 << 10

// applyWrite returns the result of a write, which is the retained one if the id is known. Every new result is retained,
// except for writes with an invalid id.
func (m *Machine) applyWrite(w *Write, values []preparedValue) Result {
	if !validID(w.ID) {
		return Result{ID: w.ID, Outcome: Invalid, Version: m.version, Reason: "id: it must be 1 to 64 of A-Z a-z 0-9 . _ : -"}
	}
	if first, ok := m.results.get(w.ID); ok {
		first.Again = true
		return first
	}
	r := m.evaluate(w, values)
	r.ID, r.Version, r.Reason = w.ID, m.version, sanitizeReason(r.Reason)
	m.rememberResult(r)
	return r
}

func validID(id string) bool {
	return 0 < len(id) && len(id) <= 64 && !strings.ContainsFunc(id, func(r rune) bool {
		return (r < 'a' || 'z' < r) && (r < 'A' || 'Z' < r) && (r < '0' || '9' < r) && !strings.ContainsRune("._:-", r)
	})
}

// evaluate decides about a write that has no retained result and applies it if all of its changes are valid.
func (m *Machine) evaluate(w *Write, values []preparedValue) Result {
	switch {
	case w.Base >= m.version:
		return Result{Outcome: Invalid, Reason: fmt.Sprintf("base: %d is newer than the record's version %d", w.Base, m.version-1)}
	case w.Base < m.horizon:
		return Result{Outcome: Forgotten, Reason: fmt.Sprintf("base: %d is older than what is remembered, since version %d", w.Base, m.horizon)}
	}
	changes, err := m.canonicalChanges(w, values)
	if err != nil {
		return Result{Outcome: Invalid, Reason: err.Error()}
	}
	after := &lazyView{m: m, version: m.version, changes: changes}
	if newer := m.newerItems(after, w.Base); newer != nil {
		i := newer[0]
		return Result{Outcome: Stale, Newer: newer,
			Reason: fmt.Sprintf("base: %d is older than version %d of %s %s", w.Base, i.Version, i.Kind, i.Key)}
	}
	if err := m.checkState(after, w); err != nil {
		return Result{Outcome: Invalid, Reason: err.Error()}
	}
	if after.view != nil {
		m.items = after.items
	} else {
		m.items.putAll(changes)
	}
	return Result{Outcome: Applied}
}

// canonicalChanges returns a write's changes as they are to be stored; one without a value is a removal. The error names
// the change that is invalid.
func (m *Machine) canonicalChanges(w *Write, values []preparedValue) ([]*storedItem, error) {
	if n := len(w.Changes); n == 0 || n > m.params.Bounds.Changes {
		return nil, fmt.Errorf("changes: %d of them; there must be 1 to %d", n, m.params.Bounds.Changes)
	}
	type itemKey struct {
		kind Kind
		key  string
	}
	seen := make(map[itemKey]int, len(w.Changes))
	out := make([]*storedItem, 0, len(w.Changes))
	for i, c := range w.Changes {
		var value preparedValue
		if i < len(values) {
			value = values[i]
		}
		item, err := m.canonicalChange(c, value)
		if err != nil {
			return nil, fmt.Errorf("changes[%d].%w", i, err)
		}
		key := itemKey{c.Kind, c.Key}
		if first, exists := seen[key]; exists {
			return nil, fmt.Errorf("changes[%d]: it changes the same item as changes[%d]", i, first)
		}
		seen[key] = i
		out = append(out, item)
	}
	return out, nil
}

// canonicalChange validates one change on its own and returns it in canonical form.
func (m *Machine) canonicalChange(c Change, value preparedValue) (*storedItem, error) {
	d, ok := m.domain(c.Kind)
	if !ok {
		return nil, fmt.Errorf("kind: %.40q is not known", c.Kind)
	}
	if err := validKey(c.Key, m.params.Bounds); err != nil {
		return nil, err
	}
	item := &storedItem{Item: Item{Kind: d.Kind(), Key: c.Key, Version: m.version}} // the domain's string for the kind, shared by all items
	if len(c.Value) == 0 {
		return item, nil
	}
	limit := m.params.Bounds.ValueBytes
	if len(c.Value) > limit {
		return nil, fmt.Errorf("value: longer than %d bytes", limit)
	}
	if !value.prepared {
		value = prepareValue(d, c)
	}
	item.Value, item.endMs = value.value, value.endMs
	switch {
	case value.err != nil:
		return nil, fmt.Errorf("value: %w", value.err)
	case len(item.Value) > limit:
		return nil, fmt.Errorf("value: longer than %d bytes", limit)
	case !utf8.Valid(item.Value) || string(item.Value) == "null":
		return nil, errors.New("value: it is null, or not UTF-8")
	case 0 < item.endMs && item.endMs <= m.time:
		return nil, fmt.Errorf("value: it ends at %d, and the record's time is %d", item.endMs, m.time)
	}
	return item, nil
}

func validKey(key string, b Bounds) error {
	switch {
	case key == "" || len(key) > b.KeyBytes:
		return fmt.Errorf("key: %d bytes; it must have 1 to %d", len(key), b.KeyBytes)
	case !isPlainText(key):
		return errors.New("key: it has control characters, or is not UTF-8")
	}
	return nil
}

// newerItems returns the items among the changes that were set or removed after the base. It also records in after the
// items that the changes replace.
func (m *Machine) newerItems(after *lazyView, base Version) []Item {
	var out []Item
	var bytes int
	for _, c := range after.changes {
		item, ok := m.items.byKey.Get(c)
		if ok {
			after.replaced = append(after.replaced, item)
		}
		if ok && item.Version > base {
			out = append(out, item.Item)
			bytes += len(item.Value)
		} else if removed, ok := m.items.findTombstone(c.Kind, c.Key); ok && removed.Version > base {
			out = append(out, Item{Kind: removed.Kind, Key: removed.Key, Version: removed.Version})
		}
	}
	if bytes > maxNewerBytes {
		for i := range out {
			out[i].Value = nil
		}
	}
	return out
}

// checkState validates the state that a write leads to, against the bounds and the domains of the kinds that it touches.
func (m *Machine) checkState(after *lazyView, w *Write) error {
	count, bytes := m.items.byKey.Len(), m.items.bytes
	for _, item := range after.replaced {
		count, bytes = count-1, bytes-itemBytes(item)
	}
	for _, item := range after.changes {
		if item.Value != nil {
			count, bytes = count+1, bytes+itemBytes(item)
		}
	}
	switch b := m.params.Bounds; {
	case count > b.Items:
		return fmt.Errorf("changes: with them there are more than %d items", b.Items)
	case bytes > b.ItemBytes:
		return fmt.Errorf("changes: with them the items have more than %d bytes", b.ItemBytes)
	}
	before := &lazyView{m: m, version: m.version - 1}
	canonical := &Write{ID: w.ID, By: w.By, Base: w.Base, Changes: make([]Change, 0, len(after.changes))}
	for _, item := range after.changes {
		canonical.Changes = append(canonical.Changes, Change{Kind: item.Kind, Key: item.Key, Value: item.Value})
	}
	var checked []Kind
	for i, item := range after.changes {
		if slices.Contains(checked, item.Kind) {
			continue
		}
		checked = append(checked, item.Kind)
		d, _ := m.domain(item.Kind)
		if err := recoverPanic(func() error { return d.Check(before, after, canonical) }); err != nil {
			return fmt.Errorf("changes[%d]: %w", i, err)
		}
	}
	return nil
}

// recoverPanic turns a panic of a domain into an error. A committed entry whose application crashes would crash all members,
// at each start. The error text is constant because members must not differ in it.
func recoverPanic(f func() error) (err error) {
	defer func() {
		if recover() != nil {
			err = errors.New("its domain has failed on it")
		}
	}()
	return f()
}
