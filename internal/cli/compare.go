package cli

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"

	"github.com/spf13/cobra"

	"burlpass/internal/lab/experiment"
	"burlpass/internal/lab/reference"
	"burlpass/internal/lab/report"
	"burlpass/internal/lab/scenario"
)

// side is one of the two that are compared.
type side struct {
	build
	settings []string
}

func (a *app) labCompare() *cobra.Command {
	var seeds, first uint64
	var setA, setB []string
	var jsonFile, htmlFile, logs string
	var quiet bool
	c := &cobra.Command{
		Use:   "compare A B SCENARIO...",
		Short: "Play two builds, policies or configurations on the same seeds and tell a gain from noise",
		Long: `Plays A and B alternately on the same seeds of each scenario and prints the paired difference B - A with its
95% bootstrap interval. A side is "self", the path of a program with its arguments, or a reference:
reference:round-robin, reference:least-outstanding, reference:two-choices. --set-a and --set-b change settings that
its sidecars are given. A void day is played again, twice at most.
Exit code 0: played; 1: a rule was broken by self or by a program, or a day stayed void.`,
		Example: `  burlpass lab compare reference:two-choices self scenarios/hall-loss.toml --seeds 5
  burlpass lab compare old/bin/burlpass self scenarios/*.toml --seeds 3 --html compare.html
  burlpass lab compare self self scenarios/hang.toml --set-b ceilings.probing=false`,
		Args: cobra.MinimumNArgs(3),
		RunE: func(_ *cobra.Command, args []string) error {
			var sides [2]side
			for i := range sides {
				b, err := parseBuild(args[i])
				if err != nil {
					return err
				}
				sides[i] = side{b, [][]string{setA, setB}[i]}
				if len(sides[i].settings) > 0 {
					sides[i].name += " " + strings.Join(sides[i].settings, " ")
				}
			}
			if seeds == 0 {
				return errors.New("--seeds: at least 1 is expected")
			}
			var all []*scenario.Scenario
			for _, path := range args[2:] {
				s, err := scenario.Load(path)
				if err != nil {
					return wrong(faults(a, err))
				}
				all = append(all, s)
			}
			ctx, cancel := interruptible()
			defer cancel()
			comparison, err := a.compare(ctx, sides, all, first, seeds, logs, quiet)
			if comparison != nil && len(comparison.Days) > 0 {
				comparison.Text(a.stdout)
				err = errors.Join(err, write(jsonFile, comparison.JSON), write(htmlFile, comparison.HTML))
			}
			return wrong(err)
		},
	}
	f := c.Flags()
	f.Uint64Var(&seeds, "seeds", 3, "how many seeds of each scenario")
	f.Uint64Var(&first, "first-seed", 1, "the first of them")
	f.StringArrayVar(&setA, "set-a", nil, "setting of A's sidecars, as path=value; may be repeated")
	f.StringArrayVar(&setB, "set-b", nil, "setting of B's sidecars, as path=value; may be repeated")
	f.StringVar(&jsonFile, "json", "", "write the comparison as JSON to this file")
	f.StringVar(&htmlFile, "html", "", "write the comparison as one HTML page to this file")
	f.StringVar(&logs, "logs", "", "folder for the sidecars' configurations and logs, one folder a day")
	f.BoolVar(&quiet, "quiet", false, "no progress line")
	return c
}

// replays bounds how often a void day is played again.
const replays = 2

func (a *app) compare(ctx context.Context, sides [2]side, all []*scenario.Scenario, first, seeds uint64, logs string, quiet bool) (*report.Comparison, error) {
	out := &report.Comparison{A: sides[0].name, B: sides[1].name}
	var pairs []experiment.Pair
	var failed error
	for _, s := range all {
		for seed := first; seed < first+seeds; seed++ {
			var days [2]*report.Day
			for turn := range 2 {
				i := (turn + int(seed)) % 2 // each goes first in every other pair
				day, err := a.playSure(ctx, s, seed, sides[i], folder(logs, fmt.Sprintf("%s-%d-%c", s.Name, seed, 'a'+i)), quiet)
				if err != nil {
					return out, err
				}
				if ctx.Err() != nil {
					out.Differences = experiment.Compare(pairs, first)
					return out, errors.New("stopped before the last pair")
				}
				if err := day.Verdict(); err != nil && (!strings.HasPrefix(sides[i].name, "reference:") || day.Result.Lateness.Void != "") {
					failed = errors.Join(failed, fmt.Errorf("%s seed %d, %s: %w", s.Name, seed, sides[i].name, err))
				}
				days[i] = day
			}
			pairs = append(pairs, experiment.Pair{Scenario: s.Name, Seed: seed, A: days[0].Result, B: days[1].Result})
			out.Days = append(out.Days, days)
			out.Differences = experiment.Compare(pairs, first)
		}
	}
	return out, failed
}

func (a *app) playSure(ctx context.Context, s *scenario.Scenario, seed uint64, side side, logs string, quiet bool) (*report.Day, error) {
	for again := 0; ; again++ {
		day, err := a.play(ctx, s, seed, side.build, side.settings, logs, quiet)
		if err != nil || day.Result.Lateness.Void == "" || again == replays || ctx.Err() != nil {
			return day, err
		}
	}
}

func folder(logs, name string) string {
	if logs == "" {
		return ""
	}
	return filepath.Join(logs, name)
}

func (a *app) labReport() *cobra.Command {
	var htmlFile string
	c := &cobra.Command{
		Use:   "report FILE [FILE]",
		Short: "Print the report of a day that --json kept, or of two laid over each other",
		Example: `  burlpass lab report day.json --html day.html
  burlpass lab report before.json after.json --html both.html`,
		Args: cobra.RangeArgs(1, 2),
		RunE: func(_ *cobra.Command, args []string) error {
			var days [2]*report.Day
			for i, path := range args {
				f, err := os.Open(path)
				if err != nil {
					return wrong(err)
				}
				defer f.Close()
				if days[i], err = report.ReadDay(f); err != nil {
					return wrong(fmt.Errorf("%s: %w", path, err))
				}
				days[i].Text(a.stdout)
			}
			if days[1] == nil {
				return wrong(write(htmlFile, days[0].HTML))
			}
			both := report.Comparison{A: days[0].Build, B: days[1].Build, Days: [][2]*report.Day{days},
				Differences: experiment.Compare([]experiment.Pair{{A: days[0].Result, B: days[1].Result}}, 1)}
			return wrong(write(htmlFile, both.HTML))
		},
	}
	c.Flags().StringVar(&htmlFile, "html", "", "write one HTML page to this file")
	return c
}

// referenceCommand serves as a reference balancer; the laboratory starts it.
func (a *app) referenceCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "reference POLICY",
		Short:   "Serve as a plain balancer, for comparison in the laboratory",
		Long:    "Serves with one of " + strings.Join(reference.Policies(), ", ") + ", told by the EDGE_ variables like serve. Not for service.",
		Example: "  burlpass lab reference round-robin",
		Args:    cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			signals := make(chan os.Signal, 8)
			signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
			defer signal.Stop(signals)
			return wrong(reference.Run(args[0], a.getenv, signals))
		},
	}
}
