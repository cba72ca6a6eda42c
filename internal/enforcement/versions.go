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

// Versions is a routing.Gate before an Enforcer: it warns of versions that end, sheds and refuses their calls, and counts who uses them. Until
// it has a table it lets all calls pass to the Enforcer.
type Versions struct {
	governor *Enforcer
	usage    *usage.Reporter
	log      *slog.Logger
	keys     []keyring // by class: those whose first try was let through
	board    atomic.Pointer[board]

	tables retire.Tables // of Run, as the fault
	fault  string
}

// board is a table, and where its timelines' calls are counted.
type board struct {
	*retire.Table
	lines   []*usage.Line
	refused []protocol.Answer // by timeline: of calls that are shed
	ended   []protocol.Answer // of those whose version has ended
}

// NewVersions returns Versions without a table.
func NewVersions(g *Enforcer, u *usage.Reporter) *Versions {
	v := &Versions{governor: g, usage: u, log: g.Log, keys: make([]keyring, len(g.Classes))}
	for i, k := range g.Classes {
		v.keys[i].window = k.Window
	}
	return v
}

// Run follows the record until ctx is done.
func (v *Versions) Run(ctx context.Context) { looks(ctx, v.governor.Member, v.follow) }

// follow puts a state's timelines in force. What cannot be read leaves the table before.
func (v *Versions) follow(view record.View) {
	t, err := v.tables.Of(view)
	if err != nil {
		if text := err.Error(); text != v.fault {
			v.fault = text
			v.log.Error("timelines_refused", "version", view.Version(), "err", err)
		}
		return
	}
	v.fault = ""
	if b := v.board.Load(); b != nil && b.Table == t {
		return
	}
	b := &board{Table: t}
	for i := range t.Len() {
		b.lines = append(b.lines, v.usage.Line(t.Key(i)))
		n := t.Notice(i)
		b.refused = append(b.refused, protocol.Answer{Verdict: protocol.Refused,
			Header: "Retry-After: " + strconv.Itoa(n.RetryAfter) + "\r\n" + n.Lines})
		b.ended = append(b.ended, protocol.Answer{Verdict: protocol.Ended, Header: n.Lines})
	}
	v.board.Store(b)
	v.log.Info("timelines", "version", view.Version(), "timelines", t.Len())
}

// Admit is the router's question about a call: versions first, then the rules and their limits.
func (v *Versions) Admit(call *protocol.Call) routing.CallPolicy {
	b := v.board.Load()
	if b == nil || b.Len() == 0 || call.Origin == nil || call.Origin.Version == "" || call.Class >= len(v.keys) {
		return v.governor.Admit(call)
	}
	g := v.governor
	q := rules.Call{Island: g.Island, Hall: g.Hall, Class: g.Classes[call.Class].Name, Path: call.Origin.Path, Caller: call.Origin.Caller}
	n := b.Lookup(&q, call.Origin.Version)
	follows := b.Follows(&q, call.Origin.Version, -1)
	if n.Timeline < 0 && follows < 0 {
		return g.Admit(call)
	}
	var counts *usage.Counts
	if n.Timeline >= 0 {
		counts = b.lines[n.Timeline].Of(q.Caller)
		counts.Called()
		switch {
		case n.Ended:
			return routing.CallPolicy{Refusal: &b.ended[n.Timeline]}
		case n.Shed && !call.Origin.UnderWay && !v.passed(call):
			counts.Shed(g.worth(&q))
			return routing.CallPolicy{Refusal: &b.refused[n.Timeline]}
		}
	}
	out := g.Admit(call)
	if out.Refusal != nil {
		return out
	}
	if n.Timeline >= 0 {
		v.pass(call)
		if out.Header += n.Lines; n.Lines != "" {
			out.Written = func(protocol.Verdict) { counts.Warned() }
		}
	}
	if follows >= 0 {
		b.follow(&q, call.Origin.Version, follows, &out)
	}
	return out
}

// follow has a call of a successor counted at its end, for each timeline that names it.
func (b *board) follow(q *rules.Call, version string, first int, out *routing.CallPolicy) {
	var lines []*usage.Line
	for i := first; i >= 0; i = b.Follows(q, version, i) {
		lines = append(lines, b.lines[i])
	}
	caller, before := q.Caller, out.Ended
	out.Ended = func(end routing.CallResult) {
		if before != nil {
			before(end)
		}
		if end.ClientLeft {
			return
		}
		for _, l := range lines {
			l.Of(caller).Next(end.Verdict != protocol.Served)
		}
	}
}

// passed tells whether a call repeats one that was let through.
func (v *Versions) passed(call *protocol.Call) bool {
	hash, keyed := v.governor.key(call)
	if !keyed {
		return false
	}
	k := &v.keys[call.Class]
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.passed(hash, v.governor.Now())
}

func (v *Versions) pass(call *protocol.Call) {
	hash, keyed := v.governor.key(call)
	if !keyed {
		return
	}
	k := &v.keys[call.Class]
	k.mu.Lock()
	defer k.mu.Unlock()
	k.pass(hash, v.governor.Now())
}

// worth is what rules say that a call is worth, 1 where they say nothing.
func (g *Enforcer) worth(q *rules.Call) int64 {
	if t := g.table.Load(); t != nil {
		if w := t.Lookup(q, 0).Worth; w >= 0 {
			return w
		}
	}
	return 1
}
