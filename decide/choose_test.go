package decide

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// sendRequests sends n requests of a class at intervals of gap and counts the first attempts at each server.
func sendRequests(k *checker, n, class int, gap time.Duration) map[ServerID]int {
	got := map[ServerID]int{}
	for range n {
		for end := k.now + gap; k.now < end; {
			k.step()
		}
		id := uint64(k.now)
		k.sendRequest(id, class, time.Second)
		for _, try := range k.requests[id].attempts {
			got[try.server.ID]++
		}
	}
	return got
}

func zoneOf(id ServerID) int { return int(id) % 2 }

// countInZone returns the number of attempts in a zone and in total.
func countInZone(got map[ServerID]int, zone int) (in, all int) {
	for id, n := range got {
		if all += n; zoneOf(id) == zone {
			in += n
		}
	}
	return in, all
}

func TestPrefersOwnZoneByWeight(t *testing.T) {
	c := testConfig()
	c.Weights = WeightsRough
	list := testServers(12)
	list[0].Nominal = 3 // of 3+5 in its zone
	k := newChecker(t, c, 1)
	k.event(Event{Kind: Members, Servers: list})
	got := sendRequests(k, 4000, 0, 20*ms)
	if in, all := countInZone(got, 0); in < all*99/100 {
		t.Errorf("%d of %d attempts in the own zone", in, all)
	}
	if n := got[100]; n < 950 || n > 1700 { // outstanding attempts even out the shares
		t.Errorf("the server with three eighths of the weight got %d of 4000", n)
	}
	for id := ServerID(102); id <= 110; id += 2 {
		if n := got[id]; n < 380 || n > 750 {
			t.Errorf("server %d got %d of 4000, want about 500", id, n)
		}
	}
}

func TestFailsOverToOtherZone(t *testing.T) {
	c := testConfig()
	list := testServers(12)
	for name, change := range map[string]func(k *checker){
		"own zone lost silently": func(k *checker) {
			k.outcome = func(s Server) (time.Duration, Status) {
				if s.Zone == 0 {
					return time.Hour, TimedOut
				}
				return 50 * ms, OK
			}
		},
		"own zone refuses connections": func(k *checker) {
			k.outcome = func(s Server) (time.Duration, Status) {
				if s.Zone == 0 {
					return time.Millisecond, ConnectFailed
				}
				return 50 * ms, OK
			}
		},
		"own zone drained": func(k *checker) {
			for _, s := range list {
				if s.Zone == 0 {
					s.State = Draining
					k.event(Event{Kind: Members, List: ListDelta, Servers: []Server{s}})
				}
			}
		},
	} {
		k := newChecker(t, c, 2)
		k.event(Event{Kind: Members, Servers: list})
		sendRequests(k, 200, 0, 100*ms)
		change(k)
		sendRequests(k, 40, 0, 100*ms)
		if in, all := countInZone(sendRequests(k, 200, 0, 100*ms), 1); in < all*80/100 {
			t.Errorf("%s: %d of %d attempts go to the other zone", name, in, all)
		}
	}
}

// Balancers with little traffic once used every server, with a new connection for nearly every request.
func TestQuietSidecarKeepsToSubset(t *testing.T) {
	k := newChecker(t, testConfig(), 9)
	k.event(Event{Kind: Members, Servers: testServers(80)})
	if n := len(sendRequests(k, 100, 0, time.Second)); n > minSubsetSize+2 {
		t.Errorf("at 1 request per second, %d of 40 servers were used", n)
	}
	k = newChecker(t, testConfig(), 9)
	k.event(Event{Kind: Members, Servers: testServers(80)})
	if n := len(sendRequests(k, 1500, 0, 10*ms)); n < 12 { // 4 per second each
		t.Errorf("at 100 requests per second, only %d of 40 servers were used", n)
	}
}

// A balancer with little traffic has few latency samples of a server. The draw must use its outstanding attempts, and the
// latency of other servers of its kind while there is no sample of its own.
func TestDrawUsesOutstandingAndLatency(t *testing.T) {
	for name, test := range map[string]struct {
		prepare  func(b *Balancer, list []*server)
		maxShare float64 // share of the draws that the first server gets
	}{
		"nothing known":   {func(*Balancer, []*server) {}, 0.40},
		"one outstanding": {func(_ *Balancer, l []*server) { l[0].outstanding = 1 }, 0.06},
		"two outstanding": {func(_ *Balancer, l []*server) { l[0].outstanding = 2 }, 0.02},
		"slow kind":       {func(b *Balancer, l []*server) { l[0].Kind = 1; b.statsFor(l[0]).meanLatency = 3 }, 0.10},
		"slow recently":   {func(b *Balancer, l []*server) { l[0].latencyRatio, l[0].latencyRatioAt = 3, b.now }, 0.10},
		"slow long ago":   {func(b *Balancer, l []*server) { l[0].latencyRatio, l[0].latencyRatioAt = 3, b.now-time.Minute }, 0.40},
	} {
		b := New(testConfig(), 1)
		b.Handle(time.Hour, Event{Kind: Members, List: ListFull, Servers: testServers(6)})
		list := b.tiers[0].active.members
		first := list[0]
		test.prepare(b, list)
		r := &request{class: &b.classes[0], deadline: b.now + time.Second}
		drawn := 0
		for range 2000 {
			if b.draw(list, r, true) == first {
				drawn++
			}
		}
		if share := float64(drawn) / 2000; share > test.maxShare || test.maxShare > 0.3 && share < 0.26 {
			t.Errorf("%s: the first of three servers gets %.3f of the draws, want at most %.2f", name, share, test.maxShare)
		}
	}
}

// A zone with one of eight servers must not first be sent a full zone's share of the requests. While only the own zone
// has queueing delay, a growing share of the requests leaves it.
func TestCrossZoneShare(t *testing.T) {
	list := testServers(8)
	for i := range list {
		list[i].Zone = min(i, 1)
	}
	b := New(testConfig(), 1)
	b.Handle(time.Hour, Event{Kind: Members, List: ListCached, Servers: list})
	if b.crossZoneShare < 0.7 || b.crossZoneShare > 0.8 {
		t.Errorf("one server of eight in one of two zones: initial share %.2f, want 0.75", b.crossZoneShare)
	}
	b = New(testConfig(), 1)
	b.Handle(time.Hour, Event{Kind: Members, List: ListCached, Servers: testServers(8)})
	if b.crossZoneShare != 0 {
		t.Errorf("zones of equal size: initial share %.2f, want 0", b.crossZoneShare)
	}
	for _, step := range []struct {
		own, other float64 // load signals
		minShare   float64 // cross-zone share after ten seconds
		maxShare   float64
	}{{0.5, 0, 0.7, crossZoneMaxShare}, {0.3, 0.25, 0.1, 0.3}, {0, 0.3, 0, 0}, {0.1, 0, 0, 0}} {
		for range 40 {
			b.now += 250 * ms
			b.tiers[0].load, b.tiers[0].loadUpdatedAt, b.tiers[1].load, b.tiers[1].loadUpdatedAt = step.own, b.now, step.other, b.now
			b.updateCrossZoneShare()
		}
		if b.crossZoneShare < step.minShare || b.crossZoneShare > step.maxShare {
			t.Errorf("loads %.2f and %.2f: cross-zone share %.2f, want %.2f to %.2f", step.own, step.other, b.crossZoneShare, step.minShare, step.maxShare)
		}
	}
}

// If every server of the own zone has two outstanding attempts of this balancer, or one while the zone has queueing
// delay, and a server elsewhere has fewer, the next request goes there if it is worth the price of crossing. As soon as
// an own server is free, requests stay in the own zone.
func TestCrossesZonesWhenOwnServersAreBusy(t *testing.T) {
	for name, test := range map[string]struct {
		price, load float64
		want        string // zones of requests that arrive together
		work        time.Duration
	}{
		"loaded":       {0.1, 0.2, "0001", 100 * ms},
		"no load":      {0.1, 0, "0000001", 100 * ms},
		"high price":   {10, 0.2, "0000000", 100 * ms},
		"loaded, more": {0.1, 0.2, "000111", 100 * ms},
		"short work":   {0.1, 0.09, "0000000000", 5 * ms}, // one request less in the queue saves nothing
	} {
		config := testConfig()
		config.Prices.CrossZone = test.price
		b := New(config, 1)
		b.Handle(time.Hour, Event{Kind: Members, List: ListCached, Servers: testServers(6)})
		b.tiers[0].load, b.tiers[0].loadUpdatedAt = test.load, b.now
		for i := range b.classes {
			b.classes[i].baseLatency = test.work.Seconds()
		}
		zones, ownServer := "", ServerID(0)
		send := func(id uint64) (s ServerID) {
			for _, a := range b.Handle(b.now+ms, Event{Kind: Request, ID: id, Budget: 10 * time.Second}) {
				if a.Kind == Send {
					s = a.Server
				}
			}
			return s
		}
		for id := range uint64(len(test.want)) {
			s := send(id)
			zones += fmt.Sprint(zoneOf(s))
			if id == 0 {
				ownServer = s
			}
		}
		if zones != test.want {
			t.Errorf("%s: zones %s, want %s", name, zones, test.want)
		}
		b.tiers[0].loadUpdatedAt = b.now - time.Hour // so that the answer adds no load sample
		b.Handle(b.now+ms, Event{Kind: Outcome, ID: 0, Server: ownServer, Status: OK, Done: true, Latency: ms})
		if s := send(99); test.load > 0 && test.price < 1 && test.work > 50*ms && s != ownServer {
			t.Errorf("%s: server %d of the own zone is free, but the request went to %d", name, ownServer, s)
		}
	}
}

// At equal load, few long requests vary more within the overload window than many short ones. A warming server then gets a
// smaller part of its usual share, so that the limit leaves a margin for random variation.
func TestSlowStartShareLeavesMargin(t *testing.T) {
	c := testConfig()
	b := New(c, 1)
	if got := b.slowStartShare(&server{}); got != minSlowStartShare {
		t.Errorf("before the first request: %.2f, want the minimum", got)
	}
	last := 0.0
	for _, base := range []float64{0.4, 0.1, 0.03, 0.01} {
		b.tenantRequests[0], b.classes[0].workByTenant[0] = 10, 10*base
		s := &server{Server: Server{Started: time.Hour}}
		b.now = time.Hour + c.Safety.WarmAfter/10
		got := b.slowStartShare(s)
		capacity := b.minCapacityShare(s) * c.Safety.OverloadWindow.Seconds() / base
		if mean := got * capacity; got > minSlowStartShare && mean+slowStartMargin*math.Sqrt(mean) > c.Safety.FallMultiple*capacity*1.001 {
			t.Errorf("requests of %.2f s: share %.2f gives %.1f on average, too close to the limit of %.1f", base, got, mean, c.Safety.FallMultiple*capacity)
		}
		if got < last || got < minSlowStartShare || got > maxSlowStartShare {
			t.Errorf("requests of %.2f s: share %.2f after %.2f for longer ones", base, got, last)
		}
		last = got
	}
	if last != maxSlowStartShare {
		t.Errorf("many short requests: %.2f, want the maximum", last)
	}
}
