package decide

import (
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
	"time"
)

// playRandomEvents plays random valid events: requests of all classes, failing servers, list changes and clients that give
// up. Afterwards it runs until all requests have ended.
func (k *checker) playRandomEvents(list []Server, length time.Duration) {
	bad := map[ServerID]int{}
	k.outcome = func(s Server) (time.Duration, Status) {
		switch x := k.rng.Float64(); {
		case bad[s.ID] == 1:
			return time.Hour, TimedOut
		case bad[s.ID] == 2:
			return 100 * ms, ConnectFailed
		case x < 0.02:
			return 30 * ms, Errored
		case x < 0.05:
			return 2 * ms, Full
		case x < 0.07:
			return 90 * ms, Reset
		}
		return time.Duration(20+k.rng.ExpFloat64()*100) * ms, OK
	}
	k.event(Event{Kind: Members, List: ListCached, Servers: list})
	id, end := uint64(0), k.now+length
	for k.now < end {
		k.step()
		for k.rng.Float64() < 0.15 {
			id++
			class := k.rng.IntN(len(k.c.Classes))
			k.sendRequest(id, class, time.Duration(1+k.rng.IntN(int(k.c.Classes[class].Deadline/ms)))*ms)
		}
		if k.rng.Float64() < 0.01 {
			bad[list[k.rng.IntN(len(list))].ID] = k.rng.IntN(3)
		}
		k.playRandomChange(list, id)
	}
	for range 400 + int(4*time.Second/k.c.Tick) { // longer than any random deadline
		k.step()
	}
}

// playRandomChange plays at most one event other than a request; id is the last request.
func (k *checker) playRandomChange(list []Server, id uint64) {
	switch x := k.rng.Float64(); {
	case x < 0.01: // one server drains, leaves or restarts
		s := &list[k.rng.IntN(len(list))]
		s.State = State(k.rng.IntN(3))
		if s.State == Ready && k.rng.IntN(2) == 0 {
			s.Started = k.now
		}
		k.event(Event{Kind: Members, List: ListDelta, Servers: []Server{*s}})
	case x < 0.012: // a full list, sometimes empty
		var ready []Server
		for _, s := range list {
			if s.State != Gone && k.rng.IntN(12) > 0 {
				ready = append(ready, s)
			}
		}
		if k.rng.IntN(4) == 0 {
			ready = nil
		}
		k.event(Event{Kind: Members, List: ListFull, Servers: ready})
	case x < 0.013:
		k.event(Event{Kind: Members, List: ListFailed})
	case x < 0.014 && id > 0: // a client gives up
		if r := k.requests[id]; r != nil && !r.done {
			r.done = true
			k.event(Event{Kind: ClientLeft, ID: id})
		}
	}
}

// randomDuration returns a random duration from a range.
func randomDuration(rng *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(rng.Int64N(int64(most-least)+1))
}

// randomConfig returns a random deployment with every effect and group, on classes in random order.
func randomConfig(rng *rand.Rand) Config {
	c := testConfig()
	for i := range c.Classes {
		k := &c.Classes[i]
		k.Deadline = randomDuration(rng, 300*ms, 4*time.Second)
		k.Aim = randomDuration(rng, k.Deadline/8, k.Deadline)
		k.Window = randomDuration(rng, 50*ms, 5*time.Second)
		k.Worth = float64(1+rng.IntN(40)) / 4
		k.LateWorth = float64(rng.IntN(3)) / 4
	}
	rng.Shuffle(len(c.Classes), func(i, j int) { c.Classes[i], c.Classes[j] = c.Classes[j], c.Classes[i] })
	c.Classes = append(c.Classes, c.Classes[rng.IntN(len(c.Classes))])
	c.Limits.MaxAttempts = 1 + rng.IntN(5)
	c.Limits.SecondCopies, c.Limits.Cancel, c.Limits.Probe = rng.IntN(2) == 0, rng.IntN(3) > 0, rng.IntN(3) > 0
	c.ConnectTime = randomDuration(rng, 0, 400*ms)
	c.IdleClose = randomDuration(rng, time.Second, 30*time.Second)
	c.Subscribe = rng.IntN(2) == 0
	c.Zone = rng.IntN(3) // zone 2 holds no server
	c.Prices.CrossZone = float64(rng.IntN(4)) / 8
	c.Safety.FallMultiple = 2 + rng.Float64()*2
	c.Safety.StartShare = 0.1 + rng.Float64()*0.4
	c.Safety.WarmAfter = randomDuration(rng, 2*time.Second, 20*time.Second)
	return c
}

// TestRulesHoldUnderRandomConfig is TestRulesHold with random deployments.
func TestRulesHoldUnderRandomConfig(t *testing.T) {
	for seed := uint64(1); seed <= 40; seed++ {
		k := newChecker(t, randomConfig(rand.New(rand.NewPCG(seed, 2))), seed)
		k.playRandomEvents(testServers(18), 6*time.Second)
		if len(k.requests) > 0 || len(k.b.requests) > 0 {
			t.Errorf("seed %d: %d requests open, %d kept by the Balancer", seed, len(k.requests), len(k.b.requests))
		}
		if t.Failed() {
			t.Fatalf("seed %d: %+v", seed, k.c)
		}
	}
}

// permutation maps each index of a list to its index in another order.
type permutation []int

func randomPermutation(rng *rand.Rand, n int) permutation { return rng.Perm(n) }

// renumbering changes the order of classes, zones, cells and kinds of a deployment without changing its meaning.
type renumbering struct{ classes, zones, cells, kinds permutation }

func (n renumbering) config(c Config) Config {
	classes := make([]Class, len(c.Classes))
	for i, k := range c.Classes {
		classes[n.classes[i]] = k
	}
	c.Classes, c.Zone = classes, n.zones[c.Zone]
	return c
}

func (n renumbering) event(e Event) Event {
	e.Class = n.classes[e.Class]
	e.Servers = slices.Clone(e.Servers)
	for i := range e.Servers {
		s := &e.Servers[i]
		s.Zone, s.Cell, s.Kind = n.zones[s.Zone], n.cells[s.Cell], n.kinds[s.Kind]
	}
	return e
}

// Two Balancers with the same seed and the same events, where the second one's configuration lists the classes, zones,
// cells and kinds in another order, must return the same actions. The Balancer knows names only by their index, so this
// covers other names too.
func TestDecisionsIgnoreConfigOrder(t *testing.T) {
	const zones, cells, kinds = 3, 20, 4
	for seed := uint64(1); seed <= 25; seed++ {
		rng := rand.New(rand.NewPCG(seed, 3))
		c := randomConfig(rng)
		n := renumbering{randomPermutation(rng, len(c.Classes)), randomPermutation(rng, zones), randomPermutation(rng, cells), randomPermutation(rng, kinds)}
		list := testServers(18)
		for i := range list {
			list[i].Kind = rng.IntN(kinds)
		}
		k := newChecker(t, c, seed)
		other := New(n.config(c), seed)
		k.observe = func(e Event, actions []Action) {
			if got := other.Handle(k.now, n.event(e)); len(got)+len(actions) > 0 && !reflect.DeepEqual(actions, got) {
				t.Fatalf("seed %d, %v, %+v: with renumbering %+v\n%+v\nwithout\n%+v", seed, k.now, e, n, got, actions)
			}
		}
		k.playRandomEvents(list, 6*time.Second)
		if k.sends < 30 {
			t.Errorf("seed %d: only %d attempts", seed, k.sends)
		}
	}
}
