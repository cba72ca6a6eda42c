package program

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"
)

// slowReadingWorker reads at 200 kB a second, in small pieces and with a small receive buffer, so that its senders feel it.
func slowReadingWorker(t *testing.T) string {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) { syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 64<<10) })
	}}
	ln, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go serveConnections(t, ln, func(conn net.Conn) {
		for piece := make([]byte, 2000); ; time.Sleep(10 * time.Millisecond) {
			if _, err := conn.Read(piece); err != nil {
				return
			}
		}
	})
	return ln.Addr().String()
}

// Guards against a final answer that comes long after the client's time, where a worker reads a long request slowly and the
// client's last bytes wait in the client's own system.
func TestAnswerInTimeDespiteSlowReadingWorker(t *testing.T) {
	t.Parallel()
	const deadline, slack = time.Second, 500 * time.Millisecond
	_, addr := startSidecar(t, slowReadingWorker(t), 256)
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(waitLimit))
	head, _, _ := strings.Cut(bookingCall(), "0123")
	head = strings.Replace(strings.Replace(head, "Content-Length: 20", "Content-Length: 2097152", 1), "2500m", "1000m", 1)
	if _, err := io.WriteString(conn, head+strings.Repeat("x", 2<<20)); err != nil {
		t.Fatal(err)
	}
	sent := time.Now()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	if took := time.Since(sent); took > deadline+slack {
		t.Errorf("%s came %v after the last byte", response.Status, took)
	}
}
