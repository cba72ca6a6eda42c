package retire

import (
	"cmp"
	"fmt"
	"slices"
)

// usageWindow holds the calls since a stage began.
type usageWindow struct {
	calls   int64 // total
	others  int64 // upper bound for the calls of callers without a count of their own
	callers []CallerCalls
}

// since subtracts a mark from the sums. A caller that is not in the mark counts with all the calls that it ever made, and so
// do callers that have been folded into Others since. Therefore no caller's use is underestimated.
func (mark *Mark) since(sums *Use) usageWindow {
	window := usageWindow{calls: sums.Total().Calls - mark.Calls, others: max(0, sums.Others.Calls-mark.Others)}
	for _, c := range sums.Callers {
		if calls := c.Calls - mark.callsOf(c.Caller); calls > 0 {
			window.callers = append(window.callers, CallerCalls{c.Caller, calls})
		}
	}
	return window
}

func (mark *Mark) callsOf(caller string) int64 {
	if i, ok := slices.BinarySearchFunc(mark.Callers, caller, func(c CallerCalls, name string) int { return cmp.Compare(c.Caller, name) }); ok {
		return mark.Callers[i].Calls
	}
	return 0
}

// newMark takes a snapshot of the calls counted so far.
func newMark(sums *Use) Mark {
	mark := Mark{Calls: sums.Total().Calls, Others: sums.Others.Calls}
	for _, c := range sums.Callers {
		if c.Calls > 0 {
			mark.Callers = append(mark.Callers, CallerCalls{c.Caller, c.Calls})
		}
	}
	slices.SortFunc(mark.Callers, func(a, b CallerCalls) int {
		return cmp.Or(cmp.Compare(b.Calls, a.Calls), cmp.Compare(a.Caller, b.Caller))
	})
	mark.Callers = mark.Callers[:min(MaxFoldedCallers, len(mark.Callers))]
	slices.SortFunc(mark.Callers, func(a, b CallerCalls) int { return cmp.Compare(a.Caller, b.Caller) })
	return mark
}

// waitsForTime reports whether a timeline has ended, or waits only for the time of its next step.
func (active *activeTimeline) waitsForTime(now int64) bool {
	if active.nextIndex() == len(active.t.Steps) {
		return true
	}
	next := &active.t.Steps[active.nextIndex()]
	held := active.stage != nil && active.stage.Held != nil
	return !held && (now < next.AtMs || active.stage != nil && now < active.stage.SinceMs+next.AfterMs)
}

// unmetCondition returns the reason why the next step cannot be taken at the record's time now, "" if it can.
func (active *activeTimeline) unmetCondition(sums *Use, now int64) string {
	at := -1
	if active.stage != nil {
		at = active.stage.At
	}
	next := &active.t.Steps[at+1]
	switch {
	case now < next.AtMs:
		return fmt.Sprintf("%s is for %d, and the record's time is %d", next.Stage, next.AtMs, now)
	case active.stage != nil && now < active.stage.SinceMs+next.AfterMs:
		return fmt.Sprintf("%s lasts until %d at least, and the record's time is %d", active.stage.Stage, active.stage.SinceMs+next.AfterMs, now)
	case next.Need == nil:
		return ""
	}
	return next.Need.unmetCondition(active.stage, sums, now)
}

// unmetCondition returns a caller that has not been warned sufficiently, "" if there is none. The calls in Others may all be
// from any one caller: they are added to the calls of each named caller, and on their own they count as a caller that has
// never been warned.
func (need *Need) unmetCondition(s *Stage, sums *Use, now int64) string {
	if sums.SeenMs <= s.SinceMs+UseLeadMs {
		return "no process has reported what it counted since the stage began"
	}
	window := s.Mark.since(sums)
	if exceedsShare(window.others, window.calls, need.Above) {
		return fmt.Sprintf("callers that are not named have %d of %d calls, more than %d thousandths", window.others, window.calls, need.Above)
	}
	for _, c := range window.callers {
		if !exceedsShare(c.Calls+window.others, window.calls, need.Above) {
			continue
		}
		switch count := sums.Of(c.Caller); {
		case count.Warned < need.Times:
			return fmt.Sprintf("caller %s, with %d of %d calls, has been warned %d times of %d", c.Caller, c.Calls, window.calls, count.Warned, need.Times)
		case now < count.FirstMs+need.ForMs:
			return fmt.Sprintf("caller %s, with %d of %d calls, has been warned since %d, to be %d ms", c.Caller, c.Calls, window.calls, count.FirstMs, need.ForMs)
		}
	}
	return ""
}

// totals returns the totals that are compared with the thresholds.
func (harm *Harm) totals(sums *Use) HarmTotals {
	all := sums.Total()
	out := HarmTotals{Shed: all.Shed, Worth: all.Worth, Next: all.Next, Failed: all.Failed}
	if harm.Lost == 0 {
		return out
	}
	for _, c := range append(slices.Clone(sums.Callers), sums.Others) {
		if c.Shed >= harm.LostShed && c.Next == 0 {
			out.Lost++
		}
	}
	return out
}

// harmSeen describes the harm since the stage began or was last resumed, "" if it is below all thresholds.
func (active *activeTimeline) harmSeen(sums *Use) string {
	harm, was := &active.t.Harm, &active.stage.Base
	now := harm.totals(sums)
	next, failed := now.Next-was.Next, now.Failed-was.Failed
	switch {
	case active.stage.Stage == Announced || active.stage.Stage == Ended:
		return ""
	case harm.Worth > 0 && now.Worth-was.Worth >= harm.Worth:
		return fmt.Sprintf("worth %d refused in %d calls, and %d is too much", now.Worth-was.Worth, now.Shed-was.Shed, harm.Worth)
	case harm.Lost > 0 && now.Lost-was.Lost >= harm.Lost:
		return fmt.Sprintf("%d callers were refused %d times or more and have not come back", now.Lost-was.Lost, harm.LostShed)
	case harm.Failed > 0 && next >= harm.FailedCalls && (exceedsShare(failed, next, harm.Failed) || failed*1000 == next*harm.Failed):
		return fmt.Sprintf("%d of %d calls of %s failed, and %d thousandths are too many", failed, next, active.t.Successor, harm.Failed)
	}
	return ""
}
