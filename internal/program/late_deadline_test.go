package program

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// silentWorker starts a worker that reads everything and answers nothing.
func silentWorker(t *testing.T) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go io.Copy(io.Discard, c)
		}
	}()
	return ln.Addr().String()
}

// Guards against a call whose outcome depends on the process being late: paused across the deadline, it has to end the attempt
// itself, as a process that is on time does, rather than report that the balancer gave no answer.
func TestDeadlinePassesDuringPause(t *testing.T) {
	const (
		clients    = 16
		deadline   = time.Second
		pauseStart = 700 * time.Millisecond
		pauseEnd   = 1300 * time.Millisecond
	)
	var log bytes.Buffer
	c, addr := startSidecarWithLog(t, silentWorker(t), 256, &log)
	request := fmt.Sprintf("POST /booking/x HTTP/1.1\r\nX-Trace-Id: %%d\r\nX-Expires-In: %dm\r\nContent-Length: 90000\r\n\r\n%s",
		deadline.Milliseconds(), strings.Repeat("x", 90000))
	statuses := make([]int, clients)
	var all sync.WaitGroup
	start := time.Now()
	for i := range clients {
		conn, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		conn.SetDeadline(start.Add(10 * deadline))
		all.Go(func() {
			fmt.Fprintf(conn, request, i)
			if response, err := http.ReadResponse(bufio.NewReader(conn), nil); err == nil {
				statuses[i] = response.StatusCode
				response.Body.Close()
			}
		})
	}
	time.Sleep(time.Until(start.Add(pauseStart)))
	c.Process.Signal(syscall.SIGSTOP)
	time.Sleep(time.Until(start.Add(pauseEnd)))
	c.Process.Signal(syscall.SIGCONT)
	all.Wait()
	for i, status := range statuses {
		if status != http.StatusBadGateway {
			t.Errorf("client %d: status %d, want 502", i, status)
		}
	}
	c.Process.Signal(syscall.SIGTERM)
	c.Wait()
	if n := strings.Count(log.String(), "call_overdue"); n > 0 {
		t.Errorf("%d calls reported as overdue", n)
	}
}
