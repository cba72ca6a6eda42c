// Package program puts a sidecar together: its configuration, its limits, its signals and its log.
package program

import (
	"cmp"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"reflect"
	"strconv"
	"strings"
	"time"

	"burlpass/decide"
	"burlpass/internal/config"
	"burlpass/internal/protocol"
	"burlpass/internal/routing"
)

// Config is what a sidecar is told at its start.
type Config struct {
	Path     string // of the file
	Name     string
	Listen   string
	Registry string
	Seed     uint64
	Operator string // host and port of the operators' door; none where empty
	StateDir string // where what outlives the process is kept, as $TMPDIR is kept over an upgrade; none where empty
	Inherit  bool   // the platform holds the clients' listening socket and hands it over as AcceptFD; else Listen is bound
	AcceptFD int
	Limits   Limits
	Known    *protocol.List
	Decide   decide.Config
	Names    routing.Names
	Cluster  *ClusterConfig // nil: this sidecar is by itself

	// Trace is shown every event and what the module chose, under the router's lock; nil for none.
	Trace func(now time.Duration, e decide.Event, actions []decide.Action, name func(decide.ServerID) string)

	readSource func() ([]byte, error) // the file's text; nil: read Path
	isReload   bool                   // of a reload: the cluster's folder is in use, and is not looked at
}

// Limits is what the platform grants one sidecar.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// Load reads the environment and the file that it names. Each error names what is at fault.
func Load(getenv func(string) string) (*Config, error) {
	c := &Config{}
	if fd := getenv("EDGE_ACCEPT_FD"); fd != "" {
		n, err := strconv.Atoi(fd)
		if err != nil || n < 0 {
			return nil, fmt.Errorf("EDGE_ACCEPT_FD: %q is not a descriptor: a number of 0 or more is expected", fd)
		}
		c.Inherit, c.AcceptFD = true, n
	}
	for _, v := range []struct {
		name   string
		target *string
	}{{"EDGE_NAME", &c.Name}, {"EDGE_LISTEN", &c.Listen}, {"EDGE_DISCOVERY", &c.Registry}, {"EDGE_CONFIG", &c.Path}} {
		if *v.target = getenv(v.name); *v.target == "" {
			return nil, fmt.Errorf("%s: missing", v.name)
		}
	}
	for _, v := range [][2]string{{"EDGE_LISTEN", c.Listen}, {"EDGE_DISCOVERY", c.Registry}} {
		if err := checkAddress(v[1]); err != nil {
			return nil, fmt.Errorf("%s: %w", v[0], err)
		}
	}
	c.Operator, c.StateDir = getenv("EDGE_OPERATOR"), getenv("TMPDIR")
	fromFile, err := c.read()
	if err != nil {
		return nil, fmt.Errorf("EDGE_CONFIG: %w", err)
	}
	c.Operator = cmp.Or(c.Operator, fromFile.operator)
	if c.Operator != "" {
		if err := checkAddress(c.Operator); err != nil {
			return nil, fmt.Errorf("EDGE_OPERATOR: %w", err)
		}
	}
	return c, nil
}

// Parse is Load for a sidecar that is told everything by its caller: read gives the text of the platform's JSON, also
// at each reload.
func Parse(name, listen, registry string, read func() ([]byte, error)) (*Config, error) {
	c := &Config{Path: name, Name: name, Listen: listen, Registry: registry, readSource: read}
	if _, err := c.read(); err != nil {
		return nil, err
	}
	return c, nil
}

// LoadFile reads a file that says all by itself: name, listen and registry as well.
func LoadFile(path string) (*Config, error) {
	c := &Config{Path: path}
	fromFile, err := c.read()
	if err != nil {
		return nil, err
	}
	c.Name, c.Listen, c.Registry, c.Operator = fromFile.name, fromFile.listen, fromFile.registry, fromFile.operator
	for _, v := range [][2]string{{"listen", c.Listen}, {"registry", c.Registry}, {"operator", c.Operator}} {
		if v[0] == "operator" && v[1] == "" {
			continue
		}
		if err := checkAddress(v[1]); err != nil {
			return nil, fmt.Errorf("%s: %s: %w", path, v[0], err)
		}
	}
	return c, nil
}

func checkAddress(addr string) error {
	host, port, err := net.SplitHostPort(addr)
	if err != nil {
		return err
	}
	if _, err := strconv.ParseUint(port, 10, 16); err != nil || host == "" {
		return fmt.Errorf("%q is not a host and a port", addr)
	}
	return nil
}

// Reload reads the file again, whole, and returns the configuration that it gives now. The registry is the
// file's; what belongs to the process stays.
func (c *Config) Reload() (*Config, error) {
	next := &Config{Path: c.Path, Name: c.Name, Listen: c.Listen, Operator: c.Operator, StateDir: c.StateDir, Inherit: c.Inherit, AcceptFD: c.AcceptFD,
		readSource: c.readSource, isReload: true}
	fromFile, err := next.read()
	if err != nil {
		return nil, err
	}
	next.Registry = fromFile.registry
	if err := checkAddress(next.Registry); err != nil {
		return nil, fmt.Errorf("%s: discovery: %w", c.Path, err)
	}
	return next, nil
}

// ChangesNeedingRestart names the parts in which another configuration differs and that take a new start to change.
func (c *Config) ChangesNeedingRestart(next *Config) (parts []string) {
	if c.Limits != next.Limits {
		parts = append(parts, "limits")
	}
	if !reflect.DeepEqual(c.Decide, next.Decide) || !reflect.DeepEqual(c.Names, next.Names) {
		parts = append(parts, "settings")
	}
	if !reflect.DeepEqual(c.Cluster, next.Cluster) {
		parts = append(parts, "cluster")
	}
	return parts
}

// Check reads a configuration file and returns all of its faults. The error says that it could not be read at all.
func Check(path string) (config.Faults, error) {
	_, err := (&Config{Path: path}).read()
	var faults config.Faults
	if errors.As(err, &faults) {
		return faults, nil
	}
	return nil, err
}

// own is what a file says of the sidecar's place; the environment overrides it.
type instanceSettings struct{ name, listen, registry, operator string }

// read takes in the file, TOML by its ending, else the platform's JSON.
func (c *Config) read() (instanceSettings, error) {
	source := c.readSource
	if source == nil {
		source = func() ([]byte, error) { return os.ReadFile(c.Path) }
	}
	text, err := source()
	if err != nil {
		return instanceSettings{}, err
	}
	if filepath.Ext(c.Path) == ".toml" {
		return c.parseTOML(text)
	}
	return c.parseJSON(text)
}

// settingKeys are the names under which a form of file has what check looks at.
type settingKeys struct{ zone, classes, connectTimeout, maxAttempts, fallMultiple, startCapacity, window, memory string }

// check looks for what no single value shows. Both forms of file go through it.
func (c *Config) check(file *config.File, keys settingKeys) {
	if !(c.Limits.Cores > 0) {
		file.Fail("limits.cores", "%v: more than 0 is expected", c.Limits.Cores)
	}
	if c.Limits.MemoryMB <= 0 {
		file.Fail(keys.memory, "more than 0 is expected")
	}
	if c.Limits.Sockets <= 0 {
		file.Fail("limits.sockets", "more than 0 is expected")
	}
	settings := &c.Decide
	if settings.ConnectTime <= 0 {
		file.Fail(keys.connectTimeout, "more than 0 is expected: no connection would ever come up in time")
	}
	if settings.Limits.MaxAttempts < 1 {
		file.Fail(keys.maxAttempts, "at least 1 is expected")
	}
	if settings.Safety.FallMultiple < 1 {
		file.Fail(keys.fallMultiple, "%v: at least 1 is expected", settings.Safety.FallMultiple)
	}
	if settings.Safety.StartShare <= 0 || settings.Safety.StartShare > 1 {
		file.Fail(keys.startCapacity, "%v: above 0 and up to 1 is expected", settings.Safety.StartShare)
	}
	if len(settings.Classes) == 0 {
		file.Fail(keys.classes, "at least one class is expected")
	}
	if len(c.Names.Zones) > 0 && (settings.Zone < 0 || settings.Zone >= len(c.Names.Zones)) {
		file.Fail(keys.zone, "%d is no place in the list of %d", settings.Zone, len(c.Names.Zones))
	}
	seen := map[string]bool{}
	for i, name := range c.Names.Classes {
		key := fmt.Sprintf("%s[%d]", keys.classes, i)
		if name == "" || strings.ContainsAny(name, "/? \t\r\n") || seen[name] {
			file.Fail(key+".name", "%q: a name of its own that can be part of a path is expected", name)
		}
		seen[name] = true
		if i < len(settings.Classes) && settings.Classes[i].Effect == decide.Keyed && settings.Classes[i].Window <= 0 {
			file.Fail(key+"."+keys.window, "a keyed class needs a window above 0")
		}
	}
}
