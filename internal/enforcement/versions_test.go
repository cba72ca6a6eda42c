package enforcement

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"burlpass/internal/protocol"
	"burlpass/internal/record"
	"burlpass/internal/retire"
	"burlpass/internal/routing"
	"burlpass/internal/rules"
	"burlpass/internal/usage"
)

// apply applies an entry and fails the test unless it is accepted.
func (f *fixture) apply(e *record.Entry) record.Result {
	f.Helper()
	if e.Write != nil {
		e.Write.ID = fmt.Sprint("w", f.replica.Version())
	}
	raw, err := record.Encode(e)
	if err != nil {
		f.Fatal(err)
	}
	res, err := f.replica.Apply(raw)
	if err != nil || res.Outcome != record.Applied {
		f.Fatal(res, err)
	}
	return res
}

// Write lets the usage reporter use the fixture as its member.
func (f *fixture) Write(_ context.Context, write *record.Write) (record.Result, error) {
	return f.apply(&record.Entry{Write: write}), nil
}

// enterVersion passes a call of a version through the gate, ends it, and reports its answer as fully written.
func (f *fixture) enterVersion(v *Versions, version, caller, key string, underWay bool) string {
	terms := v.Admit(&protocol.Call{Class: 1, Budget: time.Second, Origin: &protocol.Origin{Caller: caller, Version: version, Key: key, UnderWay: underWay}})
	if a := terms.Refusal; a != nil {
		return fmt.Sprintf("%d %s", a.Verdict, a.Header)
	}
	if terms.Ended != nil {
		terms.Ended(routing.CallResult{Verdict: protocol.Failed})
	}
	if terms.Written != nil {
		terms.Written(protocol.Served)
	}
	return "passes " + terms.Header
}

// Each stage of a timeline gives calls of the retired version its headers or refusal, and counts them.
func TestVersionGate(t *testing.T) {
	const key = "*/*/*@v1"
	f := newFixture(t, append(rules.Domains(retire.Env), retire.Domains()...)...)
	f.apply(&record.Entry{Clock: &record.Clock{Voters: 1, Readings: []record.Reading{{Voter: "a", Ms: 60_000}}}})
	f.writeItems(`namespace */*/* {"owner":"root"}`, `rule */*/*#worth#w {"mode":"default","value":7}`,
		"timeline "+key+` {"successor":"v2","link":"/x","successor_link":"/v2","retry_s":30,"steps":[{"stage":"announced","at_ms":1},`+
			`{"stage":"warned","at_ms":2000},{"stage":"shed","share":1000,"at_ms":3000,"need":{"above":1,"times":1,"for_ms":0}},`+
			`{"stage":"ended","at_ms":4000,"need":{"above":1,"times":1,"for_ms":0}}],"exempt":[{"caller":"partner","until_ms":4000}],"harm":{}}`)
	reporter := usage.New(usage.Config{Member: f, Process: "a", Log: f.Enforcer.Log})
	v := NewVersions(f.Enforcer, reporter)
	reader := &retire.Reader{}
	forceNextStep := func() {
		t.Helper()
		write, err := reader.Propose(f.replica.View(), key, "root", retire.DoForce, 0, "test")
		if err != nil {
			t.Fatal(err)
		}
		f.apply(&record.Entry{Write: write})
		v.applyView(f.replica.View())
	}
	due, err := reader.Due(f.replica.View())
	if err != nil || len(due.Steps) != 1 {
		t.Fatal(due, err)
	}
	f.apply(&record.Entry{Write: due.Steps[0].Write})
	v.applyView(f.replica.View())

	const lines = "Deprecation: @2\r\nSunset: Thu, 01 Jan 1970 00:00:04 GMT\r\nLink: </x>; rel=\"deprecation\", </x>; rel=\"sunset\", </v2>; rel=\"successor-version\"\r\n"
	shed, ended := fmt.Sprintf("%d Retry-After: 30\r\n%s", protocol.Refused, lines), fmt.Sprintf("%d %s", protocol.Ended, lines)
	var got []string
	call := func(version, caller, key string, underWay bool) {
		got = append(got, f.enterVersion(v, version, caller, key, underWay))
	}
	call("v1", "app", "", false) // announced
	forceNextStep()
	call("v1", "app", "k1", false) // warned
	call("v3", "app", "", false)   // another version
	call("v2", "app", "", false)   // the successor
	forceNextStep()
	call("v1", "app", "k2", false) // shed
	call("v1", "app", "k1", false) // repeats a call that was let through
	call("v1", "app", "k3", true)  // belongs to a booking that is under way
	forceNextStep()
	call("v1", "app", "k1", false) // ended
	want := []string{"passes ", "passes " + lines, "passes ", "passes ", shed, "passes " + lines, "passes " + lines, ended}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Fatal(diff)
	}
	if got := f.enterVersion(v, "", "app", "", false); got != "passes " {
		t.Fatal(got)
	}
	reporter.Report(t.Context())
	sums, err := reader.Sums(f.replica.View(), key)
	if err != nil {
		t.Fatal(err)
	}
	app := sums.Of("app")
	app.FirstMs = 0
	if diff := cmp.Diff(retire.Count{Caller: "app", Calls: 6, Warned: 3, Shed: 1, Worth: 7, Next: 1, Failed: 1}, app); diff != "" {
		t.Fatal(diff)
	}
	if !strings.Contains(f.log.String(), "timelines=1") {
		t.Fatal(f.log.String())
	}
	c := &protocol.Call{Class: 1, Budget: time.Second, Origin: &protocol.Origin{Caller: "app", Version: "v3"}}
	if more := testing.AllocsPerRun(100, func() { v.Admit(c) }) - testing.AllocsPerRun(100, func() { f.Admit(c) }); more > 0 {
		t.Fatalf("%g allocations a call of a version that does not end", more)
	}
}
