package rules

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"

	"burlpass/internal/record"
)

// itemKey identifies an item of the record.
type itemKey struct {
	kind record.Kind
	key  string
}

// entry is a decoded item. It is immutable and shared by all states that contain it.
type entry struct {
	record.Item
	past    []Past
	current json.RawMessage // nil if no value is in force
	digest  [sha256.Size]byte
	value   any // *Team, *Class, *namespace, *grant, *rule or *Decision; nil if current is nil
}

// namespace is a Namespace with its key and the selector parsed from it.
type namespace struct {
	key string
	Selector
	Namespace
}

// grant is a Grant with its entry and its parsed selector.
type grant struct {
	*entry
	Grant
	selector Selector
}

// rule is a Rule with its entry and its parsed key.
type rule struct {
	*entry
	RuleKey
	Rule
	namespaceKey string // the namespace part of the key
}

func parseEntry(i record.Item) (*entry, error) {
	var parsed storedValue
	if err := decodeJSON(i.Value, &parsed); err != nil {
		return nil, fmt.Errorf("%s %s: %w", i.Kind, i.Key, err)
	}
	past, current := parsed.Past, parsed.Now
	if isNull(current) {
		current = nil
	}
	e := &entry{Item: i, past: past, current: current}
	if current == nil {
		return e, nil
	}
	e.digest = itemDigest(i.Kind, i.Key, current)
	v, err := decodeValue(i.Kind, i.Key, current, decodeJSON)
	if err != nil {
		return nil, fmt.Errorf("%s %s: %w", i.Kind, i.Key, err)
	}
	switch v := v.(type) {
	case *Namespace:
		sel, _ := ParseSelector(i.Key)
		e.value = &namespace{i.Key, sel, *v}
	case *Grant:
		in, _ := ParseSelector(v.In)
		e.value = &grant{e, *v, in}
	case *Rule:
		parsed, _ := ParseRuleKey(i.Key)
		e.value = &rule{e, parsed, *v, i.Key[:strings.IndexByte(i.Key, '#')]}
	default:
		e.value = v
	}
	return e, nil
}

// node is a namespace in the tree of a state.
type node struct {
	*namespace
	parentNode *node // nil for the root, and if the parent does not exist or does not contain the namespace
	children   []*node
	start, end int // position in preorder; descendants have positions from start+1 to end-1
}

// isAncestorOf reports whether n is a proper ancestor of m.
func (n *node) isAncestorOf(m *node) bool { return n.start < m.start && m.start < n.end }

// tree is the tree of the namespaces of a state. States with the same namespaces share it.
type tree struct {
	nodes    map[string]*node
	preorder []*node // parents before children, siblings by key
}

// State is an immutable set of decoded and indexed items.
type State struct {
	*tree
	entries        map[itemKey]*entry
	rulesByNode    [][settingCount][]*rule // by preorder position of the namespace, and setting; sorted by key
	orphanedRules  []*rule                 // rules whose namespace does not exist
	digest         [4]uint64               // sum of the digests of all current values
	decisionDigest [4]uint64               // the same, of decisions only
}

// clone returns a copy that can be changed by put until it is published.
func (state *State) clone() *State {
	return &State{
		tree:           state.tree,
		entries:        maps.Clone(state.entries),
		rulesByNode:    slices.Clone(state.rulesByNode),
		orphanedRules:  slices.Clone(state.orphanedRules),
		digest:         state.digest,
		decisionDigest: state.decisionDigest,
	}
}

// put sets the entry of a key, or removes it if e is nil. It does not update the tree.
func (state *State) put(key itemKey, e *entry) {
	if old := state.entries[key]; old != nil && old.value != nil {
		state.updateSums(old, -1)
		state.updateRuleLists(old, false)
	}
	delete(state.entries, key)
	if e == nil {
		return
	}
	state.entries[key] = e
	if e.value != nil {
		state.updateSums(e, 1)
		state.updateRuleLists(e, true)
	}
}

// With returns the state after changes that are applied in a version. It fails if a value cannot be decoded. If no
// namespace changes, it costs little more than copying the indexes.
func (state *State) With(changes []record.Change, version record.Version) (*State, error) {
	out := state.clone()
	namespacesChanged := false
	for _, c := range changes {
		if !slices.Contains(Kinds(), c.Kind) {
			continue
		}
		namespacesChanged = namespacesChanged || c.Kind == NamespaceKind
		var e *entry
		if c.Value != nil {
			var err error
			if e, err = parseEntry(record.Item{Kind: c.Kind, Key: c.Key, Value: c.Value, Version: version}); err != nil {
				return nil, err
			}
		}
		out.put(itemKey{c.Kind, c.Key}, e)
	}
	if namespacesChanged {
		return newState(out.entries), nil
	}
	return out, nil
}

// updateRuleLists adds a rule to the list of its namespace, or removes it if it is not present any more. The list
// is copied, since other states share it. Entries of other kinds are ignored.
func (state *State) updateRuleLists(e *entry, present bool) {
	r, ok := e.value.(*rule)
	if !ok {
		return
	}
	list := &state.orphanedRules
	if n := state.ruleNode(r); n != nil {
		list = &state.rulesByNode[n.start][r.Setting.index()]
	}
	*list = slices.DeleteFunc(slices.Clone(*list), func(q *rule) bool { return q.Key == r.Key })
	if present {
		i, _ := slices.BinarySearchFunc(*list, r.Key, func(q *rule, key string) int { return cmp.Compare(q.Key, key) })
		*list = slices.Insert(*list, i, r)
	}
}

// newState indexes entries: it builds the tree of namespaces and assigns the rules to its nodes.
func newState(entries map[itemKey]*entry) *State {
	s := &State{tree: &tree{nodes: map[string]*node{}}, entries: entries}
	var rules []*rule
	for _, e := range entries {
		if e.value == nil {
			continue
		}
		s.updateSums(e, 1)
		switch v := e.value.(type) {
		case *namespace:
			s.nodes[v.key] = &node{namespace: v}
		case *rule:
			rules = append(rules, v)
		}
	}
	s.build()
	s.rulesByNode = make([][settingCount][]*rule, len(s.preorder))
	for _, r := range rules {
		list := &s.orphanedRules
		if n := s.ruleNode(r); n != nil {
			list = &s.rulesByNode[n.start][r.Setting.index()]
		}
		*list = append(*list, r)
	}
	byKey := func(a, b *rule) int { return cmp.Compare(a.Key, b.Key) }
	for i := range s.rulesByNode {
		for j := range s.rulesByNode[i] {
			slices.SortFunc(s.rulesByNode[i][j], byKey)
		}
	}
	slices.SortFunc(s.orphanedRules, byKey)
	return s
}

// build links the nodes and puts them in preorder.
func (t *tree) build() {
	var roots []*node
	sorted := slices.SortedFunc(maps.Values(t.nodes), func(a, b *node) int { return cmp.Compare(a.key, b.key) })
	for _, n := range sorted {
		if parent := t.nodes[n.Parent]; parent != nil && parent != n && parent.Contains(n.Selector) {
			n.parentNode = parent
			parent.children = append(parent.children, n)
		} else {
			roots = append(roots, n)
		}
	}
	var walk func(n *node)
	walk = func(n *node) {
		n.start = len(t.preorder)
		t.preorder = append(t.preorder, n)
		for _, child := range n.children {
			walk(child)
		}
		n.end = len(t.preorder)
	}
	for _, n := range roots {
		walk(n)
	}
}

// updateSums adds the digest of an entry to the sums, or subtracts it if sign is negative. The result does not
// depend on the order of the entries.
func (state *State) updateSums(e *entry, sign int) {
	for i := range state.digest {
		lane := binary.BigEndian.Uint64(e.digest[8*i:])
		if sign < 0 {
			lane = -lane
		}
		state.digest[i] += lane
		if e.Kind == DecisionKind {
			state.decisionDigest[i] += lane
		}
	}
}

// Hash returns a digest of all current values in hex. Equal sets have equal hashes, whatever their history. It
// detects accidental differences; it is not collision resistant against chosen items.
func (state *State) Hash() string {
	return fmt.Sprintf("%016x%016x%016x%016x", state.digest[0], state.digest[1], state.digest[2], state.digest[3])
}

// lookupValue returns the current value under a key, or false if there is none.
func lookupValue[T any](s *State, kind record.Kind, key string) (T, bool) {
	var zero T
	e := s.entries[itemKey{kind, key}]
	if e == nil || e.value == nil {
		return zero, false
	}
	v, ok := e.value.(T)
	return v, ok
}

// valuesOf returns the current values of a kind, sorted by key.
func valuesOf[T any](s *State, kind record.Kind) []T {
	var entries []*entry
	for key, e := range s.entries {
		if key.kind == kind && e.value != nil {
			entries = append(entries, e)
		}
	}
	slices.SortFunc(entries, func(a, b *entry) int { return cmp.Compare(a.Key, b.Key) })
	out := make([]T, len(entries))
	for i, e := range entries {
		out[i] = e.value.(T)
	}
	return out
}

// isActiveTeam reports whether the team exists and is not dissolved.
func (state *State) isActiveTeam(team string) bool {
	t, ok := lookupValue[*Team](state, TeamKind, team)
	return ok && !t.Dissolved
}

// Owner returns the team that owns a namespace, or false if the namespace does not exist or neither it nor an
// ancestor has an active owner.
func (state *State) Owner(selector string) (string, bool) {
	owner := state.activeOwner(state.nodes[selector])
	return owner, owner != ""
}

// OwnerOf returns the team that owns the namespace of a selector, or the owner of the root if the namespace does
// not exist any more. It returns "" if there is no root.
func (state *State) OwnerOf(in Selector) string {
	if owner, ok := state.Owner(in.String()); ok {
		return owner
	}
	return state.rootOwner()
}

// activeOwner returns the nearest active team that owns the namespace or an ancestor, "" if there is none.
func (state *State) activeOwner(n *node) string {
	for ; n != nil; n = n.parentNode {
		if state.isActiveTeam(n.Owner) {
			return n.Owner
		}
	}
	return ""
}

// grantHolder returns the team that holds a grant: the one it names, or the one that gave it if the former is
// dissolved. In a cycle of dissolved teams, which no accepted write causes, it is the owner of the namespace.
func (state *State) grantHolder(g *grant) string {
	start := g
	for range len(state.entries) {
		if state.isActiveTeam(g.To) {
			return g.To
		}
		parent, ok := lookupValue[*grant](state, GrantKind, g.Under)
		if !ok {
			return state.activeOwner(state.nodes[g.In])
		}
		g = parent
	}
	return state.activeOwner(state.nodes[start.In])
}

// grantor returns the team that gave a grant and may change it.
func (state *State) grantor(g *grant) string {
	if parent, ok := lookupValue[*grant](state, GrantKind, g.Under); ok {
		return state.grantHolder(parent)
	}
	return state.activeOwner(state.nodes[g.In])
}

// ruleOwner returns the team that a rule belongs to.
func (state *State) ruleOwner(r *rule) string {
	if g, ok := lookupValue[*grant](state, GrantKind, r.Under); ok {
		return state.grantHolder(g)
	}
	return state.activeOwner(state.ruleNode(r))
}

func (state *State) ruleNode(r *rule) *node { return state.nodes[r.namespaceKey] }

// commonAncestor returns the nearest namespace that is, or is an ancestor of, each of the two. It returns nil if
// there is none.
func commonAncestor(a, b *node) *node {
	for ; a != nil && b != nil && a != b && !a.isAncestorOf(b); a = a.parentNode {
	}
	if b == nil {
		return nil
	}
	return a
}
