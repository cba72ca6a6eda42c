package program

import (
	"strings"
	"testing"
)

// After a client disconnects, nothing it sent is served any more, however much it had pipelined.
func TestClientDisconnects(t *testing.T) {
	const (
		openBooking = `
			a send POST /booking/x id=t1 expires=60000m body=b
			w1 expect POST /booking/x id=t1 body=b`
		disconnect = `
			a close
			w1 wait
			b send GET /availability/y id=t9 expires=3000m
			w2 expect GET /availability/y id=t9
			w2 send 200 ok
			b expect 200 ok`
		pipelinedCall = `GET /availability/x HTTP/1.1\r\nX-Trace-Id: a<40>\r\nX-Expires-In: 3000m\r\n\r\n`
	)
	for name, s := range map[string]scenario{
		"after one more byte": {known: "0=up", script: openBooking + `
			a send "G"` + disconnect},
		// The pipelined call is dropped with the open one: the next attempt belongs to another client's call.
		"after a pipelined call": {known: "0=up", script: openBooking + `
			a send GET /availability/x id=t2 expires=3000m` + disconnect},
		"after more than fits a head": {known: "0=up", script: openBooking + `
			a send "` + strings.Repeat(pipelinedCall, 200) + `"` + disconnect},
		"after more than is buffered": {known: "0=up", script: openBooking + `
			a send "` + strings.Repeat(pipelinedCall, 2000) + `"` + disconnect},
		"after a long body": {known: "0=up", script: `
			a send "POST /booking/x HTTP/1.1\r\nX-Trace-Id: t1\r\nX-Expires-In: 60000m\r\nContent-Length: 100000\r\n\r\n<100000>G"
			w1 expect begins POST /booking/x
			w1 expect POST /booking/x id=t1 body=<100000>` + disconnect},
		// A call that waits for a worker is dropped when its client disconnects.
		"while no worker can serve": {known: "0=draining", script: `
			registry expect GET /catalog/members?since=1&timeout_ms=RANDOM
			a send "POST /booking/x HTTP/1.1\r\nX-Trace-Id: t1\r\nX-Expires-In: 60000m\r\nContent-Length: 1\r\n\r\nbG"
			b send "GET /_health HTTP/1.1\r\n\r\n"
			b expect 503
			a close
			registry send 2 0=up
			registry expect GET /catalog/members?since=2&timeout_ms=RANDOM
			c send GET /availability/y id=t9 expires=3000m
			w1 expect GET /availability/y id=t9`},
	} {
		t.Run(name, func(t *testing.T) { t.Parallel(); playScenario(t, s) })
	}
}

// Pipelined calls, more than fit into the read buffer, each get their own response in order.
func TestPipelinedCalls(t *testing.T) {
	var requests, answers strings.Builder
	for range 100 {
		requests.WriteString(`GET /nothing/` + strings.Repeat("x", 100) + ` HTTP/1.1\r\n\r\n`)
		answers.WriteString("\na expect 400")
	}
	playScenario(t, scenario{known: "0=up", script: `
		a send GET /availability/x id=t1 expires=3000m
		w1 expect GET /availability/x id=t1
		a send "` + requests.String() + `"
		a send GET /availability/x id=t2 expires=3000m
		b send GET /availability/y id=t3 expires=3000m
		w2 expect GET /availability/y id=t3
		w1 send 200 one
		a expect 200 one` + answers.String() + `
		w1 expect GET /availability/x id=t2
		w1 send 200 two
		a expect 200 two`})
}
