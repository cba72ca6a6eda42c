package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// Guards against a built program in the repository; one that git does not track, such as in bin, is nobody's business.
func TestCommittedPrograms(t *testing.T) {
	root := t.TempDir()
	for name, text := range map[string]string{"guest": "\x00asm\x01\x00\x00\x00", "lab": "\x7fELF\x02\x01", "untracked": "\x7fELF\x02\x01", "a.txt": "ELF", "empty": ""} {
		if err := os.WriteFile(filepath.Join(root, name), []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	for _, arguments := range [][]string{{"init", "-q"}, {"add", "guest", "lab", "a.txt", "empty"}} {
		command := exec.Command("git", arguments...)
		command.Dir = root
		if out, err := command.CombinedOutput(); err != nil {
			t.Fatalf("git %v: %v\n%s", arguments, err, out)
		}
	}
	findings, err := committedPrograms(root)
	got := strings.Join(findings, "\n")
	if err != nil || len(findings) != 2 || !strings.Contains(got, "guest: ") || !strings.Contains(got, "lab: ") {
		t.Errorf("findings %q, error %v", findings, err)
	}
}
