package limits

import (
	"bytes"
	"context"
	"errors"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"burlpass/internal/lease"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// leader is a cluster member that answers lease requests in memory, at once. It fails them while it is unavailable.
type leader struct {
	mu          sync.Mutex
	book        *lease.Book
	startedAt   time.Time
	unavailable bool
	requests    chan lease.Ask
}

func newLeader(limits ...lease.Limit) *leader {
	l := &leader{book: lease.NewBook(1, time.Second), startedAt: time.Now().Add(-time.Hour), requests: make(chan lease.Ask, 1000)}
	l.book.Set(time.Second, limits)
	return l
}

func (l *leader) Lease(_ context.Context, ask lease.Ask) (lease.Answer, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.unavailable {
		return lease.Answer{}, errors.New("unavailable")
	}
	r := l.book.Answer(time.Since(l.startedAt), []lease.Ask{ask})[0]
	select {
	case l.requests <- ask:
	default:
	}
	return r.Answer, nil
}

// start runs l in the background; stop ends it and waits.
func start(l *Limits) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		l.Run(ctx)
	}()
	return func() {
		cancel()
		<-done
	}
}

// eventually waits up to a minute for a condition.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(time.Minute); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("did not happen: " + what)
		}
	}
}

// Before its first lease a process is held to what the limit's Cut says, then to its lease; at its end it must return the lease, which
// would otherwise stay unused until it expires.
func TestCutOffAndLeased(t *testing.T) {
	limits := []lease.Limit{
		{ID: "nothing", Kind: lease.Calls, Amount: 2},
		{ID: "reserve", Kind: lease.Calls, Amount: 100, Cut: lease.Cut{Mode: lease.Reserve, Share: 500, Among: 50}},
		{ID: "open", Kind: lease.Calls, Amount: 1, Cut: lease.Cut{Mode: lease.Open}},
	}
	d := newLeader(limits...)
	var logs bytes.Buffer
	l := New(Config{Member: d, Name: "p", Tail: time.Second, Log: slog.New(slog.NewTextHandler(&logs, &slog.HandlerOptions{Level: slog.LevelDebug}))})
	l.Set(limits)
	for id, want := range map[string]int{"nothing": 0, "reserve": 1, "open": 20, "none": 20} {
		if got := countAdmitted(l, id); got != want {
			t.Errorf("%s, cut off: %d calls admitted, want %d", id, got, want)
		}
	}
	if _, wait, ok := l.Take([]string{"open"}, 2*time.Second); ok || wait != 0 {
		t.Error("a call with a budget over the tail was admitted", wait)
	}
	stop := start(l)
	eventually(t, "a lease", func() bool {
		ticket, _, ok := l.Take([]string{"nothing"}, 0)
		l.Done(ticket)
		return ok
	})
	if got := countAdmitted(l, "nothing"); got == 0 || got > 2 {
		t.Errorf("leased: %d calls admitted", got)
	}
	stop()
	if got := countAdmitted(l, "nothing"); got != 0 {
		t.Errorf("after the end: %d calls admitted", got)
	}
	var last lease.Ask
	for len(d.requests) > 0 {
		last = <-d.requests
	}
	if !last.Leaves {
		t.Errorf("the last request does not return the leases: %+v", last)
	}
	if !strings.Contains(logs.String(), "msg=lease limit=nothing holder="+l.Holder()+" amount=") || !strings.Contains(logs.String(), "msg=lease_ended limit=nothing") {
		t.Error("the log lacks the begin or the end of a lease:\n" + logs.String())
	}
	if !strings.Contains(logs.String(), "msg=lease limit=nothing holder="+l.Holder()+" amount=0 ") {
		t.Error("the log does not tell that the lease was returned:\n" + logs.String())
	}
}

// countAdmitted returns how many of 20 concurrent calls are admitted.
func countAdmitted(l *Limits, id string) (n int) {
	var all []Ticket
	for range 20 {
		if t, _, ok := l.Take([]string{id}, 0); ok {
			n++
			all = append(all, t)
		}
	}
	for _, t := range all {
		l.Done(t)
	}
	return n
}

// A call that one limit refuses must not consume anything of the other limits.
func TestAllOrNone(t *testing.T) {
	limits := []lease.Limit{{ID: "calls", Kind: lease.Calls, Amount: 3, Cut: lease.Cut{Mode: lease.Reserve, Share: 1000}},
		{ID: "rate", Kind: lease.Rate, Amount: 1000, Cut: lease.Cut{Mode: lease.Reserve, Share: 1000}}}
	l := New(Config{Name: "p"})
	l.Set(limits)
	both := []string{"calls", "rate"}
	if _, wait, ok := l.Take(both, 0); ok || wait <= 0 || wait > 1100*time.Millisecond {
		t.Error("an empty bucket admitted a call, or returned a wrong wait time", wait, ok)
	}
	if got := countAdmitted(l, "calls"); got != 3 {
		t.Errorf("%d calls admitted, want 3", got)
	}
	l.clockBase = l.clockBase.Add(-time.Hour) // simulates an hour that has passed
	b := l.buckets["rate"]
	b.limiter.SetBurst(10)
	b.limiter.AllowN(time.Now().Add(-10*time.Second), 0)
	before := b.limiter.TokensAt(time.Now())
	var held []Ticket
	for range 3 {
		ticket, _, _ := l.Take([]string{"calls"}, 0)
		held = append(held, ticket)
	}
	if _, _, ok := l.Take(both, 0); ok || b.limiter.TokensAt(time.Now()) < before {
		t.Error("a refused call consumed a token")
	}
	l.Done(held[0])
	if n := l.buckets["calls"].inFlight; n != 2 {
		t.Errorf("%d calls in flight, want 2", n)
	}
}

// newWithFourLimits returns Limits with two rates and two limits of calls, none of which is reached, and their ids.
func newWithFourLimits() (*Limits, []string) {
	var limits []lease.Limit
	var ids []string
	for _, id := range []string{"*/*/*#rate#a", "athens/*/*#rate#b", "athens/*/booking#calls#c", "*/*/*#calls#d"} {
		kind := lease.Rate
		if strings.Contains(id, "calls") {
			kind = lease.Calls
		}
		limits = append(limits, lease.Limit{ID: id, Kind: kind, Amount: 1 << 40, Cut: lease.Cut{Mode: lease.Reserve, Share: 1000}})
		ids = append(ids, id)
	}
	l := New(Config{Name: "p"})
	l.Set(limits)
	return l, ids
}

func TestTakeAllocatesNothing(t *testing.T) {
	l, ids := newWithFourLimits()
	if n := testing.AllocsPerRun(1000, func() {
		ticket, _, _ := l.Take(ids, time.Second)
		l.Done(ticket)
	}); n != 0 {
		t.Errorf("%v allocations", n)
	}
}

func BenchmarkTake(b *testing.B) {
	l, ids := newWithFourLimits()
	b.ReportAllocs()
	for b.Loop() {
		ticket, _, _ := l.Take(ids, time.Second)
		l.Done(ticket)
	}
}

// Guards against a race in Take and Done that admits more concurrent calls than the limit.
func TestConcurrent(t *testing.T) {
	l := New(Config{Name: "p"})
	l.Set([]lease.Limit{{ID: "c", Kind: lease.Calls, Amount: 4, Cut: lease.Cut{Mode: lease.Reserve, Share: 1000}}})
	var in, peak, total int
	var mu sync.Mutex
	var done sync.WaitGroup
	for range 8 {
		done.Add(1)
		go func() {
			defer done.Done()
			for range 2000 {
				ticket, _, ok := l.Take([]string{"c"}, 0)
				if !ok {
					continue
				}
				mu.Lock()
				in, total = in+1, total+1
				peak = max(peak, in)
				mu.Unlock()
				mu.Lock()
				in--
				mu.Unlock()
				l.Done(ticket)
			}
		}()
	}
	done.Wait()
	if peak > 4 || total == 0 || l.buckets["c"].inFlight != 0 {
		t.Errorf("%d at once, %d in total, %d still in flight", peak, total, l.buckets["c"].inFlight)
	}
}
