package judge

import (
	"math"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// tally counts what a day was worth.
type tally struct {
	fleet                                        Fleet
	classes                                      []ClassReport
	latency                                      []*hdrhistogram.Histogram
	state                                        []outcome // by arrival
	refusals                                     int
	advised                                      int
	tries, attempts, crossed, probes, turnedAway int
	quit, died, idleLate, fell                   int
	overlaps                                     [][2]*attempt
	seconds                                      []Second
}

// outcome is what became of a client's call over all its tries.
type outcome struct {
	asked  bool
	done   bool
	end    time.Duration
	served time.Duration // latency from the first try on, where done
}

// Second is one second of the day, by when calls came.
type Second struct {
	Asked   float64 `json:"asked"`  // worth
	Served  float64 `json:"served"` // worth
	Calls   int     `json:"calls"`
	Refused int     `json:"refused"`
	Failed  int     `json:"failed"`
	P50     float64 `json:"p50_ms"`
	P99     float64 `json:"p99_ms"`

	h *hdrhistogram.Histogram
}

// ClassReport is one class's day.
type ClassReport struct {
	Name   string  `json:"name"`
	Calls  int     `json:"calls"`
	InTime int     `json:"in_time"`
	Late   int     `json:"late"`
	Lost   int     `json:"lost"` // refused, failed or unanswered in the end
	Asked  float64 `json:"asked"`
	Earned float64 `json:"earned"`
	Share  float64 `json:"share"`
	P50    float64 `json:"p50_ms"`
	P90    float64 `json:"p90_ms"`
	P99    float64 `json:"p99_ms"`
	Max    float64 `json:"max_ms"`
}

// Report is a day's figures.
type Report struct {
	G          float64       `json:"g"` // the figure, 0 where a rule was broken
	Worth      float64       `json:"worth"`
	Worst      float64       `json:"worst_10s"`
	WorstAt    float64       `json:"worst_10s_at"`
	WorstClass float64       `json:"worst_class"`
	Classes    []ClassReport `json:"classes"`
	Calls      int           `json:"calls"`
	Tries      int           `json:"tries"`
	Attempts   int           `json:"attempts"`
	Crossed    float64       `json:"crossed"` // attempts across halls, for each call
	Probes     float64       `json:"probes"`  // for each call
	Waste      float64       `json:"waste"`   // work done for nobody, over work asked for
	LateFail   float64       `json:"late_fail"`
	Refused    int           `json:"refused"`
	Advised    int           `json:"refused_with_time"`
	TurnedAway int           `json:"turned_away"`
	Died       int           `json:"held_by_killed"`
	IdleLate   int           `json:"unsent_and_late"`
	Fell       int           `json:"fell"`
	Cold       *ColdReport   `json:"cold,omitempty"`
	Seconds    []Second      `json:"seconds"`
	Samples    []Sample      `json:"samples"`
	Belief     Belief        `json:"belief"`
	Violations []Violation   `json:"violations"`
	MoreBroken int           `json:"violations_beyond"`
}

func (t *tally) init(f Fleet) {
	t.fleet = f
	t.state = make([]outcome, len(f.Arrivals))
	for _, k := range f.Scenario.Classes {
		t.classes = append(t.classes, ClassReport{Name: k.Name})
		t.latency = append(t.latency, histogram())
	}
	t.seconds = make([]Second, int(math.Ceil(f.Scenario.Length.Seconds())))
	for i := range t.seconds {
		t.seconds[i].h = histogram()
	}
}

// histogram holds latencies in microseconds up to two minutes, to three digits.
func histogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, 120_000_000, 3) }

func (t *tally) second(at time.Duration) *Second {
	return &t.seconds[min(int(at/time.Second), len(t.seconds)-1)]
}

func (t *tally) asked(e *Event) {
	t.tries++
	t.state[e.Arrival].asked = true
}

func (t *tally) served(c *call, at time.Duration, inTime bool) {
	o := &t.state[c.arrival]
	if !inTime || o.done {
		return
	}
	o.done, o.end = true, at
	o.served = at - t.fleet.Arrivals[c.arrival].At
}

func (t *tally) refused(c *call, e *Event) {
	t.refusals++
	if e.RetryAfter > 0 {
		t.advised++
	}
	t.second(t.fleet.Arrivals[c.arrival].At).Refused++
	t.end(c, e.At)
}

func (t *tally) failed(c *call, at time.Duration) {
	t.second(t.fleet.Arrivals[c.arrival].At).Failed++
	t.end(c, at)
}

func (t *tally) end(c *call, at time.Duration) {
	if o := &t.state[c.arrival]; !o.done {
		o.end = at
	}
}

// Work is what the fleet did, in seconds of standard work.
type Work struct{ Asked, Wasted float64 }

// Report gives the day's figures after Finish.
func (j *Judge) Report(work Work) *Report {
	t := &j.tally
	r := &Report{Tries: t.tries, Attempts: t.attempts, Refused: t.refusals, Advised: t.advised,
		TurnedAway: t.turnedAway, Died: t.died, IdleLate: t.idleLate, Fell: t.fell, Violations: j.violations, MoreBroken: j.dropped}
	lateFailed, asked, earned := 0.0, 0.0, 0.0
	for i, o := range t.state {
		a := t.fleet.Arrivals[i]
		if a.At > t.fleet.Until {
			break
		}
		if a.Kept && !o.asked {
			continue
		}
		class, k, s := &t.fleet.Scenario.Classes[a.Class], &t.classes[a.Class], t.second(a.At)
		r.Calls++
		k.Calls++
		k.Asked += class.Worth
		s.Calls++
		s.Asked += class.Worth
		got := 0.0
		switch {
		case o.done && o.served <= class.Aim:
			k.InTime++
			got = class.Worth
		case o.done:
			k.Late++
			got = class.Worth * class.LateWorth
		default:
			k.Lost++
			if o.end-a.At > class.Aim || o.end == 0 {
				lateFailed += class.Worth
			}
		}
		if o.done {
			t.latency[a.Class].RecordValue(max(1, o.served.Microseconds()))
			s.h.RecordValue(max(1, o.served.Microseconds()))
		}
		k.Earned += got
		s.Served += got
		asked += class.Worth
		earned += got
	}
	r.Worth, r.LateFail = ratio(earned, asked), ratio(lateFailed, asked)
	if lateFailed == 0 || asked == 0 {
		r.LateFail = 0
	}
	r.WorstClass = 1
	for i := range t.classes {
		k, h := &t.classes[i], t.latency[i]
		k.Share = ratio(k.Earned, k.Asked)
		k.P50, k.P90, k.P99, k.Max = ms(h.ValueAtQuantile(50)), ms(h.ValueAtQuantile(90)), ms(h.ValueAtQuantile(99)), ms(h.Max())
		r.WorstClass = min(r.WorstClass, k.Share)
	}
	r.Classes = t.classes
	r.Worst, r.WorstAt = worst(t.seconds)
	for i := range t.seconds {
		s := &t.seconds[i]
		s.P50, s.P99 = ms(s.h.ValueAtQuantile(50)), ms(s.h.ValueAtQuantile(99))
		s.h = nil // a report is kept for long, and this is most of it
	}
	r.Seconds = t.seconds
	if n := float64(r.Calls); n > 0 {
		r.Crossed, r.Probes = float64(t.crossed)/n, float64(t.probes)/n
	}
	if work.Asked > 0 {
		r.Waste = work.Wasted / work.Asked
	}
	for _, s := range j.sidecars {
		r.Samples = append(r.Samples, s.used...)
	}
	r.Belief = j.belief.report(j.now)
	r.Cold = j.cold.result(j.tally.fleet.Until)
	g := t.fleet.Scenario.Goal
	if len(r.Violations) == 0 {
		r.G = g.Whole*r.Worth + g.Worst*r.Worst + g.WorstClass*r.WorstClass -
			g.Cross*r.Crossed - g.Waste*r.Waste - g.Probe*r.Probes - g.LateFail*r.LateFail
	}
	return r
}

func ratio(a, b float64) float64 {
	if b == 0 {
		return 1
	}
	return a / b
}

func ms(us int64) float64 { return float64(us) / 1000 }

// worst finds the 10 s with the least share of their worth served; a shorter day is one span.
func worst(seconds []Second) (share, at float64) {
	span := min(10, len(seconds))
	share = 1
	for i := 0; i+span <= len(seconds); i++ {
		asked, served := 0.0, 0.0
		for _, s := range seconds[i : i+span] {
			asked += s.Asked
			served += s.Served
		}
		if x := ratio(served, asked); x < share {
			share, at = x, float64(i)
		}
	}
	return share, at
}
