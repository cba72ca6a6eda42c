// Package retire implements the retirement of versions of the fleet's API: timelines of stages that advance by the record's
// time and by the calls that all processes have counted, and the effect of the current stage on each call. It performs no
// I/O and reads no clock. docs/retire.md describes the design.
package retire

import (
	"burlpass/internal/record"
)

// The kinds of items in the record.
const (
	TimelineKind record.Kind = "timeline" // keyed by NAMESPACE@VERSION
	StageKind    record.Kind = "stage"    // keyed by the timeline's key
	UseKind      record.Kind = "use"      // keyed by TIMELINE#INCARNATION, or TIMELINE#past for folded counts
)

// Kinds returns all kinds of this package, sorted.
func Kinds() []record.Kind { return []record.Kind{StageKind, TimelineKind, UseKind} }

// The stages, in the order in which a timeline may have them. Shed and Pause may be repeated; a Pause follows a Shed.
const (
	Announced = "announced" // calls are not affected
	Warned    = "warned"    // responses carry headers that announce the end of the version
	Shed      = "shed"      // a share of the calls is refused, the others are warned
	Pause     = "pause"     // no calls are refused, as between two brownouts
	Ended     = "ended"     // all calls of the version are refused
)

// Cluster is the author of automatic writes: counts, and steps whose conditions are met. It may be followed by "/" and a
// name.
const Cluster = "cluster"

// Timeline is the retirement plan of a version in a namespace.
type Timeline struct {
	Successor     string      `json:"successor,omitempty"`      // version that replaces the retired one
	Link          string      `json:"link"`                     // documentation for callers
	SuccessorLink string      `json:"successor_link,omitempty"` // location of the successor; present if and only if Successor is
	RetryS        int64       `json:"retry_s"`                  // Retry-After of a refused call, in seconds
	Steps         []Step      `json:"steps"`
	Exempt        []Exemption `json:"exempt,omitempty"` // sorted by caller
	Harm          Harm        `json:"harm"`
}

// Step is one stage of a timeline.
type Step struct {
	Stage   string `json:"stage"`
	Share   int64  `json:"share,omitempty"`    // shed only: thousandths of the calls, rising from one shed step to the next
	AtMs    int64  `json:"at_ms"`              // earliest start by the record's time, Unix ms
	AfterMs int64  `json:"after_ms,omitempty"` // minimum duration of the previous stage
	Need    *Need  `json:"need,omitempty"`     // shed and ended only: warnings that callers must have received
}

// Need requires that every caller with more than a given share of the calls has been warned.
type Need struct {
	Above int64 `json:"above"`  // thousandths of the calls since the previous stage began
	Times int64 `json:"times"`  // minimum number of warnings of a caller
	ForMs int64 `json:"for_ms"` // minimum time since the first of them
}

// Exemption protects a caller from being shed.
type Exemption struct {
	Caller  string `json:"caller"`
	UntilMs int64  `json:"until_ms"` // expiry by the record's time, Unix ms; not after the last step's time
}

// Harm holds the thresholds at which a stage is held automatically. A threshold of 0 is not checked.
type Harm struct {
	Worth       int64 `json:"worth,omitempty"`        // total worth of the calls shed since the stage began
	Lost        int64 `json:"lost,omitempty"`         // number of callers that were shed at least LostShed times and do not call the successor
	LostShed    int64 `json:"lost_shed,omitempty"`    // present if and only if Lost is
	Failed      int64 `json:"failed,omitempty"`       // failed calls of the successor since the stage began, in thousandths
	FailedCalls int64 `json:"failed_calls,omitempty"` // minimum number of calls of the successor for Failed to apply; present if and only if Failed is
}

// Stage is the current stage of a timeline.
type Stage struct {
	At      int        `json:"at"`            // index in Timeline.Steps
	Stage   string     `json:"stage"`         // name of the stage
	SinceMs int64      `json:"since_ms"`      // start by the record's time, or up to StageLeadMs later
	Cut     string     `json:"cut,omitempty"` // shed, and the pause after it: threshold in 16 hex digits; callers with a lower hash are shed
	Held    *Held      `json:"held,omitempty"`
	Base    HarmTotals `json:"base"` // totals when the stage began, or when the owner last resumed it
	Mark    Mark       `json:"mark"` // calls counted when the stage began
	Log     []Move     `json:"log"`  // most recent moves, oldest first
}

// Held gives the reason why a stage is held.
type Held struct {
	Why  string `json:"why"`
	Harm bool   `json:"harm,omitempty"` // held automatically: no calls are shed until the owner resumes it
}

// HarmTotals are the totals that are compared with the thresholds of Harm.
type HarmTotals struct {
	Shed   int64 `json:"shed"`
	Worth  int64 `json:"worth"`
	Next   int64 `json:"next"`
	Failed int64 `json:"failed"`
	Lost   int64 `json:"lost"`
}

// Mark is a snapshot of the call counts: the total, and those of the callers with the most calls.
type Mark struct {
	Calls   int64         `json:"calls"`
	Others  int64         `json:"others"`            // calls among these by callers without a count of their own
	Callers []CallerCalls `json:"callers,omitempty"` // sorted by name; the MaxFoldedCallers callers with the most calls
}

// CallerCalls is the number of calls of a caller.
type CallerCalls struct {
	Caller string `json:"caller"`
	Calls  int64  `json:"calls"`
}

// The moves of a timeline. DoStep and a DoHold because of harm are written by the cluster, all others by the owner.
const (
	DoStep  = "step"
	DoHold  = "hold"
	DoGo    = "go"    // resume a held stage; harm is counted from now on
	DoForce = "force" // enter the next stage regardless of its conditions
	DoBack  = "back"  // return to an earlier stage and hold it
)

// Move is one entry of a timeline's history.
type Move struct {
	Ms  int64  `json:"ms"` // Unix ms by the record's time, or up to StageLeadMs later
	By  string `json:"by"`
	Do  string `json:"do"`
	To  int    `json:"to"` // index in Timeline.Steps
	Why string `json:"why,omitempty"`
}

// Use holds the counts of one process for a timeline, since the process started counting.
type Use struct {
	SeenMs  int64   `json:"seen_ms"`           // time of the write, by the record's time or up to UseLeadMs later
	Callers []Count `json:"callers,omitempty"` // sorted by name
	Others  Count   `json:"others"`            // all callers without a count of their own; Caller is ""
}

// Count holds the counters of a caller. They never decrease.
type Count struct {
	Caller  string `json:"caller,omitempty"`
	Calls   int64  `json:"calls,omitempty"`    // calls of the retired version, including refused ones
	Warned  int64  `json:"warned,omitempty"`   // responses with a warning that were written completely
	FirstMs int64  `json:"first_ms,omitempty"` // time of the first warning: by the record's time, or up to UseLeadMs later
	Shed    int64  `json:"shed,omitempty"`     // calls refused while shedding
	Worth   int64  `json:"worth,omitempty"`    // total worth of the calls shed
	Next    int64  `json:"next,omitempty"`     // calls of the successor version
	Failed  int64  `json:"failed,omitempty"`   // failed calls of the successor
}

// Size limits.
const (
	MaxCallers       = 64   // callers with their own count in one process's counts of a timeline
	MaxFoldedCallers = 192  // callers with their own count in the folded counts, and in a mark
	maxSteps         = 24   // steps of a timeline
	maxExempt        = 32   // exemptions of a timeline
	maxTimelineBytes = 6000 // bytes of a timeline, so that it fits into a value together with its history
	maxLog           = 16   // moves in a stage's log
	maxWhyBytes      = 160  // bytes of a reason
	maxByBytes       = 80   // bytes of the author of a move
	maxCount         = int64(1e12)
	maxFoldedCount   = int64(1e17)
)

// Time limits. A timestamp in a write is the record's time plus an allowance for the duration of the write, so that it is
// never earlier than the event.
const (
	StageLeadMs = 5_000   // maximum lead of a stage's timestamps over the record's time
	UseLeadMs   = 60_000  // maximum lead of the timestamps in counts
	QuietMs     = 600_000 // time without a write after which an incarnation is folded
)
