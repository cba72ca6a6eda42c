package config

import (
	"bytes"
	"sort"
)

// lineIndex holds the offsets of a text's lines, so that a position is found without scanning the text each time: a
// configuration may list thousands of backends.
type lineIndex struct {
	size   int64
	starts []int64 // byte offsets
}

func newLineIndex(text []byte) lineIndex {
	l := lineIndex{size: int64(len(text)), starts: []int64{0}}
	for offset := 0; ; {
		next := bytes.IndexByte(text[offset:], '\n')
		if next < 0 {
			return l
		}
		offset += next + 1
		l.starts = append(l.starts, int64(offset))
	}
}

// position returns the position of an offset, clamped to the text.
func (l lineIndex) position(offset int64) Position {
	offset = max(0, min(offset, l.size))
	line := sort.Search(len(l.starts), func(i int) bool { return l.starts[i] > offset })
	return Position{line, int(offset-l.starts[line-1]) + 1}
}
