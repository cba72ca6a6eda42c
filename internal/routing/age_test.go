package routing

import (
	"testing"
	"time"

	"burlpass/decide"
	"burlpass/internal/protocol"
)

// A backend's age errs to the cold side where the clocks disagree, whenever they were stepped, and is the same however often
// it is listed.
func TestAge(t *testing.T) {
	const hour = time.Hour
	for name, test := range map[string]struct {
		offset time.Duration // of discovery's clock against ours
		age    time.Duration // in truth, when it is told
		known  bool          // it stands on the list of the start
		least  time.Duration // what the age is held to be
		most   time.Duration
	}{
		"clocks agree":                       {0, time.Second, false, time.Second, time.Second},
		"clocks agree, known at the start":   {0, 10 * time.Second, true, 10 * time.Second, 10 * time.Second},
		"ours is an hour ahead":              {-hour, time.Second, false, 0, newsAge},
		"ours is some seconds ahead":         {-7 * time.Second, time.Second, false, 0, newsAge},
		"ours is an hour behind":             {hour, time.Second, false, 0, 0},
		"ours is behind, known at the start": {hour, 10 * time.Second, true, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			w := newTown(t, decide.Class{}, 0)
			one := w.instance(1)
			one.StartedMs = time.Now().Add(test.offset - test.age).UnixMilli()
			kind := decide.ListDelta
			if test.known {
				kind = decide.ListCached
			} else {
				w.learn(w.source, w.list(2, w.instance(0)), decide.ListFull) // discovery has answered once
			}
			heard := w.now()
			tell := func(generation uint64, reset bool, i ...protocol.Instance) {
				w.learn(w.source, &protocol.List{Generation: generation, Reset: reset, Instances: i}, kind)
			}
			started := func() time.Duration {
				return w.worker(w.ids[one.ID]).listed.Started
			}
			tell(3, false, one)
			const slack = 100 * time.Millisecond // the machine's own
			first := started()
			if age := heard - first; age < test.least-slack || age > test.most+slack {
				t.Errorf("held to be %v old, %v to %v expected", age, test.least, test.most)
			}
			tell(4, false, one)
			tell(5, true, w.instance(0)) // left out
			tell(6, true, w.instance(0), one)
			if started() != first {
				t.Errorf("its start has moved by %v", started()-first)
			}
			one.StartedMs += 50
			kind = decide.ListDelta
			w.informed = true
			tell(7, false, one)
			if age := w.now() - started(); age < -slack || age > newsAge+slack {
				t.Errorf("after a restart it is held to be %v old", age)
			}
		})
	}
}
