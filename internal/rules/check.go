package rules

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"burlpass/internal/record"
)

// Answer is the result of checking a write of rules. The write is accepted if there are no faults and no conflicts.
//
// The texts of faults and conflicts become part of the results that the record stores and hashes, so all voters
// have to produce the same ones.
type Answer struct {
	Faults    []string   `json:"faults,omitempty"`    // errors in the write itself, each with its location
	Conflicts []Conflict `json:"conflicts,omitempty"` // with the current items, or among the changes of the write
}

// Err returns the first fault, else the first conflict, else nil.
func (a Answer) Err() error {
	if len(a.Faults) > 0 {
		return fmt.Errorf("%s", a.Faults[0])
	}
	if len(a.Conflicts) > 0 {
		return a.Conflicts[0]
	}
	return nil
}

// checker validates a write against the states before and after it.
type checker struct {
	before, after *State
	write         *record.Write
	team          string // the team that makes the write
	changes       []record.Change
	faults        []string
}

// Check returns the faults and conflicts of a write whose values are canonical. after must be
// before.With(write.Changes). The answer depends on the states, the write and env only. If there are faults,
// conflicts are not searched for.
func Check(before, after *State, write *record.Write, env Env) Answer {
	c := &checker{before: before, after: after, write: write}
	c.team, _, _ = strings.Cut(write.By, "/")
	for _, change := range write.Changes {
		if slices.Contains(Kinds(), change.Kind) {
			c.changes = append(c.changes, change)
		}
	}
	c.checkStructure()
	for i, change := range c.changes {
		if fault := c.checkChange(change); fault != "" {
			c.faults = append(c.faults, fmt.Sprintf("changes[%d]: %s %s: %s", i, change.Kind, change.Key, fault))
		}
	}
	if len(c.faults) > 0 {
		return Answer{Faults: c.faults}
	}
	f := &conflictFinder{state: after, before: before, env: env, conflicts: map[string]Conflict{}}
	if c.changesOnlyRules() {
		f.findAffected(before, c.changes)
	} else {
		f.findAll()
	}
	conflicts := f.sorted()
	for i := range conflicts {
		conflicts[i].Together = c.isConcurrent(&conflicts[i])
	}
	return Answer{Conflicts: conflicts}
}

// changesOnlyRules reports whether the write changes only rules and decisions, so that the tree and all ownership
// stay the same.
func (c *checker) changesOnlyRules() bool {
	return !slices.ContainsFunc(c.changes, func(change record.Change) bool {
		return change.Kind != RuleKind && change.Kind != DecisionKind
	})
}

// isConcurrent reports whether an item of the conflict that the write does not change was set after the write's
// base version.
func (c *checker) isConcurrent(conflict *Conflict) bool {
	changed, newer := false, false
	inspect := func(kind record.Kind, key string) {
		if slices.ContainsFunc(c.changes, func(change record.Change) bool { return change.Kind == kind && change.Key == key }) {
			changed = true
		} else if e := c.after.entries[itemKey{kind, key}]; e != nil && e.Version > c.write.Base {
			newer = true
		}
	}
	inspect(conflict.A.Kind, conflict.A.Key)
	inspect(conflict.B.Kind, conflict.B.Key)
	for _, o := range conflict.Others {
		inspect(conflict.A.Kind, o)
	}
	return changed && newer
}

// checkStructure validates what must hold in the new state whatever has changed: the namespaces form one tree, the
// owner of the root is an active team, and every team and namespace that is referred to exists.
func (c *checker) checkStructure() {
	s := c.after
	addFault := func(format string, args ...any) { c.faults = append(c.faults, fmt.Sprintf(format, args...)) }
	root := s.nodes[Selector{}.String()]
	switch {
	case root == nil:
		addFault("namespace */*/*: there must be a root")
	case !s.isActiveTeam(root.Owner):
		addFault("team %s: it owns the root, and must be there", root.Owner)
	}
	for _, n := range s.preorder {
		if n.parentNode == nil && n != root {
			addFault("namespace %s: parent %.60q is not there, or does not contain it", n.key, n.Parent)
		}
		if _, ok := lookupValue[*Team](s, TeamKind, n.Owner); !ok {
			addFault("namespace %s: team %s is not there", n.key, n.Owner)
		}
	}
	for _, r := range s.orphanedRules {
		addFault("rule %s: its namespace is not there", r.Key)
	}
	for _, g := range valuesOf[*grant](s, GrantKind) {
		if _, ok := lookupValue[*Team](s, TeamKind, g.To); !ok || s.nodes[g.In] == nil {
			addFault("grant %s: team %s or namespace %s is not there", g.Key, g.To, g.In)
		}
	}
}

// checkChange validates a single change: its history, the permission of the writing team, and its references. It
// returns the fault, or "" if there is none.
func (c *checker) checkChange(change record.Change) string {
	key := itemKey{change.Kind, change.Key}
	oldEntry, newEntry := c.before.entries[key], c.after.entries[key]
	if fault := c.checkHistory(oldEntry, newEntry); fault != "" {
		return fault
	}
	if !c.after.isActiveTeam(c.team) && !c.before.isActiveTeam(c.team) {
		return fmt.Sprintf("by: %.40q is not TEAM or TEAM/..., of a team that is there", c.write.By)
	}
	before, after := entryValue(oldEntry), entryValue(newEntry)
	if before == nil && after == nil { // removes the history of a deleted item: any active team may do so
		return ""
	}
	switch change.Kind {
	case TeamKind:
		return c.checkTeamChange(change.Key, after)
	case ClassKind:
		return c.requireTeam(c.after.rootOwner())
	case NamespaceKind:
		return c.checkNamespaceChange(change.Key, before, after)
	case GrantKind:
		return c.checkGrantChange(before, after)
	case RuleKind:
		return c.checkRuleChange(before, after)
	}
	return c.checkDecisionChange(before, after)
}

func entryValue(e *entry) any {
	if e == nil {
		return nil
	}
	return e.value
}

func (state *State) rootOwner() string { return state.activeOwner(state.nodes[Selector{}.String()]) }

// checkHistory requires that a new value extends the history of the old one.
func (c *checker) checkHistory(oldEntry, newEntry *entry) string {
	switch {
	case newEntry == nil && oldEntry != nil && oldEntry.current != nil:
		return "it must be set to \"now\":null, which keeps its history, before it is taken away"
	case newEntry == nil:
		return ""
	case oldEntry == nil:
		if len(newEntry.past) > 0 {
			return "past: there is none"
		}
		return ""
	}
	replaced := oldEntry.current
	if replaced == nil {
		replaced = json.RawMessage("null")
	}
	want := append(slices.Clone(oldEntry.past), Past{replaced, c.write.By})
	want = want[max(0, len(want)-maxPast):]
	if !slices.EqualFunc(want, newEntry.past, func(a, b Past) bool { return a.By == b.By && bytes.Equal(a.Was, b.Was) }) {
		return fmt.Sprintf("past: it must end with what is there now, replaced by %q, and have what was before, %d at most",
			c.write.By, maxPast)
	}
	return ""
}

// requireTeam returns a fault unless the write is made by one of the teams.
func (c *checker) requireTeam(teams ...string) string {
	if slices.Contains(teams, c.team) {
		return ""
	}
	return fmt.Sprintf("it is for %s to change, not for %s", strings.Join(slices.Compact(teams), " or "), c.team)
}
