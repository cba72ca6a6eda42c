// Package run plays plans of faults against real processes of the program and holds what clients have seen against the
// cluster's promises.
package run

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"burlpass/internal/clustertest/faults"
	"burlpass/internal/clustertest/history"
)

// Options of a run.
type Options struct {
	Binary string // the program
	Dir    string // a folder of the run's own is made in it
	Keep   bool   // it stays, with the journal; else only where a promise was broken
	World  World  // nil: real processes of Binary, with relays between them
}

// Outcome is what became of a run.
type Outcome struct {
	Seed     uint64
	Took     time.Duration
	Breaches []history.Breach
	Journal  string // the path of the merged log, "" where it was not kept
	Writes   map[string]int
	Reads    int
	Faults   map[faults.Kind]int // that were played; those skipped are not among them
	Overlaps map[string]int      // how often two kinds went on at once, by faults.Pair
	Healed   time.Duration       // from the end of the faults until all showed one state
}

// Bad tells whether a promise was broken.
func (o *Outcome) Bad() bool { return len(o.Breaches) > 0 }

// String is the outcome as a report's line.
func (o *Outcome) String() string {
	verdict := "passed"
	if o.Bad() {
		verdict = "FAILED"
	}
	played := 0
	for _, n := range o.Faults {
		played += n
	}
	var writes []string
	for _, k := range slices.Sorted(maps.Keys(o.Writes)) {
		writes = append(writes, fmt.Sprintf("%d %s", o.Writes[k], k))
	}
	text := fmt.Sprintf("seed %d %s in %.1fs: %d faults, writes %s; %d reads, one state %.1fs after healing", o.Seed, verdict, o.Took.Seconds(), played,
		strings.Join(writes, " "), o.Reads, o.Healed.Seconds())
	for _, b := range o.Breaches {
		text += "\n  " + b.String()
	}
	if o.Journal != "" {
		text += "\n  " + o.Journal
	}
	return text
}

// Play runs one plan. An error is one of the test's own, such as a program that does not start.
func Play(ctx context.Context, plan *faults.Plan, o Options) (*Outcome, error) {
	dir, err := os.MkdirTemp(o.Dir, fmt.Sprintf("seed%d-", plan.Seed))
	if err == nil {
		dir, err = filepath.Abs(dir) // a member works in a folder of its own
	}
	if err != nil {
		return nil, err
	}
	f, err := newFleet(plan, o.Binary, dir, o.World)
	if err != nil {
		return nil, err
	}
	f.log.note("test", "%v", plan)
	played := f.whole(ctx)
	f.close()
	out := f.judge()
	out.Took = f.log.now()
	if played != nil && len(out.Breaches) == 0 {
		f.log.note("test", "%v", played)
	}
	if out.Bad() || o.Keep || played != nil {
		if err := f.log.write(); err != nil {
			return nil, err
		}
		out.Journal = f.log.path
	} else {
		os.RemoveAll(dir)
	}
	if played != nil && !out.Bad() {
		return out, fmt.Errorf("seed %d: %w; %s", plan.Seed, played, out.Journal)
	}
	return out, nil
}

// whole is a run from its start to the one state that all must come to.
func (f *fleet) whole(ctx context.Context) error {
	if err := f.form(ctx); err != nil {
		return err
	}
	if f.limits != nil {
		if err := f.limits.found(ctx); err != nil {
			return err
		}
	}
	f.formed = f.log.now()
	f.log.note("test", "formed")
	watching, unwatch := context.WithCancel(ctx)
	var watchers, workers sync.WaitGroup
	for _, name := range f.names {
		watchers.Go(func() { f.watch(watching, name) })
	}
	working, rest := context.WithTimeout(ctx, f.plan.Length)
	for n := range f.plan.Clients {
		w := &worker{f: f, n: n, r: rand.New(rand.NewPCG(f.plan.Seed, 1000+uint64(n)))}
		workers.Go(func() { w.work(working) })
	}
	if f.limits != nil {
		workers.Go(func() { f.limits.change(working, ctx, rand.New(rand.NewPCG(f.plan.Seed, 2000))) })
		for n, name := range f.names {
			r := rand.New(rand.NewPCG(f.plan.Seed, 3000+uint64(n)))
			workers.Go(func() {
				if f.plan.Press > 0 {
					f.limits.press(working, f.members[name], f.plan.Press, anyPath)
					return
				}
				f.limits.demand(working, f.members[name], r)
			})
		}
	}
	f.conduct(working)
	<-working.Done()
	rest()
	f.heal()
	workers.Wait()
	if ctx.Err() == nil {
		f.settle(ctx)
	}
	unwatch()
	watchers.Wait()
	return ctx.Err()
}

// heal ends all that is wrong.
func (f *fleet) heal() {
	f.log.note("test", "heals")
	f.net.heal()
	f.mendRest()
	f.healed = f.log.now()
}

// Bounds of what must come about after healing.
const (
	settleTime = time.Minute
	againGap   = 100 * time.Millisecond
)

// settle asks for what is unknown, and waits until all members show one state with all that was acknowledged.
func (f *fleet) settle(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, settleTime)
	defer cancel()
	r := rand.New(rand.NewPCG(f.plan.Seed, 999))
	last := &history.Write{ID: "last", Changes: []history.Change{{Key: "worker/last", Value: "last"}}}
	f.seen.write(last)
	var all sync.WaitGroup
	for i, one := range append(f.seen.open(), last) {
		start := r.IntN(len(f.names))
		all.Go(func() {
			for n := 0; ; n++ {
				a := f.write(f.names[(start+n)%len(f.names)], one)
				if !a.Refused && !a.Unknown {
					return
				}
				select {
				case <-time.After(againGap):
				case <-ctx.Done():
					f.breach(history.TakesAgain, "write %s has no result %v after healing", one.ID, settleTime)
					return
				}
			}
		})
		if i%50 == 49 { // bounded
			all.Wait()
		}
	}
	all.Wait()
	newest := f.seen.newest()
	why := "nothing was shown"
	for ctx.Err() == nil {
		if why = f.unlike(newest); why == "" {
			f.took = f.log.now() - f.healed
			f.log.note("test", "all show one state")
			for _, name := range f.names {
				f.read(name, true)
			}
			return
		}
		select {
		case <-time.After(againGap):
		case <-ctx.Done():
		}
	}
	f.breach(history.Converges, "%v after healing: %s", settleTime, why)
}

// unlike reads all members at once and tells what keeps them from being of one state that is no older than a version.
func (f *fleet) unlike(newest uint64) string {
	reads := make([]history.Read, len(f.names))
	ok := make([]bool, len(f.names))
	var all sync.WaitGroup
	for i, name := range f.names {
		all.Go(func() { reads[i], ok[i] = f.read(name, false) })
	}
	all.Wait()
	for i, name := range f.names {
		switch {
		case !ok[i]:
			return name + " shows nothing"
		case reads[i].Version < newest:
			return fmt.Sprintf("%s shows version %d, version %d was acknowledged", name, reads[i].Version, newest)
		case reads[i].Version != reads[0].Version || reads[i].Hash != reads[0].Hash:
			return fmt.Sprintf("%s shows version %d, %s version %d", name, reads[i].Version, reads[0].Process, reads[0].Version)
		}
	}
	return ""
}

// clockSlack is how far ahead of this test's clock the record's time may be; all clocks here are one.
const clockSlack = 50 * time.Millisecond

// judge checks what was seen.
func (f *fleet) judge() *Outcome {
	h := &f.seen.history
	h.ClockSlack = clockSlack
	out := &Outcome{Seed: f.plan.Seed, Healed: f.took, Reads: len(h.Reads), Writes: map[string]int{}}
	out.Faults, out.Overlaps = f.seen.faults()
	out.Breaches = append(out.Breaches, f.seen.breaches...)
	for _, b := range history.Check(h) {
		f.log.note("test", "BROKEN %s", b)
		out.Breaches = append(out.Breaches, b)
	}
	if f.limits != nil {
		for _, b := range f.limits.judge() {
			f.log.note("test", "BROKEN %s", b)
			out.Breaches = append(out.Breaches, b)
		}
	}
	for _, w := range h.Writes {
		became := "unsent"
		for _, a := range w.Attempts {
			switch {
			case a.Refused && became == "unsent":
				became = "refused"
			case a.Refused:
			case a.Unknown:
				became = "unknown"
			default:
				became = a.Outcome
			}
			if !a.Refused && !a.Unknown {
				break
			}
		}
		out.Writes[became]++
	}
	return out
}

// healthy asks the sidecar for its health, where it has an address for clients: it must answer.
func (f *fleet) healthy(ctx context.Context, m *member) error {
	if m.clients == "" {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+m.clients+"/_health", nil)
	if err != nil {
		return err
	}
	resp, err := f.client.http.Do(r)
	if err != nil {
		return err
	}
	resp.Body.Close()
	// 503 is its answer while it knows no worker, and there is none in a run.
	if resp.StatusCode != http.StatusOK && resp.StatusCode != http.StatusServiceUnavailable {
		return fmt.Errorf("status %d", resp.StatusCode)
	}
	return nil
}

// Root finds the module's root from a folder in it.
func Root(from string) (string, error) {
	for dir, err := filepath.Abs(from); err == nil; {
		if _, err := os.Stat(filepath.Join(dir, "go.mod")); err == nil {
			return dir, nil
		}
		up := filepath.Dir(dir)
		if up == dir {
			break
		}
		dir = up
	}
	return "", fmt.Errorf("%s is in no module", from)
}
