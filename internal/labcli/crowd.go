package labcli

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/spf13/cobra"

	"burlpass/internal/cli"
	"burlpass/internal/lab/crowd"
)

// crowdRun is the state of one run of the crowd command.
type crowdRun struct {
	app    *app
	build  build
	folder string // logs of failed plays
	floods []crowd.Flood
	limits crowd.Limits // where floods are given
	length time.Duration

	mu             sync.Mutex
	passed, failed int
}

func (a *app) labCrowdCommand() *cobra.Command {
	var from uint64
	var count, parallel int
	var buildText, folder string
	var floodTexts []string
	var limits crowd.Limits
	var length time.Duration
	command := &cobra.Command{
		Use:   "crowd",
		Short: "Play crowds of hostile clients against a sidecar with little memory",
		Long: `Plays one crowd for each seed: hundreds of hostile clients on loopback against one sidecar with little memory and a
quarter of a core, with kills, restarts, reloads and upgrades drawn from the seed. A play fails where the processes go
beyond their memory or a request of the ordinary clients beside the crowd gets no answer in time. Half of the plays have
floods too, clients that send at full speed; where these are alone, most ordinary requests have to be served. The last line is
"N passed, M failed".`,
		Example: "  burlpass-lab crowd --seeds 50 --parallel 3",
		Args:    cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			b, err := parseBuild(buildText)
			if err != nil {
				return err
			}
			floods, err := parseFloods(floodTexts)
			if err != nil {
				return err
			}
			ctx, cancel := interruptContext()
			defer cancel()
			r := &crowdRun{app: a, build: b, folder: folder, floods: floods, limits: limits, length: length}
			return cli.Failure(r.playSeeds(ctx, from, count, parallel))
		},
	}
	flags := command.Flags()
	flags.Uint64Var(&from, "from", 1, "the first seed")
	flags.IntVar(&count, "seeds", 10, "number of seeds")
	flags.IntVar(&parallel, "parallel", 2, "plays at a time")
	flags.StringVar(&buildText, "build", ownBuild, "sidecar to play: self, or a program with its arguments")
	flags.StringVar(&folder, "keep", filepath.Join(os.TempDir(), "burlpass-crowd"), "folder for the logs of plays that failed")
	flags.StringSliceVar(&floodTexts, "flood", nil, "play this flood (KIND/MODE/CONNECTIONS, or none) in place of what the seed draws")
	flags.Float64Var(&limits.Cores, "cores", 1, "with --flood: the sidecar's share of a core")
	flags.Float64Var(&limits.Granted, "granted", 0, "with --flood: the share of a core that the sidecar gets in fact, 0 for --cores")
	flags.IntVar(&limits.MemoryMB, "memory", 48, "with --flood: the sidecar's memory, in MB")
	flags.IntVar(&limits.Sockets, "sockets", crowd.StandardLimits.Sockets, "with --flood: the sidecar's descriptors")
	flags.DurationVar(&length, "length", 11*time.Second, "with --flood: how long a play lasts")
	return command
}

// parseFloods parses floods as crowd.ParseFlood takes them.
func parseFloods(texts []string) (floods []crowd.Flood, err error) {
	for _, text := range texts {
		flood, err := crowd.ParseFlood(text)
		if err != nil {
			return nil, err
		}
		floods = append(floods, flood)
	}
	return floods, nil
}

// options returns the play of a seed.
func (r *crowdRun) options(seed uint64) crowd.Options {
	if r.floods == nil {
		return crowd.Draw(seed)
	}
	return crowd.Options{Limits: r.limits, Load: crowd.FloodLoad, Floods: r.floods, Length: r.length}
}

// playSeeds plays the seeds, up to parallel at once, and prints the summary.
func (r *crowdRun) playSeeds(ctx context.Context, from uint64, count, parallel int) error {
	forEachSeed(ctx, from, count, parallel, func(seed uint64) { r.playSeed(ctx, seed) })
	fmt.Fprintf(r.app.stdout, "%d passed, %d failed\n", r.passed, r.failed)
	if r.failed > 0 {
		return fmt.Errorf("%d plays failed", r.failed)
	}
	return ctx.Err()
}

// playSeed plays the crowd of a seed and prints its result.
func (r *crowdRun) playSeed(ctx context.Context, seed uint64) {
	o := r.options(seed)
	o.Program, o.Dir = r.build.command, filepath.Join(r.folder, fmt.Sprintf("crowd-%d", seed))
	faults, result := playCrowd(ctx, o)
	if ctx.Err() != nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.app.stdout, "seed %d, %v cores (%v), %d MB, %d of %v, floods %v, %v: %v\n", seed, o.Limits.Cores, o.Limits.Granted, o.Limits.MemoryMB, o.Clients, o.Kinds, o.Floods, o.Events, result)
	if len(faults) == 0 {
		r.passed++
		os.RemoveAll(o.Dir)
		return
	}
	r.failed++
	for _, fault := range faults {
		fmt.Fprintf(r.app.stdout, "  FAILED: %s\n", fault)
	}
}

// playCrowd runs one play in an empty folder.
func playCrowd(ctx context.Context, o crowd.Options) (faults []string, result *crowd.Result) {
	if err := os.RemoveAll(o.Dir); err != nil {
		return []string{err.Error()}, nil
	}
	if err := os.MkdirAll(o.Dir, 0o755); err != nil {
		return []string{err.Error()}, nil
	}
	result, err := crowd.Play(ctx, o)
	if err != nil {
		return []string{err.Error()}, nil
	}
	return append(result.Faults(o.Limits), o.ServiceFaults(result)...), result
}

// forEachSeed calls play for count seeds, up to parallel at once, until ctx is done.
func forEachSeed(ctx context.Context, from uint64, count, parallel int, play func(seed uint64)) {
	seeds := make(chan uint64)
	var group sync.WaitGroup
	for range max(parallel, 1) {
		group.Go(func() {
			for seed := range seeds {
				play(seed)
			}
		})
	}
	for seed := from; seed < from+uint64(count) && ctx.Err() == nil; seed++ {
		seeds <- seed
	}
	close(seeds)
	group.Wait()
}
