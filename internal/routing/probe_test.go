package routing

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"testing"
	"time"

	"burlpass/decide"
)

// probeCloseBound is the time within which the connection of an answered probe ends.
const probeCloseBound = 5 * time.Second

// Guards against a connection that stays open since the rest of a probe's long response is never read.
func TestProbeEndsLongResponse(t *testing.T) {
	t.Parallel()
	s := newTestSidecar(t, decide.Class{}, 0)
	probed := make(chan struct{})
	go func() {
		defer close(probed)
		s.probe(s.workerIDs["0"])
	}()
	conn := receive(t, s.accepted[0])
	reader := bufio.NewReader(conn)
	if _, err := http.ReadRequest(reader); err != nil {
		t.Fatal(err)
	}
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", 1<<20, make([]byte, 100<<10))
	<-probed
	conn.SetReadDeadline(time.Now().Add(probeCloseBound))
	if _, err := io.Copy(io.Discard, reader); errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("the connection is open %v after the probe", probeCloseBound)
	}
}
