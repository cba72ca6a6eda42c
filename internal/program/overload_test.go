package program

import (
	"bufio"
	"cmp"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// The load of TestCPUStarvedSidecar: the sidecar gets a quarter of a core, with pauses longer than the time for which a client's
// connection is protected from being closed in favor of another, and three times as many clients as connections.
const (
	pauseTime      = 300 * time.Millisecond
	runTime        = 100 * time.Millisecond
	loadClients    = 64
	callsPerClient = 25 // calls per client
)

// A sidecar that is short of CPU time may refuse calls or answer late, but must not close a connection on which an unread call
// is waiting.
func TestCPUStarvedSidecar(t *testing.T) {
	c, addr := startSidecar(t, delayedWorker(t), 64)
	stop, pauserDone := make(chan struct{}), make(chan struct{})
	go func() { // takes the rest of the core away
		defer close(pauserDone)
		for {
			c.Process.Signal(syscall.SIGSTOP)
			time.Sleep(pauseTime)
			c.Process.Signal(syscall.SIGCONT)
			select {
			case <-stop:
				return
			case <-time.After(runTime):
			}
		}
	}()
	defer func() {
		close(stop)
		<-pauserDone
	}()
	load := &loadGenerator{addr: addr}
	var all sync.WaitGroup
	for range loadClients {
		all.Go(load.runClient)
	}
	all.Wait()
	t.Logf("%d served, %d refused, %d timed out, %d sent again", load.served.Load(), load.refused.Load(), load.timedOut.Load(), load.resent.Load())
	if n := load.lost.Load(); n > 0 {
		t.Errorf("%d calls lost, such as: %v", n, load.lastLoss.Load())
	}
	if load.served.Load() == 0 {
		t.Error("nothing was served")
	}
}

// writeConfig writes the platform's configuration with the given workers, s0 and so on in hall-a, and returns its path.
func writeConfig(t testing.TB, workers string, sockets int) string {
	path := filepath.Join(t.TempDir(), "config.json")
	var instances []string
	for i, worker := range strings.Split(workers, ",") {
		instances = append(instances, fmt.Sprintf(`{"instanceId":"s%d","hostPort":%q,"zone":"hall-a","machineType":"new",
			"lifecycle":"up","weight":1,"startedAtMs":0}`, i, worker))
	}
	text := fmt.Sprintf(`{"seed":"8c1f30d27a5be964","limits":{"cores":1.0,"memory_mb":192,"sockets":%d},
		"known":{"generation":1,"reset":true,"instances":[%s]},"settings":%s}`, sockets, strings.Join(instances, ","), jsonSettings)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// startSidecar runs this binary as a sidecar with the given workers (comma-separated addresses) and number of descriptors, and
// returns its listen address. Its log is discarded.
func startSidecar(t testing.TB, workers string, sockets int) (c *exec.Cmd, addr string) {
	return startSidecarWithLog(t, workers, sockets, io.Discard)
}

// startSidecarWithLog is startSidecar with the log written to log. It turns off the race detector's sleep at exit, which would
// delay the exit of the process by a second.
func startSidecarWithLog(t testing.TB, workers string, sockets int, log io.Writer) (c *exec.Cmd, addr string) {
	path := writeConfig(t, workers, sockets)
	c = exec.Command(os.Args[0])
	c.Env = append(os.Environ(), childEnv+"=1", "GORACE=atexit_sleep_ms=0", "EDGE_NAME=n1", "EDGE_LISTEN=127.0.0.1:0", "EDGE_DISCOVERY=127.0.0.1:1", "EDGE_CONFIG="+path)
	c.Stderr = log
	out, err := c.StdoutPipe()
	if err == nil {
		err = c.Start()
	}
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		c.Process.Signal(syscall.SIGTERM)
		c.Wait()
	})
	line, err := bufio.NewReader(out).ReadString('\n')
	if err != nil {
		t.Fatal(err)
	}
	return c, line[:len(line)-1]
}

// loadGenerator runs clients and counts the outcomes of their calls.
type loadGenerator struct {
	addr, class                                  string
	ids, served, refused, timedOut, resent, lost atomic.Int64
	lastLoss                                     atomic.Value // error of a lost call
}

// runClient makes one call after another, reusing its connection while the sidecar keeps it open.
func (d *loadGenerator) runClient() {
	var conn net.Conn
	var r *bufio.Reader
	for range callsPerClient {
		for retried := false; ; retried = true {
			reused := conn != nil
			if !reused {
				var err error
				if conn, err = net.Dial("tcp", d.addr); err != nil {
					conn = nil
					break // refused before anything was sent
				}
				r = bufio.NewReader(conn)
			}
			closes, err := d.call(conn, r)
			if closes || err != nil {
				conn.Close()
				conn = nil
			}
			switch {
			case err == nil:
			case errors.Is(err, os.ErrDeadlineExceeded):
				d.timedOut.Add(1)
			case reused && !retried: // closed between two calls, which a sidecar may do
				d.resent.Add(1)
				continue
			default:
				d.lost.Add(1)
				d.lastLoss.Store(err.Error())
			}
			break
		}
	}
	if conn != nil {
		conn.Close()
	}
}

// call makes one call and reports whether the response closes the connection.
func (d *loadGenerator) call(conn net.Conn, r *bufio.Reader) (closes bool, err error) {
	conn.SetDeadline(time.Now().Add(3 * time.Second))
	fmt.Fprintf(conn, "GET /%s/x HTTP/1.1\r\nX-Trace-Id: %d\r\nX-Expires-In: 3000m\r\n\r\n", cmp.Or(d.class, "availability"), d.ids.Add(1))
	a, err := http.ReadResponse(r, nil)
	if err != nil {
		return true, err
	}
	defer a.Body.Close()
	if _, err = io.Copy(io.Discard, a.Body); err != nil {
		return true, err
	}
	if a.StatusCode == 200 {
		d.served.Add(1)
	} else {
		d.refused.Add(1)
	}
	return a.Close, nil
}

// delayedWorker starts a worker that serves every call after a short delay.
func delayedWorker(t testing.TB) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(5 * time.Millisecond)
		io.WriteString(w, "ok")
	})}
	go s.Serve(ln)
	t.Cleanup(func() { s.Close() })
	return ln.Addr().String()
}
