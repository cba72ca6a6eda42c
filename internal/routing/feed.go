package routing

import (
	"context"
	"time"

	"burlpass/decide"
	"burlpass/internal/protocol"
)

// Where the registry pushes lists, its address is that of an agent beside the sidecar. The sidecar is held to know what the
// agent has been sent, whether it has asked or not, so the router watches the agent for as long as it runs, without a
// command of the balancer. The agent answers at once and at no cost. If it stops responding, it is unknown whether it will
// later answer the pending exchanges or only new ones, and how soon a change must then be acted on. The router therefore
// sends hedged exchanges beside the first and uses the first answer to any of them.
const (
	agentWatchWait      = 250 * time.Millisecond // wait of one watch
	agentHedgeDelay     = 100 * time.Millisecond // delay beyond that wait before the first hedged exchange
	agentMinInterval    = 20 * time.Millisecond  // minimum time between an answer and the next exchange
	agentRetryInterval  = 100 * time.Millisecond // minimum time between two exchanges without an answer in between
	agentCallGrace      = 2 * time.Second        // time beyond its wait that the first exchange may take
	agentHedgeGrace     = 400 * time.Millisecond // time beyond its wait that a hedged exchange may take
	agentMaxHedges      = 4                      // maximum number of hedged exchanges in flight
	agentSilenceWarning = time.Second            // time without an answer before the first warning; doubles with each warning
)

// followAgent watches the agent until the router ends. After a move it watches the new agent at once, beside what is under way
// at the one before.
func (r *Router) followAgent() {
	for r.ctx.Err() == nil {
		r.mu.Lock()
		sub := r.subscribe()
		r.mu.Unlock()
		go r.watchAgent(sub)
		select {
		case <-sub.moved:
		case <-r.ctx.Done():
		}
	}
}

// watchAgent watches one agent until the registry moves. It begins with a full list, whatever its generation, because an agent that was
// unavailable may have restarted its generation numbers.
func (r *Router) watchAgent(sub *subscription) {
	defer r.endSubscription(sub)
	watcher := &agentWatcher{Router: r, sub: sub}
	defer watcher.close()
	for full := true; r.isSubscribed(sub); {
		response, ok := watcher.poll(full)
		if !ok { // a later registry has answered, or the router has ended
			return
		}
		kind := decide.ListDelta
		if response.full {
			r.acceptAnyGeneration(sub)
			kind = decide.ListFull
		}
		r.mu.Lock()
		outdated := !response.full && !response.list.Reset && response.list.Generation < r.generation
		r.mu.Unlock()
		r.applyList(sub.registrySource, response.list, kind)
		full = outdated // the generation has restarted without a reset: the delta does not apply to the current list
		sleep(sub.ctx, agentMinInterval)
	}
}

// acceptAnyGeneration makes the subscription's full list set the generation, even to an older one.
func (r *Router) acceptAnyGeneration(sub *subscription) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.anyGeneration = sub.epoch >= r.listEpoch
}

// agentWatcher is one watch on an agent.
type agentWatcher struct {
	*Router
	sub  *subscription
	idle []*protocol.RegistryClient // clients whose connection may still be open
}

// agentResponse is the result of one exchange with the agent.
type agentResponse struct {
	list     *protocol.List
	err      error
	full     bool
	registry *protocol.RegistryClient
}

// poll asks until there is an answer: for the full list, or for what is newer than the current one. It returns false once
// the watch is over. When it returns, no exchange is in flight.
func (w *agentWatcher) poll(full bool) (agentResponse, bool) {
	ctx, cancel := context.WithCancel(w.sub.ctx)
	responses := make(chan agentResponse, agentMaxHedges+1)
	inFlight := 0
	send := func(full bool, grace time.Duration) {
		registry := &protocol.RegistryClient{Network: w.Network, Addr: w.sub.addr}
		if n := len(w.idle); n > 0 {
			registry, w.idle = w.idle[n-1], w.idle[:n-1]
		}
		registry.WatchTimeout, registry.ResponseTimeout = agentWatchWait, grace
		w.mu.Lock()
		since := w.generation
		w.mu.Unlock()
		inFlight++
		go func() {
			response := agentResponse{full: full, registry: registry}
			if full {
				response.list, response.err = registry.Fetch(ctx)
			} else {
				response.list, response.err = registry.Watch(ctx, since)
			}
			responses <- response
		}()
	}
	defer func() {
		for cancel(); inFlight > 0; inFlight-- {
			(<-responses).registry.Close()
		}
	}()
	send(full, agentCallGrace)
	hedge := time.NewTimer(agentWatchWait + agentHedgeDelay)
	defer hedge.Stop()
	warnAfter := agentSilenceWarning
	var lastErr error // of the last failed exchange
	for {
		select {
		case response := <-responses:
			inFlight--
			if response.err == nil {
				w.idle = append(w.idle, response.registry)
				return response, true
			}
			response.registry.Close()
			lastErr = response.err
			if inFlight == 0 {
				hedge.Reset(agentRetryInterval)
			}
		case <-hedge.C:
			if !w.isSubscribed(w.sub) { // the registry has moved: only what is under way goes on
				if inFlight == 0 {
					return agentResponse{}, false
				}
				hedge.Reset(agentRetryInterval)
				continue
			}
			if inFlight == 0 {
				send(true, agentCallGrace)
			} else if inFlight <= agentMaxHedges {
				send(true, agentHedgeGrace)
			}
			hedge.Reset(agentRetryInterval)
		case <-ctx.Done():
			return agentResponse{}, false
		}
		if age := w.ListAge(); age > warnAfter {
			w.Log.Warn("registry_failed", "registry", w.sub.addr, "call", "feed", "list_age", age.Round(time.Millisecond), "err", lastErr)
			for warnAfter < age {
				warnAfter *= 2
			}
		}
	}
}

// close closes the idle connections.
func (w *agentWatcher) close() {
	for _, registry := range w.idle {
		registry.Close()
	}
}

// sleep waits for d or until ctx is done.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// ListAge returns the time since the registry last answered, with changes or without. It grows while the registry does not
// respond. In normal operation it reaches the wait of one watch: 10 s where lists are polled, 0.25 s where they are pushed.
func (r *Router) ListAge() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Since(r.lastAnswer)
}
