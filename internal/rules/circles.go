package rules

import (
	"fmt"
	"slices"
)

// checkGrants checks each grant against its parent grant, and searches for cycles of grants.
func (f *conflictFinder) checkGrants() {
	for _, g := range valuesOf[*grant](f.state, GrantKind) {
		if g.Under == "" {
			continue
		}
		parent, ok := lookupValue[*grant](f.state, GrantKind, g.Under)
		if !ok {
			if side, existed := f.removedSide(GrantKind, g.Under); existed {
				f.report(Conflict{Kind: Withdrawn, A: f.grantSide(g), B: side, Witness: g.selector.witness(),
					Why: "the grant above it is gone"})
			}
			continue
		}
		f.checkParentGrant(g, parent)
		f.checkGrantChain(g)
	}
}

// checkParentGrant checks that a grant stays within its parent grant.
func (f *conflictFinder) checkParentGrant(g, parent *grant) {
	region, overlap := g.selector.Meet(parent.selector)
	if !overlap {
		if old, ok := f.previousGrant(parent); ok && old.selector.Contains(g.selector) {
			f.report(Conflict{Kind: Withdrawn, A: f.grantSide(g), B: f.grantSide(old), Witness: g.selector.witness(),
				Why: "the grant above it is for another namespace now"})
		}
		return
	}
	c := Conflict{A: f.grantSide(g), B: f.grantSide(parent), Witness: region.witness()}
	grantNode, parentNode := f.state.nodes[g.In], f.state.nodes[parent.In]
	exceedsParent := grantNode == nil || parentNode == nil || grantNode != parentNode && !parentNode.isAncestorOf(grantNode)
	switch {
	case !parent.Pass:
		c.Kind, c.Why = Withdrawn, "the grant above it may not be passed on"
	case exceedsParent:
		c.Kind, c.Why = Looser, "it is for more than the grant above it"
	default:
		for _, s := range Settings() {
			if !g.coversSetting(s) {
				continue
			}
			if !parent.coversSetting(s) {
				c.Kind, c.Why = Looser, "the grant above it is not for "+string(s)
				break
			}
			allowed := parent.capFor(s)
			if allowed == nil {
				continue
			}
			if requested := g.capFor(s); requested == nil || isLooser(*requested, *allowed) {
				c.Kind, c.Why = Looser, fmt.Sprintf("the grant above it allows no more than %s", formatValue(s, *allowed))
				if requested != nil {
					c.Witness.Caller = distinguishingCaller(requested.Callers, allowed.Callers)
				}
				break
			}
		}
	}
	if c.Kind != "" {
		f.report(c)
	}
}

// checkGrantChain follows the parents of a grant up to the namespace owner. Reaching the same grant again is a
// cycle, and so is a team that receives a part of what it grants itself.
func (f *conflictFinder) checkGrantChain(g *grant) {
	chain := []*grant{g}
	for current := g; current.Under != ""; {
		next, ok := lookupValue[*grant](f.state, GrantKind, current.Under)
		if !ok {
			return
		}
		if slices.Contains(chain, next) {
			if next == g { // g is on the cycle, not only below it
				f.reportGrantCycle(g, chain, "the grants rest on each other")
			}
			return
		}
		if next.To == g.To {
			f.reportGrantCycle(g, append(chain, next), g.To+" would be given a part of what it gives away itself")
			return
		}
		chain = append(chain, next)
		current = next
	}
	last := chain[len(chain)-1]
	if last != g && f.state.grantor(last) == g.To {
		f.reportGrantCycle(g, chain, g.To+" would be given a part of what it gives away itself")
	}
}

// reportGrantCycle reports a cycle between g and the last grant of its chain, or the parent of g if the last one
// is a child of g.
func (f *conflictFinder) reportGrantCycle(g *grant, chain []*grant, why string) {
	other := chain[len(chain)-1]
	if next, ok := lookupValue[*grant](f.state, GrantKind, g.Under); ok && other.Under == g.Key {
		other = next
	}
	region, ok := g.selector.Meet(other.selector)
	if !ok {
		return // one of them exceeds its parent grant, which is reported already
	}
	c := Conflict{Kind: Circle, A: f.grantSide(g), B: f.grantSide(other), Witness: region.witness(), Why: why}
	for _, m := range chain {
		if m != g && m != other && len(c.Others) < 16 {
			c.Others = append(c.Others, m.Key)
		}
	}
	f.report(c)
}

// findDecisionCycles searches for three rules that take precedence over each other in a cycle. Checking cycles of
// three is enough: of any two rules that match a call one takes precedence, and selectors that intersect in pairs
// have a call common to all, so any longer cycle contains one of three. At least two of the three orderings come
// from decisions, and these share a rule, the middle one. If only is not nil, cycles without any of its rules are
// skipped.
func (f *conflictFinder) findDecisionCycles(only map[string]bool) {
	winners, losers := map[*rule][]*rule{}, map[*rule][]*rule{} // by decision: the rules that win against a rule, and those that lose
	for _, d := range valuesOf[*Decision](f.state, DecisionKind) {
		a, okA := lookupValue[*rule](f.state, RuleKind, d.A)
		b, okB := lookupValue[*rule](f.state, RuleKind, d.B)
		if !okA || !okB || f.state.ruleNode(a) == nil || f.state.ruleNode(b) == nil ||
			f.state.decisionWinner(a, b) == nil || !f.areOverlappingPeers(a, b) || !contradict(a, b) {
			continue
		}
		if f.state.takesPrecedence(b, a) {
			a, b = b, a
		}
		winners[b], losers[a] = append(winners[b], a), append(losers[a], b)
	}
	for middle, middleWinners := range winners {
		for _, p := range middleWinners {
			for _, q := range losers[middle] {
				if only != nil && !only[p.Key] && !only[q.Key] && !only[middle.Key] {
					continue
				}
				if _, overlap := p.In.Meet(q.In); overlap && p != q && f.state.takesPrecedence(q, p) {
					f.reportDecisionCycle(p, middle, q)
				}
			}
		}
	}
}

// areOverlappingPeers reports whether two rules are for the same setting, in namespaces that have calls in common
// and of which neither is an ancestor of the other.
func (f *conflictFinder) areOverlappingPeers(a, b *rule) bool {
	nodeA, nodeB := f.state.ruleNode(a), f.state.ruleNode(b)
	_, overlap := a.In.Meet(b.In)
	return a.Setting == b.Setting && overlap && !nodeA.isAncestorOf(nodeB) && !nodeB.isAncestorOf(nodeA)
}

// reportDecisionCycle reports a cycle of decisions, with the rules sorted by key so that the report does not
// depend on the order of the search.
func (f *conflictFinder) reportDecisionCycle(cycle ...*rule) {
	slices.SortFunc(cycle, func(a, b *rule) int {
		if a.Key < b.Key {
			return -1
		}
		return 1
	})
	region, _ := cycle[0].In.Meet(cycle[1].In)
	region, _ = region.Meet(cycle[2].In)
	f.report(Conflict{Kind: Circle, A: f.ruleSide(cycle[0]), B: f.ruleSide(cycle[1]), Others: []string{cycle[2].Key},
		Witness: region.witness(), Why: "decisions go round: each of the three holds over another"})
}
