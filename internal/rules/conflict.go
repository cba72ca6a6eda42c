package rules

import (
	"cmp"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"burlpass/internal/record"
)

// ConflictKind is the reason why two items are incompatible.
type ConflictKind string

// The kinds of conflicts. For Overlap, neither namespace is an ancestor of the other. Equal and Overlap can be
// resolved by a decision of the owner of the nearest common ancestor. All others have to be fixed by changing an
// item.
const (
	Equal     ConflictKind = "equal"     // contradicting rules of one owner or in one namespace
	Overlap   ConflictKind = "overlap"   // contradicting rules of different owners in overlapping namespaces
	Looser    ConflictKind = "looser"    // looser than a bound above, the class, or the grant that permits it
	Below     ConflictKind = "locked"    // a rule below a locked rule
	Shares    ConflictKind = "shares"    // the shares of a limit add up to more than the whole
	Withdrawn ConflictKind = "withdrawn" // an item depends on a grant or limit that was removed or no longer applies
	Circle    ConflictKind = "circle"    // a cycle of grants or of decisions
	Retired   ConflictKind = "retired"   // the rule requires an API version that is being retired
)

// Side is one of the two items of a conflict.
type Side struct {
	Kind  record.Kind     `json:"kind"`
	Key   string          `json:"key"`
	Owner string          `json:"owner"` // the team that the item belongs to
	Value json.RawMessage `json:"value,omitempty"`
	Sum   string          `json:"sum,omitempty"` // for a rule: its digest, which a decision about it has to contain
}

// Conflict describes two items that are incompatible.
type Conflict struct {
	Kind     ConflictKind `json:"conflict"`
	A        Side         `json:"a"`
	B        Side         `json:"b"`
	Witness  Call         `json:"witness"`            // an example of a call that both match
	Others   []string     `json:"others,omitempty"`   // keys of further items involved, at most 16
	Decider  string       `json:"decider,omitempty"`  // the team that may resolve it by a decision; "" if none can
	Together bool         `json:"together,omitempty"` // one side was set after the base version of the write of the other
	Why      string       `json:"why"`
}

// Error describes the conflict in one line. The most important parts come first, since results of the record are
// cut to a maximum length.
func (c Conflict) Error() string {
	w := c.Witness
	return fmt.Sprintf("conflict %s: %s (%s) and %s (%s), both match %s/%s/%s%s from %s: %s",
		c.Kind, c.A.Key, c.A.Owner, c.B.Key, c.B.Owner, w.Island, w.Hall, w.Class, w.Path, w.Caller, c.Why)
}

// Timeline is the retirement of an API version, as package retire defines it.
type Timeline struct {
	Key string   // key of the timeline's item
	In  Selector // the calls for which the version is retired
}

// Env is the input of conflict detection besides the items. It must be part of the replicated state, so that it is
// the same on every voter.
type Env struct {
	// Retired returns the timelines that retire a version, sorted by key. nil means that no version is retired.
	Retired func(version string) []Timeline
}

// conflictFinder searches a state for conflicts and collects them without duplicates.
type conflictFinder struct {
	state, before *State // before is the state before the write, nil if there is no write
	env           Env
	conflicts     map[string]Conflict
}

// Conflicts returns all conflicts of a state in a fixed order. A state that the record has accepted has none.
func (state *State) Conflicts(env Env) []Conflict {
	f := &conflictFinder{state: state, env: env, conflicts: map[string]Conflict{}}
	f.findAll()
	return f.sorted()
}

func (f *conflictFinder) sorted() []Conflict {
	out := make([]Conflict, 0, len(f.conflicts))
	for _, c := range f.conflicts {
		out = append(out, c)
	}
	slices.SortFunc(out, func(a, b Conflict) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.A.Key, b.A.Key), cmp.Compare(a.B.Key, b.B.Key),
			slices.Compare(a.Others, b.Others))
	})
	return out
}

func (f *conflictFinder) report(c Conflict) {
	key := strings.Join([]string{string(c.Kind), string(c.A.Kind), c.A.Key, string(c.B.Kind), c.B.Key,
		strings.Join(c.Others, " ")}, "\n")
	if _, ok := f.conflicts[key]; !ok {
		f.conflicts[key] = c
	}
}

func (f *conflictFinder) ruleSide(r *rule) Side {
	return Side{RuleKind, r.Key, f.state.ruleOwner(r), r.current, ruleDigest(r)}
}

func (f *conflictFinder) grantSide(g *grant) Side {
	return Side{Kind: GrantKind, Key: g.Key, Owner: f.state.grantor(g), Value: g.current}
}

// removedSide returns a removed item as it was before the write, or false if there was no such item.
func (f *conflictFinder) removedSide(kind record.Kind, key string) (Side, bool) {
	if f.before == nil {
		return Side{Kind: kind, Key: key}, true
	}
	side := Side{Kind: kind, Key: key}
	if g, ok := lookupValue[*grant](f.before, kind, key); ok {
		side.Owner, side.Value = f.before.grantor(g), g.current
		return side, true
	}
	if r, ok := lookupValue[*rule](f.before, kind, key); ok {
		side.Owner, side.Value = f.before.ruleOwner(r), r.current
		return side, true
	}
	return side, false
}

// reportPair reports a conflict of two rules. The witness is a call that both match; for lists of callers, its
// caller is one that only one of the rules allows.
func (f *conflictFinder) reportPair(kind ConflictKind, a, b *rule, why string, others ...string) {
	region, ok := a.In.Meet(b.In)
	if !ok {
		return // no call matches both, so they cannot conflict
	}
	if (kind == Equal || kind == Overlap) && a.Key > b.Key {
		a, b = b, a
	}
	c := Conflict{Kind: kind, A: f.ruleSide(a), B: f.ruleSide(b), Witness: region.witness(), Others: others, Why: why}
	c.Witness.Caller = distinguishingCaller(a.Callers, b.Callers)
	if kind == Equal || kind == Overlap {
		c.Decider = f.state.activeOwner(commonAncestor(f.state.ruleNode(a), f.state.ruleNode(b)))
	}
	f.report(c)
}

// distinguishingCaller returns a caller that is in only one of the two lists, if possible one of a, or the
// placeholder for any caller if there is none.
func distinguishingCaller(a, b []string) string {
	for _, lists := range [][2][]string{{a, b}, {b, a}} {
		for _, c := range lists[0] {
			if !slices.Contains(lists[1], c) {
				return c
			}
		}
	}
	return Selector{}.witness().Caller
}

func ruleDigest(r *rule) string { return hex.EncodeToString(r.digest[:8]) }

func formatValue(s Setting, v Value) string {
	switch {
	case v.N != nil:
		return fmt.Sprintf("%s %d", s, *v.N)
	case v.Share != nil:
		return fmt.Sprintf("%s share %d", s, *v.Share)
	}
	return fmt.Sprintf("%s %v", s, v.Callers)
}
