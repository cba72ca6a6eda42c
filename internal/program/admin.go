package program

import (
	"context"
	"sync/atomic"
	"time"

	"burlpass/internal/maintenance"
	"burlpass/internal/operator"
	"burlpass/internal/orders"
	"burlpass/internal/protocol"
	"burlpass/internal/routing"
)

// adminHandler executes the admin listener's commands on a running sidecar.
type adminHandler struct {
	s        *Sidecar
	router   *routing.Router
	stopping *atomic.Bool // SIGTERM has arrived, so the process is no longer ready
	stats    *protocol.Counters
	server   *protocol.Server

	orders        *sharedOrders
	clusterOrders *orders.Keeper // maintenance orders of the cluster; nil without a cluster
}

// Ready reports whether the process serves calls, knows the sidecar's orders, and is not stopping.
func (h *adminHandler) Ready() bool {
	return !h.stopping.Load() && h.router.Healthy() && h.orders.load()
}

// Stats returns the call counters as JSON.
func (h *adminHandler) Stats() []byte {
	var report protocol.StatsReport
	h.stats.FillStats(h.s.config.Names.Classes, &report)
	report.Inflight = h.router.OpenCalls()
	report.HostsListed, report.HostsDown = h.router.WorkerCounts()
	report.ListAgeMs = h.router.ListAge().Milliseconds()
	report.Memory = h.s.memory.Report()
	report.Load = h.server.LoadReport()
	report.RunDelay = readRunDelays()
	return report.JSON()
}

// saveTimeout bounds how long an order may wait for the file that the sidecar's processes share; the rest of
// operator.OrderTimeout is left for applying it.
const saveTimeout = operator.OrderTimeout - 200*time.Millisecond

// ApplyMaintenance applies a maintenance order to this sidecar, at all of its processes. In a cluster, the returned text says whether the order
// took effect at all members.
func (h *adminHandler) ApplyMaintenance(command operator.Command) (string, error) {
	if h.clusterOrders != nil {
		return h.orderViaCluster(command)
	}
	return "", h.changeOrders(func(o *maintenance.Orders) error {
		if err := h.checkTarget(command); err != nil {
			return err
		}
		switch command.Verb {
		case operator.Disable:
			o.Disabled.Disable(command.ID)
		case operator.Enable:
			o.Disabled.Enable(command.ID)
		case operator.DisableZone:
			o.Disabled.DisableZone(command.ID)
		case operator.EnableZone:
			o.Disabled.EnableZone(command.ID)
		}
		return nil
	})
}

// checkTarget returns an error if no list has named the worker, or the settings do not name the hall, that an order is for.
func (h *adminHandler) checkTarget(command operator.Command) error {
	if command.Verb == operator.DisableZone || command.Verb == operator.EnableZone {
		return h.router.CheckZone(command.ID)
	}
	return h.router.CheckWorker(command.ID)
}

// changeOrders changes the orders that the sidecar's processes share.
func (h *adminHandler) changeOrders(edit func(*maintenance.Orders) error) error {
	ctx, cancel := context.WithTimeout(context.Background(), saveTimeout)
	defer cancel()
	return h.orders.change(ctx, edit)
}

// applyClusterSet applies the cluster's maintenance set. The record persists the set; the local file serves a process that
// starts without a record.
func (h *adminHandler) applyClusterSet(set maintenance.Set) {
	h.router.SetMaintenance(set)
	h.changeOrders(func(o *maintenance.Orders) error { // on failure, which is logged, the record still has the set
		o.Disabled = set.Clone()
		return nil
	})
}

// Drain steers clients away from all processes of this sidecar until Undrain.
func (h *adminHandler) Drain() error { return h.setDrained(true) }

// Undrain ends the effect of Drain.
func (h *adminHandler) Undrain() error { return h.setDrained(false) }

func (h *adminHandler) setDrained(drained bool) error {
	return h.changeOrders(func(o *maintenance.Orders) error {
		o.Drained = drained
		return nil
	})
}

// applyDrained steers clients away from this process, or ends that: a drained process closes idle connections and makes every
// response close its connection.
func (s *Sidecar) applyDrained(drained bool) {
	s.drained.Store(drained)
	if drained {
		s.listener.CloseIdle()
	}
}
