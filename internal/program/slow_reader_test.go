package program

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

const (
	slowReadRate   = 66_000           // bytes per second; readers may be as slow as 64 kB per second
	slowReadPeriod = 13 * time.Second // longer than a peer that reads nothing is waited for
	longBody       = 16 << 20         // bytes
)

// readSlowly reads from r at slowReadRate for slowReadPeriod, and then the rest at once. It returns the number of bytes.
func readSlowly(r io.Reader) (int64, error) {
	const piece = slowReadRate / 10
	total := int64(0)
	for start := time.Now(); time.Since(start) < slowReadPeriod; {
		n, err := io.CopyN(io.Discard, r, piece)
		total += n
		if err != nil {
			return total, err
		}
		time.Sleep(time.Until(start.Add(time.Duration(total) * time.Second / slowReadRate)))
	}
	n, err := io.Copy(io.Discard, r)
	return total + n, err
}

// Guards against a client being cut off that takes a long response slowly but steadily: review case 2.
func TestSlowClientGetsWholeResponse(t *testing.T) {
	t.Parallel()
	_, addr := startSidecar(t, largeResponseWorker(t), 256)
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(slowReadPeriod + waitLimit))
	io.WriteString(conn, bookingCall())
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	if n, err := readSlowly(response.Body); err != nil || n != longBody {
		t.Errorf("%d of %d bytes: %v", n, longBody, err)
	}
}

// Guards against a worker's connection being closed while the worker takes a long request slowly but steadily.
func TestSlowWorkerGetsWholeRequest(t *testing.T) {
	t.Parallel()
	received := make(chan error, 1)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n, err := readSlowly(r.Body)
		if n != longBody {
			err = fmt.Errorf("%d of %d bytes: %w", n, longBody, err)
		}
		received <- err
	}))
	t.Cleanup(server.Close)
	_, addr := startSidecar(t, server.Listener.Addr().String(), 256)
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(slowReadPeriod + waitLimit))
	head, _, _ := strings.Cut(strings.Replace(bookingCall(), "Content-Length: 20", fmt.Sprintf("Content-Length: %d", longBody), 1), "0123")
	if _, err := io.WriteString(conn, head+strings.Repeat("x", longBody)); err != nil {
		t.Errorf("the request was not taken: %v", err)
	}
	if err := <-received; err != nil {
		t.Errorf("the worker got an incomplete request: %v", err)
	}
}
