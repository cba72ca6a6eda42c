package routing

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"slices"
	"time"

	"burlpass/decide"
	"burlpass/internal/protocol"
	"burlpass/internal/transport"
)

// minWatchInterval is the minimum time from one watch request to the next, so that a registry that always answers at once
// is not flooded. It must stay below 200 ms, within which the next request has to follow an answer.
const minWatchInterval = 100 * time.Millisecond

// runWatch asks the registry again as soon as it has answered, which keeps the watch alive, until an exchange fails. It
// returns that error, or nil if this sidecar ended the watch.
func (r *Router) runWatch(sub *subscription) error {
	defer r.endSubscription(sub)
	timeouts := newRegistryTimeouts(r.Decide.Safety.PropagationLimit())
	registry := &protocol.RegistryClient{Network: r.Network, Addr: sub.addr}
	defer registry.Close()
	for r.isSubscribed(sub) {
		next := time.After(minWatchInterval)
		var list *protocol.List
		var err error
		kind := decide.ListDelta
		if sub.fullListFirst {
			registry.ResponseTimeout = timeouts.fetchTimeout
			list, err = registry.Fetch(sub.ctx)
			sub.fullListFirst, kind = false, decide.ListFull
		} else {
			r.mu.Lock()
			since := r.generation
			r.mu.Unlock()
			registry.WatchTimeout, registry.ResponseTimeout = timeouts.watchWait(rand.Float64()), timeouts.watchGrace
			if sub.catchUp {
				registry.WatchTimeout, registry.ResponseTimeout = timeouts.catchUp, timeouts.fetchTimeout
			}
			list, err = registry.Watch(sub.ctx, since)
		}
		if err != nil {
			r.mu.Lock()
			current := r.subscription == sub // otherwise ended by the balancer or by a move, which is no failure
			if current {
				r.subscription = nil
			}
			r.mu.Unlock()
			if current && sub.ctx.Err() == nil {
				return err
			}
			return nil
		}
		sub.catchUp = false
		r.applyList(sub.registrySource, list, kind)
		<-next
	}
	return nil
}

// fetchList asks for the full list once.
func (r *Router) fetchList() {
	r.mu.Lock()
	sub := &subscription{registrySource: r.registrySource}
	r.mu.Unlock()
	registry := &protocol.RegistryClient{Network: r.Network, Addr: sub.addr,
		ResponseTimeout: newRegistryTimeouts(r.Decide.Safety.PropagationLimit()).fetchTimeout}
	defer registry.Close()
	list, err := registry.Fetch(r.ctx)
	if err != nil {
		r.reportListFailure(sub, "fetch", err)
		return
	}
	r.applyList(sub.registrySource, list, decide.ListFull)
}

// reportListFailure notifies the balancer of a failed exchange, and whether it timed out.
func (r *Router) reportListFailure(sub *subscription, operation string, err error) {
	r.Log.Warn("registry_failed", "registry", sub.addr, "call", operation, "err", err)
	r.mu.Lock()
	var actions []decide.Action
	if sub.registrySource == r.registrySource {
		event := decide.Event{Kind: decide.Members, List: decide.ListFailed}
		if isTimeout(err) {
			r.registrySilent = true
			event.Status = decide.TimedOut
		}
		actions = r.handle(event)
	}
	r.mu.Unlock()
	r.execute(actions)
}

// isTimeout distinguishes an exchange without an answer in time from one that was refused or cut off.
func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout() || errors.Is(err, context.DeadlineExceeded)
}

// applyList applies a list and notifies the balancer. The list is the cached one of the start, a full one from a fetch, or
// the result of a watch, which may be full or a delta. The workers' addresses and the balancer change under the same lock,
// so that no choice falls between the two. A list of an earlier registry than the current list's is ignored.
func (r *Router) applyList(from registrySource, list *protocol.List, kind decide.ListKind) {
	r.mu.Lock()
	if from.epoch < r.listEpoch {
		r.mu.Unlock()
		return
	}
	outdated := list.Generation < r.generation && from.epoch == r.listEpoch && !r.anyGeneration // generations of different registries are not comparable
	switch {
	case outdated && (kind == decide.ListFull || kind == decide.ListDelta && !list.Reset):
		// The answer of a slower exchange: applying it would bring back workers that have drained since. The balancer
		// is still notified that its request succeeded.
		list, kind = &protocol.List{Generation: r.generation}, decide.ListDelta
	case kind == decide.ListDelta && list.Reset: // also from a registry that restarted its generation numbers
		kind = decide.ListFull
	}
	r.generation = list.Generation
	hadList := r.receivedList
	if kind != decide.ListCached {
		r.lastAnswer, r.receivedList = time.Now(), true
		r.registrySilent = r.registrySilent && from != r.registrySource
	}
	if kind != decide.ListDelta {
		r.listEpoch, r.anyGeneration = from.epoch, false
		r.endSupersededBefore(from.epoch)
	}
	servers := make([]decide.Server, 0, len(list.Instances))
	stalePeers := []transport.Peer{} // whose idle connections must be closed
	listed := map[decide.ServerID]bool{}
	for i := range list.Instances {
		w, server := r.resolveInstance(&list.Instances[i], hadList)
		listed[w.id] = true
		servers = append(servers, server)
		if previous := r.workers[w.id]; previous != nil && (w.state != decide.Ready || *previous != *w) {
			stalePeers = append(stalePeers, previous.peer)
		}
		if w.state == decide.Gone {
			r.removeWorker(w)
		} else {
			r.workers[w.id] = w
		}
	}
	if kind != decide.ListDelta {
		for id, w := range r.workers {
			if !listed[id] {
				stalePeers = append(stalePeers, w.peer)
				r.removeWorker(w)
			}
		}
	}
	servers, superseded := r.updateStates(servers)
	stalePeers = append(stalePeers, superseded...)
	r.countUpWorkers()
	actions := r.handle(decide.Event{Kind: decide.Members, List: kind, Servers: servers, Version: list.Generation})
	up := r.upWorkers
	r.mu.Unlock()
	if len(list.Instances) > 0 {
		r.Log.Info("list", "generation", list.Generation, "entries", len(list.Instances),
			"whole", kind != decide.ListDelta, "up", up)
	}
	for _, peer := range stalePeers {
		r.Workers.CloseIdle(peer)
	}
	r.execute(actions)
}

// resolveInstance returns an instance's worker, with a stable ID, and the balancer's view of it. hadList is true if the
// registry has sent a list before, so that a start missing from that list is a recent one. The caller holds r.mu.
func (r *Router) resolveInstance(instance *protocol.Instance, hadList bool) (*worker, decide.Server) {
	id, known := r.workerIDs[instance.ID]
	if !known {
		r.lastID++
		id = r.lastID
		r.workerIDs[instance.ID] = id
	}
	state := decide.Gone
	switch instance.Lifecycle {
	case protocol.LifecycleUp:
		state = decide.Ready
	case protocol.LifecycleDraining:
		state = decide.Draining
	}
	if len(r.seenWorkers) < maxSeenWorkers {
		r.seenWorkers[instance.ID] = true
	}
	listed := decide.Server{
		ID: id, Started: r.startTime(instance, hadList), Cell: instance.Cell, State: state,
		Zone: r.zoneNumber(instance.Zone, id), Kind: indexOrLen(r.Names.Kinds, instance.Kind), Nominal: instance.Weight,
	}
	w := &worker{id: id, instanceID: instance.ID, zone: instance.Zone, peer: transport.Peer{Addr: instance.Addr},
		startedMs: instance.StartedMs,
		listed:    listed}
	if previous := r.workers[id]; previous != nil && previous.peer.Addr == instance.Addr && previous.startedMs == instance.StartedMs {
		w.peer.Incarnation = previous.peer.Incarnation
	} else {
		r.lastLife++
		w.peer.Incarnation = r.lastLife
	}
	if previous := r.workers[id]; previous != nil {
		w.superseded = previous.superseded
	}
	w.state = r.effectiveState(w)
	return w, w.effective()
}

// removeWorker removes a worker that is no longer listed. If its instance comes back, it gets a new ID: a table of all
// earlier workers would grow for as long as workers are replaced.
func (r *Router) removeWorker(w *worker) {
	delete(r.workers, w.id)
	delete(r.workerIDs, w.instanceID)
}

// maxUnknownZones bounds the remembered zones that the settings do not name. Beyond it, each worker of such a zone counts as
// a zone of its own, so that a call limited to its zone is never repeated at another worker there.
const maxUnknownZones = 1 << 10

// zoneNumber returns the number of a zone: its position in the settings, or a number past the last position that is unique
// to this name. Two zones that the settings do not name must differ, or a repeat of a keyed call could leave its group. If
// the settings name no zones, there is only one. The caller holds r.mu.
func (r *Router) zoneNumber(name string, id decide.ServerID) int {
	configured := len(r.Names.Zones)
	index := indexOrLen(r.Names.Zones, name)
	if index < configured || configured == 0 {
		return index
	}
	number, known := r.unknownZones[name]
	switch {
	case known:
		return configured + number
	case len(r.unknownZones) >= maxUnknownZones:
		return configured + maxUnknownZones + int(id)
	}
	number = len(r.unknownZones)
	r.unknownZones[name] = number
	return configured + number
}

// indexOrLen returns the position of a name in the settings, or the position after the last for an unknown name.
func indexOrLen(names []string, name string) int {
	if i := slices.Index(names, name); i >= 0 {
		return i
	}
	return len(names)
}
