// Package crowd plays crowds of hostile clients against one real sidecar with little memory, few descriptors and a share of a
// core. It measures the peak of the process's memory, as the system counts it, and what ordinary clients beside the crowd get.
package crowd

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Limits are what the sidecar's settings grant it, and what the play holds it to.
type Limits struct {
	Cores    float64
	Granted  float64 // cores in fact, where that is less than the settings say; 0 for Cores
	MemoryMB int
	Sockets  int
}

// StandardLimits are the least that the operators' pages name.
var StandardLimits = Limits{Cores: 0.25, MemoryMB: 48, Sockets: 1024}

// LeastMemoryMB is the least memory in which a crowd may use all of the limit, but not more.
const LeastMemoryMB = 32

// grantedCores returns the share of a core that the sidecar gets in fact.
func (l Limits) grantedCores() float64 {
	if l.Granted > 0 {
		return l.Granted
	}
	return l.Cores
}

// memoryShare is the share of the limit that a process may use where the limit is above LeastMemoryMB.
const memoryShare = 0.8

// MaxPeak returns the bytes that the processes may have resident.
func (l Limits) MaxPeak() int64 {
	limit := int64(l.MemoryMB) << 20
	if l.MemoryMB <= LeastMemoryMB {
		return limit
	}
	return int64(memoryShare * float64(limit))
}

// Event is something that happens to the sidecar during a play.
type Event struct {
	At   time.Duration
	What Action
}

// Action is a kind of event.
type Action string

// The actions.
const (
	KillSeries Action = "kill-series" // SIGKILL and a new process, several times in a row
	Reload     Action = "reload"      // SIGHUP
	Upgrade    Action = "upgrade"     // a second process, then SIGTERM to the first, and SIGKILL at the earliest moment allowed
	Restart    Action = "restart"     // SIGTERM, SIGKILL at the earliest moment allowed, and a new process

	TermSeries       Action = "term-series"        // as Restart, with SIGTERM three times
	ReloadAndRestart Action = "reload-and-restart" // SIGHUP, then at once as Restart
)

var actions = []Action{KillSeries, Reload, Upgrade, Restart, TermSeries, ReloadAndRestart}

const (
	backendCount     = 12
	killsPerSeries   = 5
	restartDelay     = time.Second            // between the end of a process and the start of the next
	killDelay        = 400 * time.Millisecond // between the start of a process and its SIGKILL within a series
	termsPerSeries   = 2                      // behind the first
	termInterval     = 150 * time.Millisecond // between two SIGTERM of a series
	killAfterTerm    = 3700 * time.Millisecond
	connectAfterTerm = 400 * time.Millisecond // for which new connections are owed an answer after SIGTERM
)

// Options describe one play.
type Options struct {
	Program []string // the sidecar and its arguments
	Dir     string   // for the configuration and the log
	Limits  Limits
	Kinds   []Kind // the crowd's clients are divided evenly among them
	Clients int    // of the crowd
	Floods  []Flood
	Load    Load // of ordinary clients; StandardLoad where it has no clients
	Length  time.Duration
	Events  []Event
}

// Result is what a play has shown.
type Result struct {
	Peak     int64        // bytes: the largest high-water mark, of processes that ran together the sum
	Ordinary Tally        // of the clients beside the crowd
	Flooded  atomic.Int64 // bytes that floods were sent
	Ended    []string

	LateAttempts int64   // that reached a backend too long after their clients had left
	Waited       float64 // for a processor that the machine gave to others, as a share of the time that the limits grant
}

// The share of ordinary requests that are to be served while the processor suffices.
const (
	minServedShare      = 0.9
	minServedShareSmall = 0.75 // where the sidecar gets less than smallCores
	smallCores          = 0.3
)

// Faults lists what the operators' pages do not allow.
func (r *Result) Faults(limits Limits) (faults []string) {
	if r.Peak > limits.MaxPeak() {
		faults = append(faults, fmt.Sprintf("peak %.1f MB, at most %.1f MB are allowed", megabytes(r.Peak), megabytes(limits.MaxPeak())))
	}
	if len(r.Ended) > 0 {
		faults = append(faults, fmt.Sprintf("a process ended by itself: %v", r.Ended))
	}
	if r.Ordinary.Lost > 0 {
		faults = append(faults, fmt.Sprintf("%d of %d ordinary requests got no answer in time, such as %q", r.Ordinary.Lost, r.Ordinary.Sent, r.Ordinary.Losses))
	}
	if r.LateAttempts > 0 {
		faults = append(faults, fmt.Sprintf("%d attempts more than %v after the close of their clients", r.LateAttempts, maxAttemptDelay))
	}
	return faults
}

// maxWaited is the share of the granted processor time that the process may have waited for. Beyond it, the machine was too busy to
// grant it, and the play says nothing of how much a sidecar serves.
const maxWaited = 0.2

// ServedEnough reports whether enough ordinary requests were served, or the machine was too busy to tell.
func (r *Result) ServedEnough() bool {
	return r.servedShare(minServedShare)
}

// servedShare reports whether at least the given share of the ordinary requests was served, or the machine was too busy to tell.
func (r *Result) servedShare(least float64) bool {
	return float64(r.Ordinary.Served) >= least*float64(r.Ordinary.Sent) || r.Waited > maxWaited
}

// ServiceFaults lists what ordinary clients did not get in a play of floods alone.
func (o *Options) ServiceFaults(r *Result) (faults []string) {
	if len(o.Floods) == 0 || len(o.Kinds) > 0 || len(o.Events) > 0 {
		return nil
	}
	least := minServedShare
	if o.Limits.grantedCores() < smallCores {
		least = minServedShareSmall
	}
	if !r.servedShare(least) {
		faults = append(faults, fmt.Sprintf("%d of %d ordinary requests were served", r.Ordinary.Served, r.Ordinary.Sent))
	}
	return faults
}

// String describes the result in one line.
func (r *Result) String() string {
	t := r.Ordinary
	return fmt.Sprintf("peak %.1f MB; %d ordinary requests: %d served (p50 %v, p99 %v), %d refused, %d failed, %d lost; floods got %.1f MB; waited for %.0f%% of its processor time",
		megabytes(r.Peak), t.Sent, t.Served, t.Percentile(0.5).Round(time.Millisecond), t.Percentile(0.99).Round(time.Millisecond), t.Refused, t.Failed, t.Lost,
		megabytes(r.Flooded.Load()), 100*r.Waited)
}

func megabytes(bytes int64) float64 { return float64(bytes) / (1 << 20) }

// Play runs one play.
func Play(ctx context.Context, o Options) (*Result, error) {
	w, err := newWorld(backendCount)
	if err != nil {
		return nil, err
	}
	defer w.close()
	w.eager = slices.ContainsFunc(o.Floods, func(f Flood) bool { return f.Kind == DiscoveryLists })
	s, err := newSidecar(o, w)
	if err != nil {
		return nil, err
	}
	defer s.close()
	if _, err := s.start(ctx); err != nil {
		return nil, err
	}
	playCtx, stop := context.WithTimeout(ctx, o.Length)
	defer stop()
	result := &Result{}
	var mu sync.Mutex
	var playing sync.WaitGroup
	load := o.Load
	if load.Clients == 0 {
		load = StandardLoad
	}
	for range load.Clients {
		client := &ordinary{addr: s.addr, load: load, mu: &mu, tally: &result.Ordinary, alive: s.alive.Load, accepting: s.accepting.Load, kills: s.kills.Load}
		playing.Go(func() { client.run(playCtx) })
	}
	for _, kind := range o.crowd() {
		playing.Go(func() { hostileClient(playCtx, s.addr, kind) })
	}
	for _, flood := range o.Floods {
		if flood.Kind == DiscoveryLists {
			continue
		}
		address := func() string { return s.addr }
		if flood.Kind == OperatorStats {
			address = s.operatorAddress
		}
		playing.Go(func() { flood.run(playCtx, address, &result.Flooded, &w.departures) })
	}
	monitorCtx, stopMonitor := context.WithCancel(ctx)
	var monitoring sync.WaitGroup
	monitoring.Go(func() { s.monitor(monitorCtx) })
	err = s.playEvents(playCtx, o.Events)
	playing.Wait()
	result.Waited = s.processorWait().Seconds() / (o.Limits.grantedCores() * o.Length.Seconds())
	stopMonitor()
	monitoring.Wait()
	result.LateAttempts = w.departures.late.Load()
	result.Peak, result.Ended = s.peak, s.unexpectedEnds()
	return result, err
}

// crowd returns the kind of each hostile client. A flood is a single client; the others are divided evenly among the other kinds.
func (o *Options) crowd() (crowd []Kind) {
	var others []Kind
	for _, kind := range o.Kinds {
		if kind.flood() {
			crowd = append(crowd, kind)
		} else {
			others = append(others, kind)
		}
	}
	for i := 0; len(others) > 0 && len(crowd) < o.Clients; i++ {
		crowd = append(crowd, others[i%len(others)])
	}
	return crowd
}

// playEvents carries out the events at their times.
func (s *sidecar) playEvents(ctx context.Context, events []Event) error {
	start := time.Now()
	for _, event := range events {
		sleep(ctx, time.Until(start.Add(event.At)))
		if ctx.Err() != nil {
			return nil
		}
		if err := s.carryOut(ctx, event.What); err != nil && ctx.Err() == nil {
			return fmt.Errorf("%s at %v: %w", event.What, event.At, err)
		}
	}
	return nil
}

func (s *sidecar) carryOut(ctx context.Context, action Action) error {
	running := s.running()
	if len(running) == 0 {
		return nil // it has ended by itself, which the result tells
	}
	current := running[len(running)-1]
	switch action {
	case Reload:
		current.signal(syscall.SIGHUP)
	case KillSeries:
		for range killsPerSeries {
			s.alive.Store(false)
			s.kills.Add(1)
			current.end(syscall.SIGKILL)
			sleep(ctx, restartDelay)
			var err error
			if current, err = s.start(ctx); err != nil {
				return err
			}
			sleep(ctx, killDelay)
		}
	case Upgrade:
		if _, err := s.start(ctx); err != nil {
			return err
		}
		s.terminate(ctx, current)
	case Restart, TermSeries, ReloadAndRestart: // what is sent until the end on connections that stay open is owed its answer
		switch action {
		case ReloadAndRestart:
			current.signal(syscall.SIGHUP)
		case TermSeries:
			for i := range termsPerSeries {
				time.AfterFunc(time.Duration(i+1)*termInterval, func() { current.signal(syscall.SIGTERM) })
			}
		}
		time.AfterFunc(connectAfterTerm, func() { s.accepting.Store(false) })
		s.terminate(ctx, current)
		_, err := s.start(ctx)
		return err
	}
	return nil
}

// terminate asks a process to end, and kills it once the platform may.
func (s *sidecar) terminate(ctx context.Context, p *process) {
	p.expected.Store(true)
	p.signal(syscall.SIGTERM)
	select {
	case <-p.done:
	case <-time.After(killAfterTerm):
		p.end(syscall.SIGKILL)
	case <-ctx.Done():
		p.end(syscall.SIGKILL)
	}
}

// settings are the platform's, of a deployment whose longest deadline is 3 s.
const settings = `{"balancers":4,"ordinal":0,"period_us":5000,"zone":0,"zones":["hall-a","hall-b"],
"machine_types":["new"],"discovery":"subscribe","weights":"rough","tenants":[],
"ceilings":{"cancelling":true,"connect_timeout_us":250000,"idle_close_us":5000000,"max_attempts":3,
 "max_retry_after_us":1500000,"may_duplicate":false,"probing":false,"retry_after":true},
"report":{"columns":["util"],"via":"pull"},
"safety":{"answer_slack_us":20000,"ask_within_us":10000000,"drain_grace_us":750000,"fall_multiple":2.5,
 "start_capacity":0.14,"tip_after_us":1000000,"warm_after_us":24000000},
"classes":[
 {"name":"availability","repeat":"safe","aim_us":600000,"deadline_us":3000000,"importance":1.0,"late_worth":0.2},
 {"name":"booking","repeat":"unsafe","aim_us":1000000,"deadline_us":3000000,"importance":5.0,"late_worth":0.3}]}`
