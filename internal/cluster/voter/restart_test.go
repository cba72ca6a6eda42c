package voter

import (
	"context"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"runtime"
	"sync"
	"testing"
	"time"

	"burlpass/internal/record"
)

const restartRecords = 100_000

// fill writes the given number of items through the leader, with 200 concurrent writers.
func (c *cluster) fill(records int) {
	leader := c.leader()
	var done sync.WaitGroup
	for w := range 200 {
		done.Add(1)
		go func() {
			defer done.Done()
			for i := range records / 200 {
				worker := fmt.Sprint("w", w, "-", i)
				base := leader.v.Replica().View().Version() // recent: an old base is refused as Forgotten
				if r, err := leader.v.Write(context.Background(), disableOrder("id-"+worker, worker, base)); err != nil || r.Outcome != record.Applied {
					c.t.Error(r, err)
					return
				}
			}
		}()
	}
	done.Wait()
}

// heapBytes returns the size of the live heap.
func heapBytes() int {
	runtime.GC()
	runtime.GC() // frees what finalizers released
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return int(s.HeapAlloc)
}

// folderSize returns the total size of a folder's files, and the size of its largest snapshot.
func folderSize(b *testing.B, folder string) (all, snapshot int64) {
	err := filepath.WalkDir(folder, func(path string, e fs.DirEntry, err error) error {
		if err != nil || e.IsDir() {
			return err
		}
		info, err := e.Info()
		if err != nil {
			return err
		}
		all += info.Size()
		if e.Name() == "state.bin" {
			snapshot = max(snapshot, info.Size())
		}
		return nil
	})
	if err != nil {
		b.Fatal(err)
	}
	return all, snapshot
}

// BenchmarkRestart measures the time from the start of a voter whose disk holds 100,000 records until it shows all of them. The
// records are items in a snapshot, entries in a log without a snapshot, or both with the default snapshot threshold. The
// cluster has a single voter, or one of three voters restarts, or all three restart in this process.
func BenchmarkRestart(b *testing.B) {
	for _, held := range []string{"items", "entries", "usual"} {
		for _, voters := range []string{"alone", "one-of-three", "three"} {
			b.Run(held+"/"+voters, func(b *testing.B) { restart(b, held, voters) })
		}
	}
}

func restart(b *testing.B, held, voters string) {
	n := 3
	if voters == "alone" {
		n = 1
	}
	c := newCluster(b, n)
	c.timings = Timings{Threshold: 10 * restartRecords}
	if held == "usual" {
		c.timings = Timings{Threshold: DefaultThreshold, Snapshot: time.Second}
	}
	c.open()
	c.fill(restartRecords)
	if held == "items" {
		for _, d := range c.nodes {
			d.waitShows("w0-0", "w199-499")
			if err := d.v.currentRun().raft.Snapshot().Error(); err != nil {
				b.Fatal(err)
			}
		}
	}
	last := c.leader()
	if voters == "one-of-three" {
		last = c.others(last)[0]
	}
	want := last.v.Status().Version
	var all []time.Duration
	for range 5 {
		if voters == "one-of-three" {
			last.close()
		} else {
			for _, d := range c.nodes {
				d.close()
			}
		}
		before := heapBytes()
		start := time.Now()
		for _, d := range c.nodes {
			if d.v == nil {
				d.open()
			}
		}
		opened := time.Since(start)
		c.eventually("all records are shown", func() bool { return last.v.Status().Version >= want })
		all = append(all, time.Since(start))
		if os.Getenv("RESTART_STEPS") != "" {
			b.Logf("open %v, all %v", opened, all[len(all)-1])
		}
		if voters != "three" {
			b.ReportMetric(float64(heapBytes()-before)/restartRecords, "heap-B/record")
		}
	}
	report(b, "restart", all)
	disk, snapshot := folderSize(b, last.folder)
	b.ReportMetric(float64(disk)/restartRecords, "disk-B/record")
	b.ReportMetric(float64(snapshot)/restartRecords, "snapshot-B/record")
}
