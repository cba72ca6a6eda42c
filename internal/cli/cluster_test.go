package cli

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

const clusterConfig = `name = "v1"
listen = "127.0.0.1:0"
registry = "127.0.0.1:9"
zone = "hall-a"
zones = ["hall-a"]
[limits]
cores = 1.0
memory = "192MiB"
sockets = 1024
[[class]]
name = "availability"
effect = "safe"
aim = "600ms"
deadline = "3s"
[cluster]
name = "c"
member = "o1"
listen = "127.0.0.1:0"
voters = [{name = "v1", addr = "127.0.0.1:1"}]
`

// A member of a cluster is run by the program beside this one, in the same process and with the same arguments. Without that
// program one line names it.
func TestClusterProgram(t *testing.T) {
	folder := t.TempDir()
	program, config := filepath.Join(folder, "burlpass"), filepath.Join(folder, "config.toml")
	if out, err := exec.Command("go", "build", "-o", program, "burlpass/cmd/burlpass").CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	if err := os.WriteFile(config, []byte(clusterConfig), 0o600); err != nil {
		t.Fatal(err)
	}
	serve := func() (string, error) {
		out, err := exec.Command(program, "serve", "--config", config).CombinedOutput()
		return string(out), err
	}
	if out, err := serve(); err == nil || strings.Count(out, "\n") != 1 || !strings.Contains(out, clusterProgram) {
		t.Errorf("without the program: %v, %q", err, out)
	}
	script := "#!/bin/sh\necho \"$@\"\n"
	if err := os.WriteFile(filepath.Join(folder, clusterProgram), []byte(script), 0o700); err != nil {
		t.Fatal(err)
	}
	if out, err := serve(); err != nil || out != "serve --config "+config+"\n" {
		t.Errorf("with the program: %v, %q", err, out)
	}
}
