package rules

import (
	"fmt"
	"slices"
	"sort"
)

// reference finds conflicts by going through all pairs, triples and calls. It reads the items' values only, and shares no step
// with the finder but the order of strictness.
type reference struct {
	s     *State
	calls []Call
	rules []*rule
	out   map[string]bool
}

func referenceOf(s *State) map[string]bool {
	r := &reference{s: s, calls: universe(), rules: valuesOf[*rule](s, RuleKind), out: map[string]bool{}}
	r.vertical()
	r.pairs()
	r.addUp()
	r.grants()
	r.goRound()
	return r.out
}

func (r *reference) say(kind ConflictKind, keys ...string) { r.out[fmt.Sprint(kind, keys)] = true }

// ups are the namespaces above one, the nearest first.
func (r *reference) ups(key string) (out []string) {
	for {
		n, ok := lookupValue[*namespace](r.s, NamespaceKind, key)
		if !ok || n.Parent == "" {
			return out
		}
		key = n.Parent
		out = append(out, key)
	}
}

func (r *reference) owner(of string) string {
	for _, key := range append([]string{of}, r.ups(of)...) {
		n, _ := lookupValue[*namespace](r.s, NamespaceKind, key)
		if t, ok := lookupValue[*Team](r.s, TeamKind, n.Owner); ok && !t.Dissolved {
			return n.Owner
		}
	}
	return ""
}

func (r *reference) ruler(q *rule) string {
	under, none := q.Under, q.namespaceKey
	for i := range 9 {
		g, ok := lookupValue[*grant](r.s, GrantKind, under)
		if !ok {
			break
		}
		if i == 0 {
			none = g.In // in a circle of dissolved teams
		}
		if t, _ := lookupValue[*Team](r.s, TeamKind, g.To); !t.Dissolved {
			return g.To
		}
		if up, ok := lookupValue[*grant](r.s, GrantKind, g.Under); !ok {
			return r.owner(g.In)
		} else {
			under = up.Key
		}
	}
	return r.owner(none)
}

func (r *reference) meet(selectors ...string) bool {
	return slices.ContainsFunc(r.calls, func(c Call) bool {
		return !slices.ContainsFunc(selectors, func(s string) bool { return !matches(s, c) })
	})
}

// value works a share out; -1 for a share of nothing.
func (r *reference) value(q *rule) int64 {
	if q.N != nil {
		return *q.N
	}
	if of := r.limitAbove(q); of != nil {
		if v := r.value(of); v >= 0 {
			return v * *q.Share / 1000
		}
	}
	return -1
}

func (r *reference) limitAbove(q *rule) *rule {
	for _, up := range r.ups(q.namespaceKey) {
		if p := r.own(up, q.Setting); p != nil {
			return p
		}
	}
	return nil
}

// over: where both match, a holds and not b.
func (r *reference) over(a, b *rule) bool {
	return a.Setting == b.Setting && r.rank(a, b) == 1 && (r.contradict(a, b) || slices.Contains(r.ups(a.namespaceKey), b.namespaceKey))
}

// loses: another one at its namespace holds in its place.
func (r *reference) loses(q *rule) bool {
	return slices.ContainsFunc(r.rules, func(p *rule) bool { return p.namespaceKey == q.namespaceKey && r.over(p, q) })
}

// own is what holds at a namespace: of those that do not lose the strictest, the least open, the first.
func (r *reference) own(space string, s Setting) (best *rule) {
	for _, lost := range []bool{false, true} {
		for _, q := range r.rules {
			if q.namespaceKey != space || q.Setting != s || r.loses(q) != lost {
				continue
			}
			if best == nil || r.score(q) < r.score(best) {
				best = q
			}
		}
		if best != nil {
			return best
		}
	}
	return nil
}

func (r *reference) score(q *rule) int64 {
	v := int64(len(q.Value.Callers))
	if q.Setting != Callers {
		if v = r.value(q); v < 0 {
			v = 1 << 40
		}
	}
	return 3*v + int64(slices.Index([]Mode{Locked, Bound, Default}, q.Mode))
}

func (r *reference) looser(a, b *rule) bool {
	if a.Setting == Callers {
		return isLooser(a.Value, b.Value)
	}
	x, y := r.value(a), r.value(b)
	return x >= 0 && y >= 0 && x > y
}

func (r *reference) vertical() {
	for _, a := range r.rules {
		for _, b := range r.rules {
			if a.Setting != b.Setting || !slices.Contains(r.ups(a.namespaceKey), b.namespaceKey) || r.loses(b) {
				continue
			}
			if b.Mode == Locked {
				r.say(Below, a.Key, b.Key)
			} else if b.Mode == Bound && r.looser(a, b) {
				r.say(Looser, a.Key, b.Key)
			}
		}
		if a.In.Class == "k" && a.Setting == Attempts && *a.N > 2 {
			r.say(Looser, a.Key, "k")
		}
		if a.Needs == "v1" && r.meet(a.namespaceKey, "*/*/l") {
			r.say(Retired, a.Key, "end-v1")
		}
		if a.Share != nil && r.limitAbove(a) == nil {
			r.say(Withdrawn, a.Key, "")
		}
		r.right(a)
	}
}

func (r *reference) right(a *rule) {
	if a.Under == "" {
		return
	}
	g, ok := lookupValue[*grant](r.s, GrantKind, a.Under)
	switch {
	case !ok:
		r.say(Withdrawn, a.Key, a.Under)
	case !r.meet(a.namespaceKey, g.In):
	case !slices.Contains(append(r.ups(a.namespaceKey), a.namespaceKey), g.In), len(g.Settings) > 0 && !slices.Contains(g.Settings, a.Setting):
		r.say(Withdrawn, a.Key, g.Key)
	case len(g.Caps) > 0 && a.Setting == Attempts && *a.N > *g.Caps[0].N:
		r.say(Looser, a.Key, g.Key)
	}
}

// rank is 1 where a holds over b, -1 where b does over a, 0 where nothing says so.
func (r *reference) rank(a, b *rule) int {
	if slices.Contains(r.ups(a.namespaceKey), b.namespaceKey) {
		return 1
	}
	if slices.Contains(r.ups(b.namespaceKey), a.namespaceKey) {
		return -1
	}
	for _, d := range valuesOf[*Decision](r.s, DecisionKind) {
		for _, two := range [][2]*rule{{a, b}, {b, a}} {
			if d.A == two[0].Key && d.B == two[1].Key && d.ASum == ruleDigest(two[0]) && d.BSum == ruleDigest(two[1]) {
				if d.Pick == a.Key {
					return 1
				}
				return -1
			}
		}
	}
	return 0
}

// contradict: they say different things, or are two limits of which it must be clear which one counts.
func (r *reference) contradict(a, b *rule) bool {
	off := func(q *rule) string {
		if q.Cut == nil || q.Cut.Mode == "nothing" {
			return ""
		}
		return fmt.Sprint(*q.Cut)
	}
	return string(a.current) != string(b.current) && (a.Mode != b.Mode || !equalValues(a.Value, b.Value) || off(a) != off(b)) || a.Setting == Rate && a.namespaceKey != b.namespaceKey
}

func (r *reference) pairs() {
	for i, a := range r.rules {
		for _, b := range r.rules[i+1:] {
			if a.Setting != b.Setting || !r.contradict(a, b) || !r.meet(a.namespaceKey, b.namespaceKey) || r.rank(a, b) != 0 {
				continue
			}
			if a.namespaceKey != b.namespaceKey && r.ruler(a) != r.ruler(b) {
				r.say(Overlap, a.Key, b.Key)
			} else {
				r.say(Equal, a.Key, b.Key)
			}
		}
	}
}

func (r *reference) addUp() {
	sums, newest := map[string]int64{}, map[string]*rule{}
	for _, q := range r.rules {
		if q.Setting != Rate || r.own(q.namespaceKey, Rate) != q {
			continue
		}
		if of := r.limitAbove(q); q.Share != nil && of != nil {
			if newest[of.Key] == nil && of.Cut != nil {
				sums[of.Key] = of.Cut.Share
			}
			sums[of.Key] += *q.Share
			if n := newest[of.Key]; n == nil || q.Version > n.Version {
				newest[of.Key] = q
			}
		}
	}
	for key, sum := range sums {
		if sum > 1000 {
			r.say(Shares, newest[key].Key, key)
		}
	}
}

func (r *reference) grants() {
	for _, g := range valuesOf[*grant](r.s, GrantKind) {
		up, ok := lookupValue[*grant](r.s, GrantKind, g.Under)
		switch {
		case g.Under == "":
			continue
		case !ok:
			r.say(Withdrawn, g.Key, g.Under)
			continue
		case !r.meet(g.In, up.In):
		case !up.Pass:
			r.say(Withdrawn, g.Key, up.Key)
		case !slices.Contains(append(r.ups(g.In), g.In), up.In),
			len(up.Settings) > 0 && len(g.Settings) == 0,
			len(up.Caps) > 0 && (len(g.Caps) == 0 || *g.Caps[0].N > *up.Caps[0].N):
			r.say(Looser, g.Key, up.Key)
		}
		// Along the chain the same grant, or the same team, comes again.
		was := []string{g.Key}
		for at := up; ; {
			if at == g || at.To == g.To {
				if other := was[len(was)-1]; r.meets(g, at, other) {
					r.say(Circle, g.Key)
				}
				break
			}
			if slices.Contains(was, at.Key) {
				break
			}
			was = append(was, at.Key)
			next, ok := lookupValue[*grant](r.s, GrantKind, at.Under)
			if !ok {
				if at.Under == "" && r.owner(at.In) == g.To && r.meet(g.In, at.In) {
					r.say(Circle, g.Key)
				}
				break
			}
			at = next
		}
	}
}

// meets: where the circle is of two, it is the one above; else the last of the chain.
func (r *reference) meets(g, at *grant, last string) bool {
	other := at
	if at == g {
		other, _ = lookupValue[*grant](r.s, GrantKind, last)
	}
	if other.Under == g.Key {
		other, _ = lookupValue[*grant](r.s, GrantKind, g.Under)
	}
	return r.meet(g.In, other.In)
}

func (r *reference) goRound() {
	over := r.over
	for _, a := range r.rules {
		for _, b := range r.rules {
			for _, c := range r.rules {
				if over(a, b) && over(b, c) && over(c, a) && r.meet(a.namespaceKey, b.namespaceKey, c.namespaceKey) {
					keys := []string{a.Key, b.Key, c.Key}
					sort.Strings(keys)
					r.say(Circle, keys...)
				}
			}
		}
	}
}
