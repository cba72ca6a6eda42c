package stage

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Lateness is how late the laboratory itself ran. A laboratory that ran late proves nothing.
type Lateness struct {
	TimerP99    float64 `json:"timer_p99_ms"` // of a timer each 5 ms
	TimerMax    float64 `json:"timer_max_ms"`
	DispatchP99 float64 `json:"dispatch_p99_ms"` // of the calls, behind their drawn time
	OwnCPU      float64 `json:"own_cpu"`         // cores used by the laboratory
	BusyCPU     float64 `json:"busy_cpu"`        // share of all cores in use by anybody
	Void        string  `json:"void,omitempty"`  // why the day proves nothing; empty where it does
}

// Bounds past which a day is void. The judge orders two sockets' events within 50 ms.
const (
	latestTimerP99 = 15 * time.Millisecond
	latestTimer    = 50 * time.Millisecond
	latestDispatch = 25 * time.Millisecond
	busiest        = 0.97
)

const lateTick = 5 * time.Millisecond

type lateness struct {
	mu       sync.Mutex
	timer    *hdrhistogram.Histogram // microseconds
	dispatch *hdrhistogram.Histogram
	begun    time.Time
	cpu      time.Duration
	busy     [2]float64 // jiffies in use and in all
	over     chan struct{}
	done     chan struct{}
}

// newLateness begins to measure; under a virtual clock nothing is late and nothing is measured.
func newLateness(virtual bool) *lateness {
	if virtual {
		return nil
	}
	l := &lateness{timer: hdrhistogram.New(1, 60_000_000, 2), dispatch: hdrhistogram.New(1, 60_000_000, 2),
		begun: time.Now(), cpu: ownCPU(), busy: systemCPU(), over: make(chan struct{}), done: make(chan struct{})}
	go func() {
		defer close(l.done)
		for {
			next := time.Now().Add(lateTick)
			select {
			case <-time.After(lateTick):
				l.mu.Lock()
				l.timer.RecordValue(max(1, time.Since(next).Microseconds()))
				l.mu.Unlock()
			case <-l.over:
				return
			}
		}
	}()
	return l
}

func (l *lateness) dispatched(by time.Duration) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dispatch.RecordValue(max(1, by.Microseconds()))
}

func (l *lateness) stop() Lateness {
	if l == nil {
		return Lateness{}
	}
	close(l.over)
	<-l.done
	ms := func(us int64) float64 { return float64(us) / 1000 }
	out := Lateness{TimerP99: ms(l.timer.ValueAtQuantile(99)), TimerMax: ms(l.timer.Max()),
		DispatchP99: ms(l.dispatch.ValueAtQuantile(99)), OwnCPU: (ownCPU() - l.cpu).Seconds() / time.Since(l.begun).Seconds()}
	if now := systemCPU(); now[1] > l.busy[1] {
		out.BusyCPU = (now[0] - l.busy[0]) / (now[1] - l.busy[1])
	}
	over := func(what string, got float64, most time.Duration) {
		if limit := float64(most) / 1e6; got > limit && out.Void == "" {
			out.Void = fmt.Sprintf("%s ran %.1f ms late, more than %.0f", what, got, limit)
		}
	}
	over("1 in 100 timers", out.TimerP99, latestTimerP99)
	over("a timer", out.TimerMax, latestTimer)
	over("1 in 100 calls", out.DispatchP99, latestDispatch)
	if out.BusyCPU > busiest && out.Void == "" {
		out.Void = fmt.Sprintf("%.0f%% of all cores were in use", 100*out.BusyCPU)
	}
	return out
}

// systemCPU reads the jiffies of all cores: in use, and in all.
func systemCPU() (out [2]float64) {
	text, _ := os.ReadFile("/proc/stat")
	line, _, _ := strings.Cut(string(text), "\n")
	for i, field := range strings.Fields(line) {
		v, err := strconv.ParseFloat(field, 64)
		if err != nil || i > 8 { // guest time is counted in user time already
			continue
		}
		out[1] += v
		if i != 4 && i != 5 { // idle, iowait
			out[0] += v
		}
	}
	return out
}
