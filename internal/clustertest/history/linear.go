package history

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/anishathalye/porcupine"
)

// linearTime bounds the search for an order of one key's calls.
const linearTime = 20 * time.Second

// register is what the model holds of one key: the entry that set or removed it last.
type register struct {
	version uint64
	value   string // empty: not there
}

// put is a write's part in one key, and what its answer was.
type put struct {
	id, value string
	base      uint64
	outcome   string
	version   uint64
	newer     uint64 // of a stale write
}

// get is a consistent read's part in one key.
type get struct {
	process string
	version uint64 // of the item; 0: not there
	value   string
}

// model is one key of the record: a register with versions, whose writes compare.
func model() porcupine.Model {
	return porcupine.Model{
		Init: func() any { return register{} },
		Step: func(state, input, _ any) (bool, any) {
			s := state.(register)
			switch op := input.(type) {
			case put:
				if op.outcome == stale {
					return s.version > op.base && s.version == op.newer, s
				}
				return s.version <= op.base && s.version < op.version, register{op.version, op.value}
			case get:
				return op.value == s.value && (op.value == "" || op.version == s.version), s
			}
			return false, s
		},
		DescribeOperation: func(input, _ any) string { return fmt.Sprintf("%+v", input) },
	}
}

// linear looks for an order of the calls on each key that fits real time and the model.
func linear(h *History, f *facts) []Breach {
	keys := map[string][]porcupine.Operation{}
	for _, w := range f.fates {
		ended := int64(w.ended)
		if w.ended == forever {
			ended = math.MaxInt64
		}
		for _, c := range w.Changes {
			op := put{id: w.ID, value: c.Value, base: w.Base, outcome: w.outcome, version: w.version, newer: w.newer[c.Key]}
			if w.UntilMs > 0 || w.outcome != applied && (w.outcome != stale || op.newer == 0) {
				continue // it ends by time, of which the model knows nothing; or another key was in its way
			}
			keys[c.Key] = append(keys[c.Key], porcupine.Operation{Input: op, Call: int64(w.began), Return: ended})
		}
	}
	for i := range h.Reads {
		r := &h.Reads[i]
		if !r.Consistent {
			continue
		}
		for key := range keys {
			op := get{process: r.Process}
			if n := slices.IndexFunc(r.Items, func(i Item) bool { return i.Key == key }); n >= 0 {
				op.version, op.value = r.Items[n].Version, r.Items[n].Value
			}
			keys[key] = append(keys[key], porcupine.Operation{Input: op, Call: int64(r.Began), Return: int64(r.Ended)})
		}
	}
	var out []Breach
	for _, key := range sorted(keys) {
		switch porcupine.CheckOperationsTimeout(model(), keys[key], linearTime) {
		case porcupine.Illegal:
			out = append(out, Breach{Linear, 0, fmt.Sprintf("key %s: no order of its %d calls fits", key, len(keys[key]))})
		case porcupine.Unknown:
			out = append(out, Breach{Unfinished, 0, fmt.Sprintf("key %s: no verdict on %d calls in %v", key, len(keys[key]), linearTime)})
		}
	}
	return out
}

func sorted[V any](m map[string]V) []string {
	names := make([]string, 0, len(m))
	for name := range m {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
