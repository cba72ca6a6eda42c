package routing

import (
	"errors"
	"fmt"
	"maps"
	"slices"

	"burlpass/decide"
	"burlpass/internal/maintenance"
	"burlpass/internal/transport"
)

// maxSeen bounds the ids of workers remembered as once listed: a sidecar beside a registry that replaces its workers
// for months must not grow for it. Beyond it, only those listed now, or taken out, are known.
const maxSeenWorkers = 1 << 16

// ErrNeverListed is the reason to refuse the id of a worker that no list has named since the start.
var ErrNeverListed = errors.New("no such worker has been listed")

// ErrNoHall is the reason to refuse the name of a hall that the settings do not have.
var ErrNoHall = errors.New("no such hall")

// Disable takes a worker out of use for this sidecar: from now on the module is told that it drains, whatever the
// registry says, until Enable. It returns ErrNeverListed, and changes nothing, for an id never listed. Taking out
// one that is out already is no change.
func (r *Router) Disable(id string) error {
	return r.updateMaintenance(r.Known(id), func(s *maintenance.Set) bool { return s.Disable(id) })
}

// Enable puts a worker back into use; the registry's word on it counts again. An id that is out, or was ever listed,
// is accepted, also where the registry has dropped it meanwhile.
func (r *Router) Enable(id string) error {
	return r.updateMaintenance(r.Known(id), func(s *maintenance.Set) bool { return s.Enable(id) })
}

// DisableHall is Disable for all workers of a hall, also those that are listed there later. It returns ErrNoHall for one
// that the settings do not name.
func (r *Router) DisableHall(name string) error {
	return r.updateMaintenance(r.KnownHall(name), func(s *maintenance.Set) bool { return s.DisableHall(name) })
}

// EnableHall ends DisableHall.
func (r *Router) EnableHall(name string) error {
	return r.updateMaintenance(r.KnownHall(name), func(s *maintenance.Set) bool { return s.EnableHall(name) })
}

// Known returns ErrNeverListed for the id of a worker that was never listed and is not taken out.
func (r *Router) Known(id string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.seenWorkers[id] && !r.Out.Out(id) {
		return fmt.Errorf("%w: %.64q", ErrNeverListed, id)
	}
	return nil
}

// KnownHall returns ErrNoHall for a hall that the settings do not name.
func (r *Router) KnownHall(name string) error {
	if !slices.Contains(r.Names.Zones, name) {
		return fmt.Errorf("%w: %.64q", ErrNoHall, name)
	}
	return nil
}

// Maintain replaces all that is taken out by hand: what a cluster's orders come to. Ids and halls that are not known here are
// kept; they count once they are listed.
func (r *Router) Maintain(set maintenance.Set) {
	set = set.Clone()
	r.updateMaintenance(nil, func(s *maintenance.Set) bool { *s = set; return true })
}

func (r *Router) updateMaintenance(invalid error, change func(*maintenance.Set) bool) error {
	if invalid != nil {
		return invalid
	}
	r.mu.Lock()
	if !change(&r.Out) {
		r.mu.Unlock()
		return nil
	}
	var stalePeers []transport.Peer
	var changed []decide.Server
	for _, id := range slices.Sorted(maps.Keys(r.workers)) {
		w := r.workers[id]
		state := r.Out.State(w.instanceID, w.zone, w.listed.State)
		if state == w.state {
			continue
		}
		if w.state = state; state != decide.Ready {
			stalePeers = append(stalePeers, w.peer)
		}
		effective := w.listed
		effective.State = state
		changed = append(changed, effective)
	}
	var actions []decide.Action
	if len(changed) > 0 {
		r.countUpWorkers()
		actions = r.handle(decide.Event{Kind: decide.Members, List: decide.ListDelta, Servers: changed, Version: r.generation})
	}
	r.mu.Unlock()
	for _, peer := range stalePeers {
		r.Workers.CloseIdle(peer)
	}
	r.execute(actions)
	return nil
}

// recount counts the workers that may be chosen. It is called under the lock.
func (r *Router) countUpWorkers() {
	r.upWorkers = 0
	for _, w := range r.workers {
		if w.state == decide.Ready {
			r.upWorkers++
		}
	}
}

// Maintenance returns a copy of the workers and halls taken out by hand.
func (r *Router) Maintenance() maintenance.Set {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.Out.Clone()
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
