package program

import (
	"errors"
	"log/slog"

	"burlpass/internal/enforcement"
)

// openCluster: the simulation's guest has no disk, and its network is the sidecar's alone.
func openCluster(*ClusterConfig, *slog.Logger) (clusterMember, error) {
	return nil, errors.New("cluster: not in a simulation")
}

func registerRuleMetrics(clusterMember, *enforcement.Enforcer) {}
