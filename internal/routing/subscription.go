package routing

import (
	"context"
	"slices"
	"time"

	"burlpass/decide"
)

// subscription is one watch on the registry. It is compared by pointer, so that an ended watch does not pass for the
// current one.
type subscription struct {
	registrySource
	fullListFirst bool // the current list is another registry's, so that a full list is needed first
	catchUp       bool // the previous watch timed out, so that the first one asks with a short wait for what that missed
	ctx           context.Context
	cancel        context.CancelFunc
	moved         chan struct{} // closed when the registry has moved: no further exchange begins
}

// registrySource identifies the origin of a list: the registry's address, and the number of moves before it.
type registrySource struct {
	addr  string
	epoch int
}

// maxSuperseded bounds the watches on earlier registries whose exchange goes on. With the current one they must fit into the
// descriptors that transport reserves for the registry.
const maxSuperseded = 3

// MoveRegistry switches to the registry at another address. The balancer is notified and requests the new registry's list. An exchange
// that is under way goes on to its own end, and its list counts until a later registry has sent one: however quickly moves follow each
// other, the sidecar does not go without an answer because of them.
func (r *Router) MoveRegistry(addr string) {
	r.mu.Lock()
	r.supersede()
	r.registrySource = registrySource{addr, r.epoch + 1}
	actions := r.handle(decide.Event{Kind: decide.Members, List: decide.ListSourceChanged})
	r.mu.Unlock()
	r.execute(actions)
}

// setWatch starts or ends the watch on the registry as the balancer commands. Where lists are pushed, followAgent watches
// for as long as the router runs.
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

// subscribe creates the subscription to the current registry. The caller holds r.mu.
func (r *Router) subscribe() *subscription {
	sub := &subscription{registrySource: r.registrySource, fullListFirst: r.listEpoch != r.epoch, catchUp: r.registrySilent,
		moved: make(chan struct{})}
	sub.ctx, sub.cancel = context.WithCancel(r.ctx)
	r.subscription = sub
	return sub
}

// unsubscribe ends the active watch, if any. The caller holds r.mu.
func (r *Router) unsubscribe() {
	if r.subscription != nil {
		r.subscription.cancel()
		r.subscription = nil
	}
}

// supersede leaves the active watch, if any, its exchange. Where too many go on already, those that have waited longer are kept.
// The caller holds r.mu.
func (r *Router) supersede() {
	sub := r.subscription
	if sub == nil {
		return
	}
	r.subscription = nil
	close(sub.moved)
	if len(r.superseded) == maxSuperseded {
		sub.cancel()
		return
	}
	r.superseded = append(r.superseded, sub)
	time.AfterFunc(r.Decide.Safety.PropagationLimit(), sub.cancel)
}

// endSupersededBefore ends the exchanges with registries before the given epoch. The caller holds r.mu.
func (r *Router) endSupersededBefore(epoch int) {
	r.superseded = slices.DeleteFunc(r.superseded, func(sub *subscription) bool {
		if sub.epoch >= epoch {
			return false
		}
		sub.cancel()
		return true
	})
}

// endSubscription forgets a subscription whose goroutine ends.
func (r *Router) endSubscription(sub *subscription) {
	sub.cancel()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.superseded = slices.DeleteFunc(r.superseded, func(other *subscription) bool { return other == sub })
}

// isSubscribed reports whether a subscription is the active one.
func (r *Router) isSubscribed(sub *subscription) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.subscription == sub
}
