package config

import (
	"fmt"
	"math"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"
)

// decodeTable sets the fields of a struct from a table.
func (f *File) decodeTable(path string, values map[string]any, into reflect.Value) {
	known := map[string]bool{}
	names := []string{}
	for _, field := range reflect.VisibleFields(into.Type()) {
		name, ok := field.Tag.Lookup("toml")
		if !ok {
			continue
		}
		known[name] = true
		names = append(names, name)
		key, target := join(path, name), into.FieldByIndex(field.Index)
		v, present := values[name]
		switch {
		case present:
			f.decodeField(key, v, target, field.Tag)
		case field.Tag.Get("required") == "true":
			f.AddError(key, "missing")
		case target.Kind() == reflect.Struct:
			f.decodeTable(key, nil, target)
		case field.Tag.Get("default") != "":
			f.decodeField(key, defaultValue(field), target, field.Tag)
		}
	}
	for name := range values {
		if !known[name] {
			f.AddError(join(path, name), "unknown key; one of %s is expected", strings.Join(names, ", "))
		}
	}
}

// defaultValue returns the value of a default tag with the type that the TOML parser would return.
func defaultValue(field reflect.StructField) any {
	text := field.Tag.Get("default")
	t := field.Type
	if t.Kind() == reflect.Slice {
		list := []any{}
		for _, word := range strings.Fields(text) {
			list = append(list, scalarDefault(t.Elem(), word))
		}
		return list
	}
	return scalarDefault(t, text)
}

// scalarDefault returns the value of a default tag, or of one word of it, for a type other than a slice.
func scalarDefault(t reflect.Type, text string) any {
	switch {
	case t == reflect.TypeFor[time.Duration](), t == reflect.TypeFor[Size](), t.Kind() == reflect.String:
		return text
	case t.Kind() == reflect.Bool:
		return text == "true"
	case t.Kind() == reflect.Int:
		n, _ := strconv.ParseInt(text, 10, 64)
		return n
	}
	n, _ := strconv.ParseFloat(text, 64)
	return n
}

// decodeField sets and validates one value.
func (f *File) decodeField(key string, v any, target reflect.Value, tag reflect.StructTag) {
	switch {
	case target.Type() == reflect.TypeFor[time.Duration]():
		text, ok := v.(string)
		d, err := time.ParseDuration(text)
		if !ok || err != nil {
			f.AddError(key, "%s is not a duration: a string such as \"250ms\" or \"1.5s\" is expected", formatValue(v))
			return
		}
		target.SetInt(int64(d))
		f.checkRange(key, float64(d), tag, func(s string) float64 { d, _ := time.ParseDuration(s); return float64(d) }, d.String())
	case target.Type() == reflect.TypeFor[Size]():
		text, ok := v.(string)
		s, err := ParseSize(text)
		if !ok || err != nil {
			f.AddError(key, "%s is not a size: a string such as \"64KiB\" is expected", formatValue(v))
			return
		}
		target.SetInt(int64(s))
		f.checkRange(key, float64(s), tag, func(s string) float64 { n, _ := ParseSize(s); return float64(n) }, s.String())
	case target.Kind() == reflect.String:
		s, ok := v.(string)
		if !ok {
			f.AddError(key, "%s is no text in quotes", formatValue(v))
			return
		}
		target.SetString(s)
		if words := strings.Fields(tag.Get("oneof")); len(words) > 0 && !slices.Contains(words, s) {
			f.AddError(key, "%q: one of %s is expected", s, strings.Join(words, ", "))
		}
	case target.Kind() == reflect.Bool:
		b, ok := v.(bool)
		if !ok {
			f.AddError(key, "%s: true or false is expected", formatValue(v))
			return
		}
		target.SetBool(b)
	case target.Kind() == reflect.Int:
		n, ok := v.(int64)
		if !ok {
			f.AddError(key, "%s is not a whole number", formatValue(v))
			return
		}
		target.SetInt(n)
		f.checkRange(key, float64(n), tag, parseNumber, strconv.FormatInt(n, 10))
	case target.Kind() == reflect.Float64:
		x, ok := v.(float64)
		if n, whole := v.(int64); whole {
			x, ok = float64(n), true
		}
		if !ok || math.IsNaN(x) || math.IsInf(x, 0) {
			f.AddError(key, "%s is not a number", formatValue(v))
			return
		}
		target.SetFloat(x)
		f.checkRange(key, x, tag, parseNumber, strconv.FormatFloat(x, 'g', -1, 64))
	case target.Kind() == reflect.Struct:
		m, ok := v.(map[string]any)
		if !ok {
			f.AddError(key, "%s: a table is expected", formatValue(v))
			return
		}
		f.decodeTable(key, m, target)
	case target.Kind() == reflect.Pointer:
		target.Set(reflect.New(target.Type().Elem()))
		f.decodeField(key, v, target.Elem(), tag)
	case target.Kind() == reflect.Slice:
		list, ok := v.([]any)
		if !ok {
			f.AddError(key, "%s: a list is expected", formatValue(v))
			return
		}
		out := reflect.MakeSlice(target.Type(), len(list), len(list))
		for i, item := range list {
			f.decodeField(fmt.Sprintf("%s[%d]", key, i), item, out.Index(i), tag)
		}
		target.Set(out)
	default:
		panic("config: unsupported field type " + target.Type().String())
	}
}

func parseNumber(s string) float64 { x, _ := strconv.ParseFloat(s, 64); return x }

func formatValue(v any) string {
	if s, ok := v.(string); ok {
		return strconv.Quote(s)
	}
	return fmt.Sprint(v)
}

// checkRange checks a value against the range tag.
func (f *File) checkRange(key string, v float64, tag reflect.StructTag, parse func(string) float64, displayed string) {
	rangeTag := tag.Get("range")
	lower, upper, ok := strings.Cut(rangeTag, "..")
	if !ok {
		return
	}
	if lower != "" && v < parse(lower) || upper != "" && v > parse(upper) {
		f.AddError(key, "%s is out of range; %s is expected", displayed, Range(rangeTag))
	}
}
