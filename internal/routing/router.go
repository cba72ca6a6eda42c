// Package routing drives the decision module: it turns what happens to calls, workers and the registry into
// the module's events and carries out the actions that the module answers with. It decides nothing itself.
//
// One mutex guards the module and the tables here. Each event reads the clock, runs the module, and copies
// its actions out under that lock; what a call is to do next is put into the call's own mailbox there, so
// that orders reach it as the module gave them. No I/O is done under the lock.
package routing

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"burlpass/decide"
	"burlpass/internal/invariant"
	"burlpass/internal/maintenance"
	"burlpass/internal/protocol"
	"burlpass/internal/transport"
)

// Config is what a Router is made of.
type Config struct {
	Decide   decide.Config
	Seed     uint64
	Names    Names
	Workers  *protocol.Workers
	Network  transport.Network // on which the registry is reached
	Registry string            // its address at the start
	Log      *slog.Logger
	Out      maintenance.Set // workers taken out by hand at the start, as a process before this one left them
	Gate     Gate            // asked about every call before the module; nil for none

	Invariants *invariant.Monitor // counts what must never happen; nil: nobody counts

	// Trace is shown every event and the actions that it led to, under the lock; nil for none. It must keep neither.
	Trace func(now time.Duration, e decide.Event, actions []decide.Action, name func(decide.ServerID) string)
}

// Names holds the settings' lists of names; the module knows a name by its position.
type Names struct {
	Zones, Kinds, Classes []string
}

// worker is one booking server as the registry last described it.
type worker struct {
	id         decide.ServerID
	instanceID string
	zone       string
	peer       transport.Peer
	state      decide.State
	startedMs  int64
	listed     decide.Server // as the registry describes it, before what the operators have said of it
}

// Router owns the module and all open calls of one sidecar.
type Router struct {
	Config
	endCalls    chan struct{} // closed when requests have to end
	endOnce     sync.Once     // closes ending
	clockOrigin time.Time     // the module's clock counts from Unix time zero, on by this one's monotonic reading
	ctx         context.Context

	mu           sync.Mutex
	balancer     *decide.Balancer
	calls        map[uint64]*activeCall
	lastCall     uint64
	workerIDs    map[string]decide.ServerID // of the listed workers; a number is never given again
	lastID       decide.ServerID
	lastLife     uint64 // of workers' processes, so far
	workers      map[decide.ServerID]*worker
	upWorkers    int             // workers listed up
	unknownZones map[string]int  // zones that the settings do not name, each with a number of its own, up to mostStrange
	seenWorkers  map[string]bool // the registry's ids of workers listed since the start, up to maxSeen

	registrySource                              // where the list comes from now
	listFromOldRegistry bool                    // the list at hand came from the registry before
	generation          uint64                  // of the list at hand
	subscription        *subscription           // the watch that is going on, nil where there is none
	registrySilent      bool                    // a call has found silence, and none has succeeded since
	receivedList        bool                    // discovery has given a list since the start
	startTimes          map[string]processStart // of the instances seen, by the registry's id, up to maxSeen
	lastAnswer          time.Time               // when the registry last answered; at the start, when this began
}

// New returns a Router that knows the workers of the list known. It works until ctx is done.
func New(ctx context.Context, c Config, known *protocol.List) *Router {
	r := &Router{
		Config: c, endCalls: make(chan struct{}), clockOrigin: time.Now(), ctx: ctx, balancer: decide.New(c.Decide, c.Seed), registrySource: registrySource{addr: c.Registry},
		calls: map[uint64]*activeCall{}, workerIDs: map[string]decide.ServerID{}, workers: map[decide.ServerID]*worker{},
		seenWorkers: map[string]bool{}, unknownZones: map[string]int{}, startTimes: map[string]processStart{},
	}
	for _, id := range c.Out.IDs() {
		r.seenWorkers[id] = true
	}
	r.lastAnswer = r.clockOrigin
	r.applyList(r.registrySource, known, decide.ListCached)
	if !c.Decide.Subscribe {
		go r.followAgent()
	}
	return r
}

// Healthy tells whether a call could be served now.
func (r *Router) Healthy() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.upWorkers > 0
}

// End ends every request that is open: it gets its final answer at once, whatever its client's time, and its attempts are
// called off. The process is about to end.
func (r *Router) End() { r.endOnce.Do(func() { close(r.endCalls) }) }

// Open is the number of calls that have no answer yet.
func (r *Router) Open() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.calls)
}

// now is the module's clock, read under the lock so that it never goes back between two events.
func (r *Router) now() time.Duration {
	return time.Duration(r.clockOrigin.UnixNano()) + time.Since(r.clockOrigin)
}

// tell hands the module one event and carries out its actions.
func (r *Router) dispatch(event decide.Event) {
	r.mu.Lock()
	actions := r.handle(event)
	r.mu.Unlock()
	r.execute(actions)
}

// handle runs the module under the lock. Orders to calls are delivered at once; the rest is returned.
func (r *Router) handle(event decide.Event) []decide.Action {
	now := r.now()
	actions := r.balancer.Handle(now, event)
	if r.Trace != nil {
		r.Trace(now, event, actions, r.instanceID)
	}
	remaining := make([]decide.Action, 0, len(actions))
	for _, a := range actions {
		switch a.Kind {
		case decide.Send, decide.Refuse, decide.Fail, decide.Cancel:
			if active := r.calls[a.ID]; active != nil {
				cmd := command{Action: a}
				if w := r.workers[a.Server]; w != nil && a.Kind == decide.Send {
					cmd.peer, cmd.zone, cmd.cell = w.peer, w.listed.Zone, w.listed.Cell
				}
				active.enqueue(cmd)
			}
		case decide.Mark:
		default:
			a.Data = slices.Clone(a.Data)
			remaining = append(remaining, a)
		}
	}
	return remaining
}

// carryOut does what concerns no single call. It runs without the lock.
func (r *Router) execute(actions []decide.Action) {
	for _, a := range actions {
		switch a.Kind {
		case decide.Wake:
			time.AfterFunc(a.Wait, func() { r.dispatch(decide.Event{Kind: decide.Timer, Token: a.Token}) })
		case decide.Probe:
			go r.probe(a.Server)
		case decide.Watch:
			r.setWatch(a.On)
		case decide.Fetch:
			go r.fetchList()
		case decide.Close:
			if w := r.findWorker(a.Server); w != nil {
				r.Workers.CloseIdle(w.peer)
			}
		case decide.Log:
			r.Log.Info("decision", "text", a.Text)
		default: // sidecars have no way to talk to one another here
			r.Log.Warn("action_ignored", "kind", int(a.Kind))
		}
	}
}

// instance is the name of a listed worker. It is called under the lock.
func (r *Router) instanceID(id decide.ServerID) string {
	if w := r.workers[id]; w != nil {
		return w.instanceID
	}
	return ""
}

// worker returns a copy of what is known of a worker, nil where it is not listed.
func (r *Router) findWorker(id decide.ServerID) *worker {
	r.mu.Lock()
	defer r.mu.Unlock()
	if w := r.workers[id]; w != nil {
		copied := *w
		return &copied
	}
	return nil
}

// may tells whether an attempt may still begin: its backend is listed up, and is the process that was chosen, and it is not
// too late for a repeat. An attempt that waited for its connection asks this before it writes.
func (r *Router) mayStart(cmd command) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.isCurrentLocked(cmd.Server, cmd.peer) && (cmd.Before == 0 || r.now() < cmd.Before)
}

// still tells whether a worker is listed up, at the same address and with the same start, as when it was
// chosen. A probe that waited for its connection asks this before it writes.
func (r *Router) isCurrent(w *worker) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.isCurrentLocked(w.id, w.peer)
}

// isUp is still, under the lock.
func (r *Router) isCurrentLocked(id decide.ServerID, peer transport.Peer) bool {
	current := r.workers[id]
	return current != nil && current.state == decide.Ready && current.peer == peer
}

// probeTime bounds a probe; a worker answers one only after what waits before it.
const probeTimeout = 400 * time.Millisecond

// probe asks a worker for its load report and gives the module exactly one result.
func (r *Router) probe(id decide.ServerID) {
	event := decide.Event{Kind: decide.Probed, Server: id, Status: decide.ConnectFailed}
	startedAt := time.Now()
	if w := r.findWorker(id); w != nil {
		a := r.Workers.Start(w.peer, protocol.Probe(), startedAt.Add(probeTimeout), probeGuard{r, w}, protocol.Return{})
		timer := time.AfterFunc(probeTimeout, a.Abort)
		result := <-a.Done
		onTime := timer.Stop()
		switch {
		case result.Err == nil && a.Reply.Kind == protocol.ReplyServed:
			event.Status, event.Load = decide.OK, a.Reply.Load
		case result.Err == nil && a.Reply.Kind == protocol.ReplyFull:
			event.Status = decide.Full
		case result.Err == nil:
			event.Status = decide.Errored
		default:
			event.Status = failureStatus(result, !onTime)
		}
	}
	event.Latency = time.Since(startedAt)
	r.dispatch(event)
}
