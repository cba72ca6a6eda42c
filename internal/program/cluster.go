package program

import (
	"context"
	"errors"
	"log/slog"
	"os"
	"path/filepath"
	"time"

	"burlpass/internal/maintenance"
	"burlpass/internal/membership"
	"burlpass/internal/operator"
	"burlpass/internal/orders"
	"burlpass/internal/statefile"
)

// orderTimeout bounds how long an order may take to commit while the operator waits; the rest of operator.OrderTimeout is left
// for the reply.
const orderTimeout = operator.OrderTimeout - 100*time.Millisecond

// startOrders applies the cluster's maintenance orders to the router until ctx is done. It does nothing without a cluster.
func (s *Sidecar) startOrders(ctx context.Context, handler *adminHandler, start maintenance.Set) {
	if s.member == nil {
		return
	}
	handler.clusterOrders = orders.New(orders.Config{
		Member: s.member,
		By:     s.config.Cluster.Member + "/door",
		Start:  start,
		Log:    s.log,
		Apply: func(set maintenance.Set) {
			handler.applyClusterSet(set)
			s.log.Info("maintenance", "out", set.WorkerIDs(), "halls", set.Zones())
		},
		Load: func() ([]byte, error) { return os.ReadFile(s.ordersPath()) },
		Save: func(b []byte) error { return statefile.Replace(s.ordersPath(), b) },
	})
	go handler.clusterOrders.Run(ctx)
}

// ordersPath is the file of orders that are not committed yet, in the member's folder or else in the state directory. If
// neither is set, the first save fails and is logged, and the orders last until the process exits.
func (s *Sidecar) ordersPath() string {
	folder := s.config.Cluster.Folder
	if folder == "" {
		folder = s.config.StateDir
	}
	return filepath.Join(folder, "burlpass-"+s.config.Name+".orders")
}

// errSuperseded is the refusal of an order to enable that did not know of another member's order to disable.
var errSuperseded = errors.New("disabled by another member meanwhile: give the order again to undo that")

// orderViaCluster submits an operator's order to the cluster.
func (h *adminHandler) orderViaCluster(command operator.Command) (string, error) {
	if err := h.checkTarget(command); err != nil {
		return "", err
	}
	target := orders.Worker(command.ID)
	if command.Verb == operator.DisableZone || command.Verb == operator.EnableZone {
		target = orders.Hall(command.ID)
	}
	ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
	defer cancel()
	scope := h.clusterOrders.Order(ctx, target, command.Verb == operator.Disable || command.Verb == operator.DisableZone)
	if scope == orders.Superseded {
		return "", errSuperseded
	}
	return scope, nil
}

// closeMember closes the cluster member, if there is one.
func (s *Sidecar) closeMember() {
	if s.member == nil {
		return
	}
	if err := s.member.Close(); err != nil && !errors.Is(err, context.Canceled) {
		s.log.Error("cluster_close", "err", err)
	}
}

// openMember opens the cluster member that the configuration describes, or returns nil if it has none.
func openMember(cfg *Config, logger *slog.Logger) (membership.Member, error) {
	c := cfg.Cluster
	if c == nil {
		return nil, nil
	}
	if cfg.OpenCluster == nil {
		return nil, errors.New("cluster: not supported by this program")
	}
	m, err := cfg.OpenCluster(membership.Config{
		Name:   c.Name,
		Member: c.Member,
		Listen: c.Listen,
		Folder: c.Folder,
		Voters: memberPeers(c.Voters),
		Follow: memberPeers(c.Follow),
		Rules:  c.Rules,
	}, logger)
	if err != nil {
		return nil, err
	}
	logger.Info("cluster_start", "cluster", c.Name, "member", c.Member, "votes", c.Voting(), "listen", m.Addr().String())
	return m, nil
}

func memberPeers(peers []ClusterPeer) []membership.Peer {
	converted := make([]membership.Peer, 0, len(peers))
	for _, peer := range peers {
		converted = append(converted, membership.Peer{Name: peer.Name, Addr: peer.Addr})
	}
	return converted
}
