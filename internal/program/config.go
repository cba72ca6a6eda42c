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
	"strconv"
	"strings"

	"burlpass/decide"
	"burlpass/internal/protocol"
	"burlpass/internal/routing"
	"burlpass/wire"
)

// Config is what a sidecar is told at its start.
type Config struct {
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
	var path string
	for _, v := range []struct {
		name string
		to   *string
	}{{"EDGE_NAME", &c.Name}, {"EDGE_LISTEN", &c.Listen}, {"EDGE_DISCOVERY", &c.Registry}, {"EDGE_CONFIG", &path}} {
		if *v.to = getenv(v.name); *v.to == "" {
			return nil, fmt.Errorf("%s: missing", v.name)
		}
	}
	for _, v := range [][2]string{{"EDGE_LISTEN", c.Listen}, {"EDGE_DISCOVERY", c.Registry}} {
		if host, port, err := net.SplitHostPort(v[1]); err != nil {
			return nil, fmt.Errorf("%s: %w", v[0], err)
		} else if _, err := strconv.ParseUint(port, 10, 16); err != nil || host == "" {
			return nil, fmt.Errorf("%s: %q is not a host and a port", v[0], v[1])
		}
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("EDGE_CONFIG: %w", err)
	}
	if err := c.parse(text); err != nil {
		return nil, fmt.Errorf("EDGE_CONFIG: %s: %w", path, err)
	}
	return c, nil
}

func (c *Config) parse(text []byte) error {
	var file struct {
		Seed     string          `json:"seed"`
		Limits   Limits          `json:"limits"`
		Known    json.RawMessage `json:"known"`
		Settings json.RawMessage `json:"settings"`
	}
	if err := json.Unmarshal(text, &file); err != nil {
		return err
	}
	var err error
	if c.Seed, err = strconv.ParseUint(file.Seed, 16, 64); err != nil {
		return fmt.Errorf("seed: %w", err)
	}
	if c.Limits = file.Limits; !(c.Limits.Cores > 0) || c.Limits.MemoryMB <= 0 || c.Limits.Sockets <= 0 {
		return errors.New("limits: cores, memory_mb and sockets must be above 0")
	}
	if c.Known, err = protocol.ParseList(file.Known); err != nil {
		return fmt.Errorf("known: %w", err)
	}
	flat, err := flatten(file.Settings)
	if err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	if c.Decide, err = wire.ParseSettings(flat); err != nil {
		return err
	}
	var names struct {
		Zones   []string                `json:"zones"`
		Kinds   []string                `json:"machine_types"`
		Classes []struct{ Name string } `json:"classes"`
	}
	if err := json.Unmarshal(file.Settings, &names); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	c.Names = routing.Names{Zones: names.Zones, Kinds: names.Kinds}
	for _, k := range names.Classes {
		c.Names.Classes = append(c.Names.Classes, k.Name)
	}
	return nil
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
