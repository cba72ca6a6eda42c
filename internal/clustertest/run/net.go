package run

import (
	"fmt"
	"slices"
	"sync"

	"burlpass/internal/clustertest/faults"
	"burlpass/internal/clustertest/relay"
)

// pair is two members in order: who dials, and who is dialled.
type pair struct{ from, to string }

// network is a relay between each ordered pair of members, with the faults that are on them.
type network struct {
	names  []string
	relays map[pair]Wire

	mu     sync.Mutex
	active map[pair][]*faults.Fault // on what the first sends to the second
}

// newNetwork starts the relays, or has the world's wires; listen gives the address of each member.
func newNetwork(names []string, listen map[string]string, seed uint64, world World) (*network, error) {
	n := &network{names: names, relays: map[pair]Wire{}, active: map[pair][]*faults.Fault{}}
	for i, from := range names {
		for k, to := range names {
			if from == to {
				continue
			}
			if world != nil {
				n.relays[pair{from, to}] = world.Wire(from, to)
				continue
			}
			r, err := relay.New(listen[to], seed<<16+uint64(i)<<8+uint64(k))
			if err != nil {
				n.close()
				return nil, err
			}
			n.relays[pair{from, to}] = r
		}
	}
	return n, nil
}

// addr is where one member reaches another.
func (n *network) addr(from, to string) string { return n.relays[pair{from, to}].Addr() }

func (n *network) close() {
	var all sync.WaitGroup
	for _, r := range n.relays {
		all.Go(r.Close)
	}
	all.Wait()
}

// ways lists the directions that a fault is on.
func (n *network) ways(f *faults.Fault) []pair {
	others := f.Others
	if len(others) == 0 {
		others = n.names
	}
	var list []pair
	for _, from := range append([]string{f.Target}, f.Side...) {
		for _, to := range others {
			if from == to {
				continue
			}
			list = append(list, pair{from, to})
			switch f.Kind {
			case faults.Cut, faults.Split, faults.Slow:
				list = append(list, pair{to, from})
			}
		}
	}
	return list
}

// put begins a fault, and what it returns ends it.
func (n *network) put(f faults.Fault) (end func()) {
	ways := n.ways(&f)
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, w := range ways {
		n.active[w] = append(n.active[w], &f)
		n.set(w)
	}
	return func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		for _, w := range ways {
			if at := slices.Index(n.active[w], &f); at >= 0 {
				n.active[w] = slices.Delete(n.active[w], at, at+1)
			}
			n.set(w)
		}
	}
}

// heal ends all faults and resets all connections, as a network that comes back would in the end.
func (n *network) heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.active)
	for w, r := range n.relays {
		n.set(w)
		r.Sever()
	}
}

// set puts together what is on one direction. It is called under the lock.
func (n *network) set(w pair) {
	var sum relay.Fault
	greeting := relay.Welcome
	for _, f := range n.active[w] {
		switch f.Kind {
		case faults.Cut, faults.OneWay, faults.Split:
			sum.Cut = true
			if f.Size == faults.Refusing {
				greeting = relay.Refuse
			}
		case faults.Slow:
			sum.Delay, sum.Jitter = sum.Delay+f.Delay, sum.Jitter+f.Delay/2
		case faults.Trickle:
			if sum.Rate == 0 || int(f.Size) < sum.Rate {
				sum.Rate = int(f.Size)
			}
		case faults.Reset:
			sum.ResetAfter = f.Size
		case faults.Spoil:
			sum.SpoilEvery = f.Size
		case faults.Refuse:
			greeting = relay.Refuse
		case faults.Silent:
			if greeting == relay.Welcome {
				greeting = relay.Silent
			}
		default:
			panic(fmt.Sprintf("%s is no fault of a network", f.Kind))
		}
	}
	n.relays[w].Set(relay.Up, sum)
	n.relays[w].Greet(greeting)
	n.relays[pair{w.to, w.from}].Set(relay.Down, sum)
}
