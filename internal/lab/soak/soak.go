package soak

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"burlpass/internal/invariant"
	"burlpass/internal/lab/judge"
	"burlpass/internal/lab/scenario"
)

// Findings returns what a day broke: the violations of the judge, and the invariants that the sidecars' logs in a folder name.
func Findings(violations []judge.Violation, folder string) ([]string, error) {
	findings, err := Broken(folder)
	for _, violation := range violations {
		findings = append(findings, violation.String())
	}
	return findings, err
}

// Broken returns the lines in which the sidecars whose logs lie in a folder say that an invariant was broken.
func Broken(folder string) ([]string, error) {
	paths, err := filepath.Glob(filepath.Join(folder, "*.log"))
	if err != nil {
		return nil, err
	}
	var lines []string
	for _, path := range paths {
		found, err := brokenIn(path)
		if err != nil {
			return nil, err
		}
		lines = append(lines, found...)
	}
	return lines, nil
}

// maxLogLine bounds a line of a sidecar's log.
const maxLogLine = 1 << 20

func brokenIn(path string) ([]string, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	var lines []string
	scanner := bufio.NewScanner(file)
	scanner.Buffer(nil, maxLogLine)
	for scanner.Scan() {
		if strings.Contains(scanner.Text(), "event="+invariant.ViolationEvent) {
			lines = append(lines, filepath.Base(path)+": "+scanner.Text())
		}
	}
	return lines, scanner.Err()
}

// Shrink takes faults out of a day for as long as the day still fails without them. fails plays a day; a failure that
// depends on chance may be missed, so what is returned is a smaller day that has failed, not the smallest.
func Shrink(s *scenario.Scenario, fails func(*scenario.Scenario) bool) *scenario.Scenario {
	for i := 0; i < len(s.Faults); {
		smaller := *s
		smaller.Faults = append(append([]scenario.Fault{}, s.Faults[:i]...), s.Faults[i+1:]...)
		if fails(&smaller) {
			s = &smaller
			continue
		}
		i++
	}
	return s
}

// Coverage counts how often each kind of fault was played, and how often two kinds were in force at one time.
type Coverage struct {
	Kinds map[string]int
	Pairs map[[2]string]int
}

// NewCoverage returns an empty count.
func NewCoverage() *Coverage { return &Coverage{map[string]int{}, map[[2]string]int{}} }

// systemCalls is the kind that FailingCalls stands for. It lasts for the whole day.
const systemCalls = "system_calls"

// Add counts a day, with system calls that failed or without.
func (c *Coverage) Add(s *scenario.Scenario, failingCalls bool) {
	if failingCalls {
		c.Kinds[systemCalls]++
	}
	for i, a := range s.Faults {
		c.Kinds[a.Kind]++
		if failingCalls {
			c.Pairs[[2]string{min(a.Kind, systemCalls), max(a.Kind, systemCalls)}]++
		}
		for _, b := range s.Faults[i+1:] {
			if a.At <= b.At+b.Length && b.At <= a.At+a.Length {
				c.Pairs[[2]string{min(a.Kind, b.Kind), max(a.Kind, b.Kind)}]++
			}
		}
	}
}

// Fault is a fault as a line of a report has it.
func Fault(f scenario.Fault) string {
	return fmt.Sprintf("%s at %v for %v (part %.2f, count %d, size %.2f, extra %v)", f.Kind, f.At, f.Length, f.Part, f.Count, f.Size, f.Extra)
}
