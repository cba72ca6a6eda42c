package program

import "testing"

// Settings of other deployments: worker lists pushed by an agent, and second copies of a call.
func TestDeploymentSettings(t *testing.T) {
	const second = `
			a send GET /availability/x id=t1 expires=2000m
			w1 expect GET /availability/x id=t1 at=1
			w1 send 200 ok
			a expect 200 ok`
	for name, s := range map[string]scenario{
		// The sidecar fetches the whole list, then keeps a watch open; changes apply at once.
		"pushed": {settings: pushedLists, script: `
			registry expect GET /catalog/members
			registry send 1 reset 0=up 1=up
			registry expect GET /catalog/members?since=1&timeout_ms=250
			registry serves 2 0=draining
			registry send 2 0=draining
			log expect generation=2` + second},
		// If the agent stays silent, a second request goes out while the first one waits, and that is logged. The first
		// response counts, whichever request it belongs to.
		"pushed, silent agent": {settings: pushedLists, known: "0=up", script: `
			registry expect GET /catalog/members
			registry expect GET /catalog/members
			log expect event=registry_failed
			registry serves 7 reset 1=up
			log expect generation=7` + second},
		// The agent closes each connection, then sends garbage: the old list stays in force and the sidecar keeps asking.
		"pushed, resets and garbage": {settings: pushedLists, known: "0=up", script: `
			registry expect GET /catalog/members
			registry close
			registry expect GET /catalog/members
			registry close
			registry expect GET /catalog/members
			registry send "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n{\"x\":"
			a send GET /availability/x id=t1 expires=2000m
			w1 expect GET /availability/x id=t1 at=0
			w1 send 200 ok
			a expect 200 ok
			log expect event=registry_failed
			registry serves 9 reset 1=up
			log expect generation=9
			a send GET /availability/x id=t2 expires=2000m
			w2 expect GET /availability/x id=t2 at=1
			w2 send 200 ok
			a expect 200 ok`},
		// The agent restarts its generation count after a disconnect: its whole list applies, however low its generation.
		"pushed, generation restarts": {settings: pushedLists, known: "0=up", script: `
			registry expect GET /catalog/members
			registry send 9 reset 0=up
			registry expect GET /catalog/members?since=9&timeout_ms=250
			registry serves 2 reset 1=up
			registry close
			log expect generation=2
			b send GET /availability/x id=t2 expires=2000m
			w2 expect GET /availability/x id=t2 at=1
			w2 send 200 ok
			b expect 200 ok`},
		// The same without a disconnect: changes of a lower generation do not apply to the current list.
		"pushed, generation restarts without disconnect": {settings: pushedLists, known: "0=up", script: `
			registry expect GET /catalog/members
			registry send 9 reset 0=up
			registry expect GET /catalog/members?since=9&timeout_ms=250
			registry send 3 1=up
			registry expect GET /catalog/members
			registry serves 3 reset 1=up
			registry send 3 reset 1=up
			log expect generation=3` + second},
		// An empty list is accepted: no worker is left, and the call is refused once it can no longer be answered in time.
		"pushed, no worker left": {settings: pushedLists, script: `
			registry expect GET /catalog/members
			registry send 3 reset
			registry expect GET /catalog/members?since=3&timeout_ms=250
			a send POST /booking/x id=t1 expires=100m body=b
			a expect 503 after=1.5`},
		// A reload switches to the agent that the file names now, and follows it from then on.
		"pushed, reload": {settings: pushedLists, known: "0=up", script: `
			registry expect GET /catalog/members
			registry send 8 reset 0=up
			registry expect GET /catalog/members?since=8&timeout_ms=250
			next serves 0 reset 1=up
			file send next
			sidecar send HUP
			registry wait
			log expect generation=0` + second},
		// A reload changes the lists from pushed to asked: that needs a restart, which is logged; the registry switches and
		// is followed as before.
		"pushed, reload to asked": {settings: pushedLists, known: "0=up", script: `
			registry expect GET /catalog/members
			registry send 8 reset 0=up
			registry expect GET /catalog/members?since=8&timeout_ms=250
			next serves 1 reset 1=up
			file send asked
			sidecar send HUP
			log expect needs_restart=settings
			log expect generation=1` + second},
		// With load reports off, a report that a worker sends anyway is ignored and calls pass.
		"no reports": {settings: `"columns":["util","eps","queue"],"via":"pull"=>"columns":[],"via":"silent"`, known: "0=up", script: `
			a send GET /availability/x id=t1 expires=2000m
			w1 expect GET /availability/x id=t1
			w1 send "HTTP/1.1 200 OK\r\nEndpoint-Load-Metrics: TEXT util=0.9\r\nContent-Length: 2\r\n\r\nok"
			a expect 200 ok
			a send GET /availability/y id=t2 expires=2000m
			w1 expect GET /availability/y id=t2
			w1 send 200 ok
			a expect 200 ok`},
		// A second copy is sent while the first is open; the first whole response wins and the other attempt is cancelled.
		"second copy answers": {settings: allowSecondCopies, known: "0=up", script: secondCopySent + `
			w3 send 200 two
			a expect 200 two
			w2 wait`},
		"first copy answers": {settings: allowSecondCopies, known: "0=up", script: secondCopySent + `
			w2 send 200 one
			a expect 200 one
			w3 wait
			a send GET /availability/y id=t2 expires=3000m
			w4 expect GET /availability/y id=t2
			w4 send 200 next
			a expect 200 next`},
		// Both copies answer at once: the client gets one response, and the next call gets its own.
		"both copies answer": {settings: allowSecondCopies, known: "0=up", script: secondCopySent + `
			w2 send 200 same
			w3 send 200 same
			a expect 200 same
			a send GET /availability/y id=t2 expires=3000m
			w4 expect GET /availability/y id=t2
			w4 send 200 next
			a expect 200 next`},
		// A failed copy does not decide the call while the other is open.
		"first copy fails": {settings: allowSecondCopies, known: "0=up", script: secondCopySent + `
			w2 send 500 no
			w3 send 200 two
			a expect 200 two`},
		"first copy's worker dies": {settings: allowSecondCopies, known: "0=up", script: secondCopySent + `
			w2 close
			w3 send 200 two
			a expect 200 two`},
		"client disconnects from two copies": {settings: allowSecondCopies, known: "0=up", script: secondCopySent + `
			a close
			w2 wait
			w3 wait`},
		"planned stop with two copies": {settings: allowSecondCopies, known: "0=up", script: secondCopySent + `
			sidecar send TERM
			log expect event=drain
			w1 send 200 ok
			w3 send 200 two
			a expect 200 close two
			sidecar wait exit`},
		// The list drains the copy's worker: the open attempt continues, and its response counts.
		"second copy's worker is drained": {settings: allowSecondCopies, known: "0=up", script: secondCopySent + `
			registry expect GET /catalog/members?since=2&timeout_ms=RANDOM
			registry send 3 1=draining
			log expect generation=3
			w3 send 200 two
			a expect 200 two
			w2 wait`},
		// An unsafe call is never copied, however late its worker is: two calls make two attempts.
		"no copy of an unsafe call": {settings: allowSecondCopies, known: "0=up", script: `
			registry expect GET /catalog/members?since=1&timeout_ms=RANDOM
			z send POST /booking/z id=t0 expires=6000m body=b
			w1 expect POST /booking/z id=t0 body=b
			a send POST /booking/x id=t1 expires=1500m body=b
			w2 expect POST /booking/x id=t1 body=b
			registry send 2 0=up 1=up
			a expect 504
			operator send STATS
			operator expect {"success":{"availability":0,"booking":0,"paid-extra":0},"busy":{"availability":0,"booking":0,"paid-extra":0},"failure":{"availability":0,"booking":1,"paid-extra":0},"backend_calls":2,"inflight":1,"hosts_listed":2,"hosts_down":0,"list_age_ms":T} | --`},
		// Without second copies, the first attempt's connection is closed before another attempt starts.
		"copies off": {settings: `"aim_us":600000=>"aim_us":3000000`, known: "0=up", script: secondCopySent + `
			w2 wait
			w3 send 200 two
			a expect 200 two`},
		// Workers in two zones that the settings do not list: a keyed call whose first attempt may have run stays in that
		// attempt's zone, where no other worker is left, and fails after one attempt.
		"zones not in the settings": {known: "0=up@pier-x 1=up@pier-y", script: `
			a send POST /paid-extra/x id=t1 expires=1500m key=k1 body=b
			w1 expect POST /paid-extra/x id=t1 key=k1 body=b
			w1 send 500 no
			a expect 502
			operator send STATS
			operator expect {"success":{"availability":0,"booking":0,"paid-extra":0},"busy":{"availability":0,"booking":0,"paid-extra":0},"failure":{"availability":0,"booking":0,"paid-extra":1},"backend_calls":1,"inflight":0,"hosts_listed":2,"hosts_down":0,"list_age_ms":T} | --`},
		// Two workers in one such zone form one group.
		"a zone not in the settings": {known: "0=up@pier-x 1=up@pier-x", script: `
			a send POST /paid-extra/x id=t1 expires=1500m key=k1 body=b
			w1 expect POST /paid-extra/x id=t1 key=k1 body=b
			w1 send 500 no
			w2 expect POST /paid-extra/x id=t1 key=k1 body=b
			w2 send 200 ok
			a expect 200 ok`},
	} {
		t.Run(name, func(t *testing.T) { t.Parallel(); playScenario(t, s) })
	}
}
