package observer

import (
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"burlpass/internal/cluster/api"
	"burlpass/internal/cluster/apitest"
	"burlpass/internal/record"
)

// countingListener counts the bytes sent on accepted connections.
type countingListener struct {
	net.Listener
	sent *atomic.Int64
}

type countingConn struct {
	net.Conn
	sent *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return countingConn{c, l.sent}, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.sent.Add(int64(n))
	return n, err
}

// BenchmarkFleet measures observers that follow a root with ten writes per second, all in this process over loopback: the delay
// of a write from the root to the observers, and the load on the root. docs/cluster.md has the results.
func BenchmarkFleet(b *testing.B) {
	const writes, interval = 100, 100 * time.Millisecond
	for _, c := range []struct {
		n, capacity int
		disk        bool
	}{{10, 32, false}, {100, 32, false}, {300, 32, false}, {1000, 32, false}, {100, 1000, false}, {300, 1000, false}, {1000, 1000, false}, {30, 32, true}} {
		b.Run(fmt.Sprintf("n=%d/places=%d/disk=%v", c.n, c.capacity, c.disk), func(b *testing.B) {
			root := apitest.NewVoter("root", 0)
			var sent, calls atomic.Int64
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			h := root.Handler(api.Options{Followers: c.capacity})
			apitest.ServeOn(b, countingListener{l, &sent}, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				calls.Add(1)
				h.ServeHTTP(w, r)
			}))
			all := make([]*Observer, c.n)
			for i := range all {
				own, err := net.Listen("tcp", "127.0.0.1:0")
				if err != nil {
					b.Fatal(err)
				}
				conf := Config{Name: "o" + strconv.Itoa(i), Addr: own.Addr().String(), Sources: []Source{{Name: "root", Addr: l.Addr().String()}},
					Timings: Timings{}.withDefaults()}
				if c.disk {
					conf.Folder = b.TempDir()
				}
				all[i] = openObserver(b, conf)
				apitest.ServeOn(b, own, api.Handler(all[i], api.Options{}))
			}
			deepest := 0
			for _, o := range all {
				waitFor(b, o.config.Name+" follows", func() bool { return o.Status().State == "following" })
				deepest = max(deepest, len(o.Status().Path)-1)
			}
			written := make([]time.Time, writes+1) // by version
			latencies := make([][]time.Duration, c.n)
			var watching sync.WaitGroup
			for i, o := range all {
				watching.Go(func() {
					for seen := record.Version(0); seen < writes; {
						changed := o.state.Changed()
						now := o.state.View().Version()
						for at := time.Now(); seen < now; latencies[i] = append(latencies[i], at.Sub(written[seen])) {
							seen++
						}
						if now < writes {
							<-changed
						}
					}
				})
			}
			sent.Store(0)
			calls.Store(0)
			startedAt := time.Now()
			tick := time.NewTicker(interval)
			for v := 1; v <= writes; v++ {
				<-tick.C
				written[v] = time.Now()
				root.Add(b, 1)
			}
			tick.Stop()
			watching.Wait()
			elapsed := time.Since(startedAt).Seconds()
			sorted := slices.Sorted(slices.Values(slices.Concat(latencies...)))
			ms := func(p float64) float64 { return sorted[int(p*float64(len(sorted)-1))].Seconds() * 1000 }
			b.ReportMetric(ms(.5), "p50-ms")
			b.ReportMetric(ms(.99), "p99-ms")
			b.ReportMetric(ms(1), "max-ms")
			b.ReportMetric(float64(calls.Load())/elapsed, "calls/s")
			b.ReportMetric(float64(sent.Load())/elapsed/1000, "kB/s")
			b.ReportMetric(float64(deepest), "deepest")
			b.ReportMetric(0, "ns/op")
		})
	}
}
