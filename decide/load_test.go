package decide

import (
	"testing"
	"time"
)

// A balancer without servers in its own zone once saw no pressure there and never shed load.
func TestShedsWithEmptyOwnZone(t *testing.T) {
	c := testConfig()
	c.Zone = 7
	k := newChecker(t, c, 6)
	k.outcome = func(Server) (time.Duration, Status) { return 700 * ms, OK }
	k.event(Event{Kind: Members, Servers: testServers(12)})
	sendRequests(k, 300, 0, 50*ms)
	if k.sends > 250 {
		t.Errorf("%d of 300 requests sent although all answers are late", k.sends)
	}
}

// Balancers once refused nearly all requests long after an overload was over, as few attempts were left to notice its end.
func TestSheddingEndsAfterOverload(t *testing.T) {
	k := newChecker(t, testConfig(), 7)
	k.event(Event{Kind: Members, Servers: testServers(12)})
	k.outcome = func(Server) (time.Duration, Status) { return 900 * ms, OK }
	sendRequests(k, 400, 0, 50*ms)
	k.outcome = func(Server) (time.Duration, Status) { return 50 * ms, OK }
	sendRequests(k, 150, 0, 50*ms)
	before := k.sends
	sendRequests(k, 100, 0, 50*ms)
	if n := k.sends - before; n < 80 {
		t.Errorf("8 s after the overload only %d of 100 requests are sent", n)
	}
}

// In overload the work of the least worth is shed first.
func TestShedsLeastWorthFirst(t *testing.T) {
	k := newChecker(t, testConfig(), 8)
	k.event(Event{Kind: Members, Servers: testServers(12)})
	k.outcome = func(Server) (time.Duration, Status) { return 250 * ms, OK }
	sent := [2]int{}
	for i := range 1000 {
		for n, class := range []int{0, 3} {
			got := 0
			for _, m := range sendRequests(k, 1, class, 25*ms) {
				got += m
			}
			if i > 200 && got > 0 {
				sent[n]++
			}
		}
	}
	if sent[0] > sent[1]*3/4 || sent[1] < 500 {
		t.Errorf("of 800 each, %d of the low and %d of the high class were sent", sent[0], sent[1])
	}
}

// Refused clients were once told to wait as long as the aim, and retried when an answer had no worth any more.
func TestWaitAdvice(t *testing.T) {
	b := New(testConfig(), 12)
	waits := func(acts []Action) (refusals []time.Duration) {
		for _, a := range acts {
			if a.Kind == Refuse {
				refusals = append(refusals, a.Wait)
			}
		}
		return refusals
	}
	b.Handle(time.Hour, Event{Kind: Members, Servers: []Server{{ID: 1, State: Ready}}})
	b.tiers[1].load, b.tiers[1].loadUpdatedAt = 1, time.Hour
	b.tiers[0].load, b.tiers[0].loadUpdatedAt = 1, time.Hour
	if got := waits(b.Handle(time.Hour, Event{Kind: Request, ID: 1, Budget: time.Second})); len(got) != 1 || got[0] != 0 {
		t.Errorf("refused at once: waits %v, want one of 0", got)
	}
	b = New(testConfig(), 12)
	b.Handle(time.Hour, Event{Kind: Members, Servers: []Server{{ID: 1, State: Ready}}})
	b.Handle(time.Hour, Event{Kind: Request, ID: 1, Budget: time.Second})
	got := waits(b.Handle(time.Hour+time.Second, Event{Kind: Outcome, ID: 1, Server: 1, Status: TimedOut, Latency: time.Second}))
	if len(got) != 1 || got[0] != 2*time.Second {
		t.Errorf("refused after the aim: waits %v, want one of 2 s", got)
	}
}

// In overload requests of a tenant beyond its share are shed before those of a tenant within it.
func TestShedsOverShareFirst(t *testing.T) {
	c := testConfig()
	c.Classes, c.OverShareWorth = c.Classes[:1], 0.1
	c.Tenants = []Tenant{{Share: 0.5, Quota: 100}, {Share: 0.5, Quota: 100}}
	k := newChecker(t, c, 13)
	k.outcome = func(Server) (time.Duration, Status) { return 270 * ms, OK }
	k.event(Event{Kind: Members, Servers: testServers(12)})
	var received, sent [2]int
	for i := range 4000 {
		for end := k.now + 20*ms; k.now < end; {
			k.step()
		}
		tenant := 0
		if i%4 == 0 {
			tenant = 1
		}
		before, id := k.sends, uint64(i+1)
		k.requests[id] = &checkedRequest{class: c.Classes[0], deadline: k.now + time.Second}
		k.event(Event{Kind: Request, ID: id, Tenant: tenant, Budget: time.Second})
		received[tenant]++
		sent[tenant] += k.sends - before
	}
	overShare, withinShare := float64(sent[0])/float64(received[0]), float64(sent[1])/float64(received[1])
	if overShare > withinShare-0.15 || withinShare < 0.5 {
		t.Errorf("sent %.2f of the requests beyond the share and %.2f of those within it", overShare, withinShare)
	}
}

// The credit of a warming server follows the arriving requests, not those that are not shed: otherwise shedding for lack of
// capacity would keep the growing capacity from being used.
func TestCreditWhileShedding(t *testing.T) {
	c := testConfig()
	b := New(c, 1)
	list := testServers(8)
	now := time.Hour
	for i := 2; i < len(list); i += 2 { // most of the own zone is warming
		list[i].Started = now - 2*time.Second
	}
	b.Handle(now, Event{Kind: Members, List: ListFull, Servers: list})
	s := b.servers[list[2].ID]
	s.credit = 0
	refused := 0
	for id := range uint64(20) {
		for i := range b.tiers {
			b.tiers[i].load, b.tiers[i].sustainedPressure, b.tiers[i].loadUpdatedAt = 1, 0.95, now
		}
		for _, a := range b.Handle(now, Event{Kind: Request, ID: id + 1, Budget: time.Second}) {
			if a.Kind == Refuse {
				refused++
			}
		}
	}
	if refused < 15 || s.credit < 1 {
		t.Errorf("%d of 20 requests refused, credit %.2f; want most refused and a credit of at least 1", refused, s.credit)
	}
}

// A restarted balancer that sees only one server in its zone does not know the zone's usual size. The credit must not be
// based on that server alone, or every request of the zone may go to a server that has just restarted.
func TestCreditInASmallZone(t *testing.T) {
	for ownServers, shares := range map[int]float64{1: 0.5, 4: 1} { // own servers of eight in two zones: credit for one request, in shares
		list := testServers(8)
		for i := range list {
			if list[i].Zone = 1; i < ownServers {
				list[i].Zone = 0
			}
		}
		now := time.Hour
		list[0].Started = now
		b := New(testConfig(), 1)
		b.Handle(now, Event{Kind: Members, List: ListCached, Servers: list})
		s := b.servers[list[0].ID]
		s.credit = 0
		b.earnCredit()
		if got, limit := s.credit, shares*maxSlowStartShare*b.minCapacityShare(s)/float64(max(ownServers, 1)); got <= 0 || got > limit*1.01 {
			t.Errorf("zone of %d: a request earns %.3f, want at most %.3f", ownServers, got, limit)
		}
	}
}

// A whole credit that stays unspent for a part of the overload window expires if there are many balancers or their number
// is unknown. Younger credits do not expire, nor do those of a few balancers.
func TestUnusedCreditExpires(t *testing.T) {
	for balancers, expires := range map[int]bool{0: true, 3: false, 300: true} {
		c := testConfig()
		c.Balancers = balancers
		list := testServers(8)
		now := time.Hour
		list[0].Started = now
		b := New(c, 1)
		b.Handle(now, Event{Kind: Members, List: ListCached, Servers: list})
		b.tenantRequests[0], b.classes[0].workByTenant[0] = 10, 10*0.05 // requests of 50 ms
		s := b.servers[list[0].ID]
		retention := time.Duration(creditRetention * float64(b.config.Safety.OverloadWindow))
		s.credit = 0.999
		earnAt := func(at time.Duration) float64 {
			b.now = now + at
			b.earnCredit()
			return s.credit
		}
		if got := earnAt(0); got != 1 {
			t.Fatalf("%d balancers: credit %.3f, want 1", balancers, got)
		}
		if got := earnAt(retention); got != 1 {
			t.Errorf("%d balancers: credit %.3f after %v, want 1", balancers, got, retention)
		}
		if got := earnAt(retention + 1); got < 1 != expires {
			t.Errorf("%d balancers: credit %.3f after more than %v, want expired %v", balancers, got, retention, expires)
		}
		s.credit = 1
		if got := earnAt(retention + 2); got != 1 {
			t.Errorf("%d balancers: credit %.3f, want the next whole credit to be kept from its own start", balancers, got)
		}
	}
}
