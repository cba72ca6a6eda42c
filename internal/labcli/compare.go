package labcli

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

	"burlpass/internal/cli"
	"burlpass/internal/lab/experiment"
	"burlpass/internal/lab/reference"
	"burlpass/internal/lab/report"
	"burlpass/internal/lab/scenario"
)

// comparedBuild is one of the two builds under comparison, with its settings.
type comparedBuild struct {
	build
	settings []string
}

func (a *app) labCompareCommand() *cobra.Command {
	var seeds, first uint64
	var setA, setB []string
	var jsonFile, htmlFile, logs string
	var quiet bool
	command := &cobra.Command{
		Use:   "compare A B SCENARIO...",
		Short: "Play two builds, policies or configurations on the same seeds and tell a gain from noise",
		Long: `Plays A and B alternately on the same seeds of each scenario and prints the paired difference B - A with its
95% bootstrap interval. A side is "self", the path of a program with its arguments, or a reference:
reference:round-robin, reference:least-outstanding, reference:two-choices. --set-a and --set-b change settings that
its sidecars are given. A void day is played again, twice at most.
Exit code 0: played; 1: a rule was broken by self or by a program, or a day stayed void.`,
		Example: `  burlpass-lab compare reference:two-choices self scenarios/hall-loss.toml --seeds 5
  burlpass-lab compare old/bin/burlpass self scenarios/*.toml --seeds 3 --html compare.html
  burlpass-lab compare self self scenarios/hang.toml --set-b ceilings.probing=false`,
		Args: cobra.MinimumNArgs(3),
		RunE: func(_ *cobra.Command, args []string) error {
			var sides [2]comparedBuild
			for i := range sides {
				b, err := parseBuild(args[i])
				if err != nil {
					return err
				}
				sides[i] = comparedBuild{b, [][]string{setA, setB}[i]}
				if len(sides[i].settings) > 0 {
					sides[i].name += " " + strings.Join(sides[i].settings, " ")
				}
			}
			if seeds == 0 {
				return errors.New("--seeds: at least 1 is expected")
			}
			var scenarios []*scenario.Scenario
			for _, path := range args[2:] {
				loaded, err := scenario.Load(path)
				if err != nil {
					return cli.Failure(printLeadingFaults(a, err))
				}
				scenarios = append(scenarios, loaded)
			}
			ctx, cancel := interruptContext()
			defer cancel()
			comparison, err := a.compare(ctx, sides, scenarios, first, seeds, logs, quiet)
			if comparison != nil && len(comparison.Days) > 0 {
				comparison.Text(a.stdout)
				err = errors.Join(err, writeFile(jsonFile, comparison.JSON), writeFile(htmlFile, comparison.HTML))
			}
			return cli.Failure(err)
		},
	}
	flags := command.Flags()
	flags.Uint64Var(&seeds, "seeds", 3, "how many seeds of each scenario")
	flags.Uint64Var(&first, "first-seed", 1, "the first of them")
	flags.StringArrayVar(&setA, "set-a", nil, "setting of A's sidecars, as path=value; may be repeated")
	flags.StringArrayVar(&setB, "set-b", nil, "setting of B's sidecars, as path=value; may be repeated")
	flags.StringVar(&jsonFile, "json", "", "write the comparison as JSON to this file")
	flags.StringVar(&htmlFile, "html", "", "write the comparison as one HTML page to this file")
	flags.StringVar(&logs, "logs", "", "folder for the sidecars' configurations and logs, one folder a day")
	flags.BoolVar(&quiet, "quiet", false, "no progress line")
	return command
}

// maxVoidReplays limits how often a void day is repeated.
const maxVoidReplays = 2

func (a *app) compare(ctx context.Context, sides [2]comparedBuild, scenarios []*scenario.Scenario, first, seeds uint64, logs string, quiet bool) (*report.Comparison, error) {
	comparison := &report.Comparison{A: sides[0].name, B: sides[1].name}
	var pairs []experiment.Pair
	var failures error
	for _, s := range scenarios {
		for seed := first; seed < first+seeds; seed++ {
			var days [2]*report.Day
			for turn := range 2 {
				i := (turn + int(seed)) % 2 // alternate which build runs first
				day, err := a.playUntilValid(ctx, s, seed, sides[i], dayLogFolder(logs, fmt.Sprintf("%s-%d-%c", s.Name, seed, 'a'+i)), quiet)
				if err != nil {
					return comparison, err
				}
				if ctx.Err() != nil {
					comparison.Differences = experiment.Compare(pairs, first)
					return comparison, errors.New("stopped before the last pair")
				}
				if err := day.Verdict(); err != nil && (!strings.HasPrefix(sides[i].name, "reference:") || day.Result.Lateness.Void != "") {
					failures = errors.Join(failures, fmt.Errorf("%s seed %d, %s: %w", s.Name, seed, sides[i].name, err))
				}
				days[i] = day
			}
			pairs = append(pairs, experiment.Pair{Scenario: s.Name, Seed: seed, A: days[0].Result, B: days[1].Result})
			comparison.Days = append(comparison.Days, days)
			comparison.Differences = experiment.Compare(pairs, first)
		}
	}
	return comparison, failures
}

func (a *app) playUntilValid(ctx context.Context, s *scenario.Scenario, seed uint64, side comparedBuild, logs string, quiet bool) (*report.Day, error) {
	for replays := 0; ; replays++ {
		day, err := a.playDay(ctx, s, seed, side.build, side.settings, logs, quiet)
		if err != nil || day.Result.Lateness.Void == "" || replays == maxVoidReplays || ctx.Err() != nil {
			return day, err
		}
	}
}

func dayLogFolder(logs, name string) string {
	if logs == "" {
		return ""
	}
	return filepath.Join(logs, name)
}

func (a *app) labReportCommand() *cobra.Command {
	var htmlFile string
	command := &cobra.Command{
		Use:   "report FILE [FILE]",
		Short: "Print the report of a day that --json kept, or of two laid over each other",
		Example: `  burlpass-lab report day.json --html day.html
  burlpass-lab report before.json after.json --html both.html`,
		Args: cobra.RangeArgs(1, 2),
		RunE: func(_ *cobra.Command, args []string) error {
			var days [2]*report.Day
			for i, path := range args {
				f, err := os.Open(path)
				if err != nil {
					return cli.Failure(err)
				}
				defer f.Close()
				if days[i], err = report.ReadDay(f); err != nil {
					return cli.Failure(fmt.Errorf("%s: %w", path, err))
				}
				days[i].Text(a.stdout)
			}
			if days[1] == nil {
				return cli.Failure(writeFile(htmlFile, days[0].HTML))
			}
			both := report.Comparison{A: days[0].Build, B: days[1].Build, Days: [][2]*report.Day{days},
				Differences: experiment.Compare([]experiment.Pair{{A: days[0].Result, B: days[1].Result}}, 1)}
			return cli.Failure(writeFile(htmlFile, both.HTML))
		},
	}
	command.Flags().StringVar(&htmlFile, "html", "", "write one HTML page to this file")
	return command
}

// referenceCommand runs a reference balancer as a sidecar; the laboratory starts it.
func (a *app) referenceCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "reference POLICY",
		Short:   "Serve as a plain balancer, for comparison in the laboratory",
		Long:    "Serves with one of " + strings.Join(reference.Policies(), ", ") + ", told by the EDGE_ variables like serve. Not for service.",
		Example: "  burlpass-lab reference round-robin",
		Args:    cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			signals := make(chan os.Signal, 8)
			signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
			defer signal.Stop(signals)
			return cli.Failure(reference.Run(args[0], a.getenv, signals))
		},
	}
}
