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

// apply applies an entry, and wants it to be taken.
func (w *world) apply(e *record.Entry) record.Result {
	w.Helper()
	if e.Write != nil {
		e.Write.ID = fmt.Sprint("w", w.r.Version())
	}
	raw, err := record.Encode(e)
	if err != nil {
		w.Fatal(err)
	}
	res, err := w.r.Apply(raw)
	if err != nil || res.Outcome != record.Applied {
		w.Fatal(res, err)
	}
	return res
}

// Write is the member's, for the reporter.
func (w *world) Write(_ context.Context, wr *record.Write) (record.Result, error) {
	return w.apply(&record.Entry{Write: wr}), nil
}

// versioned is a call of a version as it goes through the gate to its end, which is written whole.
func (w *world) versioned(v *Versions, version, caller, key string, underWay bool) string {
	terms := v.Enter(&protocol.Call{Class: 1, Budget: time.Second, Origin: &protocol.Origin{Caller: caller, Version: version, Key: key, UnderWay: underWay}})
	if a := terms.Refusal; a != nil {
		return fmt.Sprintf("%d %s", a.Verdict, a.Header)
	}
	if terms.Ended != nil {
		terms.Ended(routing.End{Verdict: protocol.Failed})
	}
	if terms.Written != nil {
		terms.Written(protocol.Served)
	}
	return "passes " + terms.Header
}

func TestVersionsAtTheGate(t *testing.T) {
	const key = "*/*/*@v1"
	w := newWorld(t, append(rules.Domains(retire.Env), retire.Domains()...)...)
	w.apply(&record.Entry{Clock: &record.Clock{Voters: 1, Readings: []record.Reading{{Voter: "a", Ms: 60_000}}}})
	w.write(`namespace */*/* {"owner":"root"}`, `rule */*/*#worth#w {"mode":"default","value":7}`,
		"timeline "+key+` {"successor":"v2","link":"/x","successor_link":"/v2","retry_s":30,"steps":[{"stage":"announced","at_ms":1},`+
			`{"stage":"warned","at_ms":2000},{"stage":"shed","share":1000,"at_ms":3000,"need":{"above":1,"times":1,"for_ms":0}},`+
			`{"stage":"ended","at_ms":4000,"need":{"above":1,"times":1,"for_ms":0}}],"exempt":[{"caller":"partner","until_ms":4000}],"harm":{}}`)
	counts := usage.New(usage.Config{Member: w, Process: "a", Log: w.Enforcer.Log})
	v := NewVersions(w.Enforcer, counts)
	reader := &retire.Reader{}
	moves := func() {
		t.Helper()
		wr, err := reader.Propose(w.r.View(), key, "root", retire.DoForce, 0, "test")
		if err != nil {
			t.Fatal(err)
		}
		w.apply(&record.Entry{Write: wr})
		v.applyView(w.r.View())
	}
	dues, err := reader.Due(w.r.View())
	if err != nil || len(dues.Steps) != 1 {
		t.Fatal(dues, err)
	}
	w.apply(&record.Entry{Write: dues.Steps[0].Write})
	v.applyView(w.r.View())

	const lines = "Deprecation: @2\r\nSunset: Thu, 01 Jan 1970 00:00:04 GMT\r\nLink: </x>; rel=\"deprecation\", </x>; rel=\"sunset\", </v2>; rel=\"successor-version\"\r\n"
	shed, ended := fmt.Sprintf("%d Retry-After: 30\r\n%s", protocol.Refused, lines), fmt.Sprintf("%d %s", protocol.Ended, lines)
	var got []string
	call := func(version, caller, key string, underWay bool) {
		got = append(got, w.versioned(v, version, caller, key, underWay))
	}
	call("v1", "app", "", false) // announced
	moves()
	call("v1", "app", "k1", false) // warned
	call("v3", "app", "", false)   // another version
	call("v2", "app", "", false)   // the successor
	moves()
	call("v1", "app", "k2", false) // shed
	call("v1", "app", "k1", false) // its first try was let through
	call("v1", "app", "k3", true)  // its booking is under way
	moves()
	call("v1", "app", "k1", false) // ended
	want := []string{"passes ", "passes " + lines, "passes ", "passes ", shed, "passes " + lines, "passes " + lines, ended}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Fatal(diff)
	}
	if got := w.versioned(v, "", "app", "", false); got != "passes " {
		t.Fatal(got)
	}
	counts.Report(t.Context())
	sums, err := reader.Sums(w.r.View(), key)
	if err != nil {
		t.Fatal(err)
	}
	app := sums.Of("app")
	app.FirstMs = 0
	if diff := cmp.Diff(retire.Count{Caller: "app", Calls: 6, Warned: 3, Shed: 1, Worth: 7, Next: 1, Failed: 1}, app); diff != "" {
		t.Fatal(diff)
	}
	if !strings.Contains(w.log.String(), "timelines=1") {
		t.Fatal(w.log.String())
	}
	c := &protocol.Call{Class: 1, Budget: time.Second, Origin: &protocol.Origin{Caller: "app", Version: "v3"}}
	if more := testing.AllocsPerRun(100, func() { v.Enter(c) }) - testing.AllocsPerRun(100, func() { w.Enter(c) }); more > 0 {
		t.Fatalf("%g allocations a call of a version that does not end", more)
	}
}
