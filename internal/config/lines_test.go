package config

import (
	"bytes"
	"testing"
)

// A position from the index must equal the one found by counting from the start of the text.
func TestLineIndexPosition(t *testing.T) {
	for _, text := range []string{"", "\n", "a", "a\nb", "a\n\nbc\n", "\r\n\tx\n" + "long line without an end"} {
		l := newLineIndex([]byte(text))
		for at := -1; at <= len(text)+1; at++ {
			offset := max(0, min(at, len(text)))
			before := []byte(text)[:offset]
			want := Position{bytes.Count(before, []byte("\n")) + 1, offset - bytes.LastIndexByte(before, '\n')}
			if got := l.position(int64(at)); got != want {
				t.Errorf("%q at %d: %v, want %v", text, at, got, want)
			}
		}
	}
}
