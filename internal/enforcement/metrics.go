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

// Describe implements prometheus.Collector.
func (e *Enforcer) Describe(ch chan<- *prometheus.Desc) { ch <- refusedDesc(); ch <- versionDesc() }

// Collect implements prometheus.Collector.
func (e *Enforcer) Collect(ch chan<- prometheus.Metric) {
	for _, count := range e.RefusalCounts() {
		ch <- prometheus.MustNewConstMetric(refusedDesc(), prometheus.CounterValue, float64(count.Calls), count.Rule)
	}
	ch <- prometheus.MustNewConstMetric(versionDesc(), prometheus.GaugeValue, float64(e.Version()))
}
