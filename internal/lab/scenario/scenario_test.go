package scenario

import (
	"path/filepath"
	"strings"
	"testing"

	"burlpass/internal/config"
)

// What ships is valid, and says what it is for.
func TestShipped(t *testing.T) {
	paths, _ := filepath.Glob("../../../scenarios/*.toml")
	if len(paths) < 12 {
		t.Errorf("%d scenarios", len(paths))
	}
	for _, path := range paths {
		s, err := Load(path)
		if err != nil {
			t.Error(err)
		} else if s.Name != strings.TrimSuffix(filepath.Base(path), ".toml") || !strings.HasSuffix(s.About, ".") {
			t.Errorf("%s: name %q, about %q", path, s.Name, s.About)
		}
	}
}

// An impossible fault is refused with its line before anything starts.
func TestImpossible(t *testing.T) {
	const top = "name = \"x\"\nabout = \"y\"\n"
	for text, want := range map[string]string{
		"[[fault]]\nkind = \"hang\"\nat = \"1s\"\nlength = \"-2s\"":                   "x:6:1: fault[0].length",
		"[[fault]]\nkind = \"hang\"\nat = \"1s\"\nlength = \"2s\"\npart = 1.5":        "x:7:1: fault[0].part",
		"[[fault]]\nkind = \"hang\"\nat = \"1s\"\nlength = \"2s\"\nhall = \"hall-z\"": "x:7:1: fault[0].hall: unknown hall",
		"[[fault]]\nkind = \"hall_loss\"\nat = \"1s\"\nlength = \"2s\"":               "x:3:3: fault[0].hall: a hall_loss needs",
		"[[fault]]\nkind = \"slow\"\nat = \"1s\"\nlength = \"2s\"":                    "fault[0].size",
		"[[fault]]\nkind = \"kill\"\nat = \"1s\"\nlength = \"2s\"":                    "x:6:1: fault[0].length: a kill has no length",
		"[[fault]]\nkind = \"hang\"\nat = \"1s\"":                                     "needs a length",
		"[[fault]]\nkind = \"hang\"\nat = \"90s\"\nlength = \"2s\"":                   "x:5:1: fault[0].at",
		"[[fault]]\nkind = \"quake\"\nat = \"1s\"\nlength = \"2s\"":                   "x:4:1: fault[0].kind: \"quake\"",
		"[[fault]]\nkind = \"registry_lag\"\nat = \"1s\"\nlength = \"2s\"":            "fault[0].extra",
		"halls = [\"a\", \"a\"]":                                   "x:3:1: halls[1]",
		"[[class]]\nname = \"a/b\"\neffect = \"safe\"":             "x:4:1: class[0].name",
		"[[class]]\nname = \"a\"\neffect = \"safe\"\naim = \"5s\"": "x:6:1: class[0].aim",
	} {
		_, err := Parse("x", []byte(top+text))
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v, want %s", text, err, want)
		}
	}
	if _, err := Parse("x", []byte(top+"workers = 0\nsidecars = 0")); len(err.(config.FileErrors)) != 2 {
		t.Errorf("not every fault is told: %v", err)
	}
}
