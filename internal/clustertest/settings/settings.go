// Package settings writes the configuration of the processes that tests and measurements of a cluster start: one sidecar of one
// core on loopback, with or without its part in a cluster.
package settings

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
)

// Peer is another member, as this process reaches it.
type Peer struct{ Name, Addr string }

// Process is one process. Addresses are host:port.
type Process struct {
	Name     string
	Clients  string   // where it takes calls
	Operator string   // the operators'
	Workers  []string // addresses that it knows from the start
	Cluster  *Cluster // nil: it has no part in one
}

// Cluster is its part in a cluster.
type Cluster struct {
	Name   string
	Listen string
	Folder string
	Voters []Peer // its own address among them, where it is one
	Follow []Peer // observers that it may follow
	More   string // further lines of the section
}

// Folders makes what a process needs below its own folder, and writes its configuration there.
func (p *Process) Folders(dir string) error {
	for _, name := range []string{filepath.Join(dir, "tmp"), Folder(dir)} {
		if err := os.MkdirAll(name, 0o700); err != nil {
			return err
		}
	}
	return os.WriteFile(Config(dir), []byte(p.String()), 0o600)
}

// Folder is what outlives a process, below its own folder; Config is its configuration.
func Folder(dir string) string { return filepath.Join(dir, "cluster") }

// Config is where the configuration of a process with a folder is.
func Config(dir string) string { return filepath.Join(dir, "config.toml") }

// String gives the configuration.
func (p *Process) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, `name = %q
listen = %q
registry = "127.0.0.1:9"
operator = %q
zone = "hall-a"
zones = ["hall-a"]

[limits]
cores = 1.0
memory = "192MiB"
sockets = 1024

[[class]]
name = "availability"
effect = "safe"
aim = "600ms"
deadline = "3s"
`, p.Name, p.Clients, p.Operator)
	for i, w := range p.Workers {
		fmt.Fprintf(&b, "\n[[worker]]\nid = \"s-%d\"\naddress = %q\nzone = \"hall-a\"\n", i+1, w)
	}
	c := p.Cluster
	if c == nil {
		return b.String()
	}
	fmt.Fprintf(&b, "\n[cluster]\nname = %q\nmember = %q\nlisten = %q\nfolder = %q\n%s", c.Name, p.Name, c.Listen, c.Folder, c.More)
	for _, list := range []struct {
		key   string
		peers []Peer
	}{{"voters", c.Voters}, {"follow", c.Follow}} {
		if len(list.peers) == 0 {
			continue
		}
		fmt.Fprintf(&b, "%s = [\n", list.key)
		for _, peer := range list.peers {
			fmt.Fprintf(&b, "  { name = %q, addr = %q },\n", peer.Name, peer.Addr)
		}
		b.WriteString("]\n")
	}
	return b.String()
}
