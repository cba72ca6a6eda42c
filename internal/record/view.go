package record

import "slices"

// view is a View of a state that is never modified.
type view struct{ state }

func (v *view) Version() Version { return v.version }
func (v *view) TimeMs() int64    { return v.time }
func (v *view) Hash() string     { return v.hash() }
func (v *view) Len() int         { return v.items.byKey.Len() }

func (v *view) Get(kind Kind, key string) (Item, bool) {
	item, ok := v.items.get(kind, key)
	if !ok {
		return Item{}, false
	}
	return item.Item, true
}

func (v *view) Each(kind Kind, f func(Item) bool) {
	v.items.byKey.AscendGreaterOrEqual(&storedItem{Item: Item{Kind: kind}}, func(item *storedItem) bool {
		return item.Kind == kind && f(item.Item)
	})
}

func (v *view) Result(id string) (Result, bool) { return v.results.get(id) }

// Knows reports whether the record behind a view supports a kind. The set of kinds is part of the state and is fixed when
// the cluster is formed.
func Knows(v View, k Kind) bool {
	w, ok := v.(interface{ hasKind(Kind) bool })
	return ok && w.hasKind(k)
}

func (v *view) hasKind(k Kind) bool { return slices.Contains(v.params.Kinds, k) }

// lazyView is the View that is passed to Domain.Check. It clones the trees only when the domain first reads items: after a
// clone the next write has to copy the nodes that it changes, and a domain that reads nothing should not cost that. It is
// valid until the machine applies a change.
type lazyView struct {
	m        *Machine
	version  Version
	changes  []*storedItem // that lead from the state of m to this one
	replaced []*storedItem // items that the changes replace
	items    itemSet       // set with view; if there are changes, the machine continues with it
	view     *view         // nil: not created yet
}

// materialize creates the view on first use.
func (o *lazyView) materialize() *view {
	if o.view == nil {
		s := o.m.state
		s.version = o.version
		if len(o.changes) > 0 {
			s.items = o.m.items.clone()
			s.items.putAll(o.changes)
		}
		o.items, o.view = s.items, &view{s}
	}
	return o.view
}

func (o *lazyView) Version() Version                       { return o.version }
func (o *lazyView) TimeMs() int64                          { return o.m.time }
func (o *lazyView) Hash() string                           { return o.materialize().Hash() }
func (o *lazyView) Len() int                               { return o.materialize().Len() }
func (o *lazyView) Get(kind Kind, key string) (Item, bool) { return o.materialize().Get(kind, key) }
func (o *lazyView) Each(kind Kind, f func(Item) bool)      { o.materialize().Each(kind, f) }
func (o *lazyView) Result(id string) (Result, bool)        { return o.m.results.get(id) }
