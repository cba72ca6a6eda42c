package trace

import (
	"bytes"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"burlpass/decide"
)

// Other tools read these lines, so a change of their format must be noticed.
func TestLines(t *testing.T) {
	workerName := func(id decide.ServerID) string { return map[decide.ServerID]string{1: "s-a", 2: "s-b"}[id] }
	for name, test := range map[string]struct {
		event   decide.Event
		actions []decide.Action
		want    string
	}{
		"call sent": {decide.Event{Kind: decide.Request, ID: 7, Class: 1, Budget: 300 * time.Millisecond},
			[]decide.Action{{Kind: decide.Send, ID: 7, Server: 1}, {Kind: decide.SetTimer}}, "trace t=5 e=call id=7 class=1 budget=300000 send=7@s-a\n"},
		"call refused": {decide.Event{Kind: decide.Request, ID: 8},
			[]decide.Action{{Kind: decide.Refuse, ID: 8, Wait: time.Second}}, "trace t=5 e=call id=8 class=0 budget=0 refuse=8@1000000\n"},
		"outcome": {decide.Event{Kind: decide.Outcome, ID: 7, Attempt: 1, Server: 2, Status: decide.Full, Latency: time.Millisecond, NewConnection: true},
			[]decide.Action{{Kind: decide.Mark, Server: 2, Text: "bad"}, {Kind: decide.Fail, ID: 7}},
			"trace t=5 e=outcome id=7 try=1 worker=s-b status=full took=1000 fresh=1 bad=s-b fail=7\n"},
		"probe": {decide.Event{Kind: decide.ProbeResult, Server: 1, Status: decide.OK}, []decide.Action{{Kind: decide.Cancel, ID: 3}},
			"trace t=5 e=probed worker=s-a status=ok took=0 cancel=3\n"},
		"list": {decide.Event{Kind: decide.Members, List: decide.ListDelta, Version: 4, Servers: []decide.Server{{ID: 2, Zone: 3, Kind: 1,
			State: decide.Ready, Started: time.Second}}}, []decide.Action{{Kind: decide.Watch, On: true}, {Kind: decide.Probe, Server: 9}},
			"trace t=5 e=worker worker=s-b zone=3 kind=1 state=2 started=1000000\ntrace t=5 e=list kind=2 version=4 watch=true probe=\n"},
		"timer without actions": {decide.Event{Kind: decide.Timer}, nil, ""},
		"unknown status":        {decide.Event{Kind: decide.ProbeResult, Server: 1, Status: 77}, nil, "trace t=5 e=probed worker=s-a status=77 took=0\n"},
	} {
		var out bytes.Buffer
		w := Writer{W: &out}
		w.Event(5, &test.event, test.actions, workerName)
		if diff := cmp.Diff(test.want, out.String()); diff != "" {
			t.Errorf("%s: (-want +got)\n%s", name, diff)
		}
	}
}
