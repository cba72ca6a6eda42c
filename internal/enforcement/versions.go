package enforcement

import (
	"context"
	"log/slog"
	"strconv"
	"sync/atomic"

	"burlpass/internal/protocol"
	"burlpass/internal/record"
	"burlpass/internal/retire"
	"burlpass/internal/routing"
	"burlpass/internal/rules"
	"burlpass/internal/usage"
)

// Versions is a routing.Gate in front of an Enforcer. For API versions that are being retired it adds deprecation headers,
// sheds or refuses calls, and counts usage by caller. It passes every call to the Enforcer until it has a table.
type Versions struct {
	enforcer     *Enforcer
	usage        *usage.Reporter
	log          *slog.Logger
	admittedKeys []lockedKeySet // indexed by class: keys of calls that were let through
	timelines    atomic.Pointer[timelineTable]

	tables    retire.Tables // this and lastError belong to Run's goroutine
	lastError string
}

// timelineTable is a table of timelines with the usage counters and prepared refusals of each timeline.
type timelineTable struct {
	*retire.Table
	usageLines   []*usage.Line
	shedAnswers  []protocol.Answer // by timeline: answer to a shed call
	endedAnswers []protocol.Answer // by timeline: answer to a call of an ended version
}

// NewVersions returns a Versions that has no table yet.
func NewVersions(e *Enforcer, reporter *usage.Reporter) *Versions {
	v := &Versions{enforcer: e, usage: reporter, log: e.Log, admittedKeys: make([]lockedKeySet, len(e.Classes))}
	for i, class := range e.Classes {
		v.admittedKeys[i].window = class.Window
	}
	return v
}

// Run follows the record until ctx is done.
func (v *Versions) Run(ctx context.Context) { followReplica(ctx, v.enforcer.Member, v.applyView) }

// applyView puts the timelines of a view into effect. If they cannot be decoded, the previous table stays in effect.
func (v *Versions) applyView(view record.View) {
	table, err := v.tables.Of(view)
	if err != nil {
		if text := err.Error(); text != v.lastError {
			v.lastError = text
			v.log.Error("timelines_refused", "version", view.Version(), "err", err)
		}
		return
	}
	v.lastError = ""
	if current := v.timelines.Load(); current != nil && current.Table == table {
		return
	}
	next := &timelineTable{Table: table}
	for i := range table.Len() {
		next.usageLines = append(next.usageLines, v.usage.Line(table.Key(i)))
		notice := table.Notice(i)
		next.shedAnswers = append(next.shedAnswers, protocol.Answer{Verdict: protocol.Refused,
			Header: "Retry-After: " + strconv.Itoa(notice.RetryAfter) + "\r\n" + notice.Lines})
		next.endedAnswers = append(next.endedAnswers, protocol.Answer{Verdict: protocol.Ended, Header: notice.Lines})
	}
	v.timelines.Store(next)
	v.log.Info("timelines", "version", view.Version(), "timelines", table.Len())
}

// Admit admits or refuses a call: first by its API version, then by rules and limits. It implements routing.Gate.
func (v *Versions) Admit(call *protocol.Call) routing.CallPolicy {
	timelines := v.timelines.Load()
	if timelines == nil || timelines.Len() == 0 || call.Origin == nil || call.Origin.Version == "" || call.Class >= len(v.admittedKeys) {
		return v.enforcer.Admit(call)
	}
	enforcer := v.enforcer
	query := rules.Call{Island: enforcer.Island, Hall: enforcer.Hall, Class: enforcer.Classes[call.Class].Name, Path: call.Origin.Path, Caller: call.Origin.Caller}
	notice := timelines.Lookup(&query, call.Origin.Version)
	successorOf := timelines.Follows(&query, call.Origin.Version, -1)
	if notice.Timeline < 0 && successorOf < 0 {
		return enforcer.Admit(call)
	}
	var counts *usage.Counts
	if notice.Timeline >= 0 {
		counts = timelines.usageLines[notice.Timeline].Of(query.Caller)
		counts.Called()
		switch {
		case notice.Ended:
			return routing.CallPolicy{Refusal: &timelines.endedAnswers[notice.Timeline]}
		case notice.Shed && !call.Origin.UnderWay && !v.admittedBefore(call):
			counts.Shed(enforcer.worth(&query))
			return routing.CallPolicy{Refusal: &timelines.shedAnswers[notice.Timeline]}
		}
	}
	terms := enforcer.Admit(call)
	if terms.Refusal != nil {
		return terms
	}
	if notice.Timeline >= 0 {
		v.rememberAdmitted(call)
		if terms.Header += notice.Lines; notice.Lines != "" {
			terms.Written = func(protocol.Verdict) { counts.Warned() }
		}
	}
	if successorOf >= 0 {
		timelines.countSuccessorCalls(&query, call.Origin.Version, successorOf, &terms)
	}
	return terms
}

// countSuccessorCalls counts a call of a successor version when it ends, for each timeline that names that version.
func (t *timelineTable) countSuccessorCalls(query *rules.Call, version string, first int, terms *routing.CallPolicy) {
	var usageLines []*usage.Line
	for i := first; i >= 0; i = t.Follows(query, version, i) {
		usageLines = append(usageLines, t.usageLines[i])
	}
	caller, previous := query.Caller, terms.Ended
	terms.Ended = func(end routing.CallResult) {
		if previous != nil {
			previous(end)
		}
		if end.ClientLeft {
			return
		}
		for _, line := range usageLines {
			line.Of(caller).Next(end.Verdict != protocol.Served)
		}
	}
}

// admittedBefore reports whether a call repeats one that was let through.
func (v *Versions) admittedBefore(call *protocol.Call) bool {
	hash, keyed := v.enforcer.dedupHash(call)
	if !keyed {
		return false
	}
	admitted := &v.admittedKeys[call.Class]
	admitted.mu.Lock()
	defer admitted.mu.Unlock()
	return admitted.contains(hash, v.enforcer.Now())
}

func (v *Versions) rememberAdmitted(call *protocol.Call) {
	hash, keyed := v.enforcer.dedupHash(call)
	if !keyed {
		return
	}
	admitted := &v.admittedKeys[call.Class]
	admitted.mu.Lock()
	defer admitted.mu.Unlock()
	admitted.add(hash, v.enforcer.Now())
}

// worth returns the worth that rules assign to a call, 1 by default.
func (e *Enforcer) worth(query *rules.Call) int64 {
	if table := e.table.Load(); table != nil {
		if worth := table.Lookup(query, 0).Worth; worth >= 0 {
			return worth
		}
	}
	return 1
}
