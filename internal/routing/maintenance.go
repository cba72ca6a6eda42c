package routing

import (
	"errors"
	"fmt"

	"burlpass/decide"
	"burlpass/internal/maintenance"
	"burlpass/internal/transport"
)

// maxSeen bounds the ids of workers remembered as once listed: a sidecar beside a registry that replaces its workers
// for months must not grow for it. Beyond it, only those listed now, or taken out, are known.
const maxSeen = 1 << 16

// ErrNeverListed is the reason to refuse the id of a worker that no list has named since the start.
var ErrNeverListed = errors.New("no such worker has been listed")

// Disable takes a worker out of use for this sidecar: from now on the module is told that it drains, whatever the
// registry says, until Enable. It returns ErrNeverListed, and changes nothing, for an id never listed. Taking out
// one that is out already is no change.
func (r *Router) Disable(id string) error {
	return r.maintain(id, func(s *maintenance.Set) bool { return s.Disable(id) })
}

// Enable puts a worker back into use; the registry's word on it counts again. An id that is out, or was ever listed,
// is accepted, also where the registry has dropped it meanwhile.
func (r *Router) Enable(id string) error {
	return r.maintain(id, func(s *maintenance.Set) bool { return s.Enable(id) })
}

func (r *Router) maintain(id string, change func(*maintenance.Set) bool) error {
	r.mu.Lock()
	if !r.seen[id] && !r.Out.Out(id) {
		r.mu.Unlock()
		return fmt.Errorf("%w: %.64q", ErrNeverListed, id)
	}
	if !change(&r.Out) {
		r.mu.Unlock()
		return nil
	}
	var rest []decide.Action
	var stale []transport.Peer
	if n, ok := r.ids[id]; ok {
		if w := r.workers[n]; w != nil {
			w.state = r.Out.State(id, w.listed.State)
			told := w.listed
			told.State = w.state
			if w.state != decide.Ready {
				stale = append(stale, w.peer)
			}
			r.recount()
			rest = r.handle(decide.Event{Kind: decide.Members, List: decide.ListDelta, Servers: []decide.Server{told},
				Version: r.generation})
		}
	}
	r.mu.Unlock()
	for _, peer := range stale {
		r.Workers.CloseIdle(peer)
	}
	r.carryOut(rest)
	return nil
}

// recount counts the workers that may be chosen. It is called under the lock.
func (r *Router) recount() {
	r.up = 0
	for _, w := range r.workers {
		if w.state == decide.Ready {
			r.up++
		}
	}
}

// Maintenance returns a copy of the workers taken out by hand.
func (r *Router) Maintenance() maintenance.Set {
	r.mu.Lock()
	defer r.mu.Unlock()
	var s maintenance.Set
	for _, id := range r.Out.IDs() {
		s.Disable(id)
	}
	return s
}

// Hosts gives the number of workers listed, and of those the number that this sidecar avoids now: taken out by
// hand, or draining.
func (r *Router) Hosts() (listed, down int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, w := range r.workers {
		listed++
		if w.state != decide.Ready {
			down++
		}
	}
	return listed, down
}
