package decide

import (
	"testing"
	"time"
)

// TestRulesHold drives the module with random legal events and judges every action by the rules' wording.
func TestRulesHold(t *testing.T) {
	for seed := uint64(1); seed <= 24; seed++ {
		c := testConfig()
		c.Limits.SecondCopies = seed%2 == 0
		c.Limits.Cancel = seed%3 != 0
		c.Limits.Probe = seed%5 != 0
		c.Limits.MaxAttempts = 1 + int(seed%4)
		c.Subscribe = seed%4 == 0
		c.Zone = int(seed % 3) // zone 2 holds no server
		k := newChecker(t, c, seed)
		k.playRandomEvents(testServers(18), 20*time.Second)
		if len(k.requests) > 0 || len(k.b.requests) > 0 {
			t.Errorf("seed %d: %d requests open, %d kept by the module", seed, len(k.requests), len(k.b.requests))
		}
		if k.sends < 150 {
			t.Errorf("seed %d: only %d sends", seed, k.sends)
		}
	}
}

func TestSameEventsSameActions(t *testing.T) {
	run := func() (n int, sum uint64) {
		k := newChecker(t, testConfig(), 5)
		k.event(Event{Kind: Members, List: ListFull, Servers: testServers(18)})
		k.event(Event{Kind: Members, List: ListFull, Servers: testServers(9)})
		for id := uint64(1); id < 2000; id++ {
			k.step()
			k.sendRequest(id, int(id%5), time.Second)
			for _, try := range k.requests[id].attempts {
				sum = sum*31 + uint64(try.server.ID)
			}
		}
		return k.sends, sum
	}
	n1, s1 := run()
	n2, s2 := run()
	if n1 != n2 || s1 != s2 {
		t.Errorf("sends %d and %d, sums %d and %d", n1, n2, s1, s2)
	}
}

// TestLawful states, class by class, what may follow an attempt with a given end.
func TestRetryAndRefusalRules(t *testing.T) {
	const same, zone, other = 0, 1, 2 // servers: the first's cell, the zone, the other zone
	tests := []struct {
		name    string
		class   int
		status  Status
		wait    time.Duration
		resend  [3]bool
		refusal bool
	}{
		{"safe, timed out", 0, TimedOut, 100 * ms, [3]bool{true, true, true}, true},
		{"keyed all, timed out", 1, TimedOut, 100 * ms, [3]bool{true, true, true}, true},
		{"keyed all, window over", 1, TimedOut, 800 * ms, [3]bool{}, true},
		{"keyed zone, timed out", 2, TimedOut, 100 * ms, [3]bool{true, true, false}, false},
		{"keyed zone, window over", 2, TimedOut, 800 * ms, [3]bool{}, false},
		{"keyed cell, reset", 3, Reset, 100 * ms, [3]bool{true, false, false}, false},
		{"keyed cell, error", 3, Errored, 100 * ms, [3]bool{true, false, false}, false},
		{"keyed cell, turned away", 3, Full, 100 * ms, [3]bool{true, true, true}, true},
		{"unsafe, cancelled", 4, Cancelled, 100 * ms, [3]bool{}, false},
		{"unsafe, no connection", 4, ConnectFailed, 100 * ms, [3]bool{true, true, true}, true},
		{"unsafe, moot", 4, Moot, 100 * ms, [3]bool{true, true, true}, true},
	}
	for _, tt := range tests {
		b := New(testConfig(), 1)
		b.Handle(time.Hour, Event{Kind: Members, Servers: []Server{
			{ID: 1, Zone: 0, Cell: 1, State: Ready}, {ID: 2, Zone: 0, Cell: 1, State: Ready},
			{ID: 3, Zone: 0, Cell: 2, State: Ready}, {ID: 4, Zone: 1, Cell: 3, State: Ready}}})
		mayHaveRun := tt.status != Full && tt.status != ConnectFailed && tt.status != Moot
		r := &request{class: &b.classes[tt.class], deadline: b.now + 2*time.Second,
			attempts: []attempt{{target: b.servers[1], listed: b.servers[1].Server, sentAt: b.now, mayHaveRun: mayHaveRun}}}
		b.now += tt.wait
		for i, id := range [...]ServerID{same: 2, zone: 3, other: 4} {
			if got := b.maySend(r, b.servers[id]); got != tt.resend[i] {
				t.Errorf("%s: send to server %d: %v", tt.name, id, got)
			}
		}
		if got := b.mayRefuse(r); got != tt.refusal {
			t.Errorf("%s: refusal %v", tt.name, got)
		}
	}
}

// TestGate: what stops a send whatever the policy asks for.
func TestMaySend(t *testing.T) {
	c := testConfig()
	c.Limits.SecondCopies, c.Limits.MaxAttempts = false, 2
	b := New(c, 1)
	b.Handle(time.Hour, Event{Kind: Members, Servers: []Server{{ID: 1, State: Ready}, {ID: 2, State: Draining},
		{ID: 3, State: Ready}, {ID: 4, State: Ready, Started: time.Hour - time.Second}}})
	gone := b.servers[3]
	b.Handle(time.Hour, Event{Kind: Members, List: ListDelta, Servers: []Server{{ID: 3}}})
	b.servers[4].credit = 0.9
	fresh := func() *request { return &request{class: &b.classes[0], deadline: b.now + time.Second} }
	if !b.maySend(fresh(), b.servers[1]) {
		t.Error("a plain send is stopped")
	}
	for id, s := range map[string]*server{"draining": b.servers[2], "gone": gone, "cold without credit": b.servers[4]} {
		if b.maySend(fresh(), s) {
			t.Errorf("sent to a server that is %s", id)
		}
	}
	for name, change := range map[string]func(r *request){
		"over":         func(r *request) { r.done = true },
		"past its end": func(r *request) { r.deadline = b.now },
		"running":      func(r *request) { r.outstanding, r.attempts = 1, []attempt{{target: b.servers[1], open: true}} },
		"out of tries": func(r *request) { r.attempts = make([]attempt, 2) },
	} {
		r := fresh()
		change(r)
		if b.maySend(r, b.servers[1]) {
			t.Errorf("sent a request that is %s", name)
		}
	}
}

// TestColdZone: part of a lost zone comes back cold. All sidecars together must stay under the multiple of what
// each server can do, in every window of the stated length, retries and trials counted.
func TestSlowStartOfReturningZone(t *testing.T) {
	const sidecars, perSecond = 60, 4.0
	c := testConfig()
	c.Classes = c.Classes[:1]
	list := testServers(12)
	var ks []*checker
	for i := range sidecars {
		k := newChecker(t, c, uint64(i+1))
		k.outcome = func(s Server) (time.Duration, Status) { return time.Duration(k.rng.IntN(150)) * ms, OK }
		k.event(Event{Kind: Members, Servers: list})
		ks = append(ks, k)
	}
	var back []Server // two of the six come first, the others stay gone
	restarted := time.Hour + 10*time.Second
	for _, s := range list {
		if s.Zone == 0 && s.ID < 104 {
			s.Started = restarted
		} else if s.Zone == 0 {
			continue
		}
		back = append(back, s)
	}
	capacity := sidecars * perSecond / 6 / 0.7 // of a server, were its zone loaded to 70%
	recent := map[ServerID][]time.Duration{}
	id := uint64(0)
	for now := time.Hour; now < restarted+c.Safety.WarmAfter; now += c.Tick {
		for i, k := range ks {
			if now == restarted+time.Duration(i*20)*ms { // informed one after another
				k.event(Event{Kind: Members, Servers: back})
			}
			k.step()
			if k.rng.Float64() < perSecond*c.Tick.Seconds() {
				id++
				k.sendRequest(id, 0, time.Second)
				for _, try := range k.requests[id].attempts {
					if s := try.server; s.Started == restarted {
						recent[s.ID] = append(recent[s.ID], now)
					}
				}
			}
		}
		for sid, at := range recent {
			for len(at) > 0 && at[0] <= now-c.Safety.TipAfter {
				at = at[1:]
			}
			recent[sid] = at
			share := c.Safety.StartShare + (1-c.Safety.StartShare)*float64(now-restarted)/float64(c.Safety.WarmAfter)
			if most := c.Safety.FallMultiple * share * capacity; float64(len(at)) > most {
				t.Fatalf("%v after the start: %d sends in a window to %d, %.1f at most", now-restarted, len(at), sid, most)
			}
		}
	}
	if len(recent) != 2 {
		t.Errorf("%d of 2 warming servers got work", len(recent))
	}
}
