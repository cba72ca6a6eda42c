// Command mutants builds the program with one known fault in the cluster at a time and plays runs of real processes until a
// check finds it. Exit code 0: each was found; 1: some was not.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"slices"
	"strings"
	"sync"
	"time"

	"burlpass/internal/clustertest/faults"
	"burlpass/internal/clustertest/mutants"
	"burlpass/internal/clustertest/run"
)

func main() {
	if err := find(); err != nil {
		fmt.Fprintln(os.Stderr, "mutants:", err)
		os.Exit(1)
	}
}

func find() error {
	seeds := flag.Uint64("seeds", 10, "played at most for each mutant")
	only := flag.String("only", "", "names, with commas between them; empty: all")
	beside := flag.Int("beside", 3, "mutants played at a time")
	length := flag.Duration("length", 12*time.Second, "of a drawn plan")
	voters := flag.Int("voters", 5, "of a drawn plan")
	observers := flag.Int("observers", 4, "of a drawn plan")
	keep := flag.Bool("keep", false, "the journals of runs that found something stay")
	sound := flag.Bool("sound", false, "play the program without a mutant instead: the plans made by hand, and the seeds")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	root, err := run.Root(".")
	if err != nil {
		return err
	}
	dir, err := os.MkdirTemp("", "burlpass-mutants-")
	if err != nil {
		return err
	}
	if !*keep {
		defer os.RemoveAll(dir)
	}
	o := mutants.Options{Root: root, Dir: dir, Seeds: *seeds, Keep: *keep,
		Draw: faults.Options{Voters: *voters, Observers: *observers, Length: *length}}
	if *sound {
		return passes(ctx, o)
	}
	var list []mutants.Mutant
	for _, m := range mutants.All() {
		if *only == "" || slices.Contains(strings.Split(*only, ","), m.Name) {
			list = append(list, m)
		}
	}
	var all sync.WaitGroup
	var mu sync.Mutex
	found, missed := 0, 0
	slots := make(chan struct{}, *beside)
	for _, m := range list {
		slots <- struct{}{}
		all.Go(func() {
			defer func() { <-slots }()
			f, err := mutants.Find(ctx, m, o)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case err != nil:
				missed++
				fmt.Printf("%s: NOT found: %v\n", m.Name, err)
			case f.Breach == nil:
				missed++
				fmt.Println(f)
			default:
				found++
				fmt.Println(f)
			}
		})
	}
	all.Wait()
	fmt.Printf("%d found, %d not found\n", found, missed)
	if missed > 0 || found == 0 {
		return fmt.Errorf("%d mutants were not found", missed)
	}
	return nil
}

// passes plays the sound program, in which nothing may be found.
func passes(ctx context.Context, o mutants.Options) error {
	passed, failed := 0, 0
	err := mutants.Sound(ctx, o, func(name string, out *run.Outcome, err error) {
		if err != nil || out.Bad() {
			failed++
		} else {
			passed++
		}
		fmt.Println(name+":", out, err)
	})
	fmt.Printf("%d passed, %d failed\n", passed, failed)
	if err == nil && failed > 0 {
		err = fmt.Errorf("%d runs of the sound program failed", failed)
	}
	return err
}
