package config

import (
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// Position is a position in a text. Lines and columns count from 1.
type Position struct{ Line, Column int }

// indexPositions records the position of each key.
func (f *File) indexPositions(text []byte) {
	p := &parser{lines: newLineIndex(text)}
	p.Reset(text)
	prefix, counts := "", map[string]int{}
	for p.NextExpression() {
		n := p.Expression()
		switch n.Kind {
		case unstable.Table:
			path, _ := f.recordKey(p, "", n.Key(), counts)
			prefix = path + "."
		case unstable.ArrayTable:
			path, at := f.recordKey(p, "", n.Key(), counts)
			path = fmt.Sprintf("%s[%d]", path, counts[path])
			counts[path[:strings.LastIndexByte(path, '[')]]++
			f.positions[path] = at
			prefix = path + "."
		case unstable.KeyValue:
			path, _ := f.recordKey(p, prefix, n.Key(), nil)
			f.recordValue(p, path, n.Value())
		}
	}
}

// recordKey records the position of each part of a dotted key. It returns the whole path and the position of its last
// part. A part that names an array of tables refers to the array's last item.
func (f *File) recordKey(p *parser, prefix string, key unstable.Iterator, counts map[string]int) (path string, at Position) {
	path = prefix
	for key.Next() {
		n := key.Node()
		if path != "" && !strings.HasSuffix(path, ".") {
			if c := counts[path]; c > 0 {
				path = fmt.Sprintf("%s[%d]", path, c-1)
			}
			path += "."
		}
		path += string(n.Data)
		at = nodePosition(p, n)
		if _, ok := f.positions[path]; !ok {
			f.positions[path] = at
		}
	}
	return path, at
}

// parser is the TOML parser with a line index of the text.
type parser struct {
	unstable.Parser
	lines lineIndex
}

func nodePosition(p *parser, n *unstable.Node) Position {
	return p.lines.position(int64(n.Raw.Offset))
}

// recordValue records the positions of the keys and items inside a value.
func (f *File) recordValue(p *parser, path string, n *unstable.Node) {
	switch n.Kind {
	case unstable.InlineTable:
		for it := n.Children(); it.Next(); {
			kv := it.Node()
			inner, _ := f.recordKey(p, path+".", kv.Key(), nil)
			f.recordValue(p, inner, kv.Value())
		}
	case unstable.Array:
		i := 0
		for it := n.Children(); it.Next(); i++ {
			itemPath := fmt.Sprintf("%s[%d]", path, i)
			f.positions[itemPath] = f.positions[path]
			if it.Node().Kind == unstable.InlineTable {
				f.positions[itemPath] = nodePosition(p, it.Node())
			}
			f.recordValue(p, itemPath, it.Node())
		}
	}
}
