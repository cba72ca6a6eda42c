// Package count adds up what many sidecars of one fleet have traced (internal/trace): what each does may be harmless
// alone and harmful when all do it. It does no I/O but reading the lines that it is given.
package count

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
)

// maxLine bounds a line; longer ones are no trace.
const maxLine = 1 << 20

// Bounds against lines that are damaged: a time must be before the year 2255, and what lies beyond the last window
// counts there.
const (
	lastTime   = 9_000_000_000_000_000
	maxWindows = 100_000
)

// pair is one key=value of a line.
type pair struct{ key, value string }

// record is one traced line of one sidecar.
type record struct {
	sidecar string
	t       int64 // microseconds of Unix time
	event   string
	pairs   []pair
}

func (r *record) text(key string) string {
	for _, p := range r.pairs {
		if p.key == key {
			return p.value
		}
	}
	return ""
}

func (r *record) number(key string) int64 {
	n, _ := strconv.ParseInt(r.text(key), 10, 64)
	return n
}

// Fleet is what has been read so far.
type Fleet struct {
	records []record
	others  int // lines that are no trace
	broken  int // lines that began as a trace and cannot be read
}

// Read takes in the log of one sidecar. Lines that are no trace are passed over, whatever stands before a trace on its
// line as well.
func (f *Fleet) Read(sidecar string, log io.Reader) error {
	lines := bufio.NewScanner(log)
	lines.Buffer(make([]byte, 0, 64<<10), maxLine)
	for lines.Scan() {
		line := lines.Text()
		i := strings.Index(line, "trace t=")
		if i < 0 {
			f.others++
			continue
		}
		if r, ok := parse(line[i+len("trace "):]); ok {
			r.sidecar = sidecar
			f.records = append(f.records, r)
		} else {
			f.broken++
		}
	}
	if err := lines.Err(); err != nil {
		return fmt.Errorf("%s: %w", sidecar, err)
	}
	return nil
}

func parse(text string) (record, bool) {
	r := record{}
	for word := range strings.FieldsSeq(text) {
		key, value, ok := strings.Cut(word, "=")
		if !ok {
			return r, false
		}
		r.pairs = append(r.pairs, pair{key, value})
	}
	if len(r.pairs) < 2 || r.pairs[0].key != "t" || r.pairs[1].key != "e" {
		return r, false
	}
	t, err := strconv.ParseInt(r.pairs[0].value, 10, 64)
	r.t, r.event, r.pairs = t, r.pairs[1].value, r.pairs[2:]
	return r, err == nil && t >= 0 && t < lastTime
}

// Window is what the fleet did in a span of time. Counts is by name: calls, sends, crossings, fresh connections, each
// outcome, refusals by class, failures, probes, watch calls, lists that came, lists that failed, and moves of workers
// between in use (live), left out (bad) and on trial (half).
type Window struct {
	From   float64        `json:"from_s"`
	Counts map[string]int `json:"counts"`
}

// Worker is what the fleet did with one worker in the whole time.
type Worker struct {
	Name      string  `json:"name"`
	Zone      int     `json:"zone"`
	Kind      int     `json:"kind"`
	Started   float64 `json:"started_s"` // since the first record; 0 for long ago
	Sends     int     `json:"sends"`
	Sidecars  int     `json:"sidecars"` // that sent to it
	OK        int     `json:"ok"`
	Fresh     int     `json:"fresh"`     // connections opened for a call
	Connect   int     `json:"connect"`   // connections that failed
	Full      int     `json:"full"`      // turned away
	Lost      int     `json:"lost"`      // timed out, reset or called off
	Ejections int     `json:"ejections"` // by all sidecars
	Probes    int     `json:"probes"`
	MostASec  int     `json:"most_a_second"` // sends within any one second of the clock
	MedianMs  float64 `json:"median_ms"`     // of answers
}

// News is how one version of the list spread.
type News struct {
	Version  int64   `json:"version"`
	First    float64 `json:"first_s"`  // when the first sidecar had it
	Median   float64 `json:"median_s"` // after the first
	Last     float64 `json:"last_s"`   // after the first
	Sidecars int     `json:"sidecars"`
}

// Report is the whole count.
type Report struct {
	Sidecars int      `json:"sidecars"`
	Records  int      `json:"records"`
	Broken   int      `json:"broken"`
	Windows  []Window `json:"windows"`
	Workers  []Worker `json:"workers"`
	News     []News   `json:"news"`
}

// Report counts in windows of so many seconds.
func (f *Fleet) Report(window float64) *Report {
	slices.SortStableFunc(f.records, func(x, y record) int { return cmp.Compare(x.t, y.t) })
	c := counter{window: window, zone: map[string]int64{}, classes: map[string]map[string]string{}, seen: map[string]bool{},
		workers: map[string]*tally{}, news: map[int64][]float64{}}
	for i := range f.records {
		r := &f.records[i]
		if i == 0 {
			c.began = r.t
		}
		c.add(r)
	}
	return &Report{Sidecars: len(c.seen), Records: len(f.records), Broken: f.broken, Windows: c.windows, Workers: c.workersOut(), News: c.newsOut()}
}

type counter struct {
	window  float64
	began   int64
	windows []Window
	seen    map[string]bool
	zone    map[string]int64             // of a sidecar, where it said so
	classes map[string]map[string]string // of open calls, by sidecar and id
	workers map[string]*tally
	news    map[int64][]float64
}

type tally struct {
	Worker
	from   map[string]bool
	second int64
	inIt   int
	took   []int64
}

func (c *counter) at(t int64) float64 { return float64(t-c.began) / 1e6 }

func (c *counter) count(t int64, name string) {
	i := int(min(c.at(t)/c.window, maxWindows-1))
	for len(c.windows) <= i {
		c.windows = append(c.windows, Window{From: float64(len(c.windows)) * c.window, Counts: map[string]int{}})
	}
	c.windows[i].Counts[name]++
}

func (c *counter) worker(name string) *tally {
	w := c.workers[name]
	if w == nil {
		w = &tally{Worker: Worker{Name: name, Zone: -1}, from: map[string]bool{}}
		c.workers[name] = w
	}
	return w
}

func (c *counter) add(r *record) {
	c.seen[r.sidecar] = true
	switch r.event {
	case "start":
		c.zone[r.sidecar] = r.number("zone")
		c.classes[r.sidecar] = map[string]string{}
	case "worker":
		w := c.worker(r.text("worker"))
		w.Zone, w.Kind = int(r.number("zone")), int(r.number("kind"))
		if started := r.number("started"); started > c.began {
			w.Started = c.at(started)
		}
		return
	case "call":
		c.count(r.t, "calls")
		if c.classes[r.sidecar] == nil {
			c.classes[r.sidecar] = map[string]string{}
		}
		c.classes[r.sidecar][r.text("id")] = r.text("class")
	case "list":
		switch r.text("kind") {
		case "1":
			c.count(r.t, "lists failed")
		case "0", "2":
			c.count(r.t, "lists")
			v := r.number("version")
			c.news[v] = append(c.news[v], c.at(r.t))
		}
	case "outcome":
		c.outcome(r)
	case "probed":
		c.count(r.t, "probed "+r.text("status"))
	}
	for _, p := range r.pairs {
		c.action(r, p)
	}
}

func (c *counter) outcome(r *record) {
	status := r.text("status")
	c.count(r.t, status)
	w := c.worker(r.text("worker"))
	if r.text("fresh") != "" {
		c.count(r.t, "fresh")
		w.Fresh++
	}
	switch status {
	case "ok":
		w.OK++
		w.took = append(w.took, r.number("took"))
	case "connect":
		w.Connect++
	case "full":
		w.Full++
	case "timeout", "reset", "cancelled", "stale":
		w.Lost++
	}
}

func (c *counter) action(r *record, p pair) {
	id, rest, _ := strings.Cut(p.value, "@")
	switch p.key {
	case "send":
		c.count(r.t, "sends")
		w := c.worker(rest)
		w.Sends++
		w.from[r.sidecar] = true
		if s := (r.t - c.began) / 1e6; s != w.second {
			w.second, w.inIt = s, 0
		}
		w.inIt++
		w.MostASec = max(w.MostASec, w.inIt)
		if zone, ok := c.zone[r.sidecar]; ok && w.Zone >= 0 && int64(w.Zone) != zone {
			c.count(r.t, "crossings")
		}
	case "refuse":
		c.count(r.t, "refused "+c.classes[r.sidecar][id])
		if rest != "0" {
			c.count(r.t, "refused with a time")
		}
		delete(c.classes[r.sidecar], id)
	case "fail":
		c.count(r.t, "failed")
		delete(c.classes[r.sidecar], id)
	case "probe":
		c.count(r.t, "probes")
		c.worker(p.value).Probes++
	case "watch":
		c.count(r.t, "watch calls")
	case "live", "half":
		c.count(r.t, "to "+p.key)
	case "bad":
		c.count(r.t, "to bad")
		c.worker(p.value).Ejections++
	}
}

func (c *counter) workersOut() (out []Worker) {
	for _, w := range c.workers {
		w.Sidecars = len(w.from)
		if slices.Sort(w.took); len(w.took) > 0 {
			w.MedianMs = float64(w.took[len(w.took)/2]) / 1e3
		}
		out = append(out, w.Worker)
	}
	slices.SortFunc(out, func(x, y Worker) int {
		return cmp.Or(cmp.Compare(x.Zone, y.Zone), cmp.Compare(x.Kind, y.Kind), cmp.Compare(x.Name, y.Name))
	})
	return out
}

func (c *counter) newsOut() (out []News) {
	for v, at := range c.news {
		slices.Sort(at)
		out = append(out, News{Version: v, First: at[0], Median: at[len(at)/2] - at[0], Last: at[len(at)-1] - at[0], Sidecars: len(at)})
	}
	slices.SortFunc(out, func(x, y News) int { return cmp.Compare(x.Version, y.Version) })
	return out
}
