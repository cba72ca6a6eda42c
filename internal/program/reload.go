package program

import (
	"strings"

	"burlpass/internal/maintenance"
	"burlpass/internal/routing"
)

// initialRegistry returns the registry that the process asks first. Once the sidecar has been told to reload, that is the one
// in the file: the environment may be older.
func (s *Sidecar) initialRegistry() string {
	if s.reloads == 0 {
		return s.config.Registry
	}
	next, err := s.config.Reload()
	if err != nil {
		s.log.Error("reload_failed", "err", err)
		return s.config.Registry
	}
	return next.Registry
}

// reload makes all processes of this sidecar read the configuration again. If the others cannot be told, which is logged, this
// process reads it all the same.
func (h *adminHandler) reload() {
	err := h.changeOrders(func(o *maintenance.Orders) error {
		o.Reloads++
		return nil
	})
	if err != nil {
		h.s.reload(h.router)
	}
}

// applyReloads reads the configuration again if the sidecar has been told to since this process last did.
func (s *Sidecar) applyReloads(router *routing.Router, reloads int) {
	if reloads == s.reloads {
		return
	}
	s.reloads = reloads
	s.reload(router)
}

// reload switches to the registry that the file names now. A file with any fault changes nothing.
func (s *Sidecar) reload(router *routing.Router) {
	next, err := s.config.Reload()
	if err != nil {
		s.log.Error("reload_failed", "err", err)
		return
	}
	s.log.Info("reload", "registry", next.Registry, "needs_restart", strings.Join(s.config.ChangesNeedingRestart(next), ","))
	router.MoveRegistry(next.Registry)
}
