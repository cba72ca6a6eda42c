package config

import (
	"fmt"
	"strings"
)

// Reference writes keys as the table of the reference page. Tables of a list are written [[name]].
func Reference(keys []Key) string {
	var out strings.Builder
	out.WriteString("| key | type | default | range | meaning |\n| --- | --- | --- | --- | --- |\n")
	for _, k := range keys {
		def := k.Default
		switch {
		case k.Required:
			def = "required"
		case def == "" && k.Type == "table":
			def = ""
		case def == "":
			def = "empty"
		}
		fmt.Fprintf(&out, "| `%s` | %s | %s | %s | %s |\n", k.Path, k.Type, def, k.Range, k.Doc)
	}
	return out.String()
}
