package labcli

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"burlpass/internal/cli"
)

// One command plays all combinations of sidecar counts and skews, and prints unsafe classes before keyed and safe ones.
func TestFleetTables(t *testing.T) {
	scenarioPath := filepath.Join(t.TempDir(), "day.toml")
	text := "name = \"x\"\nabout = \"y.\"\nlength = \"2s\"\nsidecars = 4\n[[fault]]\nkind = \"replace\"\nat = \"100ms\"\npart = 0.5\n"
	if err := os.WriteFile(scenarioPath, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	code, out, err := runCommand("fleet", scenarioPath, "--cold", "--seeds", "2", "--sidecars", "3,6", "--skew", "0,2")
	lines := strings.Split(out, "\n")
	if code != cli.ExitOK || len(lines) < 5 {
		t.Fatalf("code %d: %s%s", code, out, err)
	}
	for i, want := range []string{"x 3 0 2", "x 3 2 2", "x 6 0 2", "x 6 2 2"} {
		if got := strings.Join(strings.Fields(lines[i+1])[:4], " "); got != want {
			t.Errorf("row %d: %q, want %q", i, got, want)
		}
	}
	code, out, err = runCommand("fleet", scenarioPath, "--classes", "--seeds", "1")
	if a, b, c := strings.Index(out, "booking"), strings.Index(out, "paid-extra"), strings.Index(out, "availability"); code != cli.ExitOK ||
		a < 0 || a > b || b > c || strings.Count(out, "worst") != 1 {
		t.Errorf("code %d: %s%s", code, out, err)
	}
	for _, args := range []string{"--skew x", "--skew 4", "--sidecars 0", "--cold --classes"} {
		if code, _, err := runCommand(append([]string{"fleet", scenarioPath}, strings.Fields(args)...)...); code != cli.ExitUsage {
			t.Errorf("%s: code %d, %s", args, code, err)
		}
	}
}
