package main

import "testing"

// A deadline that is set outside the owning files is reported in the restricted packages only.
func TestMisplacedDeadlines(t *testing.T) {
	const text = "package p\n\nfunc f(c interface{ SetReadDeadline(int) }) { c.SetReadDeadline(1) }\n"
	for path, want := range map[string]int{
		"internal/protocol/answer.go": 1, "internal/protocol/registry.go": 0, "internal/transport/deadline.go": 0,
		"internal/transport/listen.go": 1, "internal/routing/call.go": 1, "internal/operator/listener.go": 0,
		"internal/protocol/answer_test.go": 0,
	} {
		findings, err := checkFile(path, []byte(text))
		if err != nil || len(findings) != want {
			t.Errorf("%s: %v, %v", path, findings, err)
		}
	}
}
