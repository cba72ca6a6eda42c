package routing

import (
	"context"
	"time"

	"burlpass/decide"
	"burlpass/internal/protocol"
)

// Where lists are pushed, the registry's address belongs to an agent beside the sidecar. What the agent has been sent
// counts as told to the sidecar whether it has asked or not, so a watch is kept for as long as the router lives, and
// nobody has to order it. The agent answers at once and at no cost. One that does not answer is silent, and nobody can
// know whether it will answer the calls that wait or only new ones once it speaks again, nor how soon news must be
// heeded then: so further calls are made beside the first, and the first answer to any of them counts.
const (
	agentWatchWait      = 250 * time.Millisecond // of one watch call
	agentHedgeDelay     = 100 * time.Millisecond // past it another call is made beside it
	agentMinInterval    = 20 * time.Millisecond  // least time between an answer and the next call
	agentRetryInterval  = 100 * time.Millisecond // least time between two calls without an answer between
	agentCallGrace      = 2 * time.Second        // that the first call may take beyond its wait
	agentHedgeGrace     = 400 * time.Millisecond // and each one beside it
	agentMaxHedges      = 4                      // out together beside the first
	agentSilenceWarning = time.Second            // without an answer for that long, and for twice as long each time, it is logged
)

// feed follows the agent until the router's end. Each watch begins with the whole list, whatever its generation: an
// agent that has been away may have begun to count anew.
func (r *Router) followAgent() {
	for r.ctx.Err() == nil {
		r.mu.Lock()
		sub := r.subscribe()
		r.mu.Unlock()
		watcher := &agentWatcher{Router: r, sub: sub}
		for full := true; sub.ctx.Err() == nil; {
			response, ok := watcher.poll(full)
			if !ok { // moved to another agent, or over
				break
			}
			kind := decide.ListDelta
			if response.full {
				r.mu.Lock()
				r.listFromOldRegistry = true // its count begins with this
				r.mu.Unlock()
				kind = decide.ListFull
			}
			r.mu.Lock()
			outdated := !response.full && !response.list.Reset && response.list.Generation < r.generation
			r.mu.Unlock()
			r.applyList(sub.registrySource, response.list, kind)
			full = outdated // it counts anew without a word: changes to a list that is not the one at hand
			sleep(sub.ctx, agentMinInterval)
		}
		watcher.close()
	}
}

// feeder is one watch on an agent.
type agentWatcher struct {
	*Router
	sub  *subscription
	idle []*protocol.Registry // whose connection may be there still
}

// fed is how one call ended.
type agentResponse struct {
	list     *protocol.List
	err      error
	full     bool
	registry *protocol.Registry
}

// ask asks until there is an answer: for the whole list, or for what is newer than the one at hand. It returns false
// once the watch is over. When it returns no call is out.
func (w *agentWatcher) poll(full bool) (agentResponse, bool) {
	ctx, cancel := context.WithCancel(w.sub.ctx)
	responses := make(chan agentResponse, agentMaxHedges+1)
	inFlight := 0
	send := func(full bool, grace time.Duration) {
		registry := &protocol.Registry{Network: w.Network, Addr: w.sub.addr}
		if n := len(w.idle); n > 0 {
			registry, w.idle = w.idle[n-1], w.idle[:n-1]
		}
		registry.Wait, registry.Grace = agentWatchWait, grace
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
	var lastErr error // that a call ended with
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

func (w *agentWatcher) close() {
	for _, registry := range w.idle {
		registry.Close()
	}
}

// rest waits for a while, or until ctx is done.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// ListAge is how long ago the registry last answered, with news or without. It grows while the registry is silent,
// and to the length of one watch call (10 s where lists are asked for, 0.25 s where they are pushed) while all is well.
func (r *Router) ListAge() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Since(r.lastAnswer)
}
