package retire

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"burlpass/internal/record"
	"burlpass/internal/rules"
)

// testingT is implemented by *testing.T and *rapid.T.
type testingT interface {
	Helper()
	Fatal(args ...any)
	Fatalf(format string, args ...any)
}

// testEnv is a record with rules and timelines whose time is set by the test.
type testEnv struct {
	t       testingT
	machine *record.Machine
	reader  *Reader
	writes  int
}

const (
	bookingNamespace = "*/*/booking"
	v1Key            = bookingNamespace + "@v1"
)

func newTestEnv(t testingT) *testEnv {
	env := &testEnv{t: t, reader: &Reader{}}
	env.machine = record.New(record.Bounds{}, append(rules.Domains(Env), Domains()...)...)
	env.setTime(1)
	env.mustAmend("root", rules.TeamKind, "root", rules.Team{}, rules.NamespaceKind, "*/*/*", rules.Namespace{Owner: "root"},
		rules.TeamKind, "book", rules.Team{}, rules.TeamKind, "pay", rules.Team{},
		rules.NamespaceKind, bookingNamespace, rules.Namespace{Parent: "*/*/*", Owner: "book"},
		rules.NamespaceKind, "*/*/*/pay", rules.Namespace{Parent: "*/*/*", Owner: "pay"})
	return env
}

// setTime applies a clock entry in which two of three voters report the given time, and the third is a week ahead.
func (env *testEnv) setTime(ms int64) {
	env.machine.Apply(&record.Entry{Clock: &record.Clock{Voters: 3, Readings: []record.Reading{{Voter: "a", Ms: ms}, {Voter: "b", Ms: ms}, {Voter: "c", Ms: ms + 7*86_400_000}}}})
}

// apply applies a write under a new id.
func (env *testEnv) apply(write *record.Write) record.Result {
	env.writes++
	write.ID = fmt.Sprint("w", env.writes)
	return env.machine.Apply(&record.Entry{Write: write})
}

// write returns a write of the given changes, each a kind, a key and a value. A nil value ends the item but keeps its
// history.
func (env *testEnv) write(by string, changes ...any) *record.Write {
	env.t.Helper()
	v := env.machine.View()
	out := &record.Write{By: by, Base: v.Version()}
	for i := 0; i < len(changes); i += 3 {
		kind, key := changes[i].(record.Kind), changes[i+1].(string)
		previous, ok := v.Get(kind, key)
		if !ok {
			previous = record.Item{Kind: kind, Key: key}
		}
		var now json.RawMessage
		if changes[i+2] != nil {
			now, _ = json.Marshal(changes[i+2])
		}
		c, err := rules.Amend(previous, now, by)
		if err != nil {
			env.t.Fatal(err)
		}
		out.Changes = append(out.Changes, c)
	}
	return out
}

// mustAmend applies the changes, in the form that write takes; they must be accepted.
func (env *testEnv) mustAmend(by string, changes ...any) {
	env.t.Helper()
	env.mustApply(env.write(by, changes...))
}

// mustApply applies a write, which must be accepted.
func (env *testEnv) mustApply(write *record.Write) {
	env.t.Helper()
	if r := env.apply(write); r.Outcome != record.Applied {
		env.t.Fatal(r.Reason)
	}
}

// mustRefuse applies a write, which must be refused as invalid for the given reason.
func (env *testEnv) mustRefuse(want string, write *record.Write) {
	env.t.Helper()
	before := env.machine.View().Len()
	if r := env.apply(write); r.Outcome != record.Invalid || !strings.Contains(r.Reason, want) || env.machine.View().Len() != before {
		env.t.Fatalf("the outcome is %s, the reason %q does not contain %q", r.Outcome, r.Reason, want)
	}
}

// newReport returns a write of an incarnation's counts without validating them.
func (env *testEnv) newReport(timeline, process string, born int64, u Use) *record.Write {
	env.t.Helper()
	out, err := newWrite(env.machine.View(), Cluster+"/"+process, UseKind, UseKey(timeline, process, born), u)
	if err != nil {
		env.t.Fatal(err)
	}
	return out
}

func (env *testEnv) due() DueWrites {
	env.t.Helper()
	d, err := env.reader.Due(env.machine.View())
	if err != nil {
		env.t.Fatal(err)
	}
	return d
}

func (env *testEnv) stage(key string) *Stage {
	env.t.Helper()
	s, err := readStage(env.machine.View(), key)
	if err != nil {
		env.t.Fatal(err)
	}
	return s
}

// ownerMove returns the write of one of the owner's moves.
func (env *testEnv) ownerMove(by, do string, to int, why string) *record.Write {
	env.t.Helper()
	out, err := env.reader.Propose(env.machine.View(), v1Key, by, do, to, why)
	if err != nil {
		env.t.Fatal(err)
	}
	return out
}

func (env *testEnv) table() *Table {
	env.t.Helper()
	t, err := new(Tables).Of(env.machine.View())
	if err != nil {
		env.t.Fatal(err)
	}
	return t
}

// sampleTimeline returns a timeline with these steps, by minute: 1 announced, 2 warned, 10 shed a tenth, 20 pause, 30 shed
// half, 60 ended.
func sampleTimeline(successor string) Timeline {
	t := Timeline{Successor: successor, Link: "https://api.example/v1-ends", RetryS: 30}
	if successor != "" {
		t.SuccessorLink = "/" + successor
	}
	need := Need{Above: 100, Times: 2, ForMs: 3 * 60_000}
	for _, s := range []Step{{Stage: Announced, AtMs: 1}, {Stage: Warned, AtMs: 2}, {Stage: Shed, Share: 100, AtMs: 10, Need: &need},
		{Stage: Pause, AtMs: 20}, {Stage: Shed, Share: 500, AtMs: 30, Need: &need}, {Stage: Ended, AtMs: 60, AfterMs: 5 * 60_000, Need: &need}} {
		s.AtMs *= 60_000
		t.Steps = append(t.Steps, s)
	}
	return t
}

var _ testingT = (*testing.T)(nil)
