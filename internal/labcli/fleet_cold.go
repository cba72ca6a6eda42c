package labcli

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

// groupDays splits days into runs of adjacent days that differ in their seed only.
func groupDays(days []fleetDay) (out [][]fleetDay) {
	for i := range days {
		if i == 0 || !sameExceptSeed(&days[i-1], &days[i]) {
			out = append(out, nil)
		}
		out[len(out)-1] = append(out[len(out)-1], days[i])
	}
	return out
}

// peakStats collects the ratio of used to allowed work over a group of days, and the day with the highest ratio.
type peakStats struct {
	ratios  []float64
	highest judge.ColdPeak
	seed    uint64
}

func (p *peakStats) add(peak judge.ColdPeak, seed uint64) {
	if p.ratios = append(p.ratios, peak.Ratio); peak.Ratio > p.highest.Ratio {
		p.highest, p.seed = peak, seed
	}
}

func (p *peakStats) quantile(share float64) float64 {
	slices.Sort(p.ratios)
	return stat.Quantile(share, stat.Empirical, p.ratios, nil)
}

// printColdTable prints how much of their budget cold workers received: the distribution over days of the highest ratio of a
// day, for all sidecars and for those informed of the start.
func printColdTable(w io.Writer, days []fleetDay) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "scenario\tsidecars\tskew\tdays\tstarts\tworth\tall 50%\t95%\tmost\ttold 50%\t95%\tmost\tby number\tpassed\tof the told\tmost at\t")
	for _, group := range groupDays(days) {
		var all, told peakStats
		byCount, worth, starts, passed, broken := 0.0, 0.0, 0, 0, 0
		for _, d := range group {
			cold := d.Result.Report.Cold
			all.add(cold.All, d.Seed)
			told.add(cold.Told, d.Seed)
			byCount = max(byCount, cold.Number)
			worth += d.Result.Report.Worth / float64(len(group))
			starts, passed, broken = starts+cold.Lives, passed+len(cold.Passed), broken+cold.Broken()
		}
		fmt.Fprintf(t, "%s\t%d\t%s\t%d\t%d\t%.3f\t", group[0].Scenario, group[0].Sidecars, cmp.Or(group[0].Skew, "own"), len(group), starts, worth)
		for _, p := range []*peakStats{&all, &told} {
			fmt.Fprintf(t, "%.2f\t%.2f\t%.2f\t", p.quantile(0.5), p.quantile(0.95), p.quantile(1))
		}
		fmt.Fprintf(t, "%.2f\t%d\t%d\tseed %d, w%03d, age %v: %.1f of %.1f\t\n", byCount, passed, broken, told.seed, told.highest.Worker,
			told.highest.Age.Round(time.Millisecond), told.highest.Got, told.highest.Budget)
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
