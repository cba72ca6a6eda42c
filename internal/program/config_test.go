package program

import (
	stdcmp "cmp"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

const file = `{"seed":"8c1f30d27a5be964","limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
	"known":{"generation":1,"reset":true,"instances":[]},"settings":` + settings + `}`

// A sidecar that cannot start says in one line what is at fault.
func TestLoadNamesTheFault(t *testing.T) {
	for name, test := range map[string]struct {
		unset, listen, from, to, want string
	}{
		"whole":             {},
		"variable":          {unset: "EDGE_LISTEN", want: "EDGE_LISTEN: missing"},
		"address":           {listen: "127.0.0.1:web", want: "EDGE_LISTEN"},
		"every address":     {listen: ":3000", want: "EDGE_LISTEN"},
		"no file":           {unset: "EDGE_CONFIG", want: "EDGE_CONFIG: missing"},
		"not JSON":          {from: `{"seed"`, to: `{seed`, want: "EDGE_CONFIG"},
		"seed":              {from: "8c1f30d27a5be964", to: "xyz", want: "seed"},
		"limits":            {from: `"sockets":1024`, to: `"sockets":0`, want: "limits"},
		"known":             {from: `"generation":1,`, want: "known"},
		"setting missing":   {from: `"max_attempts":3,`, want: "ceilings.max_attempts"},
		"setting of a kind": {from: `"drain_grace_us":750000`, to: `"drain_grace_us":"soon"`, want: "safety.drain_grace_us"},
	} {
		path := filepath.Join(t.TempDir(), "config.json")
		text := strings.Replace(file, test.from, test.to, 1)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		env := map[string]string{"EDGE_NAME": "n0", "EDGE_LISTEN": stdcmp.Or(test.listen, "127.0.0.1:0"), "EDGE_DISCOVERY": "127.0.0.1:1",
			"EDGE_CONFIG": path}
		delete(env, test.unset)
		_, err := Load(func(k string) string { return env[k] })
		got := ""
		if err != nil {
			got = err.Error()
		}
		if !strings.Contains(got, test.want) || (err == nil) != (test.want == "") || strings.Contains(got, "\n") {
			t.Errorf("%s: %q does not name %q", name, got, test.want)
		}
	}
}

// The module's settings are the nested JSON's, name for name.
func TestFlatten(t *testing.T) {
	got, err := flatten([]byte(`{"a":{"b":{"c":5000000}},"l":["x y","z,"],"o":[{"n":1.50},{"n":true}],"e":[]}`))
	if err != nil {
		t.Fatal(err)
	}
	lines := map[string]bool{}
	for line := range strings.Lines(string(got)) {
		lines[strings.TrimSpace(line)] = true
	}
	want := map[string]bool{"a.b.c=5000000": true, "l=x_y,z_": true, "o.count=2": true, "o.0.n=1.50": true,
		"o.1.n=true": true, "e=": true}
	if diff := cmp.Diff(want, lines); diff != "" {
		t.Errorf("(-want +got)\n%s", diff)
	}
}

func FuzzConfig(f *testing.F) {
	f.Add([]byte(file))
	f.Fuzz(func(t *testing.T, text []byte) {
		var c Config
		if _, err := c.parse(text); err == nil && (c.Known == nil || len(c.Names.Classes) != len(c.Decide.Classes)) {
			t.Errorf("taken: %s", text)
		}
	})
}
