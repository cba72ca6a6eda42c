package main

import (
	"fmt"
	"regexp"
	"strings"
)

// maxEntries limits the list: it holds faults that are due to be fixed next, not a backlog.
const maxEntries = 3

// knownFailure is one line of the list: a test that is allowed to fail.
type knownFailure struct {
	name  testName
	cause string
	issue string
}

// testName identifies a test as go test -json does.
type testName struct {
	Package string
	Test    string
}

func (n testName) String() string { return n.Package + "." + n.Test }

// covers reports whether other is this test or one of its subtests.
func (n testName) covers(other testName) bool {
	return n.Package == other.Package && (n.Test == other.Test || strings.HasPrefix(other.Test, n.Test+"/"))
}

var (
	testPattern  = regexp.MustCompile(`^(\S+)\.(Test\S*)$`)
	issuePattern = regexp.MustCompile(`^issue [0-9]+$`)
)

// parseList parses the list: one "package.Test; cause; issue N" per line. Empty lines are ignored.
func parseList(text string) ([]knownFailure, error) {
	var list []knownFailure
	for i, line := range strings.Split(text, "\n") {
		if strings.TrimSpace(line) == "" {
			continue
		}
		parsed, err := parseEntry(line)
		if err != nil {
			return nil, fmt.Errorf("line %d: %w", i+1, err)
		}
		for _, other := range list {
			if other.name.covers(parsed.name) || parsed.name.covers(other.name) {
				return nil, fmt.Errorf("line %d: %s stands there twice", i+1, parsed.name)
			}
		}
		list = append(list, parsed)
	}
	if len(list) > maxEntries {
		return nil, fmt.Errorf("%d tests, at most %d are allowed", len(list), maxEntries)
	}
	return list, nil
}

func parseEntry(line string) (knownFailure, error) {
	fields := strings.Split(line, ";")
	if len(fields) != 3 {
		return knownFailure{}, fmt.Errorf("%q is not of the form \"package.Test; cause; issue N\"", line)
	}
	for i := range fields {
		fields[i] = strings.TrimSpace(fields[i])
	}
	name := testPattern.FindStringSubmatch(fields[0])
	if name == nil {
		return knownFailure{}, fmt.Errorf("%q is not a package's path, a dot and a test", fields[0])
	}
	if fields[1] == "" {
		return knownFailure{}, fmt.Errorf("%s has no cause", fields[0])
	}
	if !issuePattern.MatchString(fields[2]) {
		return knownFailure{}, fmt.Errorf("%s: %q is not of the form \"issue N\"", fields[0], fields[2])
	}
	return knownFailure{name: testName{Package: name[1], Test: name[2]}, cause: fields[1], issue: fields[2]}, nil
}
