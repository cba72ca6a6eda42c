// Package routing connects the balancer (package decide) to the network: it turns what happens to calls, workers and
// the registry into the balancer's events and executes the actions that the balancer returns. It decides nothing itself.
//
// A worker is a backend server, a call is a client's request, and the registry is the service discovery.
//
// One mutex guards the balancer and the tables here. Each event reads the clock, runs the balancer and copies its
// actions under that lock. Commands to a call enter the call's own queue under the same lock, so the call receives them
// in the order in which the balancer issued them. No I/O is done under the lock.
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

// Config holds the settings and dependencies of a Router.
type Config struct {
	Decide   decide.Config
	Seed     uint64
	Names    Names
	Workers  *protocol.Workers
	Network  transport.Network // used to reach the registry
	Registry string            // initial address of the registry
	Log      *slog.Logger
	Out      maintenance.Set // workers and zones initially disabled by operators, as stored by the previous process
	Gate     Gate            // asked about every call before the balancer; nil for none

	Invariants *invariant.Monitor // counts violations; nil disables counting

	// Trace is called under the lock with every event and the resulting actions; nil for none. It must not retain either.
	Trace func(now time.Duration, e decide.Event, actions []decide.Action, name func(decide.ServerID) string)
}

// Names holds the lists of names from the settings. The balancer identifies a name by its position.
type Names struct {
	Zones, Kinds, Classes []string
}

// worker is a worker as the registry last described it.
type worker struct {
	id         decide.ServerID
	instanceID string
	zone       string
	peer       transport.Peer
	state      decide.State
	superseded bool // a later process has its address
	startedMs  int64
	listed     decide.Server // as described by the registry, without the operators' changes
}

// Router owns the balancer and all open calls of one sidecar.
type Router struct {
	Config
	endCalls    chan struct{} // closed to end all open calls
	endOnce     sync.Once     // guards the closing of endCalls
	clockOrigin time.Time     // the balancer's clock is this Unix time plus the monotonic time since
	ctx         context.Context

	mu           sync.Mutex
	balancer     *decide.Balancer
	calls        map[uint64]*activeCall
	lastCall     uint64
	workerIDs    map[string]decide.ServerID // by the registry's ID, listed workers only; IDs are never reused
	lastID       decide.ServerID
	lastLife     uint64 // last number given to a worker process
	workers      map[decide.ServerID]*worker
	upWorkers    int             // number of workers that may be chosen
	unknownZones map[string]int  // numbers of zones missing from the settings, at most maxUnknownZones
	seenWorkers  map[string]bool // registry IDs of workers listed since the start, at most maxSeenWorkers

	registrySource                         // the current registry
	listEpoch      int                     // epoch of the registry that sent the current list
	anyGeneration  bool                    // the next full list is applied whatever its generation
	generation     uint64                  // of the current list
	subscription   *subscription           // the active watch, or nil
	superseded     []*subscription         // watches on earlier registries whose exchange is under way, oldest first
	registrySilent bool                    // an exchange with the current registry timed out, and none has succeeded since
	receivedList   bool                    // the registry has sent a list since the start
	startTimes     map[string]processStart // by the registry's ID, at most maxSeenWorkers
	lastAnswer     time.Time               // when the registry last answered; initially the start of the router
}

// New returns a Router that starts with the workers of the list known. It runs until ctx is done.
func New(ctx context.Context, c Config, known *protocol.List) *Router {
	r := &Router{
		Config: c, endCalls: make(chan struct{}), clockOrigin: time.Now(), ctx: ctx,
		balancer: decide.New(c.Decide, c.Seed), registrySource: registrySource{addr: c.Registry},
		calls: map[uint64]*activeCall{}, workerIDs: map[string]decide.ServerID{}, workers: map[decide.ServerID]*worker{},
		seenWorkers: map[string]bool{}, unknownZones: map[string]int{}, startTimes: map[string]processStart{},
	}
	r.rememberWorkers(c.Out.WorkerIDs())
	r.lastAnswer = r.clockOrigin
	r.applyList(r.registrySource, known, decide.ListCached)
	if !c.Decide.Subscribe {
		go r.followAgent()
	}
	return r
}

// Healthy reports whether at least one worker may be chosen.
func (r *Router) Healthy() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.upWorkers > 0
}

// EndCalls ends all open calls because the process is about to exit: each call gets its final answer at once, however much
// time its client has left, and its attempts are aborted.
func (r *Router) EndCalls() { r.endOnce.Do(func() { close(r.endCalls) }) }

// OpenCalls returns the number of calls that have no answer yet.
func (r *Router) OpenCalls() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.calls)
}

// now returns the balancer's time. It is read under the lock so that it never goes back between two events.
func (r *Router) now() time.Duration {
	return time.Duration(r.clockOrigin.UnixNano()) + time.Since(r.clockOrigin)
}

// dispatch passes one event to the balancer and executes the resulting actions.
func (r *Router) dispatch(event decide.Event) {
	r.mu.Lock()
	actions := r.handle(event)
	r.mu.Unlock()
	r.execute(actions)
}

// handle runs the balancer. Commands to calls are queued at once; the remaining actions are returned.
// The caller holds r.mu.
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

// execute performs the actions that concern no single call. The caller must not hold r.mu.
func (r *Router) execute(actions []decide.Action) {
	for _, a := range actions {
		switch a.Kind {
		case decide.SetTimer:
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
		default: // such as messages to other sidecars, for which there is no channel
			r.Log.Warn("action_ignored", "kind", int(a.Kind))
		}
	}
}

// instanceID returns the registry's ID of a listed worker, or "". The caller holds r.mu.
func (r *Router) instanceID(id decide.ServerID) string {
	if w := r.workers[id]; w != nil {
		return w.instanceID
	}
	return ""
}

// findWorker returns a copy of the entry of a listed worker, or nil.
func (r *Router) findWorker(id decide.ServerID) *worker {
	r.mu.Lock()
	defer r.mu.Unlock()
	if w := r.workers[id]; w != nil {
		copied := *w
		return &copied
	}
	return nil
}

// mayStart reports whether an attempt may still start: its worker is listed up and is the process that was chosen, and
// the time limit for a repeat has not passed. An attempt that waited for its connection checks this before it writes.
func (r *Router) mayStart(cmd command) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.isCurrentLocked(cmd.Server, cmd.peer) && (cmd.SendBefore == 0 || r.now() < cmd.SendBefore)
}

// isCurrent reports whether a worker is listed up with the address and start time that it had when it was chosen.
// A probe that waited for its connection checks this before it writes.
func (r *Router) isCurrent(w *worker) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.isCurrentLocked(w.id, w.peer)
}

// isCurrentLocked is isCurrent for callers that hold r.mu.
func (r *Router) isCurrentLocked(id decide.ServerID, peer transport.Peer) bool {
	current := r.workers[id]
	return current != nil && current.state == decide.Ready && current.peer == peer
}

// probeTimeout bounds a probe, including the time that it waits in the worker's queue.
const probeTimeout = 400 * time.Millisecond

// probe asks a worker for its load report and dispatches exactly one result to the balancer.
func (r *Router) probe(id decide.ServerID) {
	event := decide.Event{Kind: decide.ProbeResult, Server: id, Status: decide.ConnectFailed}
	startedAt := time.Now()
	if w := r.findWorker(id); w != nil {
		a := r.Workers.Start(w.peer, protocol.Probe(), startedAt.Add(probeTimeout), probeGuard{r, w}, protocol.ResultTarget{})
		timer := time.AfterFunc(probeTimeout, a.Abort)
		result := <-a.Done
		onTime := timer.Stop()
		if result.Rest != nil { // the load report is in the head
			result.Rest.Close(false)
		}
		if result.Err == nil {
			defer a.Reply.Release()
		}
		switch {
		case result.Err == nil && a.Reply.Kind == protocol.ReplyServed:
			event.Status, event.Load = decide.OK, a.Reply.Load
		case result.Err == nil && a.Reply.Kind == protocol.ReplyNeverRan:
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
