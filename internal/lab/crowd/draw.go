package crowd

import (
	"math/rand/v2"
	"time"
)

// The range of drawn plays.
const (
	minClients = 100
	maxClients = 600
	drawnPlay  = 20 * time.Second
	eventsFrom = 3 * time.Second
	eventsTo   = 12 * time.Second
	maxEvents  = 3
	floodPlay  = 11 * time.Second
)

// Draw draws a play from a seed: the kinds and the size of the crowd, the limits, and what happens to the sidecar.
func Draw(seed uint64) Options {
	random := rand.New(rand.NewPCG(seed, 0xc0d))
	o := Options{Length: drawnPlay, Clients: minClients + random.IntN(maxClients-minClients), Limits: StandardLimits}
	if random.IntN(4) == 0 {
		o.Limits.MemoryMB = LeastMemoryMB
	}
	for _, i := range random.Perm(len(Kinds))[:1+random.IntN(len(Kinds))] {
		o.Kinds = append(o.Kinds, Kinds[i])
	}
	at := eventsFrom
	for range random.IntN(maxEvents + 1) {
		at += time.Duration(random.Int64N(int64(eventsTo-eventsFrom))) / maxEvents
		o.Events = append(o.Events, Event{at, actions[random.IntN(len(actions))]})
	}
	if random.IntN(2) == 0 {
		o.drawFloods(random)
	}
	return o
}

// drawFloods adds floods to a play, in half of the cases in place of all else.
func (o *Options) drawFloods(random *rand.Rand) {
	for range 1 + random.IntN(2) {
		o.Floods = append(o.Floods, Flood{FloodKinds[random.IntN(len(FloodKinds))], FloodModes[random.IntN(len(FloodModes))],
			[]int{1, 8, 100}[random.IntN(3)]})
	}
	if random.IntN(2) == 0 {
		return
	}
	o.Kinds, o.Events, o.Load, o.Length = nil, nil, FloodLoad, floodPlay
	o.Limits.Cores = []float64{0.28, 0.5, 1}[random.IntN(3)]
	if random.IntN(3) == 0 {
		o.Limits.Cores, o.Limits.Granted = 1, 0.28
	}
	o.Limits.MemoryMB = []int{48, 192}[random.IntN(2)]
}
