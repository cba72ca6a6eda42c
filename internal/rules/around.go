package rules

import "burlpass/internal/record"

// findAffected reports the conflicts that changes to rules and decisions alone can cause. The state before the
// write must have had no conflict.
func (f *conflictFinder) findAffected(before *State, changes []record.Change) {
	affected := map[string]bool{} // keys of changed rules, and of rules whose decision changed
	for _, ch := range changes {
		if ch.Kind == RuleKind {
			affected[ch.Key] = true
			continue
		}
		for _, s := range []*State{before, f.state} {
			if d, ok := lookupValue[*Decision](s, DecisionKind, ch.Key); ok {
				affected[d.A], affected[d.B] = true, true
			}
		}
	}
	for key := range affected {
		k, err := ParseRuleKey(key)
		n := f.state.nodes[k.In.String()]
		if err != nil || n == nil {
			continue
		}
		i := k.Setting.index()
		for _, m := range f.state.preorder[n.start:n.end] { // a changed bound or limit affects the rules below it
			for _, r := range f.state.rulesByNode[m.start][i] {
				f.checkRule(m, r)
			}
		}
	}
	affectedLimits := map[string]bool{}
	for key := range affected { // a decision between two limits affects their shares too
		k, err := ParseRuleKey(key)
		n := f.state.nodes[k.In.String()]
		if err != nil || n == nil {
			continue
		}
		for _, r := range f.state.rulesByNode[n.start][k.Setting.index()] {
			affectedLimits[r.Key] = true
		}
		if limit := f.state.parentLimit(n, k.Setting.index()); limit != nil {
			affectedLimits[limit.Key] = true
		}
	}
	if len(affectedLimits) > 0 {
		f.checkShares(affectedLimits)
	}
	for key := range affected {
		r, ok := lookupValue[*rule](f.state, RuleKind, key)
		if !ok || f.state.ruleNode(r) == nil {
			continue
		}
		n := f.state.ruleNode(r)
		f.checkRule(n, r)
		for _, q := range f.state.rulesByNode[n.start][r.Setting.index()] {
			f.checkRule(n, q)
		}
		for _, m := range f.state.preorder {
			if rulesThere := f.state.rulesByNode[m.start][r.Setting.index()]; len(rulesThere) > 0 &&
				m != n && !m.isAncestorOf(n) && !n.isAncestorOf(m) {
				if _, overlap := n.Meet(m.Selector); overlap {
					for _, q := range rulesThere {
						f.checkPeerRules(r, q)
					}
				}
			}
		}
	}
	f.findDecisionCycles(affected)
}
