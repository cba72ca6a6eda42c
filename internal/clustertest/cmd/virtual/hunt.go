package main

import (
	"context"
	"fmt"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"burlpass/internal/clustertest/faults"
	"burlpass/internal/clustertest/history"
	"burlpass/internal/clustertest/mutants"
	"burlpass/internal/clustertest/virtual"
)

// hunt plays each mutant until one of the promises that it breaks is seen broken, and gives how many were not found.
func hunt(ctx context.Context, o options, root, memory string) (missed int, err error) {
	var list []mutants.Mutant
	for _, m := range append(mutants.All(), virtual.Mutants()...) {
		if o.mutants == "all" || slices.Contains(strings.Split(o.mutants, ","), m.Name) {
			list = append(list, m)
		}
	}
	found := 0
	var mu sync.Mutex
	var all sync.WaitGroup
	slots := make(chan struct{}, o.parallel)
	for _, m := range list {
		slots <- struct{}{}
		all.Go(func() {
			defer func() { <-slots }()
			text, ok := seek(ctx, o, root, memory, m)
			mu.Lock()
			defer mu.Unlock()
			if ok {
				found++
			} else {
				missed++
			}
			fmt.Println(text)
		})
	}
	all.Wait()
	fmt.Printf("%d found, %d not found\n", found, missed)
	return missed, nil
}

func seek(ctx context.Context, o options, root, memory string, m mutants.Mutant) (text string, found bool) {
	path, err := virtual.Build(ctx, root, memory, m.Name, o.disks, m.Mutant)
	if err != nil {
		return fmt.Sprintf("%s: NOT found: %v", m.Name, err), false
	}
	defer os.Remove(path)
	program := virtual.Program{Path: path, Dir: memory, Found: o.found, Within: o.within, Leases: slices.Contains(m.Finds, virtual.Leased)}
	others := map[history.Promise]int{}
	began, ends := time.Now(), 0
	for seed := o.from; seed < o.from+uint64(o.seeds) && ctx.Err() == nil; seed++ {
		plan := faults.Draw(seed, o.plan)
		plan.Small = true
		if m.Plan != nil {
			plan = m.Plan(seed)
		}
		out, err := program.Play(ctx, plan)
		if err != nil {
			ends++
			text = err.Error()
			continue
		}
		keepFound(out, memory, o.found)
		for _, b := range out.Breaches {
			if slices.Contains(m.Finds, b.Promise) {
				return fmt.Sprintf("%s: found by seed %d, %.0f s real; %s; %.300s", m.Name, seed, time.Since(began).Seconds(), m.About, b), true
			}
			others[b.Promise]++
		}
	}
	return fmt.Sprintf("%s: NOT found in %d seeds, %.0f s real; %s; other breaches %v; %d ended out of order %.200s", m.Name, o.seeds, time.Since(began).Seconds(),
		m.About, others, ends, text), false
}
