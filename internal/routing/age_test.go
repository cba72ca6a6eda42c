package routing

import (
	"testing"
	"time"

	"burlpass/decide"
	"burlpass/internal/protocol"
)

// If the clocks disagree, however they were stepped, a worker must be taken for younger rather than older than it is: one
// taken for older is overloaded. Its start time must not change when it is listed again.
func TestStartTimeWithClockSkew(t *testing.T) {
	const hour = time.Hour
	for name, test := range map[string]struct {
		offset  time.Duration // of the registry's clock relative to ours
		trueAge time.Duration // when the registry reports the start
		cached  bool          // the worker is on the cached list of the start
		minAge  time.Duration // bounds of the assumed age
		maxAge  time.Duration
	}{
		"clocks agree":                       {0, time.Second, false, time.Second, time.Second},
		"clocks agree, known at the start":   {0, 10 * time.Second, true, 10 * time.Second, 10 * time.Second},
		"ours is an hour ahead":              {-hour, time.Second, false, 0, maxNewStartAge},
		"ours is some seconds ahead":         {-7 * time.Second, time.Second, false, 0, maxNewStartAge},
		"ours is an hour behind":             {hour, time.Second, false, 0, 0},
		"ours is behind, known at the start": {hour, 10 * time.Second, true, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			s := newTestSidecar(t, decide.Class{}, 0)
			instance := s.instance(1)
			instance.StartedMs = time.Now().Add(test.offset - test.trueAge).UnixMilli()
			kind := decide.ListDelta
			if test.cached {
				kind = decide.ListCached
			} else {
				s.applyList(s.registrySource, s.list(2, s.instance(0)), decide.ListFull) // the registry has answered once
			}
			appliedAt := s.now()
			apply := func(generation uint64, reset bool, instances ...protocol.Instance) {
				s.applyList(s.registrySource, &protocol.List{Generation: generation, Reset: reset, Instances: instances}, kind)
			}
			startTime := func() time.Duration {
				return s.findWorker(s.workerIDs[instance.ID]).listed.Started
			}
			apply(3, false, instance)
			const slack = 100 * time.Millisecond // for delays of the test machine
			first := startTime()
			if age := appliedAt - first; age < test.minAge-slack || age > test.maxAge+slack {
				t.Errorf("assumed age is %v, want %v to %v", age, test.minAge, test.maxAge)
			}
			apply(4, false, instance)
			apply(5, true, s.instance(0)) // missing from the list
			apply(6, true, s.instance(0), instance)
			if startTime() != first {
				t.Errorf("start time moved by %v", startTime()-first)
			}
			instance.StartedMs += 50
			kind = decide.ListDelta
			s.receivedList = true
			apply(7, false, instance)
			if age := s.now() - startTime(); age < -slack || age > maxNewStartAge+slack {
				t.Errorf("assumed age after a restart is %v", age)
			}
		})
	}
}
