package rules

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	"burlpass/internal/record"
)

// maxPast is the number of earlier values that an item keeps.
const maxPast = 8

// Past is an earlier value of an item.
type Past struct {
	Was json.RawMessage `json:"was"` // null if none was in force
	By  string          `json:"by"`  // who replaced it
}

// storedValue is the value of an item as the record stores it: the current value, null if none is in force, and
// the earlier values, oldest first.
type storedValue struct {
	Now  json.RawMessage `json:"now"`
	Past []Past          `json:"past,omitempty"`
}

// decodeJSON decodes JSON whose canonical form was checked when the record accepted it. Unknown fields are an error.
func decodeJSON(raw []byte, into any) error {
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.DisallowUnknownFields()
	return dec.Decode(into)
}

// decodeCanonicalJSON decodes JSON and requires that encoding the result again gives the same bytes, white space aside.
func decodeCanonicalJSON(raw []byte, into any) error {
	if err := decodeJSON(raw, into); err != nil {
		return err
	}
	var compacted bytes.Buffer
	if err := json.Compact(&compacted, raw); err != nil {
		return err
	}
	canonical, err := json.Marshal(into)
	if err != nil {
		return err
	}
	if got := compacted.Bytes(); !bytes.Equal(got, canonical) {
		common := 0
		for common < len(got) && common < len(canonical) && got[common] == canonical[common] {
			common++
		}
		return fmt.Errorf("not in the one form from %.30q on; it would be %.30q", got[common:], canonical[common:])
	}
	return nil
}

// History returns the earlier values of an item of these kinds, oldest first, and its current value, nil if none
// is in force.
func History(item record.Item) (past []Past, now json.RawMessage, err error) {
	var stored storedValue
	if err := decodeCanonicalJSON(item.Value, &stored); err != nil {
		return nil, nil, fmt.Errorf("%s %s: %w", item.Kind, item.Key, err)
	}
	if isNull(stored.Now) {
		stored.Now = nil
	}
	return stored.Past, stored.Now, nil
}

func isNull(raw json.RawMessage) bool { return len(raw) == 0 || string(raw) == "null" }

// Amend returns the change that replaces the current value of an item by now, or removes it if now is nil, and
// extends its history. previous is the item in the state that the write is based on; its Value is nil if there is
// no such item.
func Amend(previous record.Item, now json.RawMessage, by string) (record.Change, error) {
	next := storedValue{Now: now}
	if now == nil {
		next.Now = json.RawMessage("null")
	}
	if previous.Value != nil {
		past, replaced, err := History(previous)
		if err != nil {
			return record.Change{}, err
		}
		if replaced == nil {
			replaced = json.RawMessage("null")
		}
		next.Past = append(past, Past{replaced, by})
		next.Past = next.Past[max(0, len(next.Past)-maxPast):]
	}
	raw, err := json.Marshal(next)
	if err != nil {
		return record.Change{}, fmt.Errorf("%s %s: %w", previous.Kind, previous.Key, err)
	}
	return record.Change{Kind: previous.Kind, Key: previous.Key, Value: raw}, nil
}

// TakeBack returns the change that reverts an item to the value before its current one. An item that has only ever
// had one value is removed.
func TakeBack(item record.Item, by string) (record.Change, error) {
	past, _, err := History(item)
	if err != nil {
		return record.Change{}, err
	}
	if len(past) == 0 {
		return Amend(item, nil, by) // the item was new: there was no value before
	}
	previous := past[len(past)-1].Was
	if isNull(previous) {
		previous = nil
	}
	return Amend(item, previous, by)
}

// canonicalValue validates a value without regard to other items and returns its canonical form.
func canonicalValue(kind record.Kind, key string, value json.RawMessage) (json.RawMessage, error) {
	var stored storedValue
	if err := decodeCanonicalJSON(value, &stored); err != nil {
		return nil, err
	}
	if len(stored.Past) > maxPast {
		return nil, fmt.Errorf("past: %d of them; there may be %d", len(stored.Past), maxPast)
	}
	for i, p := range stored.Past {
		if _, err := decodeValue(kind, key, p.Was, decodeCanonicalJSON); err != nil {
			return nil, fmt.Errorf("past[%d]: %w", i, err)
		}
	}
	if _, err := decodeValue(kind, key, stored.Now, decodeCanonicalJSON); err != nil {
		return nil, fmt.Errorf("now: %w", err)
	}
	return json.Marshal(stored)
}

// decodeValue decodes a value of a kind with decodeJSON or decodeCanonicalJSON. It returns a pointer to the value,
// nil for null.
func decodeValue(kind record.Kind, key string, raw json.RawMessage, unmarshal func([]byte, any) error) (any, error) {
	if isNull(raw) {
		return nil, validateKey(kind, key)
	}
	if err := validateKey(kind, key); err != nil {
		return nil, fmt.Errorf("key: %w", err)
	}
	switch kind {
	case TeamKind:
		target := new(Team)
		return target, unmarshal(raw, target)
	case ClassKind:
		target := new(Class)
		err := unmarshal(raw, target)
		if err == nil && (target.Attempts < 1 || target.Attempts > 100) {
			err = fmt.Errorf("attempts: %d; there must be 1 to 100", target.Attempts)
		}
		return target, err
	case NamespaceKind:
		target := new(Namespace)
		err := unmarshal(raw, target)
		if err == nil && !validName(target.Owner) {
			err = fmt.Errorf("owner: %.40q is no name", target.Owner)
		}
		return target, err
	case GrantKind:
		target := new(Grant)
		err := errors.Join(unmarshal(raw, target), target.validate())
		if target.Under == key {
			err = errors.New("under: a grant cannot be under itself")
		}
		return target, err
	case RuleKind:
		target := new(Rule)
		k, _ := ParseRuleKey(key)
		return target, errors.Join(unmarshal(raw, target), target.validate(k.Setting))
	case DecisionKind:
		target := new(Decision)
		return target, errors.Join(unmarshal(raw, target), target.validate(key))
	}
	return nil, fmt.Errorf("kind: %.40q is not one of rules", kind)
}

func validateKey(kind record.Kind, key string) error {
	switch kind {
	case NamespaceKind:
		s, err := ParseSelector(key)
		if err == nil && s.String() != key {
			err = fmt.Errorf("%.60q must be written %s", key, s)
		}
		return err
	case RuleKind:
		_, err := ParseRuleKey(key)
		return err
	case DecisionKind:
		return nil // validated together with the value
	}
	if !validName(key) {
		return fmt.Errorf("%.40q must be 1 to %d of a-z 0-9 . _ -", key, maxNameBytes)
	}
	return nil
}

func (v *Value) validate(s Setting, allowShare bool) error {
	minimum, maximum := s.valueRange()
	fieldsSet := 0
	if v.N != nil {
		fieldsSet++
		if *v.N < minimum || *v.N > maximum {
			return fmt.Errorf("value: %d; %s must be %d to %d", *v.N, s, minimum, maximum)
		}
	}
	if v.Share != nil {
		fieldsSet++
		if !allowShare || !s.isFleetLimit() || *v.Share < 1 || *v.Share > 1000 {
			return fmt.Errorf("share: %d of %s; only a rule of rate or calls has one, 1 to 1000", *v.Share, s)
		}
	}
	if v.Callers != nil {
		fieldsSet++
		ordered := slices.IsSorted(v.Callers) && len(slices.Compact(slices.Clone(v.Callers))) == len(v.Callers)
		if !ordered || len(v.Callers) > maxCallers || slices.ContainsFunc(v.Callers, func(c string) bool { return !validName(c) }) {
			return fmt.Errorf("callers: they must be up to %d names, in order, each once", maxCallers)
		}
	}
	if fieldsSet != 1 || (v.Callers != nil) != (s == Callers) {
		return fmt.Errorf("%s must have one value: callers for %s, value or share for the others", s, Callers)
	}
	return nil
}

func (r *Rule) validate(s Setting) error {
	switch {
	case r.Mode != Default && r.Mode != Bound && r.Mode != Locked:
		return fmt.Errorf("mode: %.40q is not %s, %s or %s", r.Mode, Default, Bound, Locked)
	case r.Under != "" && !validName(r.Under):
		return fmt.Errorf("under: %.40q is no name", r.Under)
	case r.Needs != "" && !validName(r.Needs):
		return fmt.Errorf("needs: %.40q is no name", r.Needs)
	}
	return errors.Join(r.Value.validate(s, true), r.validateCut(s))
}

func (g *Grant) validate() error {
	if s, err := ParseSelector(g.In); err != nil {
		return fmt.Errorf("in: %w", err)
	} else if s.String() != g.In {
		return fmt.Errorf("in: %.60q must be written %s", g.In, s)
	}
	if !validName(g.To) || g.Under != "" && !validName(g.Under) {
		return fmt.Errorf("to, under: %.40q or %.40q is no name", g.To, g.Under)
	}
	last := -1
	for _, s := range g.Settings {
		if s.index() <= last {
			return fmt.Errorf("settings: they must be of %v, in this order, each once", Settings())
		}
		last = s.index()
	}
	last = -1
	for i := range g.Caps {
		c := &g.Caps[i]
		if c.Setting.index() <= last || !g.coversSetting(c.Setting) {
			return fmt.Errorf("caps[%d]: %.40q is not granted, or out of the order %v", i, c.Setting, Settings())
		}
		last = c.Setting.index()
		if err := c.Value.validate(c.Setting, false); err != nil {
			return fmt.Errorf("caps[%d]: %w", i, err)
		}
	}
	return nil
}

func (d *Decision) validate(key string) error {
	switch {
	case d.A >= d.B || PairKey(d.A, d.B) != key:
		return errors.New("a must be before b, and the key that of the pair")
	case d.Pick != d.A && d.Pick != d.B:
		return fmt.Errorf("pick: %.60q is neither a nor b", d.Pick)
	case !validDigest(d.ASum) || !validDigest(d.BSum):
		return errors.New("a_sum, b_sum: they must be 16 hex digits")
	case len(d.Why) > 200 || !isPrintable(d.Why):
		return errors.New("why: it must be up to 200 bytes of printable ASCII, without < > &")
	}
	return nil
}

func validDigest(s string) bool {
	b, err := hex.DecodeString(s)
	return err == nil && len(b) == 8 && hex.EncodeToString(b) == s
}

func isPrintable(s string) bool {
	for i := range len(s) {
		if c := s[i]; c < ' ' || c > '~' || c == '<' || c == '>' || c == '&' {
			return false
		}
	}
	return true
}

// PairKey returns the key of the decision about two rules, given in either order.
func PairKey(a, b string) string {
	d := sha256.Sum256([]byte(min(a, b) + "\n" + max(a, b)))
	return hex.EncodeToString(d[:16])
}

// itemDigest returns the digest of the current value of an item. Decisions refer to the values of rules by it.
func itemDigest(kind record.Kind, key string, now []byte) [sha256.Size]byte {
	b := make([]byte, 0, 512)
	b = append(append(b, kind...), '\n')
	b = append(append(b, key...), '\n')
	return sha256.Sum256(append(b, now...))
}
