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

// leader divides in memory, at once. While it is away it refuses.
type leader struct {
	mu    sync.Mutex
	book  *lease.Book
	began time.Time
	away  bool
	asked chan lease.Ask
}

func newLeader(limits ...lease.Limit) *leader {
	l := &leader{book: lease.NewBook(1, time.Second), began: time.Now().Add(-time.Hour), asked: make(chan lease.Ask, 1000)}
	l.book.Set(time.Second, limits)
	return l
}

func (l *leader) Lease(_ context.Context, ask lease.Ask) (lease.Answer, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.away {
		return lease.Answer{}, errors.New("away")
	}
	r := l.book.Answer(time.Since(l.began), []lease.Ask{ask})[0]
	select {
	case l.asked <- ask:
	default:
	}
	return r.Answer, nil
}

func run(l *Limits) (end func()) {
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

func eventually(t *testing.T, what string, is func() bool) {
	t.Helper()
	for end := time.Now().Add(time.Minute); !is(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("never: " + what)
		}
	}
}

// A process has nothing, its part, or no limit before its first lease, then what it is given; at its end it gives that back.
func TestCutOffAndLeased(t *testing.T) {
	limits := []lease.Limit{
		{ID: "nothing", Kind: lease.Calls, Amount: 2},
		{ID: "reserve", Kind: lease.Calls, Amount: 100, Cut: lease.Cut{Mode: lease.Reserve, Share: 500, Among: 50}},
		{ID: "open", Kind: lease.Calls, Amount: 1, Cut: lease.Cut{Mode: lease.Open}},
	}
	d := newLeader(limits...)
	var text bytes.Buffer
	l := New(Config{Member: d, Name: "p", Tail: time.Second, Log: slog.New(slog.NewTextHandler(&text, &slog.HandlerOptions{Level: slog.LevelDebug}))})
	l.Set(limits)
	for id, want := range map[string]int{"nothing": 0, "reserve": 1, "open": 20, "none": 20} {
		if got := letIn(l, id); got != want {
			t.Errorf("%s, cut off: %d calls let in, not %d", id, got, want)
		}
	}
	if _, wait, ok := l.Take([]string{"open"}, 2*time.Second); ok || wait != 0 {
		t.Error("a call that may outlast the tail was let in", wait)
	}
	end := run(l)
	eventually(t, "a lease", func() bool {
		ticket, _, ok := l.Take([]string{"nothing"}, 0)
		l.Done(ticket)
		return ok
	})
	if got := letIn(l, "nothing"); got == 0 || got > 2 {
		t.Errorf("leased: %d calls let in", got)
	}
	end()
	if got := letIn(l, "nothing"); got != 0 {
		t.Errorf("after its end: %d calls let in", got)
	}
	var last lease.Ask
	for len(d.asked) > 0 {
		last = <-d.asked
	}
	if !last.Leaves {
		t.Errorf("nothing was given back: %+v", last)
	}
	if !strings.Contains(text.String(), "msg=lease limit=nothing holder="+l.Holder()+" amount=") || !strings.Contains(text.String(), "msg=lease_ended limit=nothing") {
		t.Error("a lease's begin and end are not in the log:\n" + text.String())
	}
}

// letIn is how many of 20 calls are let in together.
func letIn(l *Limits, id string) (n int) {
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

// A call that one limit refuses uses up nothing of the others.
func TestAllOrNone(t *testing.T) {
	limits := []lease.Limit{{ID: "calls", Kind: lease.Calls, Amount: 3, Cut: lease.Cut{Mode: lease.Reserve, Share: 1000}},
		{ID: "rate", Kind: lease.Rate, Amount: 1000, Cut: lease.Cut{Mode: lease.Reserve, Share: 1000}}}
	l := New(Config{Name: "p"})
	l.Set(limits)
	both := []string{"calls", "rate"}
	if _, wait, ok := l.Take(both, 0); ok || wait <= 0 || wait > 1100*time.Millisecond {
		t.Error("an empty bucket let a call in, or says a wrong time", wait, ok)
	}
	if got := letIn(l, "calls"); got != 3 {
		t.Errorf("%d places are left, not 3", got)
	}
	l.clockBase = l.clockBase.Add(-time.Hour) // as if
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
		t.Error("a refused call used up a token")
	}
	l.Done(held[0])
	if n := l.buckets["calls"].inFlight; n != 2 {
		t.Errorf("%d calls are under way, not 2", n)
	}
}

func four() (*Limits, []string) {
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
	l, ids := four()
	if n := testing.AllocsPerRun(1000, func() {
		ticket, _, _ := l.Take(ids, time.Second)
		l.Done(ticket)
	}); n != 0 {
		t.Errorf("%v allocations", n)
	}
}

func BenchmarkTake(b *testing.B) {
	l, ids := four()
	b.ReportAllocs()
	for b.Loop() {
		ticket, _, _ := l.Take(ids, time.Second)
		l.Done(ticket)
	}
}

// Many goroutines take at once, and never more than the limit are in.
func TestConcurrent(t *testing.T) {
	l := New(Config{Name: "p"})
	l.Set([]lease.Limit{{ID: "c", Kind: lease.Calls, Amount: 4, Cut: lease.Cut{Mode: lease.Reserve, Share: 1000}}})
	var in, most, all int
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
				in, all = in+1, all+1
				most = max(most, in)
				mu.Unlock()
				mu.Lock()
				in--
				mu.Unlock()
				l.Done(ticket)
			}
		}()
	}
	done.Wait()
	if most > 4 || all == 0 || l.buckets["c"].inFlight != 0 {
		t.Errorf("%d at once, %d in all, %d left", most, all, l.buckets["c"].inFlight)
	}
}
