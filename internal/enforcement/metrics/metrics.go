// Package metrics exports the counters of an enforcer.
package metrics

import (
	"github.com/prometheus/client_golang/prometheus"

	"burlpass/internal/enforcement"
)

// Collector is a prometheus.Collector of an enforcer's counters.
type Collector struct{ Enforcer *enforcement.Enforcer }

var _ prometheus.Collector = Collector{}

func refusedDesc() *prometheus.Desc {
	return prometheus.NewDesc("burlpass_rules_refused_total",
		"Calls that a rule has refused at this process, by the rule; limits by the nearest that counts the call.", []string{"rule"}, nil)
}

func versionDesc() *prometheus.Desc {
	return prometheus.NewDesc("burlpass_rules_version", "The record's version that the rules in force at this process were made for.", nil, nil)
}

// Describe implements prometheus.Collector.
func (Collector) Describe(ch chan<- *prometheus.Desc) { ch <- refusedDesc(); ch <- versionDesc() }

// Collect implements prometheus.Collector.
func (c Collector) Collect(ch chan<- prometheus.Metric) {
	for _, count := range c.Enforcer.RefusalCounts() {
		ch <- prometheus.MustNewConstMetric(refusedDesc(), prometheus.CounterValue, float64(count.Calls), count.Rule)
	}
	ch <- prometheus.MustNewConstMetric(versionDesc(), prometheus.GaugeValue, float64(c.Enforcer.Version()))
}
