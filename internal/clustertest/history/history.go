// Package history judges what clients of a cluster have seen: pure functions of the calls made and the answers had. It
// knows the promises of docs/cluster.md and nothing of how they are kept.
package history

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Change is one item that a write sets to a value, or removes where the value is empty.
type Change struct{ Key, Value string }

// Attempt is one call with a write at one process.
type Attempt struct {
	Process      string
	Began, Ended time.Duration // since the run began
	Refused      bool          // surely not taken
	Unknown      bool          // nobody can tell; else the fields below hold
	Outcome      string        // as record.Outcome
	Version      uint64
	Newer        map[string]uint64 // of a stale write: versions, by key, of what stands in its way
}

func (a *Attempt) definite() bool { return !a.Refused && !a.Unknown }

// Write is one write and all the calls made with it under its id.
type Write struct {
	ID       string
	Base     uint64
	Changes  []Change // values are fresh for every write
	UntilMs  int64    // Unix time at which what it sets ends by itself; 0: never. Its keys are no other write's then
	Attempts []Attempt
}

// Item is one item as a read showed it.
type Item struct {
	Key, Value string
	Version    uint64
}

// Read is one answer that shows a process's state.
type Read struct {
	Process      string
	Consistent   bool
	Began, Ended time.Duration // since the run began
	EndedMs      int64         // Unix time when the answer was there
	Version      uint64
	TimeMs       int64 // the record's time
	Hash         string
	AgeMs        int64  // below 0: not known
	Items        []Item // in the order of their keys; nil where the answer has none to show, as a status
	Bare         bool   // a status: without items and the record's time
}

// Forgot is a moment from which on a process may show older states than before: its folder was wiped.
type Forgot struct {
	Process string
	At      time.Duration
}

// Unsure is a time in which a process's age says nothing: after a start it goes by a clock that is wrong, or was.
type Unsure struct {
	Process  string
	From, To time.Duration
}

// History is what one run has seen.
type History struct {
	Writes []*Write
	Reads  []Read
	Forgot []Forgot
	Unsure []Unsure
	// ClockSlack is how far ahead of real time the record's time may be, where no majority of clocks is wrong.
	ClockSlack time.Duration
}

// Promise names what was broken.
type Promise string

// The promises.
const (
	OneResult    Promise = "one-result"   // a write has one result, whoever is asked however often
	OwnVersion   Promise = "own-version"  // no two writes have one version
	Linear       Promise = "linear"       // consistent reads and acknowledged writes have an order, that of real time
	Kept         Promise = "kept"         // what is shown at a version is what was acknowledged up to it, and nothing else
	SameHash     Promise = "same-hash"    // equal versions have equal hashes
	NeverBack    Promise = "never-back"   // no process shows an older state than before
	HonestAge    Promise = "honest-age"   // what is shown was the newest, as long ago as its age says
	HonestTime   Promise = "honest-time"  // the record's time never goes back, nor ahead of most clocks
	Converges    Promise = "converges"    // after healing all come to one state, with all that was acknowledged
	TakesAgain   Promise = "takes-again"  // after healing writes are taken, and asked again have their result
	NewIdentity  Promise = "new-identity" // a wiped voter is another one
	StaysUp      Promise = "stays-up"     // no process ends that was not told to
	Unfinished   Promise = "unfinished"   // the check itself took too long
	CaughtFirst  Promise = "caught-first" // a vote is given to a member that has the log
	ServesCalls  Promise = "serves-calls" // the sidecar serves though its cluster's part failed
	BoundedTime  Promise = "bounded-time" // a call is answered within its bound
	Leased       Promise = "leased"       // what processes go by of a limit adds up to no more, and nothing is let in without a lease
	OneAnswer    Promise = "one-answer"   // each call has one answer; one refused by a rule is told when to come again
	SameTable    Promise = "same-table"   // rules of one version are one table at all processes
	FollowerTree Promise = "tree"         // followers spread over sources, without a circle
)

// Breach is one promise broken.
type Breach struct {
	Promise Promise
	At      time.Duration
	Text    string
}

// String is the breach as a report's line.
func (b Breach) String() string {
	return fmt.Sprintf("%s at %.3fs: %s", b.Promise, b.At.Seconds(), b.Text)
}

// most is how many breaches of one promise are told.
const most = 5

// Check holds a history against all promises that calls and answers show. Breaches come in the order of the checks, at
// most five of each.
func Check(h *History) []Breach {
	known, out := settle(h)
	checks := []func(*History, *facts) []Breach{ownVersion, linear, order, kept, sameHash, neverBack, honestAge, honestTime}
	for _, check := range checks {
		found := check(h, known)
		out = append(out, found[:min(len(found), most)]...)
	}
	return out
}

// fate is what became of one write in the end.
type fate struct {
	*Write
	began   time.Duration // of the first call that was not refused
	ended   time.Duration // of the first definite answer; forever where only reads tell
	outcome string
	version uint64
	newer   map[string]uint64
}

const forever = time.Duration(1<<63 - 1)

// applied is the outcome of a write that has changed something.
const (
	applied = "applied"
	stale   = "stale"
)

// facts are the writes with a known end, by version.
type facts struct {
	fates   []fate
	byValue map[string]*fate // applied ones
}

// settle finds the one result of each write. A write that only a read shows has the version that the read gave it.
func settle(h *History) (*facts, []Breach) {
	var out []Breach
	seen := map[string]uint64{}
	for i := range h.Reads {
		for _, item := range h.Reads[i].Items {
			if _, ok := seen[item.Value]; !ok {
				seen[item.Value] = item.Version
			}
		}
	}
	f := &facts{byValue: map[string]*fate{}}
	for _, w := range h.Writes {
		one := fate{Write: w, began: forever, ended: forever}
		for i := range w.Attempts {
			a := &w.Attempts[i]
			if a.Refused {
				continue
			}
			one.began = min(one.began, a.Began)
			if !a.definite() {
				continue
			}
			if one.outcome != "" && (a.Outcome != one.outcome || a.Version != one.version) {
				out = append(out, Breach{OneResult, a.Ended, fmt.Sprintf("write %s: %s says %s at version %d, before it was %s at version %d",
					w.ID, a.Process, a.Outcome, a.Version, one.outcome, one.version)})
				continue
			}
			if one.outcome == "" {
				one.outcome, one.version, one.newer = a.Outcome, a.Version, a.Newer
			}
			one.ended = min(one.ended, a.Ended)
		}
		if one.outcome == "" && one.began != forever {
			for _, c := range w.Changes {
				if v, ok := seen[c.Value]; ok && c.Value != "" {
					one.outcome, one.version = applied, v
				}
			}
		}
		if one.outcome != "" {
			f.fates = append(f.fates, one)
		}
	}
	slices.SortStableFunc(f.fates, func(a, b fate) int { return cmp.Compare(a.version, b.version) })
	for i := range f.fates {
		for _, c := range f.fates[i].Changes {
			if f.fates[i].outcome == applied && c.Value != "" {
				f.byValue[c.Value] = &f.fates[i]
			}
		}
	}
	return f, out[:min(len(out), most)]
}
