package soak

import (
	"os"
	"path/filepath"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"

	"burlpass/internal/lab/scenario"
)

// A seed is a day, always the same one; over some hundred seeds each kind of fault arises, and overlaps
// with others.
func TestDraw(t *testing.T) {
	seen := NewCoverage()
	for seed := range uint64(300) {
		s := Draw(seed)
		if diff := cmp.Diff(Draw(seed), s); diff != "" {
			t.Fatalf("seed %d is two days:\n%s", seed, diff)
		}
		if n := len(s.Faults); n < leastFault || n > mostFault {
			t.Errorf("seed %d: %d faults", seed, n)
		}
		for _, f := range s.Faults {
			if f.At < faultsFrom || f.At >= faultsTo || f.Moment() == (f.Length > 0) {
				t.Errorf("seed %d: %s", seed, Fault(f))
			}
		}
		seen.Add(s, FailingCalls(seed))
	}
	for _, kind := range append([]string{systemCalls}, Kinds...) {
		if seen.Kinds[kind] == 0 {
			t.Errorf("%s never arose", kind)
		}
	}
	if len(seen.Pairs) < 150 {
		t.Errorf("%d pairs of kinds overlapped", len(seen.Pairs))
	}
}

// What a sidecar says of its invariants is found in its log, and nothing else is.
func TestBroken(t *testing.T) {
	folder := t.TempDir()
	const broken = "level=ERROR event=invariant_broken rule=repeat_allowed id=t1"
	for name, text := range map[string]string{"n0.log": "event=start\n" + broken + "\nevent=stop\n", "n1.log": "event=stop\n", "n1.json": broken + "\n"} {
		if err := os.WriteFile(filepath.Join(folder, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	lines, err := Broken(folder)
	if diff := cmp.Diff([]string{"n0.log: " + broken}, lines); diff != "" || err != nil {
		t.Errorf("%v (-want +got)\n%s", err, diff)
	}
}

// A day that fails is shrunk to the faults without which it does not.
func TestShrink(t *testing.T) {
	needs := []string{"kill", "hold"}
	s := &scenario.Scenario{}
	for _, kind := range []string{"cut", "kill", "reset", "hold", "slow"} {
		s.Faults = append(s.Faults, scenario.Fault{Kind: kind})
	}
	has := func(s *scenario.Scenario, kind string) bool {
		return slices.ContainsFunc(s.Faults, func(f scenario.Fault) bool { return f.Kind == kind })
	}
	smaller := Shrink(s, func(s *scenario.Scenario) bool { return has(s, needs[0]) && has(s, needs[1]) })
	if len(smaller.Faults) != 2 || !has(smaller, "kill") || !has(smaller, "hold") || len(s.Faults) != 5 {
		t.Errorf("left are %v of %v", smaller.Faults, s.Faults)
	}
}
