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

// member is this process's part in a cluster.
type member interface {
	orders.Member
	limits.Member
	Close() error
}

// orderTime is for an order to be agreed on while the door's caller waits; the rest of a second is for the way back.
const orderTime = operator.OrderTime - 100*time.Millisecond

// startOrders makes the cluster's orders hold at the router until ctx is done. Without a cluster it does nothing.
func (s *Sidecar) startOrders(ctx context.Context, o *operations, start maintenance.Set) {
	if s.member == nil {
		return
	}
	o.orders = orders.New(orders.Config{Member: s.member, By: s.config.Cluster.Member + "/door", Start: start, Log: s.log,
		Apply: func(set maintenance.Set) {
			o.follow(set)
			s.log.Info("maintenance", "out", set.IDs(), "halls", set.Halls())
		},
		Load: func() ([]byte, error) { return os.ReadFile(s.ordersPath()) },
		Save: func(b []byte) error { return replaceFile(s.ordersPath(), b) },
	})
	go o.orders.Run(ctx)
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

// order carries out an order through the cluster.
func (o *operations) order(c operator.Command) (string, error) {
	var known error
	to := orders.Worker(c.ID)
	if c.Verb == operator.DisableHall || c.Verb == operator.EnableHall {
		known, to = o.router.KnownHall(c.ID), orders.Hall(c.ID)
	} else {
		known = o.router.Known(c.ID)
	}
	if known != nil {
		return "", known
	}
	ctx, cancel := context.WithTimeout(context.Background(), orderTime)
	defer cancel()
	return o.orders.Order(ctx, to, c.Verb == operator.Disable || c.Verb == operator.DisableHall), nil
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
func openMember(c *Config, logger *slog.Logger) (member, error) {
	if c.Cluster == nil {
		return nil, nil
	}
	return openCluster(c.Cluster, logger)
}
