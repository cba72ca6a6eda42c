// Package config reads TOML into structs, strictly: an unknown key, a wrong type or unit and a value out of range
// are each reported with file, line, column and what was expected, all of them and not only the first.
//
// go-toml reads the text; this package adds the places and the checks. A struct's fields are described by tags:
//
//	toml:"name"       the key (a field without it is not read)
//	default:"500ms"   the value where the key is absent
//	required:"true"   the key must be there
//	range:"1ms..1h"   least and most value, either may be missing
//	oneof:"a b"       the words that are allowed
//	doc:"..."         what it is, for the reference page
//
// The types are string, bool, int, float64, time.Duration ("500ms": a number with a unit, as time.ParseDuration
// reads it), Size ("64KiB"), structs for tables, slices of these, and pointers to structs for tables that may be
// absent: nil then, with no default and nothing required.
package config

import (
	"cmp"
	"fmt"
	"reflect"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// Fault is one thing that is wrong, and where. Line and Column count from 1; 0 where there is no place.
type Fault struct {
	File         string
	Line, Column int
	Key          string // dotted, with [n] for items of lists
	Text         string
}

// Error implements error.
func (f Fault) Error() string {
	at := f.File
	if f.Line > 0 {
		at += fmt.Sprintf(":%d:%d", f.Line, f.Column)
	}
	if f.Key != "" {
		at += ": " + f.Key
	}
	return at + ": " + f.Text
}

// Faults is all that is wrong with a file, in the order of the text.
type Faults []Fault

// Error implements error: each fault on a line of its own.
func (fs Faults) Error() string {
	if len(fs) == 1 {
		return fs[0].Error()
	}
	return fmt.Sprintf("%s (and %d more)", fs[0].Error(), len(fs)-1)
}

// File is a decoded file: it knows where each key stands, for checks that come after the decoding.
type File struct {
	Name   string
	places map[string]Position
	faults Faults
}

// Decode reads text into the struct that into points to. The File is never nil; its Err holds every fault.
func Decode(name string, text []byte, into any) *File {
	f := &File{Name: name, places: map[string]Position{}}
	values := map[string]any{}
	if err := toml.Unmarshal(text, &values); err != nil {
		fault := Fault{File: name, Text: strings.TrimPrefix(err.Error(), "toml: ")}
		if d, ok := err.(*toml.DecodeError); ok {
			fault.Line, fault.Column = d.Position()
		}
		f.faults = append(f.faults, fault)
		return f
	}
	f.index(text)
	f.table("", values, reflect.ValueOf(into).Elem())
	return f
}

// Err returns all faults as a Faults, nil where there are none.
func (f *File) Err() error {
	if len(f.faults) == 0 {
		return nil
	}
	slices.SortStableFunc(f.faults, func(a, b Fault) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
	return f.faults
}

// Fail adds a fault at a key; where the key is absent its table's place stands for it.
func (f *File) Fail(key, format string, args ...any) {
	at, path := f.places[key], key
	for at == (Position{}) && path != "" {
		path = path[:max(strings.LastIndexAny(path, ".["), 0)]
		at = f.places[path]
	}
	f.faults = append(f.faults, Fault{f.Name, at.Line, at.Column, key, fmt.Sprintf(format, args...)})
}

// Failed says whether a fault has been told at a key or at a table or list around it, so that what is missing there
// is not told again. The empty key stands for the text itself: nothing of it could be read.
func (f *File) Failed(key string) bool {
	return slices.ContainsFunc(f.faults, func(x Fault) bool {
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
