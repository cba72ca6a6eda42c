package program

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// stalledClientLimit is the time, counted from its last byte, within which a client that stops in the middle of a request must
// get an error or a close.
const stalledClientLimit = 3 * time.Second

// waitLimit bounds the wait for something that never happens.
const waitLimit = 12 * time.Second

// bookingTemplate is the request in which clients stop.
const bookingTemplate = "POST /booking/x HTTP/1.1\r\nX-Trace-Id: %s\r\nX-Qos: booking\r\nX-Expires-In: 2500m\r\nContent-Length: 20\r\n\r\n01234567890123456789"

// slowResponseTime is how long a call to a /slow path stays open.
const slowResponseTime = 1500 * time.Millisecond

// slowPathWorker answers /slow paths after slowResponseTime, and others immediately.
func slowPathWorker(t *testing.T) string {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		if strings.HasSuffix(r.URL.Path, "/slow") {
			time.Sleep(slowResponseTime)
		}
		io.WriteString(w, "ok")
	}))
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

// stalledClient is a client that stops in the middle of a request.
type stalledClient struct {
	first     string // a whole request that is answered before the others are sent
	pipelined string // a whole request sent together with the partial one
	partial   string // the part of the last request that is sent
}

// run returns how long after its last byte the client got an error's first byte or a close.
func (s stalledClient) run(addr string) (time.Duration, error) {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return 0, err
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(waitLimit))
	r := bufio.NewReader(conn)
	if s.first != "" {
		io.WriteString(conn, s.first)
		if err := skipResponse(r); err != nil {
			return 0, fmt.Errorf("the first request: %w", err)
		}
	}
	if _, err := io.WriteString(conn, s.pipelined+s.partial); err != nil {
		return 0, err
	}
	stopped := time.Now()
	if s.pipelined != "" {
		if err := skipResponse(r); err != nil {
			return 0, fmt.Errorf("the pipelined request: %w", err)
		}
	}
	_, err = r.ReadByte()
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return time.Since(stopped), fmt.Errorf("neither an error nor a close")
	}
	return time.Since(stopped), nil
}

func skipResponse(r *bufio.Reader) error {
	answer, err := http.ReadResponse(r, nil)
	if err == nil {
		_, err = io.Copy(io.Discard, answer.Body)
	}
	return err
}

// checkStalledClients runs all clients concurrently and reports how many were not ended in time, and the worst of them.
func checkStalledClients(t *testing.T, addr string, clients []stalledClient) {
	t.Helper()
	var (
		all         sync.WaitGroup
		mu          sync.Mutex
		late        int
		worst       time.Duration
		worstDetail string
	)
	for _, client := range clients {
		all.Go(func() {
			took, err := client.run(addr)
			mu.Lock()
			defer mu.Unlock()
			if took <= stalledClientLimit && err == nil {
				return
			}
			if late++; took >= worst {
				worst, worstDetail = took, fmt.Sprintf("after %d bytes: %v", len(client.partial), err)
			}
		})
	}
	all.Wait()
	if late > 0 {
		t.Errorf("%d of %d clients ended too late, the worst after %v (%s)", late, len(clients), worst.Round(time.Millisecond), worstDetail)
	}
}

var traceCounter struct {
	sync.Mutex
	n int
}

// newTraceID returns an ID that no call has used.
func newTraceID() string {
	traceCounter.Lock()
	defer traceCounter.Unlock()
	traceCounter.n++
	return fmt.Sprintf("stopped-%06d", traceCounter.n)
}

// bookingCall returns a whole request with a new ID.
func bookingCall() string { return fmt.Sprintf(bookingTemplate, newTraceID()) }

// A client that stops at any byte of a request but stays connected gets an error or a close within stalledClientLimit.
func TestStalledClients(t *testing.T) {
	slow := func() string { return strings.Replace(bookingCall(), "/booking/x", "/booking/slow", 1) }
	none := func() string { return "" }
	for name, kind := range map[string]struct{ first, pipelined func() string }{
		"first on a connection":  {none, none},
		"later on a connection":  {bookingCall, none},
		"behind an open request": {none, slow},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			_, addr := startSidecar(t, slowPathWorker(t), 2048)
			var clients []stalledClient
			for n := 1; n < len(bookingCall()); n++ {
				clients = append(clients, stalledClient{kind.first(), kind.pipelined(), bookingCall()[:n]})
			}
			checkStalledClients(t, addr, clients)
		})
	}
	t.Run("in other framings", func(t *testing.T) {
		t.Parallel()
		_, addr := startSidecar(t, slowPathWorker(t), 1024)
		chunked := strings.Replace(bookingCall(), "Content-Length: 20", "Transfer-Encoding: chunked", 1)
		chunked, _, _ = strings.Cut(chunked, "0123")
		long := strings.Replace(bookingCall(), "Content-Length: 20", "Content-Length: 61440", 1)
		expectContinue := strings.Replace(long, "X-Qos", "Expect: 100-continue\r\nX-Qos", 1)
		checkStalledClients(t, addr, []stalledClient{
			{partial: chunked + "40\r\nabc"}, {partial: chunked + "3\r\nabc\r\n"}, {partial: chunked + "3\r\nabc\r\n0\r\n"},
			{partial: long + strings.Repeat("x", 30<<10)}, {partial: strings.TrimSuffix(expectContinue, "01234567890123456789")},
		})
	})
	t.Run("hundreds beyond the connection limit", func(t *testing.T) {
		t.Parallel()
		_, addr := startSidecar(t, slowPathWorker(t), 1024)
		clients := make([]stalledClient, 700)
		for i := range clients {
			request := bookingCall()
			clients[i].partial = request[:len(request)-10]
		}
		served := make(chan error, 1)
		go func() { served <- sendWholeCalls(addr) }()
		checkStalledClients(t, addr, clients)
		if err := <-served; err != nil {
			t.Errorf("a whole call beside them: %v", err)
		}
	})
	t.Run("a long body to a worker that does not read", func(t *testing.T) {
		t.Parallel()
		_, addr := startSidecar(t, nonReadingWorker(t), 1024)
		request := strings.Replace(bookingCall(), "Content-Length: 20", "Content-Length: 16777216", 1)
		checkStalledClients(t, addr, []stalledClient{{partial: request + strings.Repeat("x", 300<<10)}})
	})
}

// sendWholeCalls makes calls, each on its own connection, while other clients stall; each must be answered in time.
func sendWholeCalls(addr string) error {
	for range 10 {
		start := time.Now()
		conn, err := net.Dial("tcp", addr)
		if err != nil {
			return err
		}
		connected := time.Since(start)
		conn.SetDeadline(start.Add(waitLimit))
		io.WriteString(conn, bookingCall())
		sent := time.Since(start)
		err = skipResponse(bufio.NewReader(conn))
		conn.Close()
		if took := time.Since(start); err != nil || took > 2500*time.Millisecond {
			return fmt.Errorf("%v: connected after %v, sent after %v, ended after %v: %v", conn.LocalAddr(), connected, sent, took, err)
		}
	}
	return nil
}

// nonReadingWorker accepts connections and reads nothing.
func nonReadingWorker(t *testing.T) string { return scriptedWorker(t, func(net.Conn) {}) }

// scriptedWorker accepts connections, passes each to serve, and closes them when the test ends.
func scriptedWorker(t *testing.T, serve func(net.Conn)) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go serveConnections(t, ln, serve)
	return ln.Addr().String()
}

// serveConnections accepts connections until the listener is closed, passes each to serve, and closes them when the test ends.
func serveConnections(t *testing.T, ln net.Listener, serve func(net.Conn)) {
	for {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		t.Cleanup(func() { conn.Close() })
		go serve(conn)
	}
}

// partialResponseWorker sends n bytes of a long response and stops.
func partialResponseWorker(t *testing.T, n int) string {
	ended := make(chan struct{})
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Length", "16777216")
		w.Write(make([]byte, n))
		w.(http.Flusher).Flush()
		<-ended
	}))
	t.Cleanup(func() { close(ended); s.CloseClientConnections(); s.Close() })
	return s.Listener.Addr().String()
}

// If a worker stalls in the middle of a response, the client's connection is cut within its deadline plus half a second.
func TestWorkerStallsWithinResponse(t *testing.T) {
	t.Parallel()
	_, addr := startSidecar(t, partialResponseWorker(t, 100<<10), 256)
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	start := time.Now()
	conn.SetDeadline(start.Add(waitLimit))
	io.WriteString(conn, strings.Replace(bookingCall(), "2500m", "1000m", 1))
	if err := skipResponse(bufio.NewReader(conn)); err == nil {
		t.Error("an incomplete response looks complete")
	}
	if took := time.Since(start); took > stalledClientLimit {
		t.Errorf("the connection was cut after %v", took)
	}
}

// The platform may kill the process 0.7 s plus the longest deadline (3 s at most) after SIGTERM. The process must exit by then,
// whatever its clients and workers do.
func TestExitInTime(t *testing.T) {
	const bound = 3700 * time.Millisecond // 0.7 s plus the settings' longest deadline, 3 s
	for name, kind := range map[string]struct {
		worker func(t *testing.T) string
		send   string
	}{
		"a client that does not read a long response": {largeResponseWorker, bookingCall()},
		"a worker that stalls within a response":      {func(t *testing.T) string { return partialResponseWorker(t, 100<<10) }, bookingCall()},
		"a worker that reads no body":                 {nonReadingWorker, strings.Replace(bookingCall(), "Content-Length: 20", "Content-Length: 16777216", 1) + strings.Repeat("x", 300<<10)},
		"a deadline beyond the longest":               {nonReadingWorker, strings.Replace(bookingCall(), "2500m", "60000m", 1)},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c, addr := startSidecar(t, kind.worker(t), 256)
			conn, err := net.Dial("tcp", addr)
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			conn.(*net.TCPConn).SetReadBuffer(4 << 10)
			if _, err := io.WriteString(conn, kind.send); err != nil {
				t.Fatal(err)
			}
			waitUntilReceived(t, addr)
			signalled := time.Now()
			c.Process.Signal(syscall.SIGTERM)
			exited := make(chan error, 1)
			go func() { exited <- c.Wait() }()
			select {
			case err := <-exited:
				if took := time.Since(signalled); took > bound || err != nil {
					t.Errorf("exit after %v: %v", took, err)
				}
			case <-time.After(waitLimit):
				c.Process.Kill()
				t.Errorf("no exit within %v", waitLimit)
			}
		})
	}
}

// largeResponseWorker answers with 16 MiB.
func largeResponseWorker(t *testing.T) string {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Length", "16777216")
		w.Write(make([]byte, 16<<20))
	}))
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

// waitUntilReceived makes two health checks in a row. Once both are answered, the sidecar has received what was sent before.
func waitUntilReceived(t *testing.T, addr string) {
	t.Helper()
	for range 2 {
		conn, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		io.WriteString(conn, "GET /_health HTTP/1.1\r\nConnection: close\r\n\r\n")
		skipResponse(bufio.NewReader(conn))
		conn.Close()
	}
}
