// Package measure times a cluster of real processes: failovers, a write's way to many observers, and what a sidecar's calls
// cost with a cluster beside them. docs/cluster.md has the figures. It is for Linux.
package measure

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"burlpass/internal/cluster/api"
	"burlpass/internal/clustertest/process"
	"burlpass/internal/clustertest/settings"
)

// patience bounds each wait for the processes to be as they should.
const patience = 30 * time.Second

// Name of the measured clusters.
const clusterName = "measured"

// member is one process that serves.
type member struct {
	name    string
	listen  string // of the cluster; "": none
	clients string
	admin   string
	binary  string
	dir     string
	proc    *process.Process
	ask     *api.Client
}

// fleet is some processes on loopback, each with a folder of its own below one.
type fleet struct {
	dir     string
	ports   []string
	workers []string // addresses that every sidecar knows
	all     []*member
	via     *http.Transport
}

func newFleet(dir string, processes int, workers ...string) (*fleet, error) {
	ports, err := freePorts(3 * processes)
	return &fleet{dir: dir, ports: ports, workers: workers, via: api.NewTransport(500*time.Millisecond, nil)}, err
}

// add readies a process; those whose configuration names others must know all of them, so start comes later.
func (f *fleet) add(name, binary string, clustered bool) *member {
	m := &member{name: name, binary: binary, dir: filepath.Join(f.dir, name), clients: f.ports[0], admin: f.ports[1]}
	if clustered {
		m.listen = f.ports[2]
		m.ask = api.NewClient(m.listen, f.via)
	}
	f.ports = f.ports[3:]
	f.all = append(f.all, m)
	return m
}

// configure writes a process's configuration. addr gives the voters' addresses as this process reaches them; nil: their own.
func (f *fleet) configure(m *member, voters []*member, addr func(to *member) string) error {
	p := &settings.Process{Name: m.name, Clients: m.clients, Operator: m.admin, Workers: f.workers}
	if m.listen != "" {
		p.Cluster = &settings.Cluster{Name: clusterName, Listen: m.listen, Folder: m.folder()}
		for _, v := range voters {
			to := v.listen
			if addr != nil && v != m {
				to = addr(v)
			}
			p.Cluster.Voters = append(p.Cluster.Voters, settings.Peer{Name: v.name, Addr: to})
		}
	}
	return p.Folders(m.dir)
}

func (m *member) folder() string { return settings.Folder(m.dir) }

// start starts the process; its log goes to a file beside its folder.
func (m *member) start() error {
	log, err := os.OpenFile(filepath.Join(m.dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	m.proc, err = process.Start(process.Options{Path: m.binary, Args: []string{"serve", "--config", settings.Config(m.dir)}, Dir: m.dir,
		Line: func(line string) { fmt.Fprintln(log, line) }, Gone: func(string) { log.Close() }})
	return err
}

// stop ends all processes.
func (f *fleet) stop() {
	for _, m := range f.all {
		if m.proc != nil {
			m.proc.Kill()
		}
	}
	f.via.CloseIdleConnections()
}

// status asks a member for what it says of itself, with little patience.
func (m *member) status(ctx context.Context) (api.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, 500*time.Millisecond)
	defer cancel()
	return m.ask.Status(ctx)
}

// await asks members over and over until one is as it should be.
func await(ctx context.Context, what string, of []*member, is func(*member, api.Status) bool) (*member, error) {
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	for {
		for _, m := range of {
			if s, err := m.status(ctx); err == nil && is(m, s) {
				return m, nil
			}
		}
		select {
		case <-ctx.Done():
			return nil, fmt.Errorf("%s: %w", what, ctx.Err())
		case <-time.After(10 * time.Millisecond):
		}
	}
}

// formed waits until one voter leads all the others, and each of them follows with its vote.
func formed(ctx context.Context, voters []*member) (leader *member, err error) {
	for _, v := range voters {
		if _, err = await(ctx, v.name+" with a vote", []*member{v}, func(_ *member, s api.Status) bool {
			votes := 0
			for _, other := range s.Voters {
				if other.Votes {
					votes++
				}
			}
			return votes == len(voters) && s.AgeMs >= 0 && s.Leader != ""
		}); err != nil {
			return nil, err
		}
	}
	return leading(ctx, voters)
}

func leading(ctx context.Context, voters []*member) (*member, error) {
	return await(ctx, "a leader", voters, func(_ *member, s api.Status) bool { return s.State == "leader" })
}

// freePorts gives addresses on loopback that were free a moment ago, below those that the system hands out by itself.
func freePorts(n int) ([]string, error) {
	var free []string
	for port := 12_000 + os.Getpid()%10_000; len(free) < n && port < 32_000; port++ {
		addr := fmt.Sprintf("127.0.0.1:%d", port)
		if probe(addr) == nil {
			free = append(free, addr)
		}
	}
	if len(free) < n {
		return nil, errors.New("no free ports")
	}
	return free, nil
}

// say prints a line of a report.
func say(w io.Writer, format string, args ...any) { fmt.Fprintf(w, format+"\n", args...) }
