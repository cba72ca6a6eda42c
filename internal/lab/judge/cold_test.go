package judge

import (
	"math"
	"testing"
	"time"

	"burlpass/internal/lab/scenario"
)

// coldDay is a judge of one worker that starts at 0 and two sidecars, of which the first is told at once. A mean request
// is 100 ms; the worker can do 2 of them in a second when it starts and 10 from 10 s on, and falls at 2.5 times that.
func coldDay(t *testing.T) *Judge {
	t.Helper()
	s, err := scenario.Parse("test", []byte(`
name = "x"
about = "y"
workers = 1
sidecars = 2
[[kind]]
name = "cold"
cold_from = 0.2
cold_time = "10s"
[[class]]
name = "a"
share = 3
work = "80ms"
effect = "safe"
[[class]]
name = "b"
share = 1
work = "160ms"
effect = "unsafe"
`))
	if err != nil {
		t.Fatal(err)
	}
	j := New(Fleet{Scenario: s, Worker: []int{0}, Cell: []int{0}, Sidecar: []int{0, 0}, Able: []float64{1}})
	j.Observe(Event{Kind: Listed, Worker: 0, State: 2})
	j.Observe(Event{Kind: Told, Sidecar: 0, Worker: 0, State: 2})
	return j
}

// push sends mean requests at a time, the last of the span at the time itself.
func push(j *Judge, at time.Duration, sidecar, n int) {
	for range n {
		j.Observe(Event{At: at, Kind: Pushed, Sidecar: sidecar, Worker: 0, Work: 100 * time.Millisecond})
	}
}

// The figures of the operators' rule, one on each side of where it changes.
func TestBudget(t *testing.T) {
	t.Parallel()
	for n, want := range map[float64]float64{4: 4 + 6 + 3, 25: 25 + 15 + 3, 36: 36 + 12 + 2, 100: 100 + 20 + 2} {
		if got := Budget(n); math.Abs(got-want) > 1e-9 {
			t.Errorf("%v: %v, expected %v", n, got, want)
		}
	}
}

func TestBudgetOfColdWorker(t *testing.T) {
	t.Parallel()
	for name, test := range map[string]struct {
		play   func(j *Judge)
		ratio  float64 // of all
		passed int
		broken int
	}{
		"5 at the start, so 14.7 with what chance may add": {func(j *Judge) { push(j, 0, 0, 14) }, 14 / Budget(5), 0, 0},
		"one more":                    {func(j *Judge) { push(j, 0, 0, 15) }, 15 / Budget(5), 1, 1},
		"15 when half of it is over":  {func(j *Judge) { push(j, 5*time.Second, 0, 29) }, 29 / Budget(15), 0, 0},
		"what left the span is past":  {func(j *Judge) { push(j, 0, 0, 10); push(j, time.Second, 0, 10) }, 10 / Budget(5), 0, 0},
		"what is in it counts":        {func(j *Judge) { push(j, 0, 0, 10); push(j, time.Second-1, 0, 10) }, 20 / Budget(7), 1, 1},
		"a warm worker has no budget": {func(j *Judge) { push(j, 10*time.Second, 0, 1000) }, 0, 0, 0},
		"two thirds of the first fall by those told are not over it": {func(j *Judge) {
			push(j, 0, 1, 5)
			push(j, 0, 0, 25)
		}, 30 / Budget(5), 1, 0},
		"eleven of fifteen are": {func(j *Judge) { push(j, 0, 1, 4); push(j, 0, 0, 11) }, 15 / Budget(5), 1, 1},
		"who was told of another start was not told": {func(j *Judge) {
			j.Observe(Event{Kind: Told, Sidecar: 0, Worker: 0, State: 2, Started: -1})
			push(j, 0, 0, 15)
		}, 15 / Budget(5), 1, 0},
		"who knew knows after a restart": {func(j *Judge) {
			j.Observe(Event{Kind: Killed, Sidecar: 0})
			j.Observe(Event{Kind: Began, Sidecar: 0})
			push(j, 0, 0, 15)
		}, 15 / Budget(5), 1, 1},
		"who was never told counts as told in the end": {func(j *Judge) { push(j, deemed+1, 1, 33) }, 33 / Budget(17), 1, 1},
	} {
		j := coldDay(t)
		test.play(j)
		r := j.Report(Work{}).Cold
		if math.Abs(r.All.Ratio-test.ratio) > 1e-6 || len(r.Passed) != test.passed || r.Broken() != test.broken {
			t.Errorf("%s: ratio %.4f, %d passed, %d broken; expected %.4f, %d, %d", name, r.All.Ratio, len(r.Passed), r.Broken(),
				test.ratio, test.passed, test.broken)
		}
	}
}

// Two starts of a worker have a budget each, and long requests count for what they are.
func TestColdLives(t *testing.T) {
	t.Parallel()
	j := coldDay(t)
	push(j, 0, 0, 11)
	j.Observe(Event{At: 500 * time.Millisecond, Kind: Pushed, Worker: 0, Sidecar: 1, Started: 500 * time.Millisecond, Work: 1100 * time.Millisecond})
	r := j.Report(Work{}).Cold
	if r.Lives != 2 || len(r.Passed) != 0 || math.Abs(r.All.Ratio-r.Told.Ratio) > 1e-9 || math.Abs(r.Number-r.All.Ratio) > 1e-9 {
		t.Errorf("%+v", r)
	}
	if got := New(Fleet{Scenario: j.fleet.Scenario}).Report(Work{}).Cold; got != nil {
		t.Errorf("budgets of workers of which nothing is known: %+v", got)
	}
}

// The share at half of the warming is the work got there over what the worker could do, of processes that got so far.
func TestShareAtHalf(t *testing.T) {
	t.Parallel()
	for name, test := range map[string]struct {
		until  time.Duration
		halves int
	}{"a whole day": {8 * time.Second, 1}, "a day that ends before": {6 * time.Second, 0}} {
		j := coldDay(t)
		j.Until(test.until)
		push(j, time.Second, 0, 5)           // before 3/8 of 10 s
		push(j, 4*time.Second, 0, 9)         // of 2.5 s at 0.6 of ten requests a second
		push(j, 6500*time.Millisecond, 0, 5) // after 5/8
		r := j.Report(Work{}).Cold
		if want := 0.6 * float64(test.halves); r.Halves != test.halves || math.Abs(r.Half-want) > 1e-9 {
			t.Errorf("%s: %.3f over %d processes, %.3f over %d expected", name, r.Half, r.Halves, want, test.halves)
		}
	}
}
