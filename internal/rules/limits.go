package rules

import (
	"cmp"
	"fmt"
	"slices"

	"burlpass/internal/lease"
)

// maxReserveProcesses is the maximum number of processes that divide a reserve.
const maxReserveProcesses = 100_000

// validateCut validates what a rule prescribes for processes that are cut off from the cluster.
func (r *Rule) validateCut(s Setting) error {
	c := r.Cut
	switch {
	case c == nil:
		return nil
	case !s.isFleetLimit():
		return fmt.Errorf("cut: only a rule of %s or %s has one", Rate, Calls)
	case c.Mode != lease.Nothing && c.Mode != lease.Reserve && c.Mode != lease.Open:
		return fmt.Errorf("cut: mode: %.40q is not %s, %s or %s", c.Mode, lease.Nothing, lease.Reserve, lease.Open)
	case c.Mode != lease.Reserve && (c.Share != 0 || c.Among != 0):
		return fmt.Errorf("cut: only %s has a share and among", lease.Reserve)
	case c.Mode == lease.Reserve && (c.Share < 1 || c.Share > 1000 || c.Among < 1 || c.Among > maxReserveProcesses):
		return fmt.Errorf("cut: share must be 1 to 1000, among 1 to %d", maxReserveProcesses)
	}
	return nil
}

// cutOrDefault returns what applies to a process that is cut off from the cluster: lease.Nothing unless the rule
// says otherwise.
func (r *Rule) cutOrDefault() lease.Cut {
	if r.Cut == nil {
		return lease.Cut{Mode: lease.Nothing}
	}
	return *r.Cut
}

// Limits returns the fleet-wide limits of the table with shares resolved to amounts, sorted by the keys of their
// rules. Rules that are not effective anywhere are left out.
func (t *Table) Limits() []lease.Limit {
	var out []lease.Limit
	for i := range t.slots {
		s := &t.slots[i]
		if s.rule == nil || !s.rule.Setting.isFleetLimit() {
			continue
		}
		out = append(out, lease.Limit{ID: s.rule.Key, Kind: string(s.rule.Setting), Amount: s.amount, Cut: s.rule.cutOrDefault()})
	}
	slices.SortFunc(out, func(a, b lease.Limit) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// Owner returns the team that the rule with this key belongs to, "" if there is no such rule.
func (t *Table) Owner(key string) string {
	r, ok := lookupValue[*rule](t.state, RuleKind, key)
	if !ok {
		return ""
	}
	return t.state.ruleOwner(r)
}
