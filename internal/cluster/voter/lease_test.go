package voter

import (
	"context"
	"errors"
	"strings"
	"testing"
	"time"

	"burlpass/internal/cluster/api"
	"burlpass/internal/lease"
	"burlpass/internal/record"
)

// newLimitedCluster opens a cluster with one limit for each order in the record.
func newLimitedCluster(t testing.TB, n int) *cluster {
	c := newCluster(t, n)
	c.limits = func(v record.View) (all []lease.Limit) {
		v.Each(record.OrderKind, func(i record.Item) bool {
			all = append(all, lease.Limit{ID: i.Key, Kind: lease.Rate, Amount: 1_000_000})
			return true
		})
		return all
	}
	c.open()
	return c
}

// waitGranted sends lease requests until a part of a limit is granted, and returns the amount.
func (d *node) waitGranted(h *lease.Holder, id string) int64 {
	d.c.t.Helper()
	var n int64
	d.c.eventually("a lease of "+id, func() bool {
		now := time.Duration(time.Now().UnixNano())
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		a, err := d.v.Lease(ctx, h.Ask(now, now, func(*lease.Held) lease.Use { return lease.Use{Demand: 1_000_000, Most: -1} }))
		if err != nil && !errors.Is(err, api.ErrRefused) {
			d.c.t.Fatal(err)
		}
		if err == nil {
			h.Answer(&a)
		}
		n, _, _ = h.Held(id).Now(now, now)
		return n > 0
	})
	return n
}

// TestLeasesSurviveFailover kills the leader. The next one must keep the lease of its holder, and must not grant the same amount
// to another holder before that lease could have expired.
func TestLeasesSurviveFailover(t *testing.T) {
	c := newLimitedCluster(t, 3)
	first := c.leader()
	first.write("a", "w", 0)
	l := lease.Limit{ID: "worker/w", Kind: lease.Rate, Amount: 1_000_000}
	h := lease.NewHolder("p/1", 0)
	h.Set([]lease.Limit{l})
	if got := c.others(first)[0].waitGranted(h, l.ID); got != l.Leased() {
		t.Errorf("granted through another voter: %d, expected %d", got, l.Leased())
	}
	epoch := h.Epoch()
	first.kill()
	second := c.leader(c.others(first)...)
	began := time.Now()
	c.eventually("another epoch", func() bool { second.waitGranted(h, l.ID); return h.Epoch() > epoch })
	if got := second.waitGranted(h, l.ID); got != l.Leased() {
		t.Errorf("granted by the next leader: %d, expected %d", got, l.Leased())
	}
	other := lease.NewHolder("q/1", 0)
	other.Set([]lease.Limit{l})
	if second.waitGranted(other, l.ID); time.Since(began) < lease.Length-lease.Length/4 {
		t.Errorf("granted to another holder %v after the election", time.Since(began))
	}
}

// TestLeaseNeedsAMajority isolates the leader: it cannot prove that it still leads, so it must not grant leases. A cluster
// without limits refuses lease requests.
func TestLeaseNeedsAMajority(t *testing.T) {
	c := newLimitedCluster(t, 3)
	leader := c.leader()
	leader.write("a", "w", 0)
	h := lease.NewHolder("p/1", 0)
	h.Set([]lease.Limit{{ID: "worker/w", Kind: lease.Rate, Amount: 1_000_000}})
	leader.waitGranted(h, "worker/w")
	c.isolate(leader, true)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	if a, err := leader.v.Lease(ctx, h.Ask(0, 0, func(*lease.Held) lease.Use { return lease.Use{Demand: 1, Most: -1} })); !errors.Is(err, api.ErrRefused) {
		t.Error(a, err)
	}
	c.isolate(leader, false)
	one := newCluster(t, 1)
	one.open()
	if _, err := one.nodes[0].v.Lease(ctx, lease.Ask{Holder: "p", Number: 1}); err == nil || !strings.Contains(err.Error(), "no limits are divided") {
		t.Error(err)
	}
}
