// Command faults plays schedules of faults, drawn from seeds, against a cluster of real processes. It prints a line a seed
// and ends with how many passed and how many failed; it exits with 1 where any did.
package main

import (
	"cmp"
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"maps"
	"os"
	"os/signal"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"burlpass/internal/clustertest/faults"
	"burlpass/internal/clustertest/run"
)

type options struct {
	seeds    int
	from     uint64
	parallel int
	plan     faults.Options
	keep     bool
	show     bool
	binary   string
	build    string
	found    string
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	var o options
	flag.IntVar(&o.seeds, "seeds", 10, "how many `seeds` are played")
	flag.Uint64Var(&o.from, "from", 1, "the first `seed`")
	flag.DurationVar(&o.plan.Length, "length", time.Minute, "how long faults go on; 0: as the seed draws it, 10 s to 60 s")
	flag.IntVar(&o.plan.Voters, "voters", 0, "how many `voters`; 0: as the seed draws it, 5 or 7")
	flag.IntVar(&o.plan.Observers, "observers", 8, "how many `observers`")
	flag.IntVar(&o.parallel, "parallel", 2, "how many are played at once")
	flag.BoolVar(&o.keep, "keep", false, "keep the folders and journals of all runs, not only of failed ones")
	flag.BoolVar(&o.show, "show", false, "print the plans and play none")
	flag.StringVar(&o.binary, "binary", "", "a `program` to play in place of those that are built, or two with a comma between: with usual and with small bounds")
	flag.StringVar(&o.build, "build", "", "build both programs into this `folder`, and play nothing")
	flag.StringVar(&o.found, "found", "found", "the `folder` for what is kept")
	flag.Parse()
	failed, err := play(ctx, os.Stdout, o)
	if err != nil {
		fmt.Fprintln(os.Stderr, "faults:", err)
	}
	if err != nil || failed > 0 {
		os.Exit(1)
	}
}

// play plays all seeds and gives how many failed. The error is the test's own, such as a program that does not build.
func play(ctx context.Context, out io.Writer, o options) (failed int, err error) {
	if o.show {
		for i := range o.seeds {
			fmt.Fprint(out, faults.Draw(o.from+uint64(i), o.plan))
		}
		return 0, nil
	}
	root, err := run.Root(".")
	if err != nil {
		return 0, err
	}
	if o.build != "" {
		_, err := run.BuildAll(ctx, root, o.build)
		return 0, err
	}
	if err := os.MkdirAll(o.found, 0o700); err != nil {
		return 0, err
	}
	built, err := os.MkdirTemp("", "burlpass-faults-")
	if err != nil {
		return 0, err
	}
	defer os.RemoveAll(built)
	programs := run.Programs{Usual: o.binary, Small: o.binary}
	if usual, small, two := strings.Cut(o.binary, ","); two {
		programs = run.Programs{Usual: usual, Small: small}
	} else if o.binary == "" {
		if programs, err = run.BuildAll(ctx, root, built); err != nil {
			return 0, err
		}
	}
	sum := &tally{out: out, kinds: map[faults.Kind]int{}, overlaps: map[string]int{}}
	seeds := make(chan uint64)
	var all sync.WaitGroup
	for range max(1, o.parallel) {
		all.Go(func() {
			for seed := range seeds {
				plan := faults.Draw(seed, o.plan)
				sum.add(run.Play(ctx, plan, run.Options{Binary: programs.For(plan), Dir: o.found, Keep: o.keep}))
			}
		})
	}
	for i := range o.seeds {
		select {
		case seeds <- o.from + uint64(i):
		case <-ctx.Done():
		}
	}
	close(seeds)
	all.Wait()
	sum.print()
	return sum.failed, errors.Join(sum.errs...)
}

// tally adds runs up.
type tally struct {
	mu       sync.Mutex
	out      io.Writer
	passed   int
	failed   int
	errs     []error
	kinds    map[faults.Kind]int
	overlaps map[string]int
}

func (t *tally) add(o *run.Outcome, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if err != nil {
		t.errs = append(t.errs, err)
		return
	}
	fmt.Fprintln(t.out, o)
	if o.Bad() {
		t.failed++
	} else {
		t.passed++
	}
	for k, n := range o.Faults {
		t.kinds[k] += n
	}
	for p, n := range o.Overlaps {
		t.overlaps[p] += n
	}
}

// print has how often each kind was played and, in a table, how often two went on at once.
func (t *tally) print() {
	kinds := slices.SortedFunc(maps.Keys(t.kinds), func(a, b faults.Kind) int {
		return cmp.Or(cmp.Compare(t.kinds[b], t.kinds[a]), cmp.Compare(a, b))
	})
	if len(kinds) > 0 {
		fmt.Fprintf(t.out, "\n%-9s%6s  at once with\n%-15s", "kind", "played", "")
		for _, k := range kinds {
			fmt.Fprintf(t.out, "%8s", k)
		}
		fmt.Fprintln(t.out)
		for i, a := range kinds {
			fmt.Fprintf(t.out, "%-9s%6d%s", a, t.kinds[a], strings.Repeat(" ", 8*i))
			for _, b := range kinds[i:] {
				fmt.Fprintf(t.out, "%8d", t.overlaps[faults.Pair(a, b)])
			}
			fmt.Fprintln(t.out)
		}
		fmt.Fprintln(t.out)
	}
	fmt.Fprintf(t.out, "%d passed, %d failed\n", t.passed, t.failed)
}
