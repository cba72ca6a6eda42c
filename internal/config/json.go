package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
)

// DecodeJSON decodes JSON into the value that into points to, as encoding/json does, and returns a File with the
// position of each key for later checks. Unknown keys are accepted because the platform may add some.
func DecodeJSON(name string, text []byte, into any) *File {
	f := &File{Name: name, positions: map[string]Position{}}
	if err := json.Unmarshal(text, into); err != nil {
		fault := FileError{File: name, Text: err.Error()}
		offset := int64(-1)
		switch e := err.(type) {
		case *json.SyntaxError:
			offset = e.Offset
		case *json.UnmarshalTypeError:
			offset, fault.Key = e.Offset, e.Field
		}
		if offset >= 0 {
			p := newLineIndex(text).position(offset - 1)
			fault.Line, fault.Column = p.Line, p.Column
		}
		f.errors = append(f.errors, fault)
		return f
	}
	w := jsonWalker{file: f, decoder: json.NewDecoder(bytes.NewReader(text)), text: text, lines: newLineIndex(text)}
	w.walk("")
	return f
}

// jsonWalker records the positions of the keys in a JSON text.
type jsonWalker struct {
	file    *File
	decoder *json.Decoder
	text    []byte
	lines   lineIndex
}

// walk records the position of every key in the next value.
func (w *jsonWalker) walk(path string) error {
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
			w.file.positions[key] = w.lines.position(int64(bytes.LastIndexByte(w.text[:max(end-1, 0)], '"')))
			if err := w.walk(key); err != nil {
				return err
			}
		}
	case json.Delim('['):
		for i := 0; w.decoder.More(); i++ {
			itemPath := fmt.Sprintf("%s[%d]", path, i)
			w.file.positions[itemPath] = w.file.positions[path]
			if err := w.walk(itemPath); err != nil {
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
