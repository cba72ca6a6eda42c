package program

import (
	"cmp"
	"errors"
	"fmt"
	"io/fs"
	"net/netip"
	"os"
	"regexp"

	"burlpass/internal/config"
)

// ClusterConfig is the [cluster] section: it makes this process a member of a cluster that replicates one record. Only the
// TOML form has it. Load, LoadFile and Check validate all of it, including the folder.
type ClusterConfig struct {
	// Name is the cluster's name, the same at every member. It and every member's name consist of 1 to 64 characters of
	// A-Z, a-z, 0-9, '.', '_' and '-'.
	Name string `toml:"name" required:"true" doc:"name of the cluster, the same at every member: 1 to 64 letters, digits, . _ -"`
	// Member is this process's name within the cluster.
	Member string `toml:"member" required:"true" doc:"this process's name in the cluster, written like the cluster's"`
	// Listen is the address for cluster traffic, IPv4:port; port 0 picks a free port.
	Listen string `toml:"listen" required:"true" doc:"IPv4 address and port where the other members connect, as plain HTTP without sign-in: it needs a closed network"`
	// Folder is an existing, writable directory; "" for an observer that persists nothing.
	Folder string `toml:"folder" doc:"folder for what outlives the process; it must exist and belong to this member alone. Observers may do without"`
	// Voters is an odd number of members, at most 7, with unique names and addresses.
	Voters []ClusterPeer `toml:"voters" required:"true" doc:"the members that vote, this one too where it does: 1, 3, 5 or 7"`
	// Follow lists observers other than this member, with names and addresses that no voter has.
	Follow []ClusterPeer `toml:"follow" doc:"observers that this member may follow, beside the voters"`
	RulesConfig
}

// ClusterPeer is a cluster member and the address at which this process reaches it.
type ClusterPeer struct {
	Name string `toml:"name" required:"true" doc:"its name"`
	Addr string `toml:"addr" required:"true" doc:"IPv4 address and port where this process reaches it; that need not be where it listens"`
}

// Voting reports whether this member is a voter; otherwise it is an observer.
func (c *ClusterConfig) Voting() bool {
	for _, v := range c.Voters {
		if v.Name == c.Member {
			return true
		}
	}
	return false
}

const maxVoters = 7

var memberNamePattern = regexp.MustCompile(`^[A-Za-z0-9._-]{1,64}$`)

// configuredAddress is another address of the sidecar, with the key that sets it.
type configuredAddress struct{ key, addr string }

// check reports every fault of the section to file. The others are the sidecar's other addresses; checkDir says whether to
// check the folder.
func (c *ClusterConfig) check(file *config.File, others []configuredAddress, checkDir bool) {
	checker := memberChecker{file: file, cluster: c, roleByName: map[string]string{}, ownerByAddr: map[netip.AddrPort]string{}}
	checker.checkName("cluster.name", c.Name)
	checker.checkName("cluster.member", c.Member)
	if checker.listen = checker.checkAddr("cluster.listen", c.Listen); checker.listen.IsValid() {
		for _, other := range others {
			if conflictsWith(checker.listen, other) {
				file.AddError("cluster.listen", "%s is already the sidecar's %s address; use a separate address", c.Listen, other.key)
			}
		}
	}
	c.RulesConfig.check(file)
	for i, voter := range c.Voters {
		checker.checkPeer(fmt.Sprintf("cluster.voters[%d]", i), voter, "voter")
	}
	for i, observer := range c.Follow {
		checker.checkPeer(fmt.Sprintf("cluster.follow[%d]", i), observer, "observer")
	}
	if n := len(c.Voters); (n%2 == 0 || n > maxVoters) && !file.HasError("cluster.voters") {
		file.AddError("cluster.voters", "%d voters; must be 1, 3, 5 or 7", n)
	}
	switch {
	case file.HasError("cluster.folder"):
	case c.Folder == "" && c.Voting():
		file.AddError("cluster.folder", "missing; voter %q requires a folder", c.Member)
	case c.Folder != "" && checkDir:
		if err := checkWritableDir(c.Folder); err != nil {
			file.AddError("cluster.folder", "%v", err)
		}
	}
}

// memberChecker checks the members of a section and remembers the names and addresses seen so far.
type memberChecker struct {
	file        *config.File
	cluster     *ClusterConfig
	listen      netip.AddrPort
	roleByName  map[string]string // "voter" or "observer"
	ownerByAddr map[netip.AddrPort]string
}

// checkName checks the syntax of a name. It returns false if the name is missing or invalid, so that no further checks apply.
func (m *memberChecker) checkName(key, name string) bool {
	if m.file.HasError(key) {
		return false
	}
	if !memberNamePattern.MatchString(name) {
		m.file.AddError(key, "%q: must be 1 to 64 letters, digits, '.', '_' or '-'", name)
		return false
	}
	return true
}

// checkAddr parses an address. The result is the invalid zero value if the address is missing or malformed.
func (m *memberChecker) checkAddr(key, addr string) netip.AddrPort {
	if m.file.HasError(key) {
		return netip.AddrPort{}
	}
	parsed, err := netip.ParseAddrPort(addr)
	if err != nil || !parsed.Addr().Is4() {
		m.file.AddError(key, "%q: must be an IPv4 address and port, such as 127.0.0.1:7101", addr)
		return netip.AddrPort{}
	}
	return parsed
}

func (m *memberChecker) checkPeer(key string, p ClusterPeer, role string) {
	if nameKey := key + ".name"; m.checkName(nameKey, p.Name) {
		switch knownRole, seen := m.roleByName[p.Name]; {
		case knownRole == role:
			m.file.AddError(nameKey, "%q is listed twice", p.Name)
		case seen:
			m.file.AddError(nameKey, "%q is a %s, not an observer", p.Name, knownRole)
		case role == "observer" && p.Name == m.cluster.Member:
			m.file.AddError(nameKey, "%q is this member itself", p.Name)
		default:
			m.roleByName[p.Name] = role
		}
	}
	addrKey := key + ".addr"
	parsed := m.checkAddr(addrKey, p.Addr)
	switch owner := m.ownerByAddr[parsed]; {
	case !parsed.IsValid():
	case parsed.Port() == 0 || parsed.Addr().IsUnspecified():
		m.file.AddError(addrKey, "%s is not a reachable address", p.Addr)
	case owner != "":
		m.file.AddError(addrKey, "%s is already the address of %q", p.Addr, owner)
	case parsed == m.listen && p.Name != m.cluster.Member && !m.file.HasError("cluster.member"):
		m.file.AddError(addrKey, "%s is this member's own listen address", p.Addr)
	default:
		m.ownerByAddr[parsed] = cmp.Or(p.Name, key)
	}
}

// conflictsWith says whether listening on a meets another of the sidecar's addresses. Only the registry's is not listened on.
func conflictsWith(listen netip.AddrPort, other configuredAddress) bool {
	otherAddr, err := netip.ParseAddrPort(other.addr)
	if err != nil || listen.Port() == 0 || listen.Port() != otherAddr.Port() {
		return false
	}
	wildcard := listen.Addr().IsUnspecified() || otherAddr.Addr().IsUnspecified()
	return listen.Addr() == otherAddr.Addr() || wildcard && other.key != "registry"
}

// checkWritableDir says what is wrong with a folder that is to be written to. The trial leaves nothing behind.
func checkWritableDir(path string) error {
	info, err := os.Stat(path)
	switch {
	case errors.Is(err, fs.ErrNotExist):
		return fmt.Errorf("%q does not exist; a folder that only this member uses is required", path)
	case err != nil:
		return err
	case !info.IsDir():
		return fmt.Errorf("%q is not a folder", path)
	}
	probeFile, err := os.CreateTemp(path, ".burlpass-trial-*")
	if err != nil {
		var pathErr *fs.PathError
		if errors.As(err, &pathErr) {
			err = pathErr.Err
		}
		return fmt.Errorf("%q is not writable: %w", path, err)
	}
	return errors.Join(probeFile.Close(), os.Remove(probeFile.Name()))
}
