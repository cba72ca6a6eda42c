package rules

import (
	"fmt"
)

// checkTeamChange allows the owner of the root to change any team, and a team to dissolve itself.
func (c *checker) checkTeamChange(key string, newValue any) string {
	root := c.before.rootOwner()
	if root == "" {
		root = c.after.rootOwner() // the very first write
	}
	if t, ok := newValue.(*Team); ok && t.Dissolved {
		return c.requireTeam(root, key)
	}
	return c.requireTeam(root)
}

func (c *checker) checkNamespaceChange(key string, oldValue, newValue any) string {
	old, _ := oldValue.(*namespace)
	now, _ := newValue.(*namespace)
	if now == nil {
		return c.requireTeam(c.before.activeOwner(c.before.nodes[key]))
	}
	if (now.Parent == "") != (key == Selector{}.String()) {
		return "parent: the root has none, and every other namespace has one"
	}
	n := c.after.nodes[key]
	if old == nil || old.Parent != now.Parent {
		if n.parentNode != nil {
			if fault := checkNearestParent(n); fault != "" {
				return fault
			}
		}
	}
	if (old == nil || old.Owner != now.Owner) && !c.after.isActiveTeam(now.Owner) {
		return fmt.Sprintf("owner: team %s is not there, or is dissolved", now.Owner)
	}
	switch {
	case n.parentNode == nil && old == nil:
		return c.requireTeam(now.Owner) // the very first write
	case old == nil:
		return c.requireTeam(c.ownerBeforeWrite(n.parentNode))
	case old.Parent == now.Parent:
		return c.requireTeam(c.before.activeOwner(c.before.nodes[key]))
	}
	// The namespace moves below another parent, possibly one that is created in the same write. The owner of the
	// old parent may do this if it also owns the new one.
	if old.Owner != now.Owner {
		return "a namespace is moved, or given to another team; both at once is for two writes"
	}
	if fault := c.requireTeam(c.before.activeOwner(c.before.nodes[old.Parent])); fault != "" {
		return fault
	}
	return c.requireTeam(c.ownerBeforeWrite(n.parentNode))
}

// ownerBeforeWrite returns the team that owned a namespace before the write, or its nearest ancestor that existed then.
func (c *checker) ownerBeforeWrite(n *node) string {
	for ; n != nil; n = n.parentNode {
		if before := c.before.nodes[n.key]; before != nil {
			return c.before.activeOwner(before)
		}
	}
	return c.after.rootOwner() // the very first write
}

// checkNearestParent requires that no sibling contains the namespace, which would be its nearer parent, or is
// contained in it.
func checkNearestParent(n *node) string {
	for _, sibling := range n.parentNode.children {
		if sibling == n {
			continue
		}
		if sibling.Contains(n.Selector) {
			return fmt.Sprintf("parent: %s contains it, and is below %s", sibling.key, n.parentNode.key)
		}
		if n.Contains(sibling.Selector) {
			return fmt.Sprintf("it contains %s, which must be put below it in the same write", sibling.key)
		}
	}
	return ""
}

func (c *checker) checkGrantChange(oldValue, newValue any) string {
	old, _ := oldValue.(*grant)
	now, _ := newValue.(*grant)
	if now == nil {
		return c.requireTeam(c.before.grantor(old), c.before.activeOwner(c.before.nodes[old.In]))
	}
	if old != nil {
		if fault := c.requireTeam(c.before.grantor(old)); fault != "" {
			return fault
		}
	}
	if (old == nil || old.To != now.To) && !c.after.isActiveTeam(now.To) {
		return fmt.Sprintf("to: team %s is not there, or is dissolved", now.To)
	}
	if now.Under != "" {
		parent, ok := lookupValue[*grant](c.after, GrantKind, now.Under)
		if !ok {
			return fmt.Sprintf("under: grant %s is not there", now.Under)
		}
		if _, overlap := parent.selector.Meet(now.selector); !overlap {
			return fmt.Sprintf("in: it has no call in common with grant %s under it", now.Under)
		}
	}
	if c.after.grantor(now) == now.To {
		return "to: it has what is to be given"
	}
	return c.requireTeam(c.after.grantor(now))
}

func (c *checker) checkRuleChange(oldValue, newValue any) string {
	old, _ := oldValue.(*rule)
	now, _ := newValue.(*rule)
	if now == nil {
		return c.requireTeam(c.before.ruleOwner(old), c.before.activeOwner(c.before.ruleNode(old)), c.ruleGrantor(old))
	}
	n := c.after.ruleNode(now)
	if n == nil {
		return "its namespace is not there"
	}
	if now.Under != "" {
		g, ok := lookupValue[*grant](c.after, GrantKind, now.Under)
		if !ok {
			return fmt.Sprintf("under: grant %s is not there", now.Under)
		}
		if _, overlap := g.selector.Meet(now.In); !overlap {
			return fmt.Sprintf("under: grant %s is for another namespace", now.Under)
		}
	}
	if now.Share != nil && c.after.parentLimit(n, now.Setting.index()) == nil {
		if n := c.before.nodes[n.key]; n == nil || c.before.parentLimit(n, now.Setting.index()) == nil {
			return "share: no namespace above has a limit"
		}
	}
	if old != nil {
		if fault := c.requireTeam(c.before.ruleOwner(old), c.before.activeOwner(c.before.ruleNode(old))); fault != "" {
			return fault
		}
	}
	return c.requireTeam(c.after.ruleOwner(now))
}

// ruleGrantor returns the team that gave the grant of a rule, or the owner of a rule without one. It may remove
// the rule, so that it can withdraw the grant and the rules that depend on it in one write.
func (c *checker) ruleGrantor(r *rule) string {
	if g, ok := lookupValue[*grant](c.before, GrantKind, r.Under); ok {
		return c.before.grantor(g)
	}
	return c.before.ruleOwner(r)
}

// checkDecisionChange allows a decision before the rules have the values that it is made for. It has to come
// first, since rules with those values are refused without it.
func (c *checker) checkDecisionChange(oldValue, newValue any) string {
	now, _ := newValue.(*Decision)
	s := c.after
	if now == nil {
		now, s = oldValue.(*Decision), c.before
	}
	a, errA := ParseRuleKey(now.A)
	b, errB := ParseRuleKey(now.B)
	nodeA, nodeB := s.nodes[a.In.String()], s.nodes[b.In.String()]
	if errA != nil || errB != nil || nodeA == nil || nodeB == nil {
		if newValue == nil { // the decision has no effect any more: any active team may remove it
			return ""
		}
		return "a, b: there is no such namespace or setting"
	}
	if _, overlap := a.In.Meet(b.In); newValue != nil &&
		(a.Setting != b.Setting || !overlap || nodeA.isAncestorOf(nodeB) || nodeB.isAncestorOf(nodeA)) {
		return "they are not peers that set one thing for one call: there is nothing to decide"
	}
	return c.requireTeam(s.activeOwner(commonAncestor(nodeA, nodeB)))
}
