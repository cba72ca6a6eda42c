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
	ImportPath  string // of build output
	Test        string
	Output      string
	FailedBuild string
}

// fatalMarks are the texts of a failure that is more than one test's verdict: other tests may not have run, or are at fault.
var fatalMarks = []string{"panic: ", "fatal error: ", "WARNING: DATA RACE", "race detected", "test timed out", "*** Test killed"}

// packageRun is what one package's tests have given so far.
type packageRun struct {
	output      []event
	results     map[string]string // by test: run, pass, fail or skip
	fatal       string            // the first line with a mark of fatalMarks
	outside     string            // the last line written while no test ran, the result lines left out
	failedBuild bool
}

// report follows the events of go test, prints what go test prints without -json, and judges each package by the list.
type report struct {
	out      io.Writer
	list     []entry
	running  map[string]*packageRun
	verdicts map[testName]string // of the listed tests that ended
	faults   []string            // why the check fails
	ran      int                 // packages that ended
	failed   int                 // packages among them that go test calls failed
}

func newReport(out io.Writer, list []entry) *report {
	return &report{out: out, list: list, running: map[string]*packageRun{}, verdicts: map[testName]string{}}
}

// read takes events until the stream ends. What is no event is an error.
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
		r.take(e)
	}
}

func (r *report) take(e event) {
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
		run.take(e)
	case "run", "pass", "fail", "skip":
		if e.Test != "" {
			run.results[e.Test] = e.Action
			return
		}
		if e.Action == "run" {
			return
		}
		run.failedBuild = e.FailedBuild != ""
		r.end(e.Package, e.Action, run)
		delete(r.running, e.Package)
	}
}

func (p *packageRun) take(e event) {
	p.output = append(p.output, e)
	if p.fatal != "" {
		return
	}
	line := strings.TrimSpace(e.Output)
	for _, mark := range fatalMarks {
		if strings.Contains(line, mark) {
			p.fatal = line
		}
	}
	if e.Test == "" && !isResult(line) {
		p.outside = line
	}
}

// end judges a package whose tests are over, and prints its output.
func (r *report) end(name, action string, run *packageRun) {
	r.ran++
	for test, result := range run.results {
		r.note(testName{name, test}, result)
	}
	r.print(name, action, run)
	if action != "fail" {
		return
	}
	r.failed++
	if why := r.unforgiven(name, run); why != "" {
		r.faults = append(r.faults, name+": "+why)
	}
}

func (r *report) note(test testName, result string) {
	for _, listed := range r.list {
		if listed.name == test {
			r.verdicts[test] = result
		}
	}
}

// unforgiven says why a failed package fails the check, and nothing where only listed tests have failed in it.
func (r *report) unforgiven(name string, run *packageRun) string {
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
		if !r.listed(testName{name, test}) && !r.onlyParent(testName{name, test}, run) {
			return test + " failed"
		}
	}
	if failures == 0 {
		return "it failed outside its tests"
	}
	if run.outside != "" { // TestMain may have found a fault of its own, such as a goroutine left over
		return "it wrote outside its tests: " + run.outside
	}
	return ""
}

func (r *report) listed(test testName) bool {
	for _, listed := range r.list {
		if listed.name.covers(test) {
			return true
		}
	}
	return false
}

// onlyParent tells whether a test is held to have failed for a listed subtest alone: it has one that failed, and has
// written nothing of its own.
func (r *report) onlyParent(test testName, run *packageRun) bool {
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
		if e.Test == test.Test && !isFrame(e.Output) {
			return false
		}
	}
	return true
}

// isResult tells whether a line is one of those that close a package's output.
func isResult(line string) bool {
	return line == "" || line == "PASS" || line == "FAIL" || strings.HasPrefix(line, "FAIL\t") || line == "exit status 1"
}

// isFrame tells whether a line is one that the testing package writes around a test.
func isFrame(line string) bool {
	line = strings.TrimSpace(line)
	return strings.HasPrefix(line, "=== ") || strings.HasPrefix(line, "--- ")
}

// print writes what go test writes of a package without -v: its result line, and before it the output of what failed.
func (r *report) print(name, action string, run *packageRun) {
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
			fmt.Fprintf(r.out, "KNOWN RED\t%s: %s (%s)\n", listed.name, listed.cause, listed.issue)
		}
	}
}
