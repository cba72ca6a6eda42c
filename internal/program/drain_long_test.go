package program

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

// Guards against a client's connection that stays idle at a drained sidecar since its response was under way when the drain
// came: review play drain-long.
func TestDrainDuringLongResponse(t *testing.T) {
	t.Parallel()
	const half = 100 << 10
	rest := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Length", "204800")
		w.Write(make([]byte, half))
		w.(http.Flusher).Flush()
		<-rest
		w.Write(make([]byte, half))
	}))
	t.Cleanup(server.Close)
	u := newUpgradedSidecar(t, server.Listener.Addr().String())
	p := u.startReady()
	conn, err := net.Dial("tcp", u.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(waitLimit))
	io.WriteString(conn, bookingCall())
	reader := bufio.NewReader(conn)
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	p.order("DRAIN")
	close(rest)
	if n, err := io.Copy(io.Discard, response.Body); err != nil || n != 2*half {
		t.Fatalf("%d of %d bytes: %v", n, 2*half, err)
	}
	answered := time.Now()
	if _, err := reader.ReadByte(); err != io.EOF || time.Since(answered) > time.Second {
		t.Errorf("the connection ended %v after the response: %v", time.Since(answered), err)
	}
}
