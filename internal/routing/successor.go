package routing

import (
	"maps"
	"slices"

	"burlpass/decide"
	"burlpass/internal/transport"
)

// An address belongs to one process. Where the registry lists two workers at one address, a new process has come up where an
// earlier one has gone that is still listed. What is sent to the earlier one would reach the new process, which may be cold,
// draining or disabled. So of the workers at an address only those with the latest start are chosen.

// effectiveState returns the state of a worker for the balancer: as listed, unless operators or a successor at its address say
// otherwise. The caller holds r.mu.
func (r *Router) effectiveState(w *worker) decide.State {
	state := r.Out.State(w.instanceID, w.zone, w.listed.State)
	if state == decide.Ready && w.superseded {
		return decide.Draining
	}
	return state
}

// effective returns the balancer's view of a worker.
func (w *worker) effective() decide.Server {
	server := w.listed
	server.State = w.state
	return server
}

// updateStates recomputes the states of all workers after a change of the list or of the operators' orders. It returns the changed
// workers added to servers, in which they replace entries with the same ID, and the peers that are no longer used. The caller
// holds r.mu.
func (r *Router) updateStates(servers []decide.Server) (changed []decide.Server, unused []transport.Peer) {
	latestStart := map[string]int64{} // by address
	for _, w := range r.workers {
		latestStart[w.peer.Addr] = max(latestStart[w.peer.Addr], w.startedMs)
	}
	for _, id := range slices.Sorted(maps.Keys(r.workers)) {
		w := r.workers[id]
		w.superseded = w.startedMs < latestStart[w.peer.Addr]
		state := r.effectiveState(w)
		if state == w.state {
			continue
		}
		if w.state = state; state != decide.Ready {
			unused = append(unused, w.peer)
		}
		servers = replaceServer(servers, w.effective())
	}
	return servers, unused
}

// replaceServer replaces the entry with the same ID, or appends it.
func replaceServer(servers []decide.Server, server decide.Server) []decide.Server {
	for i := range servers {
		if servers[i].ID == server.ID {
			servers[i] = server
			return servers
		}
	}
	return append(servers, server)
}
