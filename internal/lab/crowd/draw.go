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
	return o
}
