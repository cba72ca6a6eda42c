package sim

import (
	"bytes"
	"context"
	"fmt"
	"hash/fnv"
	"io"
	"sort"
	"strings"
	"sync"
	"time"

	"burlpass/decide"
	"burlpass/internal/lab/judge"
	"burlpass/internal/lab/stage"
	"burlpass/internal/lab/world"
	"burlpass/internal/sim/memnet"
)

// Outcome is what a played day showed.
type Outcome struct {
	Seed       uint64            `json:"seed"`
	Hash       string            `json:"hash"`   // of the trace
	Events     int               `json:"events"` // lines of the trace
	Calls      int               `json:"calls"`
	Attempts   int               `json:"attempts"`
	Worth      float64           `json:"worth"`
	Played     time.Duration     `json:"played"`
	Violations []judge.Violation `json:"violations,omitempty"`
	Trace      []string          `json:"trace,omitempty"`    // where it was asked for
	Failed     string            `json:"failed,omitempty"`   // the day could not be played, or the program crashed
	Overlaps   map[string]int    `json:"overlaps,omitempty"` // pairs of kinds of fault that went on at once
}

// block is the addresses' of every simulated day: they are in memory.
const block = 77

// Play plays a day. It wants a virtual clock around it and one thread: then the same script gives the same outcome.
// With trace the whole course is returned; it is kept in any case, so that asking for it changes nothing.
func Play(s *Script, trace bool) *Outcome {
	out := &Outcome{Seed: s.Seed, Overlaps: overlaps(s)}
	rec := &recorder{hash: fnv.New64a()}
	plan := world.Draw(s.Scenario, s.Seed)
	net := memnet.New(s.Net)
	sides := &starter{net: net, log: func(n int) io.Writer { return &logWriter{rec, n} }, module: rec.module, now: map[int]*sidecar{}}
	var own []judge.Violation // what the laboratory's judge cannot see from outside
	breach := func(n int, text string) {
		v := judge.Violation{At: rec.clock(), Rule: Inside, Sidecar: n, Text: text}
		rec.line(true, "BROKEN %v", v)
		own = append(own, v)
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	r, err := stage.Run(ctx, stage.Options{Plan: plan, Block: block, Sockets: ground{net.Host()}, Sidecars: sides, Virtual: true,
		Settings: s.Settings,
		Watch: func(e judge.Event, broken []judge.Violation) {
			rec.event(e, broken)
			if n, late := rec.heldBack(e); late {
				breach(n, "an answer that the module has chosen is held back")
			}
			if len(broken)+len(own) > 0 {
				stop() // the course up to here is what matters
			}
		}, Done: func() {
			for range 80 { // whoever left a moment ago is let go first
				if len(sides.leaks()) == 0 {
					return
				}
				time.Sleep(50 * time.Millisecond)
			}
			for _, text := range sides.leaks() {
				breach(0, text)
			}
		}})
	out.Hash = fmt.Sprintf("%016x", rec.hash.Sum64())
	out.Events = rec.lines
	if trace {
		out.Trace = rec.kept
	}
	if err != nil {
		out.Failed = err.Error()
	}
	if r != nil {
		out.Calls, out.Attempts, out.Worth, out.Played = r.Report.Calls, r.Report.Attempts, r.Report.Worth, r.Played
		out.Violations = r.Report.Violations
	}
	out.Violations = append(out.Violations, own...)
	return out
}

// Inside is the rule that a breach seen only from inside breaks: an answer held back, a call that is never let go.
const Inside judge.Rule = "inside"

// overlaps counts the pairs of faults that go on at the same time.
func overlaps(s *Script) map[string]int {
	out := map[string]int{}
	f := s.Scenario.Faults
	for i := range f {
		for j := range i {
			if f[i].At <= f[j].At+f[j].Length && f[j].At <= f[i].At+f[i].Length {
				pair := []string{f[i].Kind, f[j].Kind}
				sort.Strings(pair)
				out[pair[0]+" "+pair[1]]++
			}
		}
	}
	return out
}

// recorder writes the trace: one line for each thing that happened, in order.
type recorder struct {
	hash interface {
		io.Writer
		Sum64() uint64
	}

	mu    sync.Mutex
	now   time.Duration // of the last event, and when that was
	at    time.Time
	lines int
	kept  []string
	owed  map[int]*owed
}

// owed follows whether what a sidecar's module has chosen goes out. Finals are not told apart, so this finds what is
// held back again and again, not one among clients that leave.
type owed struct {
	chosen []time.Duration // of refusals and failures
	ended  int             // calls that ended without a 200
}

// promptly is within what an answer has to be out: network, stalls and all.
const promptly = 150 * time.Millisecond

func (r *recorder) owedBy(n int) *owed {
	if r.owed == nil {
		r.owed = map[int]*owed{}
	}
	if r.owed[n] == nil {
		r.owed[n] = &owed{}
	}
	return r.owed[n]
}

// heldBack tells whether an event shows that a sidecar holds an answer back.
func (r *recorder) heldBack(e judge.Event) (n int, late bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case e.Kind == judge.Killed, e.Kind == judge.Began, e.Kind == judge.Exited, e.Kind == judge.Termed:
		*r.owedBy(e.Sidecar) = owed{ended: 1000} // what it held is open to doubt
		if e.Kind == judge.Began {
			*r.owedBy(e.Sidecar) = owed{}
		}
	case e.Kind == judge.Quit, e.Kind == judge.GaveUp, e.Kind == judge.Ended, e.Kind == judge.Answered && e.Status != 200:
		r.owedBy(e.Sidecar).ended++
	}
	o := r.owedBy(e.Sidecar)
	return e.Sidecar, o.ended < len(o.chosen) && r.clock()-o.chosen[o.ended] > promptly
}

// clock is the day's time by the events' own and what has passed since the last.
func (r *recorder) clock() time.Duration {
	if r.at.IsZero() {
		return 0
	}
	return r.now + time.Since(r.at)
}

// line writes a line. Those that count are in the hash, whether the trace is kept or not.
func (r *recorder) line(counts bool, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	text := fmt.Sprintf("%10.6f ", r.clock().Seconds()) + fmt.Sprintf(format, args...)
	if counts {
		r.lines++
		io.WriteString(r.hash, text)
	}
	r.kept = append(r.kept, text)
}

var kinds = [...]string{"asked", "answered", "ended", "quit", "gave up", "arrived", "ran", "unrun", "closed", "probed", "told", "listed", "able",
	"fell", "killed", "termed", "exited", "began", "used", "pipelined", "bad call",
	"hushed", "denied", "resumed", "reloaded", "pushed", "stopped", "reached"}

func (r *recorder) event(e judge.Event, broken []judge.Violation) {
	r.mu.Lock()
	r.now, r.at = e.At, time.Now()
	r.mu.Unlock()
	if e.Kind == judge.Used {
		return
	}
	var b strings.Builder
	fmt.Fprintf(&b, "world  %-9s", kinds[e.Kind])
	switch e.Kind {
	case judge.Asked:
		fmt.Fprintf(&b, "call %x class %d to n%d, waits %v", e.Call, e.Class, e.Sidecar, e.Budget)
	case judge.Answered:
		fmt.Fprintf(&b, "call %x by n%d: %d, retry after %v", e.Call, e.Sidecar, e.Status, e.RetryAfter)
	case judge.Ended, judge.Quit, judge.GaveUp:
		fmt.Fprintf(&b, "call %x at n%d %s", e.Call, e.Sidecar, e.Text)
		if e.On {
			b.WriteString(" (it had been read)")
		}
	case judge.Arrived:
		fmt.Fprintf(&b, "call %x of n%d at w%03d as delegation %d %s", e.Call, e.Sidecar, e.Worker, e.Serial, e.Text)
	case judge.Ran, judge.Unrun, judge.Closed:
		fmt.Fprintf(&b, "delegation %d", e.Serial)
	case judge.Told, judge.Listed, judge.Able:
		fmt.Fprintf(&b, "w%03d to n%d: state %d, started %v, able %v", e.Worker, e.Sidecar, e.State, e.Started, e.On)
	case judge.Hushed:
		fmt.Fprintf(&b, "the watch of n%d, which may wait for %v more", e.Sidecar, e.Budget)
	default:
		fmt.Fprintf(&b, "n%d w%03d %s", e.Sidecar, e.Worker, e.Text)
	}
	r.line(true, "%s", b.String())
	for _, v := range broken {
		r.line(true, "BROKEN %v", v)
	}
}

// module writes what a sidecar's decision module was told and chose.
func (r *recorder) module(n int, e decide.Event, actions []decide.Action) {
	r.mu.Lock()
	for _, a := range actions {
		if a.Kind == decide.Refuse || a.Kind == decide.Fail {
			o := r.owedBy(n)
			o.chosen = append(o.chosen, r.clock())
		}
	}
	r.mu.Unlock()
	r.line(false, "n%d told %s", n, eventText(e))
	for _, a := range actions {
		r.line(false, "n%d   chose %s", n, actionText(a))
	}
}

func eventText(e decide.Event) string {
	names := map[decide.EventKind]string{decide.Members: "members", decide.Request: "request", decide.Outcome: "outcome", decide.ClientLeft: "left",
		decide.ProbeResult: "probed", decide.Timer: "timer"}
	text := fmt.Sprintf("%s call %d", names[e.Kind], e.ID)
	switch e.Kind {
	case decide.Members:
		text = fmt.Sprintf("list kind %d version %d:", e.List, e.Version)
		for _, s := range e.Servers {
			text += fmt.Sprintf(" %d=%d", s.ID, s.State)
		}
	case decide.Outcome:
		text += fmt.Sprintf(" attempt %d at server %d: status %d after %v, over %v", e.Attempt, e.Server, e.Status, e.Latency, e.Done)
	case decide.Request:
		text += fmt.Sprintf(" class %d budget %v", e.Class, e.Budget)
	case decide.ProbeResult:
		text = fmt.Sprintf("probed server %d: status %d %v", e.Server, e.Status, e.Load)
	case decide.Timer:
		text = fmt.Sprintf("timer %x", e.Token)
	}
	return text
}

func actionText(a decide.Action) string {
	switch a.Kind {
	case decide.Send:
		return fmt.Sprintf("send call %d to server %d for %v", a.ID, a.Server, a.Timeout)
	case decide.Refuse:
		return fmt.Sprintf("refuse call %d, back in %v", a.ID, a.Wait)
	case decide.Fail:
		return fmt.Sprintf("fail call %d", a.ID)
	case decide.Cancel:
		return fmt.Sprintf("cancel call %d attempt %d", a.ID, a.Attempt)
	case decide.Probe:
		return fmt.Sprintf("probe server %d", a.Server)
	case decide.Close:
		return fmt.Sprintf("close idle to server %d", a.Server)
	case decide.SetTimer:
		return fmt.Sprintf("wake in %v for %x", a.Wait, a.Token)
	case decide.Watch:
		return fmt.Sprintf("watch %v", a.On)
	}
	return fmt.Sprintf("kind %d %s", a.Kind, a.Text)
}

// logWriter puts a sidecar's log into the trace, without the wall clock's time.
type logWriter struct {
	rec *recorder
	n   int
}

func (w *logWriter) Write(b []byte) (int, error) {
	for text := range bytes.Lines(b) {
		if at := bytes.Index(text, []byte("level=")); at >= 0 {
			text = text[at:]
		}
		w.rec.line(true, "n%d log  %s", w.n, bytes.TrimSpace(text))
	}
	return len(b), nil
}

// Request is what the guest is asked to play: a script, or the one drawn from a seed.
type Request struct {
	Seed   uint64  `json:"seed"`
	Script *Script `json:"script,omitempty"`
	Trace  bool    `json:"trace"`
}
