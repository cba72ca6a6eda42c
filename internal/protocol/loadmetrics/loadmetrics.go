// Package loadmetrics exports who makes the load of a process, and who was refused because of it.
package loadmetrics

import (
	"strconv"

	"github.com/prometheus/client_golang/prometheus"

	"burlpass/internal/protocol"
)

// Collector is a prometheus.Collector of a server's load report, which it asks for on each scrape.
type Collector struct{ Report func() protocol.LoadReport }

var _ prometheus.Collector = Collector{}

func refusedDesc() *prometheus.Desc {
	return prometheus.NewDesc("burlpass_load_refused_total",
		"Calls refused before the module saw them, by the reason and whether their connection made the load.", []string{"reason", "heavy"}, nil)
}

func waitingDesc() *prometheus.Desc {
	return prometheus.NewDesc("burlpass_load_waiting", "Connections that wait for their turn.", nil, nil)
}

func waitsDesc() *prometheus.Desc {
	return prometheus.NewDesc("burlpass_load_waits_total", "Waits of connections for their turns.", nil, nil)
}

func waitSecondsDesc() *prometheus.Desc {
	return prometheus.NewDesc("burlpass_load_wait_seconds_total", "Total time of these waits.", nil, nil)
}

func shareDesc() *prometheus.Desc {
	return prometheus.NewDesc("burlpass_load_share", "Share of the processor that is left to answers that need no worker.", nil, nil)
}

// Describe implements prometheus.Collector.
func (Collector) Describe(ch chan<- *prometheus.Desc) {
	ch <- refusedDesc()
	ch <- waitingDesc()
	ch <- waitsDesc()
	ch <- waitSecondsDesc()
	ch <- shareDesc()
}

// Collect implements prometheus.Collector.
func (c Collector) Collect(ch chan<- prometheus.Metric) {
	send := func(desc *prometheus.Desc, kind prometheus.ValueType, value float64, labels ...string) {
		ch <- prometheus.MustNewConstMetric(desc, kind, value, labels...)
	}
	report := c.Report()
	for reason, count := range report.Refused {
		send(refusedDesc(), prometheus.CounterValue, float64(count.Heavy), reason, strconv.FormatBool(true))
		send(refusedDesc(), prometheus.CounterValue, float64(count.Light), reason, strconv.FormatBool(false))
	}
	send(waitingDesc(), prometheus.GaugeValue, float64(report.Waiting))
	send(waitsDesc(), prometheus.CounterValue, float64(report.Waits.Count))
	send(waitSecondsDesc(), prometheus.CounterValue, float64(report.Waits.TotalMs)/1000)
	send(shareDesc(), prometheus.GaugeValue, report.Waits.Share)
}
