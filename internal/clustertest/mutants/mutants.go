// Package mutants has faults put into the cluster at build time, to see whether runs of real processes with faults between
// them find each: a check that cannot fail proves nothing.
package mutants

import (
	"context"
	"fmt"
	"os"
	"slices"
	"strings"
	"time"

	"burlpass/internal/clustertest/faults"
	"burlpass/internal/clustertest/history"
	"burlpass/internal/clustertest/run"
	"burlpass/internal/sim"
)

// Mutant is the program with one promise of the cluster's broken.
type Mutant struct {
	sim.Mutant
	Finds []history.Promise              // a breach of one of these counts as found, of others it does not
	Plan  func(seed uint64) *faults.Plan // made by hand, where drawn ones meet the fault too seldom; nil: drawn
}

// Options of Find.
type Options struct {
	Root  string // the module's
	Dir   string // for builds and runs
	Seeds uint64 // tried at most, from 1 on
	Draw  faults.Options
	Keep  bool // journals of the runs that found something stay
}

// Found is what became of one mutant.
type Found struct {
	Mutant  Mutant
	Seeds   uint64 // played, the last of which found it unless Breach is nil
	Played  time.Duration
	Breach  *history.Breach
	Others  map[history.Promise]int // breaches that do not count, of all seeds
	Journal string
}

// String is the result as a report's line.
func (f *Found) String() string {
	name := f.Mutant.Name
	if f.Mutant.Plan != nil {
		name += " (plan by hand)"
	}
	if f.Breach == nil {
		return fmt.Sprintf("%s: NOT found in %d seeds, %.0f s; %s; other breaches %v", name, f.Seeds, f.Played.Seconds(), f.Mutant.About, f.Others)
	}
	text := fmt.Sprintf("%s: found by seed %d, %.0f s played; %s; %s", name, f.Seeds, f.Played.Seconds(), f.Mutant.About, f.Breach)
	if f.Journal != "" {
		text += "; " + f.Journal
	}
	return text
}

// Find builds the program with a mutant and plays seeds until one of the promises that it breaks is seen broken. An error is
// one of the build, or of runs of which none could begin.
func Find(ctx context.Context, m Mutant, o Options) (*Found, error) {
	binary, err := run.Build(ctx, o.Root, o.Dir, m.Name, run.Small(), m.Mutant)
	if err != nil {
		return nil, err
	}
	defer os.Remove(binary)
	f := &Found{Mutant: m, Others: map[history.Promise]int{}}
	var failed error
	failures := uint64(0)
	for seed := uint64(1); seed <= o.Seeds && ctx.Err() == nil; seed++ {
		plan := faults.Draw(seed, o.Draw)
		if m.Plan != nil {
			plan = m.Plan(seed)
		}
		began := time.Now()
		out, err := run.Play(ctx, plan, run.Options{Binary: binary, Dir: o.Dir, Keep: o.Keep})
		f.Seeds, f.Played = seed, f.Played+time.Since(began)
		if err != nil {
			failed = err
			failures++
		}
		if out == nil {
			continue
		}
		if f.Breach = first(out.Breaches, m.Finds, f.Others); f.Breach != nil {
			f.Journal = out.Journal
		}
		if out.Journal != "" && !o.Keep {
			os.RemoveAll(strings.TrimSuffix(out.Journal, "/run.log"))
			f.Journal = ""
		}
		if f.Breach != nil {
			return f, nil
		}
	}
	if failures > 0 && failures == f.Seeds {
		return f, failed
	}
	return f, ctx.Err()
}

// Sound plays the program without a mutant: seeds as many as Options tell, and each plan made by hand once. It tells each outcome by
// the name of its plan; an error is one of the build.
func Sound(ctx context.Context, o Options, tell func(name string, out *run.Outcome, err error)) error {
	binary, err := run.Build(ctx, o.Root, o.Dir, "sound", run.Small())
	if err != nil {
		return err
	}
	defer os.Remove(binary)
	play := func(name string, plan *faults.Plan) {
		out, err := run.Play(ctx, plan, run.Options{Binary: binary, Dir: o.Dir})
		tell(name, out, err)
	}
	for _, m := range All() {
		if m.Plan != nil && ctx.Err() == nil {
			play("the plan of "+m.Name, m.Plan(1))
		}
	}
	for seed := uint64(1); seed <= o.Seeds && ctx.Err() == nil; seed++ {
		play(fmt.Sprint("seed ", seed), faults.Draw(seed, o.Draw))
	}
	return ctx.Err()
}

// first is the first breach of one of the promises; the others are counted.
func first(all []history.Breach, of []history.Promise, others map[history.Promise]int) *history.Breach {
	for i := range all {
		if slices.Contains(of, all[i].Promise) {
			return &all[i]
		}
		others[all[i].Promise]++
	}
	return nil
}
