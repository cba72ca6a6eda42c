package program

import (
	"io"
	"net"
	"strings"
	"testing"
)

// Closing a connection with unread data resets it, and a reset can discard the response. A client that sends more than is
// read must still get its response and then an orderly close.
func TestCloseDoesNotReset(t *testing.T) {
	unread := strings.Repeat("x", 40_000) // more than a connection's read buffer
	for name, exchange := range map[string]struct{ send, answer string }{
		"last request":  {"GET /_health HTTP/1.1\r\nConnection: close\r\n\r\n" + unread, "HTTP/1.1 200"},
		"HTTP/1.0":      {"GET /_health HTTP/1.0\r\n\r\n" + unread, "HTTP/1.1 200"},
		"rejected":      {"GET /availability/x HTTP/1.1\r\nno colon\r\n\r\n" + unread, "HTTP/1.1 400"},
		"call":          {"GET /availability/x HTTP/1.1\r\nX-Trace-Id: 1\r\nX-Expires-In: 2000m\r\nConnection: close\r\n\r\n" + unread, "HTTP/1.1 200"},
		"head too long": {unread, "HTTP/1.1 431"},
	} {
		t.Run(name, func(t *testing.T) {
			sidecar := newTestSidecar(t, nil)
			sidecar.startCalls()
			client, err := net.Dial("tcp", sidecar.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer client.Close()
			if _, err := io.WriteString(client, exchange.send); err != nil {
				t.Fatal(err)
			}
			got, err := io.ReadAll(client)
			if err != nil || !strings.HasPrefix(string(got), exchange.answer) {
				t.Errorf("got %.60q and %v", got, err)
			}
		})
	}
}

// A call sent after the sidecar has closed its side is not served: the next attempt belongs to another client's call.
func TestNoCallAfterClose(t *testing.T) {
	playScenario(t, scenario{known: "0=up", script: `
		a send "GET /availability/x HTTP/1.1\r\nX-Trace-Id: t1\r\nX-Expires-In: 3000m\r\nConnection: close\r\n\r\n"
		w1 expect GET /availability/x id=t1
		w1 send 200 ok
		a expect 200 close ok
		a wait
		a send GET /availability/x id=t2 expires=3000m
		b send GET /availability/y id=t9 expires=3000m
		w1 expect GET /availability/y id=t9`})
}
