package rules

// parentLimit returns the limit that a share in a namespace divides: the effective rule for the setting of the
// nearest ancestor that has one. It returns nil if there is none.
func (state *State) parentLimit(n *node, setting int) *rule {
	for n = n.parentNode; n != nil; n = n.parentNode {
		if r := state.effectiveRule(n, setting); r != nil {
			return r
		}
	}
	return nil
}

// isOverruled reports whether a decision puts another rule of the same namespace in the place of a rule.
func (state *State) isOverruled(n *node, r *rule) bool {
	for _, q := range state.rulesByNode[n.start][r.Setting.index()] {
		if q != r && contradict(q, r) && state.decisionWinner(q, r) == q {
			return true
		}
	}
	return false
}

// resolvedValue returns the value of a rule, a share as the amount it comes to, rounded down. It returns false for
// a share without a limit.
func (state *State) resolvedValue(r *rule) (Value, bool) {
	if r.Share == nil {
		return r.Value, true
	}
	n := state.ruleNode(r)
	if n == nil {
		return Value{}, false
	}
	limit := state.parentLimit(n, r.Setting.index())
	if limit == nil {
		return Value{}, false
	}
	limitValue, ok := state.resolvedValue(limit)
	if !ok {
		return Value{}, false
	}
	part := *limitValue.N * *r.Share / 1000 // no overflow: at most 1e12 * 1000
	return Value{N: &part}, true
}

// decisionWinner returns the rule that a decision picks of two, nil if there is none. A decision applies only to
// the values that it was made for.
func (state *State) decisionWinner(a, b *rule) *rule {
	if a.Key > b.Key {
		a, b = b, a
	}
	d, ok := lookupValue[*Decision](state, DecisionKind, PairKey(a.Key, b.Key))
	switch {
	case !ok || d.ASum != ruleDigest(a) || d.BSum != ruleDigest(b):
		return nil
	case d.Pick == a.Key:
		return a
	}
	return b
}

// contradict reports whether two rules for the same setting contradict each other. Rules that differ only in what
// applies to processes that are cut off do, and so do any two limits of different namespaces: it must be clear
// which of them counts a call.
func contradict(a, b *rule) bool {
	return a.Mode != b.Mode || !equalValues(a.Value, b.Value) || a.cutOrDefault() != b.cutOrDefault() ||
		a.Setting.isFleetLimit() && a.In != b.In
}

// takesPrecedence reports whether a is effective instead of b for calls that both match.
func (state *State) takesPrecedence(a, b *rule) bool {
	nodeA, nodeB := state.ruleNode(a), state.ruleNode(b)
	if nodeB.isAncestorOf(nodeA) {
		return true
	}
	return !nodeA.isAncestorOf(nodeB) && contradict(a, b) && state.decisionWinner(a, b) == a
}
