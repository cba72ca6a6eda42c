package program

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"regexp"
	"strconv"
	"strings"

	"burlpass/internal/config"
	"burlpass/internal/protocol"
	"burlpass/internal/routing"
	"burlpass/wire"
)

// parse reads the platform's JSON. The error holds every fault.
func (c *Config) parse(text []byte) (own, error) {
	var file struct {
		Name      string          `json:"name"`
		Listen    string          `json:"listen"`
		Seed      string          `json:"seed"`
		Discovery string          `json:"discovery"`
		Operator  string          `json:"operator"`
		Limits    Limits          `json:"limits"`
		Known     json.RawMessage `json:"known"`
		Settings  json.RawMessage `json:"settings"`
	}
	f := config.DecodeJSON(cmp.Or(c.Path, "configuration"), text, &file)
	if err := f.Err(); err != nil {
		return own{}, err
	}
	var err error
	if c.Seed, err = strconv.ParseUint(file.Seed, 16, 64); err != nil {
		f.Fail("seed", "%q: a hexadecimal number of 64 bits is expected", file.Seed)
	}
	c.Limits = file.Limits
	if c.Known, err = protocol.ParseList(file.Known); err != nil {
		f.Fail("known", "%v", err)
	}
	flat, err := flatten(file.Settings)
	if err != nil {
		f.Fail("settings", "%v", err)
		return own{}, f.Err()
	}
	settings, faults := wire.CheckSettings(flat)
	for _, fault := range faults {
		f.Fail("settings."+bracketed(fault.Key), "%s", fault.Text)
	}
	c.Decide = settings
	var names struct {
		Zones   []string                `json:"zones"`
		Kinds   []string                `json:"machine_types"`
		Classes []struct{ Name string } `json:"classes"`
	}
	if err := json.Unmarshal(file.Settings, &names); err != nil {
		f.Fail("settings", "%v", err)
	}
	c.Names = routing.Names{Zones: names.Zones, Kinds: names.Kinds}
	for _, k := range names.Classes {
		c.Names.Classes = append(c.Names.Classes, k.Name)
	}
	c.check(f, places{zone: "settings.zone", class: "settings.classes", connect: "settings.ceilings.connect_timeout_us", attempts: "settings.ceilings.max_attempts",
		multiple: "settings.safety.fall_multiple", start: "settings.safety.start_capacity", window: "dedup_window_us",
		memory: "limits.memory_mb"})
	return own{file.Name, file.Listen, file.Discovery, file.Operator}, f.Err()
}

// bracketed writes classes.0.name as classes[0].name.
func bracketed(key string) string { return item.ReplaceAllString(key, "[$1]") }

var item = regexp.MustCompile(`\.(\d+)`)

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
