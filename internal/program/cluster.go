package program

import (
	"context"
	"errors"
	"log/slog"
	"os"
	"path/filepath"
	"time"

	"burlpass/internal/limits"
	"burlpass/internal/maintenance"
	"burlpass/internal/operator"
	"burlpass/internal/orders"
)

// clusterMember is this process's part in a cluster.
type clusterMember interface {
	orders.Member
	limits.Member
	Close() error
}

// orderTimeout is for an order to be agreed on while the door's caller waits; the rest of a second is for the way back.
const orderTimeout = operator.OrderTime - 100*time.Millisecond

// startOrders makes the cluster's orders hold at the router until ctx is done. Without a cluster it does nothing.
func (s *Sidecar) startOrders(ctx context.Context, handler *adminHandler, start maintenance.Set) {
	if s.member == nil {
		return
	}
	handler.orders = orders.New(orders.Config{Member: s.member, By: s.config.Cluster.Member + "/door", Start: start, Log: s.log,
		Apply: func(set maintenance.Set) {
			handler.applyClusterSet(set)
			s.log.Info("maintenance", "out", set.IDs(), "halls", set.Halls())
		},
		Load: func() ([]byte, error) { return os.ReadFile(s.ordersPath()) },
		Save: func(b []byte) error { return writeFileAtomic(s.ordersPath(), b) },
	})
	go handler.orders.Run(ctx)
}

// ordersPath is the file of orders that are not agreed on yet: in the member's folder, or beside what is kept of maintenance.
// Where neither is there the first save fails and is logged; the orders hold until the process ends.
func (s *Sidecar) ordersPath() string {
	folder := s.config.Cluster.Folder
	if folder == "" {
		folder = s.config.StateDir
	}
	return filepath.Join(folder, "burlpass-"+s.config.Name+".orders")
}

// orderViaCluster carries out an orderViaCluster through the cluster.
func (h *adminHandler) orderViaCluster(command operator.Command) (string, error) {
	var lookupErr error
	target := orders.Worker(command.ID)
	if command.Verb == operator.DisableHall || command.Verb == operator.EnableHall {
		lookupErr, target = h.router.KnownHall(command.ID), orders.Hall(command.ID)
	} else {
		lookupErr = h.router.Known(command.ID)
	}
	if lookupErr != nil {
		return "", lookupErr
	}
	ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
	defer cancel()
	return h.orders.Order(ctx, target, command.Verb == operator.Disable || command.Verb == operator.DisableHall), nil
}

// closeMember ends this process's part in the cluster.
func (s *Sidecar) closeMember() {
	if s.member == nil {
		return
	}
	if err := s.member.Close(); err != nil && !errors.Is(err, context.Canceled) {
		s.log.Error("cluster_close", "err", err)
	}
}

// openMember opens it where the configuration has one.
func openMember(config *Config, logger *slog.Logger) (clusterMember, error) {
	if config.Cluster == nil {
		return nil, nil
	}
	return openCluster(config.Cluster, logger)
}
