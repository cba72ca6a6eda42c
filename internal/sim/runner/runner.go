// Package runner plays simulated days under a virtual clock: the guest, which is the whole program and its world
// compiled to wasip1, runs in wazero with a clock that moves only where the guest sleeps, and with random numbers from
// the seed. One thread and one source of time and chance: the same request gives the same outcome on any machine.
package runner

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"github.com/tetratelabs/wazero"
	"github.com/tetratelabs/wazero/imports/wasi_snapshot_preview1"
	"github.com/tetratelabs/wazero/sys"

	"burlpass/internal/sim"
)

// The guest collects no garbage: a collection looks at the clock, and when it comes depends on what is kept, so that a
// day with its trace would be another than without. A day allocates a few hundred megabytes.

// Runner holds a compiled guest. It may be used by several goroutines at once.
type Runner struct {
	runtime wazero.Runtime
	guest   wazero.CompiledModule
}

// Build compiles the guest from the module's source, in dir or above it, and returns its bytes. overlay, where not
// empty, is the path of a file for go build -overlay: a mutant.
func Build(ctx context.Context, dir, overlay string) ([]byte, error) {
	temp, err := os.MkdirTemp("", "burlpass-sim-")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(temp)
	out := filepath.Join(temp, "guest.wasm")
	if overlay, err = overlayFor(ctx, temp, overlay); err != nil {
		return nil, err
	}
	c := exec.CommandContext(ctx, "go", "build", "-trimpath", "-buildvcs=false", "-o", out, "-overlay", overlay, "burlpass/internal/sim/guest")
	c.Dir = dir
	c.Env = append(os.Environ(), "GOOS=wasip1", "GOARCH=wasm", "CGO_ENABLED=0")
	if text, err := c.CombinedOutput(); err != nil {
		return nil, fmt.Errorf("building the guest: %w\n%s", err, text)
	}
	return os.ReadFile(out)
}

// New compiles a guest's bytes for this machine.
func New(ctx context.Context, wasm []byte) (*Runner, error) {
	r := &Runner{runtime: wazero.NewRuntimeWithConfig(ctx, wazero.NewRuntimeConfig())}
	if _, err := wasi_snapshot_preview1.Instantiate(ctx, r.runtime); err != nil {
		return nil, err
	}
	var err error
	if r.guest, err = r.runtime.CompileModule(ctx, wasm); err != nil {
		return nil, fmt.Errorf("compiling the guest: %w", err)
	}
	return r, nil
}

// Close frees what the runner holds.
func (r *Runner) Close(ctx context.Context) error { return r.runtime.Close(ctx) }

// epoch is the wall clock's time at the start of every day.
var epoch = time.Date(2026, 8, 1, 14, 0, 0, 0, time.UTC)

// step is how far the clock moves at each look at it: work takes time, and no two looks are the same.
const step = 50 * time.Nanosecond

// clock is a day's virtual clock. The guest runs on one thread, so it needs no lock.
type clock struct {
	now    time.Duration
	wall   time.Duration // set forward by so much
	stalls []sim.Jump
	jumps  []sim.Jump
}

func (c *clock) advance(by time.Duration) {
	c.now += by
	for len(c.stalls) > 0 && c.now >= c.stalls[0].At {
		c.now += c.stalls[0].By
		c.stalls = c.stalls[1:]
	}
	for len(c.jumps) > 0 && c.now >= c.jumps[0].At {
		c.wall += c.jumps[0].By
		c.jumps = c.jumps[1:]
	}
}

// Play plays one day.
func (r *Runner) Play(ctx context.Context, q sim.Request) (*sim.Outcome, error) {
	script := q.Script
	if script == nil {
		script = sim.Draw(q.Seed)
	}
	request, err := json.Marshal(sim.Request{Seed: script.Seed, Script: script, Trace: q.Trace})
	if err != nil {
		return nil, err
	}
	c := &clock{stalls: byTime(script.Stalls), jumps: byTime(script.Jumps)}
	var stdout, stderr bytes.Buffer
	chance := &source{rand.New(rand.NewPCG(script.Seed, 0xb1))}
	module, err := r.runtime.InstantiateModule(ctx, r.guest, wazero.NewModuleConfig().WithName("").WithEnv("GOGC", "off").
		WithStdin(bytes.NewReader(request)).WithStdout(&stdout).WithStderr(&stderr).WithRandSource(chance).
		WithWalltime(func() (int64, int32) {
			c.advance(step)
			t := epoch.Add(c.now + c.wall)
			return t.Unix(), int32(t.Nanosecond())
		}, sys.ClockResolution(1)).
		WithNanotime(func() int64 { c.advance(step); return int64(c.now) }, sys.ClockResolution(1)).
		WithNanosleep(func(ns int64) { c.advance(time.Duration(ns)) }))
	if module != nil {
		module.Close(ctx)
	}
	var exit *sys.ExitError
	if e, ok := err.(*sys.ExitError); ok {
		exit = e
	} else if err != nil {
		return nil, fmt.Errorf("seed %d: %w", script.Seed, err)
	}
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	if exit != nil && exit.ExitCode() != 0 {
		return &sim.Outcome{Seed: script.Seed, Failed: fmt.Sprintf("the program ended with code %d: %s", exit.ExitCode(), head(stderr.String()))}, nil
	}
	out := &sim.Outcome{}
	if err := json.Unmarshal(stdout.Bytes(), out); err != nil {
		return nil, fmt.Errorf("seed %d: outcome: %w: %s", script.Seed, err, head(stderr.String()))
	}
	return out, nil
}

func head(s string) string {
	lines := strings.SplitN(strings.TrimSpace(s), "\n", 30)
	return strings.Join(lines[:min(len(lines), 25)], "\n")
}

func byTime(list []sim.Jump) []sim.Jump {
	out := append([]sim.Jump(nil), list...)
	for i := range out {
		for j := i; j > 0 && out[j].At < out[j-1].At; j-- {
			out[j], out[j-1] = out[j-1], out[j]
		}
	}
	return out
}

// source gives the guest its random bytes.
type source struct{ *rand.Rand }

func (s *source) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = byte(s.Uint32())
	}
	return len(p), nil
}
