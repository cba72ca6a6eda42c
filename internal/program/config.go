// Package program puts a sidecar together: its configuration, its limits, its signals and its log.
package program

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"reflect"
	"strconv"
	"strings"

	"burlpass/decide"
	"burlpass/internal/protocol"
	"burlpass/internal/routing"
	"burlpass/wire"
)

// Config is what a sidecar is told at its start.
type Config struct {
	Path     string // of the file
	Name     string
	Listen   string
	Registry string
	Seed     uint64
	Limits   Limits
	Known    *protocol.List
	Decide   decide.Config
	Names    routing.Names
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
	for _, v := range []struct {
		name string
		to   *string
	}{{"EDGE_NAME", &c.Name}, {"EDGE_LISTEN", &c.Listen}, {"EDGE_DISCOVERY", &c.Registry}, {"EDGE_CONFIG", &c.Path}} {
		if *v.to = getenv(v.name); *v.to == "" {
			return nil, fmt.Errorf("%s: missing", v.name)
		}
	}
	for _, v := range [][2]string{{"EDGE_LISTEN", c.Listen}, {"EDGE_DISCOVERY", c.Registry}} {
		if err := checkAddress(v[1]); err != nil {
			return nil, fmt.Errorf("%s: %w", v[0], err)
		}
	}
	if _, err := c.read(); err != nil {
		return nil, fmt.Errorf("EDGE_CONFIG: %w", err)
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
	next := &Config{Path: c.Path, Name: c.Name, Listen: c.Listen}
	var err error
	if next.Registry, err = next.read(); err != nil {
		return nil, err
	}
	if err := checkAddress(next.Registry); err != nil {
		return nil, fmt.Errorf("%s: discovery: %w", c.Path, err)
	}
	return next, nil
}

// Fixed names the parts in which another configuration differs and that take a new start to change.
func (c *Config) Fixed(next *Config) (parts []string) {
	if c.Limits != next.Limits {
		parts = append(parts, "limits")
	}
	if !reflect.DeepEqual(c.Decide, next.Decide) || !reflect.DeepEqual(c.Names, next.Names) {
		parts = append(parts, "settings")
	}
	return parts
}

// read takes in the file and returns the registry that it names.
func (c *Config) read() (registry string, err error) {
	text, err := os.ReadFile(c.Path)
	if err != nil {
		return "", err
	}
	if registry, err = c.parse(text); err != nil {
		return "", fmt.Errorf("%s: %w", c.Path, err)
	}
	return registry, nil
}

func (c *Config) parse(text []byte) (registry string, err error) {
	var file struct {
		Seed      string          `json:"seed"`
		Discovery string          `json:"discovery"`
		Limits    Limits          `json:"limits"`
		Known     json.RawMessage `json:"known"`
		Settings  json.RawMessage `json:"settings"`
	}
	if err := json.Unmarshal(text, &file); err != nil {
		return "", err
	}
	if c.Seed, err = strconv.ParseUint(file.Seed, 16, 64); err != nil {
		return "", fmt.Errorf("seed: %w", err)
	}
	if c.Limits = file.Limits; !(c.Limits.Cores > 0) || c.Limits.MemoryMB <= 0 || c.Limits.Sockets <= 0 {
		return "", errors.New("limits: cores, memory_mb and sockets must be above 0")
	}
	if c.Known, err = protocol.ParseList(file.Known); err != nil {
		return "", fmt.Errorf("known: %w", err)
	}
	flat, err := flatten(file.Settings)
	if err != nil {
		return "", fmt.Errorf("settings: %w", err)
	}
	if c.Decide, err = wire.ParseSettings(flat); err != nil {
		return "", err
	}
	var names struct {
		Zones   []string                `json:"zones"`
		Kinds   []string                `json:"machine_types"`
		Classes []struct{ Name string } `json:"classes"`
	}
	if err := json.Unmarshal(file.Settings, &names); err != nil {
		return "", fmt.Errorf("settings: %w", err)
	}
	c.Names = routing.Names{Zones: names.Zones, Kinds: names.Kinds}
	for _, k := range names.Classes {
		c.Names.Classes = append(c.Names.Classes, k.Name)
	}
	return file.Discovery, nil
}

// flatten writes nested JSON as the path=value lines that the module's settings parser reads.
func flatten(text []byte) ([]byte, error) {
	d := json.NewDecoder(bytes.NewReader(text))
	d.UseNumber()
	var v map[string]any
	if err := d.Decode(&v); err != nil {
		return nil, err
	}
	var out bytes.Buffer
	flattenObject(&out, "", v)
	return out.Bytes(), nil
}

func flattenObject(out io.Writer, prefix string, v map[string]any) {
	for key, value := range v {
		path := prefix + key
		switch value := value.(type) {
		case map[string]any:
			flattenObject(out, path+".", value)
		case []any:
			flattenList(out, path, value)
		default:
			fmt.Fprintf(out, "%s=%s\n", path, plain(value))
		}
	}
}

// flattenList writes a list of plain values as one line, a list of objects as its length and its items.
func flattenList(out io.Writer, path string, list []any) {
	words, objects := []string{}, 0
	for i, item := range list {
		if object, ok := item.(map[string]any); ok {
			objects++
			flattenObject(out, fmt.Sprintf("%s.%d.", path, i), object)
		} else {
			words = append(words, plain(item))
		}
	}
	if objects > 0 {
		fmt.Fprintf(out, "%s.count=%d\n", path, objects)
	} else {
		fmt.Fprintf(out, "%s=%s\n", path, strings.Join(words, ","))
	}
}

// plain writes one value; what would end it or its line is replaced.
func plain(v any) string {
	if v == nil {
		return ""
	}
	return strings.NewReplacer(" ", "_", ",", "_", "\n", "_", "\r", "_").Replace(fmt.Sprint(v))
}
