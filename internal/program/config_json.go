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

// parseJSON reads the platform's JSON. The error lists every fault.
func (c *Config) parseJSON(text []byte) (instanceSettings, error) {
	var document struct {
		Name      string          `json:"name"`
		Listen    string          `json:"listen"`
		Seed      string          `json:"seed"`
		Discovery string          `json:"discovery"`
		Operator  string          `json:"operator"`
		Limits    Limits          `json:"limits"`
		Known     json.RawMessage `json:"known"`
		Settings  json.RawMessage `json:"settings"`
	}
	faults := config.DecodeJSON(cmp.Or(c.Path, "configuration"), text, &document)
	if err := faults.Err(); err != nil {
		return instanceSettings{}, err
	}
	var err error
	if c.Seed, err = strconv.ParseUint(document.Seed, 16, 64); err != nil {
		faults.AddError("seed", "%q: must be a 64-bit hexadecimal number", document.Seed)
	}
	c.Limits = document.Limits
	if c.Known, err = protocol.ParseList(document.Known); err != nil {
		faults.AddError("known", "%v", err)
	}
	flattened, err := flattenSettings(document.Settings)
	if err != nil {
		faults.AddError("settings", "%v", err)
		return instanceSettings{}, faults.Err()
	}
	settings, settingFaults := wire.CheckSettings(flattened)
	for _, fault := range settingFaults {
		faults.AddError("settings."+bracketIndices(fault.Key), "%s", fault.Text)
	}
	c.Decide = settings
	var names struct {
		Zones   []string                `json:"zones"`
		Kinds   []string                `json:"machine_types"`
		Classes []struct{ Name string } `json:"classes"`
	}
	if err := json.Unmarshal(document.Settings, &names); err != nil {
		faults.AddError("settings", "%v", err)
	}
	c.Names = routing.Names{Zones: names.Zones, Kinds: names.Kinds}
	for _, class := range names.Classes {
		c.Names.Classes = append(c.Names.Classes, class.Name)
	}
	c.check(faults, settingKeys{
		zone:           "settings.zone",
		classes:        "settings.classes",
		connectTimeout: "settings.ceilings.connect_timeout_us",
		maxAttempts:    "settings.ceilings.max_attempts",
		fallMultiple:   "settings.safety.fall_multiple",
		startCapacity:  "settings.safety.start_capacity",
		window:         "dedup_window_us",
		memory:         "limits.memory_mb",
	})
	return instanceSettings{document.Name, document.Listen, document.Discovery, document.Operator}, faults.Err()
}

// bracketIndices rewrites classes.0.name as classes[0].name.
func bracketIndices(key string) string { return indexSegment.ReplaceAllString(key, "[$1]") }

var indexSegment = regexp.MustCompile(`\.(\d+)`)

// flattenSettings converts nested JSON to the path=value lines that wire.CheckSettings parses.
func flattenSettings(text []byte) ([]byte, error) {
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.UseNumber()
	var object map[string]any
	if err := decoder.Decode(&object); err != nil {
		return nil, err
	}
	var out bytes.Buffer
	flattenObject(&out, "", object)
	return out.Bytes(), nil
}

func flattenObject(out io.Writer, prefix string, object map[string]any) {
	for key, value := range object {
		path := prefix + key
		switch value := value.(type) {
		case map[string]any:
			flattenObject(out, path+".", value)
		case []any:
			flattenList(out, path, value)
		default:
			fmt.Fprintf(out, "%s=%s\n", path, formatValue(value))
		}
	}
}

// flattenList writes a list of scalars as one line, and a list of objects as its length and its elements.
func flattenList(out io.Writer, path string, list []any) {
	values, objectCount := []string{}, 0
	for i, item := range list {
		if object, ok := item.(map[string]any); ok {
			objectCount++
			flattenObject(out, fmt.Sprintf("%s.%d.", path, i), object)
		} else {
			values = append(values, formatValue(item))
		}
	}
	if objectCount > 0 {
		fmt.Fprintf(out, "%s.count=%d\n", path, objectCount)
	} else {
		fmt.Fprintf(out, "%s=%s\n", path, strings.Join(values, ","))
	}
}

// formatValue formats a scalar and replaces separators and line breaks with underscores.
func formatValue(v any) string {
	if v == nil {
		return ""
	}
	return strings.NewReplacer(" ", "_", ",", "_", "\n", "_", "\r", "_").Replace(fmt.Sprint(v))
}
