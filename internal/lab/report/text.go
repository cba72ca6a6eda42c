// Package report writes what a day or a comparison showed: for a terminal, as JSON, and as one HTML file.
package report

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"burlpass/internal/lab/stage"
	"burlpass/internal/lab/world"
)

// Day is a played day with what it was drawn from.
type Day struct {
	Scenario string        `json:"scenario"`
	About    string        `json:"about"`
	Build    string        `json:"build"` // which sidecar was played
	Seed     uint64        `json:"seed"`
	Workers  []string      `json:"workers"`
	Sidecars []string      `json:"sidecars"`
	Faults   []Span        `json:"faults"`
	Result   *stage.Result `json:"result"`
}

// Span is a fault as reports show it, in seconds.
type Span struct {
	Name string  `json:"name"`
	From float64 `json:"from"`
	To   float64 `json:"to"`
}

// NewDay puts a result beside its plan.
func NewDay(p *world.Plan, build string, r *stage.Result) *Day {
	d := &Day{Scenario: p.Name, About: p.About, Build: build, Seed: p.Seed, Result: r}
	for n := range p.Fleet {
		d.Workers = append(d.Workers, stage.Name(p, n))
	}
	for _, s := range p.Sidecar {
		d.Sidecars = append(d.Sidecars, s.Name+" "+p.Halls[s.Hall])
	}
	for _, f := range p.Faults {
		name := f.Kind
		if f.Hall != "" {
			name += " " + f.Hall
		}
		d.Faults = append(d.Faults, Span{name, f.At.Seconds(), (f.At + f.Length).Seconds()})
	}
	return d
}

// Broken tells whether the day broke a rule.
func (d *Day) Broken() bool { return len(d.Result.Report.Violations) > 0 }

// maxShown bounds the violations that the summary prints.
const maxShown = 12

// Text writes a day's summary for a terminal.
func (d *Day) Text(w io.Writer) {
	r, l := d.Result.Report, d.Result.Lateness
	fmt.Fprintf(w, "%s, seed %d, %s: %d workers, %d sidecars, %v played\n", d.Scenario, d.Seed, d.Build, len(d.Workers),
		len(d.Sidecars), d.Result.Played.Round(time.Millisecond))
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "class\tcalls\tin time\tlate\tnot served\tworth\tp50 ms\tp90\tp99\tmax\t")
	for _, k := range r.Classes {
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%.3f\t%.1f\t%.1f\t%.1f\t%.1f\t\n", k.Name, k.Calls, k.InTime, k.Late, k.Lost, k.Share,
			k.P50, k.P90, k.P99, k.Max)
	}
	t.Flush()
	fmt.Fprintf(w, "worth %.3f, worst 10 s %.3f (from %.0f s), worst class %.3f; figure %.3f\n", r.Worth, r.Worst, r.WorstAt, r.WorstClass, r.G)
	fmt.Fprintf(w, "tries %d, attempts %d, crossing %.3f a call, probes %.3f a call, waste %.3f of the work, refused %d (%d with a time), turned away %d\n",
		r.Tries, r.Attempts, r.Crossed, r.Probes, r.Waste, r.Refused, r.Advised, r.TurnedAway)
	fmt.Fprintf(w, "belief: workers left out wrongly for %.0f worker-seconds, used while unable for %.0f, of %.0f judged\n",
		r.Belief.LeftOut, r.Belief.Missed, r.Belief.Judged)
	memory, sockets := int64(0), 0
	for _, s := range r.Samples {
		memory, sockets = max(memory, s.Memory), max(sockets, s.Sockets)
	}
	fmt.Fprintf(w, "a sidecar used at most %.1f MiB and %d descriptors; the laboratory used %.2f cores, all cores were %.0f%% busy, timers %.1f ms late (p99)\n",
		float64(memory)/(1<<20), sockets, l.OwnCPU, 100*l.BusyCPU, l.TimerP99)
	for i, v := range r.Violations {
		if i == maxShown {
			fmt.Fprintf(w, "  and %d more\n", len(r.Violations)-i+r.MoreBroken)
			break
		}
		fmt.Fprintln(w, "  BROKEN", v)
	}
	switch {
	case l.Void != "":
		fmt.Fprintf(w, "VOID: the laboratory ran late: %s\n", l.Void)
	case d.Broken():
		fmt.Fprintf(w, "rules: %d broken\n", len(r.Violations)+r.MoreBroken)
	default:
		fmt.Fprintln(w, "rules: kept")
	}
	if d.Result.Cut {
		fmt.Fprintln(w, "stopped early; what was played until then is judged")
	}
}
