package program

import (
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"burlpass/internal/protocol"
	"burlpass/internal/routing"
)

// gateFunc is a function that serves as a gate.
type gateFunc func(call *protocol.Call) routing.CallPolicy

func (f gateFunc) Admit(call *protocol.Call) routing.CallPolicy { return f(call) }

// The terms that a gate returns for a call apply until the call ends.
func TestGate(t *testing.T) {
	withPolicy := func(terms routing.CallPolicy) func(*protocol.Call) routing.CallPolicy {
		return func(*protocol.Call) routing.CallPolicy { return terms }
	}
	refuseUnlessApp := func(a protocol.Answer) func(*protocol.Call) routing.CallPolicy {
		return func(c *protocol.Call) routing.CallPolicy {
			if c.Origin.Caller == "app" {
				return routing.CallPolicy{}
			}
			return routing.CallPolicy{Refusal: &a}
		}
	}
	const sunset = "Sunset: soon\r\n"
	const shortDeadline = 2 * time.Second // long enough for the worker to have the whole request by then
	const longCall = `POST /booking/x HTTP/1.1\r\nX-Trace-Id: t1\r\nX-Expires-In: 60000m\r\nContent-Length: 90000\r\n\r\n<90000>`
	secondCopyArrival := secondCopySent[strings.LastIndex(secondCopySent, "w3"):] // the line on which the copy arrives
	appCallSucceeds := `
			a send GET /availability/x id=t2 expires=2000m caller=app
			w1 expect GET /availability/x id=t2
			w1 send 200 ok
			a expect 200 ok`
	for name, s := range map[string]scenario{
		// A refused call reaches no worker: the first attempt belongs to the next call. It is counted as busy.
		"refused": {gate: refuseUnlessApp(protocol.Answer{Verdict: protocol.Limited, Wait: 200 * time.Millisecond}), script: `
			a send POST /booking/x id=t1 expires=2000m body=b
			a expect 429 after=0.2` + appCallSucceeds + `
			operator send STATS
			operator expect {"success":{"availability":1,"booking":0,"paid-extra":0},"busy":{"availability":0,"booking":1,"paid-extra":0},"failure":{"availability":0,"booking":0,"paid-extra":0},"backend_calls":1,"inflight":0,"hosts_listed":2,"hosts_down":0,"list_age_ms":T} | --`},
		"refused with a long wait": {gate: refuseUnlessApp(protocol.Answer{Verdict: protocol.Limited, Wait: time.Minute}), script: `
			a send GET /booking/x id=t1 expires=2000m
			a expect 429 after=1.5` + appCallSucceeds},
		"no advice": {settings: `"retry_after":true=>"retry_after":false`,
			gate: refuseUnlessApp(protocol.Answer{Verdict: protocol.Limited, Wait: time.Second}), script: `
			a send GET /booking/x id=t1 expires=2000m
			a expect 429` + appCallSucceeds},
		"ended": {gate: refuseUnlessApp(protocol.Answer{Verdict: protocol.Ended, Header: sunset}), script: `
			a send GET /booking/x id=t1 expires=2000m
			a expect 410 sunset=soon` + appCallSucceeds},
		"shed with a header": {gate: refuseUnlessApp(protocol.Answer{Verdict: protocol.Refused, Wait: time.Second, Header: sunset}), script: `
			a send GET /booking/x id=t1 expires=2000m
			a expect 503 after=1 sunset=soon` + appCallSucceeds},
		// The rest of a long request that is refused is read and discarded.
		"a long message refused": {gate: refuseUnlessApp(protocol.Answer{Verdict: protocol.Limited}), script: `
			a send "` + longCall + `"
			a expect 429 close
			a wait`},
		"header lines": {gate: withPolicy(routing.CallPolicy{Header: sunset}), script: `
			a send GET /availability/x id=t1 expires=20000m
			w1 expect GET /availability/x id=t1
			w1 send 200 ok
			a expect 200 sunset=soon ok
			b send POST /booking/x id=t2 expires=20000m body=b
			w1 expect POST /booking/x id=t2 body=b
			w1 close
			b expect 502 sunset=soon`},
		"header lines on a long answer": {gate: withPolicy(routing.CallPolicy{Header: sunset}), script: `
			a send GET /availability/x id=t1 expires=6000m
			w1 expect GET /availability/x id=t1
			w1 send "HTTP/1.1 200 OK\r\nContent-Length: 70000\r\n\r\n<70000>"
			a expect begins 200
			a expect 200 sunset=soon <70000>`},
		// One attempt where the class allows three: the call may have run, so it fails.
		"no attempt left": {gate: withPolicy(routing.CallPolicy{Attempts: 1}), script: `
			a send GET /availability/x id=t1 expires=2000m
			w1 expect GET /availability/x id=t1
			w1 close
			a expect 502`},
		// A call that never ran is refused rather than failed.
		"no attempt left, never ran": {gate: withPolicy(routing.CallPolicy{Attempts: 1}), script: `
			a send GET /availability/x id=t1 expires=2000m
			w1 expect GET /availability/x id=t1
			w1 send 503 never-ran
			a expect 503`},
		"no attempt left of three": {gate: withPolicy(routing.CallPolicy{Attempts: 100}), script: `
			a send GET /availability/x id=t1 expires=2000m
			w1 expect GET /availability/x id=t1
			w1 close
			w2 expect GET /availability/x id=t1
			w2 send 200 ok
			a expect 200 ok`},
		// A call that must run at most once is retried only if the earlier attempt never ran.
		"once": {gate: withPolicy(routing.CallPolicy{AtMostOnce: true}), script: `
			a send POST /paid-extra/x id=t1 key=k expires=2000m body=b
			w1 expect POST /paid-extra/x id=t1 key=k body=b
			w1 send 503 never-ran
			w2 expect POST /paid-extra/x id=t1 key=k body=b
			w2 close
			a expect 502` + appCallSucceeds},
		// It gets no second copy, and its open attempt is not cancelled in favor of another.
		"once where copies are allowed": {known: "0=up", settings: allowSecondCopies, gate: withPolicy(routing.CallPolicy{AtMostOnce: true}), script: strings.TrimSpace(strings.TrimSuffix(secondCopySent, secondCopyArrival)) + `
			w2 send 200 ok
			a expect 200 ok`},
		// The client's own deadline is a minute, longer than the test waits.
		"deadline": {gate: withPolicy(routing.CallPolicy{Deadline: shortDeadline}), script: `
			a send POST /booking/x id=t1 expires=60000m body=b
			w1 expect POST /booking/x id=t1 body=b
			a expect 504`},
		"deadline of a long message": {gate: withPolicy(routing.CallPolicy{Deadline: shortDeadline}), script: `
			a send "` + longCall + `"
			w1 expect begins POST /booking/x
			w1 expect POST /booking/x id=t1 body=<90000>
			a expect 502`}, // as when the client's own deadline passes while the worker has the whole request
		"longer than the client's": {gate: withPolicy(routing.CallPolicy{Deadline: time.Minute}), script: `
			a send POST /booking/x id=t1 expires=2000m body=b
			w1 expect POST /booking/x id=t1 body=b
			a expect 504`},
	} {
		t.Run(name, func(t *testing.T) { t.Parallel(); playScenario(t, s) })
	}
}

// The gate is asked once per call whatever happens to it, sees the call's origin, and is told how the call ended.
func TestGateSeesEveryCall(t *testing.T) {
	var calls atomic.Int64
	ends := make(chan routing.CallResult, 10)
	origins := make(chan protocol.Origin, 10)
	playScenario(t, scenario{gate: func(c *protocol.Call) routing.CallPolicy {
		origins <- *c.Origin
		calls.Add(1)
		return routing.CallPolicy{Ended: func(e routing.CallResult) { ends <- e }}
	}, script: `
		a send GET /availability//v%32/./s/?q=1 id=t1 expires=3000m caller=app key=k
		w1 expect GET /availability//v%32/./s/?q=1 id=t1 key=k
		w1 close
		w2 expect GET /availability//v%32/./s/?q=1 id=t1 key=k
		w2 send 200 ok
		a expect 200 ok
		b send POST /booking id=t2 expires=2000m caller=` + strings.Repeat("x", 65) + `
		w3 expect POST /booking id=t2
		w3 send 200 ok
		b expect 200 ok
		c send POST /booking/v1 id=t3 expires=2000m body=b
		w4 expect POST /booking/v1 id=t3 body=b
		w4 close
		c expect 502
		d send GET /availability/x id=t4 expires=3000m
		w5 expect GET /availability/x id=t4
		d close
		w5 wait`})
	close(ends)
	close(origins)
	var got []any
	for o := range origins {
		got = append(got, o)
	}
	for e := range ends {
		got = append(got, e)
	}
	want := []any{
		protocol.Origin{Caller: "app", Key: "k", Version: "v2", Path: "/v2/s"}, protocol.Origin{},
		protocol.Origin{Version: "v1", Path: "/v1"}, protocol.Origin{Version: "x", Path: "/x"},
		routing.CallResult{Verdict: protocol.Served, MayHaveRun: true}, routing.CallResult{Verdict: protocol.Served, MayHaveRun: true},
		routing.CallResult{Verdict: protocol.Failed, MayHaveRun: true}, routing.CallResult{Verdict: protocol.Failed, ClientLeft: true, MayHaveRun: true},
	}
	if diff := cmp.Diff(want, got); diff != "" || calls.Load() != 4 {
		t.Errorf("asked %d times (-want +got)\n%s", calls.Load(), diff)
	}
}
