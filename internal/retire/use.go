package retire

import (
	"cmp"
	"fmt"
	"slices"
)

// add returns the sum of two counts of the same caller. It is commutative and associative.
func (c Count) add(d Count) Count {
	first := min(c.FirstMs, d.FirstMs)
	if first == 0 {
		first = max(c.FirstMs, d.FirstMs)
	}
	return Count{c.Caller, c.Calls + d.Calls, c.Warned + d.Warned, first, c.Shed + d.Shed, c.Worth + d.Worth, c.Next + d.Next, c.Failed + d.Failed}
}

// Merge adds up the counts of several processes. Each process must be included once; the order does not matter.
func Merge(uses []*Use) Use {
	var out Use
	indexOf := map[string]int{}
	for _, u := range uses {
		out.SeenMs = max(out.SeenMs, u.SeenMs)
		out.Others = out.Others.add(u.Others)
		for _, c := range u.Callers {
			i, ok := indexOf[c.Caller]
			if !ok {
				indexOf[c.Caller] = len(out.Callers)
				out.Callers = append(out.Callers, c)
				continue
			}
			out.Callers[i] = out.Callers[i].add(c)
		}
	}
	slices.SortFunc(out.Callers, compareCallers)
	return out
}

func compareCallers(a, b Count) int { return cmp.Compare(a.Caller, b.Caller) }

// Fold adds up the counts of ended incarnations and the previously folded counts. The MaxFoldedCallers callers with the most
// calls keep their own counts; all others are added to Others.
func Fold(uses []*Use) Use {
	out := Merge(uses)
	slices.SortFunc(out.Callers, func(a, b Count) int { return cmp.Or(cmp.Compare(b.Calls, a.Calls), compareCallers(a, b)) })
	for _, c := range out.Callers[min(MaxFoldedCallers, len(out.Callers)):] {
		c.Caller = ""
		out.Others = out.Others.add(c)
	}
	out.Callers = out.Callers[:min(MaxFoldedCallers, len(out.Callers))]
	slices.SortFunc(out.Callers, compareCallers)
	return out
}

// Total returns the sum over all callers.
func (u *Use) Total() Count {
	sum := u.Others
	for _, c := range u.Callers {
		sum = sum.add(c)
	}
	sum.Caller = ""
	return sum
}

// Of returns the count of a caller, which is zero if the caller has no count of its own.
func (u *Use) Of(caller string) Count {
	if i, ok := slices.BinarySearchFunc(u.Callers, caller, func(c Count, name string) int { return cmp.Compare(c.Caller, name) }); ok {
		return u.Callers[i]
	}
	return Count{Caller: caller}
}

// isValidStamp reports whether a timestamp is not before now and at most lead after it.
func isValidStamp(ms, now, lead int64) bool { return now <= ms && ms <= now+lead }

// checkContinues requires that counts continue the previous ones of the same incarnation, nil for its first report: no
// counter falls, and the first warning has the record's current time.
func (u *Use) checkContinues(old *Use, now int64) error {
	if !isValidStamp(u.SeenMs, now, UseLeadMs) {
		return fmt.Errorf("seen_ms: %d; the record's time is %d, and it must be up to %d ms later", u.SeenMs, now, UseLeadMs)
	}
	if old == nil {
		old = &Use{}
	}
	for _, c := range old.Callers {
		if u.Of(c.Caller).Calls == 0 && u.Of(c.Caller).Next == 0 {
			return fmt.Errorf("callers: %s has lost its place", c.Caller)
		}
	}
	for i, c := range u.Callers {
		if err := c.checkContinues(old.Of(c.Caller), now); err != nil {
			return fmt.Errorf("callers[%d]: %w", i, err)
		}
	}
	if err := u.Others.checkContinues(old.Others, now); err != nil {
		return fmt.Errorf("others: %w", err)
	}
	return nil
}

func (c Count) checkContinues(old Count, now int64) error {
	if c.Calls < old.Calls || c.Warned < old.Warned || c.Shed < old.Shed || c.Worth < old.Worth || c.Next < old.Next || c.Failed < old.Failed {
		return fmt.Errorf("%s has lower counts than are there: it is an older report", cmp.Or(c.Caller, "all"))
	}
	switch {
	case old.Warned > 0 && c.FirstMs != old.FirstMs:
		return fmt.Errorf("first_ms: %d; it was %d", c.FirstMs, old.FirstMs)
	case old.Warned == 0 && c.Warned > 0 && !isValidStamp(c.FirstMs, now, UseLeadMs):
		return fmt.Errorf("first_ms: %d; the record's time is %d, and it must be up to %d ms later", c.FirstMs, now, UseLeadMs)
	}
	return nil
}
