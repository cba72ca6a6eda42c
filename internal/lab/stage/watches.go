package stage

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"strings"
	"time"

	"burlpass/internal/lab/judge"
	"burlpass/internal/lab/scenario"
	"burlpass/internal/lab/world"
)

// watches are the calls for the list that one sidecar has open, and what befalls them. They are guarded by the
// registry's mutex.
type watches struct {
	open   []*watch
	mute   int             // faults that go on under which nothing that waits or comes is ever answered
	holds  []time.Duration // by which answers are held back, by fault that goes on
	broken bool            // a watch fell silent, or a call failed, and no answer has been written since
	last   *listJSON       // the list as the sidecar was last told it, through all its lives; nil before its first
}

// watch is one open call.
type watch struct {
	waits bool                    // for news; else a plain call for the whole list
	until time.Time               // end of its wait
	hush  context.CancelCauseFunc // it is never answered
}

var errSilent = errors.New("fallen silent")

// take notes a call that has come. It is called under the lock.
func (r *registry) take(sidecar int, x *watch) {
	w := &r.watches[sidecar]
	w.open = append(w.open, x)
	if w.mute > 0 {
		x.hush(errSilent)
	}
}

func (r *registry) drop(sidecar int, x *watch) {
	r.mu.Lock()
	defer r.mu.Unlock()
	w := &r.watches[sidecar]
	w.open = slices.DeleteFunc(w.open, func(o *watch) bool { return o == x })
}

// silence lets the watches that sidecars have open fall silent without an end: their connections stay open and quiet.
// Further calls are answered.
func (r *registry) silence(sidecars []int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, n := range sidecars {
		w := &r.watches[n]
		for _, x := range w.open {
			if x.waits {
				x.hush(errSilent)
				w.broken = true
				r.observe(judge.Event{Kind: judge.Hushed, Sidecar: n, Budget: max(0, time.Until(x.until))})
			}
		}
	}
}

// late begins or ends a time in which agents answer their sidecars late, or nothing that is asked in it or waits at its
// beginning. What they have counts as told all the while.
func (r *registry) late(sidecars []int, f *scenario.Fault, begin bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, n := range sidecars {
		w := &r.watches[n]
		switch {
		case f.Silent && begin:
			w.mute++
			for _, x := range w.open {
				x.hush(errSilent)
			}
		case f.Silent:
			w.mute--
		case begin:
			w.holds = append(w.holds, f.Extra)
		default:
			if i := slices.Index(w.holds, f.Extra); i >= 0 {
				w.holds = slices.Delete(w.holds, i, i+1)
			}
		}
	}
}

// held is how long an answer to a sidecar is held back now.
func (r *registry) held(sidecar int) (by time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, d := range r.watches[sidecar].holds {
		by = max(by, d)
	}
	return by
}

// denied notes a call that fails, where its caller is still there.
func (r *registry) denied(q *http.Request, sidecar int) {
	if q.Context().Err() != nil || r.ended() {
		return
	}
	r.mu.Lock()
	r.watches[sidecar].broken = true
	r.mu.Unlock()
	r.observe(judge.Event{Kind: judge.Denied, Sidecar: sidecar})
}

// known is the list that a sidecar's process begins with, as the platform keeps it: what the process before it was last
// told, however old that is, and the registry's own for the first.
func (r *registry) known(sidecar int) listJSON {
	r.mu.Lock()
	defer r.mu.Unlock()
	w := &r.watches[sidecar]
	if w.last == nil {
		list := r.list(sidecar, r.model.Version, true, r.model.Since(0, true))
		w.last = &list
	}
	return *w.last
}

// keep takes in a list that has been written to its sidecar. Answers to calls that were out together may come in any order.
func (w *watches) keep(list listJSON) {
	if w.last == nil || list.Generation < w.last.Generation {
		return
	}
	instances := slices.Clone(list.Instances)
	if !list.Reset {
		changed := map[string]bool{}
		for _, i := range instances {
			changed[i.ID] = true
		}
		for _, i := range w.last.Instances {
			if !changed[i.ID] {
				instances = append(instances, i)
			}
		}
	}
	instances = slices.DeleteFunc(instances, func(i instanceJSON) bool { return i.Lifecycle == world.Removed.String() })
	slices.SortFunc(instances, func(a, b instanceJSON) int { return strings.Compare(a.ID, b.ID) })
	w.last = &listJSON{Generation: list.Generation, Reset: true, Instances: instances}
}

// answered notes an answer that is out.
func (r *registry) answered(sidecar int, list listJSON) {
	r.mu.Lock()
	defer r.mu.Unlock()
	w := &r.watches[sidecar]
	if w.keep(list); w.broken {
		w.broken = false
		r.observe(judge.Event{Kind: judge.Resumed, Sidecar: sidecar})
	}
}
