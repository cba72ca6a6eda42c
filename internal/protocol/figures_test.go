package protocol

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

// Each answer increments the one counter of its class and verdict, and no other; a class out of range increments none.
func TestCountersCountEachAnswerOnce(t *testing.T) {
	classes := []string{"a", "b"}
	for verdict, want := range map[Verdict]StatsReport{
		Served:  {Success: map[string]int64{"a": 0, "b": 1}, Busy: map[string]int64{"a": 0, "b": 0}, Failure: map[string]int64{"a": 0, "b": 0}},
		Refused: {Success: map[string]int64{"a": 0, "b": 0}, Busy: map[string]int64{"a": 0, "b": 1}, Failure: map[string]int64{"a": 0, "b": 0}},
		Expired: {Success: map[string]int64{"a": 0, "b": 0}, Busy: map[string]int64{"a": 0, "b": 0}, Failure: map[string]int64{"a": 0, "b": 1}},
		Failed:  {Success: map[string]int64{"a": 0, "b": 0}, Busy: map[string]int64{"a": 0, "b": 0}, Failure: map[string]int64{"a": 0, "b": 1}},
	} {
		f := NewCounters(len(classes))
		f.answered(1, verdict)
		f.answered(2, verdict)  // no such class
		f.answered(-1, verdict) // a call without a class
		var got StatsReport
		f.FillStats(classes, &got)
		if d := cmp.Diff(want, got); d != "" {
			t.Errorf("verdict %v: (-want +got)\n%s", verdict, d)
		}
	}
	var none *Counters
	none.answered(0, Served) // a sidecar without counters counts nothing and does not fail
}
