package orders

import (
	"context"
	"log/slog"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"burlpass/internal/cluster/api"
	"burlpass/internal/cluster/replica"
	"burlpass/internal/maintenance"
	"burlpass/internal/record"
	"github.com/google/go-cmp/cmp"
)

// member is a one-member cluster in memory whose writes can be made to fail.
type member struct {
	mu       sync.Mutex
	r        *replica.Replica
	fault    func() (lost bool, err error) // lost: the write is applied, but its result is lost
	attempts map[string]int                // number of attempts, by write id
}

func newMember() *member {
	return &member{r: replica.New(record.New(record.DefaultBounds(), record.Orders()), 0, 0), attempts: map[string]int{}}
}

func (m *member) Write(ctx context.Context, w *record.Write) (record.Result, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.attempts[w.ID]++
	var err error
	if m.fault != nil {
		var lost bool
		if lost, err = m.fault(); err != nil && !lost {
			return record.Result{}, err
		}
	}
	raw, bad := record.Encode(&record.Entry{Write: w})
	if bad != nil {
		return record.Result{}, bad
	}
	result, bad := m.r.Apply(raw)
	if bad != nil {
		return record.Result{}, bad
	}
	return result, err
}

func (m *member) Replica() *replica.Replica { return m.r }

func (m *member) setFault(f func() (bool, error)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.fault = f
}

// process is a Keeper with the sets that it has applied and the orders that it has saved.
type process struct {
	*Keeper
	sets  chan string // the set in force after each change
	mu    sync.Mutex
	saved []byte
}

func start(t *testing.T, m Member, saved []byte, before ...string) *process {
	t.Helper()
	return startAs(t, "test", m, saved, before...)
}

// startAs is start for a process whose orders have the given author.
func startAs(t *testing.T, by string, m Member, saved []byte, before ...string) *process {
	t.Helper()
	p := &process{sets: make(chan string, 1000), saved: saved}
	var was maintenance.Set
	for _, id := range before {
		was.Disable(id)
	}
	p.Keeper = New(Config{Member: m, By: by, Start: was, Log: slog.New(slog.DiscardHandler),
		Apply: func(s maintenance.Set) { p.sets <- strings.Join(append(s.WorkerIDs(), s.Zones()...), ",") },
		Load: func() ([]byte, error) {
			if p.saved == nil {
				return nil, os.ErrNotExist
			}
			return p.saved, nil
		},
		Save: func(b []byte) error { p.mu.Lock(); defer p.mu.Unlock(); p.saved = b; return nil },
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); p.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	return p
}

// waitFor waits until a set is in force.
func (p *process) waitFor(t *testing.T, want string) {
	t.Helper()
	last := "none"
	for end := time.After(20 * time.Second); last != want; {
		select {
		case last = <-p.sets:
		case <-end:
			t.Fatalf("in force is %q, want %q", last, want)
		}
	}
}

func TestOrderHoldsEverywhere(t *testing.T) {
	m := newMember()
	a, b := start(t, m, encode(nil)), start(t, m, encode(nil))
	if got := a.Order(context.Background(), Worker("s-1"), true); got != Everywhere {
		t.Fatal(got)
	}
	a.waitFor(t, "s-1")
	b.waitFor(t, "s-1")
	b.Order(context.Background(), Hall("hall-a"), true)
	a.waitFor(t, "s-1,hall-a")
	b.Order(context.Background(), Worker("s-1"), false) // reverts an order that was given at another process
	a.waitFor(t, "hall-a")
}

// An order that cannot be committed takes effect here at once, and everywhere once the cluster is available.
func TestOrderWhileCutOff(t *testing.T) {
	m := newMember()
	m.setFault(func() (bool, error) { return false, api.ErrRefused })
	a, b := start(t, m, encode(nil)), start(t, m, encode(nil))
	if got := a.Order(context.Background(), Worker("s-1"), true); got != Here {
		t.Fatal(got)
	}
	a.waitFor(t, "s-1")
	m.setFault(nil)
	b.waitFor(t, "s-1")
	b.Order(context.Background(), Worker("s-1"), false)
	a.waitFor(t, "")
}

// A write whose result is lost must be retried under the same id, so that it is applied only once.
func TestLostAnswer(t *testing.T) {
	m := newMember()
	lost := 0
	m.setFault(func() (bool, error) {
		if lost++; lost <= 3 {
			return true, api.ErrUnknown
		}
		return false, nil
	})
	a := start(t, m, encode(nil))
	if got := a.Order(context.Background(), Worker("s-1"), true); got != Here {
		t.Fatal(got)
	}
	for end := time.Now().Add(20 * time.Second); a.pendingCount() > 0 && time.Now().Before(end); {
		time.Sleep(5 * time.Millisecond)
	}
	item, _ := m.r.View().Get(orderKind, "worker/s-1")
	if item.Version != 1 || len(m.attempts) != 1 {
		t.Errorf("set at %d by %d writes, want 1 by 1", item.Version, len(m.attempts))
	}
}

func (p *process) pendingCount() int {
	p.Keeper.mu.Lock()
	defer p.Keeper.mu.Unlock()
	p.applyLocked()
	return len(p.pending)
}

// The last order at a process wins, even if the write of the one before it arrives later.
func TestLaterOrderWins(t *testing.T) {
	m := newMember()
	m.setFault(func() (bool, error) { return false, api.ErrUnknown })
	a := start(t, m, encode(nil))
	a.Order(context.Background(), Worker("s-1"), true)
	a.Keeper.mu.Lock()
	delayed := a.pending[0].toWrite("test") // in transit
	a.Keeper.mu.Unlock()
	m.setFault(nil)
	if got := a.Order(context.Background(), Worker("s-1"), false); got != Everywhere {
		t.Fatal(got)
	}
	if r, _ := m.Write(context.Background(), delayed); r.Outcome == record.Applied {
		t.Error("the earlier order took effect after the later one")
	}
	if _, there := m.r.View().Get(orderKind, "worker/s-1"); there {
		t.Error("the worker is disabled")
	}
}

func TestNextProcess(t *testing.T) {
	t.Run("pending orders are retried under their id", func(t *testing.T) {
		m := newMember()
		kept := []*pendingOrder{newOrder(Worker("s-1"), true)}
		start(t, m, encode(kept)).waitFor(t, "s-1")
		for end := time.Now().Add(20 * time.Second); m.r.View().Version() == 0 && time.Now().Before(end); {
			time.Sleep(5 * time.Millisecond)
		}
		if _, known := m.r.View().Result(kept[0].ID); !known {
			t.Error("written under another id")
		}
	})
	t.Run("workers disabled before there was a cluster are ordered to it", func(t *testing.T) {
		m := newMember()
		a, b := start(t, m, nil, "s-1", "s-2"), start(t, m, encode(nil))
		b.waitFor(t, "s-1,s-2")
		a.waitFor(t, "s-1,s-2")
	})
	t.Run("orders that the cluster has reverted are dropped", func(t *testing.T) {
		m := newMember()
		start(t, m, encode(nil), "s-1").waitFor(t, "")
	})
	t.Run("a foreign file is rejected", func(t *testing.T) {
		if got, err := decode([]byte(`{"kind":"other"}`)); err == nil || cmp.Diff([]*pendingOrder(nil), got) != "" {
			t.Error(got, err)
		}
	})
}
