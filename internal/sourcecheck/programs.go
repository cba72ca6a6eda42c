package main

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
)

// programMagics are the first bytes of built programs and libraries, by format.
var programMagics = map[string][]byte{
	"ELF":         []byte("\x7fELF"),
	"WebAssembly": []byte("\x00asm"),
	"PE":          []byte("MZ\x90\x00"),
	"Mach-O":      []byte("\xcf\xfa\xed\xfe"),
	"archive":     []byte("!<arch>\n"),
}

// maxMagicBytes is the length of the longest of programMagics.
const maxMagicBytes = 8

// committedPrograms returns a finding for each file below root that git tracks and that is a built program.
func committedPrograms(root string) ([]string, error) {
	command := exec.Command("git", "ls-files", "-z")
	command.Dir = root
	tracked, err := command.Output()
	if err != nil {
		return nil, fmt.Errorf("git ls-files: %w", err)
	}
	var findings []string
	for _, path := range strings.Split(strings.TrimRight(string(tracked), "\x00"), "\x00") {
		format, err := programFormat(filepath.Join(root, path))
		if err != nil {
			return nil, err
		}
		if format != "" {
			findings = append(findings, fmt.Sprintf("%s: a built program (%s) is committed: remove and ignore it", path, format))
		}
	}
	return findings, nil
}

// programFormat returns the format of a built program, "" for any other file and for one that is removed from the working tree.
func programFormat(path string) (string, error) {
	file, err := os.Open(path)
	if errors.Is(err, os.ErrNotExist) {
		return "", nil
	}
	if err != nil {
		return "", err
	}
	defer file.Close()
	start := make([]byte, maxMagicBytes)
	n, err := io.ReadFull(file, start)
	if err != nil && !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
		return "", err
	}
	for format, magic := range programMagics {
		if bytes.HasPrefix(start[:n], magic) {
			return format, nil
		}
	}
	return "", nil
}
