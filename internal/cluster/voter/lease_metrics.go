package voter

import (
	"sync"

	"github.com/prometheus/client_golang/prometheus"

	"burlpass/internal/lease"
)

// maxReportedLimits is the maximum number of limits in the metrics.
const maxReportedLimits = 32

// leaseMetrics collects the metrics of the lease requests answered by this voter. It implements prometheus.Collector.
type leaseMetrics struct {
	asked, refused             prometheus.Counter
	amount, out, want, holding *prometheus.Desc

	mu      sync.Mutex
	limits  []lease.Figure
	holders int
}

func newLeaseMetrics() *leaseMetrics {
	counter := func(name, help string) prometheus.Counter {
		return prometheus.NewCounter(prometheus.CounterOpts{Name: "burlpass_lease_" + name, Help: help})
	}
	labels := []string{"limit", "kind"}
	const unit = " In calls a second, or calls at once; the 32 limits of which most is wanted; at the leader only."
	return &leaseMetrics{
		asked:   counter("questions_total", "Questions about leases that came to this voter as the leader."),
		refused: counter("refused_total", "Of them those that it refused."),
		amount:  prometheus.NewDesc("burlpass_lease_limit", "A limit of the fleet."+unit, labels, nil),
		out:     prometheus.NewDesc("burlpass_lease_out", "What processes may believe to have of a limit."+unit, labels, nil),
		want:    prometheus.NewDesc("burlpass_lease_wanted", "What processes could use of a limit."+unit, labels, nil),
		holding: prometheus.NewDesc("burlpass_lease_holders", "Processes that hold leases; at the leader only.", nil, nil),
	}
}

// set replaces the reported limits and number of holders.
func (f *leaseMetrics) set(limits []lease.Figure, holders int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.limits, f.holders = limits, holders
}

// LeaseMetrics returns the metrics of the leases that this voter grants as the leader.
func (v *Voter) LeaseMetrics() prometheus.Collector { return v.leases.metrics }

// Describe implements prometheus.Collector.
func (f *leaseMetrics) Describe(to chan<- *prometheus.Desc) {
	f.asked.Describe(to)
	f.refused.Describe(to)
	for _, d := range []*prometheus.Desc{f.amount, f.out, f.want, f.holding} {
		to <- d
	}
}

// Collect implements prometheus.Collector.
func (f *leaseMetrics) Collect(to chan<- prometheus.Metric) {
	f.asked.Collect(to)
	f.refused.Collect(to)
	f.mu.Lock()
	limits, holders := f.limits, f.holders
	f.mu.Unlock()
	to <- prometheus.MustNewConstMetric(f.holding, prometheus.GaugeValue, float64(holders))
	for _, l := range limits {
		unit := 1.0
		if l.Kind == lease.Rate {
			unit = 1000
		}
		for d, n := range map[*prometheus.Desc]int64{f.amount: l.Amount, f.out: l.Out, f.want: l.Wanted} {
			to <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, float64(n)/unit, l.ID, l.Kind)
		}
	}
}
