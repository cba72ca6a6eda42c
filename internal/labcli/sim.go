package labcli

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"sort"
	"strconv"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"
	"golang.org/x/sync/errgroup"

	"burlpass/internal/cli"
	"burlpass/internal/sim"
	"burlpass/internal/sim/runner"
)

func (a *app) simCommand() *cobra.Command {
	command := &cobra.Command{
		Use:   "sim",
		Short: "Play the whole program on virtual time against faults drawn from seeds",
		Long: `A simulated day runs the real server, router, pool, parsers and decision module on a network in memory and on
virtual time, with the laboratory's judge after each step. The same seed gives the same day, byte for byte. The
guest is compiled from the source tree that the command stands in, with the go command. docs/simulation.md has the
whole.`,
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error { return c.Help() },
	}
	command.AddCommand(a.simRunCommand(), a.simReplayCommand(), a.simShrinkCommand(), a.simListCommand(), a.simMutantsCommand())
	return command
}

// newSimulator loads the guest from the file wasm, or builds it with the overlay, and compiles it.
func (a *app) newSimulator(ctx context.Context, wasm, overlay string) (*runner.Runner, error) {
	var guest []byte
	var err error
	if wasm != "" {
		guest, err = os.ReadFile(wasm)
	} else {
		guest, err = runner.Build(ctx, ".", overlay)
	}
	if err != nil {
		return nil, err
	}
	return runner.New(ctx, guest)
}

func (a *app) simRunCommand() *cobra.Command {
	var from, count uint64
	var parallel int
	var wasm, overlay, jsonFile string
	var keepGoing bool
	command := &cobra.Command{
		Use:   "run",
		Short: "Play days drawn from a range of seeds",
		Long: `Plays the days of a range of seeds on all cores and prints each that breaks a rule, with the command that replays it.
Exit code 0: none did; 1: some did.`,
		Example: `  burlpass-lab sim run --count 300
  burlpass-lab sim run --from 5000 --count 10000 --keep-on`,
		Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			ctx, cancel := interruptContext()
			defer cancel()
			r, err := a.newSimulator(ctx, wasm, overlay)
			if err != nil {
				return cli.Failure(err)
			}
			defer r.Close(context.Background())
			outcomes, err := playSeeds(ctx, r, from, count, parallel, func(o *sim.Outcome) bool {
				if o.Bad() {
					fmt.Fprintln(a.stdout, o.Summary())
				}
				return keepGoing || !o.Bad()
			})
			a.printSimSummary(outcomes)
			if err != nil && !errors.Is(err, context.Canceled) {
				return cli.Failure(err)
			}
			if err := writeFile(jsonFile, func(w io.Writer) error { return json.NewEncoder(w).Encode(outcomes) }); err != nil {
				return cli.Failure(err)
			}
			failed := 0
			for _, o := range outcomes {
				if o.Bad() {
					failed++
				}
			}
			if failed > 0 {
				return cli.Failure(fmt.Errorf("%d of %d days broke a rule; burlpass-lab sim replay SEED shows one", failed, len(outcomes)))
			}
			return nil
		},
	}
	flags := command.Flags()
	flags.Uint64Var(&from, "from", 1, "the first seed")
	flags.Uint64Var(&count, "count", 100, "how many seeds")
	flags.IntVar(&parallel, "parallel", runtime.NumCPU(), "days at once")
	flags.StringVar(&wasm, "wasm", "", "a guest compiled before, in place of building one")
	flags.StringVar(&overlay, "overlay", "", "file for go build -overlay: play a changed program")
	flags.StringVar(&jsonFile, "json", "", "write all outcomes as JSON to this file")
	flags.BoolVar(&keepGoing, "keep-on", false, "go on after a day that broke a rule")
	return command
}

// playSeeds plays days in parallel and returns their outcomes sorted by seed. It stops early when keepGoing returns false.
func playSeeds(ctx context.Context, r *runner.Runner, from, count uint64, parallel int, keepGoing func(*sim.Outcome) bool) ([]*sim.Outcome, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(max(1, parallel))
	var mu sync.Mutex
	var outcomes []*sim.Outcome
	for seed := from; seed < from+count && ctx.Err() == nil; seed++ {
		group.Go(func() error {
			o, err := r.Play(ctx, sim.Request{Seed: seed})
			if err != nil {
				return err
			}
			mu.Lock()
			defer mu.Unlock()
			if outcomes = append(outcomes, o); !keepGoing(o) {
				cancel()
			}
			return nil
		})
	}
	failed := group.Wait()
	slices.SortFunc(outcomes, func(a, b *sim.Outcome) int { return cmp.Compare(a.Seed, b.Seed) })
	if errors.Is(failed, context.Canceled) {
		failed = nil
	}
	return outcomes, failed
}

// printSimSummary prints totals, and which pairs of faults overlapped most and least often.
func (a *app) printSimSummary(outcomes []*sim.Outcome) {
	calls, attempts, played := 0, 0, time.Duration(0)
	pairs := map[string]int{}
	for _, o := range outcomes {
		calls += o.Calls
		attempts += o.Attempts
		played += o.Played
		for pair, n := range o.Overlaps {
			pairs[pair] += n
		}
	}
	fmt.Fprintf(a.stdout, "%d days, %v of virtual time, %d calls, %d delegations\n", len(outcomes), played.Round(time.Second), calls, attempts)
	var names []string
	for name := range pairs {
		names = append(names, name)
	}
	sort.Slice(names, func(i, j int) bool {
		return pairs[names[i]] > pairs[names[j]] || pairs[names[i]] == pairs[names[j]] && names[i] < names[j]
	})
	if len(names) > 0 {
		fmt.Fprintf(a.stdout, "%d pairs of faults overlapped; most often %s (%d), least %s (%d)\n", len(names), names[0], pairs[names[0]],
			names[len(names)-1], pairs[names[len(names)-1]])
	}
}

// loadScript returns the script for an argument of replay or shrink: a seed or a script file.
func loadScript(arg string) (*sim.Script, error) {
	if seed, err := strconv.ParseUint(arg, 10, 64); err == nil {
		return sim.Draw(seed), nil
	}
	return sim.ReadScript(arg)
}

// prepareDay loads the script of a seed or file and returns a function that plays it until SIGINT or SIGTERM. done releases the
// simulator.
func (a *app) prepareDay(arg, wasm, overlay string) (script *sim.Script, play func(sim.Request) (*sim.Outcome, error), done func(), err error) {
	if script, err = loadScript(arg); err != nil {
		return nil, nil, nil, err
	}
	ctx, cancel := interruptContext()
	r, err := a.newSimulator(ctx, wasm, overlay)
	if err != nil {
		cancel()
		return nil, nil, nil, err
	}
	play = func(request sim.Request) (*sim.Outcome, error) { return r.Play(ctx, request) }
	return script, play, func() { r.Close(context.Background()); cancel() }, nil
}

func (a *app) simReplayCommand() *cobra.Command {
	var wasm, overlay string
	command := &cobra.Command{
		Use:   "replay SEED|FILE",
		Short: "Play one day again and print its whole course",
		Example: `  burlpass-lab sim replay 4711 | less
  burlpass-lab sim replay internal/sim/corpus/overlap.json`,
		Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			script, play, done, err := a.prepareDay(args[0], wasm, overlay)
			if err != nil {
				return cli.Failure(err)
			}
			defer done()
			o, err := play(sim.Request{Script: script, Trace: true})
			if err != nil {
				return cli.Failure(err)
			}
			for _, line := range o.Trace {
				fmt.Fprintln(a.stdout, line)
			}
			fmt.Fprintln(a.stdout, o.Summary())
			if o.Bad() {
				return cli.Failure(errors.New("a rule was broken"))
			}
			return nil
		},
	}
	command.Flags().StringVar(&wasm, "wasm", "", "a guest compiled before, in place of building one")
	command.Flags().StringVar(&overlay, "overlay", "", "file for go build -overlay: play a changed program")
	return command
}

func (a *app) simShrinkCommand() *cobra.Command {
	var wasm, overlay, out string
	command := &cobra.Command{
		Use:   "shrink SEED|FILE",
		Short: "Take away from a day that breaks a rule while it still does, and print the smallest script",
		Long: `Removes faults, sidecars, workers and calls, halves lengths and calms the network, as long as a rule is broken that the
day broke before. --out keeps the script as a file, such as the corpus holds.`,
		Example: "  burlpass-lab sim shrink 4711 --out internal/sim/corpus/found.json",
		Args:    cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			script, play, done, err := a.prepareDay(args[0], wasm, overlay)
			if err != nil {
				return cli.Failure(err)
			}
			defer done()
			smallest, o, err := sim.Shrink(script, func(s *sim.Script) (*sim.Outcome, error) { return play(sim.Request{Script: s}) })
			if err != nil {
				return cli.Failure(err)
			}
			fmt.Fprintln(a.stdout, o.Summary())
			if out != "" {
				return cli.Failure(writeFile(out, smallest.Write))
			}
			return cli.Failure(smallest.Write(a.stdout))
		},
	}
	command.Flags().StringVar(&wasm, "wasm", "", "a guest compiled before, in place of building one")
	command.Flags().StringVar(&overlay, "overlay", "", "file for go build -overlay: play a changed program")
	command.Flags().StringVar(&out, "out", "", "write the script to this file")
	return command
}

func (a *app) simListCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "list [FOLDER]",
		Short:   "List the corpus: the days that once broke a rule, and why",
		Example: "  burlpass-lab sim list internal/sim/corpus",
		Args:    cobra.MaximumNArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			folder := "internal/sim/corpus"
			if len(args) > 0 {
				folder = args[0]
			}
			paths, _ := filepath.Glob(filepath.Join(folder, "*.json"))
			t := tabwriter.NewWriter(a.stdout, 0, 0, 2, ' ', 0)
			for _, path := range paths {
				s, err := sim.ReadScript(path)
				if err != nil {
					return cli.Failure(err)
				}
				fmt.Fprintf(t, "%s\t%d faults\t%s\n", filepath.Base(path), len(s.Scenario.Faults), s.Why)
			}
			return t.Flush()
		},
	}
}

func (a *app) simMutantsCommand() *cobra.Command {
	var seeds uint64
	var only []string
	command := &cobra.Command{
		Use:   "mutants",
		Short: "Put known faults into the program and tell after how many seeds each is found",
		Long: `Builds the program with one fault at a time, by go build -overlay, and plays seeds until a rule breaks.
Exit code 0: every fault was found; 1: some was not.`,
		Example: `  burlpass-lab sim mutants --seeds 200
  burlpass-lab sim mutants --only late-list --only older-list`,
		Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			ctx, cancel := interruptContext()
			defer cancel()
			dir, err := os.MkdirTemp("", "burlpass-mutants-")
			if err != nil {
				return cli.Failure(err)
			}
			defer os.RemoveAll(dir)
			missed := 0
			t := tabwriter.NewWriter(a.stdout, 0, 0, 2, ' ', 0)
			fmt.Fprintln(t, "mutant\tfound after\tas\twhat it does")
			for _, m := range sim.Mutants() {
				if len(only) > 0 && !slices.Contains(only, m.Name) {
					continue
				}
				overlay, err := m.Overlay(".", dir)
				if err != nil {
					return cli.Failure(err)
				}
				found, rule, err := a.firstFailingSeed(ctx, overlay, seeds)
				if err != nil {
					return cli.Failure(fmt.Errorf("mutant %s: %w", m.Name, err))
				}
				after := fmt.Sprintf("%d seeds", found)
				if found == 0 {
					missed++
					after = fmt.Sprintf("not in %d", seeds)
				}
				fmt.Fprintf(t, "%s\t%s\t%s\t%s\n", m.Name, after, rule, m.About)
				t.Flush()
			}
			if missed > 0 {
				return cli.Failure(fmt.Errorf("%d mutants were not found", missed))
			}
			return nil
		},
	}
	command.Flags().Uint64Var(&seeds, "seeds", 100, "seeds played at most for each")
	command.Flags().StringArrayVar(&only, "only", nil, "a mutant's name; may be repeated")
	return command
}

// firstFailingSeed plays seeds from 1 and returns the lowest played seed that breaks a rule, with the rule, or 0 if none does.
func (a *app) firstFailingSeed(ctx context.Context, overlay string, seeds uint64) (uint64, string, error) {
	r, err := a.newSimulator(ctx, "", overlay)
	if err != nil {
		return 0, "", err
	}
	defer r.Close(context.Background())
	outcomes, err := playSeeds(ctx, r, 1, seeds, runtime.NumCPU(), func(o *sim.Outcome) bool { return !o.Bad() })
	if err != nil {
		return 0, "", err
	}
	for _, o := range outcomes {
		switch {
		case len(o.Violations) > 0:
			return o.Seed, string(o.Violations[0].Rule), nil
		case o.Failed != "":
			return o.Seed, "crash", nil
		}
	}
	return 0, "", nil
}
