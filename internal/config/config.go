// Package config decodes TOML into structs strictly. Unknown keys, wrong types or units and values out of range are
// all reported, each with file, line, column and what was expected.
//
// go-toml parses the text; this package adds positions and validation. Struct tags describe the fields:
//
//	toml:"name"       the key; fields without this tag are ignored
//	default:"500ms"   the value if the key is absent
//	required:"true"   the key must be present
//	range:"1ms..1h"   minimum and maximum, either may be omitted
//	oneof:"a b"       the allowed values
//	doc:"..."         the description on the reference page
//
// Supported types are string, bool, int, float64, time.Duration ("500ms", in the syntax of time.ParseDuration), Size
// ("64KiB"), structs for tables, slices of these, and pointers to structs for optional tables. An absent optional table
// is nil; its fields get no defaults and none are required.
package config

import (
	"cmp"
	"fmt"
	"reflect"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// FileError is an error in a configuration and its position. Line and Column count from 1 and are 0 if unknown.
type FileError struct {
	File         string
	Line, Column int
	Key          string // dotted path, with [n] for list items
	Text         string
}

// Error implements error.
func (f FileError) Error() string {
	at := f.File
	if f.Line > 0 {
		at += fmt.Sprintf(":%d:%d", f.Line, f.Column)
	}
	if f.Key != "" {
		at += ": " + f.Key
	}
	return at + ": " + f.Text
}

// FileErrors holds all errors of a file in the order of the text.
type FileErrors []FileError

// Error implements error. It returns the first error and the number of further ones.
func (fs FileErrors) Error() string {
	if len(fs) == 1 {
		return fs[0].Error()
	}
	return fmt.Sprintf("%s (and %d more)", fs[0].Error(), len(fs)-1)
}

// File is a decoded file. It keeps the position of each key for validation after decoding.
type File struct {
	Name      string
	positions map[string]Position
	errors    FileErrors
}

// Decode decodes text into the struct that into points to. The File is never nil; its Err returns every error.
func Decode(name string, text []byte, into any) *File {
	f := &File{Name: name, positions: map[string]Position{}}
	values := map[string]any{}
	if err := toml.Unmarshal(text, &values); err != nil {
		fault := FileError{File: name, Text: strings.TrimPrefix(err.Error(), "toml: ")}
		if d, ok := err.(*toml.DecodeError); ok {
			fault.Line, fault.Column = d.Position()
		}
		f.errors = append(f.errors, fault)
		return f
	}
	f.indexPositions(text)
	f.decodeTable("", values, reflect.ValueOf(into).Elem())
	return f
}

// Err returns all errors as a FileErrors, or nil if there are none.
func (f *File) Err() error {
	if len(f.errors) == 0 {
		return nil
	}
	slices.SortStableFunc(f.errors, func(a, b FileError) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
	return f.errors
}

// AddError adds an error at a key, or at the position of the enclosing table if the key is absent.
func (f *File) AddError(key, format string, args ...any) {
	at, path := f.positions[key], key
	for at == (Position{}) && path != "" {
		path = path[:max(strings.LastIndexAny(path, ".["), 0)]
		at = f.positions[path]
	}
	f.errors = append(f.errors, FileError{f.Name, at.Line, at.Column, key, fmt.Sprintf(format, args...)})
}

// HasError reports whether there is an error at a key or at an enclosing table or list, so that later checks do not
// report the same key again. An error with the empty key means that the text could not be parsed at all.
func (f *File) HasError(key string) bool {
	return slices.ContainsFunc(f.errors, func(x FileError) bool {
		rest, within := strings.CutPrefix(key, x.Key)
		return within && (rest == "" || x.Key != "" && (rest[0] == '.' || rest[0] == '['))
	})
}

func join(prefix, name string) string {
	if prefix == "" {
		return name
	}
	return prefix + "." + name
}
