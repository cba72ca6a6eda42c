package program

import (
	"errors"
	"log/slog"

	"burlpass/internal/enforcement"
)

// openCluster always fails: the simulation's guest has no disk, and its network carries only the sidecar's traffic.
func openCluster(*ClusterConfig, *slog.Logger) (clusterMember, error) {
	return nil, errors.New("cluster: not supported in the simulation")
}

func registerRuleMetrics(clusterMember, *enforcement.Enforcer) {}
