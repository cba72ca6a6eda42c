package decide

import (
	"testing"
	"time"
)

// TestRulesHold plays random valid events and checks every action against the safety rules.
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
			t.Errorf("seed %d: %d requests open, %d kept by the Balancer", seed, len(k.requests), len(k.b.requests))
		}
		if k.sends < 150 {
			t.Errorf("seed %d: only %d attempts", seed, k.sends)
		}
	}
}

// The same seed and events must lead to the same attempts.
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
		t.Errorf("attempts %d and %d, checksums %d and %d", n1, n2, s1, s2)
	}
}

// TestRetryAndRefusalRules lists for each class what may follow an attempt with a given result.
func TestRetryAndRefusalRules(t *testing.T) {
	const same, zone, other = 0, 1, 2 // servers in the first one's cell, in its zone, in the other zone
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
		{"keyed cell, full", 3, Full, 100 * ms, [3]bool{true, true, true}, true},
		{"unsafe, cancelled", 4, Cancelled, 100 * ms, [3]bool{}, false},
		{"unsafe, no connection", 4, ConnectFailed, 100 * ms, [3]bool{true, true, true}, true},
		{"unsafe, never sent", 4, NotRun, 100 * ms, [3]bool{true, true, true}, true},
	}
	for _, tt := range tests {
		b := New(testConfig(), 1)
		b.Handle(time.Hour, Event{Kind: Members, Servers: []Server{
			{ID: 1, Zone: 0, Cell: 1, State: Ready}, {ID: 2, Zone: 0, Cell: 1, State: Ready},
			{ID: 3, Zone: 0, Cell: 2, State: Ready}, {ID: 4, Zone: 1, Cell: 3, State: Ready}}})
		mayHaveRun := tt.status != Full && tt.status != ConnectFailed && tt.status != NotRun
		r := &request{class: &b.classes[tt.class], deadline: b.now + 2*time.Second,
			attempts: []attempt{{target: b.servers[1], listed: b.servers[1].Server, sentAt: b.now, mayHaveRun: mayHaveRun}}}
		b.now += tt.wait
		for i, id := range [...]ServerID{same: 2, zone: 3, other: 4} {
			if got := b.maySend(r, b.servers[id]); got != tt.resend[i] {
				t.Errorf("%s: may send to server %d: %v", tt.name, id, got)
			}
		}
		if got := b.mayRefuse(r); got != tt.refusal {
			t.Errorf("%s: may refuse: %v", tt.name, got)
		}
	}
}

// TestMaySend checks the conditions that prevent an attempt whatever the policy chose.
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
		t.Error("an ordinary attempt is prevented")
	}
	for id, s := range map[string]*server{"draining": b.servers[2], "gone": gone, "warming without credit": b.servers[4]} {
		if b.maySend(fresh(), s) {
			t.Errorf("sent to a server that is %s", id)
		}
	}
	for name, change := range map[string]func(r *request){
		"done":            func(r *request) { r.done = true },
		"expired":         func(r *request) { r.deadline = b.now },
		"running":         func(r *request) { r.outstanding, r.attempts = 1, []attempt{{target: b.servers[1], open: true}} },
		"out of attempts": func(r *request) { r.attempts = make([]attempt, 2) },
	} {
		r := fresh()
		change(r)
		if b.maySend(r, b.servers[1]) {
			t.Errorf("sent a request that is %s", name)
		}
	}
}

// Part of a failed zone comes back and needs to warm up. All balancers together must stay under the multiple of each
// server's present capacity in every overload window, including retries and trials.
func TestSlowStartOfReturningZone(t *testing.T) {
	const balancers, requestRate = 60, 4.0
	c := testConfig()
	c.Classes = c.Classes[:1]
	list := testServers(12)
	var checkers []*checker
	for i := range balancers {
		k := newChecker(t, c, uint64(i+1))
		k.outcome = func(s Server) (time.Duration, Status) { return time.Duration(k.rng.IntN(150)) * ms, OK }
		k.event(Event{Kind: Members, Servers: list})
		checkers = append(checkers, k)
	}
	var returning []Server // two of the six servers of the zone return
	restarted := time.Hour + 10*time.Second
	for _, s := range list {
		if s.Zone == 0 && s.ID < 104 {
			s.Started = restarted
		} else if s.Zone == 0 {
			continue
		}
		returning = append(returning, s)
	}
	capacity := balancers * requestRate / 6 / 0.7 // of a server if its zone has a load of 70%
	recent := map[ServerID][]time.Duration{}
	id := uint64(0)
	for now := time.Hour; now < restarted+c.Safety.WarmAfter; now += c.Tick {
		for i, k := range checkers {
			if now == restarted+time.Duration(i*20)*ms { // balancers learn of it one after another
				k.event(Event{Kind: Members, Servers: returning})
			}
			k.step()
			if k.rng.Float64() < requestRate*c.Tick.Seconds() {
				id++
				k.sendRequest(id, 0, time.Second)
				for _, try := range k.requests[id].attempts {
					if s := try.server; s.Started == restarted {
						recent[s.ID] = append(recent[s.ID], now)
					}
				}
			}
		}
		for serverID, times := range recent {
			for len(times) > 0 && times[0] <= now-c.Safety.OverloadWindow {
				times = times[1:]
			}
			recent[serverID] = times
			share := c.Safety.StartShare + (1-c.Safety.StartShare)*float64(now-restarted)/float64(c.Safety.WarmAfter)
			if limit := c.Safety.FallMultiple * share * capacity; float64(len(times)) > limit {
				t.Fatalf("%v after the restart: %d attempts in a window at server %d, limit %.1f", now-restarted, len(times), serverID, limit)
			}
		}
	}
	if len(recent) != 2 {
		t.Errorf("%d of 2 warming servers got requests", len(recent))
	}
}
