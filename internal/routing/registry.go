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

// subscription is one watch on the registry. Its identity tells what it brings from what an ended one brings.
type subscription struct {
	registrySource
	fullListFirst bool // the list at hand is another registry's: the whole one comes first
	catchUp       bool // a watch has fallen silent: what it has missed is asked for with hardly a wait
	ctx           context.Context
	cancel        context.CancelFunc
}

// source is where a list comes from: the registry's address, and how often that has been moved.
type registrySource struct {
	addr  string
	epoch int
}

// MoveRegistry turns to the registry at another address. What the old one still answers counts for nothing,
// and its end is no failure; the module is told and asks for the new one's list.
func (r *Router) MoveRegistry(addr string) {
	r.mu.Lock()
	r.unsubscribe()
	r.registrySource = registrySource{addr, r.epoch + 1}
	r.listFromOldRegistry = true
	actions := r.handle(decide.Event{Kind: decide.Members, List: decide.ListMoved})
	r.mu.Unlock()
	r.execute(actions)
}

// watch starts or ends the watch on the registry where the module asks for it. Where lists are pushed the watch is
// the feed's, and lasts as long as the router.
func (r *Router) setWatch(on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case !r.Decide.Subscribe:
	case on && r.subscription == nil:
		sub := r.subscribe()
		go func() {
			if err := r.runWatch(sub); err != nil {
				r.reportListFailure(sub, "watch", err)
			}
		}()
	case !on:
		r.unsubscribe()
	}
}

// subscribe makes the subscription to the registry of now. It is called under the lock.
func (r *Router) subscribe() *subscription {
	sub := &subscription{registrySource: r.registrySource, fullListFirst: r.listFromOldRegistry, catchUp: r.registrySilent}
	sub.ctx, sub.cancel = context.WithCancel(r.ctx)
	r.subscription = sub
	return sub
}

func (r *Router) unsubscribe() {
	if r.subscription != nil {
		r.subscription.cancel()
		r.subscription = nil
	}
}

// watchPace is the least time from one watch call to the next. A registry that answers at once, again and
// again, is not flooded; the next call of a watch must come within 200 ms of the last answer.
const minWatchInterval = 100 * time.Millisecond

// follow asks the registry again as soon as it has answered, which is what keeps the watch alive, until a call
// fails. It returns that failure, and nil where the watch was ended from here.
func (r *Router) runWatch(sub *subscription) error {
	defer sub.cancel()
	timeouts := newRegistryTimeouts(r.Decide.Safety.ToldWithin())
	registry := &protocol.Registry{Network: r.Network, Addr: sub.addr}
	defer registry.Close()
	for {
		next := time.After(minWatchInterval)
		var list *protocol.List
		var err error
		kind := decide.ListDelta
		if sub.fullListFirst {
			registry.Grace = timeouts.fetchTimeout
			list, err = registry.Fetch(sub.ctx)
			sub.fullListFirst, kind = false, decide.ListFull
		} else {
			r.mu.Lock()
			since := r.generation
			r.mu.Unlock()
			registry.Wait, registry.Grace = timeouts.watchWait(rand.Float64()), timeouts.watchGrace
			if sub.catchUp {
				registry.Wait, registry.Grace = timeouts.catchUp, timeouts.fetchTimeout
			}
			list, err = registry.Watch(sub.ctx, since)
		}
		if err != nil {
			r.mu.Lock()
			current := r.subscription == sub // else ended by the module or by a move: no failure
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
}

// fetch asks for the whole list once.
func (r *Router) fetchList() {
	r.mu.Lock()
	sub := &subscription{registrySource: r.registrySource}
	r.mu.Unlock()
	registry := &protocol.Registry{Network: r.Network, Addr: sub.addr, Grace: newRegistryTimeouts(r.Decide.Safety.ToldWithin()).fetchTimeout}
	defer registry.Close()
	list, err := registry.Fetch(r.ctx)
	if err != nil {
		r.reportListFailure(sub, "fetch", err)
		return
	}
	r.applyList(sub.registrySource, list, decide.ListFull)
}

// listFailed tells the module of a call that failed, and whether it fell silent, which takes a call's whole time.
func (r *Router) reportListFailure(sub *subscription, call string, err error) {
	r.Log.Warn("registry_failed", "registry", sub.addr, "call", call, "err", err)
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

// isTimeout tells a call that found silence from one that was refused or broken off.
func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout() || errors.Is(err, context.DeadlineExceeded)
}

// learn takes in a list and tells the module: the cached one of the start, a whole one that was fetched, or
// what a watch brought, which may be either. The address book changes under the same lock as the module, so
// no choice is made between the two. A list of a registry that has been moved from counts for nothing.
func (r *Router) applyList(from registrySource, list *protocol.List, kind decide.ListKind) {
	r.mu.Lock()
	if from != r.registrySource {
		r.mu.Unlock()
		return
	}
	outdated := list.Generation < r.generation && !r.listFromOldRegistry // another registry counts on its own
	switch {
	case outdated && (kind == decide.ListFull || kind == decide.ListDelta && !list.Reset):
		// A slower call's answer: taking it in would bring back what has drained since. The module still
		// hears that its call succeeded.
		list, kind = &protocol.List{Generation: r.generation}, decide.ListDelta
	case kind == decide.ListDelta && list.Reset: // also from a registry that began anew and counts from there
		kind = decide.ListFull
	}
	r.generation = list.Generation
	hadList := r.receivedList
	if kind != decide.ListCached {
		r.lastAnswer, r.registrySilent, r.receivedList = time.Now(), false, true
	}
	r.listFromOldRegistry = r.listFromOldRegistry && kind == decide.ListDelta
	servers := make([]decide.Server, 0, len(list.Instances))
	stalePeers := []transport.Peer{} // whose idle connections are of no more use
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

// describe gives an instance its stable number and the module's view of it. news tells that discovery has given a list
// before, so that a start which that did not have is a recent one.
func (r *Router) resolveInstance(instance *protocol.Instance, hadList bool) (*worker, decide.Server) {
	id, known := r.workerIDs[instance.ID]
	if !known {
		r.lastID++
		id = r.lastID
		r.workerIDs[instance.ID] = id
	}
	state := decide.Gone
	switch instance.Lifecycle {
	case protocol.Up:
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
	state = r.Out.State(instance.ID, instance.Zone, state)
	w := &worker{id: id, instanceID: instance.ID, zone: instance.Zone, peer: transport.Peer{Addr: instance.Addr}, state: state, startedMs: instance.StartedMs,
		listed: listed}
	if previous := r.workers[id]; previous != nil && previous.peer.Addr == instance.Addr && previous.startedMs == instance.StartedMs {
		w.peer.Life = previous.peer.Life
	} else {
		r.lastLife++
		w.peer.Life = r.lastLife
	}
	effective := listed
	effective.State = state
	return w, effective
}

// forget drops a worker that is no longer listed. Should its instance come back, it is another worker: a table of
// all that ever were would grow for as long as workers are replaced.
func (r *Router) removeWorker(w *worker) {
	delete(r.workers, w.id)
	delete(r.workerIDs, w.instanceID)
}

// mostStrange bounds the zones remembered that the settings do not name. Past it each backend of such a zone counts as a
// zone of its own, which forbids a repeat elsewhere and allows none.
const maxUnknownZones = 1 << 10

// zone is the number of a zone: its place in the settings, or one past the last that belongs to this name alone. Two zones
// that the settings do not name must not pass for one, or the repeat of a keyed request could leave its group. Where the
// settings name no zones at all there is one. It is called under the lock.
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

// position is a name's place in the settings; an unknown one gets the place after the last.
func indexOrLen(names []string, name string) int {
	if i := slices.Index(names, name); i >= 0 {
		return i
	}
	return len(names)
}
