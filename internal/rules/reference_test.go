package rules

import (
	"fmt"
	"slices"
	"sort"
)

// reference finds conflicts by brute force over all pairs and triples of rules and all calls. It uses only the
// decoded values, and shares nothing with conflictFinder but the comparison of strictness.
type reference struct {
	state     *State
	calls     []Call
	rules     []*rule
	conflicts map[string]bool
}

func referenceOf(state *State) map[string]bool {
	r := &reference{state: state, calls: allCalls(), rules: valuesOf[*rule](state, RuleKind), conflicts: map[string]bool{}}
	r.checkAgainstAncestors()
	r.checkPairs()
	r.checkShares()
	r.checkGrants()
	r.checkDecisionCycles()
	return r.conflicts
}

func (r *reference) add(kind ConflictKind, keys ...string) {
	r.conflicts[fmt.Sprint(kind, keys)] = true
}

// ancestors returns the namespaces above one, the nearest first.
func (r *reference) ancestors(key string) (out []string) {
	for {
		n, ok := lookupValue[*namespace](r.state, NamespaceKind, key)
		if !ok || n.Parent == "" {
			return out
		}
		key = n.Parent
		out = append(out, key)
	}
}

func (r *reference) owner(of string) string {
	for _, key := range append([]string{of}, r.ancestors(of)...) {
		n, _ := lookupValue[*namespace](r.state, NamespaceKind, key)
		if t, ok := lookupValue[*Team](r.state, TeamKind, n.Owner); ok && !t.Dissolved {
			return n.Owner
		}
	}
	return ""
}

func (r *reference) ruleOwner(q *rule) string {
	under, fallback := q.Under, q.namespaceKey
	for i := range 9 {
		g, ok := lookupValue[*grant](r.state, GrantKind, under)
		if !ok {
			break
		}
		if i == 0 {
			fallback = g.In // the result for a cycle of dissolved teams
		}
		if t, _ := lookupValue[*Team](r.state, TeamKind, g.To); !t.Dissolved {
			return g.To
		}
		if parent, ok := lookupValue[*grant](r.state, GrantKind, g.Under); !ok {
			return r.owner(g.In)
		} else {
			under = parent.Key
		}
	}
	return r.owner(fallback)
}

func (r *reference) haveCommonCall(selectors ...string) bool {
	return slices.ContainsFunc(r.calls, func(c Call) bool {
		return !slices.ContainsFunc(selectors, func(s string) bool { return !matches(s, c) })
	})
}

// resolvedValue returns the value of a rule, a share as an amount; -1 for a share without a limit.
func (r *reference) value(q *rule) int64 {
	if q.N != nil {
		return *q.N
	}
	if limit := r.parentLimit(q); limit != nil {
		if v := r.value(limit); v >= 0 {
			return v * *q.Share / 1000
		}
	}
	return -1
}

func (r *reference) parentLimit(q *rule) *rule {
	for _, up := range r.ancestors(q.namespaceKey) {
		if p := r.effectiveRule(up, q.Setting); p != nil {
			return p
		}
	}
	return nil
}

// takesPrecedence reports whether a is effective instead of b where both match.
func (r *reference) takesPrecedence(a, b *rule) bool {
	return a.Setting == b.Setting && r.precedence(a, b) == 1 &&
		(r.contradict(a, b) || slices.Contains(r.ancestors(a.namespaceKey), b.namespaceKey))
}

// isOverruled reports whether another rule of the same namespace takes precedence.
func (r *reference) isOverruled(q *rule) bool {
	return slices.ContainsFunc(r.rules, func(p *rule) bool { return p.namespaceKey == q.namespaceKey && r.takesPrecedence(p, q) })
}

// effectiveRule returns the effective rule of a namespace: of those that are not overruled the one with the
// strictest value, then the strictest mode, then the smallest key.
func (r *reference) effectiveRule(namespace string, s Setting) (best *rule) {
	for _, overruled := range []bool{false, true} {
		for _, q := range r.rules {
			if q.namespaceKey != namespace || q.Setting != s || r.isOverruled(q) != overruled {
				continue
			}
			if best == nil || r.strictness(q) < r.strictness(best) {
				best = q
			}
		}
		if best != nil {
			return best
		}
	}
	return nil
}

func (r *reference) strictness(q *rule) int64 {
	v := int64(len(q.Value.Callers))
	if q.Setting != Callers {
		if v = r.value(q); v < 0 {
			v = 1 << 40
		}
	}
	return 3*v + int64(slices.Index([]Mode{Locked, Bound, Default}, q.Mode))
}

func (r *reference) isLooser(a, b *rule) bool {
	if a.Setting == Callers {
		return isLooser(a.Value, b.Value)
	}
	x, y := r.value(a), r.value(b)
	return x >= 0 && y >= 0 && x > y
}

func (r *reference) checkAgainstAncestors() {
	for _, a := range r.rules {
		for _, b := range r.rules {
			if a.Setting != b.Setting || !slices.Contains(r.ancestors(a.namespaceKey), b.namespaceKey) || r.isOverruled(b) {
				continue
			}
			if b.Mode == Locked {
				r.add(Below, a.Key, b.Key)
			} else if b.Mode == Bound && r.isLooser(a, b) {
				r.add(Looser, a.Key, b.Key)
			}
		}
		if a.In.Class == "k" && a.Setting == Attempts && *a.N > 2 {
			r.add(Looser, a.Key, "k")
		}
		if a.Needs == "v1" && r.haveCommonCall(a.namespaceKey, "*/*/l") {
			r.add(Retired, a.Key, "end-v1")
		}
		if a.Share != nil && r.parentLimit(a) == nil {
			r.add(Withdrawn, a.Key, "")
		}
		r.checkGrantOfRule(a)
	}
}

func (r *reference) checkGrantOfRule(a *rule) {
	if a.Under == "" {
		return
	}
	g, ok := lookupValue[*grant](r.state, GrantKind, a.Under)
	switch {
	case !ok:
		r.add(Withdrawn, a.Key, a.Under)
	case !r.haveCommonCall(a.namespaceKey, g.In):
	case !slices.Contains(append(r.ancestors(a.namespaceKey), a.namespaceKey), g.In),
		len(g.Settings) > 0 && !slices.Contains(g.Settings, a.Setting):
		r.add(Withdrawn, a.Key, g.Key)
	case len(g.Caps) > 0 && a.Setting == Attempts && *a.N > *g.Caps[0].N:
		r.add(Looser, a.Key, g.Key)
	}
}

// precedence returns 1 if a is effective instead of b, -1 if b is instead of a, and 0 if it is undecided.
func (r *reference) precedence(a, b *rule) int {
	if slices.Contains(r.ancestors(a.namespaceKey), b.namespaceKey) {
		return 1
	}
	if slices.Contains(r.ancestors(b.namespaceKey), a.namespaceKey) {
		return -1
	}
	for _, d := range valuesOf[*Decision](r.state, DecisionKind) {
		for _, pair := range [][2]*rule{{a, b}, {b, a}} {
			if d.A == pair[0].Key && d.B == pair[1].Key && d.ASum == ruleDigest(pair[0]) && d.BSum == ruleDigest(pair[1]) {
				if d.Pick == a.Key {
					return 1
				}
				return -1
			}
		}
	}
	return 0
}

// contradict reports whether two rules differ, or are limits of different namespaces, of which only one may count
// a call.
func (r *reference) contradict(a, b *rule) bool {
	cutText := func(q *rule) string {
		if q.Cut == nil || q.Cut.Mode == "nothing" {
			return ""
		}
		return fmt.Sprint(*q.Cut)
	}
	return string(a.current) != string(b.current) &&
		(a.Mode != b.Mode || !equalValues(a.Value, b.Value) || cutText(a) != cutText(b)) ||
		a.Setting == Rate && a.namespaceKey != b.namespaceKey
}

func (r *reference) checkPairs() {
	for i, a := range r.rules {
		for _, b := range r.rules[i+1:] {
			if a.Setting != b.Setting || !r.contradict(a, b) ||
				!r.haveCommonCall(a.namespaceKey, b.namespaceKey) || r.precedence(a, b) != 0 {
				continue
			}
			if a.namespaceKey != b.namespaceKey && r.ruleOwner(a) != r.ruleOwner(b) {
				r.add(Overlap, a.Key, b.Key)
			} else {
				r.add(Equal, a.Key, b.Key)
			}
		}
	}
}

func (r *reference) checkShares() {
	sums, newest := map[string]int64{}, map[string]*rule{}
	for _, q := range r.rules {
		if q.Setting != Rate || r.effectiveRule(q.namespaceKey, Rate) != q {
			continue
		}
		if limit := r.parentLimit(q); q.Share != nil && limit != nil {
			if newest[limit.Key] == nil && limit.Cut != nil {
				sums[limit.Key] = limit.Cut.Share
			}
			sums[limit.Key] += *q.Share
			if n := newest[limit.Key]; n == nil || q.Version > n.Version {
				newest[limit.Key] = q
			}
		}
	}
	for key, sum := range sums {
		if sum > 1000 {
			r.add(Shares, newest[key].Key, key)
		}
	}
}

func (r *reference) checkGrants() {
	for _, g := range valuesOf[*grant](r.state, GrantKind) {
		parent, ok := lookupValue[*grant](r.state, GrantKind, g.Under)
		switch {
		case g.Under == "":
			continue
		case !ok:
			r.add(Withdrawn, g.Key, g.Under)
			continue
		case !r.haveCommonCall(g.In, parent.In):
		case !parent.Pass:
			r.add(Withdrawn, g.Key, parent.Key)
		case !slices.Contains(append(r.ancestors(g.In), g.In), parent.In),
			len(parent.Settings) > 0 && len(g.Settings) == 0,
			len(parent.Caps) > 0 && (len(g.Caps) == 0 || *g.Caps[0].N > *parent.Caps[0].N):
			r.add(Looser, g.Key, parent.Key)
		}
		// Report a cycle if the chain of parents reaches the same grant or the same team again.
		chain := []string{g.Key}
		for current := parent; ; {
			if current == g || current.To == g.To {
				if other := chain[len(chain)-1]; r.cycleHasCommonCall(g, current, other) {
					r.add(Circle, g.Key)
				}
				break
			}
			if slices.Contains(chain, current.Key) {
				break
			}
			chain = append(chain, current.Key)
			next, ok := lookupValue[*grant](r.state, GrantKind, current.Under)
			if !ok {
				if current.Under == "" && r.owner(current.In) == g.To && r.haveCommonCall(g.In, current.In) {
					r.add(Circle, g.Key)
				}
				break
			}
			current = next
		}
	}
}

// cycleHasCommonCall reports whether a call matches both grants of a cycle that are reported: g, and the last of
// the chain, or the parent of g if the last is a child of g.
func (r *reference) cycleHasCommonCall(g, reached *grant, last string) bool {
	other := reached
	if reached == g {
		other, _ = lookupValue[*grant](r.state, GrantKind, last)
	}
	if other.Under == g.Key {
		other, _ = lookupValue[*grant](r.state, GrantKind, g.Under)
	}
	return r.haveCommonCall(g.In, other.In)
}

func (r *reference) checkDecisionCycles() {
	overrules := r.takesPrecedence
	for _, a := range r.rules {
		for _, b := range r.rules {
			for _, c := range r.rules {
				if overrules(a, b) && overrules(b, c) && overrules(c, a) && r.haveCommonCall(a.namespaceKey, b.namespaceKey, c.namespaceKey) {
					keys := []string{a.Key, b.Key, c.Key}
					sort.Strings(keys)
					r.add(Circle, keys...)
				}
			}
		}
	}
}
