// Package experiment tells a gain from noise: figures of two sides, taken in pairs on the same seeds, with the mean of
// their differences and a bootstrap interval. It does no I/O.
package experiment

import (
	"math/rand/v2"
	"slices"

	"gonum.org/v1/gonum/stat"

	"burlpass/internal/lab/judge"
	"burlpass/internal/lab/stage"
)

// Figure is one thing that is compared.
type Figure struct {
	Name string
	More bool // more of it is better
	Of   func(*stage.Result) float64
}

// Figures are those that a comparison prints.
func Figures() []Figure {
	of := func(f func(*judge.Report) float64) func(*stage.Result) float64 {
		return func(r *stage.Result) float64 { return f(r.Report) }
	}
	return []Figure{
		{"figure", true, of(func(r *judge.Report) float64 { return r.G })},
		{"worth", true, of(func(r *judge.Report) float64 { return r.Worth })},
		{"worst 10 s", true, of(func(r *judge.Report) float64 { return r.Worst })},
		{"worst class", true, of(func(r *judge.Report) float64 { return r.WorstClass })},
		{"p99 ms, first class", false, of(func(r *judge.Report) float64 { return r.Classes[0].P99 })},
		{"refusals a call", false, of(func(r *judge.Report) float64 { return float64(r.Refused) / float64(max(1, r.Calls)) })},
		{"crossings a call", false, of(func(r *judge.Report) float64 { return r.Crossed })},
		{"waste", false, of(func(r *judge.Report) float64 { return r.Waste })},
		{"left out wrongly, s", false, of(func(r *judge.Report) float64 { return r.Belief.LeftOut })},
		{"used while unable, s", false, of(func(r *judge.Report) float64 { return r.Belief.Missed })},
		{"rules broken", false, of(func(r *judge.Report) float64 { return float64(len(r.Violations) + r.MoreBroken) })},
	}
}

// Pair is one seed played with both sides.
type Pair struct {
	Scenario string
	Seed     uint64
	A, B     *stage.Result
}

// Difference is B minus A over pairs.
type Difference struct {
	Figure  string  `json:"figure"`
	A       float64 `json:"a"` // means
	B       float64 `json:"b"`
	Mean    float64 `json:"mean"`
	Low     float64 `json:"low"` // of the 95% interval of the mean
	High    float64 `json:"high"`
	Better  int     `json:"better"` // pairs in which B is better
	Worse   int     `json:"worse"`
	Verdict string  `json:"verdict"` // better or worse where the interval leaves 0 out, even, or too few pairs
	Pairs   int     `json:"pairs"`
}

// Compare takes the paired differences of every figure. seed makes the bootstrap repeatable.
func Compare(pairs []Pair, seed uint64) (out []Difference) {
	for _, f := range Figures() {
		var a, b, diff []float64
		d := Difference{Figure: f.Name, Pairs: len(pairs), Verdict: "even"}
		for _, p := range pairs {
			x, y := f.Of(p.A), f.Of(p.B)
			a, b, diff = append(a, x), append(b, y), append(diff, y-x)
			switch {
			case x == y:
			case (y > x) == f.More:
				d.Better++
			default:
				d.Worse++
			}
		}
		d.A, d.B, d.Mean = stat.Mean(a, nil), stat.Mean(b, nil), stat.Mean(diff, nil)
		d.Low, d.High = Bootstrap(diff, seed)
		switch {
		case len(pairs) < leastPairs:
			d.Verdict = "too few pairs"
		case (d.Low > 0) == f.More && (d.Low > 0 || d.High < 0):
			d.Verdict = "better"
		case d.Low > 0 || d.High < 0:
			d.Verdict = "worse"
		}
		out = append(out, d)
	}
	return out
}

const (
	resamples  = 4000
	leastPairs = 5 // fewer say too little of the spread for a verdict
)

// Bootstrap is the 95% percentile interval of the mean, by resampling with replacement (Efron and Tibshirani, An
// Introduction to the Bootstrap, chapter 13). With one value it is that value.
func Bootstrap(values []float64, seed uint64) (low, high float64) {
	rnd := rand.New(rand.NewPCG(seed, 1))
	means := make([]float64, resamples)
	for i := range means {
		sum := 0.0
		for range values {
			sum += values[rnd.IntN(len(values))]
		}
		means[i] = sum / float64(len(values))
	}
	slices.Sort(means)
	return stat.Quantile(0.025, stat.Empirical, means, nil), stat.Quantile(0.975, stat.Empirical, means, nil)
}
