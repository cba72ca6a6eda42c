// Package membership describes this process's membership in a cluster to the parts of the sidecar that use it. The
// implementation is in package member, so that a program that serves no cluster does not contain it.
package membership

import (
	"log/slog"
	"net"

	"burlpass/internal/enforcement"
	"burlpass/internal/limits"
	"burlpass/internal/orders"
	"burlpass/internal/protocol"
)

// Peer is the name and address of another member.
type Peer struct{ Name, Addr string }

// Config describes a member of a cluster.
type Config struct {
	Name   string // of the cluster
	Member string // name of this process; it is a voter if Voters contains it
	Listen string // cluster address, host:port
	Folder string // data folder; "" for an observer without persistent state
	Voters []Peer // in the same order at all members
	Follow []Peer // further observers that may be followed
	Rules  bool   // whether the record holds rules of teams
}

// Member is an open membership.
type Member interface {
	orders.Member
	limits.Member
	// RegisterRules adds the counters of calls refused by rules to the metrics that the member serves.
	RegisterRules(*enforcement.Enforcer)
	// RegisterLoad adds the load of the process's server, and how long its work waits for the processor, to these metrics.
	RegisterLoad(report func() protocol.LoadReport)
	Addr() net.Addr // that the member listens on
	Close() error
}

// Opener opens a membership.
type Opener func(Config, *slog.Logger) (Member, error)
