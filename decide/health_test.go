package decide

import (
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
			t.Errorf("probes %v: a hung server got %d of 400, 67 is its share", probes, n)
		}
		k.outcome = func(Server) (time.Duration, Status) { return 50 * ms, OK }
		sendRequests(k, 1600, 0, 25*ms)
		if n := sendRequests(k, 400, 0, 25*ms)[104]; n < 40 {
			t.Errorf("probes %v: once well again it got %d of 400", probes, n)
		}
	}
}

// Full servers were once tried up to nine times a request: a refusal is retried once, on the retry budget.
// A list that repeats what is known is no proof of health: it once readmitted a half-open server untried. A
// restart is another process, which starts afresh.
func TestListKeepsTrials(t *testing.T) {
	b, list := New(testConfig(), 1), testServers(4)
	b.Handle(0, Event{Kind: Members, Servers: list})
	s := b.servers[list[0].ID]
	b.move(s, &s.tier.halfOpen)
	b.Handle(time.Second, Event{Kind: Members, Servers: list})
	if s.pool != &s.tier.halfOpen {
		t.Error("the same list again ended the trials")
	}
	list[0].Started = time.Second
	b.Handle(2*time.Second, Event{Kind: Members, Servers: list})
	if s.pool != &s.tier.active {
		t.Error("the new process is not in use")
	}
}

// Overload looks like a lost zone. A silent tier is ejected whole only if another answers.
func TestSilentTierIsEjectedOnlyIfAnotherAnswers(t *testing.T) {
	k := newChecker(t, testConfig(), 5)
	k.event(Event{Kind: Members, Servers: testServers(12)})
	sendRequests(k, 100, 0, 50*ms)
	k.outcome = func(Server) (time.Duration, Status) { return time.Hour, TimedOut }
	sendRequests(k, 200, 0, 50*ms)
	if live := len(k.b.tiers[0].active.members); live < 3 {
		t.Errorf("all is silent, and only %d of 6 own servers are left in use", live)
	}
}

// A worker's connection now and then breaks under a request. Ejecting for each once left two of twelve servers
// that answered well, and where one in ten calls breaks two in a row are common. A dead process breaks all.
func TestSingleConnectionFailureDoesNotEject(t *testing.T) {
	for name, test := range map[string]struct {
		silence time.Duration
		ends    []Status
		pool    bool // the server stays in the pool of active ones
	}{
		"one between answers":  {0, []Status{Reset, OK, Reset, OK, Reset}, true},
		"three in a row":       {0, []Status{Reset, Reset, Reset}, true},
		"four in a row":        {0, []Status{Reset, Reset, Reset, Reset}, false},
		"none answered lately": {2 * recentAnswer, []Status{Reset}, false},
		"a failed connect":     {0, []Status{ConnectFailed, OK}, true},
		"a dead process":       {0, []Status{Reset, ConnectFailed, ConnectFailed, ConnectFailed}, false},
		"kept connections":     {0, []Status{Stale, Stale, Stale}, true},
		"unreadable answers":   {0, []Status{Spoilt, Spoilt, Spoilt, OK, Spoilt}, true},
		"nothing else":         {0, []Status{Spoilt, Spoilt, Spoilt, Spoilt}, false},
	} {
		b, now := New(testConfig(), 1), time.Hour
		b.Handle(now, Event{Kind: Members, Servers: testServers(1)})
		for id, end := range append([]Status{OK}, test.ends...) {
			if id == 1 {
				now += test.silence
			}
			b.Handle(now, Event{Kind: Request, ID: uint64(id), Budget: time.Second})
			b.Handle(now, Event{Kind: Outcome, ID: uint64(id), Server: 100, Status: end, Latency: ms, Done: true})
		}
		if s := b.servers[100]; (s.pool == &s.tier.active) != test.pool {
			t.Errorf("%s: in use %v, want %v", name, !test.pool, test.pool)
		}
	}
}

// A tier that no draw reaches, since the own zone still has a server, once kept all its half-open ones for good.
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

// A connection that came up late, or never, proves less than one that was refused: the server is out for a moment the first
// time, and as long as a dead one only if that happens again.
func TestLateConnect(t *testing.T) {
	for name, tt := range map[string]struct {
		latency   time.Duration
		out       time.Duration // at the most, with the jitter
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
		if wait := s.ejectedUntil - b.now; s.pool != &s.tier.ejected || wait > tt.out || s.ejections != tt.ejections {
			t.Errorf("%s: out for %v, level %d", name, wait, s.ejections)
		}
		if late := s.ejectedUntil - b.now; name == "refused" && late < baseEjection/2 {
			t.Errorf("refused: out for %v only", late)
		}
	}
}
