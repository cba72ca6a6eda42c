package history

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

func ownVersion(_ *History, f *facts) []Breach {
	var out []Breach
	for i := 1; i < len(f.fates); i++ {
		a, b := &f.fates[i-1], &f.fates[i]
		if a.version == b.version {
			out = append(out, Breach{OwnVersion, b.ended, fmt.Sprintf("writes %s and %s both have version %d", a.ID, b.ID, a.version)})
		}
	}
	return out
}

// point is a call that tells a version which was the newest at some moment of the call.
type point struct {
	began, ended time.Duration
	version      uint64
	text         string
}

// order holds the versions of consistent reads and of writes against real time: what begins after another has ended is not
// older. Unlike the search for an order it takes all keys together.
func order(h *History, f *facts) []Breach {
	var points []point
	for _, w := range f.fates {
		points = append(points, point{w.began, w.ended, w.version, "write " + w.ID})
	}
	for i := range h.Reads {
		if r := &h.Reads[i]; r.Consistent {
			points = append(points, point{r.Began, r.Ended, r.Version, "consistent read at " + r.Process})
		}
	}
	return ordered(points)
}

func ordered(points []point) []Breach {
	ends := slices.SortedFunc(slices.Values(points), func(a, b point) int { return cmp.Compare(a.ended, b.ended) })
	slices.SortFunc(points, func(a, b point) int { return cmp.Compare(a.began, b.began) })
	var out []Breach
	var newest point
	next := 0
	for _, p := range points {
		for next < len(ends) && ends[next].ended < p.began {
			if ends[next].version > newest.version {
				newest = ends[next]
			}
			next++
		}
		if p.version < newest.version {
			out = append(out, Breach{Linear, p.began, fmt.Sprintf("%s from %.3fs on has version %d; %s had version %d at %.3fs",
				p.text, p.began.Seconds(), p.version, newest.text, newest.version, newest.ended.Seconds())})
		}
	}
	return out
}

// kept builds the state of every version from the writes and compares every read with it.
func kept(h *History, f *facts) []Breach {
	reads := make([]*Read, 0, len(h.Reads))
	for i := range h.Reads {
		if !h.Reads[i].Bare {
			reads = append(reads, &h.Reads[i])
		}
	}
	slices.SortStableFunc(reads, func(a, b *Read) int { return cmp.Compare(a.Version, b.Version) })
	type holding struct {
		Item
		until int64
	}
	state, next := map[string]holding{}, 0
	var out []Breach
	for _, r := range reads {
		for ; next < len(f.fates) && f.fates[next].version <= r.Version; next++ {
			w := &f.fates[next]
			if w.outcome != applied {
				continue
			}
			for _, c := range w.Changes {
				state[c.Key] = holding{Item{c.Key, c.Value, w.version}, w.UntilMs}
			}
		}
		shown := map[string]Item{}
		tell := func(format string, args ...any) {
			out = append(out, Breach{Kept, r.Ended, fmt.Sprintf("%s at version %d: ", r.Process, r.Version) + fmt.Sprintf(format, args...)})
		}
		for _, item := range r.Items {
			shown[item.Key] = item
			want := state[item.Key]
			switch {
			case want.Value == "":
				tell("shows %s=%s of version %d, which nothing acknowledged has set", item.Key, item.Value, item.Version)
			case want.Item != item:
				tell("shows %s=%s of version %d; %s of version %d was acknowledged", item.Key, item.Value, item.Version, want.Value, want.Version)
			case want.until > 0 && want.until <= r.TimeMs:
				tell("shows %s, which ended at %d, at the record's time %d", item.Key, want.until, r.TimeMs)
			}
		}
		for _, key := range sorted(state) {
			want := state[key]
			if _, ok := shown[key]; !ok && want.Value != "" && (want.until == 0 || want.until > r.TimeMs) {
				tell("does not show %s=%s of version %d", key, want.Value, want.Version)
			}
		}
	}
	return out
}

func sameHash(h *History, _ *facts) []Breach {
	type first struct {
		*Read
		timed *Read // the first that tells the record's time
	}
	of := map[uint64]*first{}
	var out []Breach
	for i := range h.Reads {
		r := &h.Reads[i]
		known := of[r.Version]
		if known == nil {
			known = &first{Read: r}
			of[r.Version] = known
		}
		if r.Hash != known.Hash {
			out = append(out, Breach{SameHash, r.Ended, fmt.Sprintf("version %d has hash %.12s at %s and %.12s at %s", r.Version, r.Hash, r.Process, known.Hash, known.Process)})
		}
		switch {
		case r.Bare:
		case known.timed == nil:
			known.timed = r
		case r.TimeMs != known.timed.TimeMs:
			out = append(out, Breach{SameHash, r.Ended, fmt.Sprintf("version %d has the time %d at %s and %d at %s", r.Version, r.TimeMs, r.Process, known.timed.TimeMs, known.timed.Process)})
		}
	}
	return out
}

// neverBack looks at what each process shows of its own, between two wipes of its folder.
func neverBack(h *History, _ *facts) []Breach {
	var out []Breach
	of := map[string][]point{}
	for i := range h.Reads {
		r := &h.Reads[i]
		if r.Consistent {
			continue // may be another's state
		}
		life := 0
		for _, f := range h.Forgot {
			if f.Process == r.Process && f.At <= r.Began {
				life++
			}
		}
		name := fmt.Sprintf("%s, life %d", r.Process, life)
		of[name] = append(of[name], point{r.Began, r.Ended, r.Version, r.Process})
	}
	for _, name := range sorted(of) {
		for _, b := range ordered(of[name]) {
			out = append(out, Breach{NeverBack, b.At, b.Text})
		}
	}
	return out
}

// honestAge: the state shown was the newest one so long before the call at the earliest. So nothing newer may have
// been acknowledged before that moment.
func honestAge(h *History, f *facts) []Breach {
	done := make([]*fate, 0, len(f.fates))
	for i := range f.fates {
		if f.fates[i].ended != forever {
			done = append(done, &f.fates[i])
		}
	}
	slices.SortFunc(done, func(a, b *fate) int { return cmp.Compare(a.ended, b.ended) })
	newest := make([]*fate, len(done)) // of those that ended up to then
	for i, w := range done {
		newest[i] = w
		if i > 0 && newest[i-1].version > w.version {
			newest[i] = newest[i-1]
		}
	}
	var out []Breach
	for i := range h.Reads {
		r := &h.Reads[i]
		if r.AgeMs < 0 || slices.ContainsFunc(h.Unsure, func(u Unsure) bool { return u.Process == r.Process && r.Began <= u.To && u.From <= r.Ended }) {
			continue // it says that it does not know, or cannot
		}
		was := r.Began - time.Duration(r.AgeMs)*time.Millisecond
		n, _ := slices.BinarySearchFunc(done, was, func(w *fate, t time.Duration) int { return cmp.Compare(w.ended, t) })
		if n > 0 && newest[n-1].version > r.Version {
			w := newest[n-1]
			out = append(out, Breach{HonestAge, r.Ended, fmt.Sprintf("%s shows version %d with an age of %d ms from %.3fs on; write %s, version %d, was acknowledged at %.3fs",
				r.Process, r.Version, r.AgeMs, r.Began.Seconds(), w.ID, w.version, w.ended.Seconds())})
		}
	}
	return out
}

func honestTime(h *History, _ *facts) []Breach {
	reads := make([]*Read, 0, len(h.Reads))
	for i := range h.Reads {
		if !h.Reads[i].Bare {
			reads = append(reads, &h.Reads[i])
		}
	}
	slices.SortStableFunc(reads, func(a, b *Read) int { return cmp.Compare(a.Version, b.Version) })
	var out []Breach
	for i, r := range reads {
		if i > 0 && r.TimeMs < reads[i-1].TimeMs {
			out = append(out, Breach{HonestTime, r.Ended, fmt.Sprintf("version %d has the time %d, version %d the time %d",
				reads[i-1].Version, reads[i-1].TimeMs, r.Version, r.TimeMs)})
		}
		if ahead := r.TimeMs - r.EndedMs; ahead > h.ClockSlack.Milliseconds() {
			out = append(out, Breach{HonestTime, r.Ended, fmt.Sprintf("%s shows a record's time %d ms ahead", r.Process, ahead)})
		}
	}
	return out
}
