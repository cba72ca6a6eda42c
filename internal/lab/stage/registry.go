package stage

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"burlpass/internal/lab/judge"
	"burlpass/internal/lab/world"
)

// registry serves the model of the registry over HTTP, at addresses of each sidecar's own.
type registry struct {
	*stage
	mu      sync.Mutex
	model   *world.Registry
	changed chan struct{} // closed and replaced at each change of the list
	failed  chan struct{} // closed when the service goes down
	timer   *time.Timer
	servers []*http.Server
	watches []watches // by sidecar
}

func newRegistry(s *stage) *registry {
	c := s.plan.Registry
	return &registry{stage: s, model: world.NewRegistry(c.Notice, c.Silent, c.Capacity, c.Timeout),
		changed: make(chan struct{}), failed: make(chan struct{}), watches: make([]watches, len(s.plan.Sidecar))}
}

func (r *registry) start() error {
	for i := range r.plan.Sidecar {
		for _, second := range []bool{false, true} {
			ln, err := r.sockets.Listen(r.net.registry(i, second))
			if err != nil {
				return err
			}
			server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) { r.serve(w, q, i) }),
				ReadHeaderTimeout: 10 * time.Second}
			r.servers = append(r.servers, server)
			r.work.Go(func() { server.Serve(ln) })
		}
	}
	return nil
}

func (r *registry) stop() {
	for _, s := range r.servers {
		s.Close()
	}
}

// change tells the model of a change in the world.
func (r *registry) change(e world.Entry, silent bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.model.Change(r.now(), e, silent)
	r.arm()
}

func (r *registry) lag(by time.Duration, on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.model.Lag(by, on)
}

func (r *registry) fail(on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.model.Fail(on)
	r.observe(judge.Event{Kind: judge.Reached, On: !r.model.IsDown()})
	if r.model.IsDown() {
		close(r.failed)
		r.failed = make(chan struct{})
		return
	}
	r.advance()
	for n, p := range r.sidecars {
		if p.runs() {
			r.holds(n)
		}
	}
}

func (r *registry) arm() {
	if at, ok := r.model.Due(); ok {
		wait := max(0, at-r.now())
		if r.timer == nil {
			r.timer = time.AfterFunc(wait, r.tick)
		} else {
			r.timer.Reset(wait)
		}
	}
}

func (r *registry) tick() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.advance()
}

// advance brings the list up to date. What is pushed has been told by that; agents get nothing while the registry is
// down. It is called under the lock.
func (r *registry) advance() {
	if r.plan.Registry.Pushed && r.model.IsDown() {
		return
	}
	if changed := r.model.Advance(r.now()); len(changed) > 0 {
		for _, e := range changed {
			r.observe(judge.Event{Kind: judge.Listed, Worker: e.Worker, State: uint8(e.State), Started: e.Started})
			for n := range r.plan.Sidecar {
				if r.plan.Registry.Pushed {
					r.told(n, e)
				}
			}
		}
		close(r.changed)
		r.changed = make(chan struct{})
	}
	r.arm()
}

func (r *registry) told(sidecar int, e world.Entry) {
	r.observe(judge.Event{Kind: judge.Told, Sidecar: sidecar, Worker: e.Worker, State: uint8(e.State), Started: e.Started})
}

// begun notes what the agent beside a sidecar that has begun holds.
func (r *registry) begun(sidecar int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.holds(sidecar)
}

// holds notes what the agent beside a sidecar holds: it counts as told, to a process that begins while the agent is silent
// from its return on. It is called under the lock.
func (r *registry) holds(sidecar int) {
	if !r.plan.Registry.Pushed || r.model.IsDown() {
		return
	}
	for _, e := range r.model.Since(0, false) {
		r.told(sidecar, e)
	}
}

type instanceJSON struct {
	ID        string  `json:"instanceId"`
	Addr      string  `json:"hostPort"`
	Zone      string  `json:"zone"`
	Kind      string  `json:"machineType"`
	Cell      int     `json:"cell"`
	Lifecycle string  `json:"lifecycle"`
	Weight    float64 `json:"weight"`
	StartedMs int64   `json:"startedAtMs"`
}

type listJSON struct {
	Generation uint64         `json:"generation"`
	Reset      bool           `json:"reset"`
	Instances  []instanceJSON `json:"instances"`
}

// list writes entries as one sidecar sees them.
func (r *registry) list(sidecar int, version uint64, whole bool, entries []world.Entry) listJSON {
	out := listJSON{Generation: version, Reset: whole, Instances: []instanceJSON{}}
	for _, e := range entries {
		spec := r.plan.Fleet[e.Worker]
		i := instanceJSON{ID: "s-" + spec.Name, Addr: r.net.worker(sidecar, r.slots[e.Worker]), Zone: r.plan.Halls[spec.Hall],
			Kind: r.plan.Kinds[spec.Kind].Name, Cell: spec.Cell, Lifecycle: e.State.String(), Weight: float64(r.plan.Kinds[spec.Kind].Cores)}
		if e.Started >= 0 {
			i.StartedMs = r.hosts[e.Worker].stamp.Load() - r.plan.Registry.Clock.Milliseconds()
		}
		out.Instances = append(out.Instances, i)
	}
	return out
}

// serve answers a plain call with the whole list, and a watch once there is something newer.
func (r *registry) serve(w http.ResponseWriter, q *http.Request, sidecar int) {
	if q.URL.Path != "/catalog/members" {
		http.NotFound(w, q)
		return
	}
	since, err := strconv.ParseUint(q.URL.Query().Get("since"), 10, 64)
	watched := err == nil
	ms, _ := strconv.Atoi(q.URL.Query().Get("timeout_ms"))
	wait := time.Duration(min(ms, 60_000)) * time.Millisecond
	ctx, hush := context.WithCancelCause(q.Context())
	defer hush(nil)
	call := &watch{waits: watched, until: time.Now().Add(wait), hush: hush}
	r.mu.Lock()
	r.take(sidecar, call)
	pushed, down := r.plan.Registry.Pushed, r.model.IsDown()
	at, ok := r.now(), true
	if !pushed {
		at, ok = r.model.Call(at)
	}
	failed := r.failed
	r.mu.Unlock()
	defer r.drop(sidecar, call)
	if pushed && down {
		r.hush(q.Context(), sidecar, call)
	}
	taken := r.rest(ctx, at-r.now(), failed)
	if context.Cause(ctx) == errSilent {
		r.hush(q.Context(), sidecar, call)
	}
	if !taken || !ok {
		r.denied(q, sidecar)
		http.Error(w, "unavailable", http.StatusServiceUnavailable)
		return
	}
	limit := time.NewTimer(wait)
	defer limit.Stop()
	r.mu.Lock()
	call.until = time.Now().Add(wait)
	r.mu.Unlock()
	for {
		r.mu.Lock()
		version, changed := r.model.Version, r.changed
		whole := !watched || since > version
		entries := r.model.Since(since, whole)
		r.mu.Unlock()
		if !watched || whole || len(entries) > 0 || !r.until(ctx, changed, failed, limit.C) {
			hold := r.held(sidecar)
			if context.Cause(ctx) == errSilent || hold > 0 && !r.rest(ctx, hold, nil) {
				r.hush(q.Context(), sidecar, call)
			}
			select {
			case <-failed:
				if pushed {
					r.hush(q.Context(), sidecar, call)
				}
				r.denied(q, sidecar)
				panic(http.ErrAbortHandler) // a watch ends with its service
			default:
			}
			r.tell(w, sidecar, r.list(sidecar, version, whole, entries), entries)
			return
		}
	}
}

// hush says nothing until the caller goes: an agent that has fallen silent forgets the calls that waited.
func (r *registry) hush(ctx context.Context, sidecar int, call *watch) {
	r.drop(sidecar, call)
	select {
	case <-ctx.Done():
	case <-r.over:
	}
	panic(http.ErrAbortHandler)
}

func (r *registry) rest(ctx context.Context, d time.Duration, failed <-chan struct{}) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
	case <-failed:
	case <-r.over:
	}
	return false
}

// until waits for a change; it returns false where there is something else to answer first.
func (r *registry) until(ctx context.Context, changed, failed <-chan struct{}, limit <-chan time.Time) bool {
	select {
	case <-changed:
		return true
	case <-limit:
	case <-ctx.Done():
	case <-failed:
	case <-r.over:
	}
	return false
}

func (r *registry) tell(w http.ResponseWriter, sidecar int, list listJSON, entries []world.Entry) {
	w.Header().Set("Content-Type", "application/json")
	e := json.NewEncoder(w)
	if r.plan.Seed%2 == 1 { // lists may come indented
		e.SetIndent("", "  ")
	}
	if err := e.Encode(list); err != nil {
		return
	}
	if http.NewResponseController(w).Flush() != nil {
		return
	}
	for _, e := range entries {
		if !r.plan.Registry.Pushed {
			r.told(sidecar, e)
		}
	}
	r.answered(sidecar, list)
}
