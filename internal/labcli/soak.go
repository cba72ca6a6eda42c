package labcli

import (
	"context"
	"fmt"
	"hash/fnv"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"sync"

	"github.com/spf13/cobra"

	"burlpass/internal/cli"
	"burlpass/internal/lab/faultnet"
	"burlpass/internal/lab/report"
	"burlpass/internal/lab/scenario"
	"burlpass/internal/lab/soak"
)

// soakRun is the state of one run of lab soak.
type soakRun struct {
	app    *app
	build  build
	self   string // path of this program
	folder string // logs of failed days

	mu             sync.Mutex
	passed, failed int
	void           []uint64
	coverage       *soak.Coverage
}

func (a *app) labSoakCommand() *cobra.Command {
	var from uint64
	var count, parallel int
	var buildText, folder string
	var shrink bool
	command := &cobra.Command{
		Use:   "soak",
		Short: "Play days of random, overlapping faults against a few dozen sidecars",
		Long: `Plays one day for each seed: 24 sidecars, 12 backends, clients and discovery on loopback, and faults drawn from
the seed. A day fails where the judge finds a rule broken or a sidecar's log says that an invariant was. The logs of a day
that failed are kept. A day on which the laboratory itself ran late is void and counts as failed. The last line is
"N passed, M failed".`,
		Example: `  burlpass-lab soak --seeds 20 --parallel 3
  burlpass-lab soak --from 17 --seeds 1 --shrink`,
		Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			b, err := parseBuild(buildText)
			if err != nil {
				return err
			}
			ctx, cancel := interruptContext()
			defer cancel()
			self, err := os.Executable()
			if err != nil {
				return cli.Failure(err)
			}
			r := &soakRun{app: a, build: b, self: self, folder: folder, coverage: soak.NewCoverage()}
			return cli.Failure(r.playSeeds(ctx, from, count, parallel, shrink))
		},
	}
	flags := command.Flags()
	flags.Uint64Var(&from, "from", 1, "the first seed")
	flags.IntVar(&count, "seeds", 10, "number of seeds")
	flags.IntVar(&parallel, "parallel", 2, "days at a time")
	flags.StringVar(&buildText, "build", ownBuild, "sidecar to play: self, or a program with its arguments")
	flags.StringVar(&folder, "keep", filepath.Join(os.TempDir(), "burlpass-soak"), "folder for the logs of days that failed")
	flags.BoolVar(&shrink, "shrink", false, "take faults out of a day that failed for as long as it still does")
	return command
}

// labFailingCommand runs the sidecar for days with failing system calls.
func (a *app) labFailingCommand() *cobra.Command {
	var seed uint64
	command := &cobra.Command{
		Use:   failingCommandName,
		Short: "Run one sidecar as serve does, with system calls that fail in bursts",
		Long: `Runs one sidecar as serve does. Calls to accept, connect, read and write fail in bursts drawn from the seed and
EDGE_NAME, as the manual pages of Linux say that they may, and reads are short. lab soak plays it on one day in three.`,
		Example: `  EDGE_NAME=n0 EDGE_LISTEN=127.0.0.1:3000 EDGE_DISCOVERY=127.0.0.1:8500 EDGE_CONFIG=config.json burlpass-lab failing --seed 3`,
		Hidden:  true,
		Args:    cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			name := fnv.New64a()
			name.Write([]byte(a.getenv("EDGE_NAME"))) // so that each sidecar has different bursts
			network := faultnet.New(seed^name.Sum64(), a.getenv("EDGE_DISCOVERY"))
			err := a.server.Serve(network)
			fmt.Fprintf(a.stderr, "event=failed_calls %s\n", network.Counts())
			return err
		},
	}
	command.Flags().Uint64Var(&seed, "seed", 1, "what the bursts are drawn from")
	return command
}

// failingCommandName is the name of the command of labFailingCommand.
const failingCommandName = "failing"

// buildForSeed returns the build for the day of a seed: with failing system calls on some of them.
func (r *soakRun) buildForSeed(seed uint64) build {
	if r.build.name != ownBuild || !soak.FailingCalls(seed) {
		return r.build
	}
	return build{"self, calls fail", []string{r.self, failingCommandName, "--seed", strconv.FormatUint(seed, 10)}}
}

// playSeeds plays the days, up to parallel at once, and prints the summary.
func (r *soakRun) playSeeds(ctx context.Context, from uint64, count, parallel int, shrink bool) error {
	forEachSeed(ctx, from, count, parallel, func(seed uint64) { r.playSeed(ctx, seed, shrink) })
	r.printCoverage()
	if len(r.void) > 0 {
		slices.Sort(r.void)
		fmt.Fprintf(r.app.stdout, "void, for the laboratory ran late: %v\n", r.void)
	}
	fmt.Fprintf(r.app.stdout, "%d passed, %d failed\n", r.passed, r.failed)
	if r.failed > 0 {
		return fmt.Errorf("%d days failed", r.failed)
	}
	return ctx.Err()
}

// playSeed plays the day of a seed and records its result.
func (r *soakRun) playSeed(ctx context.Context, seed uint64, shrink bool) {
	s := soak.Draw(seed)
	day, findings := r.playDay(ctx, s, seed)
	if ctx.Err() != nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.coverage.Add(s, soak.FailingCalls(seed))
	if day != nil && day.Result.Lateness.Void != "" {
		r.void = append(r.void, seed)
	}
	if len(findings) == 0 {
		r.passed++
		fmt.Fprintf(r.app.stdout, "seed %d passed\n", seed)
		return
	}
	r.failed++
	fmt.Fprintf(r.app.stdout, "seed %d FAILED\n", seed)
	if soak.FailingCalls(seed) {
		fmt.Fprintln(r.app.stdout, "  with failing system calls")
	}
	if shrink {
		s = soak.Shrink(s, func(smaller *scenario.Scenario) bool {
			_, found := r.playDay(ctx, smaller, seed)
			return len(found) > 0
		})
	}
	for _, f := range s.Faults {
		fmt.Fprintf(r.app.stdout, "  with %s\n", soak.Fault(f))
	}
	for _, finding := range findings[:min(len(findings), maxPrintedFindings)] {
		fmt.Fprintf(r.app.stdout, "  %s\n", finding)
	}
}

// maxPrintedFindings limits the findings printed per day.
const maxPrintedFindings = 12

// playDay plays a day and returns its findings. The logs are kept if there are any.
func (r *soakRun) playDay(ctx context.Context, s *scenario.Scenario, seed uint64) (*report.Day, []string) {
	folder := filepath.Join(r.folder, s.Name)
	if err := os.RemoveAll(folder); err != nil {
		return nil, []string{err.Error()}
	}
	day, err := r.app.playDay(ctx, s, seed, r.buildForSeed(seed), nil, folder, true)
	if err != nil {
		return nil, []string{err.Error()}
	}
	findings, err := soak.Findings(day.Result.Report.Violations, folder)
	if err != nil {
		findings = append(findings, err.Error())
	}
	if verdict := day.Verdict(); verdict != nil {
		findings = append(findings, verdict.Error())
	}
	if len(findings) == 0 {
		os.RemoveAll(folder)
	}
	return day, findings
}

// printCoverage prints how often each fault kind occurred, and how often each pair of kinds overlapped.
func (r *soakRun) printCoverage() {
	var kinds []string
	for kind := range r.coverage.Kinds {
		kinds = append(kinds, kind)
	}
	slices.Sort(kinds)
	for _, kind := range kinds {
		fmt.Fprintf(r.app.stdout, "%-14s %d\n", kind, r.coverage.Kinds[kind])
	}
	fmt.Fprintf(r.app.stdout, "%d pairs of kinds overlapped\n", len(r.coverage.Pairs))
	for i, a := range kinds {
		for _, b := range kinds[i:] {
			fmt.Fprintf(r.app.stdout, "  %s + %s: %d\n", a, b, r.coverage.Pairs[[2]string{a, b}])
		}
	}
}
