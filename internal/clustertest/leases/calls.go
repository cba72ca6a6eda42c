package leases

import "strings"

// Call is one that a process let in: it was admitted at some time between its begin and its end, in microseconds.
type Call struct {
	Process, Path string
	Began, Ended  int64
}

// Start is a process's start.
type Start struct {
	Process string
	At      int64
}

// Without finds the calls that were let in by a process that knew of the limit and had no lease of it at any time of the call. A
// holder's name is its process's, '/', and what tells its starts apart. What a process knows of a limit begins with its first lease
// since a start: before that it may have had no rules yet.
func Without(limit string, all []Lease, calls []Call, starts []Start) (out []Call) {
	lines := map[string][]Lease{} // by process
	for _, l := range all {
		if l.Limit == limit {
			name, _, _ := strings.Cut(l.Holder, "/")
			lines[name] = append(lines[name], l)
		}
	}
	for _, c := range calls {
		started := int64(0)
		for _, s := range starts {
			if s.Process == c.Process && s.At <= c.Ended {
				started = max(started, s.At)
			}
		}
		knows, had := false, false
		of := lines[c.Process]
		for i, l := range of {
			if l.From >= started && l.From <= c.Began {
				knows = true
			}
			end := l.Until
			if i+1 < len(of) && of[i+1].Holder == l.Holder {
				end = min(end, of[i+1].From)
			}
			// Times are cut to whole microseconds.
			had = had || l.Amount > 0 && l.From <= c.Ended && c.Began <= end+1
		}
		if knows && !had {
			out = append(out, c)
		}
	}
	return out
}
