package program

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
)

// Guards against a request that runs twice because its ID comes again at the other process of an upgrade, also after its client
// has left.
func TestRequestRunsOnceAcrossProcesses(t *testing.T) {
	t.Parallel()
	const repetitions = 40 // so that both processes get some of them
	workers, mostAttempts := countingWorkers(t)
	u := newUpgradedSidecar(t, workers)
	u.startReady()
	u.startReady()
	for _, leaves := range []bool{false, true} {
		call := bookingCall()
		for range repetitions {
			conn, err := net.Dial("tcp", u.addr)
			if err != nil {
				t.Fatal(err)
			}
			io.WriteString(conn, call)
			if !leaves {
				response, err := http.ReadResponse(bufio.NewReader(conn), nil)
				if err != nil {
					t.Fatal(err)
				}
				response.Body.Close()
			}
			conn.Close()
		}
		if id, times := mostAttempts(); times > 1 {
			t.Errorf("the client leaves: %v: %s ran %d times", leaves, id, times)
		}
	}
}
