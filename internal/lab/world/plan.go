package world

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"burlpass/internal/lab/scenario"
)

// Streams of chance: each use has its own generator, so that a change in one leaves the others as they were.
const (
	streamFleet = iota + 1
	streamFaults
	streamClients             // and from here on one for each sidecar
	streamKept    = 1_000_000 // and from here on one for each fault
)

func source(seed, stream uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, stream)) }

// Sidecar is one sidecar as drawn for a day.
type Sidecar struct {
	Name string
	Hall int
	Rate float64 // calls a second on average
}

// Arrival is one call of a client, before any retry.
type Arrival struct {
	At      time.Duration
	Index   int
	Sidecar int
	Class   int
	Work    time.Duration // on a standard core
	Key     string        // of a keyed call
	Honours bool          // its client heeds Retry-After
	Kept    bool          // it comes on a connection that is kept, and not at all where there is none
}

// Step is the beginning or the end of a fault.
type Step struct {
	At       time.Duration
	Begin    bool
	Fault    int // position in the scenario
	Workers  []int
	Sidecars []int
}

// Plan is a day as drawn from its seed: everything that does not depend on what the sidecars do.
type Plan struct {
	*scenario.Scenario
	Seed     uint64
	Fleet    []Spec    // those of the start, then the replacements
	AtStart  int       // how many of Fleet run at the start
	Sidecar  []Sidecar //
	Arrivals []Arrival
	Steps    []Step
	Capacity float64 // seconds of work a second of the warm fleet of the start
}

// Draw makes a day of a scenario.
func Draw(s *scenario.Scenario, seed uint64) *Plan {
	p := &Plan{Scenario: s, Seed: seed, AtStart: s.Workers}
	rnd := source(seed, streamFleet)
	kinds := spread(s.Workers, weights(s.Kinds, func(k scenario.Kind) float64 { return k.Share }))
	rnd.Shuffle(len(kinds), func(i, j int) { kinds[i], kinds[j] = kinds[j], kinds[i] })
	shares := s.Shares
	if len(shares) == 0 {
		shares = slices.Repeat([]float64{1}, len(s.Halls))
	}
	halls := spread(s.Workers, shares)
	for i, kind := range kinds {
		p.Fleet = append(p.Fleet, p.spec(rnd, i, halls[i], kind))
		p.Capacity += p.Fleet[i].Speed * float64(s.Kinds[kind].Cores)
	}
	p.drawClients(rnd)
	p.drawSteps()
	p.drawKept()
	p.number()
	return p
}

func (p *Plan) spec(rnd *rand.Rand, n, hall, kind int) Spec {
	k := p.Kinds[kind]
	return Spec{Name: fmt.Sprintf("w%03d", n), Hall: hall, Cell: p.cell(hall), Kind: kind, Speed: k.Speed * lognormal(rnd, k.SpeedCV)}
}

// cellsOfHall is more than a hall ever has.
const cellsOfHall = 100_000

// cell is the cell of the next worker of a hall.
func (p *Plan) cell(hall int) int {
	n := 0
	for _, w := range p.Fleet {
		if w.Hall == hall {
			n++
		}
	}
	return hall*cellsOfHall + n/max(p.Cell, 1)
}

// Group is the group of workers, among all of a class's, that share with a worker which keys they have seen.
func (p *Plan) Group(class, worker int) int {
	switch p.Classes[class].Group {
	case "all":
		return 0
	case "cell":
		return p.Fleet[worker].Cell
	}
	return p.Fleet[worker].Hall
}

func weights[T any](list []T, of func(T) float64) (out []float64) {
	for _, x := range list {
		out = append(out, of(x))
	}
	return out
}

// spread gives n places to the weights, as near to their shares as whole numbers allow.
func spread(n int, weights []float64) (out []int) {
	sum := 0.0
	for _, w := range weights {
		sum += w
	}
	given := make([]float64, len(weights))
	for range n {
		best := 0
		for i, w := range weights {
			if (given[i]+0.5)/w < (given[best]+0.5)/weights[best] {
				best = i
			}
		}
		given[best]++
		out = append(out, best)
	}
	return out
}

// lognormal draws a factor of mean 1 and the given deviation.
func lognormal(rnd *rand.Rand, cv float64) float64 {
	if cv <= 0 {
		return 1
	}
	s2 := math.Log(1 + cv*cv)
	return math.Exp(rnd.NormFloat64()*math.Sqrt(s2) - s2/2)
}

// drawClients draws the sidecars' shares of the calls, and the calls.
func (p *Plan) drawClients(rnd *rand.Rand) {
	c := p.Clients
	work, shares := 0.0, 0.0
	for _, k := range p.Classes {
		work += k.Share * k.Work.Seconds()
		shares += k.Share
	}
	total := c.Rate
	if total == 0 {
		total = c.Load * p.Capacity / (work / shares)
	}
	sum := 0.0
	for i := range p.Sidecars {
		w := lognormal(rnd, c.Skew)
		if len(p.Traffic) > 0 {
			w *= p.Traffic[i%len(p.Halls)]
		}
		sum += w
		p.Sidecar = append(p.Sidecar, Sidecar{Name: fmt.Sprintf("n%d", i), Hall: i % len(p.Halls), Rate: w})
	}
	for i := range p.Sidecar {
		p.Sidecar[i].Rate *= total / sum
		p.arrivals(i)
	}
}

// number puts the calls in order.
func (p *Plan) number() {
	sort.SliceStable(p.Arrivals, func(i, j int) bool { return p.Arrivals[i].At < p.Arrivals[j].At })
	for i := range p.Arrivals {
		p.Arrivals[i].Index = i
	}
}

// heavyShape is the exponent of the heavy-tailed gaps: finite mean, infinite variance.
const heavyShape = 1.6

// arrivals draws the calls of one sidecar's client.
func (p *Plan) arrivals(sidecar int) {
	rnd := source(p.Seed, streamClients+uint64(sidecar))
	rate := p.Sidecar[sidecar].Rate
	period, phase := 5+10*rnd.Float64(), rnd.Float64()
	burstUntil, nextBurst := 0.0, rnd.ExpFloat64()*8
	for t, n := 0.0, 0; ; n++ {
		switch p.Clients.Shape {
		case "heavy":
			t += (heavyShape - 1) / heavyShape / rate * math.Pow(1-rnd.Float64(), -1/heavyShape)
		case "bursty": // a slow swing, and now and then a second or two at double rate; thinned from the highest rate
			for {
				most := rate * (1 + p.Clients.Swing) * (1 + p.Clients.Swing)
				t += rnd.ExpFloat64() / most
				if t > nextBurst {
					burstUntil, nextBurst = t+0.5+1.5*rnd.Float64(), t+2+rnd.ExpFloat64()*8
				}
				now := rate * (1 + p.Clients.Swing*math.Sin(2*math.Pi*(t/period+phase)))
				if t < burstUntil {
					now *= 1 + p.Clients.Swing
				}
				if rnd.Float64() < now/most {
					break
				}
			}
		default:
			t += rnd.ExpFloat64() / rate
		}
		if t >= p.Length.Seconds() {
			return
		}
		p.Arrivals = append(p.Arrivals, p.call(rnd, sidecar, n, time.Duration(t*1e9)))
	}
}

// call draws the nth call of one sidecar's client.
func (p *Plan) call(rnd *rand.Rand, sidecar, n int, at time.Duration) Arrival {
	a := Arrival{At: at, Sidecar: sidecar, Honours: rnd.Float64() < p.Clients.Honour}
	shares := weights(p.Classes, func(k scenario.Class) float64 { return k.Share })
	sum := 0.0
	for _, w := range shares {
		sum += w
	}
	x := rnd.Float64() * sum
	for a.Class < len(shares)-1 && x >= shares[a.Class] {
		x -= shares[a.Class]
		a.Class++
	}
	k := p.Classes[a.Class]
	a.Work = time.Duration(float64(k.Work) * lognormal(rnd, k.WorkCV))
	if k.Effect == "keyed" {
		a.Key = fmt.Sprintf("k%d-%d-%08x", sidecar, n, rnd.Uint32())
	}
	return a
}

// drawSteps chooses whom each fault meets and puts beginnings and ends in order. An end comes before a beginning
// of the same moment.
func (p *Plan) drawSteps() {
	rnd := source(p.Seed, streamFaults)
	for i, f := range p.Faults {
		begin := Step{At: f.At, Begin: true, Fault: i}
		hall := slices.Index(p.Halls, f.Hall)
		switch f.Kind {
		case "kill", "term", "term_series", "reload", "watch_silent", "list_late", "hold", "flood", "flood_new_names":
			chosen := f
			if f.Floods() { // its count is of connections
				chosen.Count = 0
			}
			begin.Sidecars = choose(rnd, &chosen, len(p.Sidecar), func(n int) bool { return hall < 0 || p.Sidecar[n].Hall == hall })
		case "hall_loss":
			begin.Workers = choose(rnd, &scenario.Fault{Part: 1}, p.AtStart, func(n int) bool { return p.Fleet[n].Hall == hall })
			if f.With {
				begin.Sidecars = choose(rnd, &scenario.Fault{Part: 1}, len(p.Sidecar), func(n int) bool { return p.Sidecar[n].Hall == hall })
			}
		case "shrink":
			part := scenario.Fault{Part: 1 - f.Size}
			if f.Size < 1 {
				begin.Workers = choose(rnd, &part, p.AtStart, func(n int) bool { return hall < 0 || p.Fleet[n].Hall == hall })
			}
		case "registry_lag", "registry_down", "rude", "stop_clients":
		default:
			begin.Workers = choose(rnd, &f, p.AtStart, func(n int) bool { return hall < 0 || p.Fleet[n].Hall == hall })
		}
		if f.Kind == "replace" {
			for _, old := range begin.Workers {
				next := p.spec(rnd, len(p.Fleet), p.Fleet[old].Hall, p.Fleet[old].Kind)
				next.Cell = p.Fleet[old].Cell // it takes over the address, and who sends there has not heard of it yet
				p.Fleet = append(p.Fleet, next)
			}
		}
		p.Steps = append(p.Steps, begin)
		if !f.Moment() {
			end := begin
			end.Begin, end.At = false, f.At+f.Length
			p.Steps = append(p.Steps, end)
		}
	}
	sort.SliceStable(p.Steps, func(i, j int) bool {
		a, b := p.Steps[i], p.Steps[j]
		return a.At < b.At || a.At == b.At && !a.Begin && b.Begin
	})
}

// Replacement is the position in Fleet of the worker that replaces the nth one which a fault of kind replace meets.
func (p *Plan) Replacement(fault, n int) int {
	at := p.AtStart
	for i := range p.Faults[:fault] {
		if p.Faults[i].Kind == "replace" {
			at += len(p.met(i))
		}
	}
	return at + n
}

func (p *Plan) met(fault int) []int {
	for _, s := range p.Steps {
		if s.Fault == fault {
			return s.Workers
		}
	}
	return nil
}

// choose draws whom a fault meets among those that fit: its count, or its part and at least one.
func choose(rnd *rand.Rand, f *scenario.Fault, n int, fits func(int) bool) []int {
	all := []int{}
	for i := range n {
		if fits(i) {
			all = append(all, i)
		}
	}
	count := f.Count
	if count == 0 {
		count = max(1, int(math.Round(f.Part*float64(len(all)))))
	}
	rnd.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	all = all[:min(count, len(all))]
	slices.Sort(all)
	return all
}

// AttemptWork is the work of one attempt at a call: a repeat costs about as much, never just as much.
func (p *Plan) AttemptWork(arrival, attempt int) time.Duration {
	rnd := source(p.Seed^uint64(arrival)<<20, uint64(attempt)+1<<40)
	return time.Duration(float64(p.Arrivals[arrival].Work) * lognormal(rnd, 0.2))
}

// Chance is a number in [0,1) that belongs to one thing of one call, the same however a run goes.
func (p *Plan) Chance(arrival, try, what int) float64 {
	return source(p.Seed^uint64(arrival)<<20, uint64(try)<<8+uint64(what)+1<<41).Float64()
}

// OneWay is the delay of one message between two halls, with its jitter from chance in [0,1).
func (p *Plan) OneWay(from, to int, chance float64) time.Duration {
	mean := p.Delay.Cross
	if from == to {
		mean = p.Delay.Same
	}
	return mean + time.Duration(float64(mean)*p.Delay.Jitter*-math.Log(1-chance))
}
