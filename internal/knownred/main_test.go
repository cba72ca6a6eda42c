package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func TestParseList(t *testing.T) {
	const good = "m/p.TestA; slow start; issue 30\n"
	tests := []struct {
		name, text string
		want       string // in the error; empty for none
	}{
		{"empty", "", ""},
		{"one", good, ""},
		{"a subtest", "m/p.TestA/a_b; slow start; issue 30", ""},
		{"three", good + "m/p.TestB; c; issue 1\n\nm/p.TestC; c; issue 1\n", ""},
		{"four", good + "m/p.TestB; c; issue 1\nm/p.TestC; c; issue 1\nm/p.TestD; c; issue 1", "4 tests, at most 3"},
		{"no issue", "m/p.TestA; slow start", "line 1"},
		{"issue without a number", "m/p.TestA; slow start; issue", "issue N"},
		{"no cause", "m/p.TestA; ; issue 3", "no cause"},
		{"no test", "m/p; slow start; issue 3", "a dot and a test"},
		{"a whole package", "m/p.Test; slow start; issue 3\nm/p.Test; again; issue 3", "line 2: m/p.Test stands there twice"},
		{"a subtest of another", good + "m/p.TestA/b; c; issue 3", "stands there twice"},
	}
	for _, tt := range tests {
		_, err := parseList(tt.text)
		if tt.want == "" && err != nil || tt.want != "" && (err == nil || !strings.Contains(err.Error(), tt.want)) {
			t.Errorf("%s: error %v, want %q", tt.name, err, tt.want)
		}
	}
}

func TestGroups(t *testing.T) {
	divided := groups([]string{"-race", "./a", "--", "./b"})
	if len(divided) != 2 || strings.Join(divided[0], " ") != "-race ./a" || strings.Join(divided[1], " ") != "./b" {
		t.Errorf("groups %q", divided)
	}
}

// The list that stands beside the module in TestGoTest: m/p.TestRed may fail.
const listed = "m/p.TestRed; a fault; issue 7\n"

// TestGoTest runs go test itself over small modules and compares what the check says of them.
func TestGoTest(t *testing.T) {
	const red = "func TestRed(t *testing.T) { t.Error(\"red\") }\n"
	const green = "func TestGreen(t *testing.T) {}\n"
	tests := []struct {
		name, list, source string
		flags              []string
		want               string // in the error; empty for none
	}{
		{"all green", "", green, nil, ""},
		{"red, not listed", "", red + green, nil, "TestRed failed"},
		{"red, listed", listed, red + green, nil, ""},
		{"listed and passes", listed, "func TestRed(t *testing.T) {}\n", nil, "m/p.TestRed passes: remove its line"},
		{"listed and skipped", listed, "func TestRed(t *testing.T) { t.Skip() }\n", nil, "m/p.TestRed did not run"},
		{"listed and gone", listed, green, nil, "m/p.TestRed did not run"},
		{"another beside it", listed, red + "func TestOther(t *testing.T) { t.Error() }\n", nil, "TestOther failed"},
		{"a subtest of it", listed, "func TestRed(t *testing.T) { t.Run(\"s\", func(t *testing.T) { t.Error() }) }\n", nil, ""},
		{"listed subtest", "m/p.TestUp/a; c; issue 1", subtests("", "t.Error()", ""), nil, ""},
		{"another subtest", "m/p.TestUp/a; c; issue 1", subtests("", "t.Error()", "t.Error()"), nil, "TestUp/b failed"},
		{"parent of a listed subtest", "m/p.TestUp/a; c; issue 1", subtests("t.Error(\"own\")", "t.Error()", ""), nil, "TestUp failed"},
		{"it panics", listed, "func TestRed(t *testing.T) { panic(\"red\") }\n" + green, nil, "panic: red"},
		{"another panics", listed, red + "func TestOther(t *testing.T) { panic(\"other\") }\n", nil, "panic: other"},
		{"it exits", listed, "func TestRed(t *testing.T) { os.Exit(1) }\n", nil, "TestRed did not end"},
		{"failure after the tests", listed, red + "func TestMain(m *testing.M) { m.Run(); println(\"leaked\"); os.Exit(1) }\n", nil, "wrote outside its tests: leaked"},
		{"time-out", listed, red + "func TestOther(t *testing.T) { select {} }\n", []string{"-timeout", "1s"}, "timed out"},
		{"a race", listed, red + raceTest, []string{"-race"}, "DATA RACE"},
		{"no build", listed, "func TestRed(t *testing.T) { nothing() }\n", nil, "it was not built"},
		{"no such flag", listed, red, []string{"-p=x"}, "go test: exit status 2"},
		{"no such package", listed, red, []string{"./nosuch"}, "nosuch"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			folder := module(t, tt.source)
			list, err := parseList(tt.list)
			if err != nil {
				t.Fatal(err)
			}
			var out bytes.Buffer
			r := newReport(&out, list)
			if err = r.goTest(folder, append([]string{"-count=1"}, append(tt.flags, "./p", "./q")...)); err == nil {
				err = r.verdict()
			}
			if tt.want == "" && err != nil || tt.want != "" && (err == nil || !strings.Contains(err.Error(), tt.want)) {
				t.Errorf("error %v, want %q; printed:\n%s", err, tt.want, out.String())
			}
			if tt.want == "" && !strings.Contains(out.String(), "ok  \tm/q\t") {
				t.Errorf("no result line of the other package; printed:\n%s", out.String())
			}
			if tt.list == listed && tt.want == "" && !strings.Contains(out.String(), "KNOWN RED\tm/p.TestRed: a fault (issue 7)") {
				t.Errorf("the listed failure is not printed:\n%s", out.String())
			}
		})
	}
}

// raceTest writes from two goroutines with no order between them.
const raceTest = `func TestOther(t *testing.T) {
	n, done := 0, make(chan bool)
	go func() { n++; close(done) }()
	n++
	<-done
}
`

func subtests(own, a, b string) string {
	return "func TestUp(t *testing.T) {\n" + own + "\nt.Run(\"a\", func(t *testing.T) {" + a + "})\nt.Run(\"b\", func(t *testing.T) {" + b + "})\n}\n"
}

// module writes a module of two packages, p with the source and q with a test that passes, and returns its folder.
func module(t *testing.T, source string) string {
	t.Helper()
	const head = "import (\n\t\"os\"\n\t\"testing\"\n)\n\nvar _ = os.Exit\n\n"
	folder := t.TempDir()
	files := map[string]string{
		"go.mod":      "module m\n\ngo 1.26\n",
		"p/p_test.go": "package p\n\n" + head + source,
		"q/q_test.go": "package q\n\n" + head + "func TestQ(t *testing.T) {}\n",
	}
	for path, text := range files {
		path = filepath.Join(folder, path)
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	return folder
}
