package run

import (
	"errors"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"burlpass/internal/clustertest/history"
	"burlpass/internal/clustertest/leases"
	"burlpass/internal/clustertest/process"
	"burlpass/internal/clustertest/settings"
)

// member is one process of the fleet, through all its lives.
type member struct {
	name    string
	voter   bool
	dir     string // the process's own; beside others it has the folder that outlives it
	listen  string // of the cluster
	clients string
	admin   string
	workers []string // that its sidecar knows
	rules   bool     // it has rules of teams and logs its leases
	binary  string
	log     *journal
	seen    *recorder
	crashed func(m *member, how string)

	world World // nil: real processes

	act turn // held while the process is started or ended

	mu     sync.Mutex
	proc   Body
	wanted bool // it is being ended by the test
	downs  int  // faults that want it down
	stops  int  // faults that want it stopped
	lives  int
	turns  int // starts and stops
}

func (m *member) folder() string { return settings.Folder(m.dir) }

// configure writes the member's configuration: it reaches every other one through its own relay.
func (m *member) configure(voters, observers []string, addr func(to string) string) error {
	c := &settings.Cluster{Name: "plant", Listen: m.listen, Folder: m.folder()}
	for _, name := range voters {
		c.Voters = append(c.Voters, settings.Peer{Name: name, Addr: addr(name)})
	}
	for _, name := range observers {
		if !m.voter && name != m.name {
			c.Follow = append(c.Follow, settings.Peer{Name: name, Addr: addr(name)})
		}
	}
	if m.rules {
		c.More = "rules = true\n"
	}
	return (&settings.Process{Name: m.name, Clients: m.clients, Operator: m.admin, Workers: m.workers, Cluster: c}).Folders(m.dir)
}

// start starts the process unless it runs or a fault wants it down.
func (m *member) start() error {
	m.act.Lock()
	defer m.act.Unlock()
	m.mu.Lock()
	idle := m.proc == nil && m.downs == 0
	m.mu.Unlock()
	if !idle {
		return nil
	}
	m.seen.began(m.name, m.log.now(), !m.voter)
	var own Body
	ready := make(chan struct{})
	p, err := m.launch(m.said, func(how string) {
		<-ready
		m.gone(own, how)
	})
	if err != nil {
		return err
	}
	own = p
	m.mu.Lock()
	m.proc, m.wanted = p, false
	m.lives++
	m.turns++
	m.mu.Unlock()
	close(ready)
	m.log.note(m.name, "* started, process %d", p.Pid())
	return nil
}

// launch starts what the member runs on.
func (m *member) launch(line, gone func(string)) (Body, error) {
	if m.world != nil {
		return m.world.Start(m.name, m.folder(), line, gone)
	}
	args := []string{"serve", "--config", settings.Config(m.dir)}
	if m.rules {
		args = append(args, "--log-level", "debug")
	}
	p, err := process.Start(process.Options{Path: m.binary, Args: args, Dir: m.dir,
		Env: []string{"TMPDIR=" + filepath.Join(m.dir, "tmp")}, Line: line, Gone: gone})
	if err != nil {
		return nil, err
	}
	return p, nil
}

// said is told each line of the process.
func (m *member) said(line string) {
	m.log.note(m.name, "%s", line)
	if strings.Contains(line, "event=cluster_following ") {
		m.seen.heard(m.name, m.log.now())
	}
	if l, ok := leases.Parse(line); ok {
		m.seen.lease(l)
	}
	if strings.Contains(line, "event=rules ") {
		field := func(key string) string {
			_, rest, _ := strings.Cut(line, " "+key+"=")
			value, _, _ := strings.Cut(rest, " ")
			return value
		}
		if other := m.seen.table(m.name, field("version"), field("hash")); other != "" {
			b := history.Breach{Promise: history.SameTable, At: m.log.now(), Text: m.name + " and " + other + " have different tables at version " + field("version")}
			m.log.note("test", "BROKEN %s", b)
			m.seen.breach(b)
		}
	}
}

// turn tells one state of the process from others; 0 while it does not run freely.
func (m *member) turn() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.proc == nil || m.wanted || m.downs > 0 || m.stops > 0 {
		return 0
	}
	return m.turns
}

// gone is told that a process has ended.
func (m *member) gone(p Body, how string) {
	m.mu.Lock()
	if m.proc == p {
		m.proc = nil
	}
	wanted := m.wanted
	m.mu.Unlock()
	m.log.note(m.name, "* ended: %s", how)
	if !wanted {
		m.crashed(m, how)
	}
}

// running is the process of now, nil for none.
func (m *member) running() Body {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.proc
}

// down ends the process for a fault, by SIGTERM with a time to end in or, where that is 0, by SIGKILL. It is false where it
// had to be killed after that time.
func (m *member) down(within time.Duration) bool {
	m.mu.Lock()
	m.downs++
	m.mu.Unlock()
	return m.end(within)
}

func (m *member) end(within time.Duration) bool {
	m.act.Lock()
	defer m.act.Unlock()
	m.mu.Lock()
	p := m.proc
	m.wanted = true
	stopped := m.stops > 0
	m.mu.Unlock()
	if p == nil {
		return true
	}
	if within > 0 && !stopped && p.Signal(syscall.SIGTERM) == nil {
		select {
		case <-p.Done():
			return true
		case <-time.After(within):
			m.log.note(m.name, "* still there %v after SIGTERM", within)
			p.Kill()
			return false
		}
	}
	p.Kill()
	return true
}

// up ends what down began.
func (m *member) up() error {
	m.mu.Lock()
	m.downs = max(0, m.downs-1)
	m.mu.Unlock()
	return m.start()
}

// stop and resume are SIGSTOP and SIGCONT, counted.
func (m *member) stop() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stops++
	m.turns++
	if m.proc != nil {
		_ = m.proc.Signal(syscall.SIGSTOP)
	}
}

func (m *member) resume() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.stops--; m.stops == 0 && m.proc != nil {
		_ = m.proc.Signal(syscall.SIGCONT)
	}
}

// wipe empties the folder of a process that is down.
func (m *member) wipe() error {
	entries, err := os.ReadDir(m.folder())
	if err != nil {
		return err
	}
	for _, e := range entries {
		err = errors.Join(err, os.RemoveAll(filepath.Join(m.folder(), e.Name())))
	}
	return err
}

// The files that Faulty reads.
const (
	clockFile = "clock"
	syncFile  = "sync"
)

// set puts milliseconds into one of the files that a build with Faulty reads; 0 takes it away.
func (m *member) set(file string, ms int64) error {
	path := filepath.Join(m.dir, file)
	if ms == 0 {
		return os.Remove(path)
	}
	if err := os.WriteFile(path+".new", []byte(strconv.FormatInt(ms, 10)), 0o600); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}
