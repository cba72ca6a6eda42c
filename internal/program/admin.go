package program

import (
	"errors"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"

	"github.com/google/renameio/v2"

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

	orders *orders.Keeper // maintenance orders of the cluster; nil without a cluster

	saveMu sync.Mutex // serializes reading the set and writing the file, so that an older set never overwrites a newer one
}

// Ready reports whether the process serves calls and is not stopping.
func (h *adminHandler) Ready() bool { return !h.stopping.Load() && h.router.Healthy() }

// Stats returns the call counters as JSON.
func (h *adminHandler) Stats() []byte {
	var report protocol.StatsReport
	h.stats.FillStats(h.s.config.Names.Classes, &report)
	report.Inflight = h.router.OpenCalls()
	report.HostsListed, report.HostsDown = h.router.WorkerCounts()
	report.ListAgeMs = h.router.ListAge().Milliseconds()
	return report.JSON()
}

// ApplyMaintenance applies a maintenance order to this sidecar and persists it. In a cluster, the returned text says whether the order
// took effect at all members.
func (h *adminHandler) ApplyMaintenance(command operator.Command) (string, error) {
	if h.orders != nil {
		return h.orderViaCluster(command)
	}
	return "", h.changeAndSave(func() error {
		router := h.router
		switch command.Verb {
		case operator.Disable:
			return router.Disable(command.ID)
		case operator.Enable:
			return router.Enable(command.ID)
		case operator.DisableZone:
			return router.DisableZone(command.ID)
		}
		return router.EnableZone(command.ID)
	})
}

// errNotSaved refuses an order that could not be persisted for the next process.
var errNotSaved = errors.New("it could not be kept for the next process")

// changeAndSave applies a change to the maintenance set and persists it for the next process. A change that cannot be saved
// is rolled back and refused, because an acknowledged order must survive an upgrade.
func (h *adminHandler) changeAndSave(change func() error) error {
	h.saveMu.Lock()
	defer h.saveMu.Unlock()
	before := h.router.Maintenance()
	if err := change(); err != nil {
		return err
	}
	if !h.saveMaintenance() {
		h.router.SetMaintenance(before)
		return errNotSaved
	}
	return nil
}

// saveMaintenance persists the maintenance set. It reports whether that succeeded and logs the error otherwise. The caller
// holds saveMu.
func (h *adminHandler) saveMaintenance() bool {
	path := h.s.maintenancePath()
	if path == "" {
		return true
	}
	set := h.router.Maintenance()
	if err := writeFileAtomic(path, set.Encode()); err != nil {
		h.s.log.Error("maintenance_not_kept", "path", path, "err", err)
		return false
	}
	return true
}

// applyClusterSet applies the cluster's maintenance set. The record persists the set; the local file serves a process that
// starts without a record.
func (h *adminHandler) applyClusterSet(set maintenance.Set) {
	h.saveMu.Lock()
	defer h.saveMu.Unlock()
	h.router.SetMaintenance(set)
	h.saveMaintenance()
}

// writeFileAtomic replaces a file: a reader sees the old or the new content, never a part.
func writeFileAtomic(path string, b []byte) error {
	return renameio.WriteFile(path, b, 0o600, renameio.WithTempDir(filepath.Dir(path)))
}

// Drain steers clients away: it closes idle connections and makes every response close its connection.
func (h *adminHandler) Drain() {
	h.s.drained.Store(true)
	h.s.listener.CloseIdle()
}

// Undrain ends the effect of Drain.
func (h *adminHandler) Undrain() { h.s.drained.Store(false) }

// maintenancePath is the file of the workers and zones that operators disabled, or "" without a state directory.
func (s *Sidecar) maintenancePath() string {
	if s.config.StateDir == "" {
		return ""
	}
	return filepath.Join(s.config.StateDir, "burlpass-"+s.config.Name+".maintenance")
}

// loadMaintenance reads the maintenance set of an earlier process. A missing file is an empty set; an unreadable or invalid
// file is logged and treated as empty.
func (s *Sidecar) loadMaintenance() maintenance.Set {
	path := s.maintenancePath()
	if path == "" {
		return maintenance.Set{}
	}
	b, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return maintenance.Set{}
	}
	if err == nil {
		var set maintenance.Set
		if set, err = maintenance.Decode(b); err == nil {
			return set
		}
	}
	s.log.Error("maintenance_ignored", "path", path, "err", err)
	return maintenance.Set{}
}
