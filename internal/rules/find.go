package rules

import "fmt"

// findAll reports every conflict of the state.
func (f *conflictFinder) findAll() {
	for _, n := range f.state.preorder {
		for i := range settingCount {
			for _, r := range f.state.rulesByNode[n.start][i] {
				f.checkRule(n, r)
			}
		}
	}
	f.checkShares(nil)
	f.checkAllPeers()
	f.checkGrants()
	f.findDecisionCycles(nil)
}

// checkRule checks a rule against all that it depends on: the other rules of its namespace and those above, the
// class, its grant, the limit that it is a share of, and the API version it requires.
func (f *conflictFinder) checkRule(n *node, r *rule) {
	i := r.Setting.index()
	for _, q := range f.state.rulesByNode[n.start][i] {
		if q.Key > r.Key && contradict(r, q) && f.state.decisionWinner(r, q) == nil {
			f.reportPair(Equal, r, q, "both set "+string(r.Setting)+" for the same namespace")
		}
	}
	value, resolved := f.state.resolvedValue(r)
	for ancestor := n.parentNode; ancestor != nil; ancestor = ancestor.parentNode {
		for _, q := range f.state.rulesByNode[ancestor.start][i] {
			limit, limitResolved := f.state.resolvedValue(q)
			switch {
			case f.state.isOverruled(ancestor, q): // a decision puts another rule in its place
			case q.Mode == Locked:
				f.reportPair(Below, r, q, "nothing may be set below a rule that is locked")
			case q.Mode == Bound && resolved && limitResolved && isLooser(value, limit):
				f.reportPair(Looser, r, q, fmt.Sprintf("%s is looser than the bound, %s",
					formatValue(r.Setting, value), formatValue(r.Setting, limit)))
			}
		}
	}
	f.checkClass(n, r)
	if r.Under != "" {
		f.checkRuleGrant(n, r, value, resolved)
	}
	if r.Share != nil && f.state.parentLimit(n, i) == nil {
		f.reportMissingLimit(n, r)
	}
	if f.env.Retired != nil && r.Needs != "" {
		for _, t := range f.env.Retired(r.Needs) {
			f.reportRetiredVersion(r, t)
		}
	}
}

// reportRetiredVersion reports a rule that requires a version, if the timeline retires that for some of its calls.
func (f *conflictFinder) reportRetiredVersion(r *rule, t Timeline) {
	if region, overlap := t.In.Meet(r.In); overlap {
		f.report(Conflict{Kind: Retired, A: f.ruleSide(r), B: Side{Kind: "timeline", Key: t.Key, Owner: f.state.OwnerOf(t.In)},
			Witness: region.witness(), Why: "it needs version " + r.Needs + ", which ends"})
	}
}

// Resting returns the conflicts that a timeline of a version would have with the rules that require the version.
func (state *State) Resting(version string, t Timeline) []Conflict {
	f := &conflictFinder{state: state, conflicts: map[string]Conflict{}}
	for _, e := range state.entries {
		if r, ok := e.value.(*rule); ok && r.Needs == version {
			f.reportRetiredVersion(r, t)
		}
	}
	return f.sorted()
}

// checkClass checks a rule against the class of its namespace. For rules that match any class, Table.Lookup
// applies the limits of the class to each call instead.
func (f *conflictFinder) checkClass(n *node, r *rule) {
	c, ok := lookupValue[*Class](f.state, ClassKind, n.Class)
	if !ok || r.N == nil {
		return
	}
	repeat := int64(0)
	if c.Repeat {
		repeat = 1
	}
	if r.Setting == Attempts && *r.N > c.Attempts || r.Setting == Repeat && *r.N > repeat {
		e := f.state.entries[itemKey{ClassKind, n.Class}]
		side := Side{Kind: ClassKind, Key: n.Class, Owner: f.state.rootOwner(), Value: e.current}
		f.report(Conflict{Kind: Looser, A: f.ruleSide(r), B: side, Witness: n.witness(),
			Why: fmt.Sprintf("class %s allows %d attempts, repeat %d", n.Class, c.Attempts, repeat)})
	}
}

// reportMissingLimit reports a share whose limit was removed, together with that limit. A new share without a
// limit is not reported here: it is a fault of the write.
func (f *conflictFinder) reportMissingLimit(n *node, r *rule) {
	if f.before == nil {
		f.report(Conflict{Kind: Withdrawn, A: f.ruleSide(r), Witness: n.witness(), Why: "it is a share of no limit"})
		return
	}
	previous := f.before.nodes[n.key]
	if previous == nil {
		return
	}
	if limit := f.before.parentLimit(previous, r.Setting.index()); limit != nil {
		if side, ok := f.removedSide(RuleKind, limit.Key); ok {
			f.report(Conflict{Kind: Withdrawn, A: f.ruleSide(r), B: side, Witness: n.witness(),
				Why: "the limit that it is a share of is gone"})
		}
	}
}

// checkRuleGrant checks a rule against the grant that permits it.
func (f *conflictFinder) checkRuleGrant(n *node, r *rule, value Value, resolved bool) {
	g, found := lookupValue[*grant](f.state, GrantKind, r.Under)
	if !found {
		if side, existed := f.removedSide(GrantKind, r.Under); existed {
			f.report(Conflict{Kind: Withdrawn, A: f.ruleSide(r), B: side, Witness: n.witness(), Why: "the grant under it is gone"})
		}
		return
	}
	region, overlap := g.selector.Meet(n.Selector)
	if !overlap {
		if old, found := f.previousGrant(g); found && old.selector.Contains(n.Selector) { // the grant was moved to another namespace
			f.report(Conflict{Kind: Withdrawn, A: f.ruleSide(r), B: f.grantSide(old), Witness: n.witness(),
				Why: "the grant is for another namespace now"})
		}
		return
	}
	c := Conflict{A: f.ruleSide(r), B: f.grantSide(g), Witness: region.witness()}
	grantNode := f.state.nodes[g.In]
	allowed := g.capFor(r.Setting)
	switch {
	case grantNode == nil || grantNode != n && !grantNode.isAncestorOf(n):
		c.Kind, c.Why = Withdrawn, "the grant is not for this namespace"
	case !g.coversSetting(r.Setting):
		c.Kind, c.Why = Withdrawn, "the grant is not for "+string(r.Setting)
	case allowed != nil && resolved && isLooser(value, *allowed):
		c.Kind, c.Why = Looser, fmt.Sprintf("%s is looser than the grant allows, %s",
			formatValue(r.Setting, value), formatValue(r.Setting, *allowed))
		c.Witness.Caller = distinguishingCaller(value.Callers, allowed.Callers)
	default:
		return
	}
	f.report(c)
}

// previousGrant returns a grant as it was before the write.
func (f *conflictFinder) previousGrant(g *grant) (*grant, bool) {
	if f.before == nil {
		return nil, false
	}
	return lookupValue[*grant](f.before, GrantKind, g.Key)
}

func (g *Grant) capFor(s Setting) *Value {
	for i := range g.Caps {
		if g.Caps[i].Setting == s {
			return &g.Caps[i].Value
		}
	}
	return nil
}

// checkShares checks that the shares of each limit, together with its reserve for processes that are cut off, are
// no more than the whole. If a namespace has several rules for the setting, only the effective one counts. If only
// is not nil, limits that are not in it are skipped.
func (f *conflictFinder) checkShares(only map[string]bool) {
	type total struct {
		sum   int64
		parts []*rule
	}
	for _, setting := range []Setting{Rate, Calls} {
		i := setting.index()
		totals := map[*rule]*total{}
		var limits []*rule
		for _, n := range f.state.preorder {
			r := f.state.effectiveRule(n, i)
			if r == nil || r.Share == nil {
				continue
			}
			limit := f.state.parentLimit(n, i)
			if limit == nil || only != nil && !only[limit.Key] {
				continue
			}
			if totals[limit] == nil {
				totals[limit] = &total{sum: limit.cutOrDefault().Share}
				limits = append(limits, limit)
			}
			totals[limit].sum += *r.Share
			totals[limit].parts = append(totals[limit].parts, r)
		}
		for _, limit := range limits {
			limitTotal := totals[limit]
			if limitTotal.sum <= 1000 {
				continue
			}
			newest := 0 // the share that was set last; of several set in one write, the first in preorder
			for j, p := range limitTotal.parts {
				if p.Version > limitTotal.parts[newest].Version {
					newest = j
				}
			}
			var others []string
			for j, p := range limitTotal.parts {
				if j != newest && len(others) < 16 {
					others = append(others, p.Key)
				}
			}
			f.reportPair(Shares, limitTotal.parts[newest], limit,
				fmt.Sprintf("the shares of it%s come to %d thousandths", reserveText(limit), limitTotal.sum), others...)
		}
	}
}

// reserveText describes the reserve of a limit in the message about its shares, "" if it has none.
func reserveText(limit *rule) string {
	if share := limit.cutOrDefault().Share; share > 0 {
		return fmt.Sprintf(" and its reserve of %d", share)
	}
	return ""
}

// checkAllPeers checks all pairs of namespaces that have rules for contradicting rules. Only namespaces of the
// same island, or for any island, can overlap.
func (f *conflictFinder) checkAllPeers() {
	byIsland := map[string][]*node{}
	var nodesWithRules []*node
	for _, n := range f.state.preorder {
		for i := range settingCount {
			if len(f.state.rulesByNode[n.start][i]) > 0 {
				nodesWithRules = append(nodesWithRules, n)
				byIsland[n.Island] = append(byIsland[n.Island], n)
				break
			}
		}
	}
	for _, n := range nodesWithRules {
		if n.Island == "" {
			for _, m := range nodesWithRules {
				f.checkPeerNamespaces(n, m)
			}
			continue
		}
		for _, m := range byIsland[n.Island] {
			f.checkPeerNamespaces(n, m)
		}
	}
}

// checkPeerNamespaces checks all rules of two namespaces against each other. The order of the arguments does not
// matter.
func (f *conflictFinder) checkPeerNamespaces(n, m *node) {
	if n == m || n.isAncestorOf(m) || m.isAncestorOf(n) {
		return
	}
	if _, ok := n.Meet(m.Selector); !ok {
		return
	}
	for i := range settingCount {
		for _, a := range f.state.rulesByNode[n.start][i] {
			for _, b := range f.state.rulesByNode[m.start][i] {
				f.checkPeerRules(a, b)
			}
		}
	}
}

// checkPeerRules checks two rules for the same setting in overlapping namespaces of which neither is an ancestor
// of the other.
func (f *conflictFinder) checkPeerRules(a, b *rule) {
	if !contradict(a, b) || f.state.decisionWinner(a, b) != nil {
		return
	}
	kind, why := Equal, "both set "+string(a.Setting)+" for this call, and neither stands above the other"
	if f.state.ruleOwner(a) != f.state.ruleOwner(b) {
		kind = Overlap
	}
	f.reportPair(kind, a, b, why)
}
