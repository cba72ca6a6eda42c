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

// The load of TestShortOfProcessor: a quarter of a core, in pieces longer than a client's connection is safe from being
// closed for another, and clients in number three times what the sidecar has connections for.
const (
	pauseTime      = 300 * time.Millisecond
	runTime        = 100 * time.Millisecond
	loadClients    = 64
	callsPerClient = 25 // calls of each client
)

// A sidecar that is out of processor time may refuse, and may be late; it must not end a connection over a call that
// waits in it unread.
func TestCPUStarvedSidecar(t *testing.T) {
	c, addr := startSidecar(t, delayedWorker(t), 64)
	stop, pauserDone := make(chan struct{}), make(chan struct{})
	go func() { // the rest of the core
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
	t.Logf("%d served, %d refused, %d given up, %d sent once more", load.served.Load(), load.refused.Load(), load.timedOut.Load(), load.resent.Load())
	if n := load.lost.Load(); n > 0 {
		t.Errorf("%d calls lost, such as: %v", n, load.lastLoss.Load())
	}
	if load.served.Load() == 0 {
		t.Error("nothing was served")
	}
}

// start starts this binary as a sidecar with one backend, or several with commas between them, and so many descriptors,
// and tells where it listens. Its log is dropped.
func startSidecar(t testing.TB, workers string, sockets int) (c *exec.Cmd, addr string) {
	return startSidecarWithLog(t, workers, sockets, io.Discard)
}

// startLogged is start with the sidecar's log. The race detector would else hold the exit of its process up by a second.
func startSidecarWithLog(t testing.TB, workers string, sockets int, log io.Writer) (c *exec.Cmd, addr string) {
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

// demand is what all clients sent and got.
type loadGenerator struct {
	addr, class                                  string
	ids, served, refused, timedOut, resent, lost atomic.Int64
	lastLoss                                     atomic.Value // a loss
}

// client sends one call after another on a connection that it keeps for as long as the sidecar does.
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
			case reused && !retried: // closed between two calls, as a sidecar may
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

// call makes one call; it tells whether the connection ends with it.
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

// answering is a worker that serves every call a little later.
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
