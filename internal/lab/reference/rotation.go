package reference

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"burlpass/decide"
)

// watchPause is how long the watch rests after a failure, as in watch.
const watchPause = 500 * time.Millisecond

// Rotation is round robin on the events of the decision module, for a fleet on virtual time: each call goes once to the
// next worker that stands on the list as up, whatever its hall, warmth or load. It tries nothing again, as the
// round-robin on sockets, passes on a worker's word that it is full, and knows nothing of what workers really hold.
type Rotation struct {
	up    []decide.Server // by id
	next  int
	asks  bool
	calls map[uint64]bool // open ones
}

// NewRotation returns a Rotation for one sidecar. seed says where it begins, so that sidecars are not in step.
func NewRotation(c decide.Config, seed uint64) *Rotation {
	return &Rotation{next: rand.New(rand.NewPCG(seed, 1)).IntN(1 << 20), asks: c.Subscribe, calls: map[uint64]bool{}}
}

// Handle takes an event and returns what to do about it, as decide.Balancer's does.
func (p *Rotation) Handle(_ time.Duration, e decide.Event) []decide.Action {
	switch e.Kind {
	case decide.Members:
		return p.members(&e)
	case decide.Timer:
		return []decide.Action{{Kind: decide.Watch, On: true}}
	case decide.Request:
		if len(p.up) == 0 {
			return []decide.Action{{Kind: decide.Refuse, ID: e.ID}}
		}
		p.calls[e.ID] = true
		p.next++
		return []decide.Action{{Kind: decide.Send, ID: e.ID, Server: p.up[p.next%len(p.up)].ID}}
	case decide.ClientLeft:
		if p.calls[e.ID] {
			delete(p.calls, e.ID)
			return []decide.Action{{Kind: decide.Cancel, ID: e.ID}}
		}
	case decide.Outcome:
		open := p.calls[e.ID]
		delete(p.calls, e.ID)
		switch {
		case !open || e.Done:
		case e.Status == decide.Full:
			return []decide.Action{{Kind: decide.Refuse, ID: e.ID}}
		default:
			return []decide.Action{{Kind: decide.Fail, ID: e.ID}}
		}
	}
	return nil
}

func (p *Rotation) members(e *decide.Event) []decide.Action {
	if e.List == decide.ListFailed {
		return []decide.Action{{Kind: decide.SetTimer, Wait: watchPause}}
	}
	if e.List != decide.ListDelta {
		p.up = nil
	}
	for _, s := range e.Servers {
		i, ok := slices.BinarySearchFunc(p.up, s.ID, func(x decide.Server, id decide.ServerID) int { return cmp.Compare(x.ID, id) })
		switch {
		case ok && s.State == decide.Ready:
			p.up[i] = s
		case ok:
			p.up = slices.Delete(p.up, i, i+1)
		case s.State == decide.Ready:
			p.up = slices.Insert(p.up, i, s)
		}
	}
	if e.List == decide.ListCached && p.asks {
		return []decide.Action{{Kind: decide.Watch, On: true}}
	}
	return nil
}
