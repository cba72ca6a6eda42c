package protocol

import (
	"context"
	"math"
	"runtime"
	"sync"
	"sync/atomic"
	"time"
)

// A process that is short of processor time does everything late: calls wait unread in the kernel, responses wait
// unwritten, and timers fire long after they are due. None of its queues is full then, so it has to measure its own
// scheduling delay. While the delay persists, new calls are refused as soon as they have been read, which costs a fraction
// of forwarding them, and the calls that are forwarded get less time, by as much as they have waited in this process.
const (
	minOpenCalls       = 8                      // with fewer open calls no lasting queue can build up
	sampleInterval     = 10 * time.Millisecond  // between two measurements of the delay
	sampleWindow       = 200 * time.Millisecond // time over which the delay has to persist; a platform may pause a process for part of that
	minSamples         = 4                      // per window
	delayThreshold     = 25 * time.Millisecond  // a delay up to this causes no refusals
	highDelayThreshold = 4 * delayThreshold     // a delay above this raises the pressure faster

	minPressure        = 0.3  // refuses 1 in 28 calls of the class with the lowest worth
	maxPressure        = 100  // refuses 99 in 100 of these
	pressureGrowth     = 1.5  // factor per window above delayThreshold
	pressureFastGrowth = 2.5  // factor per window above highDelayThreshold
	pressureDecay      = 0.85 // factor per window without delay
)

// overloadDetector measures how long runnable work waits in this process, and decides which calls are refused because of it.
type overloadDetector struct {
	openCalls  atomic.Int64 // calls being handled and not answered yet
	sampling   atomic.Bool  // a goroutine takes samples
	delayNanos atomic.Int64 // the minimum delay of the last complete window
	refusing   atomic.Bool  // pressure is above 0

	mu            sync.Mutex
	windowStart   time.Time     // zero before the first sample of a window
	samples       int           // in the current window
	minDelay      time.Duration // in the current window
	pressure      float64       // 0 while nothing is refused
	refusalCredit []float64     // fractional refusals due, by class; whole ones have been made
	lightCredit   float64       // likewise, of connections that make little of the load
}

// begin counts a call as open. Once enough calls are open, a goroutine samples the delay until there is no load left
// or ctx is done.
func (d *overloadDetector) begin(ctx context.Context) {
	if d.openCalls.Add(1) >= minOpenCalls && d.sampling.CompareAndSwap(false, true) {
		go d.sampleLoop(ctx)
	}
}

func (d *overloadDetector) end() { d.openCalls.Add(-1) }

func (d *overloadDetector) sampleLoop(ctx context.Context) {
	for ctx.Err() == nil && (d.openCalls.Load() >= minOpenCalls || d.refusing.Load()) {
		due := time.Now().Add(sampleInterval)
		time.Sleep(sampleInterval)
		runtime.Gosched() // timers run first; after yielding, this goroutine is behind everything that is runnable
		now := time.Now()
		d.addSample(now, now.Sub(due))
	}
	d.mu.Lock()
	d.windowStart, d.pressure = time.Time{}, 0
	d.refusing.Store(false)
	d.mu.Unlock()
	d.delayNanos.Store(0)
	d.sampling.Store(false)
}

// addSample records one measurement. The minimum delay of a window counts: a pause of the whole process delays only a few
// samples, while a lasting queue delays all of them.
func (d *overloadDetector) addSample(now time.Time, delay time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.windowStart.IsZero() {
		d.windowStart, d.samples, d.minDelay = now, 0, delay
	}
	d.samples++
	d.minDelay = min(d.minDelay, delay)
	if now.Sub(d.windowStart) < sampleWindow || d.samples < minSamples {
		return
	}
	d.delayNanos.Store(int64(d.minDelay))
	switch {
	case d.minDelay > highDelayThreshold:
		d.pressure = max(d.pressure*pressureFastGrowth, minPressure)
	case d.minDelay > delayThreshold:
		d.pressure = max(d.pressure*pressureGrowth, minPressure)
	default:
		d.pressure *= pressureDecay
	}
	if d.pressure = min(d.pressure, maxPressure); d.pressure < minPressure {
		d.pressure = 0
	}
	d.refusing.Store(d.pressure > 0)
	d.windowStart = time.Time{}
}

// delay returns how long a call has probably waited in this process before it was read.
func (d *overloadDetector) delay() time.Duration { return max(time.Duration(d.delayNanos.Load()), 0) }

// shouldRefuse reports whether a call of the given class is refused because of the delay. Classes of higher worth have
// fewer calls refused, and so have connections that make less of the load, whose weight is below 1. The refusals are spread
// evenly over the calls of a class and weight. worth is indexed by class; with nil all classes are alike.
func (d *overloadDetector) shouldRefuse(class int, worth []float64, weight func() float64) bool {
	if !d.refusing.Load() {
		return false
	}
	w := weight()
	d.mu.Lock()
	defer d.mu.Unlock()
	for len(d.refusalCredit) <= class {
		d.refusalCredit = append(d.refusalCredit, 0)
	}
	credit := &d.refusalCredit[class]
	if w < 1 {
		credit = &d.lightCredit
	}
	*credit += refusalProbability(d.pressure*w, class, worth)
	if *credit < 1 {
		return false
	}
	*credit--
	return true
}

// refusalProbability returns the share of a class's calls that is refused.
func refusalProbability(pressure float64, class int, worth []float64) float64 {
	ratio, minWorth := 1.0, math.Inf(1)
	for _, w := range worth {
		if w > 0 {
			minWorth = min(minWorth, w)
		}
	}
	if class < len(worth) && worth[class] > 0 {
		ratio = worth[class] / minWorth
	}
	return math.Exp(-ratio / pressure)
}
