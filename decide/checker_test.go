package decide

import (
	"math/rand/v2"
	"slices"
	"sort"
	"testing"
	"time"
)

const ms = time.Millisecond

// testConfig is a deployment with two zones and one class of each effect and group.
func testConfig() Config {
	class := func(e Effect, g Group, worth float64) Class {
		return Class{Aim: 400 * ms, Deadline: 1500 * ms, Worth: worth, Effect: e, Group: g, Window: 700 * ms}
	}
	return Config{
		Balancers: 10, Tick: 5 * ms, OverShareWorth: 1,
		Classes: []Class{class(Safe, GroupAll, 1), class(Keyed, GroupAll, 3), class(Keyed, GroupZone, 3),
			class(Keyed, GroupCell, 10), class(Unsafe, GroupAll, 5)},
		Safety: Safety{AnswerSlack: 20 * ms, DrainGrace: 500 * ms, FallMultiple: 3, OverloadWindow: time.Second,
			StartShare: 0.25, WarmAfter: 10 * time.Second},
		Limits: Limits{Cancel: true, Probe: true, SecondCopies: true, RetryAfter: true, MaxAttempts: 4,
			MaxRetryAfter: 2 * time.Second},
		Prices:    Prices{CrossZone: 0.1},
		IdleClose: 5 * time.Second,
	}
}

// testServers returns n ready servers in two zones and in cells of three.
func testServers(n int) []Server {
	list := make([]Server, n)
	for i := range list {
		zone := i % 2
		list[i] = Server{ID: ServerID(100 + i), Zone: zone, Cell: 10*zone + i/6, State: Ready, Nominal: 1}
	}
	return list
}

// checkedAttempt is an attempt as the checker sees it.
type checkedAttempt struct {
	server     Server
	sentAt     time.Duration
	open       bool
	mayHaveRun bool
	endsAt     time.Duration // when its outcome is due
	status     Status
}

// checkedRequest is a request as the checker sees it.
type checkedRequest struct {
	class    Class
	deadline time.Duration
	attempts []*checkedAttempt
	done     bool
}

// checker simulates clients and servers and checks every action against the safety rules. It has its own model and
// does not use the state of the Balancer.
type checker struct {
	t        *testing.T
	c        Config
	b        *Balancer
	rng      *rand.Rand
	now      time.Duration
	listed   map[ServerID]Server
	requests map[uint64]*checkedRequest
	timers   []Event // Latency holds the time at which the event is due
	sends    int
	answers  int
	outcome  func(s Server) (time.Duration, Status)
	observe  func(e Event, actions []Action) // called with every event and its actions; may be nil
}

func newChecker(t *testing.T, c Config, seed uint64) *checker {
	return &checker{t: t, c: c, b: New(c, seed), rng: rand.New(rand.NewPCG(seed, 1)), now: time.Hour,
		listed: map[ServerID]Server{}, requests: map[uint64]*checkedRequest{},
		outcome: func(Server) (time.Duration, Status) { return 50 * ms, OK }}
}

// event passes an event to the Balancer and checks the resulting actions.
func (k *checker) event(e Event) {
	if e.Kind == Members && e.List != ListFailed {
		if e.List != ListDelta {
			k.listed = map[ServerID]Server{}
		}
		for _, s := range e.Servers {
			k.listed[s.ID] = s
			if s.State == Gone {
				delete(k.listed, s.ID)
			}
		}
	}
	actions := k.b.Handle(k.now, e)
	if k.observe != nil {
		k.observe(e, actions)
	}
	for _, a := range actions {
		k.action(a)
	}
}

// action checks an action against the rules and applies it to the model.
func (k *checker) action(a Action) {
	t, r := k.t, k.requests[a.ID]
	switch a.Kind {
	case Send, Refuse, Fail, Cancel:
		if r == nil {
			t.Fatalf("action %+v for an unknown request", a)
		}
	}
	switch a.Kind {
	case Send:
		k.sends++
		s, ok := k.listed[a.Server]
		if !ok || s.State != Ready {
			t.Errorf("%v: sent to a server in state %v", k.now, s.State)
		}
		if r.done || k.now >= r.deadline {
			t.Errorf("%v: sent after the request was done", k.now)
		}
		if len(r.attempts) >= k.c.Limits.MaxAttempts {
			t.Errorf("%v: attempt %d exceeds the limit", k.now, len(r.attempts)+1)
		}
		var before time.Duration // the end of the deduplication window, if there is one
		if r.class.Effect == Keyed && k.c.Limits.SecondCopies {
			before = k.now + r.class.Window
		}
		for _, try := range slices.Backward(r.attempts) {
			if (try.open || try.mayHaveRun) && r.class.Effect == Keyed {
				before = try.sentAt + r.class.Window
			}
		}
		if a.SendBefore != before {
			t.Errorf("%v: send before %v, want %v", k.now, a.SendBefore, before)
		}
		for _, try := range r.attempts {
			if try.open && !k.c.Limits.SecondCopies {
				t.Errorf("%v: second copy", k.now)
			}
			if !try.open && !try.mayHaveRun || r.class.Effect == Safe {
				continue
			}
			lawful := r.class.Effect == Keyed && k.now < try.sentAt+r.class.Window &&
				(r.class.Group == GroupAll || r.class.Group == GroupZone && s.Zone == try.server.Zone ||
					r.class.Group == GroupCell && s.Cell == try.server.Cell)
			if !lawful {
				t.Errorf("%v: may take effect twice: %+v after %+v", k.now, s, *try)
			}
		}
		after, status := k.outcome(s)
		try := &checkedAttempt{server: s, sentAt: k.now, open: true, endsAt: k.now + after, status: status}
		if a.Timeout > 0 && try.endsAt > k.now+a.Timeout {
			try.endsAt, try.status = k.now+a.Timeout, TimedOut
		}
		if try.endsAt >= r.deadline {
			try.endsAt, try.status = r.deadline, TimedOut
		}
		r.attempts = append(r.attempts, try)
	case Refuse:
		for _, try := range r.attempts {
			if (try.open || try.mayHaveRun) && r.class.Effect != Safe &&
				!(r.class.Effect == Keyed && r.class.Group == GroupAll) {
				t.Errorf("%v: refused although it may have run", k.now)
			}
		}
		k.final(r)
	case Fail:
		k.final(r)
	case Cancel:
		if a.Attempt >= len(r.attempts) {
			t.Fatalf("%v: cancelled an unknown attempt", k.now)
		}
		if try := r.attempts[a.Attempt]; try.open && k.c.Limits.Cancel {
			try.endsAt, try.status = k.now, Cancelled
		}
	case SetTimer:
		k.timers = append(k.timers, Event{Kind: Timer, Token: a.Token, Latency: k.now + a.Wait})
	case Probe:
		if _, ok := k.listed[a.Server]; !ok || !k.c.Limits.Probe {
			t.Errorf("%v: unexpected probe of server %d", k.now, a.Server)
		}
		k.timers = append(k.timers, Event{Kind: ProbeResult, Server: a.Server, Status: Status(k.rng.IntN(2)),
			Latency: k.now + 3*ms})
	}
}

// final records the final answer of a request.
func (k *checker) final(r *checkedRequest) {
	if r.done {
		k.t.Errorf("%v: second final answer", k.now)
	}
	if k.now > r.deadline+k.c.Safety.AnswerSlack {
		k.t.Errorf("%v: answered after the deadline", k.now)
	}
	r.done = true
	k.answers++
}

// step advances the clock by a tick and delivers the events that are due, timers first.
func (k *checker) step() {
	k.now += k.c.Tick
	due := k.timers
	k.timers = nil
	for _, e := range due {
		if at := e.Latency; at <= k.now {
			e.Latency = 3 * ms
			k.event(e)
		} else {
			k.timers = append(k.timers, e)
		}
	}
	ids := make([]uint64, 0, len(k.requests))
	for id := range k.requests {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	for _, id := range ids {
		r := k.requests[id]
		open := 0
		for i := 0; i < len(r.attempts); i++ {
			try := r.attempts[i]
			if !try.open || try.endsAt > k.now {
				if try.open {
					open++
				}
				continue
			}
			try.open = false
			try.mayHaveRun = try.status != Full && try.status != ConnectFailed && try.status != NotRun
			if try.status == OK && !r.done {
				r.done = true
				k.answers++
			}
			k.event(Event{Kind: Outcome, ID: id, Attempt: i, Server: try.server.ID, Status: try.status,
				Latency: k.now - try.sentAt, Done: r.done})
		}
		if k.now > r.deadline+k.c.Safety.AnswerSlack && !r.done {
			k.t.Errorf("%v: request %d got no final answer", k.now, id)
			r.done = true
		}
		if r.done && open == 0 {
			delete(k.requests, id)
		}
	}
}

// sendRequest starts a request of a class.
func (k *checker) sendRequest(id uint64, class int, budget time.Duration) {
	k.requests[id] = &checkedRequest{class: k.c.Classes[class], deadline: k.now + budget}
	k.event(Event{Kind: Request, ID: id, Class: class, Budget: budget})
}
