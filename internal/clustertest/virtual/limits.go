package virtual

import (
	"bytes"
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"burlpass/internal/clustertest/leases"
	"burlpass/internal/lease"
	"burlpass/internal/limits"
	"burlpass/internal/record"
	"burlpass/internal/sim"
)

// The limits of a run. They stand from the beginning and do not change.
const (
	rateKey    = "rate"
	callsKey   = "calls"
	reserveKey = "reserve"
)

func fleetLimits(record.View) []lease.Limit {
	return []lease.Limit{
		{ID: rateKey, Kind: lease.Rate, Amount: 400_000, Cut: lease.Cut{Mode: lease.Nothing}},
		{ID: callsKey, Kind: lease.Calls, Amount: 40, Cut: lease.Cut{Mode: lease.Nothing}},
		{ID: reserveKey, Kind: lease.Calls, Amount: 50, Cut: lease.Cut{Mode: lease.Reserve, Share: 300, Among: 15}},
	}
}

// virtualMachine is an edit: what the lines of leases are told by is the bubble's clock, which all members share.
func virtualMachine() sim.Edit {
	return sim.Edit{File: "internal/limits/clock_linux.go", Old: "	return time.Duration(t.Nano())\n", New: "	return time.Duration(time.Now().UnixNano())\n"}
}

// ledger collects what members say of their leases, and the calls under way.
type ledger struct {
	mu    sync.Mutex
	all   []leases.Lease
	under map[string]int64 // calls under way, by limit
	most  map[string]int64
	let   int // calls
}

func newLedger() *ledger { return &ledger{under: map[string]int64{}, most: map[string]int64{}} }

// over gives what broke a limit: leases that add up to more, or more calls under way than there may be.
func (g *ledger) over() (out []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	var set []leases.Setting
	for _, l := range fleetLimits(nil) {
		set = append(set, leases.Setting{Limit: l.ID, Amount: l.Leased()})
	}
	for _, o := range leases.Check(g.all, set) {
		out = append(out, o.String())
	}
	for _, l := range fleetLimits(nil) {
		if l.Kind == lease.Calls && g.most[l.ID] > l.Amount {
			out = append(out, l.ID+": more calls under way than the limit")
		}
	}
	return out
}

func (g *ledger) call(by int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, id := range []string{callsKey, reserveKey} {
		g.under[id] += by
		g.most[id] = max(g.most[id], g.under[id])
	}
	if by > 0 {
		g.let++
	}
}

// demand is one life's use of the limits, until it ends: its code runs on after a loss of power, and counts for nothing then.
type demand struct {
	*limits.Limits
	g    *ledger
	stop context.CancelFunc
	all  sync.WaitGroup

	mu   sync.Mutex
	dead bool
	open int64
}

// use has a life ask for leases and make calls, at a pace that changes.
func use(g *ledger, m limits.Member, name string, r *rand.Rand) *demand {
	d := &demand{g: g}
	d.Limits = limits.New(limits.Config{Member: m, Name: name, Tail: time.Second, Log: slog.New(slog.NewTextHandler(d, &slog.HandlerOptions{Level: slog.LevelDebug,
		ReplaceAttr: func(_ []string, a slog.Attr) slog.Attr {
			if a.Key == slog.MessageKey {
				a.Key = "event"
			}
			return a
		}}))})
	d.Set(fleetLimits(nil))
	var ctx context.Context
	ctx, d.stop = context.WithCancel(context.Background())
	d.all.Go(func() { d.Run(ctx) })
	d.all.Go(func() { d.make(ctx, r) })
	return d
}

// Write is given the lines of leases.
func (d *demand) Write(text []byte) (int, error) {
	l, ok := leases.Parse(string(bytes.TrimSpace(text)))
	d.mu.Lock()
	dead := d.dead
	d.mu.Unlock()
	if ok && !dead {
		d.g.mu.Lock()
		d.g.all = append(d.g.all, l)
		d.g.mu.Unlock()
	}
	return len(text), nil
}

// paces are calls a second that a member is asked for.
func paces() []int { return []int{0, 5, 20, 60} }

func (d *demand) make(ctx context.Context, r *rand.Rand) {
	for ctx.Err() == nil {
		pace := paces()[r.IntN(len(paces()))]
		for end := time.Now().Add(time.Duration(r.Int64N(int64(4 * time.Second)))); time.Now().Before(end) && ctx.Err() == nil; {
			gap := 100 * time.Millisecond
			if pace > 0 {
				gap = time.Duration(r.ExpFloat64() * float64(time.Second) / float64(pace))
				lasts := time.Duration(r.Int64N(int64(900 * time.Millisecond)))
				if t, _, ok := d.Take([]string{rateKey, callsKey, reserveKey}, time.Second); ok {
					d.count(1)
					d.all.Go(func() {
						time.Sleep(lasts)
						d.Done(t)
						d.count(-1)
					})
				}
			}
			select {
			case <-time.After(min(gap, time.Second)):
			case <-ctx.Done():
			}
		}
	}
}

// count has one call more or less under way.
func (d *demand) count(by int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.dead {
		d.open += by
		d.g.call(by)
	}
}

// die ends what counts of it: calls under way end with their process.
func (d *demand) die() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.dead = true
	d.g.mu.Lock()
	for _, id := range []string{callsKey, reserveKey} {
		d.g.under[id] -= d.open
	}
	d.g.mu.Unlock()
}

// close gives back what is held.
func (d *demand) close() {
	d.stop()
	d.all.Wait()
}
