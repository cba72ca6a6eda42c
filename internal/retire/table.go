package retire

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"sync"
	"time"

	"burlpass/internal/record"
	"burlpass/internal/rules"
)

// Notice is the effect of the timelines on one call.
type Notice struct {
	Timeline   int    // number in the table, for Table.Key; -1: none, the call is not affected
	Stage      string // "" before the first stage
	Lines      string // headers Deprecation, Sunset and Link, each with CR LF; "" before the stage Warned
	Shed       bool   // refuse the call temporarily, unless it is in progress
	Ended      bool   // refuse the call permanently
	RetryAfter int    // of a call that is shed, in seconds
}

// Table looks up the Notice of each call. It is immutable and depends on the state alone.
type Table struct {
	entries     []tableEntry
	byVersion   map[versionClass][]int32 // by version and class, ascending; at most one timeline matches a call
	bySuccessor map[versionClass][]int32 // by the successor's version and the class
}

// versionClass is a version and a class, which is "" for any class.
type versionClass struct{ version, class string }

// tableEntry is a timeline in the table.
type tableEntry struct {
	key    string
	in     rules.Selector
	notice Notice // except Shed
	cut    uint64 // 0: no callers are shed
	exempt []string
}

// buildTable returns the table of the timelines at the record's time now, and the time until which it is valid.
func buildTable(all []*activeTimeline, now int64) (*Table, int64) {
	t := &Table{byVersion: map[versionClass][]int32{}, bySuccessor: map[versionClass][]int32{}}
	until := int64(math.MaxInt64)
	for i, active := range all {
		entry := tableEntry{key: active.key, in: active.parsedKey.In, notice: Notice{Timeline: i, Stage: active.stageName(), RetryAfter: int(active.t.RetryS)}}
		if active.stage != nil && active.stage.At > 0 {
			entry.notice.Lines = active.t.headerLines()
			entry.notice.Ended = active.stage.Stage == Ended
		}
		if active.stage != nil && active.stage.Stage == Shed && (active.stage.Held == nil || !active.stage.Held.Harm) {
			entry.cut, _ = parseCut(active.stage.Cut)
		}
		for _, e := range active.t.Exempt {
			if now < e.UntilMs {
				entry.exempt = append(entry.exempt, e.Caller)
				until = min(until, e.UntilMs)
			}
		}
		t.entries = append(t.entries, entry)
		key := versionClass{active.parsedKey.Version, active.parsedKey.In.Class}
		t.byVersion[key] = append(t.byVersion[key], int32(i))
		if active.t.Successor != "" {
			key.version = active.t.Successor
			t.bySuccessor[key] = append(t.bySuccessor[key], int32(i))
		}
	}
	return t, until
}

// headerLines returns the response headers that announce the end of the version: Deprecation (RFC 9745), Sunset (RFC 8594)
// and the corresponding relations of Link.
func (t *Timeline) headerLines() string {
	var b strings.Builder
	fmt.Fprintf(&b, "Deprecation: @%d\r\n", t.Steps[1].AtMs/1000)
	end := time.UnixMilli(t.Steps[len(t.Steps)-1].AtMs).UTC().Format("Mon, 02 Jan 2006 15:04:05 GMT")
	fmt.Fprintf(&b, "Sunset: %s\r\nLink: <%s>; rel=\"deprecation\", <%s>; rel=\"sunset\"", end, t.Link, t.Link)
	if t.SuccessorLink != "" {
		fmt.Fprintf(&b, ", <%s>; rel=\"successor-version\"", t.SuccessorLink)
	}
	b.WriteString("\r\n")
	return b.String()
}

// Lookup returns the notice for a call of a version. It does not allocate.
func (t *Table) Lookup(c *rules.Call, version string) Notice {
	for _, key := range [...]versionClass{{version, c.Class}, {version, ""}} {
		for _, i := range t.byVersion[key] {
			if entry := &t.entries[i]; entry.in.Matches(*c) {
				notice := entry.notice
				notice.Shed = entry.cut > 0 && belowCut(CallerHash(entry.key, c.Caller), entry.cut) && !slices.Contains(entry.exempt, c.Caller)
				return notice
			}
		}
		if c.Class == "" {
			break
		}
	}
	return Notice{Timeline: -1}
}

// Follows returns the number of the next timeline, after the given one, whose successor is the version of the call; -1 if
// there is none. A search starts with after = -1.
func (t *Table) Follows(c *rules.Call, version string, after int) int {
	next := -1
	for _, key := range [...]versionClass{{version, c.Class}, {version, ""}} {
		for _, i := range t.bySuccessor[key] {
			if int(i) > after && (next < 0 || int(i) < next) && t.entries[i].in.Matches(*c) {
				next = int(i)
			}
		}
		if c.Class == "" {
			break
		}
	}
	return next
}

// Notice returns the notice for calls of a timeline in the table, without Shed, which depends on the caller.
func (t *Table) Notice(timeline int) Notice { return t.entries[timeline].notice }

// Key returns the key of a timeline in the table.
func (t *Table) Key(timeline int) string { return t.entries[timeline].key }

// Len returns the number of timelines in the table.
func (t *Table) Len() int { return len(t.entries) }

// Tables builds the table of each state and reuses the last one while its inputs do not change. It is safe for concurrent
// use, and the zero value is ready to use.
type Tables struct {
	mu      sync.Mutex
	sources []record.Item // items that latest was built from
	until   int64         // end of the validity of latest, by the record's time
	latest  *Table
}

// Of returns the table of a state.
func (t *Tables) Of(v record.View) (*Table, error) {
	var sources []record.Item
	for _, k := range []record.Kind{TimelineKind, StageKind} {
		v.Each(k, func(i record.Item) bool {
			sources = append(sources, i)
			return true
		})
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	same := func(a, b record.Item) bool {
		return a.Kind == b.Kind && a.Key == b.Key && string(a.Value) == string(b.Value)
	}
	if t.latest != nil && v.TimeMs() < t.until && slices.EqualFunc(t.sources, sources, same) {
		return t.latest, nil
	}
	all, err := activeTimelines(v)
	if err != nil {
		return nil, err
	}
	t.latest, t.until = buildTable(all, v.TimeMs())
	t.sources = sources
	return t.latest, nil
}
