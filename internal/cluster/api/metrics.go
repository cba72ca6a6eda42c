package api

import (
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// Metrics are a member's metrics in their own registry, to which others may add collectors.
type Metrics struct {
	Registry      *prometheus.Registry
	SourceChanges prometheus.Counter // how often an observer switched to another source

	calls        *prometheus.CounterVec
	writes       *prometheus.CounterVec
	writeSeconds prometheus.Histogram
	entries      prometheus.Counter
	bytes        prometheus.Counter
	states       prometheus.Counter
}

// NewMetrics returns metrics that start at zero.
func NewMetrics() *Metrics {
	counter := func(name, help string) prometheus.Counter {
		return prometheus.NewCounter(prometheus.CounterOpts{Name: "burlpass_cluster_" + name, Help: help})
	}
	m := &Metrics{
		Registry:      prometheus.NewRegistry(),
		SourceChanges: counter("source_changes_total", "Times that an observer has gone over to another source."),
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "burlpass_cluster_calls_total",
			Help: "Calls taken at the cluster's address but those between voters, by their path."}, []string{"call"}),
		writes: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "burlpass_cluster_writes_total",
			Help: "Writes asked of this member by what became of them."}, []string{"outcome"}),
		writeSeconds: prometheus.NewHistogram(prometheus.HistogramOpts{Name: "burlpass_cluster_write_seconds",
			Help:    "From a write's arrival at this member to its result.",
			Buckets: []float64{.001, .002, .005, .01, .02, .05, .1, .2, .5, 1, 2, 5, 10}}),
		entries: counter("entries_served_total", "Entries sent to followers."),
		bytes:   counter("bytes_served_total", "Bytes sent to followers."),
		states:  counter("states_served_total", "Whole states sent to followers."),
	}
	m.Registry.MustRegister(m.SourceChanges, m.calls, m.writes, m.writeSeconds, m.entries, m.bytes, m.states)
	return m
}

// countCalls wraps the handler of a pattern, METHOD PATH, to count its calls on arrival.
func (m *Metrics) countCalls(pattern string, h http.Handler) (string, http.Handler) {
	_, path, _ := strings.Cut(pattern, " ")
	calls := m.calls.WithLabelValues(path)
	return pattern, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls.Inc()
		h.ServeHTTP(w, r)
	})
}

func (m *Metrics) observeWrite(outcome string, started time.Time) {
	m.writes.WithLabelValues(outcome).Inc()
	m.writeSeconds.Observe(time.Since(started).Seconds())
}

func (m *Metrics) observeBatch(b *Batch, bytes int) {
	m.entries.Add(float64(len(b.Entries)))
	m.bytes.Add(float64(bytes))
	if b.Kind == KindState {
		m.states.Inc()
	}
}

// registerMember adds metrics of the member's status, which is read on each scrape.
func (m *Metrics) registerMember(member Member, followers func() int) {
	m.Registry.MustRegister(&memberCollector{member: member, followers: followers})
}

func (m *Metrics) handler() http.Handler {
	return promhttp.HandlerFor(m.Registry, promhttp.HandlerOpts{MaxRequestsInFlight: 4})
}

// memberCollector collects a member's status. Its descriptors are created once.
type memberCollector struct {
	member        Member
	followers     func() int
	once          sync.Once
	version       *prometheus.Desc
	age           *prometheus.Desc
	role          *prometheus.Desc
	followerCount *prometheus.Desc
}

func (c *memberCollector) describe() {
	c.version = prometheus.NewDesc("burlpass_cluster_version", "The version of the state that is shown.", nil, nil)
	c.age = prometheus.NewDesc("burlpass_cluster_age_seconds",
		"How long ago that state was surely the newest; missing while nothing is shown.", nil, nil)
	c.role = prometheus.NewDesc("burlpass_cluster_member", "1 for the role and state that the member has.",
		[]string{"role", "state"}, nil)
	c.followerCount = prometheus.NewDesc("burlpass_cluster_followers", "Followers that have a place here.", nil, nil)
}

// Describe implements prometheus.Collector.
func (c *memberCollector) Describe(ch chan<- *prometheus.Desc) {
	c.once.Do(c.describe)
	for _, d := range []*prometheus.Desc{c.version, c.age, c.role, c.followerCount} {
		ch <- d
	}
}

// Collect implements prometheus.Collector.
func (c *memberCollector) Collect(ch chan<- prometheus.Metric) {
	c.once.Do(c.describe)
	gauge := func(d *prometheus.Desc, v float64, labels ...string) {
		ch <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, v, labels...)
	}
	st := c.member.Status()
	gauge(c.version, float64(st.Version))
	if st.AgeMs >= 0 {
		gauge(c.age, float64(st.AgeMs)/1000)
	}
	gauge(c.role, 1, st.Role, st.State)
	gauge(c.followerCount, float64(c.followers()))
}
