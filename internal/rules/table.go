package rules

import (
	"bytes"
	"encoding/json"
	"slices"

	"burlpass/internal/lease"
	"burlpass/internal/record"
)

// Table is a state compiled for lookups by call. It is immutable and safe for concurrent use. A call uses the
// table that it started with until it ends.
type Table struct {
	version    record.Version
	hash       string
	state      *State // the state it was compiled from
	namespaces *namespaceIndex
	spans      []span                 // by preorder position of the namespace
	slots      []slot                 // by namespace and setting
	effective  []int32                // by namespace and setting: the effective slot, which may be inherited; -1 for none
	precedence map[int64]bool         // by two slots, the first<<32 | the second: a decision lets the first win against the second
	classes    map[string]classLimits // by name of the class
}

// span is the range of preorder positions of a namespace and its descendants.
type span struct{ start, end int32 }

// slot is the compiled rule of a namespace and a setting.
type slot struct {
	rule        *rule // nil if the namespace has no rule of its own, or a locked rule above replaces it
	value       Value // with shares resolved, and limited by the bounds above
	amount      int64 // the number of value
	limit       Value // the bound for rules below
	hasLimit    bool  // limit is set
	locked      bool
	parentLimit int32 // the slot of the next limit above that counts the call too; -1 for none
}

// classLimits are the limits of a Class.
type classLimits struct {
	attempts int64
	repeat   bool
}

// Compile builds the table of a state. It gives a result for states with conflicts too: of contradicting rules the
// stricter one is effective, then the one with the smaller key. version is only what Version returns and Lookup
// reports.
func Compile(s *State, version record.Version) *Table {
	return (*Table)(nil).Update(s, version)
}

// Update builds the table of a state like Compile, and reuses the parts of t that have not changed. If the
// namespaces are the same, only the subtrees below changed rules are computed again.
func (t *Table) Update(s *State, version record.Version) *Table {
	n := len(s.preorder)
	next := &Table{version: version, hash: s.Hash(), state: s, classes: map[string]classLimits{}, precedence: map[int64]bool{}}
	for _, e := range s.entries {
		if c, ok := e.value.(*Class); ok {
			next.classes[e.Key] = classLimits{c.Attempts, c.Repeat}
		}
	}
	sameTree := t != nil && (t.state.tree == s.tree || slices.EqualFunc(t.state.preorder, s.preorder, func(a, b *node) bool {
		return a.Selector == b.Selector && a.start == b.start && a.end == b.end
	}))
	if sameTree {
		next.namespaces, next.spans = t.namespaces, t.spans
		next.slots, next.effective = slices.Clone(t.slots), slices.Clone(t.effective)
	} else {
		next.namespaces = newNamespaceIndex(s.preorder)
		next.spans = make([]span, n)
		next.slots, next.effective = make([]slot, n*settingCount), make([]int32, n*settingCount)
		for i, namespaceNode := range s.preorder {
			next.spans[i] = span{int32(namespaceNode.start), int32(namespaceNode.end)}
		}
	}
	decisionsChanged := !sameTree || t.state.decisionDigest != s.decisionDigest
	for setting := range settingCount {
		for i := 0; i < n; i++ {
			if !decisionsChanged && slices.Equal(t.state.rulesByNode[i][setting], s.rulesByNode[i][setting]) {
				continue
			}
			for j := i; j < s.preorder[i].end; j++ {
				next.resolveSlot(s, s.preorder[j], setting)
			}
			i = s.preorder[i].end - 1
		}
	}
	next.recordDecisions(s)
	return next
}

// resolveSlot computes the slot of a namespace and a setting. Those of the parent must have been computed before.
func (t *Table) resolveSlot(s *State, n *node, setting int) {
	slotIndex := n.start*settingCount + setting
	inherited := int32(-1)
	if n.parentNode != nil {
		inherited = t.effective[n.parentNode.start*settingCount+setting]
	}
	t.effective[slotIndex], t.slots[slotIndex] = inherited, slot{parentLimit: -1}
	r := s.effectiveRule(n, setting)
	if r == nil {
		return
	}
	effective := slot{rule: r, value: r.Value, parentLimit: -1, locked: r.Mode == Locked}
	if inherited >= 0 {
		parent := &t.slots[inherited]
		if parent.locked {
			return
		}
		if r.Share != nil {
			amount := parent.amount * *r.Share / 1000
			effective.value = Value{N: &amount}
		}
		if parent.hasLimit {
			effective.value, effective.limit, effective.hasLimit = stricterValue(effective.value, parent.limit), parent.limit, true
		}
		effective.parentLimit = parent.parentLimit
		if parent.rule.Mode == Bound {
			effective.parentLimit = inherited
		}
	} else if r.Share != nil {
		return // a share without a limit has no effect
	}
	if effective.value.N != nil {
		effective.amount = *effective.value.N
	}
	if r.Mode != Default {
		effective.limit, effective.hasLimit = effective.value, true
	}
	for _, q := range s.rulesByNode[n.start][setting] { // contradicting rules without a decision still bind the rules below
		if q == r || q.Mode == Default || s.isOverruled(n, q) {
			continue
		}
		if v, ok := s.resolvedValue(q); ok {
			effective.locked = effective.locked || q.Mode == Locked
			if effective.hasLimit {
				v = stricterValue(v, effective.limit)
			}
			effective.limit, effective.hasLimit = v, true
		}
	}
	t.slots[slotIndex], t.effective[slotIndex] = effective, int32(slotIndex)
}

// effectiveRule returns which of the rules of a namespace for a setting is effective: the strictest of those that
// no decision overrules.
func (state *State) effectiveRule(n *node, setting int) *rule {
	candidates := state.rulesByNode[n.start][setting]
	switch len(candidates) {
	case 0:
		return nil
	case 1:
		return candidates[0]
	}
	notOverruled := slices.DeleteFunc(slices.Clone(candidates), func(r *rule) bool { return state.isOverruled(n, r) })
	if len(notOverruled) == 0 {
		notOverruled = candidates
	}
	best := notOverruled[0]
	for _, r := range notOverruled[1:] {
		if state.isStricter(r, best) {
			best = r
		}
	}
	return best
}

// isStricter reports whether rule a is stricter than rule b of the same namespace. It is false if they are equally
// strict, so that the smaller key comes first.
func (state *State) isStricter(a, b *rule) bool {
	valueA, okA := state.resolvedValue(a)
	valueB, okB := state.resolvedValue(b)
	if okA != okB {
		return okA
	}
	if okA && compareValues(valueA, valueB) != 0 {
		return compareValues(valueA, valueB) < 0
	}
	rank := func(m Mode) int { return slices.Index([]Mode{Locked, Bound, Default}, m) }
	return rank(a.Mode) < rank(b.Mode)
}

// compareValues returns -1 if a is stricter than b, 1 if it is looser, and 0 if they are equally strict. Lists of
// callers are compared by their length.
func compareValues(a, b Value) int {
	x, y := int64(len(a.Callers)), int64(len(b.Callers))
	if a.N != nil && b.N != nil {
		x, y = *a.N, *b.N
	}
	switch {
	case x < y:
		return -1
	case x > y:
		return 1
	}
	return 0
}

// recordDecisions fills precedence from the decisions of the state.
func (t *Table) recordDecisions(s *State) {
	for _, d := range valuesOf[*Decision](s, DecisionKind) {
		a, okA := lookupValue[*rule](s, RuleKind, d.A)
		b, okB := lookupValue[*rule](s, RuleKind, d.B)
		if !okA || !okB || a.Setting != b.Setting || !contradict(a, b) {
			continue
		}
		nodeA, nodeB := s.ruleNode(a), s.ruleNode(b)
		winner := s.decisionWinner(a, b)
		if nodeA == nil || nodeB == nil || nodeA == nodeB || winner == nil || nodeA.isAncestorOf(nodeB) || nodeB.isAncestorOf(nodeA) {
			continue // the tree may have changed since the decision
		}
		i, j := nodeA.start*settingCount+a.Setting.index(), nodeB.start*settingCount+b.Setting.index()
		if t.slots[i].rule != a || t.slots[j].rule != b {
			continue
		}
		if winner == b {
			i, j = j, i
		}
		t.precedence[int64(i)<<32|int64(j)] = true
	}
}

// Version returns the version of the record that the table was built for.
func (t *Table) Version() record.Version { return t.version }

// Hash returns the hash of the state. Tables of equal sets of items are equal.
func (t *Table) Hash() string { return t.hash }

// Bytes encodes the table without its version as lines of JSON: the hash, the effective rules of each namespace in
// preorder, the decisions, the classes. Equal sets of items give equal bytes.
func (t *Table) Bytes() []byte {
	var out bytes.Buffer
	enc := json.NewEncoder(&out)
	type settingLine struct {
		Setting Setting `json:"setting"`
		Rule    string  `json:"rule"`
		Mode    Mode    `json:"mode"`
		Value
		Cut  *lease.Cut `json:"cut,omitempty"`
		Also string     `json:"also,omitempty"` // the next limit above that counts the call too
	}
	type namespaceLine struct {
		In    string        `json:"in"`
		Holds []settingLine `json:"holds"`
	}
	enc.Encode(struct {
		Hash string `json:"hash"`
	}{t.hash})
	for i, n := range t.state.preorder {
		line := namespaceLine{In: n.key}
		for setting, name := range Settings() {
			slotIndex := t.effective[i*settingCount+setting]
			if slotIndex < 0 {
				continue
			}
			effective := &t.slots[slotIndex]
			settingEntry := settingLine{
				Setting: name, Rule: effective.rule.Key, Mode: effective.rule.Mode, Value: effective.value, Cut: effective.rule.Cut,
			}
			if effective.parentLimit >= 0 {
				settingEntry.Also = t.slots[effective.parentLimit].rule.Key
			}
			line.Holds = append(line.Holds, settingEntry)
		}
		enc.Encode(line)
	}
	var pairs []int64
	for p := range t.precedence {
		pairs = append(pairs, p)
	}
	slices.Sort(pairs)
	for _, p := range pairs {
		enc.Encode([]string{t.slots[p>>32].rule.Key, t.slots[p&0xffffffff].rule.Key})
	}
	enc.Encode(struct {
		Classes map[string][2]int64 `json:"classes"`
	}{t.classNumbers()})
	return out.Bytes()
}

func (t *Table) classNumbers() map[string][2]int64 {
	out := map[string][2]int64{} // encoding/json sorts the keys
	for k, l := range t.classes {
		n := [2]int64{l.attempts, 0}
		if l.repeat {
			n[1] = 1
		}
		out[k] = n
	}
	return out
}
