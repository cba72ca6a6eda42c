package experiment

import (
	"math/rand/v2"
	"testing"

	"burlpass/internal/lab/judge"
	"burlpass/internal/lab/stage"
)

// An interval of 95% leaves the truth out about once in twenty times. With few values the percentile bootstrap is
// somewhat too narrow, so up to 15 in 100 are let pass.
func TestBootstrapCoverage(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 2))
	missed := 0
	const trials = 300
	for i := range trials {
		values := make([]float64, 12)
		for j := range values {
			values[j] = 3 + rnd.NormFloat64()
		}
		if low, high := Bootstrap(values, uint64(i)); low > 3 || high < 3 {
			missed++
		}
	}
	if missed < 3 || missed > trials*15/100 {
		t.Errorf("the truth was left out %d times of %d", missed, trials)
	}
}

func pairs(n int, gain, noise float64) (out []Pair) {
	rnd := rand.New(rand.NewPCG(9, 9))
	for range n {
		g := rnd.Float64() // days differ far more than the sides
		result := func(g float64) *stage.Result {
			return &stage.Result{Report: &judge.Report{G: g, Calls: 1, Classes: make([]judge.ClassReport, 1)}}
		}
		out = append(out, Pair{A: result(g), B: result(g + gain + noise*rnd.NormFloat64())})
	}
	return out
}

// Pairing finds a gain far below the spread of days, and none where there is none.
func TestCompare(t *testing.T) {
	for want, p := range map[string][]Pair{"better": pairs(10, 0.03, 0.01), "worse": pairs(10, -0.03, 0.01), "even": pairs(10, 0, 0.05),
		"too few pairs": pairs(2, 0.03, 0)} {
		if got := Compare(p, 1)[0]; got.Verdict != want {
			t.Errorf("%+v, want %s", got, want)
		}
	}
}
