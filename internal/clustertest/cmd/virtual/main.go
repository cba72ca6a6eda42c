// Command virtual plays schedules of faults, drawn from seeds, against the cluster on virtual time. It prints a line a seed and
// ends with how many passed and how many failed; it exits with 1 where any did. With --mutants it plays programs with known faults
// until each is found.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"

	"burlpass/internal/clustertest/faults"
	"burlpass/internal/clustertest/run"
	"burlpass/internal/clustertest/virtual"
)

type options struct {
	seeds    int
	from     uint64
	parallel int
	plan     faults.Options
	keep     bool
	found    string
	within   time.Duration
	mutants  string
	disks    bool
	leases   bool
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	var o options
	flag.IntVar(&o.seeds, "seeds", 10, "how many `seeds` are played; of a mutant, at most")
	flag.Uint64Var(&o.from, "from", 1, "the first `seed`")
	flag.DurationVar(&o.plan.Length, "length", time.Minute, "how long faults go on, of virtual time; 0: as the seed draws it, 10 s to 60 s")
	flag.IntVar(&o.plan.Voters, "voters", 5, "how many `voters`")
	flag.IntVar(&o.plan.Observers, "observers", 8, "how many `observers`")
	flag.IntVar(&o.parallel, "parallel", max(1, runtime.NumCPU()/2), "how many are played at once")
	flag.BoolVar(&o.keep, "keep", false, "keep the journals of all runs, not only of failed ones")
	flag.StringVar(&o.found, "found", "found", "the `folder` for what is kept")
	flag.DurationVar(&o.within, "within", 2*time.Minute, "real time for one seed")
	flag.StringVar(&o.mutants, "mutants", "", "`names` of mutants to be found, with commas between them, or all")
	flag.BoolVar(&o.disks, "disks", true, "syncs take time, and a loss of power takes what was not synced; else the program plays as go test has it")
	flag.BoolVar(&o.leases, "leases", false, "members ask for leases of limits and make calls all the time; some times slower")
	flag.Parse()
	o.plan.Without = virtual.Without(o.disks)
	failed, err := play(ctx, o)
	if err != nil {
		fmt.Fprintln(os.Stderr, "virtual:", err)
	}
	if err != nil || failed > 0 {
		os.Exit(1)
	}
}

func play(ctx context.Context, o options) (failed int, err error) {
	root, err := run.Root(".")
	if err != nil {
		return 0, err
	}
	if err := os.MkdirAll(o.found, 0o700); err != nil {
		return 0, err
	}
	memory := virtual.Memory()
	defer os.RemoveAll(memory)
	if o.mutants != "" {
		return hunt(ctx, o, root, memory)
	}
	path, err := virtual.Build(ctx, root, memory, "sound", o.disks)
	if err != nil {
		return 0, err
	}
	program := virtual.Program{Path: path, Dir: memory, Found: o.found, Within: o.within, Keep: o.keep, Leases: o.leases}
	began, passed := time.Now(), 0
	kinds, overlaps := map[faults.Kind]int{}, map[string]int{}
	var mu sync.Mutex
	var all sync.WaitGroup
	slots := make(chan struct{}, o.parallel)
	for seed := o.from; seed < o.from+uint64(o.seeds) && ctx.Err() == nil; seed++ {
		slots <- struct{}{}
		all.Go(func() {
			defer func() { <-slots }()
			begun := time.Now()
			out, err := program.Play(ctx, faults.Draw(seed, o.plan))
			took := time.Since(begun)
			mu.Lock()
			defer mu.Unlock()
			if err != nil || out.Bad() {
				failed++
			} else {
				passed++
			}
			if err != nil {
				fmt.Printf("seed %d FAILED: %v\n", seed, err)
				return
			}
			fmt.Printf("%v; %.1fs real\n", keepFound(out, memory, o.found), took.Seconds())
			for k, n := range out.Faults {
				kinds[k] += n
			}
			for p, n := range out.Overlaps {
				overlaps[p] += n
			}
		})
	}
	all.Wait()
	sum := 0
	for _, n := range overlaps {
		sum += n
	}
	fmt.Printf("%v; %d pairs of kinds overlapped, %d times; %.0f s real\n", kinds, len(overlaps), sum, time.Since(began).Seconds())
	fmt.Printf("%d passed, %d failed\n", passed, failed)
	return failed, nil
}

// keepFound brings a run's journal out of memory.
func keepFound(out *run.Outcome, memory, found string) *run.Outcome {
	if out.Journal == "" {
		return out
	}
	text, err := os.ReadFile(out.Journal)
	if err != nil {
		return out
	}
	to := fmt.Sprintf("%s/virtual-seed%d.log", strings.TrimRight(found, "/"), out.Seed)
	if err := os.WriteFile(to, text, 0o600); err != nil {
		return out
	}
	parts := strings.SplitAfter(strings.TrimPrefix(out.Journal, memory), "/")
	_ = os.RemoveAll(memory + "/" + strings.Trim(parts[1], "/"))
	out.Journal = to
	return out
}
