package program

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"syscall"
	"testing"
	"time"
)

// slowResponseWorker gives a response of n bytes in equal pieces over the given time, with a length or in chunks.
func slowResponseWorker(t *testing.T, n int, over time.Duration, chunked bool) string {
	const pieces = 100
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !chunked {
			w.Header().Set("Content-Length", strconv.Itoa(n))
		}
		for range pieces {
			if _, err := w.Write(make([]byte, n/pieces)); err != nil {
				return
			}
			w.(http.Flusher).Flush()
			time.Sleep(over / pieces)
		}
	}))
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

// Guards against a response that is cut off by the sidecar's own end though its worker gives it and its client takes it: review/8.
func TestStopFinishesMovingResponses(t *testing.T) {
	const (
		over     = 6500 * time.Millisecond // longer than the 3.7 s after which the platform may kill the process
		length   = 3 << 20                 // bytes
		slowRate = 500_000                 // bytes per second
	)
	for _, signals := range []int{1, 2} {
		for name, test := range map[string]struct {
			workerTime time.Duration
			chunked    bool
			readSlowly bool
		}{
			"slow worker, length":  {over, false, false},
			"slow worker, chunks":  {over, true, false},
			"slow client, length":  {0, false, true},
			"slow client, chunks":  {0, true, true},
			"both slow, in chunks": {over, true, true},
		} {
			t.Run(fmt.Sprintf("%s, %d signals", name, signals), func(t *testing.T) {
				t.Parallel()
				c, addr := startSidecar(t, slowResponseWorker(t, length/100*100, test.workerTime, test.chunked), 256)
				conn, err := net.Dial("tcp", addr)
				if err != nil {
					t.Fatal(err)
				}
				defer conn.Close()
				conn.SetDeadline(time.Now().Add(3 * waitLimit))
				conn.(*net.TCPConn).SetReadBuffer(64 << 10)
				io.WriteString(conn, bookingCall())
				response, err := http.ReadResponse(bufio.NewReader(conn), nil)
				if err != nil {
					t.Fatal(err)
				}
				for range signals {
					c.Process.Signal(syscall.SIGTERM)
					time.Sleep(100 * time.Millisecond)
				}
				start, body := time.Now(), io.Reader(response.Body)
				if test.readSlowly {
					body = &pacedReader{Reader: body, rate: slowRate, start: start}
				}
				if n, err := io.Copy(io.Discard, body); err != nil || n != length/100*100 {
					t.Errorf("%d of %d bytes %v after the signal: %v", n, length, time.Since(start), err)
				}
				answered := time.Now()
				c.Wait()
				if took := time.Since(answered); took > responseStallLimit {
					t.Errorf("the process ended %v after its last response", took)
				}
			})
		}
	}
}

// pacedReader reads steadily at a rate in bytes per second.
type pacedReader struct {
	io.Reader
	rate, total int
	start       time.Time
}

func (r *pacedReader) Read(b []byte) (int, error) {
	n, err := r.Reader.Read(b[:min(len(b), r.rate/20)])
	r.total += n
	time.Sleep(time.Until(r.start.Add(time.Duration(r.total) * time.Second / time.Duration(r.rate))))
	return n, err
}

// Guards against the same at the old process of an upgrade, while the new one serves.
func TestUpgradeFinishesMovingResponses(t *testing.T) {
	t.Parallel()
	const length = 1 << 20 / 100 * 100
	u := newUpgradedSidecar(t, slowResponseWorker(t, length, 6500*time.Millisecond, true))
	previous := u.startReady()
	conn, err := net.Dial("tcp", u.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(3 * waitLimit))
	io.WriteString(conn, bookingCall())
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	u.startReady()
	previous.stop()
	if n, err := io.Copy(io.Discard, response.Body); err != nil || n != length {
		t.Errorf("%d of %d bytes: %v", n, length, err)
	}
	previous.awaitExit()
}
