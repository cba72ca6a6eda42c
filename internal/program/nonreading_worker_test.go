package program

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// A worker that stops reading a request body delays neither the response to the client nor the detection of a client's
// disconnect, on a new connection as on a kept-alive one.
func TestWorkerStopsReading(t *testing.T) {
	t.Parallel()
	worker := scriptedWorker(t, func(conn net.Conn) { // answers once, then stops reading
		conn.(*net.TCPConn).SetReadBuffer(2 << 10)
		r, err := http.ReadRequest(bufio.NewReaderSize(conn, 1<<10))
		if err == nil && r.ContentLength < 100 {
			io.Copy(io.Discard, r.Body)
			io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		}
	})
	_, addr := startSidecar(t, worker, 256)
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(waitLimit))
	r := bufio.NewReader(conn)
	io.WriteString(conn, bookingCall())
	if err := skipResponse(r); err != nil {
		t.Fatal(err)
	}
	long := strings.Replace(strings.Replace(bookingCall(), "Content-Length: 20", "Content-Length: 65536", 1), "2500m", "500m", 1)
	long = strings.TrimSuffix(long, "01234567890123456789") + strings.Repeat("x", 65536)
	if _, err := io.WriteString(conn, long); err != nil {
		t.Fatal(err)
	}
	sent := time.Now()
	if err := skipResponse(r); err != nil {
		t.Fatal(err)
	}
	if took := time.Since(sent); took > 1500*time.Millisecond { // its deadline is 0.5 s
		t.Errorf("the response came after %v", took)
	}
}
