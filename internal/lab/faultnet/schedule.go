package faultnet

import (
	"math/rand/v2"
	"time"
)

// Kind is a sort of fault.
type Kind uint8

// The kinds of fault.
const (
	Accept    Kind = iota // accept fails, and takes no connection
	Dial                  // socket or connect fails
	Read                  // a read from a backend or discovery fails, and with it the connection
	Write                 // a write to them stops part of the way, and with it the connection
	ShortRead             // a read, also from a client, brings a few bytes of what is there
	kinds
)

// String is the kind's name in logs.
func (k Kind) String() string {
	return [kinds]string{"accept", "dial", "read", "write", "short_read"}[k]
}

// Kinds are all of them.
func Kinds() (all []Kind) {
	for k := range kinds {
		all = append(all, k)
	}
	return all
}

// Burst is a time in which calls of one kind fail.
type Burst struct {
	Kind     Kind
	From, To time.Duration // since the start of the process
	Share    float64       // of the calls that fail
}

// Bounds of what is drawn. A burst is shorter than the time in which a change of the list has to be heard of, and at rest
// between two bursts the process has to become whole again.
const (
	scheduled    = 10 * time.Minute
	leastRest    = 200 * time.Millisecond
	mostRest     = 1500 * time.Millisecond
	shortest     = 50 * time.Millisecond
	longest      = 800 * time.Millisecond
	leastFailing = 0.2
)

// Draw draws the bursts of a process's life: the same seed gives the same ones. One in four takes up every call of its kind.
func Draw(seed uint64) []Burst {
	random := rand.New(rand.NewPCG(seed, 0xfa17))
	between := func(least, most time.Duration) time.Duration {
		return least + time.Duration(random.Int64N(int64(most-least)))
	}
	var all []Burst
	for at := between(0, mostRest); at < scheduled; at += between(leastRest, mostRest) {
		b := Burst{Kind: Kind(random.IntN(int(kinds))), From: at, Share: leastFailing + (1-leastFailing)*random.Float64()}
		at += between(shortest, longest)
		b.To = at
		if random.IntN(4) == 0 {
			b.Share = 1
		}
		all = append(all, b)
	}
	return all
}

// at gives the share of calls of a kind that fail at a time.
func at(bursts []Burst, kind Kind, now time.Duration) float64 {
	for _, b := range bursts {
		if b.Kind == kind && b.From <= now && now < b.To {
			return b.Share
		}
	}
	return 0
}
