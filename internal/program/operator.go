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

// operations carries out the door's commands on a running sidecar.
type operations struct {
	s       *Sidecar
	router  *routing.Router
	ending  *atomic.Bool // SIGTERM has come: the process is not to be counted on any more
	figures *protocol.Figures

	orders *orders.Keeper // the cluster's orders; nil without a cluster

	keeping sync.Mutex // one write of the file at a time, each of the set as it is then: none overtakes a newer one
}

func (o *operations) Ready() bool { return !o.ending.Load() && o.router.Healthy() }

func (o *operations) Stats() []byte {
	var r protocol.Report
	o.figures.Read(o.s.config.Names.Classes, &r)
	r.Inflight = o.router.Open()
	r.HostsListed, r.HostsDown = o.router.Hosts()
	r.ListAgeMs = o.router.ListAge().Milliseconds()
	return r.JSON()
}

// Order holds at once here, and is kept; with a cluster, orders says whether it holds at all its members.
func (o *operations) Order(c operator.Command) (string, error) {
	if o.orders != nil {
		return o.order(c)
	}
	return "", o.keep(func() error {
		r := o.router
		switch c.Verb {
		case operator.Disable:
			return r.Disable(c.ID)
		case operator.Enable:
			return r.Enable(c.ID)
		case operator.DisableHall:
			return r.DisableHall(c.ID)
		}
		return r.EnableHall(c.ID)
	})
}

// errNotKept is the reason to refuse an order that could not be written where the next process will find it.
var errNotKept = errors.New("it could not be kept for the next process")

// keep carries out a change of what is taken out by hand, and writes it where the next process will find it. A change that
// cannot be written is taken back and refused: a yes is owed over an upgrade.
func (o *operations) keep(change func() error) error {
	o.keeping.Lock()
	defer o.keeping.Unlock()
	before := o.router.Maintenance()
	if err := change(); err != nil {
		return err
	}
	if !o.save() {
		o.router.Maintain(before)
		return errNotKept
	}
	return nil
}

// save writes what is taken out by hand. It tells whether that is kept, and logs why it is not. The caller holds keeping.
func (o *operations) save() bool {
	path := o.s.maintenancePath()
	if path == "" {
		return true
	}
	set := o.router.Maintenance()
	if err := replaceFile(path, set.Encode()); err != nil {
		o.s.log.Error("maintenance_not_kept", "path", path, "err", err)
		return false
	}
	return true
}

// follow makes what a cluster orders hold here. The record keeps it; the file is for a process that starts without one.
func (o *operations) follow(set maintenance.Set) {
	o.keeping.Lock()
	defer o.keeping.Unlock()
	o.router.Maintain(set)
	o.save()
}

// replaceFile puts a whole new file in place of another: a reader sees the old or the new, never a part.
func replaceFile(path string, b []byte) error {
	return renameio.WriteFile(path, b, 0o600, renameio.WithTempDir(filepath.Dir(path)))
}

func (o *operations) Drain() {
	o.s.held.Store(true)
	o.s.listener.CloseResting()
}

func (o *operations) Undrain() { o.s.held.Store(false) }

// maintenancePath is the file that holds the workers taken out by hand, or "" where nothing outlives the process.
func (s *Sidecar) maintenancePath() string {
	if s.config.StateDir == "" {
		return ""
	}
	return filepath.Join(s.config.StateDir, "burlpass-"+s.config.Name+".maintenance")
}

// kept reads what an earlier process took out by hand. A missing file is an empty set; a file that is not one is
// logged and counts for nothing.
func (s *Sidecar) kept() maintenance.Set {
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
