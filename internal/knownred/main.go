// Command knownred runs go test and lets it pass over the tests that KNOWN-RED.txt names, and over nothing else:
//
//	knownred LIST ARGUMENTS OF GO TEST [-- ARGUMENTS OF A FURTHER GO TEST]...
//
// A line of the list is "package.Test; cause; issue N"; there may be three. A listed test still runs, and is printed where it
// fails. One that passes or does not run fails the check until its line is removed. Builds, panics, time-outs, races and
// failures outside tests are never passed over, also where a listed test has failed beside them. The runs come one after
// another, the first that fails is the last.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
)

func main() {
	if len(os.Args) < 3 {
		fmt.Fprintln(os.Stderr, "usage: knownred LIST ARGUMENTS OF GO TEST [-- ARGUMENTS]...")
		os.Exit(2)
	}
	if err := check(os.Stdout, os.Args[1], groups(os.Args[2:])); err != nil {
		fmt.Fprintln(os.Stderr, "knownred:", err)
		os.Exit(1)
	}
}

// groups divides arguments at each "--".
func groups(arguments []string) [][]string {
	divided := [][]string{nil}
	for _, argument := range arguments {
		if argument == "--" {
			divided = append(divided, nil)
			continue
		}
		last := len(divided) - 1
		divided[last] = append(divided[last], argument)
	}
	return divided
}

// check runs go test with each of the groups in turn, and returns why the whole does not pass.
func check(out io.Writer, path string, runs [][]string) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	list, err := parseList(string(text))
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	r := newReport(out, list)
	for _, arguments := range runs {
		if err := r.goTest("", arguments); err != nil {
			return err
		}
	}
	return r.verdict()
}

// goTest is one run of go test in a folder. It returns an error where something has failed that is not listed.
func (r *report) goTest(folder string, arguments []string) error {
	command := exec.Command("go", append([]string{"test", "-json"}, arguments...)...)
	command.Dir = folder
	command.Stderr = os.Stderr
	stream, err := command.StdoutPipe()
	if err != nil {
		return err
	}
	before := r.failed
	if err := command.Start(); err != nil {
		return err
	}
	readErr := r.read(stream)
	_, _ = io.Copy(r.out, stream) // what follows a line that is no event, so that go test can end
	return errors.Join(readErr, r.judge(command.Wait(), before))
}

// judge weighs how go test ended against the packages that failed in it, which are those since before.
func (r *report) judge(ended error, before int) error {
	for name := range r.running {
		r.faults = append(r.faults, name+": it did not end")
	}
	var faults error
	for _, fault := range r.faults {
		faults = errors.Join(faults, errors.New(fault))
	}
	if faults == nil && ended != nil && r.failed == before {
		return fmt.Errorf("go test: %w", ended)
	}
	return faults
}

// verdict judges the list once all has run: each of its tests must have failed.
func (r *report) verdict() error {
	var faults error
	for _, listed := range r.list {
		switch result := r.verdicts[listed.name]; result {
		case "fail":
			fmt.Fprintf(r.out, "known red, passed over: %s: %s (%s)\n", listed.name, listed.cause, listed.issue)
		case "pass":
			faults = errors.Join(faults, fmt.Errorf("%s passes: remove its line", listed.name))
		default:
			faults = errors.Join(faults, fmt.Errorf("%s did not run: mend or remove its line", listed.name))
		}
	}
	return faults
}
