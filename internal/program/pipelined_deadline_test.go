package program

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"
)

// The time that a pipelined call waits behind an open one counts against its deadline, and the worker is told no more than
// what is left.
func TestDeadlineOfPipelinedCall(t *testing.T) {
	t.Parallel()
	deadlines := make(chan time.Duration, 2)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		micros, _ := strconv.Atoi(strings.TrimSuffix(r.Header.Get("X-Expires-In"), "u"))
		deadlines <- time.Duration(micros) * time.Microsecond
		if strings.HasSuffix(r.URL.Path, "/slow") {
			time.Sleep(slowResponseTime)
		}
		io.WriteString(w, "ok")
	}))
	defer s.Close()
	_, addr := startSidecar(t, s.Listener.Addr().String(), 256)
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(waitLimit))
	slow := strings.Replace(bookingCall(), "/booking/x", "/booking/slow", 1)
	if _, err := io.WriteString(conn, slow+bookingCall()); err != nil {
		t.Fatal(err)
	}
	r := bufio.NewReader(conn)
	for range 2 {
		if err := skipResponse(r); err != nil {
			t.Fatal(err)
		}
	}
	const whole = 2500 * time.Millisecond
	if first := <-deadlines; first > whole {
		t.Errorf("the first worker was told %v", first)
	}
	if second := <-deadlines; second > whole-slowResponseTime+150*time.Millisecond {
		t.Errorf("%v after its last byte the second worker was told %v of %v", slowResponseTime, second, whole)
	}
}
