// Command knownred runs go test and tolerates failures of the tests listed in KNOWN-RED.txt, and no others:
//
//	knownred LIST ARGUMENTS OF GO TEST [-- ARGUMENTS OF A FURTHER GO TEST]...
//
// Each line of the list is "package.Test; command, seed N; what was seen; issue N". A listed test still runs, and its
// failure is printed. The check fails if a listed test passes or does not run, until its line is removed. A fault that no Go test of the
// run shows has its case in review/, or its play of make crowd, in place of the test; its line is checked for its form and printed. Build errors,
// panics, timeouts, races and failures outside tests are never tolerated, even beside the failure of a listed test. The
// runs are sequential and stop at the first that fails.
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
	if err := check(os.Stdout, os.Args[1], splitArguments(os.Args[2:])); err != nil {
		fmt.Fprintln(os.Stderr, "knownred:", err)
		os.Exit(1)
	}
}

// splitArguments splits arguments into one run per "--" separator.
func splitArguments(arguments []string) [][]string {
	runs := [][]string{nil}
	for _, argument := range arguments {
		if argument == "--" {
			runs = append(runs, nil)
			continue
		}
		last := len(runs) - 1
		runs[last] = append(runs[last], argument)
	}
	return runs
}

// check runs go test with each list of arguments in turn, and returns an error if the check fails.
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
		if err := r.runGoTest("", arguments); err != nil {
			return err
		}
	}
	return r.checkListed()
}

// runGoTest runs go test once in folder. It returns an error if anything unlisted failed.
func (r *report) runGoTest(folder string, arguments []string) error {
	command := exec.Command("go", append([]string{"test", "-json"}, arguments...)...)
	command.Dir = folder
	command.Stderr = os.Stderr
	stream, err := command.StdoutPipe()
	if err != nil {
		return err
	}
	failedBefore := r.packagesFailed
	if err := command.Start(); err != nil {
		return err
	}
	readErr := r.read(stream)
	_, _ = io.Copy(r.out, stream) // drain the output after a line that is not an event, so that go test can exit
	return errors.Join(readErr, r.checkRun(command.Wait(), failedBefore))
}

// checkRun compares the exit status of go test with the packages that failed in this run: those counted beyond failedBefore.
func (r *report) checkRun(waitErr error, failedBefore int) error {
	for name := range r.running {
		r.failures = append(r.failures, name+": it did not end")
	}
	var faults error
	for _, fault := range r.failures {
		faults = errors.Join(faults, errors.New(fault))
	}
	if faults == nil && waitErr != nil && r.packagesFailed == failedBefore {
		return fmt.Errorf("go test: %w", waitErr)
	}
	return faults
}

// checkListed checks, after all runs, that each listed test has failed.
func (r *report) checkListed() error {
	var faults error
	for _, listed := range r.list {
		if !listed.isTest() {
			fmt.Fprintf(r.out, "known red, not run here: %s\n", listed)
			continue
		}
		switch result := r.listedResults[listed.name]; result {
		case "fail":
			fmt.Fprintf(r.out, "known red, passed over: %s\n", listed)
		case "pass":
			faults = errors.Join(faults, fmt.Errorf("%s passes: remove its line", listed.name))
		default:
			faults = errors.Join(faults, fmt.Errorf("%s did not run: mend or remove its line", listed.name))
		}
	}
	return faults
}
