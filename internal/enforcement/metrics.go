//go:build !wasip1

package enforcement

import "github.com/prometheus/client_golang/prometheus"

var _ prometheus.Collector = (*Enforcer)(nil)

func refusedDesc() *prometheus.Desc {
	return prometheus.NewDesc("burlpass_rules_refused_total",
		"Calls that a rule has refused at this process, by the rule; limits by the nearest that counts the call.", []string{"rule"}, nil)
}

func versionDesc() *prometheus.Desc {
	return prometheus.NewDesc("burlpass_rules_version", "The record's version that the rules in force at this process were made for.", nil, nil)
}

// Describe is a prometheus.Collector's.
func (g *Enforcer) Describe(to chan<- *prometheus.Desc) { to <- refusedDesc(); to <- versionDesc() }

// Collect is a prometheus.Collector's.
func (g *Enforcer) Collect(to chan<- prometheus.Metric) {
	for _, r := range g.Refused() {
		to <- prometheus.MustNewConstMetric(refusedDesc(), prometheus.CounterValue, float64(r.Calls), r.Rule)
	}
	to <- prometheus.MustNewConstMetric(versionDesc(), prometheus.GaugeValue, float64(g.Version()))
}
