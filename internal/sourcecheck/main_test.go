package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func TestCheckFile(t *testing.T) {
	full := "// Package p is for the test.\npackage p\n" + strings.Repeat("\n", maxLines-2)
	tests := []struct {
		name, path, source string
		want               string // in the one finding; empty for none
	}{
		{"as long as allowed", "p.go", full, ""},
		{"a line more", "p.go", full + "\n", "401 lines"},
		{"a test a line more", "p_test.go", full + "\n", "401 lines"},
		{"function", "p.go", "package p\n\nfunc F() {}\n", "p.go:3:6: exported F"},
		{"method", "p.go", "package p\n\ntype t struct{}\n\nfunc (t) F() {}\n", ""},
		{"method of an exported type", "p.go", "package p\n\n// T is a type.\ntype T struct{}\n\nfunc (*T) F() {}\n", "exported F"},
		{"method of a generic type", "p.go", "package p\n\n// T is a type.\ntype T[A any] struct{}\n\nfunc (*T[A]) F() {}\n", "exported F"},
		{"type", "p.go", "package p\n\ntype T struct{}\n", "exported T"},
		{"constants", "p.go", "package p\n\nconst (\n\tA = 1 // A is one.\n\tB = 2\n)\n", "exported B"},
		{"a group with a comment", "p.go", "package p\n\n// Sizes in bytes.\nconst (\n\tA = 1\n\tB = 2\n)\n", ""},
		{"in a program", "main.go", "package main\n\nfunc F() {}\n", ""},
		{"in a test", "p_test.go", "package p\n\nfunc TestF() {}\n", ""},
	}
	for _, tt := range tests {
		found, err := checkFile(tt.path, []byte(tt.source))
		if err != nil {
			t.Errorf("%s: %v", tt.name, err)
		}
		got := strings.Join(found, "\n")
		if tt.want == "" && got != "" || !strings.Contains(got, tt.want) || len(found) > 1 {
			t.Errorf("%s: found %q, want %q", tt.name, got, tt.want)
		}
	}
}

func TestCheckTree(t *testing.T) {
	root := t.TempDir()
	for _, path := range []string{"a/b/p.go", ".hidden/p.go", "a/p.txt"} {
		path = filepath.Join(root, path)
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, []byte("package p\n\nfunc F() {}\n"), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	found, err := checkTree(root)
	if err != nil || len(found) != 1 || !strings.Contains(found[0], filepath.Join("a", "b", "p.go")) {
		t.Errorf("found %q, %v; want the one file in a/b", found, err)
	}
}
