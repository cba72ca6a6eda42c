package labcli

import (
	"bytes"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/spf13/cobra"

	"burlpass/internal/cli"
	"burlpass/internal/config"
	"burlpass/internal/lab/scenario"
)

func runCommand(args ...string) (code int, stdout, stderr string) {
	var out, err bytes.Buffer
	code = Main(args, func(string) string { return "" }, &out, &err)
	return code, out.String(), err.String()
}

// Each command line ends with the documented exit code and names the fault in its output.
func TestExitCodes(t *testing.T) {
	bad := filepath.Join(t.TempDir(), "bad.toml")
	if err := os.WriteFile(bad, []byte("name = \"x\"\nworkers = 0\nfaults = 3\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	for line, want := range map[string]struct {
		code   int
		stdout string
		stderr string
	}{
		"run " + bad: {cli.ExitFailure, "", bad + ":2:1: workers: 0 is out of range"},
		"run ../../scenarios/calm.toml --build /nowhere":         {cli.ExitUsage, "", "/nowhere"},
		"compare self reference:magic ../../scenarios/calm.toml": {cli.ExitUsage, "", "round-robin"},
		"compare self self ../../scenarios/calm.toml --seeds 0":  {cli.ExitUsage, "", "--seeds"},
		"list ../../scenarios":                                   {cli.ExitOK, "small-day", ""},
		"list /nowhere":                                          {cli.ExitFailure, "", "no scenario"},
		"report /nowhere.json":                                   {cli.ExitFailure, "", "/nowhere.json"},
	} {
		code, stdout, stderr := runCommand(strings.Fields(line)...)
		if code != want.code || !strings.Contains(stdout, want.stdout) || !strings.Contains(stderr, want.stderr) {
			t.Errorf("burlpass-lab %s: code %d, stdout %.300q, stderr %.300q", line, code, stdout, stderr)
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
	walk((&app{stdout: io.Discard, server: &cli.Server{}}).rootCommand())
}

// The reference page contains the key table exactly as the code generates it.
func TestReferencePage(t *testing.T) {
	page, err := os.ReadFile("../../docs/configuration.md")
	if err != nil {
		t.Fatal(err)
	}
	if want := config.Reference(scenario.Keys()); !strings.Contains(string(page), want) {
		t.Errorf("docs/configuration.md lacks a table as the code has it; burlpass-lab keys prints it:\n%s", want)
	}
}
