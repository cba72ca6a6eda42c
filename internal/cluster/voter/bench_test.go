package voter

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"testing"
	"time"

	"burlpass/internal/record"
)

// report adds quantiles in milliseconds to a benchmark's metrics.
func report(b *testing.B, name string, all []time.Duration) {
	slices.Sort(all)
	ms := func(q float64) float64 {
		return float64(all[min(len(all)-1, int(q*float64(len(all))))]) / float64(time.Millisecond)
	}
	b.ReportMetric(ms(0.5), name+"-p50-ms")
	b.ReportMetric(ms(0.99), name+"-p99-ms")
	b.ReportMetric(ms(1), name+"-max-ms")
	b.ReportMetric(0, "ns/op")
}

// BenchmarkFsync measures how long the disk takes to write and sync 4 KiB.
func BenchmarkFsync(b *testing.B) {
	f, err := os.Create(filepath.Join(b.TempDir(), "f"))
	if err != nil {
		b.Fatal(err)
	}
	defer f.Close()
	page := make([]byte, 4096)
	var all []time.Duration
	for i := range 2000 {
		start := time.Now()
		if _, err := f.WriteAt(page, int64(i%64)*4096); err != nil {
			b.Fatal(err)
		}
		if err := f.Sync(); err != nil {
			b.Fatal(err)
		}
		all = append(all, time.Since(start))
	}
	report(b, "fsync", all)
}

// BenchmarkWrites measures the latency of 500 writes per second for 10 s with five voters, sent to the leader or to all voters
// in turn. A write's latency counts from the time when it was due.
func BenchmarkWrites(b *testing.B) {
	const rate, seconds = 500, 10
	c := newCluster(b, 5)
	c.open()
	leader := c.leader()
	for name, at := range map[string][]*node{"leader": {leader}, "all": c.nodes} {
		latencies := make([]time.Duration, rate*seconds)
		var done sync.WaitGroup
		start := time.Now()
		for i := range latencies {
			due := start.Add(time.Duration(i) * time.Second / rate)
			time.Sleep(time.Until(due))
			done.Add(1)
			go func() {
				defer done.Done()
				if r, err := at[i%len(at)].v.Write(context.Background(), disableOrder(fmt.Sprint(name, i), fmt.Sprint(name, i), 0)); err != nil || r.Outcome != record.Applied {
					b.Error(r, err)
				}
				latencies[i] = time.Since(due)
			}()
		}
		done.Wait()
		report(b, name, latencies)
	}
}

// BenchmarkFailover kills or closes the leader 20 times, and measures the time until a write through another voter is
// acknowledged.
func BenchmarkFailover(b *testing.B) {
	c := newCluster(b, 5)
	c.open()
	for name, end := range map[string]func(*node){"killed": (*node).kill, "closed": (*node).close} {
		var all []time.Duration
		for i := range 20 {
			leader := c.leader()
			leader.write(fmt.Sprint(name, "-", i), fmt.Sprint(name, "-", i), 0)
			start := time.Now()
			gone := make(chan struct{})
			go func() { defer close(gone); end(leader) }()
			c.eventually("the old leader is down", func() bool { return leader.mux.Load() == nil })
			c.others(leader)[0].write(fmt.Sprint(name, i), fmt.Sprint(name, i), 0)
			all = append(all, time.Since(start))
			<-gone
			leader.open()
			c.eventually("the old leader is back", func() bool {
				s := leader.v.Status()
				return s.Leader != "" && leader.v.Replica() != nil
			})
		}
		report(b, name, all)
	}
}
