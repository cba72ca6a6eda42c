package run

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"

	"burlpass/internal/clustertest/faults"
	"burlpass/internal/sim"
)

// Small is the program with small bounds, so that runs of some seconds meet snapshots, whole states and dropped
// entries. Nothing but figures differs.
func Small() sim.Mutant {
	return sim.Mutant{Name: "small", About: "small bounds", Edits: []sim.Edit{
		{File: "internal/cluster/voter/config.go", Old: "DefaultSnapshot          = 30 * time.Second", New: "DefaultSnapshot          = 700 * time.Millisecond"},
		{File: "internal/cluster/voter/config.go", Old: "DefaultThreshold         = 8192", New: "DefaultThreshold         = 40"},
		{File: "internal/cluster/voter/config.go", Old: "DefaultTrailing          = 8192", New: "DefaultTrailing          = 20"},
		{File: "internal/cluster/replica/replica.go", Old: "DefaultEntries = 8192", New: "DefaultEntries = 30"},
		{File: "internal/cluster/api/server.go", Old: "DefaultFollowers         = 32", New: "DefaultFollowers         = 3"},
	}}
}

// Programs are the two builds that plans are played with.
type Programs struct{ Usual, Small string }

// BuildAll makes both, with the edits of mutants.
func BuildAll(ctx context.Context, root, dir string, mutants ...sim.Mutant) (p Programs, err error) {
	if p.Usual, err = Build(ctx, root, dir, "usual", mutants...); err == nil {
		p.Small, err = Build(ctx, root, dir, "small", append([]sim.Mutant{Small()}, mutants...)...)
	}
	return p, err
}

// For gives the one that a plan wants.
func (p Programs) For(plan *faults.Plan) string {
	if plan.Small {
		return p.Small
	}
	return p.Usual
}

// Build makes the program as the Makefile does, with Faulty and the edits of mutants, and returns the path of it in dir. root is
// the module's root.
func Build(ctx context.Context, root, dir, name string, mutants ...sim.Mutant) (string, error) {
	all := sim.Mutant{Name: name}
	for _, m := range append([]sim.Mutant{Faulty()}, mutants...) {
		all.Edits = append(all.Edits, m.Edits...)
	}
	path, err := filepath.Abs(filepath.Join(dir, "burlpass-"+name))
	if err != nil {
		return "", err
	}
	overlay, err := all.Overlay(root, dir)
	if err != nil {
		return "", err
	}
	cmd := exec.CommandContext(ctx, "go", "build", "-ldflags=-linkmode=external", "-o", path, "-overlay", overlay, "./cmd/burlpass-cluster")
	cmd.Dir, cmd.Env = root, append(os.Environ(), "CGO_ENABLED=1")
	if out, err := cmd.CombinedOutput(); err != nil {
		return "", fmt.Errorf("go build of %s: %w\n%s", name, err, out)
	}
	return path, nil
}
