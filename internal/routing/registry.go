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
	source
	whole  bool // the list at hand is another registry's: the whole one comes first
	quick  bool // a watch has fallen silent: what it has missed is asked for with hardly a wait
	ctx    context.Context
	cancel context.CancelFunc
}

// source is where a list comes from: the registry's address, and how often that has been moved.
type source struct {
	addr  string
	moves int
}

// MoveRegistry turns to the registry at another address. What the old one still answers counts for nothing,
// and its end is no failure; the module is told and asks for the new one's list.
func (r *Router) MoveRegistry(addr string) {
	r.mu.Lock()
	r.unsubscribe()
	r.source = source{addr, r.moves + 1}
	r.foreign = true
	rest := r.handle(decide.Event{Kind: decide.Members, List: decide.ListMoved})
	r.mu.Unlock()
	r.carryOut(rest)
}

// watch starts or ends the watch on the registry where the module asks for it. Where lists are pushed the watch is
// the feed's, and lasts as long as the router.
func (r *Router) watch(on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case !r.Decide.Subscribe:
	case on && r.subscription == nil:
		s := r.subscribe()
		go func() {
			if err := r.follow(s); err != nil {
				r.listFailed(s, "watch", err)
			}
		}()
	case !on:
		r.unsubscribe()
	}
}

// subscribe makes the subscription to the registry of now. It is called under the lock.
func (r *Router) subscribe() *subscription {
	s := &subscription{source: r.source, whole: r.foreign, quick: r.silent}
	s.ctx, s.cancel = context.WithCancel(r.ctx)
	r.subscription = s
	return s
}

func (r *Router) unsubscribe() {
	if r.subscription != nil {
		r.subscription.cancel()
		r.subscription = nil
	}
}

// watchPace is the least time from one watch call to the next. A registry that answers at once, again and
// again, is not flooded; the next call of a watch must come within 200 ms of the last answer.
const watchPace = 100 * time.Millisecond

// follow asks the registry again as soon as it has answered, which is what keeps the watch alive, until a call
// fails. It returns that failure, and nil where the watch was ended from here.
func (r *Router) follow(s *subscription) error {
	defer s.cancel()
	times := timesWithin(r.Decide.Safety.ToldWithin())
	registry := &protocol.Registry{Network: r.Network, Addr: s.addr}
	defer registry.Close()
	for {
		next := time.After(watchPace)
		var list *protocol.List
		var err error
		kind := decide.ListDelta
		if s.whole {
			registry.Grace = times.plain
			list, err = registry.Fetch(s.ctx)
			s.whole, kind = false, decide.ListFull
		} else {
			r.mu.Lock()
			since := r.generation
			r.mu.Unlock()
			registry.Wait, registry.Grace = times.wait(rand.Float64()), times.late
			if s.quick {
				registry.Wait, registry.Grace = times.quick, times.plain
			}
			list, err = registry.Watch(s.ctx, since)
		}
		if err != nil {
			r.mu.Lock()
			current := r.subscription == s // else ended by the module or by a move: no failure
			if current {
				r.subscription = nil
			}
			r.mu.Unlock()
			if current && s.ctx.Err() == nil {
				return err
			}
			return nil
		}
		s.quick = false
		r.learn(s.source, list, kind)
		<-next
	}
}

// fetch asks for the whole list once.
func (r *Router) fetch() {
	r.mu.Lock()
	s := &subscription{source: r.source}
	r.mu.Unlock()
	registry := &protocol.Registry{Network: r.Network, Addr: s.addr, Grace: timesWithin(r.Decide.Safety.ToldWithin()).plain}
	defer registry.Close()
	list, err := registry.Fetch(r.ctx)
	if err != nil {
		r.listFailed(s, "fetch", err)
		return
	}
	r.learn(s.source, list, decide.ListFull)
}

// listFailed tells the module of a call that failed, and whether it fell silent, which takes a call's whole time.
func (r *Router) listFailed(s *subscription, call string, err error) {
	r.Log.Warn("registry_failed", "registry", s.addr, "call", call, "err", err)
	r.mu.Lock()
	var rest []decide.Action
	if s.source == r.source {
		e := decide.Event{Kind: decide.Members, List: decide.ListFailed}
		if isTimeout(err) {
			r.silent = true
			e.Status = decide.TimedOut
		}
		rest = r.handle(e)
	}
	r.mu.Unlock()
	r.carryOut(rest)
}

// isTimeout tells a call that found silence from one that was refused or broken off.
func isTimeout(err error) bool {
	var t net.Error
	return errors.As(err, &t) && t.Timeout() || errors.Is(err, context.DeadlineExceeded)
}

// learn takes in a list and tells the module: the cached one of the start, a whole one that was fetched, or
// what a watch brought, which may be either. The address book changes under the same lock as the module, so
// no choice is made between the two. A list of a registry that has been moved from counts for nothing.
func (r *Router) learn(from source, list *protocol.List, kind decide.ListKind) {
	r.mu.Lock()
	if from != r.source {
		r.mu.Unlock()
		return
	}
	older := list.Generation < r.generation && !r.foreign // another registry counts on its own
	switch {
	case older && (kind == decide.ListFull || kind == decide.ListDelta && !list.Reset):
		// A slower call's answer: taking it in would bring back what has drained since. The module still
		// hears that its call succeeded.
		list, kind = &protocol.List{Generation: r.generation}, decide.ListDelta
	case kind == decide.ListDelta && list.Reset: // also from a registry that began anew and counts from there
		kind = decide.ListFull
	}
	r.generation = list.Generation
	news := r.informed
	if kind != decide.ListCached {
		r.heard, r.silent, r.informed = time.Now(), false, true
	}
	r.foreign = r.foreign && kind == decide.ListDelta
	servers := make([]decide.Server, 0, len(list.Instances))
	stale := []transport.Peer{} // whose idle connections are of no more use
	listed := map[decide.ServerID]bool{}
	for i := range list.Instances {
		w, s := r.describe(&list.Instances[i], news)
		listed[w.id] = true
		servers = append(servers, s)
		if old := r.workers[w.id]; old != nil && (w.state != decide.Ready || *old != *w) {
			stale = append(stale, old.peer)
		}
		if w.state == decide.Gone {
			r.forget(w)
		} else {
			r.workers[w.id] = w
		}
	}
	if kind != decide.ListDelta {
		for id, w := range r.workers {
			if !listed[id] {
				stale = append(stale, w.peer)
				r.forget(w)
			}
		}
	}
	r.recount()
	rest := r.handle(decide.Event{Kind: decide.Members, List: kind, Servers: servers, Version: list.Generation})
	up := r.up
	r.mu.Unlock()
	if len(list.Instances) > 0 {
		r.Log.Info("list", "generation", list.Generation, "entries", len(list.Instances),
			"whole", kind != decide.ListDelta, "up", up)
	}
	for _, peer := range stale {
		r.Workers.CloseIdle(peer)
	}
	r.carryOut(rest)
}

// describe gives an instance its stable number and the module's view of it. news tells that discovery has given a list
// before, so that a start which that did not have is a recent one.
func (r *Router) describe(i *protocol.Instance, news bool) (*worker, decide.Server) {
	id, known := r.ids[i.ID]
	if !known {
		r.lastID++
		id = r.lastID
		r.ids[i.ID] = id
	}
	state := decide.Gone
	switch i.Lifecycle {
	case protocol.Up:
		state = decide.Ready
	case protocol.LifecycleDraining:
		state = decide.Draining
	}
	if len(r.seen) < maxSeen {
		r.seen[i.ID] = true
	}
	listed := decide.Server{
		ID: id, Started: r.started(i, news), Cell: i.Cell, State: state,
		Zone: r.zone(i.Zone, id), Kind: position(r.Names.Kinds, i.Kind), Nominal: i.Weight,
	}
	state = r.Out.State(i.ID, i.Zone, state)
	w := &worker{id: id, instance: i.ID, hall: i.Zone, peer: transport.Peer{Addr: i.Addr}, state: state, startedMs: i.StartedMs,
		listed: listed}
	if old := r.workers[id]; old != nil && old.peer.Addr == i.Addr && old.startedMs == i.StartedMs {
		w.peer.Life = old.peer.Life
	} else {
		r.lives++
		w.peer.Life = r.lives
	}
	told := listed
	told.State = state
	return w, told
}

// forget drops a worker that is no longer listed. Should its instance come back, it is another worker: a table of
// all that ever were would grow for as long as workers are replaced.
func (r *Router) forget(w *worker) {
	delete(r.workers, w.id)
	delete(r.ids, w.instance)
}

// mostStrange bounds the zones remembered that the settings do not name. Past it each backend of such a zone counts as a
// zone of its own, which forbids a repeat elsewhere and allows none.
const mostStrange = 1 << 10

// zone is the number of a zone: its place in the settings, or one past the last that belongs to this name alone. Two zones
// that the settings do not name must not pass for one, or the repeat of a keyed request could leave its group. Where the
// settings name no zones at all there is one. It is called under the lock.
func (r *Router) zone(name string, id decide.ServerID) int {
	named := len(r.Names.Zones)
	at := position(r.Names.Zones, name)
	if at < named || named == 0 {
		return at
	}
	number, known := r.strange[name]
	switch {
	case known:
		return named + number
	case len(r.strange) >= mostStrange:
		return named + mostStrange + int(id)
	}
	number = len(r.strange)
	r.strange[name] = number
	return named + number
}

// position is a name's place in the settings; an unknown one gets the place after the last.
func position(names []string, name string) int {
	if i := slices.Index(names, name); i >= 0 {
		return i
	}
	return len(names)
}
