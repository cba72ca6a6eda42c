package program

import (
	"bytes"
	"fmt"
	"net"
	"os"
	"strconv"
	"testing"
	"time"
)

// BenchmarkCost measures the CPU time per call of a sidecar in its own process: for a call that is passed on, for one that the
// sidecar answers itself on a kept-alive connection (its class does not exist, so it takes the path of a refusal), and for one
// that is refused on a new connection because the connection table is full.
func BenchmarkCost(b *testing.B) {
	for _, test := range []struct {
		name, class string
		crowded     bool
	}{{"carried", "availability", false}, {"answered", "none", false}, {"crowded", "availability", true}} {
		b.Run(test.name, func(b *testing.B) {
			silentListener, err := net.Listen("tcp", "127.0.0.1:0") // a worker that accepts calls and never answers
			if err != nil {
				b.Fatal(err)
			}
			defer silentListener.Close()
			worker := silentListener.Addr().String()
			if !test.crowded {
				worker = delayedWorker(b)
			}
			c, addr := startSidecar(b, worker, 64)
			load := &loadGenerator{addr: addr, class: test.class}
			if test.crowded {
				for i := range 20 { // all client connections that 64 descriptors allow
					conn, err := net.Dial("tcp", addr)
					if err != nil {
						b.Fatal(err)
					}
					defer conn.Close()
					fmt.Fprintf(conn, "GET /availability/x HTTP/1.1\r\nX-Trace-Id: h%d\r\nX-Expires-In: 60000m\r\n\r\n", i)
				}
			}
			load.runClient() // warm-up: opens the connections to the worker
			refused := load.refused.Load()
			before, n := processCPUTime(b, c.Process.Pid), 0
			for b.Loop() {
				load.runClient()
				n += callsPerClient
			}
			b.ReportMetric(float64((processCPUTime(b, c.Process.Pid)-before).Microseconds())/float64(n), "cpu-us/call")
			if got := load.refused.Load() - refused; test.name != "carried" && got != int64(n) {
				b.Errorf("%d of %d refused", got, n)
			}
		})
	}
}

// processCPUTime is the CPU time that a process has used, in steps of 10 ms.
func processCPUTime(b *testing.B, pid int) time.Duration {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		b.Fatal(err)
	}
	fields := bytes.Fields(text[bytes.LastIndexByte(text, ')')+1:])
	ticks := 0
	for _, f := range fields[11:13] {
		n, _ := strconv.Atoi(string(f))
		ticks += n
	}
	return time.Duration(ticks) * 10 * time.Millisecond
}
