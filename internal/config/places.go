package config

import (
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// Position is a place in a text, counted from 1.
type Position struct{ Line, Column int }

// index notes where each key stands.
func (f *File) index(text []byte) {
	p := &parser{lines: newLines(text)}
	p.Reset(text)
	prefix, counts := "", map[string]int{}
	for p.NextExpression() {
		n := p.Expression()
		switch n.Kind {
		case unstable.Table:
			path, _ := f.note(p, "", n.Key(), counts)
			prefix = path + "."
		case unstable.ArrayTable:
			path, at := f.note(p, "", n.Key(), counts)
			path = fmt.Sprintf("%s[%d]", path, counts[path])
			counts[path[:strings.LastIndexByte(path, '[')]]++
			f.places[path] = at
			prefix = path + "."
		case unstable.KeyValue:
			path, _ := f.note(p, prefix, n.Key(), nil)
			f.value(p, path, n.Value())
		}
	}
}

// note records the place of each part of a dotted key and returns the whole path, and where its last part stands.
// A part that is an array of tables stands for its last item.
func (f *File) note(p *parser, prefix string, key unstable.Iterator, counts map[string]int) (path string, at Position) {
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
		at = place(p, n)
		if _, ok := f.places[path]; !ok {
			f.places[path] = at
		}
	}
	return path, at
}

// parser is the TOML parser with an index of the text's lines.
type parser struct {
	unstable.Parser
	lines lines
}

func place(p *parser, n *unstable.Node) Position {
	return p.lines.position(int64(n.Raw.Offset))
}

func (f *File) value(p *parser, path string, n *unstable.Node) {
	switch n.Kind {
	case unstable.InlineTable:
		for it := n.Children(); it.Next(); {
			kv := it.Node()
			inner, _ := f.note(p, path+".", kv.Key(), nil)
			f.value(p, inner, kv.Value())
		}
	case unstable.Array:
		i := 0
		for it := n.Children(); it.Next(); i++ {
			item := fmt.Sprintf("%s[%d]", path, i)
			f.places[item] = f.places[path]
			if it.Node().Kind == unstable.InlineTable {
				f.places[item] = place(p, it.Node())
			}
			f.value(p, item, it.Node())
		}
	}
}
