package decide

import (
	"testing"
	"time"
)

// A sidecar without a server in its zone felt no pressure there, and never shed.
func TestShedsWithEmptyOwnZone(t *testing.T) {
	c := testConfig()
	c.Zone = 7
	k := newChecker(t, c, 6)
	k.outcome = func(Server) (time.Duration, Status) { return 700 * ms, OK }
	k.event(Event{Kind: Members, Servers: testServers(12)})
	sendRequests(k, 300, 0, 50*ms)
	if k.sends > 250 {
		t.Errorf("%d of 300 requests sent though all come late", k.sends)
	}
}

// Sidecars went on refusing nearly all long after a jam was over, as few attempts were left to feel it.
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
		t.Errorf("8 s after the jam only %d of 100 requests are sent", n)
	}
}

// In overload the work of least worth goes first.
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

// Refused clients were told to wait for an aim's length, and came back when nothing could be earned any more.
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
		t.Errorf("refused at once with the waits %v, want one of 0", got)
	}
	b = New(testConfig(), 12)
	b.Handle(time.Hour, Event{Kind: Members, Servers: []Server{{ID: 1, State: Ready}}})
	b.Handle(time.Hour, Event{Kind: Request, ID: 1, Budget: time.Second})
	got := waits(b.Handle(time.Hour+time.Second, Event{Kind: Outcome, ID: 1, Server: 1, Status: TimedOut, Latency: time.Second}))
	if len(got) != 1 || got[0] != 2*time.Second {
		t.Errorf("refused after the aim with the waits %v, want one of 2 s", got)
	}
}

// In overload a tenant beyond its share gives way before one within it.
func TestShedsOverShareFirst(t *testing.T) {
	c := testConfig()
	c.Classes, c.OverShareWorth = c.Classes[:1], 0.1
	c.Tenants = []Tenant{{Share: 0.5, Quota: 100}, {Share: 0.5, Quota: 100}}
	k := newChecker(t, c, 13)
	k.outcome = func(Server) (time.Duration, Status) { return 270 * ms, OK }
	k.event(Event{Kind: Members, Servers: testServers(12)})
	var asked, sent [2]int
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
		asked[tenant]++
		sent[tenant] += k.sends - before
	}
	over, within := float64(sent[0])/float64(asked[0]), float64(sent[1])/float64(asked[1])
	if over > within-0.15 || within < 0.5 {
		t.Errorf("sent %.2f of the tenant beyond its share and %.2f of the other", over, within)
	}
}

// What a warming server may be sent follows the calls that come, not those that are let through: shedding for lack of
// capacity must not keep the capacity that is growing from being used.
func TestCreditWhileShedding(t *testing.T) {
	c := testConfig()
	b := New(c, 1)
	list := testServers(8)
	now := time.Hour
	for i := 2; i < len(list); i += 2 { // most of the own zone is cold
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
		t.Errorf("%d of 20 calls refused, credit %.2f; most refused and at least one send earned is expected", refused, s.credit)
	}
}

// A sidecar that restarts sees a zone of one worker and knows no other size of it: its credit must not follow from
// that alone, or every call of the zone may go to a worker that has just come back.
func TestCreditInASmallZone(t *testing.T) {
	for n, most := range map[int]float64{1: 0.5, 4: 1} { // own servers among eight in two zones; credit of one call, shares
		list := testServers(8)
		for i := range list {
			if list[i].Zone = 1; i < n {
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
		if got, limit := s.credit, most*maxSlowStartShare*b.minCapacityShare(s)/float64(max(n, 1)); got <= 0 || got > limit*1.01 {
			t.Errorf("zone of %d: a call earns %.3f, up to %.3f is expected", n, got, limit)
		}
	}
}

// A whole credit that is not spent within a part of the span in which a server falls is lost where there are many sidecars, or
// nobody knows how many; one that is whole for less is not, nor any of a few sidecars.
func TestUnusedCreditExpires(t *testing.T) {
	for sidecars, lost := range map[int]bool{0: true, 3: false, 300: true} {
		c := testConfig()
		c.Balancers = sidecars
		list := testServers(8)
		now := time.Hour
		list[0].Started = now
		b := New(c, 1)
		b.Handle(now, Event{Kind: Members, List: ListCached, Servers: list})
		b.tenantRequests[0], b.classes[0].workByTenant[0] = 10, 10*0.05 // requests of 50 ms
		s := b.servers[list[0].ID]
		kept := time.Duration(creditRetention * float64(b.config.Safety.TipAfter))
		s.credit = 0.999
		earnAt := func(at time.Duration) float64 {
			b.now = now + at
			b.earnCredit()
			return s.credit
		}
		if got := earnAt(0); got != 1 {
			t.Fatalf("%d sidecars: credit %.3f, a whole one is expected", sidecars, got)
		}
		if got := earnAt(kept); got != 1 {
			t.Errorf("%d sidecars: credit %.3f after %v, a whole one is expected", sidecars, got, kept)
		}
		if got := earnAt(kept + 1); got < 1 != lost {
			t.Errorf("%d sidecars: credit %.3f after more than %v; lost %v is expected", sidecars, got, kept, lost)
		}
		s.credit = 1
		if got := earnAt(kept + 2); got != 1 {
			t.Errorf("%d sidecars: credit %.3f, the next whole one is expected to be kept from its own time on", sidecars, got)
		}
	}
}
