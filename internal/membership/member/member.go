// Package member opens memberships in a cluster.
package member

import (
	"context"
	"log/slog"
	"os/signal"
	"regexp"
	"syscall"

	"github.com/prometheus/client_golang/prometheus/collectors"

	"burlpass/internal/cluster"
	"burlpass/internal/enforcement"
	"burlpass/internal/enforcement/metrics"
	"burlpass/internal/membership"
	"burlpass/internal/protocol"
	"burlpass/internal/protocol/loadmetrics"
)

// member adds the metrics of rules to a cluster's member.
type member struct{ *cluster.Member }

// RegisterRules implements membership.Member.
func (m member) RegisterRules(enforcer *enforcement.Enforcer) {
	m.Figures().MustRegister(metrics.Collector{Enforcer: enforcer})
}

// runDelayMetric selects the runtime's histogram of the time that goroutines have waited, ready to run.
var runDelayMetric = collectors.GoRuntimeMetricsRule{Matcher: regexp.MustCompile("^/sched/latencies:seconds$")}

// RegisterLoad implements membership.Member.
func (m member) RegisterLoad(report func() protocol.LoadReport) {
	runtimeMetrics := collectors.NewGoCollector(
		collectors.WithGoCollectorMemStatsMetricsDisabled(),
		collectors.WithoutGoCollectorRuntimeMetrics(regexp.MustCompile(".*")),
		collectors.WithGoCollectorRuntimeMetrics(runDelayMetric))
	m.Figures().MustRegister(loadmetrics.Collector{Report: report}, runtimeMetrics)
}

// Open opens the membership of this process. It is a membership.Opener.
func Open(c membership.Config, logger *slog.Logger) (membership.Member, error) {
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
	return member{m}, nil
}

func clusterPeers(peers []membership.Peer) []cluster.Peer {
	converted := make([]cluster.Peer, 0, len(peers))
	for _, p := range peers {
		converted = append(converted, cluster.Peer(p))
	}
	return converted
}
