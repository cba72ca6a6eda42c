package rules

import (
	"encoding/json"
	"fmt"
	"slices"

	"burlpass/internal/record"
)

// Domains returns the record's domains for all Kinds. They share a Decoder, which does not affect their results,
// so several machines of the record can use the same domains. env derives the environment from the view after a
// write; if it is nil, the environment is empty.
func Domains(env func(after record.View) Env) []record.Domain {
	if env == nil {
		env = func(record.View) Env { return Env{} }
	}
	decoder := &Decoder{}
	var out []record.Domain
	for _, k := range Kinds() {
		out = append(out, domain{k, decoder, env})
	}
	return out
}

type domain struct {
	kind    record.Kind
	decoder *Decoder
	env     func(record.View) Env
}

func (d domain) Kind() record.Kind { return d.kind }

func (d domain) Canonical(key string, value json.RawMessage) (json.RawMessage, error) {
	return canonicalValue(d.kind, key, value)
}

// Ends returns 0: items of these kinds do not expire, they are only removed by a write.
func (domain) Ends(string, json.RawMessage) int64 { return 0 }

// Check validates all changes of a write together, when it is called for the kind of the first of them. The calls
// for other kinds do nothing.
func (d domain) Check(before, after record.View, w *record.Write) error {
	first := slices.IndexFunc(w.Changes, func(c record.Change) bool { return slices.Contains(Kinds(), c.Kind) })
	if w.Changes[first].Kind != d.kind {
		return nil
	}
	a, err := checkWrite(d.decoder, before, w, d.env(after))
	if err != nil {
		return err
	}
	return a.Err()
}

func checkWrite(decoder *Decoder, before record.View, w *record.Write, env Env) (Answer, error) {
	stateBefore, err := decoder.Load(before)
	if err != nil {
		return Answer{}, err
	}
	stateAfter, err := stateBefore.With(w.Changes, before.Version()+1)
	if err != nil {
		return Answer{}, err
	}
	return Check(stateBefore, stateAfter, w, env), nil
}

// DryRun returns the answer that a write would get in the state of a view, with all of its conflicts, without
// applying it. It does not check what the record itself refuses: a stale base, a reused ID, a value beyond a
// bound.
func DryRun(decoder *Decoder, view record.View, w *record.Write, env Env) Answer {
	canonical := &record.Write{ID: w.ID, By: w.By, Base: w.Base}
	for i, c := range w.Changes {
		if c.Value != nil && slices.Contains(Kinds(), c.Kind) {
			var err error
			if c.Value, err = canonicalValue(c.Kind, c.Key, c.Value); err != nil {
				return Answer{Faults: []string{fmt.Sprintf("changes[%d].value: %v", i, err)}}
			}
		}
		canonical.Changes = append(canonical.Changes, c)
	}
	a, err := checkWrite(decoder, view, canonical, env)
	if err != nil {
		return Answer{Faults: []string{err.Error()}}
	}
	return a
}
