// Package soak plays days of random, overlapping faults against a few dozen real sidecars, one after another, each drawn
// from a seed. What a day broke is told by the laboratory's judge, which goes by the sockets, and by the invariants that
// the sidecars check themselves.
package soak

import (
	"fmt"
	"math/rand/v2"
	"time"

	"burlpass/internal/lab/scenario"
)

// The size of a drawn day.
const (
	dayLength  = 30 * time.Second
	faultsFrom = 2 * time.Second  // the first fault's earliest beginning
	faultsTo   = 25 * time.Second // the last one's latest
	leastFault = 5                // faults of a day
	mostFault  = 9
	keptCalls  = 10 // calls a second on kept connections from SIGTERM up to SIGKILL
)

// base is what every day has. Answers may be late by what a process is held up; fleets are small enough for one machine.
const base = `name = "soak"
about = "A day of faults drawn from a seed."
length = "30s"
workers = 12
sidecars = 24
halls = ["hall-a", "hall-b", "hall-c"]
[clients]
rate = 120
[connection]
idle_close = "2s"
[registry]
notice = "300ms"
silent_notice = "2s"
capacity = 200
[limits]
sockets = 256
[rules]
answer_slack = "500ms"
fall_chance = "2s"
[[kind]]
name = "new"
cores = 4
cold_time = "6s"
[[kind]]
name = "old"
cores = 4
speed = 0.7
cold_time = "8s"
[[class]]
name = "availability"
share = 0.5
work = "40ms"
aim = "900ms"
effect = "safe"
[[class]]
name = "booking"
share = 0.3
work = "40ms"
worth = 5
effect = "unsafe"
[[class]]
name = "paid-extra"
share = 0.2
work = "50ms"
worth = 10
deadline = "2500ms"
effect = "keyed"
`

// Kinds are the kinds of fault that a day is drawn from. Those that stand twice come twice as often.
var Kinds = []string{"stop_clients", "stop_clients", "hold", "hold", "hang", "silence", "cut", "reset", "hall_loss", "shrink",
	"registry_lag", "registry_down", "slow", "spoil", "overlong", "rude", "replace", "kill", "term", "term", "reload", "reload",
	"watch_silent", "flood", "flood_new_names", "term_series", "term_series"}

// Draw draws a day: the same seed gives the same faults. A third of the days is quiet up to their middle.
func Draw(seed uint64) *scenario.Scenario {
	random := rand.New(rand.NewPCG(seed, 0x50a4))
	s, err := scenario.Parse("soak", []byte(base))
	if err != nil {
		panic(err) // base is part of the program
	}
	s.Name = fmt.Sprintf("soak-%d", seed)
	s.Clients.Shape = []string{"steady", "bursty", "heavy"}[random.IntN(3)]
	s.Clients.Leave = []float64{0, 0.02, 0.1}[random.IntN(3)]
	s.Registry.Pushed = random.IntN(4) == 0
	if random.IntN(3) == 0 {
		s.Registry.Clock = []time.Duration{-time.Hour, -5 * time.Second, 5 * time.Second, time.Hour}[random.IntN(4)]
	}
	s.Classes[2].Group = []string{"all", "zone", "cell"}[random.IntN(3)]
	s.Classes[2].Window = time.Duration(1+random.IntN(12)) * time.Second
	from := faultsFrom
	if random.IntN(3) == 0 {
		from = dayLength / 2
	}
	for range leastFault + random.IntN(mostFault-leastFault+1) {
		s.Faults = append(s.Faults, drawFault(random, s, from))
	}
	return s
}

func drawFault(random *rand.Rand, s *scenario.Scenario, from time.Duration) scenario.Fault {
	between := func(least, most time.Duration) time.Duration {
		return least + time.Duration(random.Int64N(int64(most-least)))
	}
	f := scenario.Fault{Kind: Kinds[random.IntN(len(Kinds))], At: between(from, faultsTo)}
	if !f.Moment() {
		f.Length = between(time.Second, 8*time.Second)
	}
	switch f.Kind {
	case "stop_clients":
		f.Count = []int{1, 4, 40}[random.IntN(3)]
	case "hold":
		f.Part, f.Extra = 0.2+0.6*random.Float64(), between(20*time.Millisecond, 150*time.Millisecond)
	case "rude":
		f.Count = 1 + random.IntN(10)
	case "hall_loss":
		f.Hall, f.Silent, f.With = s.Halls[random.IntN(len(s.Halls))], random.IntN(2) == 0, random.IntN(3) == 0
	case "shrink":
		f.Size, f.Extra = 0.5+0.4*random.Float64(), between(200*time.Millisecond, 2*time.Second)
	case "registry_lag":
		f.Extra = between(200*time.Millisecond, 4*time.Second)
	case "slow":
		f.Size, f.Part = 0.1+0.6*random.Float64(), 0.4*random.Float64()
	case "cut", "reset", "spoil", "overlong":
		f.Size, f.Part = 0.02+0.3*random.Float64(), 0.5*random.Float64()
	case "replace":
		f.Count, f.Extra = 1+random.IntN(2), between(10*time.Millisecond, 1500*time.Millisecond)
	case "flood", "flood_new_names":
		f.Count, f.Part = []int{1, 8, 40}[random.IntN(3)], 0.1*random.Float64()
	case "kill", "term", "term_series":
		f.Count, f.Extra = 1+random.IntN(s.Sidecars/2), between(10*time.Millisecond, 800*time.Millisecond)
		if f.Terminates() {
			f.Size = keptCalls
		}
	case "reload", "watch_silent":
		f.Part = 0.3 + 0.7*random.Float64()
	case "hang", "silence":
		f.Part = 0.3 * random.Float64()
	}
	return f
}

// FailingCalls tells whether system calls of the sidecars fail in bursts on a seed's day: on one day in three.
func FailingCalls(seed uint64) bool { return seed%3 == 0 }
