// Package cluster is one process's part in a cluster: a voter or an observer, with the cluster's address on which others
// reach it. docs/cluster.md has the design and what someone on call does.
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

// Peer is another member as this process reaches it.
type Peer struct{ Name, Addr string }

// Config is what a member is told. internal/program has it from the configuration file, and has checked it.
type Config struct {
	Name   string // the cluster's
	Member string // this process's name in it; a voter where it stands among Voters
	Listen string // the cluster's address, host:port
	Folder string // "": an observer that keeps nothing
	Voters []Peer // in the one order that all members have
	Follow []Peer // observers that may be followed too
	Rules  bool   // the record holds rules of teams; the same at all members, from the forming on
	// Limits are those of the fleet by a state of the record; nil: those of the rules, none without rules.
	Limits func(record.View) []lease.Limit
	Log    *slog.Logger
}

// Member is an open member.
type Member struct {
	api.Member
	listener net.Listener
	server   *http.Server
	served   chan struct{}
	metrics  *api.Metrics
	close    func() error
}

// domains are the kinds of items that the record has.
func (c *Config) domains() []record.Domain {
	out := []record.Domain{record.Orders()}
	if c.Rules {
		out = append(append(out, rules.Domains(retire.Env)...), retire.Domains()...)
	}
	return out
}

// leaderTask is what a voter does besides while it leads: it moves timelines.
func (c *Config) leaderTask() func(context.Context, api.Member) {
	if !c.Rules {
		return nil
	}
	log := cmp.Or(c.Log, logging.Discard())
	return func(ctx context.Context, m api.Member) { reconciler.New(log).Run(ctx, m, reconciler.Pause) }
}

// dialTimeout bounds an observer's dial.
const dialTimeout = 500 * time.Millisecond

// Open takes this process's part. It returns without waiting for any other. The error is one line with its place.
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
			Voters: voters, Bounds: record.DefaultBounds(), Domains: c.domains(), Dial: dial, Limits: c.Limits, Reign: c.leaderTask()})
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

// Figures are the member's, to be added to.
func (m *Member) Figures() *prometheus.Registry { return m.metrics.Registry }

// ruleLimits are the limits of the rules that a state has, for one goroutine. A state that cannot be read has those before.
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

// Addr is where other members connect.
func (m *Member) Addr() net.Addr { return m.listener.Addr() }

// Close ends this process's part: what it has acknowledged stays, others go on without it.
func (m *Member) Close() error {
	err := m.close()
	err = errors.Join(err, m.server.Close())
	<-m.served
	return err
}
