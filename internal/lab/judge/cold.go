package judge

import (
	"math"
	"time"
)

// fewRequests is the number of requests under which a budget leaves more room for chance.
const fewRequests = 30

// Budget is the most that a cold worker may get within the time in which it falls, in requests of mean work, where the
// settings allow it n then: the operators' rule (STANDING, terms of 2026-12-02). Two deviations of chance and two requests go
// on top, three of both where n is small.
func Budget(n float64) float64 {
	if n < fewRequests {
		return n + 3*math.Sqrt(n) + 3
	}
	return n + 2*math.Sqrt(n) + 2
}

// deemed is how long after its listing a start counts as told, heard or not.
const deemed = 6 * time.Second

// toldMost is the share of the work of a fall above which sidecars that knew of the start are to blame.
const toldMost = 2.0 / 3

// ColdReport sets what cold workers got beside their budget, over all sidecars together and every span of the time in
// which a worker falls. What a worker could do follows its own speed, its age, and the coldest start and the longest
// warming of the settings; that work done may have warmed it sooner does not count. Calls, repeats, probes and
// handshakes all count, also those that were turned away.
type ColdReport struct {
	Lives  int        `json:"lives"`  // processes that got anything while cold
	All    ColdPeak   `json:"all"`    // the greatest part of a budget used, by all
	Told   ColdPeak   `json:"told"`   // the same by sidecars that had been told of the start
	Number float64    `json:"number"` // as All, with requests by their number and not by their work
	Half   float64    `json:"half"`   // work got over what it could do, from 3/8 to 5/8 of the warming, mean over processes
	Halves int        `json:"halves"` // processes that reached 5/8
	Passed []ColdPeak `json:"passed"` // the first span of each process in which its budget was passed by all
}

// Broken tells how many processes would have fallen by work that over two thirds sidecars sent who knew of the start.
func (r *ColdReport) Broken() (n int) {
	for _, p := range r.Passed {
		if p.Known > toldMost {
			n++
		}
	}
	return n
}

// ColdPeak is one span of one worker. Got and Budget are in requests of mean work.
type ColdPeak struct {
	Ratio  float64       `json:"ratio"` // Got over Budget
	At     time.Duration `json:"at"`    // the end of the span
	Worker int           `json:"worker"`
	Age    time.Duration `json:"age"` // of its process
	Got    float64       `json:"got"`
	Budget float64       `json:"budget"`
	Known  float64       `json:"known"` // share of all that came in the span from sidecars told of the start
}

// cold follows the budgets of all workers. It is nil where the judge was not told what the workers can do.
type cold struct {
	able   []float64 // seconds of standard work a second, warm, by worker
	mean   float64   // seconds of work of a mean request
	from   float64   // share of its capacity that a worker starts with at least
	warm   time.Duration
	times  float64 // multiple of its capacity at which it falls
	span   time.Duration
	told   []map[int]time.Duration // start that a sidecar knows of, by sidecar and worker
	listed map[int]told            // since when a start stands on the list
	lives  []coldLife              // by worker
	report ColdReport
}

// coldLife is one process of one worker.
type coldLife struct {
	started time.Duration
	begun   bool
	passed  bool
	sends   []coldSend // of the span, oldest first
	all     time.Duration
	known   time.Duration
	middle  time.Duration // work that came from 3/8 to 5/8 of the warming
}

type coldSend struct {
	at    time.Duration
	work  time.Duration
	known bool
}

func newCold(f Fleet) *cold {
	if len(f.Able) == 0 {
		return nil
	}
	c := &cold{able: f.Able, times: f.Scenario.Rules.FallMultiple, span: f.Scenario.Rules.FallTime, listed: map[int]told{},
		lives: make([]coldLife, len(f.Able))}
	c.from, c.warm = f.Scenario.Coldest()
	shares := 0.0
	for _, k := range f.Scenario.Classes {
		c.mean += k.Share * k.Work.Seconds()
		shares += k.Share
	}
	c.mean /= shares
	for range f.Sidecar {
		c.told = append(c.told, map[int]time.Duration{})
	}
	return c
}

// observe takes in the next event. What a sidecar was told outlasts its process: the next one begins with its list.
func (c *cold) observe(e *Event) {
	switch {
	case c == nil:
	case e.Kind == Told:
		c.told[e.Sidecar][e.Worker] = e.Started
	case e.Kind == Listed:
		if old, ok := c.listed[e.Worker]; !ok || old.started != e.Started {
			c.listed[e.Worker] = told{since: e.At, started: e.Started}
		}
	case e.Kind == Pushed:
		c.pushed(e)
	}
}

// knows tells whether a sidecar has been told of a start, or counts as told.
func (c *cold) knows(e *Event) bool {
	if started, ok := c.told[e.Sidecar][e.Worker]; ok && started == e.Started {
		return true
	}
	l, ok := c.listed[e.Worker]
	return ok && l.started == e.Started && e.At-l.since > deemed
}

func (c *cold) pushed(e *Event) {
	age := e.At - e.Started
	if age < 0 || age >= c.warm {
		return
	}
	l := &c.lives[e.Worker]
	if !l.begun || l.started != e.Started {
		c.halfway(e.Worker, e.At)
		*l = coldLife{started: e.Started, begun: true}
		c.report.Lives++
	}
	if age >= c.warm*3/8 && age < c.warm*5/8 {
		l.middle += e.Work
	}
	old := 0
	for old < len(l.sends) && l.sends[old].at <= e.At-c.span {
		l.count(l.sends[old], -1)
		old++
	}
	s := coldSend{e.At, e.Work, c.knows(e)}
	l.sends = append(l.sends[old:], s)
	l.count(s, 1)

	share := c.from + (1-c.from)*float64(age)/float64(c.warm)
	budget := Budget(c.times * c.able[e.Worker] * share * c.span.Seconds() / c.mean)
	p := ColdPeak{At: e.At, Worker: e.Worker, Age: age, Got: l.all.Seconds() / c.mean, Budget: budget}
	if l.all > 0 {
		p.Known = float64(l.known) / float64(l.all)
	}
	p.Ratio = p.Got / budget
	if p.Ratio > c.report.All.Ratio {
		c.report.All = p
	}
	if p.Ratio > 1 && !l.passed {
		l.passed = true
		c.report.Passed = append(c.report.Passed, p)
	}
	c.report.Number = max(c.report.Number, float64(len(l.sends))/budget)
	p.Got = l.known.Seconds() / c.mean
	if p.Ratio = p.Got / budget; p.Ratio > c.report.Told.Ratio {
		c.report.Told = p
	}
}

// halfway counts a process in the mean share at half of the warming, if it was that old by a time. A worker has half of
// the way from its first share to 1 there, in the mean.
func (c *cold) halfway(worker int, until time.Duration) {
	l := &c.lives[worker]
	if !l.begun || until-l.started < c.warm*5/8 {
		return
	}
	able := c.able[worker] * (c.from + 1) / 2 * (c.warm / 4).Seconds()
	c.report.Halves++
	c.report.Half += (l.middle.Seconds()/able - c.report.Half) / float64(c.report.Halves)
}

func (l *coldLife) count(s coldSend, sign time.Duration) {
	l.all += sign * s.work
	if s.known {
		l.known += sign * s.work
	}
}

// result is the report at the end of the day, nil where there was nothing to go by.
func (c *cold) result(until time.Duration) *ColdReport {
	if c == nil {
		return nil
	}
	for worker := range c.lives {
		c.halfway(worker, until)
		c.lives[worker].begun = false
	}
	return &c.report
}
