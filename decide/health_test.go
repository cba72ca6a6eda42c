package decide

import (
	"slices"
	"testing"
	"time"
)

func TestEjectionAndReadmission(t *testing.T) {
	for _, probes := range []bool{true, false} {
		c := testConfig()
		c.Limits.Probe = probes
		k := newChecker(t, c, 3)
		k.event(Event{Kind: Members, Servers: testServers(12)})
		sendRequests(k, 200, 0, 25*ms)
		k.outcome = func(s Server) (time.Duration, Status) {
			if s.ID == 104 {
				return time.Hour, TimedOut
			}
			return 50 * ms, OK
		}
		sendRequests(k, 120, 0, 25*ms)
		if n := sendRequests(k, 400, 0, 25*ms)[104]; n > 20 {
			t.Errorf("probes %v: a hung server got %d of 400, its usual share is 67", probes, n)
		}
		k.outcome = func(Server) (time.Duration, Status) { return 50 * ms, OK }
		sendRequests(k, 1600, 0, 25*ms)
		if n := sendRequests(k, 400, 0, 25*ms)[104]; n < 40 {
			t.Errorf("probes %v: after its recovery the server got %d of 400", probes, n)
		}
	}
}

// A list without changes is no evidence of health: it once readmitted a half-open server without trials. A restarted
// server is a new process and is used at once.
func TestListKeepsTrials(t *testing.T) {
	b, list := New(testConfig(), 1), testServers(4)
	b.Handle(0, Event{Kind: Members, Servers: list})
	s := b.servers[list[0].ID]
	b.move(s, &s.tier.halfOpen)
	b.Handle(time.Second, Event{Kind: Members, Servers: list})
	if s.pool != &s.tier.halfOpen {
		t.Error("an unchanged list ended the trials")
	}
	list[0].Started = time.Second
	b.Handle(2*time.Second, Event{Kind: Members, Servers: list})
	if s.pool != &s.tier.active {
		t.Error("the restarted server is not in use")
	}
}

// Overload looks like a zone outage. A silent tier is ejected as a whole only if another tier answers.
func TestSilentTierIsEjectedOnlyIfAnotherAnswers(t *testing.T) {
	k := newChecker(t, testConfig(), 5)
	k.event(Event{Kind: Members, Servers: testServers(12)})
	sendRequests(k, 100, 0, 50*ms)
	k.outcome = func(Server) (time.Duration, Status) { return time.Hour, TimedOut }
	sendRequests(k, 200, 0, 50*ms)
	if live := len(k.b.tiers[0].active.members); live < 3 {
		t.Errorf("no server answers, and only %d of 6 own servers are left in use", live)
	}
}

// Connections of healthy servers break now and then. Ejecting a server for each break once left two of twelve healthy
// servers in use, and if one in ten requests breaks, two breaks in a row are common. A dead process breaks all connections.
func TestSingleConnectionFailureDoesNotEject(t *testing.T) {
	for name, test := range map[string]struct {
		pause   time.Duration
		results []Status
		pool    bool // the server stays in the pool of active ones
	}{
		"one between answers": {0, []Status{Reset, OK, Reset, OK, Reset}, true},
		"three in a row":      {0, []Status{Reset, Reset, Reset}, true},
		"four in a row":       {0, []Status{Reset, Reset, Reset, Reset}, false},
		"no recent answer":    {2 * recentAnswer, []Status{Reset}, false},
		"one failed connect":  {0, []Status{ConnectFailed, OK}, true},
		"dead process":        {0, []Status{Reset, ConnectFailed, ConnectFailed, ConnectFailed}, false},
		"stale connections":   {0, []Status{StaleConnection, StaleConnection, StaleConnection}, true},
		"some unreadable":     {0, []Status{Unreadable, Unreadable, Unreadable, OK, Unreadable}, true},
		"only unreadable":     {0, []Status{Unreadable, Unreadable, Unreadable, Unreadable}, false},
	} {
		b, now := New(testConfig(), 1), time.Hour
		b.Handle(now, Event{Kind: Members, Servers: testServers(1)})
		for id, status := range append([]Status{OK}, test.results...) {
			if id == 1 {
				now += test.pause
			}
			b.Handle(now, Event{Kind: Request, ID: uint64(id), Budget: time.Second})
			b.Handle(now, Event{Kind: Outcome, ID: uint64(id), Server: 100, Status: status, Latency: ms, Done: true})
		}
		if s := b.servers[100]; (s.pool == &s.tier.active) != test.pool {
			t.Errorf("%s: in use %v, want %v", name, !test.pool, test.pool)
		}
	}
}

// While the own zone had a server, the half-open servers of the other tier once stayed half-open forever.
func TestTrialsInEveryTier(t *testing.T) {
	b := New(testConfig(), 1)
	b.Handle(time.Hour, Event{Kind: Members, Servers: testServers(4)})
	for _, s := range b.servers {
		if s.tier == &b.tiers[1] {
			b.move(s, &s.tier.halfOpen)
		}
	}
	for id := range uint64(100) {
		to := b.Handle(time.Hour, Event{Kind: Request, ID: id, Budget: time.Second})[0].Server
		b.Handle(time.Hour, Event{Kind: Outcome, ID: id, Server: to, Status: OK, Latency: ms, Done: true})
	}
	if n := len(b.tiers[1].halfOpen.members); n > 0 {
		t.Errorf("%d still half-open after 100 requests", n)
	}
}

// A connect timeout is weaker evidence than a refused connection: the server is ejected for a short time at first, and as
// long as a dead one only if that happens again.
func TestLateConnect(t *testing.T) {
	for name, tt := range map[string]struct {
		latency   time.Duration
		out       time.Duration // longest ejection, with jitter
		ejections int
	}{
		"refused": {ms, 2 * baseEjection, 1},
		"late":    {250 * ms, 2 * softEjection, 0},
	} {
		c := testConfig()
		c.ConnectTime = 250 * ms
		b := New(c, 1)
		b.Handle(0, Event{Kind: Members, Servers: testServers(12)})
		acts := b.Handle(time.Minute, Event{Kind: Request, ID: 1, Budget: time.Second})
		s := b.servers[acts[0].Server]
		b.Handle(time.Minute+tt.latency, Event{Kind: Outcome, ID: 1, Status: ConnectFailed, Latency: tt.latency, Server: s.ID})
		if ejection := s.ejectedUntil - b.now; s.pool != &s.tier.ejected || ejection > tt.out || s.ejections != tt.ejections {
			t.Errorf("%s: ejected for %v, ejections %d", name, ejection, s.ejections)
		}
		if ejection := s.ejectedUntil - b.now; name == "refused" && ejection < baseEjection/2 {
			t.Errorf("refused: ejected for only %v", ejection)
		}
	}
}

// Guards against a server that stays ejected for good: it is listed as draining while a probe of it is under way, so that the probe's result
// counts for nothing, and then as ready again.
func TestListedAnewDuringProbe(t *testing.T) {
	for _, status := range []Status{OK, Reset} {
		c := testConfig()
		c.Limits.Probe = true
		b, list := New(c, 1), testServers(4)
		b.Handle(0, Event{Kind: Members, Servers: list})
		s := b.servers[list[0].ID]
		s.ejections = 1
		b.move(s, &s.tier.ejected)
		b.readmit(s)
		list[0].State = Draining
		b.Handle(time.Second, Event{Kind: Members, Servers: list})
		b.Handle(2*time.Second, Event{Kind: ProbeResult, Server: s.ID, Status: status})
		list[0].State = Ready
		actions := b.Handle(3*time.Second, Event{Kind: Members, Servers: list})
		if !slices.ContainsFunc(actions, func(a Action) bool { return a.Kind == Probe && a.Server == s.ID }) {
			t.Fatalf("result %d: no probe is sent once the server is ready again", status)
		}
		b.Handle(4*time.Second, Event{Kind: ProbeResult, Server: s.ID, Status: OK})
		if s.pool != &s.tier.halfOpen {
			t.Errorf("result %d: the server is not tried", status)
		}
	}
}
