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
			p := newLines(text).position(at - 1)
			fault.Line, fault.Column = p.Line, p.Column
		}
		f.faults = append(f.faults, fault)
		return f
	}
	w := walker{file: f, decoder: json.NewDecoder(bytes.NewReader(text)), text: text, lines: newLines(text)}
	w.walk("")
	return f
}

// walker notes where the keys of a JSON text stand.
type walker struct {
	file    *File
	decoder *json.Decoder
	text    []byte
	lines   lines
}

// walk notes the place of every key of the next value.
func (w *walker) walk(path string) error {
	token, err := w.decoder.Token()
	if err != nil {
		return err
	}
	switch token {
	case json.Delim('{'):
		for w.decoder.More() {
			if token, err = w.decoder.Token(); err != nil {
				return err
			}
			key := join(path, fmt.Sprint(token))
			end := w.decoder.InputOffset()
			w.file.places[key] = w.lines.position(int64(bytes.LastIndexByte(w.text[:max(end-1, 0)], '"')))
			if err := w.walk(key); err != nil {
				return err
			}
		}
	case json.Delim('['):
		for i := 0; w.decoder.More(); i++ {
			item := fmt.Sprintf("%s[%d]", path, i)
			w.file.places[item] = w.file.places[path]
			if err := w.walk(item); err != nil {
				return err
			}
		}
	default:
		return nil
	}
	if _, err = w.decoder.Token(); err == io.EOF {
		return nil
	}
	return err
}
