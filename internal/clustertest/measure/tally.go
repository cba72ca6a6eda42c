package measure

import (
	"fmt"
	"net"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"golang.org/x/sys/unix"
)

// newTimes is a histogram of microseconds up to a minute, to three digits.
func newTimes() *hdrhistogram.Histogram { return hdrhistogram.New(1, time.Minute.Microseconds(), 3) }

func note(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), 1), time.Minute.Microseconds())) // which is within its bounds
}

// spread is a histogram's middle, its tail and its end.
func spread(h *hdrhistogram.Histogram) string {
	ms := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return fmt.Sprintf("p50 %.1f ms, p99 %.1f ms, most %.1f ms (%d times)", ms(50), ms(99), float64(h.Max())/1000, h.TotalCount())
}

// cpu is the processor time that a process has used, in user and system mode, over all its threads: its CPU clock, which
// counts in ns where /proc counts in hundredths of a second.
func cpu(pid int) (time.Duration, error) {
	const sched = 2 // CPUCLOCK_SCHED of the kernel's clock ids for processes
	var t unix.Timespec
	if err := unix.ClockGettime(int32(^pid<<3|sched), &t); err != nil {
		return 0, fmt.Errorf("CPU clock of process %d: %w", pid, err)
	}
	return time.Duration(t.Nano()), nil
}

// monotonic is the system's clock that only runs on, the same for all processes of the machine, in ns.
func monotonic() int64 {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &t); err != nil {
		panic(err) // a clock that every Linux has
	}
	return t.Nano()
}

func probe(addr string) error {
	ln, err := net.Listen("tcp4", addr)
	if err != nil {
		return err
	}
	return ln.Close()
}
