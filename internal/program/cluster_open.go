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

// openCluster takes this process's part in the cluster that the configuration names.
func openCluster(c *ClusterConfig, logger *slog.Logger) (member, error) {
	signal.Ignore(syscall.SIGXFSZ) // a disk that takes no more is an error of the write; the signal would end the program
	m, err := cluster.Open(context.Background(), cluster.Config{Name: c.Name, Member: c.Member, Listen: c.Listen, Folder: c.Folder,
		Voters: clusterPeers(c.Voters), Follow: clusterPeers(c.Follow), Rules: c.Rules, Log: logger})
	if err != nil {
		return nil, err
	}
	logger.Info("cluster_start", "cluster", c.Name, "member", c.Member, "votes", c.Voting(), "listen", m.Addr().String())
	return m, nil
}

// expose puts what rules refuse among the figures at the cluster's address.
func expose(m member, g *enforcement.Enforcer) {
	if m, ok := m.(*cluster.Member); ok {
		m.Figures().MustRegister(g)
	}
}

func clusterPeers(from []ClusterPeer) []cluster.Peer {
	to := make([]cluster.Peer, 0, len(from))
	for _, p := range from {
		to = append(to, cluster.Peer{Name: p.Name, Addr: p.Addr})
	}
	return to
}
