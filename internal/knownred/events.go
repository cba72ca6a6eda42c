package main

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
)

// event is one line of go test -json, as `go doc test2json` describes it.
type event struct {
	Action      string
	Package     string
	ImportPath  string // set for build output
	Test        string
	Output      string
	FailedBuild string
}

// fatalPatterns mark failures that go beyond one test: other tests may not have run, or may have caused them.
var fatalPatterns = []string{"panic: ", "fatal error: ", "WARNING: DATA RACE", "race detected", "test timed out", "*** Test killed"}

// packageRun holds the output and results of one package's tests so far.
type packageRun struct {
	output       []event
	results      map[string]string // by test: run, pass, fail or skip
	fatal        string            // the first line that matches fatalPatterns
	outsideTests string            // the last line written outside any test, except result lines
	failedBuild  bool
}

// report consumes the events of go test, prints what go test prints without -json, and checks each package against the list.
type report struct {
	out            io.Writer
	list           []knownFailure
	running        map[string]*packageRun
	listedResults  map[testName]string // results of the listed tests
	failures       []string            // reasons why the check fails
	packagesEnded  int                 // packages that have finished
	packagesFailed int                 // finished packages that go test reports as failed
}

func newReport(out io.Writer, list []knownFailure) *report {
	return &report{out: out, list: list, running: map[string]*packageRun{}, listedResults: map[testName]string{}}
}

// read handles events until the stream ends. It fails on input that is not an event.
func (r *report) read(stream io.Reader) error {
	decoder := json.NewDecoder(stream)
	for {
		var e event
		err := decoder.Decode(&e)
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return fmt.Errorf("reading the events of go test: %w", err)
		}
		r.handle(e)
	}
}

func (r *report) handle(e event) {
	if e.Action == "build-output" {
		fmt.Fprint(r.out, e.Output)
		return
	}
	if e.Package == "" {
		return
	}
	run := r.running[e.Package]
	if run == nil {
		run = &packageRun{results: map[string]string{}}
		r.running[e.Package] = run
	}
	switch e.Action {
	case "output":
		run.handle(e)
	case "run", "pass", "fail", "skip":
		if e.Test != "" {
			run.results[e.Test] = e.Action
			return
		}
		if e.Action == "run" {
			return
		}
		run.failedBuild = e.FailedBuild != ""
		r.finishPackage(e.Package, e.Action, run)
		delete(r.running, e.Package)
	}
}

func (p *packageRun) handle(e event) {
	p.output = append(p.output, e)
	if p.fatal != "" {
		return
	}
	line := strings.TrimSpace(e.Output)
	for _, pattern := range fatalPatterns {
		if strings.Contains(line, pattern) {
			p.fatal = line
		}
	}
	if e.Test == "" && !isResultLine(line) {
		p.outsideTests = line
	}
}

// finishPackage checks a package whose tests have finished, and prints its output.
func (r *report) finishPackage(name, action string, run *packageRun) {
	r.packagesEnded++
	for test, result := range run.results {
		r.recordResult(testName{name, test}, result)
	}
	r.printPackage(name, action, run)
	if action != "fail" {
		return
	}
	r.packagesFailed++
	if why := r.failureReason(name, run); why != "" {
		r.failures = append(r.failures, name+": "+why)
	}
}

func (r *report) recordResult(test testName, result string) {
	for _, listed := range r.list {
		if listed.name == test {
			r.listedResults[test] = result
		}
	}
}

// failureReason returns why a failed package fails the check, or "" if only listed tests failed.
func (r *report) failureReason(name string, run *packageRun) string {
	switch {
	case run.failedBuild:
		return "it was not built"
	case run.fatal != "":
		return run.fatal
	}
	failures := 0
	for test, result := range run.results {
		if result == "run" {
			return test + " did not end"
		}
		if result != "fail" {
			continue
		}
		failures++
		if !r.isListed(testName{name, test}) && !r.failedOnlyInListedSubtest(testName{name, test}, run) {
			return test + " failed"
		}
	}
	if failures == 0 {
		return "it failed outside its tests"
	}
	if run.outsideTests != "" { // TestMain may have reported a failure, such as a leaked goroutine
		return "it wrote outside its tests: " + run.outsideTests
	}
	return ""
}

func (r *report) isListed(test testName) bool {
	for _, listed := range r.list {
		if listed.name.covers(test) {
			return true
		}
	}
	return false
}

// failedOnlyInListedSubtest reports whether a test counts as failed only because of a listed subtest: such a
// subtest failed, and the test itself wrote no output.
func (r *report) failedOnlyInListedSubtest(test testName, run *packageRun) bool {
	parent := false
	for _, listed := range r.list {
		if test.covers(listed.name) && run.results[listed.name.Test] == "fail" {
			parent = true
		}
	}
	if !parent {
		return false
	}
	for _, e := range run.output {
		if e.Test == test.Test && !isTestMarker(e.Output) {
			return false
		}
	}
	return true
}

// isResultLine reports whether a line is one of those that end a package's output.
func isResultLine(line string) bool {
	return line == "" || line == "PASS" || line == "FAIL" || strings.HasPrefix(line, "FAIL\t") || line == "exit status 1"
}

// isTestMarker reports whether a line is one that the testing package prints before or after a test.
func isTestMarker(line string) bool {
	line = strings.TrimSpace(line)
	return strings.HasPrefix(line, "=== ") || strings.HasPrefix(line, "--- ")
}

// printPackage prints what go test prints for a package without -v: the output of failures, then its result line.
func (r *report) printPackage(name, action string, run *packageRun) {
	for _, e := range run.output {
		shown := e.Test != "" && action == "fail" && run.results[e.Test] != "pass" && run.results[e.Test] != "skip"
		if e.Test == "" {
			shown = action == "fail" || strings.HasPrefix(e.Output, "ok  \t") || strings.HasPrefix(e.Output, "?   \t")
		}
		if shown && !strings.HasPrefix(e.Output, "=== ") {
			fmt.Fprint(r.out, e.Output)
		}
	}
	if action != "fail" {
		return
	}
	for _, listed := range r.list {
		if listed.name.Package == name && run.results[listed.name.Test] == "fail" {
			fmt.Fprintf(r.out, "KNOWN RED\t%s\n", listed)
		}
	}
}
