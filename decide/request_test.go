package decide

import (
	"testing"
	"time"
)

// Requests were once tried at up to nine full servers. A rejection is retried once, within the retry budget.
func TestFullIsRetriedOnce(t *testing.T) {
	c := testConfig()
	c.Limits.MaxAttempts = 9
	k := newChecker(t, c, 4)
	k.outcome = func(Server) (time.Duration, Status) { return ms, Full }
	k.event(Event{Kind: Members, Servers: testServers(12)})
	sendRequests(k, 200, 0, 50*ms)
	if k.sends > 200*12/10 {
		t.Errorf("%d attempts for 200 requests", k.sends)
	}
}

// Every request gets a final answer, also in unusual deployments.
func TestEveryRequestIsAnswered(t *testing.T) {
	one := []Server{{ID: 1, State: Ready}}
	tests := []struct {
		name   string
		change func(c *Config)
		list   []Server
		served bool
	}{
		{"no list", func(c *Config) {}, nil, false},
		{"one server", func(c *Config) {}, one, true},
		{"own zone empty", func(c *Config) { c.Zone = 9 }, one, true},
		{"one attempt", func(c *Config) { c.Limits.MaxAttempts = 1 }, one, true},
		{"no probe, no cancel", func(c *Config) { c.Limits.Probe, c.Limits.Cancel = false, false }, one, true},
		{"no prices", func(c *Config) { c.Prices = Prices{} }, one, true},
		{"no idle close", func(c *Config) { c.IdleClose = 0 }, one, true},
		{"no aim", func(c *Config) { c.Classes[0].Aim = 0 }, one, true},
		{"no weight", func(c *Config) { c.Weights = WeightsLive }, one, true},
		{"thousands of servers", func(c *Config) {}, testServers(5000), true},
	}
	for _, tt := range tests {
		c := testConfig()
		tt.change(&c)
		k := newChecker(t, c, 10)
		k.event(Event{Kind: Members, Servers: tt.list})
		sendRequests(k, 20, 0, 100*ms)
		for range 400 {
			k.step()
		}
		if k.answers != 20 || (k.sends > 0) != tt.served {
			t.Errorf("%s: %d of 20 answered, %d attempts", tt.name, k.answers, k.sends)
		}
	}
}

// Outcomes of a process that has left or restarted must not count against the process that follows it.
func TestOutcomesOfFormerProcessAreIgnored(t *testing.T) {
	b, list, now := New(testConfig(), 1), testServers(1), time.Hour
	b.Handle(now, Event{Kind: Members, Servers: list})
	b.Handle(now, Event{Kind: Request, ID: 1, Budget: time.Second})
	b.Handle(now, Event{Kind: Request, ID: 2, Budget: time.Second})
	list[0].Started = now - time.Minute
	b.Handle(now, Event{Kind: Members, Servers: list})
	for id := range uint64(2) {
		b.Handle(now, Event{Kind: Outcome, ID: id + 1, Server: 100, Status: Reset, Latency: ms, Done: true})
	}
	if s := b.servers[100]; s.pool != &s.tier.active || s.failures > 0 || s.outstanding > 0 {
		t.Errorf("active %v, failures %d, outstanding %d", s.pool == &s.tier.active, s.failures, s.outstanding)
	}
}

// An unreadable answer is no sign of load: a request that may run again is retried regardless of the retry budget.
func TestUnreadableAnswerIsRetriedWithoutBudget(t *testing.T) {
	for class, want := range map[int]bool{0: true, 1: false} {
		c := testConfig()
		c.Classes = []Class{{Aim: time.Second, Worth: 1}, {Aim: time.Second, Worth: 1, Effect: Unsafe}}
		b := New(c, 1)
		b.Handle(time.Hour, Event{Kind: Members, Servers: testServers(4)})
		b.retryTokens = 0
		to := b.Handle(time.Hour, Event{Kind: Request, ID: 1, Class: class, Budget: time.Second})[0].Server
		b.retryTokens = 0
		acts := b.Handle(time.Hour, Event{Kind: Outcome, ID: 1, Server: to, Status: Unreadable, Latency: ms})
		if len(acts) == 0 || (acts[0].Kind == Send) != want {
			t.Errorf("class %d: got %+v", class, acts)
		}
	}
}

// A keyed request is retried in the group in which its first attempt may have run, even if the list has since moved that
// server to another cell.
func TestKeyedRepeatStaysWithItsFirstCell(t *testing.T) {
	b := New(testConfig(), 1)
	list := []Server{{ID: 1, Cell: 1, State: Ready}, {ID: 2, Cell: 1, State: Ready}, {ID: 3, Cell: 2, State: Ready}}
	b.Handle(time.Hour, Event{Kind: Members, Servers: list})
	r := &request{class: &b.classes[3], deadline: b.now + 2*time.Second,
		attempts: []attempt{{target: b.servers[1], listed: b.servers[1].Server, sentAt: b.now, mayHaveRun: true}}}
	b.Handle(b.now, Event{Kind: Members, List: ListDelta, Servers: []Server{{ID: 1, Cell: 2, State: Ready}}})
	if !b.maySend(r, b.servers[2]) || b.maySend(r, b.servers[3]) {
		t.Errorf("may send to the first cell's other server: %v, to the new cell's server: %v", b.maySend(r, b.servers[2]), b.maySend(r, b.servers[3]))
	}
}

// A second copy duplicates work: it is sent only if there is other evidence against the first server, not whenever a request
// takes long.
func TestSecondCopyNeedsEvidence(t *testing.T) {
	for name, test := range map[string]struct {
		failures, want int
	}{"none": {0, 0}, "earlier failure": {1, 1}} {
		c := testConfig()
		c.Limits.SecondCopies, c.Limits.Cancel = true, true
		b := New(c, 3)
		b.Handle(time.Hour, Event{Kind: Members, Servers: testServers(12)})
		var wakes []Action
		first := ServerID(0)
		for _, a := range b.Handle(b.now, Event{Kind: Request, ID: 1, Class: 0, Budget: 3 * time.Second}) {
			switch a.Kind {
			case Send:
				first = a.Server
			case SetTimer:
				wakes = append(wakes, a)
			}
		}
		b.servers[first].failures = test.failures
		secondCopies := 0
		for _, w := range wakes {
			for _, a := range b.Handle(b.now+w.Wait, Event{Kind: Timer, Token: w.Token}) {
				if a.Kind == Send {
					secondCopies++
				}
			}
		}
		if secondCopies != test.want {
			t.Errorf("%s: %d second copies, want %d", name, secondCopies, test.want)
		}
	}
}
