// Package world is the laboratory's model of what burlpass serves: workers, the registry, clients and the network.
// It does no I/O, starts no goroutine and reads no clock; whoever drives it hands it events with their time, on real
// sockets or on a virtual clock alike. All chance comes from one seed.
package world

import (
	"math"
	"time"

	"burlpass/internal/lab/scenario"
)

// Job is what a worker is asked to do.
type Job struct {
	ID    uint64
	Work  time.Duration // on a standard core
	From  int           // the sidecar
	Probe bool          // answered beside the queue
}

// Verdict is what becomes of an offered job.
type Verdict uint8

// The verdicts.
const (
	Taken Verdict = iota // it will be in a later Advance's result, unless it is lost or stopped
	Full                 // turned away unseen
	Down                 // the process has ended, or it fell over
)

// Spec is one worker as drawn for a day.
type Spec struct {
	Name  string
	Hall  int
	Cell  int // of the whole fleet's; each lies in one hall
	Kind  int
	Speed float64 // of a core, standard 1
}

// cold is how long a span of work done counts against falling over is cut into.
const fallParts = 20

// Worker is the model of one worker's process: cores, slots, a waiting room, warmth. Times count from the start of
// the day and never go back.
type Worker struct {
	Spec
	kind  scenario.Kind
	rules scenario.Rules

	at       time.Duration // up to which the work is done
	began    time.Duration // of the process; negative: long ago
	up       bool
	fallen   bool
	stalled  int     // hangs that go on
	slow     float64 // speed left over
	jobs     []*job  // in work first, then waiting
	byID     map[uint64]*job
	running  int
	doneWork float64 // seconds of standard work since the start, which warm it

	pushed   [fallParts]float64 // work arrived while cold, by part of the fall time
	by       []map[int]float64  // the same by sidecar
	part     int64              // the part now
	ColdUse  float64            // the most of what it may be sent while cold that was used; over 1 it falls
	FellFrom map[int]float64    // who sent the work under which it fell, by sidecar
	Totals   Totals
	util     float64 // share of the cores in use, averaged
	errors   float64 // errors a second, averaged
}

// Totals counts work in seconds on a standard core. Offered = Done + Wasted + Lost + Refused + what is held.
type Totals struct {
	Offered, Done, Wasted, Lost, Refused, Probes float64
	Jobs, Answered, TurnedAway                   int
}

type job struct {
	Job
	left   float64 // seconds of standard work
	wanted bool    // somebody still waits for the answer
}

// Finished is a job that has been done.
type Finished struct {
	ID     uint64
	At     time.Duration
	Wanted bool
}

// NewWorker returns a worker that has run since began (negative: long ago, so that it is warm).
func NewWorker(spec Spec, kind scenario.Kind, rules scenario.Rules, began, now time.Duration) *Worker {
	w := &Worker{Spec: spec, kind: kind, rules: rules, slow: 1}
	w.start(began, now)
	return w
}

func (w *Worker) start(began, now time.Duration) {
	w.at, w.began, w.up, w.fallen = now, began, true, false
	w.jobs, w.byID, w.running, w.doneWork = nil, map[uint64]*job{}, 0, 0
	w.pushed, w.part, w.util, w.errors = [fallParts]float64{}, 0, 0, 0
	w.by = make([]map[int]float64, fallParts)
}

// Restart starts the process anew, cold. What it held must have been lost by Stop.
func (w *Worker) Restart(now time.Duration) { w.start(now, now) }

// Stop ends the process: all that it holds is lost. It returns the jobs that somebody waited for.
func (w *Worker) Stop(now time.Duration) (lost []uint64) {
	w.Advance(now)
	for _, j := range w.jobs {
		w.Totals.Lost += j.left
		if j.wanted {
			lost = append(lost, j.ID)
		}
	}
	w.up = false
	w.jobs, w.byID, w.running = nil, map[uint64]*job{}, 0
	return lost
}

// Up tells whether the process runs and has not fallen over.
func (w *Worker) Up() bool { return w.up && !w.fallen }

// Fallen tells whether it was pushed over.
func (w *Worker) Fallen() bool { return w.fallen }

// Stalled tells whether a hang goes on.
func (w *Worker) Stalled() bool { return w.stalled > 0 }

// Stall begins (on) or ends one hang; hangs may overlap, and it works again when the last has ended.
func (w *Worker) Stall(now time.Duration, on bool) []Finished {
	done := w.Advance(now)
	if on {
		w.stalled++
	} else if w.stalled > 0 {
		w.stalled--
	}
	return done
}

// Slow sets the share of its speed that is left.
func (w *Worker) Slow(now time.Duration, share float64) []Finished {
	done := w.Advance(now)
	w.slow = share
	return done
}

// Warmth is the share of its full capacity that it has at a time: from the kind's cold share up to 1, evenly with
// time or sooner with work done, and never slower than evenly over the cold time.
func (w *Worker) Warmth(now time.Duration) float64 {
	if w.began < 0 || w.kind.ColdTime <= 0 || now-w.began >= w.kind.ColdTime {
		return 1
	}
	share := math.Max(0, float64(now-w.began)/float64(w.kind.ColdTime))
	if w.kind.WarmBy == "requests" { // half of what it could do warm in that time makes it warm
		share = math.Max(share, w.doneWork/(w.full()*w.kind.ColdTime.Seconds()/2))
	}
	return math.Min(1, w.kind.ColdFrom+(1-w.kind.ColdFrom)*share)
}

func (w *Worker) full() float64 { return w.Speed * float64(w.kind.Cores) }

// Capacity is the seconds of standard work that it can do in a second at a time, without crowding.
func (w *Worker) Capacity(now time.Duration) float64 { return w.full() * w.slow * w.Warmth(now) }

func (w *Worker) slots() int { return w.kind.Slots * w.kind.Cores }
func (w *Worker) room() int  { return w.slots() + w.kind.Queue*w.kind.Cores }

// Held is the number of requests in work and waiting.
func (w *Worker) Held() int { return len(w.jobs) }

// Waiting is the number of requests that wait for a slot.
func (w *Worker) Waiting() int { return len(w.jobs) - w.running }

// rate is the seconds of work that one running job gets in a second.
func (w *Worker) rate(now time.Duration) float64 {
	if w.running == 0 || !w.Up() || w.stalled > 0 {
		return 0
	}
	efficiency := 1.0
	if over := float64(len(w.jobs))/float64(w.kind.Cores) - w.kind.CrowdAt; over > 0 {
		efficiency = 1 / (1 + w.kind.Crowd*over)
	}
	core := w.Speed * w.slow * w.Warmth(now) * efficiency
	return core * math.Min(1, float64(w.kind.Cores)/float64(w.running))
}

// coldStep is how often the rate of a worker that warms is taken anew.
const coldStep = 50 * time.Millisecond

// Due is when the next job will be done, or the rate changes, as things stand; ok is false where nothing will.
func (w *Worker) Due() (at time.Duration, ok bool) {
	r := w.rate(w.at)
	if r == 0 {
		return 0, false
	}
	least := math.Inf(1)
	for _, j := range w.jobs[:w.running] {
		least = math.Min(least, j.left)
	}
	step := time.Duration(math.Ceil(least / r * 1e9))
	if w.Warmth(w.at) < 1 {
		step = min(step, coldStep)
	}
	return w.at + max(step, 1), true
}

// Advance does the work up to a time and returns what was finished on the way, in order.
func (w *Worker) Advance(now time.Duration) (done []Finished) {
	for w.at < now {
		next, ok := w.Due()
		if !ok {
			w.meter(now - w.at)
			w.at = now
			break
		}
		next = min(next, now)
		r, span := w.rate(w.at), (next - w.at).Seconds()
		w.meter(next - w.at)
		w.at = next
		finished := 0
		for _, j := range w.jobs[:w.running] {
			part := math.Min(j.left, r*span)
			j.left -= part
			w.doneWork += part
			if j.wanted {
				w.Totals.Done += part
			} else {
				w.Totals.Wasted += part
			}
			if j.left <= 1e-9 {
				finished++
			}
		}
		if finished > 0 {
			done = w.collect(done)
		}
	}
	return done
}

// collect takes the finished jobs out and lets waiting ones begin.
func (w *Worker) collect(done []Finished) []Finished {
	kept := w.jobs[:0]
	for i, j := range w.jobs {
		if i < w.running && j.left <= 1e-9 {
			delete(w.byID, j.ID)
			w.Totals.Answered++
			done = append(done, Finished{j.ID, w.at, j.wanted})
			continue
		}
		kept = append(kept, j)
	}
	clear(w.jobs[len(kept):])
	w.jobs = kept
	w.running = min(len(w.jobs), w.slots())
	return done
}

// meter averages the use of the cores over the last second or so.
func (w *Worker) meter(span time.Duration) {
	use := 0.0
	if w.Up() && w.stalled == 0 {
		use = math.Min(1, float64(w.running)/float64(w.kind.Cores))
	}
	keep := math.Exp(-span.Seconds())
	w.util = w.util*keep + use*(1-keep)
	w.errors *= keep
}

// Failed notes an error that it answered with.
func (w *Worker) Failed() { w.errors++ }

// Offer hands the worker a job at a time. Advance must have brought it there.
func (w *Worker) Offer(now time.Duration, j Job) Verdict {
	if !w.Up() {
		return Down
	}
	work := j.Work.Seconds()
	w.push(now, j.From, work)
	if w.fallen {
		return Down
	}
	w.Totals.Jobs++
	w.Totals.Offered += work
	if j.Probe {
		w.Totals.Probes += work
	}
	if len(w.jobs) >= w.room() {
		w.Totals.Refused += work
		w.Totals.TurnedAway++
		return Full
	}
	x := &job{Job: j, left: work, wanted: true}
	w.byID[j.ID] = x
	if j.Probe && w.running > 0 { // next in turn: what is in work goes on
		w.jobs = append(w.jobs, nil)
		copy(w.jobs[w.running+1:], w.jobs[w.running:])
		w.jobs[w.running] = x
	} else {
		w.jobs = append(w.jobs, x)
	}
	w.running = min(len(w.jobs), w.slots())
	return Taken
}

// push notes work that arrives at a cold worker and lets it fall where that is too much: more than the multiple of
// what it could do over the whole span, with an allowance for chance.
// That it is slowed does not count: nobody is told, and what it starts with is promised.
func (w *Worker) push(now time.Duration, from int, work float64) {
	if w.Warmth(now) >= 1 {
		return
	}
	span := w.rules.FallTime
	part := int64(now) * fallParts / int64(span)
	for w.part < part {
		w.part = max(w.part+1, part-fallParts)
		w.pushed[w.part%fallParts] = 0
		w.by[w.part%fallParts] = nil
	}
	i := part % fallParts
	w.pushed[i] += work
	if w.by[i] == nil {
		w.by[i] = map[int]float64{}
	}
	w.by[i][from] += work
	sum := 0.0
	for _, p := range w.pushed {
		sum += p
	}
	allowed := w.rules.FallMultiple*w.full()*w.Warmth(now)*span.Seconds() + w.rules.FallChance.Seconds()
	if w.ColdUse = math.Max(w.ColdUse, sum/allowed); sum <= allowed {
		return
	}
	w.fallen = true
	w.FellFrom = map[int]float64{}
	for _, by := range w.by {
		for sidecar, p := range by {
			w.FellFrom[sidecar] += p
		}
	}
}

// Abandon says that nobody waits for a job any more. Unless the kind stops cancelled work, it goes on as waste.
func (w *Worker) Abandon(now time.Duration, id uint64) []Finished {
	done := w.Advance(now)
	j := w.byID[id]
	if j == nil {
		return done
	}
	j.wanted = false
	if w.kind.Cancel == "stop" {
		w.Totals.Lost += j.left
		j.left = 0
		for i, x := range w.jobs {
			if x == j {
				w.jobs = append(w.jobs[:i], w.jobs[i+1:]...)
				break
			}
		}
		delete(w.byID, id)
		w.running = min(len(w.jobs), w.slots())
	}
	return done
}

// Left is the seconds of work that it holds.
func (w *Worker) Left() (sum float64) {
	for _, j := range w.jobs {
		sum += j.left
	}
	return sum
}

// Load is a load report.
type Load struct {
	Util, Errors float64
	Queue        int
}

// Report is its load at the time to which it was last advanced.
func (w *Worker) Report() Load { return Load{w.util, w.errors, w.Waiting()} }
