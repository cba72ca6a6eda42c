// Package rules implements the rules that teams set for the calls of the fleet: which team owns which namespace,
// what each team may set, which settings conflict, and which ones apply to a call. A call is a client's request.
// The package does no I/O and reads no clock; its results depend only on its arguments. docs/rules.md describes
// the design.
package rules

import (
	"slices"

	"burlpass/internal/lease"
	"burlpass/internal/record"
)

// The kinds of items in the record, with what their keys are.
const (
	TeamKind      record.Kind = "team"      // name
	ClassKind     record.Kind = "class"     // name of the class
	NamespaceKind record.Kind = "namespace" // selector
	GrantKind     record.Kind = "grant"     // name
	RuleKind      record.Kind = "rule"      // RuleKey
	DecisionKind  record.Kind = "decision"  // PairKey
)

// Kinds returns the kinds of items that this package defines, sorted.
func Kinds() []record.Kind {
	return []record.Kind{ClassKind, DecisionKind, GrantKind, NamespaceKind, RuleKind, TeamKind}
}

// Known reports whether a kind is one of Kinds.
func Known(k record.Kind) bool { return slices.Contains(Kinds(), k) }

// Setting is the property of calls that a rule sets.
type Setting string

// The settings. For all of them, less is stricter.
const (
	Rate     Setting = "rate"     // thousandths of a call per second, for the whole fleet
	Calls    Setting = "calls"    // concurrent calls, for the whole fleet
	Attempts Setting = "attempts" // maximum number per call
	Repeat   Setting = "repeat"   // 1 if a call may be sent again, else 0
	Deadline Setting = "deadline" // in ms
	Worth    Setting = "worth"    // 0 to 1000; under overload, calls of the least worth are shed first
	Callers  Setting = "callers"  // the callers that are allowed
)

// Settings returns all settings in the order of their indexes.
func Settings() []Setting {
	return []Setting{Rate, Calls, Attempts, Repeat, Deadline, Worth, Callers}
}

const settingCount = 7

func (s Setting) valid() bool { return s.index() >= 0 }

// index returns the position of the setting in Settings, -1 if it is unknown.
func (s Setting) index() int {
	switch s {
	case Rate:
		return 0
	case Calls:
		return 1
	case Attempts:
		return 2
	case Repeat:
		return 3
	case Deadline:
		return 4
	case Worth:
		return 5
	case Callers:
		return 6
	}
	return -1
}

// isFleetLimit reports whether the setting is a limit for the whole fleet, which can be divided by shares.
func (s Setting) isFleetLimit() bool { return s == Rate || s == Calls }

// valueRange returns the minimum and maximum value of the setting.
func (s Setting) valueRange() (minimum, maximum int64) {
	switch s {
	case Rate:
		return 0, 1e12
	case Calls:
		return 0, 1e9
	case Attempts:
		return 1, 100
	case Repeat:
		return 0, 1
	case Deadline:
		return 1, 3_600_000
	}
	return 0, 1000
}

// Mode is what a rule allows in the namespaces below it.
type Mode string

// The modes.
const (
	Default Mode = "default" // a rule below replaces it
	Bound   Mode = "bound"   // a rule below may only be stricter
	Locked  Mode = "locked"  // no rule may be set below
)

// Team is a team, which can own namespaces and hold grants.
type Team struct {
	Dissolved bool `json:"dissolved,omitempty"` // its namespaces belong to the owner of the parent
}

// Class has the limits of a class of calls, which rules can only make stricter.
type Class struct {
	Attempts int64 `json:"attempts"` // maximum, 1 to 100
	Repeat   bool  `json:"repeat"`   // calls may be sent again
}

// Namespace is a node in the tree of namespaces. Its key is its selector.
type Namespace struct {
	Parent string `json:"parent,omitempty"` // a selector; "" only for the root
	Owner  string `json:"owner"`            // a team
}

// Value is the value of a setting. Exactly one field is set.
type Value struct {
	N       *int64   `json:"value,omitempty"`   // in the setting's unit
	Share   *int64   `json:"share,omitempty"`   // for rate and calls: 1 to 1000 thousandths of the limit above
	Callers []string `json:"callers,omitempty"` // sorted; at most 64
}

// maxCallers is the maximum number of callers in a rule.
const maxCallers = 64

// Rule sets the value of a setting for a namespace.
type Rule struct {
	Mode  Mode       `json:"mode"`
	Value            // of the setting that the key names
	Cut   *lease.Cut `json:"cut,omitempty"`   // for rate and calls: what applies to processes that are cut off; lease.Nothing if nil
	Under string     `json:"under,omitempty"` // the grant that permits the rule; "" if its team owns the namespace
	Needs string     `json:"needs,omitempty"` // the API version that the rule requires
}

// Cap is the loosest value that a grant allows for a setting.
type Cap struct {
	Setting Setting `json:"setting"`
	Value
}

// Grant allows a team to write rules for a namespace and those below it.
type Grant struct {
	In       string    `json:"in"` // a selector
	To       string    `json:"to"` // a team
	Under    string    `json:"under,omitempty"`
	Pass     bool      `json:"pass,omitempty"`     // the team may give grants under this one
	Settings []Setting `json:"settings,omitempty"` // in the order of Settings; all if empty
	Caps     []Cap     `json:"caps,omitempty"`     // in the order of their settings; without shares
}

// Decision picks which of two rules is effective for calls that both match, where neither namespace is an ancestor
// of the other.
type Decision struct {
	A    string `json:"a"` // the keys of the rules, A < B
	B    string `json:"b"`
	ASum string `json:"a_sum"` // digests of the rules; the decision does not apply to other values
	BSum string `json:"b_sum"`
	Pick string `json:"pick"` // A or B
	Why  string `json:"why,omitempty"`
}

func (g *Grant) coversSetting(s Setting) bool {
	return len(g.Settings) == 0 || slices.Contains(g.Settings, s)
}

// stricterValue returns the stricter of two values, neither of which is a share. For lists of callers it is their
// intersection.
func stricterValue(a, b Value) Value {
	if a.N != nil && b.N != nil {
		if *b.N < *a.N {
			return b
		}
		return a
	}
	out := Value{Callers: []string{}}
	for _, c := range a.Callers {
		if slices.Contains(b.Callers, c) {
			out.Callers = append(out.Callers, c)
		}
	}
	return out
}

// isLooser reports whether a allows anything that b does not.
func isLooser(a, b Value) bool {
	if a.N != nil && b.N != nil {
		return *a.N > *b.N
	}
	return slices.ContainsFunc(a.Callers, func(c string) bool { return !slices.Contains(b.Callers, c) })
}

func equalValues(a, b Value) bool {
	equalInts := func(p, q *int64) bool { return (p == nil) == (q == nil) && (p == nil || *p == *q) }
	return equalInts(a.N, b.N) && equalInts(a.Share, b.Share) && slices.Equal(a.Callers, b.Callers)
}
