package cli

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"gonum.org/v1/gonum/stat"

	"burlpass/internal/lab/judge"
)

// groups cuts days into runs that differ in their seed alone.
func groups(days []fleetDay) (out [][]fleetDay) {
	for i := range days {
		if i == 0 || !sameGroup(&days[i-1], &days[i]) {
			out = append(out, nil)
		}
		out[len(out)-1] = append(out[len(out)-1], days[i])
	}
	return out
}

// peaks is a ratio over a group of days: its distribution, and where the greatest was.
type peaks struct {
	ratios []float64
	top    judge.ColdPeak
	seed   uint64
}

func (p *peaks) add(x judge.ColdPeak, seed uint64) {
	if p.ratios = append(p.ratios, x.Ratio); x.Ratio > p.top.Ratio {
		p.top, p.seed = x, seed
	}
}

func (p *peaks) at(share float64) float64 {
	slices.Sort(p.ratios)
	return stat.Quantile(share, stat.Empirical, p.ratios, nil)
}

// coldTable prints how near cold workers came to their budget: the greatest part used on a day, over the days, by all
// sidecars and by those told of the start.
func coldTable(w io.Writer, days []fleetDay) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "scenario\tsidecars\tskew\tdays\tstarts\tworth\tall 50%\t95%\tmost\ttold 50%\t95%\tmost\tby number\tpassed\tof the told\tmost at\t")
	for _, g := range groups(days) {
		var all, told peaks
		number, worth, starts, passed, broken := 0.0, 0.0, 0, 0, 0
		for _, d := range g {
			r := d.Result.Report.Cold
			all.add(r.All, d.Seed)
			told.add(r.Told, d.Seed)
			number = max(number, r.Number)
			worth += d.Result.Report.Worth / float64(len(g))
			starts, passed, broken = starts+r.Lives, passed+len(r.Passed), broken+r.Broken()
		}
		fmt.Fprintf(t, "%s\t%d\t%s\t%d\t%d\t%.3f\t", g[0].Scenario, g[0].Sidecars, cmp.Or(g[0].Skew, "own"), len(g), starts, worth)
		for _, p := range []*peaks{&all, &told} {
			fmt.Fprintf(t, "%.2f\t%.2f\t%.2f\t", p.at(0.5), p.at(0.95), p.at(1))
		}
		fmt.Fprintf(t, "%.2f\t%d\t%d\tseed %d, w%03d, age %v: %.1f of %.1f\t\n", number, passed, broken, told.seed, told.top.Worker,
			told.top.Age.Round(time.Millisecond), told.top.Got, told.top.Budget)
	}
	t.Flush()
	fmt.Fprint(w, `
all, told: the greatest part of its budget, N + 2 root N + 2 requests of mean work (N + 3 root N + 3 under 30), that a cold worker got on a day, over
the days: from all sidecars, and from those told of its start. by number: the most where requests count alike. passed:
processes that got more than their budget; of the told: those of whose first passing over two thirds came from the told.
`)
	for _, d := range days {
		for _, p := range d.Result.Report.Cold.Passed {
			fmt.Fprintf(w, "%s seed %d, %d sidecars, skew %s: w%03d got %.1f of %.1f, %.0f%% of it from the told, %v after its start\n", d.Scenario, d.Seed,
				d.Sidecars, cmp.Or(d.Skew, "own"), p.Worker, p.Got, p.Budget, 100*p.Known, p.Age.Round(time.Millisecond))
		}
	}
}
