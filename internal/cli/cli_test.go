package cli

import (
	"bytes"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/spf13/cobra"

	"burlpass/internal/config"
	"burlpass/internal/program"
)

func runCommand(args ...string) (code int, stdout, stderr string) {
	var out, err bytes.Buffer
	code = Main(args, func(string) string { return "" }, nil, &out, &err)
	return code, out.String(), err.String()
}

// Each command line ends with the documented exit code and names the fault in its output.
func TestExitCodes(t *testing.T) {
	bad := filepath.Join(t.TempDir(), "bad.toml")
	if err := os.WriteFile(bad, []byte("name = \"x\"\nfaults = 3\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	for line, want := range map[string]struct {
		code   int
		stdout string
		stderr string
	}{
		"":                                     {ExitFailure, "", "burlpass: EDGE_NAME: missing\n"},
		"serve --log-format xml":               {ExitUsage, "", "xml"},
		"serve --log-level loud":               {ExitUsage, "", "loud"},
		"serve --config /nowhere.toml":         {ExitFailure, "", "/nowhere.toml"},
		"serve now":                            {ExitUsage, "", "now"},
		"srve":                                 {ExitUsage, "", "srve"},
		"version":                              {ExitOK, "go1.", ""},
		"check":                                {ExitUsage, "", "accepts 1 arg"},
		"check ../../docs/config.example.toml": {ExitOK, "no faults", ""},
		"check " + bad:                         {ExitFailure, ":2:1: faults: unknown key", "faults"},
		"completion bash":                      {ExitOK, "complete", ""},
	} {
		code, stdout, stderr := runCommand(strings.Fields(line)...)
		if code != want.code || !strings.Contains(stdout, want.stdout) || !strings.Contains(stderr, want.stderr) {
			t.Errorf("burlpass %s: code %d, stdout %.300q, stderr %.300q", line, code, stdout, stderr)
		}
	}
}

// Every command has a short help text and an example.
func TestHelp(t *testing.T) {
	var walk func(c *cobra.Command)
	walk = func(c *cobra.Command) {
		if c.Short == "" || c.Example == "" && !c.HasSubCommands() {
			t.Errorf("%s: no help or no example", c.CommandPath())
		}
		for _, sub := range c.Commands() {
			walk(sub)
		}
	}
	walk(rootCommand(&Server{}, io.Discard))
}

// The reference page contains the key table exactly as the code generates it.
func TestReferencePage(t *testing.T) {
	page, err := os.ReadFile("../../docs/configuration.md")
	if err != nil {
		t.Fatal(err)
	}
	if want := config.Reference(program.Keys()); !strings.Contains(string(page), want) {
		t.Errorf("docs/configuration.md lacks a table as the code has it; burlpass keys prints it:\n%s", want)
	}
}
