package run

import (
	"context"
	"net"
	"syscall"

	"burlpass/internal/clustertest/process"
	"burlpass/internal/clustertest/relay"
)

// World is what members of a run live in, where that is not real processes with relays between them.
type World interface {
	// Start gives a member another life on its folder. line is given what it logs; gone is called once the life has ended, by
	// whatever, and before the body's Done is closed.
	Start(member, folder string, line, gone func(string)) (Body, error)
	// Wire is what stands between who dials and who is dialled.
	Wire(from, to string) Wire
	// Dial reaches a member past all wires, by its name as host.
	Dial(ctx context.Context, network, addr string) (net.Conn, error)
}

// Body is one life of a member.
type Body interface {
	Pid() int
	Done() <-chan struct{}
	Signal(syscall.Signal) error
	Kill() // returns when it has gone
	LimitFiles(bytes uint64) error
}

// Wire is one ordered pair of members' way to each other.
type Wire interface {
	Addr() string // to dial in place of the target's
	Set(relay.Direction, relay.Fault)
	Greet(relay.Greeting)
	Sever()
	Close()
}

var (
	_ Body = (*process.Process)(nil)
	_ Wire = (*relay.Relay)(nil)
)

// turn is a lock whose waiters wait on a channel: on virtual time nobody may hold a mutex while time has to pass.
type turn chan struct{}

func newTurn() turn { return make(turn, 1) }

func (t turn) Lock()   { t <- struct{}{} }
func (t turn) Unlock() { <-t }
