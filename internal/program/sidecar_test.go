package program

import (
	"strings"
	"testing"
)

// Scenarios for a whole sidecar; each comment names the failure that the scenario guards against.
func TestSidecar(t *testing.T) {
	long := strings.Repeat("x", 70_000)
	for name, s := range map[string]scenario{
		// The target, the headers that identify a call, and the bodies must not change on the way.
		"passes unchanged": {script: `
			a send POST /paid-extra/q%20x?sid=1&b=%2F id=t1 key=k9 expires=2000m body=one,two
			w1 expect POST /paid-extra/q%20x?sid=1&b=%2F id=t1 key=k9 body=one,two
			w1 send 200 booked: {"n": 1}
			a expect 200 booked: {"n": 1}
			a send GET /availability/b id=t2 expires=1500000u
			w1 expect GET /availability/b id=t2
			w1 send "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2;x=y\r\nde\r\n0\r\nT: v\r\n\r\n"
			a expect 200 abcde`},
		// A booking that may have run is not attempted again, and the client is not told that a retry is safe. That the next
		// attempt belongs to the next call shows that no copy was sent.
		"an unsafe call is not repeated": {script: `
			a send POST /booking/x id=t1 expires=2000m body=b
			w1 expect POST /booking/x id=t1 body=b
			w1 close
			a expect 502
			a send GET /availability/x id=t2 expires=2000m
			w2 expect GET /availability/x id=t2
			w2 send 200 ok
			a expect 200 ok`},
		// A safe call survives the failure of its worker.
		"a safe call is repeated": {script: `
			a send GET /availability/x id=t1 expires=2000m
			w1 expect GET /availability/x id=t1
			w1 close
			w2 expect GET /availability/x id=t1
			w2 send 200 ok
			a expect 200 ok`},
		// Refused connections prove that nothing ran, so even a booking is refused rather than failed.
		"no connection": {known: "2=up", script: `
			a send POST /booking/x id=t1 expires=100m body=b
			a expect 503 after=1.5`},
		// A worker's 503 proves that the call never ran only with the header X-Never-Ran.
		"worker reports that the call never ran": {known: "0=up", script: `
			a send POST /booking/x id=t1 expires=100m body=b
			w1 expect POST /booking/x id=t1 body=b
			w1 send 503 never-ran
			a expect 503 after=1.5`},
		"a 503 that may have run": {known: "0=up", script: `
			a send POST /booking/x id=t1 expires=2000m body=b
			w1 expect POST /booking/x id=t1 body=b
			w1 send 503 busy
			a expect 502`},
		// A malformed response is a failure after the call was sent.
		"malformed answer": {known: "0=up", script: `
			a send POST /booking/x id=t1 expires=2000m body=b
			w1 expect POST /booking/x id=t1 body=b
			w1 send "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab"
			a expect 502
			w1 wait`},
		// A call to a silent worker still gets a response; the worker's connection is never reused.
		"deadline passes": {known: "0=up", script: `
			a send POST /booking/x id=t1 expires=100m body=b
			w1 expect POST /booking/x id=t1 body=b
			a expect 504
			w1 wait`},
		// When the client disconnects, its attempt is cancelled, and other clients are still served.
		"client disconnects": {known: "0=up", script: `
			a send GET /availability/x id=t1 expires=3000m
			w1 expect GET /availability/x id=t1
			a close
			w1 wait
			b send GET /availability/y id=t2 expires=3000m
			w2 expect GET /availability/y id=t2
			w2 send 200 ok
			b expect 200 ok`},
		// Nothing is written to a connection that the worker has closed.
		"worker closes an idle connection": {known: "0=up", script: `
			a send GET /availability/x id=t1 expires=2000m
			w1 expect GET /availability/x id=t1
			w1 send "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok"
			a expect 200 ok
			w1 wait
			a send POST /booking/x id=t2 expires=2000m body=b
			w2 expect POST /booking/x id=t2 body=b
			w2 send 200 ok
			a expect 200 ok`},
		// No new call reaches a worker once it is listed as draining; the watch continues by itself.
		"drain": {script: `
			registry expect GET /catalog/members?since=1&timeout_ms=RANDOM
			registry send 2 0=draining
			registry expect GET /catalog/members?since=2&timeout_ms=RANDOM
			a send GET /availability/x id=t1 expires=2000m
			w1 expect GET /availability/x id=t1 at=1
			w1 send 200 ok
			a expect 200 ok
			registry send 3 reset 0=up
			registry expect GET /catalog/members?since=3&timeout_ms=RANDOM
			a send GET /availability/x id=t2 expires=2000m
			w1 expect GET /availability/x id=t2 at=0
			w1 send 200 ok
			a expect 200 ok`},
		// Bad data leaves the old list in force, and the watch resumes.
		"bad registry data": {known: "0=up", script: `
			registry expect GET /catalog/members?since=1&timeout_ms=RANDOM
			registry send "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n{\"x\":"
			log expect event=registry_failed
			a send GET /availability/x id=t1 expires=2000m
			w1 expect GET /availability/x id=t1
			w1 send 200 ok
			a expect 200 ok
			registry expect GET /catalog/members?since=1&timeout_ms=RANDOM`},
		// A reload switches to the registry that the file names now and fetches the whole list first, whatever its generation.
		// Closing the old registry's watch is not counted as a failure, which would delay the first watch.
		"reload": {script: `
			registry expect GET /catalog/members?since=1&timeout_ms=RANDOM
			file send next
			sidecar send HUP
			next expect GET /catalog/members
			next send 0 reset 1=up
			registry wait
			next expect GET /catalog/members?since=0&timeout_ms=RANDOM
			a send GET /availability/x id=t1 expires=2000m
			w1 expect GET /availability/x id=t1 at=1
			w1 send 200 ok
			a expect 200 ok
			next send 1 0=up 1=draining
			next expect GET /catalog/members?since=1&timeout_ms=RANDOM
			a send GET /availability/x id=t2 expires=2000m
			w1 expect GET /availability/x id=t2 at=0`},
		// A file with any fault changes nothing and stops nothing.
		"reload of a bad file": {known: "0=up", script: `
			registry expect GET /catalog/members?since=1&timeout_ms=RANDOM
			file send {"discovery":"127.0.0.1:1"}
			sidecar send HUP
			log expect event=reload_failed
			registry send 2 0=draining 1=up
			registry expect GET /catalog/members?since=2&timeout_ms=RANDOM
			a send GET /availability/x id=t1 expires=2000m
			w1 expect GET /availability/x id=t1 at=1`},
		// A reload while stopping neither shortens nor blocks the stop.
		"reload while stopping": {known: "0=up", script: `
			a send GET /availability/x id=t1 expires=3000m
			w1 expect GET /availability/x id=t1
			sidecar send TERM
			log expect event=drain
			file send next
			sidecar send HUP
			next expect GET /catalog/members
			w1 send 200 one
			a expect 200 close one
			sidecar wait exit`},
		// Accepted calls are finished after the signal, and clients are told to reconnect elsewhere between calls.
		"planned stop": {known: "0=up", script: `
			a send GET /availability/x id=t1 expires=3000m
			w1 expect GET /availability/x id=t1
			sidecar send TERM
			log expect event=drain
			b send GET /availability/y id=t2 expires=3000m
			w2 expect GET /availability/y id=t2
			w2 send 200 two
			b expect 200 close two
			b wait
			c send "GET /_health HTTP/1.1\r\n\r\n"
			c expect 503 close
			w1 send 200 one
			a expect 200 close one
			sidecar wait exit`},
		// An operator's DRAIN closes idle connections and fails health checks, and the process keeps running; UNDRAIN reverts it.
		"drained by the operators": {script: `
			a send GET /availability/x id=t1 expires=2000m
			w1 expect GET /availability/x id=t1
			w1 send 200 ok
			a expect 200 ok
			operator send DRAIN
			operator expect ACK draining
			a wait
			b send "GET /_health HTTP/1.1\r\n\r\n"
			b expect 503 close
			operator send DRAIN
			operator expect ACK draining
			operator send UNDRAIN
			operator expect ACK serving
			c send "GET /_health HTTP/1.1\r\n\r\n"
			c expect 200 ok`},
		// A disabled worker gets no calls whatever the registry says, and gets them again after ENABLE; the statistics count
		// calls by class and attempts written.
		"worker disabled by operator": {known: "0=up", script: `
			operator send DISABLE s-7
			operator expect NAK no such worker has been listed: "s-7"
			operator send DISABLE s-0
			operator expect ACK disabled s-0
			operator send STATS
			operator expect {"success":{"availability":0,"booking":0,"paid-extra":0},"busy":{"availability":0,"booking":0,"paid-extra":0},"failure":{"availability":0,"booking":0,"paid-extra":0},"backend_calls":0,"inflight":0,"hosts_listed":1,"hosts_down":1,"list_age_ms":T} | --
			a send "GET /_health HTTP/1.1\r\n\r\n"
			a expect 503
			operator send ENABLE s-0
			operator expect ACK enabled s-0
			b send GET /availability/x id=t1 expires=2000m
			w1 expect GET /availability/x id=t1
			w1 send 200 ok
			b expect 200 ok
			operator send STATS
			operator expect {"success":{"availability":1,"booking":0,"paid-extra":0},"busy":{"availability":0,"booking":0,"paid-extra":0},"failure":{"availability":0,"booking":0,"paid-extra":0},"backend_calls":1,"inflight":0,"hosts_listed":1,"hosts_down":0,"list_age_ms":T} | --`},
		// Concurrent commands are all persisted: none overwrites another's change.
		"concurrent disable commands": {script: `
			operator together DISABLE s-0 ; DISABLE s-1
			operator expect ACK disabled s-0 ; ACK disabled s-1
			state expect {"kind":"burlpass maintenance 1","out":["s-0","s-1"]}`},
		"health": {script: `
			a send "GET /_health HTTP/1.1\r\n\r\n"
			a expect 200 ok`},
		"health without workers": {known: "0=draining", script: `
			a send "GET /_health HTTP/1.1\r\n\r\n"
			a expect 503
			a send GET /availability/x id=t1 expires=100m
			a expect 503 after=1.5`},
		// At the limit of client connections, a call is refused instead of lost or left waiting.
		"connection limit reached": {known: "0=up", sockets: 16, script: `
			a send GET /availability/a id=a expires=3000m
			w1 expect GET /availability/a id=a
			b send GET /availability/b id=b expires=3000m
			w2 expect GET /availability/b id=b
			c send GET /availability/c id=c expires=3000m
			w3 expect GET /availability/c id=c
			d send GET /availability/d id=d expires=3000m
			w4 expect GET /availability/d id=d
			e send GET /availability/e id=e expires=3000m
			w5 expect GET /availability/e id=e
			f send GET /availability/f id=f expires=3000m
			w6 expect GET /availability/f id=f
			g send GET /availability/g id=g expires=3000m
			w7 expect GET /availability/g id=g
			h send POST /booking/x id=t1 expires=2000m body=b
			h expect 503 after=1 close
			h wait
			w1 send 200 ok
			a expect 200 close ok`},
		// Idle clients use all client connections and the registry is silent: operators and a new client's call still get through.
		"idle clients while the registry is silent": {known: "0=up", sockets: 16, script: `
			registry expect GET /catalog/members?since=1&timeout_ms=RANDOM
			a send ""
			b send ""
			c send ""
			d send ""
			e send ""
			f send ""
			g send ""
			h send ""
			operator send READY
			operator expect ACK ready
			i send GET /availability/i id=i expires=3000m
			w1 expect GET /availability/i id=i
			w1 send 200 ok
			i expect 200 ok`},
		// Clients that make one call and stay connected must not exhaust the limit: near it, each response closes its connection.
		"close near the connection limit": {known: "0=up", sockets: 16, script: `
			a send GET /availability/a id=a expires=3000m
			w1 expect GET /availability/a id=a
			b send GET /availability/b id=b expires=3000m
			w2 expect GET /availability/b id=b
			c send GET /availability/c id=c expires=3000m
			w3 expect GET /availability/c id=c
			d send GET /availability/d id=d expires=3000m
			w4 expect GET /availability/d id=d
			e send GET /availability/e id=e expires=3000m
			w5 expect GET /availability/e id=e
			f send GET /availability/f id=f expires=3000m
			w6 expect GET /availability/f id=f
			g send GET /nothing/x id=g expires=2000m
			g expect 400 close
			w6 send 200 ok
			f expect 200 close ok
			f wait`},
		// A client that sends nothing, or half a request, does not keep its connection.
		"silent client": {script: `
			a send ""
			a wait`},
		"incomplete call": {script: `
			a send "GET /availability/x HTTP/1.1\r\n"
			a expect 408 close
			a wait`},
		"chunked call": {known: "0=up", script: `
			a send "POST /booking/x HTTP/1.1\r\nX-Trace-Id: t1\r\nX-Expires-In: 2000m\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n"
			w1 expect POST /booking/x id=t1 body=abc
			w1 send 200 ok
			a expect 200 ok`},
		"expect continue": {known: "0=up", script: `
			a send "POST /booking/x HTTP/1.1\r\nX-Trace-Id: t1\r\nX-Expires-In: 2000m\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n"
			a expect 100
			a send "ab"
			w1 expect POST /booking/x id=t1 body=ab`},
		// An invalid call gets a response and the connection stays open, as long as its framing is known.
		"invalid calls": {script: `
			a send GET /nothing/x id=t1 expires=2000m
			a expect 400
			a send GET /availability/x id=t2
			a expect 400
			a send GET /availability/x id=t3 expires=12h
			a expect 400
			a send GET /availability/x expires=2000m
			a expect 400
			a send "HEAD /availability/x HTTP/1.1\r\n\r\n"
			a expect 400 close`},
		// A call whose ID is in use, or was until just now, counts as a duplicate: no second copy of it may be sent.
		"duplicate id": {known: "0=up", script: `
			a send POST /booking/x id=t1 expires=3000m body=b
			w1 expect POST /booking/x id=t1 body=b
			b send POST /booking/x id=t1 expires=3000m body=b
			b expect 409
			w1 send 200 ok
			a expect 200 ok
			b send POST /booking/x id=t1 expires=3000m body=b
			b expect 409
			b send POST /booking/x id=t2 expires=3000m body=b
			w1 expect POST /booking/x id=t2 body=b`},
		// Headers that sidecar and worker could interpret differently are rejected, since they decide whether a call may be repeated.
		"ambiguous headers": {script: `
			a send POST /booking/x id=t1 id=t2 expires=3000m
			a expect 400
			a send "POST /booking/x HTTP/1.1\r\nX-Qos: availability\r\nX-Trace-Id: t3\r\nX-Expires-In: 1m\r\n\r\n"
			a expect 400`},
		// Ambiguous message lengths would allow request smuggling.
		"both lengths": {script: `
			a send "POST /booking/x HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
			a expect 400 close
			a wait`},
		"conflicting lengths": {script: `
			a send "POST /booking/x HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd"
			a expect 400 close
			a wait`},
		"malformed head": {script: `
			a send "GET /availability/x HTTP/1.1\r\nno colon\r\n\r\n"
			a expect 400 close
			a wait`},
		// Limits on what one connection can make the sidecar buffer.
		"head too large": {script: `
			a send "GET /availability/x HTTP/1.1\r\nX: ` + long + `\r\n\r\n"
			a expect 431 close
			a wait`},
		"body too large": {script: `
			a send "POST /booking/x HTTP/1.1\r\nContent-Length: 33554433\r\n\r\n` + long + `"
			a expect 413 close
			a wait`},
	} {
		t.Run(name, func(t *testing.T) { t.Parallel(); playScenario(t, s) })
	}
}
