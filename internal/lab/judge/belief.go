package judge

import (
	"math"
	"slices"
	"time"
)

// Belief sets truth beside what sidecars believe, as their sends show it, in worker-seconds summed over sidecars.
type Belief struct {
	LeftOut float64    `json:"left_out"` // a worker that could serve was left out
	Missed  float64    `json:"missed"`   // a worker that could not serve was used
	Notice  []Noticed  `json:"notice"`   // each failure, and how long sidecars went on sending into it
	Unknown float64    `json:"unknown"`  // too few sends to tell
	Judged  float64    `json:"judged"`   // worker-seconds of which something can be told
	Workers [][]Moment `json:"workers"`  // by worker, by second
}

// Moment is one worker's second.
type Moment struct {
	Able    float64 `json:"able"` // share of the second in which it could serve
	Sends   int     `json:"sends"`
	Open    int     `json:"open"`     // attempts out at its end
	LeftOut int     `json:"left_out"` // sidecars that left it out though it could serve
	Used    int     `json:"used"`     // sidecars that sent to it though it could not
}

// Noticed is one failure of one worker.
type Noticed struct {
	Worker int     `json:"worker"`
	From   float64 `json:"from"`
	To     float64 `json:"to"`
	Last   float64 `json:"last_send"` // seconds after its begin, of the last call sent into it; 0: none
	Sends  int     `json:"sends"`
}

// belief collects truth and sends.
type belief struct {
	fleet Fleet
	truth [][]turn // by worker
	sends []send

	shut []send // closed attempts, for the number open

}

type turn struct {
	at time.Duration
	on bool
}

type send struct {
	at              time.Duration
	sidecar, worker int
}

func newBelief(f Fleet) *belief {
	return &belief{fleet: f, truth: make([][]turn, len(f.Worker))}
}

func (b *belief) able(worker int, at time.Duration, on bool) {
	b.truth[worker] = append(b.truth[worker], turn{at, on})
}
func (b *belief) sent(a *attempt) { b.sends = append(b.sends, send{a.at, a.sidecar, a.worker}) }
func (b *belief) closed(a *attempt, at time.Duration) {
	b.shut = append(b.shut, send{at, a.sidecar, a.worker})
}

// chance below which a worker without a send counts as left out: it would have had one at random.
const chance = 0.05

// report compares in cells of one second. In a cell a sidecar used a worker to which it sent; it left out one of its
// own hall's to which it sent nothing, where a fair draw among those of that hall would have met it with a chance of
// 95 in 100. A failure counts from half a second on: nobody can know before.
func (b *belief) report(end time.Duration) Belief {
	n := int(math.Ceil(min(end, b.fleet.Scenario.Length).Seconds()))
	workers, sidecars := len(b.fleet.Worker), len(b.fleet.Sidecar)
	out := Belief{Workers: make([][]Moment, workers)}
	counts := make([][][]int, n) // second, sidecar, worker
	for i := range counts {
		counts[i] = make([][]int, sidecars)
		for s := range counts[i] {
			counts[i][s] = make([]int, workers)
		}
	}
	for _, s := range b.sends {
		if i := int(s.at / time.Second); i < n {
			counts[i][s.sidecar][s.worker]++
		}
	}
	for w := range out.Workers {
		out.Workers[w] = make([]Moment, n)
		for i := range n {
			out.Workers[w][i].Able = b.share(w, time.Duration(i)*time.Second)
		}
	}
	b.opens(out.Workers, n)
	for i := range n {
		for s := range sidecars {
			own, used, total := 0, 0, 0
			for w, hall := range b.fleet.Worker {
				if hall == b.fleet.Sidecar[s] && out.Workers[w][i].Able == 1 {
					own++
					total += counts[i][s][w]
					if counts[i][s][w] > 0 {
						used++
					}
				}
			}
			for w, hall := range b.fleet.Worker {
				m, sent := &out.Workers[w][i], counts[i][s][w]
				m.Sends += sent
				switch {
				case m.Able == 0 && sent > 0:
					out.Missed++
					out.Judged++
					m.Used++
				case m.Able == 1 && sent == 0 && hall == b.fleet.Sidecar[s] && used > 0 &&
					math.Pow(1-1/float64(own), float64(total)) < chance:
					out.LeftOut++
					out.Judged++
					m.LeftOut++
				case m.Able == 1 && sent > 0:
					out.Judged++
				case m.Able == 1 && hall == b.fleet.Sidecar[s]:
					out.Unknown++
				}
			}
		}
	}
	out.Notice = b.notices(end)
	return out
}

// share of a second in which a worker could serve.
func (b *belief) share(worker int, from time.Duration) float64 {
	on, at, sum := false, from, time.Duration(0)
	for _, t := range b.truth[worker] {
		if t.at <= from {
			on = t.on
			continue
		}
		if t.at >= from+time.Second {
			break
		}
		if on {
			sum += t.at - at
		}
		on, at = t.on, t.at
	}
	if on {
		sum += from + time.Second - at
	}
	return sum.Seconds()
}

// opens counts what is out at the end of each second.
func (b *belief) opens(workers [][]Moment, n int) {
	delta := make([][]int, len(workers))
	for w := range delta {
		delta[w] = make([]int, n+1)
	}
	for _, s := range b.sends {
		delta[s.worker][min(int(s.at/time.Second), n)]++
	}
	for _, s := range b.shut {
		delta[s.worker][min(int(s.at/time.Second), n)]--
	}
	for w := range workers {
		open := 0
		for i := range n {
			open += delta[w][i]
			workers[w][i].Open = open
		}
	}
}

// notices lists the failures of workers that had been able, and how long calls went on being sent into them.
func (b *belief) notices(end time.Duration) (out []Noticed) {
	sends := make([][]time.Duration, len(b.truth))
	for _, s := range b.sends {
		sends[s.worker] = append(sends[s.worker], s.at)
	}
	for w, turns := range b.truth {
		for i, t := range turns {
			if t.on || i == 0 || !turns[i-1].on {
				continue
			}
			x := Noticed{Worker: w, From: t.at.Seconds(), To: end.Seconds()}
			if i+1 < len(turns) {
				x.To = turns[i+1].at.Seconds()
			}
			for _, at := range sends[w] {
				if at > t.at && at.Seconds() < x.To {
					x.Sends++
					x.Last = max(x.Last, (at - t.at).Seconds())
				}
			}
			out = append(out, x)
		}
	}
	slices.SortFunc(out, func(a, b Noticed) int {
		if a.From != b.From {
			return int(math.Copysign(1, a.From-b.From))
		}
		return a.Worker - b.Worker
	})
	return out
}
