package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
)

// DecodeJSON reads JSON into the value that into points to, as encoding/json does, and returns a File that knows
// where each key stands, so that the checks after it can name places. Unknown keys are let pass: the platform may
// add some.
func DecodeJSON(name string, text []byte, into any) *File {
	f := &File{Name: name, places: map[string]Position{}}
	if err := json.Unmarshal(text, into); err != nil {
		fault := Fault{File: name, Text: err.Error()}
		at := int64(-1)
		switch e := err.(type) {
		case *json.SyntaxError:
			at = e.Offset
		case *json.UnmarshalTypeError:
			at, fault.Key = e.Offset, e.Field
		}
		if at >= 0 {
			p := position(text, at-1)
			fault.Line, fault.Column = p.Line, p.Column
		}
		f.faults = append(f.faults, fault)
		return f
	}
	d := json.NewDecoder(bytes.NewReader(text))
	f.walk(d, text, "")
	return f
}

// walk notes the place of every key of the next value.
func (f *File) walk(d *json.Decoder, text []byte, path string) error {
	token, err := d.Token()
	if err != nil {
		return err
	}
	switch token {
	case json.Delim('{'):
		for d.More() {
			if token, err = d.Token(); err != nil {
				return err
			}
			key := join(path, fmt.Sprint(token))
			end := d.InputOffset()
			f.places[key] = position(text, int64(bytes.LastIndexByte(text[:max(end-1, 0)], '"')))
			if err := f.walk(d, text, key); err != nil {
				return err
			}
		}
	case json.Delim('['):
		for i := 0; d.More(); i++ {
			item := fmt.Sprintf("%s[%d]", path, i)
			f.places[item] = f.places[path]
			if err := f.walk(d, text, item); err != nil {
				return err
			}
		}
	default:
		return nil
	}
	if _, err = d.Token(); err == io.EOF {
		return nil
	}
	return err
}

func position(text []byte, at int64) Position {
	at = max(0, min(at, int64(len(text))))
	line := bytes.Count(text[:at], []byte("\n"))
	return Position{line + 1, int(at) - bytes.LastIndexByte(text[:at], '\n')}
}
