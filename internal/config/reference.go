package config

import (
	"fmt"
	"reflect"
	"strings"
	"time"
)

// Range returns a range tag in words.
func Range(rangeTag string) string {
	lower, upper, _ := strings.Cut(rangeTag, "..")
	switch {
	case lower == "":
		return "at most " + upper
	case upper == "":
		return "at least " + lower
	}
	return lower + " to " + upper
}

// Key describes a configuration key for the reference page and the test that compares the page with the code.
type Key struct {
	Path, Type, Default, Range, Doc string
	Required                        bool
}

// Keys lists the keys of a struct in the order of its fields. A table's own entry precedes those of its keys.
func Keys(config any) []Key { return keys("", reflect.TypeOf(config)) }

func keys(prefix string, t reflect.Type) (out []Key) {
	for _, field := range reflect.VisibleFields(t) {
		name, ok := field.Tag.Lookup("toml")
		if !ok {
			continue
		}
		path := join(prefix, name)
		fieldType, isList := field.Type, false
		if fieldType.Kind() == reflect.Slice {
			fieldType, isList = fieldType.Elem(), true
		}
		optional := fieldType.Kind() == reflect.Pointer
		if optional {
			fieldType = fieldType.Elem()
		}
		k := Key{Path: path, Default: field.Tag.Get("default"), Doc: field.Tag.Get("doc"),
			Required: field.Tag.Get("required") == "true", Range: field.Tag.Get("range")}
		if words := field.Tag.Get("oneof"); words != "" {
			k.Range = strings.Join(strings.Fields(words), ", ")
		} else if k.Range != "" {
			k.Range = Range(k.Range)
		}
		switch {
		case fieldType == reflect.TypeFor[time.Duration]():
			k.Type = "duration"
		case fieldType == reflect.TypeFor[Size]():
			k.Type = "size"
		case fieldType.Kind() == reflect.Struct:
			k.Type = "table"
		case fieldType.Kind() == reflect.Int:
			k.Type = "whole number"
		case fieldType.Kind() == reflect.Float64:
			k.Type = "number"
		case fieldType.Kind() == reflect.Bool:
			k.Type = "true or false"
		default:
			k.Type = "text"
		}
		if isList {
			k.Type = "list of " + k.Type
		}
		if optional {
			k.Default = "none"
		}
		out = append(out, k)
		if fieldType.Kind() == reflect.Struct {
			out = append(out, keys(path, fieldType)...)
		}
	}
	return out
}

// Reference formats keys as the Markdown table of the reference page.
func Reference(keys []Key) string {
	var out strings.Builder
	out.WriteString("| key | type | default | range | meaning |\n| --- | --- | --- | --- | --- |\n")
	for _, k := range keys {
		defaultText := k.Default
		switch {
		case k.Required:
			defaultText = "required"
		case defaultText == "" && k.Type == "table":
			defaultText = ""
		case defaultText == "":
			defaultText = "empty"
		}
		fmt.Fprintf(&out, "| `%s` | %s | %s | %s | %s |\n", k.Path, k.Type, defaultText, k.Range, k.Doc)
	}
	return out.String()
}
