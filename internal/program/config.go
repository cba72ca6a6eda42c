// Package program assembles a sidecar: its configuration, resource limits, signal handling and log.
//
// In this package a worker is a backend, a call is a client's request, and the registry is the service discovery.
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
	"burlpass/internal/membership"
	"burlpass/internal/protocol"
	"burlpass/internal/routing"
)

// Config is the configuration of a sidecar at its start.
type Config struct {
	Path     string // of the configuration file
	Name     string
	Listen   string
	Registry string
	Seed     uint64
	Operator string // host and port of the admin listener; "" for none
	StateDir string // for state that outlives the process: $TMPDIR, which survives an upgrade; "" for none
	Inherit  bool   // take over the platform's listening socket AcceptFD instead of binding Listen
	AcceptFD int
	Limits   Limits
	Known    *protocol.List
	Decide   decide.Config
	Names    routing.Names
	Cluster  *ClusterConfig // nil: not a cluster member

	OpenCluster membership.Opener // opens the member that Cluster describes; nil in a program without support for clusters

	// Trace, if set, is called under the router's lock with every event and the actions that the decision module chose.
	Trace func(now time.Duration, e decide.Event, actions []decide.Action, name func(decide.ServerID) string)

	readSource func() ([]byte, error) // returns the file's text; nil reads Path
	isReload   bool                   // skips the check of the cluster's folder, which is in use then
}

// Limits are the resources that the platform grants one sidecar.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// Load reads the environment variables and the file that EDGE_CONFIG names. Each error names the variable or key at fault.
func Load(getenv func(string) string) (*Config, error) {
	c := &Config{}
	if fd := getenv("EDGE_ACCEPT_FD"); fd != "" {
		n, err := strconv.Atoi(fd)
		if err != nil || n < 0 {
			return nil, fmt.Errorf("EDGE_ACCEPT_FD: %q is not a file descriptor: must be 0 or greater", fd)
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

// Parse builds a configuration from its arguments instead of the environment. It calls read for the text of the platform's
// JSON, now and at each reload.
func Parse(name, listen, registry string, read func() ([]byte, error)) (*Config, error) {
	c := &Config{Path: name, Name: name, Listen: listen, Registry: registry, readSource: read}
	if _, err := c.read(); err != nil {
		return nil, err
	}
	return c, nil
}

// LoadFile reads a self-contained file, which also sets name, listen and registry.
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
		return fmt.Errorf("%q is not a valid host:port", addr)
	}
	return nil
}

// Reload reads the whole file again and returns the new configuration. The registry comes from the file; name, addresses
// and other properties of the process stay.
func (c *Config) Reload() (*Config, error) {
	next := &Config{
		Path:       c.Path,
		Name:       c.Name,
		Listen:     c.Listen,
		Operator:   c.Operator,
		StateDir:   c.StateDir,
		Inherit:    c.Inherit,
		AcceptFD:   c.AcceptFD,
		readSource: c.readSource,
		isReload:   true,
	}
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

// ChangesNeedingRestart names the sections in which next differs from c and that take effect only after a restart.
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

// Check reads a configuration file and returns all of its faults. The error is set if the file could not be read at all.
func Check(path string) (config.FileErrors, error) {
	_, err := (&Config{Path: path}).read()
	var faults config.FileErrors
	if errors.As(err, &faults) {
		return faults, nil
	}
	return nil, err
}

// instanceSettings are a file's name and addresses of the sidecar; the environment overrides them.
type instanceSettings struct{ name, listen, registry, operator string }

// read parses the file: as TOML if its extension is .toml, otherwise as the platform's JSON.
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

// settingKeys are the keys of the checked settings in one of the two file formats.
type settingKeys struct{ zone, classes, connectTimeout, maxAttempts, fallMultiple, startCapacity, window, memory string }

// check validates the settings that both file formats share, including rules that span several values.
func (c *Config) check(file *config.File, keys settingKeys) {
	if !(c.Limits.Cores > 0) {
		file.AddError("limits.cores", "%v: must be greater than 0", c.Limits.Cores)
	}
	if c.Limits.MemoryMB <= 0 {
		file.AddError(keys.memory, "must be greater than 0")
	}
	if c.Limits.Sockets <= 0 {
		file.AddError("limits.sockets", "must be greater than 0")
	}
	settings := &c.Decide
	if settings.ConnectTime <= 0 {
		file.AddError(keys.connectTimeout, "must be greater than 0, otherwise every connection attempt times out")
	}
	if settings.Limits.MaxAttempts < 1 {
		file.AddError(keys.maxAttempts, "must be at least 1")
	}
	if settings.Safety.FallMultiple < 1 {
		file.AddError(keys.fallMultiple, "%v: must be at least 1", settings.Safety.FallMultiple)
	}
	if settings.Safety.StartShare <= 0 || settings.Safety.StartShare > 1 {
		file.AddError(keys.startCapacity, "%v: must be greater than 0 and at most 1", settings.Safety.StartShare)
	}
	if len(settings.Classes) == 0 {
		file.AddError(keys.classes, "at least one class is required")
	}
	if len(c.Names.Zones) > 0 && (settings.Zone < 0 || settings.Zone >= len(c.Names.Zones)) {
		file.AddError(keys.zone, "%d is not an index into the list of %d zones", settings.Zone, len(c.Names.Zones))
	}
	seen := map[string]bool{}
	for i, name := range c.Names.Classes {
		key := fmt.Sprintf("%s[%d]", keys.classes, i)
		if name == "" || strings.ContainsAny(name, "/? \t\r\n") || seen[name] {
			file.AddError(key+".name", "%q: must be a unique name that can be a path segment", name)
		}
		seen[name] = true
		if i < len(settings.Classes) && settings.Classes[i].Effect == decide.Keyed && settings.Classes[i].Window <= 0 {
			file.AddError(key+"."+keys.window, "a keyed class requires a window greater than 0")
		}
	}
}
