package orders

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"testing"
	"time"

	"burlpass/internal/cluster/api"
	"burlpass/internal/cluster/replica"
	"burlpass/internal/maintenance"
	"burlpass/internal/record"
)

// cutOffMember is a member that can be cut off from a cluster: its writes fail, and its copy of the record stays as it was.
type cutOffMember struct {
	cluster *member
	cut     chan struct{} // closed when it is connected again
	copied  *replica.Replica
}

// cutOff returns a member with a copy of what the cluster holds now.
func cutOff(t *testing.T, m *member, entries [][]byte) *cutOffMember {
	t.Helper()
	c := &cutOffMember{cluster: m, cut: make(chan struct{}), copied: replica.New(record.New(record.DefaultBounds(), record.Orders()), 0, 0)}
	for _, raw := range entries {
		if _, err := c.copied.Apply(raw); err != nil {
			t.Fatal(err)
		}
	}
	return c
}

func (c *cutOffMember) isCut() bool {
	select {
	case <-c.cut:
		return false
	default:
		return true
	}
}

func (c *cutOffMember) Write(ctx context.Context, w *record.Write) (record.Result, error) {
	if c.isCut() {
		return record.Result{}, api.ErrRefused
	}
	return c.cluster.Write(ctx, w)
}

func (c *cutOffMember) Replica() *replica.Replica {
	if c.isCut() {
		return c.copied
	}
	return c.cluster.r
}

// Guards against an older order to put a worker back that undoes a newer one to take it out: review/7. Also after a restart.
func TestOlderEnableGivesWay(t *testing.T) {
	for _, restart := range []bool{false, true} {
		t.Run(fmt.Sprintf("restart: %v", restart), func(t *testing.T) {
			m := newMember()
			disable := &record.Entry{Write: newOrder(Worker("s-1"), true).toWrite("v2")}
			raw, err := record.Encode(disable)
			if err != nil {
				t.Fatal(err)
			}
			m.r.Apply(raw)
			c := cutOff(t, m, [][]byte{raw})
			a, b := startAs(t, "v1", c, encode(nil)), startAs(t, "v2", m, encode(nil))
			a.waitFor(t, "s-1")
			if got := a.Order(context.Background(), Worker("s-1"), false); got != Here {
				t.Fatal(got)
			}
			a.waitFor(t, "")
			if got := b.Order(context.Background(), Worker("s-1"), true); got != Everywhere {
				t.Fatal(got)
			}
			close(c.cut)
			if restart {
				a.mu.Lock()
				saved := a.saved
				a.mu.Unlock()
				a = startAs(t, "v1", c, saved)
			}
			a.waitFor(t, "s-1")
			for end := time.Now().Add(20 * time.Second); a.pendingCount() > 0 && time.Now().Before(end); {
				time.Sleep(5 * time.Millisecond)
			}
			if _, out := m.r.View().Get(orderKind, "worker/s-1"); !out {
				t.Error("the worker is back, which nobody asked for after it was taken out")
			}
			if got := a.Order(context.Background(), Worker("s-1"), false); got != Everywhere { // it knows now
				t.Errorf("the order given again: %s", got)
			}
			b.waitFor(t, "")
		})
	}
}

// Whatever the order of two orders that did not know of each other, a target that one of them was promised to be out stays out, and
// an operator whose order does not hold is told so.
func TestConcurrentOrders(t *testing.T) {
	random := rand.New(rand.NewPCG(7, 56))
	for range 200 {
		m := newMember()
		scopes := []string{}
		view := m.r.View().Version()
		promisedOut := false
		for i := range 2 + random.IntN(3) { // each rests on the same version
			k := &Keeper{Config: Config{Member: m, By: fmt.Sprintf("v%d", i), Log: slog.New(slog.DiscardHandler), Apply: func(maintenance.Set) {}, Save: func([]byte) error { return nil }}, wake: make(chan struct{}, 1)}
			p := newOrder(Worker("s-1"), random.IntN(2) == 0)
			p.Base = view
			k.pending = []*pendingOrder{p}
			committed := k.commit(context.Background(), p)
			scopes = append(scopes, fmt.Sprint(p.Disabled, committed, p.superseded))
			promisedOut = promisedOut || p.Disabled && committed
			if !committed && !p.superseded {
				t.Fatalf("%v: an order without a result", scopes)
			}
		}
		if _, out := m.r.View().Get(orderKind, "worker/s-1"); out != promisedOut {
			t.Fatalf("%v: out is %v, promised %v", scopes, out, promisedOut)
		}
	}
}
