package labcli

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"runtime"
	"slices"
	"strconv"
	"sync"
	"text/tabwriter"

	"github.com/spf13/cobra"
	"gonum.org/v1/gonum/stat"

	"burlpass/decide"
	"burlpass/internal/cli"
	"burlpass/internal/lab/experiment"
	"burlpass/internal/lab/fleet"
	"burlpass/internal/lab/reference"
	"burlpass/internal/lab/scenario"
	"burlpass/internal/lab/world"
)

// fleetDay is the result for one seed of a scenario. lab fleet writes it as JSON, so that another build can be compared with it.
type fleetDay struct {
	Scenario string        `json:"scenario"`
	Seed     uint64        `json:"seed"`
	Sidecars int           `json:"sidecars"`
	Skew     string        `json:"skew,omitempty"` // value of --skew; empty for the scenario's own
	Result   *fleet.Result `json:"result"`

	scenario   *scenario.Scenario
	roundRobin *fleet.Result // result with round robin; set with --classes only
}

// sameExceptSeed reports whether two days agree in everything but the seed, which is not compared.
func sameExceptSeed(d, other *fleetDay) bool {
	return d.Scenario == other.Scenario && d.Sidecars == other.Sidecars && d.Skew == other.Skew
}

// comparableTo reports whether two builds played the same day.
func (d *fleetDay) comparableTo(other *fleetDay) bool {
	return d.Seed == other.Seed && sameExceptSeed(d, other)
}

func (a *app) labFleetCommand() *cobra.Command {
	var seeds, first uint64
	var sidecars []int
	var skews []string
	var rate float64
	var jsonFile, against string
	var workers, cold, classes bool
	command := &cobra.Command{
		Use:   "fleet SCENARIO...",
		Short: "Play a large fleet of this build's decision modules on virtual time and count across it",
		Long: `Plays each seed of each scenario with an instance of the decision module for each sidecar, over the laboratory's
world in one process on virtual time: a day of eighty sidecars takes seconds, and the same seed gives the same day.
--json keeps the days; --against sets this build beside days that another build has kept, in pairs of the same scenario
and seed, with 95% bootstrap intervals. --cold prints in place of the days how near cold workers came to what they may
get, --classes the served share of each class beside that of round robin on the same day.
Exit code 0: the rules were kept; 1: a rule was broken on a day.`,
		Example: `  burlpass-lab fleet scenarios/fleet/herd.toml --seeds 10
  burlpass-lab fleet scenarios/fleet/*.toml --seeds 10 --json before.json
  burlpass-lab fleet scenarios/fleet/*.toml --seeds 10 --against before.json
  burlpass-lab fleet scenarios/fleet/join.toml --sidecars 1000
  burlpass-lab fleet scenarios/fleet/cold/*.toml --cold --seeds 200 --sidecars 80,300,1000 --skew 0,1.2
  burlpass-lab fleet scenarios/fleet/*.toml --classes`,
		Args: cobra.MinimumNArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			if seeds == 0 {
				return errors.New("--seeds: at least 1 is expected")
			}
			var before []fleetDay
			if against != "" {
				text, err := os.ReadFile(against)
				if err != nil {
					return cli.Failure(err)
				}
				if err := json.Unmarshal(text, &before); err != nil {
					return cli.Failure(fmt.Errorf("%s: %w", against, err))
				}
			}
			var days []fleetDay
			for _, path := range args {
				s, err := scenario.Load(path)
				if err != nil {
					return cli.Failure(printLeadingFaults(a, err))
				}
				if rate > 0 {
					s.Clients.Rate = rate
				}
				more, err := expandDays(s, sidecars, skews, first, seeds)
				if err != nil {
					return err
				}
				days = append(days, more...)
			}
			if err := playDays(days, classes); err != nil {
				return cli.Failure(err)
			}
			switch {
			case cold:
				printColdTable(a.stdout, days)
			case classes:
				printClassTable(a.stdout, days)
			default:
				printFleetTable(a.stdout, days, workers)
			}
			if against != "" {
				printFleetComparison(a.stdout, before, days)
			}
			if err := writeFile(jsonFile, func(w io.Writer) error { return json.NewEncoder(w).Encode(days) }); err != nil {
				return cli.Failure(err)
			}
			for _, d := range days {
				if v := d.Result.Report.Violations; len(v) > 0 {
					return cli.Failure(fmt.Errorf("%s seed %d: %d rules broken, first: %v", d.Scenario, d.Seed, len(v)+d.Result.Report.MoreBroken, v[0]))
				}
			}
			return nil
		},
	}
	flags := command.Flags()
	flags.Uint64Var(&seeds, "seeds", 3, "how many seeds of each scenario")
	flags.Uint64Var(&first, "first-seed", 1, "the first of them")
	flags.IntSliceVar(&sidecars, "sidecars", nil, "numbers of sidecars in place of the scenario's; the calls in all stay the same")
	flags.StringSliceVar(&skews, "skew", nil, "values in place of clients.skew; 0: all sidecars of all halls get as many calls")
	flags.Float64Var(&rate, "rate", 0, "calls a second in all, in place of the scenario's")
	flags.StringVar(&jsonFile, "json", "", "write the days as JSON to this file")
	flags.StringVar(&against, "against", "", "days that another build wrote with --json, to be compared with")
	flags.BoolVar(&workers, "workers", false, "also print the counts of each worker")
	flags.BoolVar(&cold, "cold", false, "print how near cold workers came to what they may get")
	flags.BoolVar(&classes, "classes", false, "print each class's served share beside that of round robin")
	command.MarkFlagsMutuallyExclusive("cold", "classes", "workers")
	return command
}

// expandDays returns one day for each combination of sidecar count, skew and seed.
func expandDays(s *scenario.Scenario, sidecars []int, skews []string, first, seeds uint64) (days []fleetDay, err error) {
	if len(sidecars) == 0 {
		sidecars = []int{s.Sidecars}
	}
	if len(skews) == 0 {
		skews = []string{""}
	}
	for _, n := range sidecars {
		for _, skew := range skews {
			variant := *s
			if variant.Sidecars = n; n < 1 {
				return nil, fmt.Errorf("--sidecars: %d: at least 1 is expected", n)
			}
			if skew != "" {
				if variant.Clients.Skew, err = strconv.ParseFloat(skew, 64); err != nil || !(variant.Clients.Skew >= 0 && variant.Clients.Skew <= 3) {
					return nil, fmt.Errorf("--skew: %q: a number from 0 to 3 is expected", skew)
				}
				if variant.Clients.Skew == 0 {
					variant.Traffic = nil
				}
			}
			for seed := first; seed < first+seeds; seed++ {
				days = append(days, fleetDay{Scenario: s.Name, Seed: seed, Sidecars: n, Skew: skew, scenario: &variant})
			}
		}
	}
	return days, nil
}

// playDays plays the days in parallel on all cores; their results do not depend on each other. With withRoundRobin each day is
// played a second time with round robin.
func playDays(days []fleetDay, withRoundRobin bool) error {
	next := make(chan int)
	errs := make([]error, len(days))
	var group sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		group.Go(func() {
			for i := range next {
				d := &days[i]
				plan := world.Draw(d.scenario, d.Seed)
				if d.Result, errs[i] = fleet.Play(plan, nil); withRoundRobin && errs[i] == nil {
					d.roundRobin, errs[i] = fleet.PlayWith(plan, nil, func(c decide.Config, seed uint64) fleet.Policy { return reference.NewRotation(c, seed) })
				}
			}
		})
	}
	for i := range days {
		next <- i
	}
	close(next)
	group.Wait()
	return errors.Join(errs...)
}

// fleetMetric is a named metric of a day.
type fleetMetric struct {
	name  string
	value func(*fleet.Result) float64
}

func fleetMetrics() []fleetMetric {
	count := func(f func(*fleet.Counts) int) func(*fleet.Result) float64 {
		return func(r *fleet.Result) float64 { return float64(f(&r.Counts)) }
	}
	return []fleetMetric{
		{"figure", func(r *fleet.Result) float64 { return r.Report.G }},
		{"worth", func(r *fleet.Result) float64 { return r.Report.Worth }},
		{"worst 10 s", func(r *fleet.Result) float64 { return r.Report.Worst }},
		{"worst class", func(r *fleet.Result) float64 { return r.Report.WorstClass }},
		{"refused", func(r *fleet.Result) float64 { return float64(r.Report.Refused) }},
		{"crossed", func(r *fleet.Result) float64 { return r.Report.Crossed }},
		{"sends", count(func(c *fleet.Counts) int { return c.Sends })},
		{"handshakes", count(func(c *fleet.Counts) int { return c.Handshakes })},
		{"conns", count(func(c *fleet.Counts) int { return c.ConnsAtOnce })},
		{"conns refused", count(func(c *fleet.Counts) int { return c.TurnedOff })},
		{"most conns", func(r *fleet.Result) float64 {
			return float64(slices.MaxFunc(r.Workers, func(x, y fleet.WorkerCounts) int { return x.MostConns - y.MostConns }).MostConns)
		}},
		{"probes", count(func(c *fleet.Counts) int { return c.Probes })},
		{"list calls", count(func(c *fleet.Counts) int { return c.ListCalls })},
		{"failed", count(func(c *fleet.Counts) int { return c.ListFailed })},
		{"ejections", count(func(c *fleet.Counts) int { return c.Ejections })},
		{"to the gone", count(func(c *fleet.Counts) int { return c.Lost })},
		{"cold use", func(r *fleet.Result) float64 {
			most := 0.0
			for _, w := range r.Workers {
				most = max(most, w.ColdUse)
			}
			return most
		}},
		{"rules broken", func(r *fleet.Result) float64 { return float64(len(r.Report.Violations) + r.Report.MoreBroken) }},
	}
}

// printFleetTable prints one row per day, then the mean of each run of days that differ in their seed only.
func printFleetTable(w io.Writer, days []fleetDay, workers bool) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	metrics := fleetMetrics()
	fmt.Fprint(t, "scenario\tseed\tsidecars\t")
	for _, f := range metrics {
		fmt.Fprint(t, f.name, "\t")
	}
	fmt.Fprintln(t)
	var values [][]float64
	for i, d := range days {
		fmt.Fprintf(t, "%s\t%d\t%d\t", d.Scenario, d.Seed, d.Sidecars)
		row := make([]float64, len(metrics))
		for j, f := range metrics {
			row[j] = f.value(d.Result)
			fmt.Fprint(t, formatNumber(row[j]), "\t")
		}
		fmt.Fprintln(t)
		values = append(values, row)
		if i+1 < len(days) && sameExceptSeed(&days[i+1], &d) {
			continue
		}
		fmt.Fprintf(t, "%s\tmean\t%d\t", d.Scenario, d.Sidecars)
		for j := range metrics {
			sum := 0.0
			for _, v := range values {
				sum += v[j]
			}
			fmt.Fprint(t, formatNumber(sum/float64(len(values))), "\t")
		}
		fmt.Fprintln(t)
		values = nil
	}
	t.Flush()
	if !workers {
		return
	}
	for _, d := range days {
		fmt.Fprintf(w, "\n%s seed %d\n", d.Scenario, d.Seed)
		t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
		fmt.Fprintln(t, "worker\thall\tsends\thandshakes\tmost conns\tprobes\tturned away\tcold use\t")
		for _, x := range d.Result.Workers {
			fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%.2f\t\n", x.Name, x.Hall, x.Sends, x.Handshakes, x.MostConns, x.Probes, x.TurnedAway, x.ColdUse)
		}
		t.Flush()
	}
}

func formatNumber(x float64) string {
	if x == float64(int64(x)) || x >= 100 {
		return fmt.Sprintf("%.0f", x)
	}
	return fmt.Sprintf("%.3f", x)
}

// printFleetComparison prints the paired differences, this build minus the other.
func printFleetComparison(w io.Writer, before, days []fleetDay) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "\nThis build less the other, in pairs of scenario and seed:")
	fmt.Fprintln(t, "figure\tbefore\tnow\tdifference\t95% low\thigh\tpairs\t")
	for _, f := range fleetMetrics() {
		var old, now, diff []float64
		for _, d := range days {
			i := slices.IndexFunc(before, func(b fleetDay) bool { return b.comparableTo(&d) })
			if i < 0 || before[i].Result == nil {
				continue
			}
			x, y := f.value(before[i].Result), f.value(d.Result)
			old, now, diff = append(old, x), append(now, y), append(diff, y-x)
		}
		if len(diff) == 0 {
			fmt.Fprintln(w, "no day of the other build has the same scenario, seed and number of sidecars")
			return
		}
		low, high := experiment.Bootstrap(diff, 1)
		fmt.Fprintf(t, "%s\t%s\t%s\t%+.3f\t%+.3f\t%+.3f\t%d\t\n", f.name, formatNumber(stat.Mean(old, nil)), formatNumber(stat.Mean(now, nil)),
			stat.Mean(diff, nil), low, high, len(diff))
	}
	t.Flush()
}
