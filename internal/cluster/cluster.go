// Package cluster runs one member of a cluster, a voter or an observer, and serves it on the cluster address.
// The design and the operating procedures are in docs/cluster.md.
package cluster

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"burlpass/internal/cluster/api"
	"burlpass/internal/cluster/frames"
	"burlpass/internal/cluster/observer"
	"burlpass/internal/cluster/voter"
	"burlpass/internal/lease"
	"burlpass/internal/logging"
	"burlpass/internal/reconciler"
	"burlpass/internal/record"
	"burlpass/internal/retire"
	"burlpass/internal/rules"
)

// Peer is the name and address of another member.
type Peer struct{ Name, Addr string }

// Config configures a member. internal/program reads and validates it from the configuration file.
type Config struct {
	Name   string // of the cluster
	Member string // name of this process; it is a voter if Voters contains it
	Listen string // cluster address, host:port
	Folder string // data folder; "" for an observer without persistent state
	Voters []Peer // in the same order at all members
	Follow []Peer // further observers that may be followed
	Rules  bool   // whether the record holds rules of teams; the same at all members since the cluster was formed
	// Limits returns the cluster-wide limits in a state of the record. If nil, they are the limits of the rules, or
	// none without rules.
	Limits func(record.View) []lease.Limit
	Log    *slog.Logger
}

// Member is a running member of a cluster.
type Member struct {
	api.Member
	listener net.Listener
	server   *http.Server
	served   chan struct{}
	metrics  *api.Metrics
	close    func() error
}

// domains returns the domains of the record.
func (c *Config) domains() []record.Domain {
	out := []record.Domain{record.Orders()}
	if c.Rules {
		out = append(append(out, rules.Domains(retire.Env)...), retire.Domains()...)
	}
	return out
}

// leaderTask returns what a voter runs while it leads: the reconciler that advances timelines. It is nil without rules.
func (c *Config) leaderTask() func(context.Context, api.Member) {
	if !c.Rules {
		return nil
	}
	log := cmp.Or(c.Log, logging.Discard())
	return func(ctx context.Context, m api.Member) { reconciler.New(log).Run(ctx, m, reconciler.Pause) }
}

// dialTimeout limits how long an observer waits for a connection.
const dialTimeout = 500 * time.Millisecond

// Open starts this member and returns without waiting for other members. The error is a single line that names the
// setting or the part that failed.
func Open(ctx context.Context, c Config) (*Member, error) {
	ln, err := net.Listen("tcp4", c.Listen)
	if err != nil {
		return nil, fmt.Errorf("cluster.listen: %w", err)
	}
	dial := frames.Dial((&net.Dialer{KeepAlive: 5 * time.Second}).DialContext)
	m := &Member{listener: ln, served: make(chan struct{})}
	metrics := api.NewMetrics()
	m.metrics = metrics
	if c.Rules && c.Limits == nil {
		c.Limits = ruleLimits()
	}
	mount := func(*http.ServeMux) {}
	if slices.ContainsFunc(c.Voters, func(p Peer) bool { return p.Name == c.Member }) {
		var voters []voter.Peer
		for _, p := range c.Voters {
			voters = append(voters, voter.Peer(p))
		}
		voterMember, err := voter.Open(ctx, voter.Config{Cluster: c.Name, Name: c.Member, Folder: c.Folder, Log: c.Log,
			Voters: voters, Bounds: record.DefaultBounds(), Domains: c.domains(), Dial: dial, Limits: c.Limits, WhileLeading: c.leaderTask()})
		if err != nil {
			ln.Close()
			return nil, fmt.Errorf("cluster: %w", err)
		}
		m.Member, m.close, mount = voterMember, voterMember.Close, voterMember.Mount
		if c.Limits != nil {
			metrics.Registry.MustRegister(voterMember.LeaseMetrics())
		}
	} else {
		var sources []observer.Source
		for _, p := range append(slices.Clone(c.Voters), c.Follow...) {
			sources = append(sources, observer.Source(p))
		}
		transport := api.NewTransport(dialTimeout, dial)
		o, err := observer.Open(ctx, observer.Config{Cluster: c.Name, Name: c.Member, Addr: ln.Addr().String(), Folder: c.Folder,
			Sources: sources, Log: c.Log, Metrics: metrics, Via: transport,
			Bounds: record.DefaultBounds(), Domains: c.domains()})
		if err != nil {
			ln.Close()
			return nil, fmt.Errorf("cluster: %w", err)
		}
		m.Member, m.close = o, func() error {
			defer transport.CloseIdleConnections()
			return o.Close()
		}
	}
	mux := api.Handler(m.Member, api.Options{Metrics: metrics, Log: c.Log, Rules: &rules.Decoder{}})
	mount(mux)
	m.server = api.NewServer(mux)
	go func() {
		defer close(m.served)
		m.server.Serve(frames.Listen(ln))
	}()
	return m, nil
}

// Figures returns the metrics registry of the member. Callers may register further collectors.
func (m *Member) Figures() *prometheus.Registry { return m.metrics.Registry }

// ruleLimits returns a function that extracts the limits from the rules in a state of the record. The function must not be
// used concurrently. For a state that cannot be decoded it returns the limits of the last one that could.
func ruleLimits() func(record.View) []lease.Limit {
	decoder := &rules.Decoder{}
	var table *rules.Table
	return func(v record.View) []lease.Limit {
		s, err := decoder.Load(v)
		if err == nil && record.Knows(v, rules.RuleKind) {
			table = table.Update(s, v.Version())
		}
		if table == nil {
			return nil
		}
		return table.Limits()
	}
}

// Addr returns the address on which other members connect.
func (m *Member) Addr() net.Addr { return m.listener.Addr() }

// Close stops the member. Acknowledged writes are kept and the other members continue without it.
func (m *Member) Close() error {
	err := m.close()
	err = errors.Join(err, m.server.Close())
	<-m.served
	return err
}
