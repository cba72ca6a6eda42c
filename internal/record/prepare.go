package record

import "encoding/json"

// Prepared is an entry with the part of its evaluation that does not depend on the state.
type Prepared struct {
	entry  *Entry
	values []preparedValue // one for each change
}

// preparedValue is the result of Domain.Canonical and Domain.Ends for a change.
type preparedValue struct {
	prepared bool
	value    json.RawMessage
	endMs    int64
	err      error
}

// Prepare does the part of applying an entry that does not depend on the state, which is most of the work. Unlike the other
// methods it may be called from any goroutine, also while the machine applies entries. The entry must not be modified
// afterwards.
func (m *Machine) Prepare(e *Entry) Prepared {
	p := Prepared{entry: e}
	if e == nil || e.Write == nil || len(e.Write.Changes) > DefaultBounds().Changes {
		return p
	}
	p.values = make([]preparedValue, len(e.Write.Changes))
	for i, c := range e.Write.Changes {
		// Under the default bounds a longer value is refused before its domain is called.
		if d, ok := m.domains[c.Kind]; ok && 0 < len(c.Value) && len(c.Value) <= DefaultBounds().ValueBytes {
			p.values[i] = prepareValue(d, c)
		}
	}
	return p
}

// prepareValue returns a value in the form in which a saved state contains it, whatever the domain returns as canonical.
func prepareValue(d Domain, c Change) preparedValue {
	v := preparedValue{prepared: true}
	v.err = recoverPanic(func() (err error) {
		if v.value, err = d.Canonical(c.Key, c.Value); err == nil {
			v.endMs = d.Ends(c.Key, v.value)
		}
		return err
	})
	if v.err == nil {
		v.value, v.err = json.Marshal(v.value)
	}
	return v
}
