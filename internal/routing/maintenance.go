package routing

import (
	"errors"
	"fmt"
	"slices"

	"burlpass/decide"
	"burlpass/internal/maintenance"
)

// maxSeenWorkers bounds the IDs of workers remembered as once listed, so that memory does not grow where workers are
// replaced for months. Beyond it, new IDs are not remembered.
const maxSeenWorkers = 1 << 16

// ErrNeverListed is returned for the ID of a worker that no list has named since the start.
var ErrNeverListed = errors.New("no such worker has been listed")

// ErrUnknownZone is returned for a hall that the settings do not name. Operators call a zone a hall.
var ErrUnknownZone = errors.New("no such hall")

// CheckWorker returns ErrNeverListed for the ID of a worker that was never listed and is not disabled.
func (r *Router) CheckWorker(id string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.seenWorkers[id] && !r.Out.Out(id) {
		return fmt.Errorf("%w: %.64q", ErrNeverListed, id)
	}
	return nil
}

// CheckZone returns ErrUnknownZone for a hall that the settings do not name.
func (r *Router) CheckZone(name string) error {
	if !slices.Contains(r.Names.Zones, name) {
		return fmt.Errorf("%w: %.64q", ErrUnknownZone, name)
	}
	return nil
}

// SetMaintenance replaces the set of disabled workers and halls and notifies the balancer of the workers whose state that
// changes: it sees a disabled worker as draining, whatever the registry says. IDs and halls that are unknown here are kept;
// they take effect once they are listed.
func (r *Router) SetMaintenance(set maintenance.Set) {
	r.mu.Lock()
	r.Out = set.Clone()
	r.rememberWorkers(set.WorkerIDs())
	changed, stalePeers := r.updateStates(nil)
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
}

// rememberWorkers counts workers that operators disabled as listed once, since an earlier list had them. The caller holds r.mu.
func (r *Router) rememberWorkers(ids []string) {
	for _, id := range ids {
		r.seenWorkers[id] = true
	}
}

// countUpWorkers counts the workers that may be chosen. The caller holds r.mu.
func (r *Router) countUpWorkers() {
	r.upWorkers = 0
	for _, w := range r.workers {
		if w.state == decide.Ready {
			r.upWorkers++
		}
	}
}

// WorkerCounts returns the number of listed workers and the number of those that this sidecar avoids because they are disabled
// or draining.
func (r *Router) WorkerCounts() (listed, down int) {
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
