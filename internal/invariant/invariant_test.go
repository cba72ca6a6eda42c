package invariant

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
)

// Each rule has a distinct name, its own count, and a log line with the request's ID and the given attributes.
func TestMonitorReportsEachRule(t *testing.T) {
	var out bytes.Buffer
	m := NewMonitor(slog.New(slog.NewTextHandler(&out, nil)))
	seen := map[string]bool{}
	for rule := range ruleCount {
		if name := rule.String(); name == "" || seen[name] {
			t.Errorf("rule %d has the empty or duplicate name %q", rule, name)
		}
		seen[rule.String()] = true
		m.ReportViolation(rule, "t1", "late", "5s")
		if m.Count(rule) != 1 || m.Total() != int64(rule)+1 {
			t.Errorf("%v: counted %d of %d", rule, m.Count(rule), m.Total())
		}
		line, _ := out.ReadString('\n')
		for _, want := range []string{ViolationEvent, "rule=" + rule.String(), "id=t1", "late=5s"} {
			if !strings.Contains(line, want) {
				t.Errorf("%q lacks %q", line, want)
			}
		}
	}
}

// Callers without a monitor report violations to a nil Monitor, which must do nothing.
func TestNilMonitor(t *testing.T) {
	var m *Monitor
	m.ReportViolation(ExitInTime, "")
	if m.Total() != 0 {
		t.Error("a nil monitor counts")
	}
}
