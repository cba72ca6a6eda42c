package decide

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// drive asks for n requests of a class, one each gap, and returns how often each server was sent to.
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
	list[0].Nominal = 3 // of 3+5
	k := newChecker(t, c, 1)
	k.event(Event{Kind: Members, Servers: list})
	got := sendRequests(k, 4000, 0, 20*ms)
	if in, all := countInZone(got, 0); in < all*99/100 {
		t.Errorf("%d of %d sends in the own zone", in, all)
	}
	if n := got[100]; n < 950 || n > 1700 { // own attempts out there pull towards equal parts
		t.Errorf("the server of three eighths of the weight got %d of 4000", n)
	}
	for id := ServerID(102); id <= 110; id += 2 {
		if n := got[id]; n < 380 || n > 750 {
			t.Errorf("server %d got %d of 4000, about 500 wanted", id, n)
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
			t.Errorf("%s: %d of %d sends step down", name, in, all)
		}
	}
}

// Quiet sidecars once spread over every server, with a new connection for nearly every request.
func TestQuietSidecarKeepsToSubset(t *testing.T) {
	k := newChecker(t, testConfig(), 9)
	k.event(Event{Kind: Members, Servers: testServers(80)})
	if n := len(sendRequests(k, 100, 0, time.Second)); n > minSubsetSize+2 {
		t.Errorf("1 request a second went to %d of 40 servers", n)
	}
	k = newChecker(t, testConfig(), 9)
	k.event(Event{Kind: Members, Servers: testServers(80)})
	if n := len(sendRequests(k, 1500, 0, 10*ms)); n < 12 { // 4 a second each
		t.Errorf("100 requests a second went to %d of 40 servers only", n)
	}
}

// A thin sidecar knows little of a worker but whether it still owes an answer: the draw must go by that, and by what
// other workers of its kind have shown where nothing is known of itself.
func TestDrawUsesOutstandingAndLatency(t *testing.T) {
	for name, test := range map[string]struct {
		know func(b *Balancer, list []*server)
		most float64 // share of the draws that the first server gets
	}{
		"nothing":              {func(*Balancer, []*server) {}, 0.40},
		"one answer is owed":   {func(_ *Balancer, l []*server) { l[0].outstanding = 1 }, 0.06},
		"two answers are owed": {func(_ *Balancer, l []*server) { l[0].outstanding = 2 }, 0.02},
		"its kind is slow":     {func(b *Balancer, l []*server) { l[0].Kind = 1; b.statsFor(l[0]).meanLatency = 3 }, 0.10},
		"it was slow just now": {func(b *Balancer, l []*server) { l[0].latencyRatio, l[0].latencyRatioAt = 3, b.now }, 0.10},
		"it was slow long ago": {func(b *Balancer, l []*server) { l[0].latencyRatio, l[0].latencyRatioAt = 3, b.now-time.Minute }, 0.40},
	} {
		b := New(testConfig(), 1)
		b.Handle(time.Hour, Event{Kind: Members, List: ListFull, Servers: testServers(6)})
		list := b.tiers[0].active.members
		first := list[0]
		test.know(b, list)
		r := &request{class: &b.classes[0], deadline: b.now + time.Second}
		drawn := 0
		for range 2000 {
			if b.draw(list, r, true) == first {
				drawn++
			}
		}
		if share := float64(drawn) / 2000; share > test.most || test.most > 0.3 && share < 0.26 {
			t.Errorf("%s: the first of three gets %.3f of the draws, at most %.2f is expected", name, share, test.most)
		}
	}
}

// A zone of one server among eight must not take a quarter of the calls to learn that it can not; and where the own
// zone waits and the other does not, a growing share leaves it until waiting is level.
func TestCrossZoneShare(t *testing.T) {
	list := testServers(8)
	for i := range list {
		list[i].Zone = min(i, 1)
	}
	b := New(testConfig(), 1)
	b.Handle(time.Hour, Event{Kind: Members, List: ListCached, Servers: list})
	if b.crossZoneShare < 0.7 || b.crossZoneShare > 0.8 {
		t.Errorf("one server of eight in one of two zones: %.2f leave it at first, 0.75 is expected", b.crossZoneShare)
	}
	b = New(testConfig(), 1)
	b.Handle(time.Hour, Event{Kind: Members, List: ListCached, Servers: testServers(8)})
	if b.crossZoneShare != 0 {
		t.Errorf("zones of one size: %.2f leave at first", b.crossZoneShare)
	}
	for _, step := range []struct {
		own, other float64 // load signals
		least      float64 // share away after ten seconds
		most       float64
	}{{0.5, 0, 0.7, crossZoneMaxShare}, {0.3, 0.25, 0.1, 0.3}, {0, 0.3, 0, 0}, {0.1, 0, 0, 0}} {
		for range 40 {
			b.now += 250 * ms
			b.tiers[0].load, b.tiers[0].loadUpdatedAt, b.tiers[1].load, b.tiers[1].loadUpdatedAt = step.own, b.now, step.other, b.now
			b.updateCrossZoneShare()
		}
		if b.crossZoneShare < step.least || b.crossZoneShare > step.most {
			t.Errorf("loads %.2f and %.2f: %.2f leave, %.2f to %.2f expected", step.own, step.other, b.crossZoneShare, step.least, step.most)
		}
	}
}

// Where each server of the own zone has an attempt of this sidecar's out while the zone waits, or two of them, and one
// elsewhere has fewer, the next request goes there, if it is worth the crossing; it comes home as soon as one is free.
func TestCrossesZonesWhenOwnServersAreBusy(t *testing.T) {
	for name, c := range map[string]struct {
		price, load float64
		want        string // zones of requests that come at once
		work        time.Duration
	}{
		"zone waits":         {0.1, 0.2, "0001", 100 * ms},
		"zone at ease":       {0.1, 0, "0000001", 100 * ms},
		"dear":               {10, 0.2, "0000000", 100 * ms},
		"zone waits, longer": {0.1, 0.2, "000111", 100 * ms},
		"short work":         {0.1, 0.09, "0000000000", 5 * ms}, // one call less ahead saves nothing
	} {
		k := testConfig()
		k.Prices.CrossZone = c.price
		b := New(k, 1)
		b.Handle(time.Hour, Event{Kind: Members, List: ListCached, Servers: testServers(6)})
		b.tiers[0].load, b.tiers[0].loadUpdatedAt = c.load, b.now
		for i := range b.classes {
			b.classes[i].baseLatency = c.work.Seconds()
		}
		zones, home := "", ServerID(0)
		ask := func(id uint64) (s ServerID) {
			for _, a := range b.Handle(b.now+ms, Event{Kind: Request, ID: id, Budget: 10 * time.Second}) {
				if a.Kind == Send {
					s = a.Server
				}
			}
			return s
		}
		for id := range uint64(len(c.want)) {
			s := ask(id)
			zones += fmt.Sprint(zoneOf(s))
			if id == 0 {
				home = s
			}
		}
		if zones != c.want {
			t.Errorf("%s: zones %s, want %s", name, zones, c.want)
		}
		b.tiers[0].loadUpdatedAt = b.now - time.Hour // not to sample what the answer says of load
		b.Handle(b.now+ms, Event{Kind: Outcome, ID: 0, Server: home, Status: OK, Done: true, Latency: ms})
		if s := ask(99); c.load > 0 && c.price < 1 && c.work > 50*ms && s != home {
			t.Errorf("%s: with server %d free at home it went to %d", name, home, s)
		}
	}
}

// Of two fleets with the same load, the one of few long requests scatters more within the span in which a cold server
// falls: its servers get a smaller part of their usual share, and room for chance stays under the multiple.
func TestSlowStartShareLeavesMargin(t *testing.T) {
	c := testConfig()
	b := New(c, 1)
	if got := b.slowStartShare(&server{}); got != minSlowStartShare {
		t.Errorf("before the first request: %.2f, the least is expected", got)
	}
	last := 0.0
	for _, base := range []float64{0.4, 0.1, 0.03, 0.01} {
		b.tenantRequests[0], b.classes[0].workByTenant[0] = 10, 10*base
		s := &server{Server: Server{Started: time.Hour}}
		b.now = time.Hour + c.Safety.WarmAfter/10
		got := b.slowStartShare(s)
		able := b.minCapacityShare(s) * c.Safety.TipAfter.Seconds() / base
		if mean := got * able; got > minSlowStartShare && mean+slowStartMargin*math.Sqrt(mean) > c.Safety.FallMultiple*able*1.001 {
			t.Errorf("requests of %.2f s: %.2f of the share, %.1f on average under a limit of %.1f", base, got, mean, c.Safety.FallMultiple*able)
		}
		if got < last || got < minSlowStartShare || got > maxSlowStartShare {
			t.Errorf("requests of %.2f s: %.2f of the share after %.2f for longer ones", base, got, last)
		}
		last = got
	}
	if last != maxSlowStartShare {
		t.Errorf("many short requests: %.2f, the most is expected", last)
	}
}
