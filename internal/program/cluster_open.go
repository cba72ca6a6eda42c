//go:build !wasip1

package program

import (
	"context"
	"log/slog"
	"os/signal"
	"syscall"

	"burlpass/internal/cluster"
	"burlpass/internal/enforcement"
)

// openCluster opens this process's member of the configured cluster.
func openCluster(c *ClusterConfig, logger *slog.Logger) (clusterMember, error) {
	signal.Ignore(syscall.SIGXFSZ) // exceeding the file size limit then fails the write instead of killing the process
	m, err := cluster.Open(context.Background(), cluster.Config{
		Name:   c.Name,
		Member: c.Member,
		Listen: c.Listen,
		Folder: c.Folder,
		Voters: clusterPeers(c.Voters),
		Follow: clusterPeers(c.Follow),
		Rules:  c.Rules,
		Log:    logger,
	})
	if err != nil {
		return nil, err
	}
	logger.Info("cluster_start", "cluster", c.Name, "member", c.Member, "votes", c.Voting(), "listen", m.Addr().String())
	return m, nil
}

// registerRuleMetrics adds the counters of calls refused by rules to the metrics served at the cluster's address.
func registerRuleMetrics(m clusterMember, enforcer *enforcement.Enforcer) {
	if joined, ok := m.(*cluster.Member); ok {
		joined.Figures().MustRegister(enforcer)
	}
}

func clusterPeers(peers []ClusterPeer) []cluster.Peer {
	converted := make([]cluster.Peer, 0, len(peers))
	for _, p := range peers {
		converted = append(converted, cluster.Peer{Name: p.Name, Addr: p.Addr})
	}
	return converted
}
