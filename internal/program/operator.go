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

// adminHandler carries out the door's commands on a running sidecar.
type adminHandler struct {
	s        *Sidecar
	router   *routing.Router
	stopping *atomic.Bool // SIGTERM has come: the process is not to be counted on any more
	stats    *protocol.Figures

	orders *orders.Keeper // the cluster's orders; nil without a cluster

	saveMu sync.Mutex // one write of the file at a time, each of the set as it is then: none overtakes a newer one
}

func (h *adminHandler) Ready() bool { return !h.stopping.Load() && h.router.Healthy() }

func (h *adminHandler) Stats() []byte {
	var report protocol.Report
	h.stats.Read(h.s.config.Names.Classes, &report)
	report.Inflight = h.router.Open()
	report.HostsListed, report.HostsDown = h.router.Hosts()
	report.ListAgeMs = h.router.ListAge().Milliseconds()
	return report.JSON()
}

// Order holds at once here, and is kept; with a cluster, orders says whether it holds at all its members.
func (h *adminHandler) Order(command operator.Command) (string, error) {
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
		case operator.DisableHall:
			return router.DisableHall(command.ID)
		}
		return router.EnableHall(command.ID)
	})
}

// errNotSaved is the reason to refuse an order that could not be written where the next process will find it.
var errNotSaved = errors.New("it could not be kept for the next process")

// changeAndSave carries out a change of what is taken out by hand, and writes it where the next process will find it. A change that
// cannot be written is taken back and refused: a yes is owed over an upgrade.
func (h *adminHandler) changeAndSave(change func() error) error {
	h.saveMu.Lock()
	defer h.saveMu.Unlock()
	before := h.router.Maintenance()
	if err := change(); err != nil {
		return err
	}
	if !h.saveMaintenance() {
		h.router.Maintain(before)
		return errNotSaved
	}
	return nil
}

// saveMaintenance writes what is taken out by hand. It tells whether that is kept, and logs why it is not. The caller holds keeping.
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

// applyClusterSet makes what a cluster orders hold here. The record keeps it; the file is for a process that starts without one.
func (h *adminHandler) applyClusterSet(set maintenance.Set) {
	h.saveMu.Lock()
	defer h.saveMu.Unlock()
	h.router.Maintain(set)
	h.saveMaintenance()
}

// writeFileAtomic puts a whole new file in place of another: a reader sees the old or the new, never a part.
func writeFileAtomic(path string, b []byte) error {
	return renameio.WriteFile(path, b, 0o600, renameio.WithTempDir(filepath.Dir(path)))
}

func (h *adminHandler) Drain() {
	h.s.drained.Store(true)
	h.s.listener.CloseResting()
}

func (h *adminHandler) Undrain() { h.s.drained.Store(false) }

// maintenancePath is the file that holds the workers taken out by hand, or "" where nothing outlives the process.
func (s *Sidecar) maintenancePath() string {
	if s.config.StateDir == "" {
		return ""
	}
	return filepath.Join(s.config.StateDir, "burlpass-"+s.config.Name+".maintenance")
}

// loadMaintenance reads what an earlier process took out by hand. A missing file is an empty set; a file that is not one is
// logged and counts for nothing.
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
