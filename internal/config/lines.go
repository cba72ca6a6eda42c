package config

import (
	"bytes"
	"sort"
)

// lines knows where the lines of a text begin, so that places are found without counting from its start each time: a
// configuration may list thousands of backends.
type lines struct {
	size   int64
	starts []int64 // offsets, in bytes
}

func newLines(text []byte) lines {
	l := lines{size: int64(len(text)), starts: []int64{0}}
	for at := 0; ; {
		next := bytes.IndexByte(text[at:], '\n')
		if next < 0 {
			return l
		}
		at += next + 1
		l.starts = append(l.starts, int64(at))
	}
}

// position is the place of an offset; one beyond the text is its end.
func (l lines) position(offset int64) Position {
	offset = max(0, min(offset, l.size))
	line := sort.Search(len(l.starts), func(i int) bool { return l.starts[i] > offset })
	return Position{line, int(offset-l.starts[line-1]) + 1}
}
