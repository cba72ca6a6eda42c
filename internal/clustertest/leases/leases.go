// Package leases judges what processes of a cluster went by of the limits that are divided among them: a pure function of the lines
// that they have logged and of the writes by which the limits were set.
package leases

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"burlpass/internal/lease"
)

// Lease is what one process, since one start, went by of a limit: an amount from a time on, until it goes by another one, or
// to the end of the lease. Times are in microseconds of the clock that all processes of a machine share.
type Lease struct {
	Limit, Holder string
	Amount        int64
	From, Until   int64
}

// Setting is a write that has set a limit, begun and answered at times of the same clock. Settings of a limit come one after another.
type Setting struct {
	Limit        string
	Amount       int64
	Began, Ended int64
}

// Late is how long after the answer to a write that lowers a limit more of it may be out: what was given before ends after a lease's
// length and the drift. A busy machine reads clocks a little later than it acts.
const Late = lease.Length + lease.Length/lease.Drift + 100*time.Millisecond

// Over is a moment at which more of a limit was out than its amount.
type Over struct {
	Limit    string
	At       int64 // us
	Out, Max int64
	Holders  string // who held how much
}

// String is the excess as a report's line.
func (o Over) String() string {
	return fmt.Sprintf("%s: %d out of %d at %d us: %s", o.Limit, o.Out, o.Max, o.At, o.Holders)
}

// Parse reads a line of a process's log; false where it tells of no lease.
func Parse(line string) (l Lease, ok bool) {
	if !strings.Contains(line, "event=lease ") {
		return l, false
	}
	found := 0
	for _, field := range strings.Fields(line) {
		key, value, _ := strings.Cut(field, "=")
		if text, err := strconv.Unquote(value); err == nil {
			value = text
		}
		var n *int64
		switch key {
		case "limit":
			l.Limit, found = value, found+1
		case "holder":
			l.Holder, found = value, found+1
		case "amount":
			n = &l.Amount
		case "from":
			n = &l.From
		case "until":
			n = &l.Until
		}
		if n != nil {
			var err error
			if *n, err = strconv.ParseInt(value, 10, 64); err != nil {
				return l, false
			}
			found++
		}
	}
	return l, found == 5
}

// Check finds when more was out than a limit, the first moment of each stretch. The leases of each holder come in the order of its lines.
func Check(all []Lease, settings []Setting) (over []Over) {
	byLimit := map[string][]Lease{}
	for _, l := range all {
		byLimit[l.Limit] = append(byLimit[l.Limit], l)
	}
	set := map[string][]Setting{}
	for _, s := range settings {
		set[s.Limit] = append(set[s.Limit], s)
	}
	for _, id := range sorted(byLimit) {
		over = append(over, check(id, byLimit[id], set[id])...)
	}
	return over
}

// step is a change of what one holder goes by; set is false where it is only the amount in force that changes.
type step struct {
	at     int64
	holder string
	amount int64
	set    bool
}

func check(id string, all []Lease, settings []Setting) (over []Over) {
	lines := map[string][]Lease{}
	for _, l := range all {
		lines[l.Holder] = append(lines[l.Holder], l)
	}
	var steps []step
	for holder, of := range lines {
		for i, l := range of {
			if i+1 < len(of) && of[i+1].From <= l.From {
				continue // replaced at once
			}
			if l.Until <= l.From { // told of after its end
				l.Amount, l.Until = 0, l.From
			}
			steps = append(steps, step{l.From, holder, l.Amount, true})
			if i+1 == len(of) || of[i+1].From > l.Until {
				steps = append(steps, step{l.Until, holder, 0, true})
			}
		}
	}
	for _, s := range settings {
		steps = append(steps, step{at: s.Ended + Late.Microseconds() + 1})
	}
	// Of one moment, what ends comes before what begins.
	slices.SortStableFunc(steps, func(a, b step) int { return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.amount, b.amount)) })
	has, out, was := map[string]int64{}, int64(0), false
	for i, s := range steps {
		if s.set {
			out += s.amount - has[s.holder]
			has[s.holder] = s.amount
		}
		if i+1 < len(steps) && steps[i+1].at == s.at {
			continue
		}
		most := inForce(settings, s.at)
		if out > most && !was {
			var who []string
			for _, h := range sorted(has) {
				if has[h] > 0 {
					who = append(who, fmt.Sprintf("%s %d", h, has[h]))
				}
			}
			over = append(over, Over{id, s.at, out, most, strings.Join(who, ", ")})
		}
		was = out > most
	}
	return over
}

// inForce is the most that may be out at a moment: by the setting of then, one that has begun, or one that was lowered lately.
func inForce(settings []Setting, at int64) (most int64) {
	for i, s := range settings {
		if at >= s.Began && (i+1 == len(settings) || at <= settings[i+1].Ended+Late.Microseconds()) {
			most = max(most, s.Amount)
		}
	}
	return most
}

func sorted[V any](m map[string]V) []string {
	names := make([]string, 0, len(m))
	for name := range m {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
