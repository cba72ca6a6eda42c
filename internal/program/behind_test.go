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

// A request that was sent behind an open one has the time that is left since its own last byte, and its backend is told no
// more than that.
func TestTimeOfARequestBehindAnother(t *testing.T) {
	t.Parallel()
	told := make(chan time.Duration, 2)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		micros, _ := strconv.Atoi(strings.TrimSuffix(r.Header.Get("X-Expires-In"), "u"))
		told <- time.Duration(micros) * time.Microsecond
		if strings.HasSuffix(r.URL.Path, "/slow") {
			time.Sleep(openFor)
		}
		io.WriteString(w, "ok")
	}))
	defer s.Close()
	_, addr := start(t, s.Listener.Addr().String(), 256)
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(giveUp))
	slow := strings.Replace(booking(), "/booking/x", "/booking/slow", 1)
	if _, err := io.WriteString(conn, slow+booking()); err != nil {
		t.Fatal(err)
	}
	r := bufio.NewReader(conn)
	for range 2 {
		if err := skipAnswer(r); err != nil {
			t.Fatal(err)
		}
	}
	const whole = 2500 * time.Millisecond
	if first := <-told; first > whole {
		t.Errorf("the first backend was told %v", first)
	}
	if second := <-told; second > whole-openFor+150*time.Millisecond {
		t.Errorf("%v after its last byte the second backend was told %v of %v", openFor, second, whole)
	}
}
