package cli

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

	"burlpass/internal/sim"
	"burlpass/internal/sim/runner"
)

func (a *app) simCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "sim",
		Short: "Play the whole program on virtual time against faults drawn from seeds",
		Long: `A simulated day runs the real server, router, pool, parsers and decision module on a network in memory and on
virtual time, with the laboratory's judge after each step. The same seed gives the same day, byte for byte. The
guest is compiled from the source tree that the command stands in, with the go command. docs/simulation.md has the
whole.`,
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error { return c.Help() },
	}
	c.AddCommand(a.simRun(), a.simReplay(), a.simShrink(), a.simList(), a.simMutants())
	return c
}

// simulator builds and compiles the guest.
func (a *app) simulator(ctx context.Context, wasm, overlay string) (*runner.Runner, error) {
	var text []byte
	var err error
	if wasm != "" {
		text, err = os.ReadFile(wasm)
	} else {
		text, err = runner.Build(ctx, ".", overlay)
	}
	if err != nil {
		return nil, err
	}
	return runner.New(ctx, text)
}

func (a *app) simRun() *cobra.Command {
	var from, count uint64
	var workers int
	var wasm, overlay, jsonFile string
	var keepOn bool
	c := &cobra.Command{
		Use:   "run",
		Short: "Play days drawn from a range of seeds",
		Long: `Plays the days of a range of seeds on all cores and prints each that breaks a rule, with the command that replays it.
Exit code 0: none did; 1: some did.`,
		Example: `  burlpass sim run --count 300
  burlpass sim run --from 5000 --count 10000 --keep-on`,
		Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			ctx, cancel := interruptible()
			defer cancel()
			r, err := a.simulator(ctx, wasm, overlay)
			if err != nil {
				return wrong(err)
			}
			defer r.Close(context.Background())
			outcomes, err := playAll(ctx, r, from, count, workers, func(o *sim.Outcome) bool {
				if o.Bad() {
					fmt.Fprintln(a.stdout, o.Summary())
				}
				return keepOn || !o.Bad()
			})
			a.simSummary(outcomes)
			if err != nil && !errors.Is(err, context.Canceled) {
				return wrong(err)
			}
			if err := write(jsonFile, func(w io.Writer) error { return json.NewEncoder(w).Encode(outcomes) }); err != nil {
				return wrong(err)
			}
			bad := 0
			for _, o := range outcomes {
				if o.Bad() {
					bad++
				}
			}
			if bad > 0 {
				return wrong(fmt.Errorf("%d of %d days broke a rule; burlpass sim replay SEED shows one", bad, len(outcomes)))
			}
			return nil
		},
	}
	f := c.Flags()
	f.Uint64Var(&from, "from", 1, "the first seed")
	f.Uint64Var(&count, "count", 100, "how many seeds")
	f.IntVar(&workers, "parallel", runtime.NumCPU(), "days at once")
	f.StringVar(&wasm, "wasm", "", "a guest compiled before, in place of building one")
	f.StringVar(&overlay, "overlay", "", "file for go build -overlay: play a changed program")
	f.StringVar(&jsonFile, "json", "", "write all outcomes as JSON to this file")
	f.BoolVar(&keepOn, "keep-on", false, "go on after a day that broke a rule")
	return c
}

// playAll plays days on several cores and returns their outcomes by seed; next is asked after each whether to go on.
func playAll(ctx context.Context, r *runner.Runner, from, count uint64, workers int, next func(*sim.Outcome) bool) ([]*sim.Outcome, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	all, ctx := errgroup.WithContext(ctx)
	all.SetLimit(max(1, workers))
	var mu sync.Mutex
	var out []*sim.Outcome
	for seed := from; seed < from+count && ctx.Err() == nil; seed++ {
		all.Go(func() error {
			o, err := r.Play(ctx, sim.Request{Seed: seed})
			if err != nil {
				return err
			}
			mu.Lock()
			defer mu.Unlock()
			if out = append(out, o); !next(o) {
				cancel()
			}
			return nil
		})
	}
	failed := all.Wait()
	slices.SortFunc(out, func(a, b *sim.Outcome) int { return cmp.Compare(a.Seed, b.Seed) })
	if errors.Is(failed, context.Canceled) {
		failed = nil
	}
	return out, failed
}

// simSummary prints what was played, and how often each pair of faults went on at once.
func (a *app) simSummary(outcomes []*sim.Outcome) {
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

// scriptOf reads what replay and shrink are given: a seed, or the file of a script.
func scriptOf(arg string) (*sim.Script, error) {
	if seed, err := strconv.ParseUint(arg, 10, 64); err == nil {
		return sim.Draw(seed), nil
	}
	return sim.ReadScript(arg)
}

// simDay readies one day, named by its seed or file, to be played until Ctrl-C; done frees what that took.
func (a *app) simDay(arg, wasm, overlay string) (script *sim.Script, play func(sim.Request) (*sim.Outcome, error), done func(), err error) {
	if script, err = scriptOf(arg); err != nil {
		return nil, nil, nil, err
	}
	ctx, cancel := interruptible()
	r, err := a.simulator(ctx, wasm, overlay)
	if err != nil {
		cancel()
		return nil, nil, nil, err
	}
	play = func(q sim.Request) (*sim.Outcome, error) { return r.Play(ctx, q) }
	return script, play, func() { r.Close(context.Background()); cancel() }, nil
}

func (a *app) simReplay() *cobra.Command {
	var wasm, overlay string
	c := &cobra.Command{
		Use:   "replay SEED|FILE",
		Short: "Play one day again and print its whole course",
		Example: `  burlpass sim replay 4711 | less
  burlpass sim replay internal/sim/corpus/overlap.json`,
		Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			script, play, done, err := a.simDay(args[0], wasm, overlay)
			if err != nil {
				return wrong(err)
			}
			defer done()
			o, err := play(sim.Request{Script: script, Trace: true})
			if err != nil {
				return wrong(err)
			}
			for _, line := range o.Trace {
				fmt.Fprintln(a.stdout, line)
			}
			fmt.Fprintln(a.stdout, o.Summary())
			if o.Bad() {
				return wrong(errors.New("a rule was broken"))
			}
			return nil
		},
	}
	c.Flags().StringVar(&wasm, "wasm", "", "a guest compiled before, in place of building one")
	c.Flags().StringVar(&overlay, "overlay", "", "file for go build -overlay: play a changed program")
	return c
}

func (a *app) simShrink() *cobra.Command {
	var wasm, overlay, out string
	c := &cobra.Command{
		Use:   "shrink SEED|FILE",
		Short: "Take away from a day that breaks a rule while it still does, and print the smallest script",
		Long: `Removes faults, sidecars, workers and calls, halves lengths and calms the network, as long as a rule is broken that the
day broke before. --out keeps the script as a file, such as the corpus holds.`,
		Example: "  burlpass sim shrink 4711 --out internal/sim/corpus/found.json",
		Args:    cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			script, play, done, err := a.simDay(args[0], wasm, overlay)
			if err != nil {
				return wrong(err)
			}
			defer done()
			small, o, err := sim.Shrink(script, func(s *sim.Script) (*sim.Outcome, error) { return play(sim.Request{Script: s}) })
			if err != nil {
				return wrong(err)
			}
			fmt.Fprintln(a.stdout, o.Summary())
			if out != "" {
				return wrong(write(out, small.Write))
			}
			return wrong(small.Write(a.stdout))
		},
	}
	c.Flags().StringVar(&wasm, "wasm", "", "a guest compiled before, in place of building one")
	c.Flags().StringVar(&overlay, "overlay", "", "file for go build -overlay: play a changed program")
	c.Flags().StringVar(&out, "out", "", "write the script to this file")
	return c
}

func (a *app) simList() *cobra.Command {
	return &cobra.Command{
		Use:     "list [FOLDER]",
		Short:   "List the corpus: the days that once broke a rule, and why",
		Example: "  burlpass sim list internal/sim/corpus",
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
					return wrong(err)
				}
				fmt.Fprintf(t, "%s\t%d faults\t%s\n", filepath.Base(path), len(s.Scenario.Faults), s.Why)
			}
			return t.Flush()
		},
	}
}

func (a *app) simMutants() *cobra.Command {
	var seeds uint64
	var only []string
	c := &cobra.Command{
		Use:   "mutants",
		Short: "Put known faults into the program and tell after how many seeds each is found",
		Long: `Builds the program with one fault at a time, by go build -overlay, and plays seeds until a rule breaks.
Exit code 0: every fault was found; 1: some was not.`,
		Example: `  burlpass sim mutants --seeds 200
  burlpass sim mutants --only late-list --only older-list`,
		Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			ctx, cancel := interruptible()
			defer cancel()
			dir, err := os.MkdirTemp("", "burlpass-mutants-")
			if err != nil {
				return wrong(err)
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
					return wrong(err)
				}
				found, as, err := a.findMutant(ctx, overlay, seeds)
				if err != nil {
					return wrong(fmt.Errorf("mutant %s: %w", m.Name, err))
				}
				after := fmt.Sprintf("%d seeds", found)
				if found == 0 {
					missed++
					after = fmt.Sprintf("not in %d", seeds)
				}
				fmt.Fprintf(t, "%s\t%s\t%s\t%s\n", m.Name, after, as, m.About)
				t.Flush()
			}
			if missed > 0 {
				return wrong(fmt.Errorf("%d mutants were not found", missed))
			}
			return nil
		},
	}
	c.Flags().Uint64Var(&seeds, "seeds", 100, "seeds played at most for each")
	c.Flags().StringArrayVar(&only, "only", nil, "a mutant's name; may be repeated")
	return c
}

// findMutant plays seeds from 1 on and returns the first that breaks a rule, 0 for none, and which rule that is.
func (a *app) findMutant(ctx context.Context, overlay string, seeds uint64) (uint64, string, error) {
	r, err := a.simulator(ctx, "", overlay)
	if err != nil {
		return 0, "", err
	}
	defer r.Close(context.Background())
	outcomes, err := playAll(ctx, r, 1, seeds, runtime.NumCPU(), func(o *sim.Outcome) bool { return !o.Bad() })
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
