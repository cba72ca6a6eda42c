// Package lease divides limits that apply to a whole fleet among its processes, with leases that expire by themselves. A call is a client's
// request. The package is pure: it does no I/O, reads no clock and starts no goroutine; callers pass in all times. docs/limits.md describes
// the design.
//
// This file defines the messages between holders and the leader.
package lease

import (
	"fmt"
	"time"
)

// Length is the duration of a lease. All versions of the program must agree on it, as a new leader waits that long for leases of the old one
// to expire.
const Length = 3 * time.Second

// Drift is the divisor of the largest clock error: a monotonic clock may be off by 1/Drift of the time that it measures.
const Drift = 100

// MostTail is the longest time that a call which a limit of kind Calls counts may continue after its lease has expired.
const MostTail = 30 * time.Second

// Bounds of messages. MostName, maxAskBytes and MostAmount keep a request in JSON below 64 KiB.
const (
	MostHolders = 4096
	MostLimits  = 1024
	MostWants   = 400      // limits in one request
	MostID      = 512      // bytes of a limit's id
	MostName    = 128      // bytes of a holder's name
	maxAskBytes = 48 << 10 // size at which a holder stops adding limits to a request
	MostAmount  = 1 << 50
)

// The kinds of limits.
const (
	Rate  = "rate"  // in thousandths of a call per second
	Calls = "calls" // in calls in flight
)

// Modes of a Cut: what applies at a process without a lease.
const (
	Nothing = "nothing" // no call is admitted
	Reserve = "reserve" // its share of the amount that is never leased
	Open    = "open"    // no limit
)

// Limit is one limit that applies to the whole fleet.
type Limit struct {
	ID     string `json:"id"` // the key of its rule
	Kind   string `json:"kind"`
	Amount int64  `json:"amount"` // in the unit of its kind
	Cut    Cut    `json:"cut"`
}

// Cut sets what applies at a process that is cut off from the leader and has no lease.
type Cut struct {
	Mode  string `json:"mode"`            // "" means Nothing
	Share int64  `json:"share,omitempty"` // with Reserve: thousandths of the limit that are never leased
	Among int64  `json:"among,omitempty"` // with Reserve: number of processes that share them, at least 1
}

// Ask is a holder's lease request, sent about four times a second: what it holds and what it could use.
type Ask struct {
	Holder string `json:"holder"`          // name of the process, '/', and a random number chosen at its start
	Number uint64 `json:"number"`          // rises with each request of this holder; an older request that arrives late is refused
	Epoch  uint64 `json:"epoch,omitempty"` // from the last answer that this holder has received; 0 for none
	TailMs int64  `json:"tail_ms,omitempty"`
	Leaves bool   `json:"leaves,omitempty"` // it returns all leases and sends no further requests
	Wants  []Want `json:"wants,omitempty"`  // by limit
}

// Want is what a holder holds and could use of one limit.
type Want struct {
	ID     string `json:"id"`
	Holds  int64  `json:"holds,omitempty"` // the most of its lease that it uses now or will use before the answer
	Under  int64  `json:"under,omitempty"` // calls in flight, for limits of kind Calls; may exceed what it still holds
	Demand int64  `json:"demand"`          // the amount that it could use
}

// Check returns an error that names the first invalid field of the request.
func (a *Ask) Check() error {
	switch {
	case a.Holder == "" || len(a.Holder) > MostName:
		return fmt.Errorf("holder: 1 to %d bytes are expected", MostName)
	case a.Number == 0:
		return fmt.Errorf("number: at least 1 is expected")
	case a.TailMs < 0 || a.TailMs > MostTail.Milliseconds():
		return fmt.Errorf("tail_ms: 0 to %d is expected", MostTail.Milliseconds())
	case len(a.Wants) > MostWants:
		return fmt.Errorf("wants: %d, and at most %d are expected", len(a.Wants), MostWants)
	}
	seen := make(map[string]bool, len(a.Wants))
	for i, w := range a.Wants {
		switch {
		case w.ID == "" || len(w.ID) > MostID:
			return fmt.Errorf("wants[%d].id: 1 to %d bytes are expected", i, MostID)
		case seen[w.ID]:
			return fmt.Errorf("wants[%d].id: %.80q is there twice", i, w.ID)
		}
		seen[w.ID] = true
		for _, n := range []struct {
			name  string
			value int64
		}{{"holds", w.Holds}, {"under", w.Under}, {"demand", w.Demand}} {
			if n.value < 0 || n.value > MostAmount {
				return fmt.Errorf("wants[%d].%s: 0 to %d is expected", i, n.name, int64(MostAmount))
			}
		}
	}
	return nil
}

// Answer lists what is granted, each for Length from the sending of the request.
type Answer struct {
	Epoch  uint64  `json:"epoch"`
	Number uint64  `json:"number"` // of the request
	Given  []Given `json:"given,omitempty"`
}

// Reserved returns the amount of the limit that is never leased, in the unit of its kind.
func (l *Limit) Reserved() int64 {
	if l.Cut.Mode != Reserve {
		return 0
	}
	return l.Amount/1000*l.Cut.Share + l.Amount%1000*l.Cut.Share/1000
}

// Part returns each cut-off process's share of the reserve, in the unit of the limit's kind.
func (l *Limit) Part() int64 {
	n := l.Reserved() / max(1, l.Cut.Among)
	if l.Kind == Rate {
		n = n / 100 * ratePercent
	}
	return n
}

// ratePercent is the percentage of a rate that is leased: the rest covers the one call by which each token bucket may be ahead.
const ratePercent = 97

// Leased returns the maximum sum of all leases of the limit.
func (l *Limit) Leased() int64 {
	n := max(0, l.Amount-l.Reserved())
	if l.Kind == Rate {
		n = n/100*ratePercent + n%100*ratePercent/100
	}
	return n
}

// quantum returns the smallest amount that a process can make use of: one call per second, or one call in flight.
func (l *Limit) quantum() int64 {
	if l.Kind == Rate {
		return 1000
	}
	return 1
}

// Given is the amount granted of one limit.
type Given struct {
	ID     string `json:"id"`
	Amount int64  `json:"amount"`
	Short  bool   `json:"short,omitempty"` // more will be granted once others have returned it: ask again soon
}
