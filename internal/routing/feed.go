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
	feedWait   = 250 * time.Millisecond // of one watch call
	feedLate   = 100 * time.Millisecond // past it another call is made beside it
	feedPace   = 20 * time.Millisecond  // least time between an answer and the next call
	feedRetry  = 100 * time.Millisecond // least time between two calls without an answer between
	feedLong   = 2 * time.Second        // that the first call may take beyond its wait
	feedShort  = 400 * time.Millisecond // and each one beside it
	feedCalls  = 4                      // out together beside the first
	feedSilent = time.Second            // without an answer for that long, and for twice as long each time, it is logged
)

// feed follows the agent until the router's end. Each watch begins with the whole list, whatever its generation: an
// agent that has been away may have begun to count anew.
func (r *Router) feed() {
	for r.ctx.Err() == nil {
		r.mu.Lock()
		s := r.subscribe()
		r.mu.Unlock()
		f := &feeder{Router: r, s: s}
		for whole := true; s.ctx.Err() == nil; {
			a, ok := f.ask(whole)
			if !ok { // moved to another agent, or over
				break
			}
			kind := decide.ListDelta
			if a.whole {
				r.mu.Lock()
				r.foreign = true // its count begins with this
				r.mu.Unlock()
				kind = decide.ListFull
			}
			r.mu.Lock()
			older := !a.whole && !a.list.Reset && a.list.Generation < r.generation
			r.mu.Unlock()
			r.learn(s.source, a.list, kind)
			whole = older // it counts anew without a word: changes to a list that is not the one at hand
			rest(s.ctx, feedPace)
		}
		f.close()
	}
}

// feeder is one watch on an agent.
type feeder struct {
	*Router
	s    *subscription
	free []*protocol.Registry // whose connection may be there still
}

// fed is how one call ended.
type fed struct {
	list  *protocol.List
	err   error
	whole bool
	by    *protocol.Registry
}

// ask asks until there is an answer: for the whole list, or for what is newer than the one at hand. It returns false
// once the watch is over. When it returns no call is out.
func (f *feeder) ask(whole bool) (fed, bool) {
	ctx, cancel := context.WithCancel(f.s.ctx)
	ends := make(chan fed, feedCalls+1)
	out := 0
	call := func(whole bool, grace time.Duration) {
		by := &protocol.Registry{Network: f.Network, Addr: f.s.addr}
		if n := len(f.free); n > 0 {
			by, f.free = f.free[n-1], f.free[:n-1]
		}
		by.Wait, by.Grace = feedWait, grace
		f.mu.Lock()
		since := f.generation
		f.mu.Unlock()
		out++
		go func() {
			x := fed{whole: whole, by: by}
			if whole {
				x.list, x.err = by.Fetch(ctx)
			} else {
				x.list, x.err = by.Watch(ctx, since)
			}
			ends <- x
		}()
	}
	defer func() {
		for cancel(); out > 0; out-- {
			(<-ends).by.Close()
		}
	}()
	call(whole, feedLong)
	next := time.NewTimer(feedWait + feedLate)
	defer next.Stop()
	silent := feedSilent
	var last error // that a call ended with
	for {
		select {
		case x := <-ends:
			out--
			if x.err == nil {
				f.free = append(f.free, x.by)
				return x, true
			}
			x.by.Close()
			last = x.err
			if out == 0 {
				next.Reset(feedRetry)
			}
		case <-next.C:
			if out == 0 {
				call(true, feedLong)
			} else if out <= feedCalls {
				call(true, feedShort)
			}
			next.Reset(feedRetry)
		case <-ctx.Done():
			return fed{}, false
		}
		if age := f.ListAge(); age > silent {
			f.Log.Warn("registry_failed", "registry", f.s.addr, "call", "feed", "list_age", age.Round(time.Millisecond), "err", last)
			for silent < age {
				silent *= 2
			}
		}
	}
}

func (f *feeder) close() {
	for _, by := range f.free {
		by.Close()
	}
}

// rest waits for a while, or until ctx is done.
func rest(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// ListAge is how long ago the registry last answered, with news or without. It grows while the registry is silent,
// and to the length of one watch call (10 s where lists are asked for, 0.25 s where they are pushed) while all is well.
func (r *Router) ListAge() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Since(r.heard)
}
