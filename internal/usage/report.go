package usage

import (
	"math/rand/v2"
	"slices"

	"burlpass/internal/record"
	"burlpass/internal/retire"
)

// Times of reports.
const (
	stampLeadMs = retire.UseLeadMs / 2 // timestamps are ahead of the record's time as seen here, which may be behind the record's own
	refreshMs   = retire.QuietMs / 4   // unchanged counts are reported again after this time, so that the process is not considered dead
)

// timelineReport tracks what this process has reported of one timeline. It is not safe for concurrent use.
type timelineReport struct {
	key         string         // of the timeline
	incarnation int64          // number that the current item in the record is keyed by; 0: there is no item yet
	previous    retire.Use     // counts that earlier incarnations have reported
	committed   retire.Use     // counts of this incarnation in the record
	committedAt record.Version // record version of the last applied write
	pending     *record.Write  // write with an unknown outcome; sent again unchanged
	sent        retire.Use     // counts in pending, or else committed
}

// nextWrite returns the write to send now, or nil if there is none. The caller sets its id if it has none. counts holds everything that was
// ever counted here.
func (r *timelineReport) nextWrite(view record.View, process string, counts retire.Use) (*record.Write, error) {
	if r.pending != nil {
		return r.pending, nil
	}
	now := view.TimeMs()
	if now == 0 {
		return nil, nil
	}
	use := subtractUse(counts, r.previous)
	use.SeenMs = now + stampLeadMs
	r.stampWarnings(&use)
	if r.incarnation != 0 && sameCounts(use, r.committed) && use.SeenMs < r.committed.SeenMs+refreshMs {
		return nil, nil
	}
	if r.incarnation == 0 {
		r.incarnation = now + stampLeadMs/2 + rand.Int64N(stampLeadMs/2)
	}
	w, err := retire.Report(process, retire.UseKey(r.key, process, r.incarnation), use)
	if err != nil {
		return nil, err
	}
	w.Base = max(view.Version(), r.committedAt)
	r.pending, r.sent = w, use
	return w, nil
}

// handleResult applies the result of the pending write; found tells whether the record still has this incarnation's item. It reports whether
// the write failed.
func (r *timelineReport) handleResult(result record.Result, found bool) (fault bool) {
	r.pending = nil
	switch result.Outcome {
	case record.Applied:
		r.committed, r.committedAt = r.sent, result.Version
		return false
	case record.Invalid:
		if r.committedAt == 0 { // no write of this incarnation was ever applied
			r.incarnation = 0
			return true
		}
		if found { // the write was too old when it arrived
			return true
		}
	}
	// The incarnation's item is gone: its counts were folded into the totals. If nobody knows whether this write was applied, everything that
	// was sent may have been counted: assume so, as the totals must never exceed what was counted.
	if result.Outcome != record.Forgotten {
		r.sent = r.committed
	}
	r.previous = addUse(r.previous, r.sent)
	r.incarnation, r.committedAt, r.committed, r.sent = 0, 0, retire.Use{}, retire.Use{}
	return true
}

// stampWarnings sets the time of each caller's first warning: the time reported earlier, or now.
func (r *timelineReport) stampWarnings(use *retire.Use) {
	stampCount := func(c *retire.Count, committed retire.Count) {
		switch {
		case committed.Warned > 0:
			c.FirstMs = committed.FirstMs
		case c.Warned > 0:
			c.FirstMs = use.SeenMs
		}
	}
	for i := range use.Callers {
		stampCount(&use.Callers[i], r.committed.Of(use.Callers[i].Caller))
	}
	stampCount(&use.Others, r.committed.Others)
}

// subtractUse subtracts the counts that were reported before. Warnings and refusals whose calls were reported before are left out.
func subtractUse(use, base retire.Use) retire.Use {
	subtractCount := func(c, b retire.Count) retire.Count {
		c.Calls, c.Next, c.Worth = c.Calls-b.Calls, c.Next-b.Next, c.Worth-b.Worth
		c.Shed = min(c.Shed-b.Shed, c.Calls)
		c.Warned = min(c.Warned-b.Warned, c.Calls-c.Shed)
		c.Failed = min(c.Failed-b.Failed, c.Next)
		return c
	}
	difference := retire.Use{Others: subtractCount(use.Others, base.Others)}
	for _, c := range use.Callers {
		if c = subtractCount(c, base.Of(c.Caller)); c.Calls > 0 || c.Next > 0 {
			difference.Callers = append(difference.Callers, c)
		}
	}
	return difference
}

// addUse adds the counts of an incarnation to those of earlier ones.
func addUse(base, use retire.Use) retire.Use {
	return retire.Merge([]*retire.Use{&base, &use})
}

// sameCounts reports whether two reports hold the same counts.
func sameCounts(a, b retire.Use) bool {
	return slices.Equal(a.Callers, b.Callers) && a.Others == b.Others
}
