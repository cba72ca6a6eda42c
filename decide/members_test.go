package decide

import (
	"slices"
	"testing"
	"time"
)

func TestSubscribe(t *testing.T) {
	c := testConfig()
	c.Subscribe = true
	b := New(c, 11)
	now := time.Hour
	wait := func(acts []Action) time.Duration {
		for _, a := range acts {
			if a.Kind == Wake {
				if got := b.Handle(now+a.Wait, Event{Kind: Timer, Token: a.Token}); len(got) != 1 ||
					got[0].Kind != Watch || !got[0].On {
					t.Fatalf("after the wait: %+v", got)
				}
				now += a.Wait
				return a.Wait
			}
		}
		t.Fatalf("no timer in %+v", acts)
		return 0
	}
	if d := wait(b.Handle(now, Event{Kind: Members, List: ListCached, Servers: testServers(4)})); d > c.Safety.DrainGrace {
		t.Errorf("first call after %v", d)
	}
	told := float64(c.Safety.ToldWithin())
	for i := range 6 {
		share := nextWatchBackoff
		if i == 0 {
			share = firstWatchBackoff
		}
		if d := wait(b.Handle(now, Event{Kind: Members, List: ListFailed})); float64(d) > share*told || float64(d) < 0.1*share*told {
			t.Errorf("call %d after %v", i, d)
		}
	}
	b.Handle(now, Event{Kind: Members, List: ListDelta})
	if d := wait(b.Handle(now, Event{Kind: Members, List: ListFailed})); float64(d) > firstWatchBackoff*told {
		t.Errorf("no new start of the waits: %v", d)
	}
}

// A discovery that moved is asked at once, however long the old one has failed, and its own first failure is
// answered with the first, short wait.
func TestMovedDiscovery(t *testing.T) {
	b := New(testConfig(), 1)
	wait := func(e Event) time.Duration {
		for _, a := range b.Handle(time.Second, e) {
			if a.Kind == Wake || a.Kind == Watch && a.On {
				return a.Wait
			}
		}
		return -1
	}
	failed := Event{Kind: Members, List: ListFailed}
	for range 5 {
		wait(failed)
	}
	if w := wait(Event{Kind: Members, List: ListMoved}); w != 0 {
		t.Errorf("asked after %v, not at once", w)
	}
	if w := wait(failed); w <= 0 || float64(w) > firstWatchBackoff*float64(testConfig().Safety.ToldWithin()) {
		t.Errorf("waits %v after the first failure", w)
	}
}

// A watch that fell silent says nothing of the registry: it is opened anew at once, also where calls before it were refused.
// What fails after that is answered with a wait.
func TestSilentWatchIsReopenedAtOnce(t *testing.T) {
	for name, before := range map[string]int{"after an answer": 0, "after a refusal": 1, "after an outage": 7} {
		c := testConfig()
		c.Balancers, c.Subscribe = 300, true
		b := New(c, 3)
		fail := func(s Status) Action {
			return b.Handle(time.Hour, Event{Kind: Members, List: ListFailed, Status: s})[0]
		}
		for range before {
			fail(ConnectFailed)
		}
		if a := fail(TimedOut); a.Kind != Watch || !a.On {
			t.Errorf("%s: a silent watch is answered with %+v", name, a)
		}
		if a := fail(ConnectFailed); a.Kind != Wake || float64(a.Wait) < 0.1*firstWatchBackoff*float64(c.Safety.ToldWithin()) {
			t.Errorf("%s: a failure after that is answered with %+v", name, a)
		}
	}
}

// Discovery that is asked by all sidecars at once fails most of them, and what failed together must not come back together:
// in no tenth of the wait may more than a quarter of eighty ask. The first calls of a fleet that starts together come
// within the time that a drain leaves, whatever its size: what a list from before the start lacks may count as told already.
func TestWatchCallsSpread(t *testing.T) {
	c := testConfig()
	c.Subscribe = true
	for _, x := range []struct {
		name      string
		first     ListKind
		balancers int
		last      time.Duration
		even      bool // few within a tenth of it
	}{
		{"start", ListCached, 80, c.Safety.DrainGrace, false},
		{"start of a large fleet", ListCached, 300, c.Safety.DrainGrace, false},
		{"after a failure", ListFailed, 80, time.Duration(firstWatchBackoff * float64(c.Safety.ToldWithin())), true},
	} {
		c.Balancers = x.balancers
		var at []time.Duration
		for seed := range uint64(c.Balancers) {
			for _, a := range New(c, seed+1).Handle(time.Hour, Event{Kind: Members, List: x.first, Servers: testServers(4)}) {
				if a.Kind == Wake {
					at = append(at, a.Wait)
				}
			}
		}
		slices.Sort(at)
		if len(at) != c.Balancers || at[len(at)-1] >= x.last || at[len(at)-1]-at[0] < x.last/2 {
			t.Fatalf("%s: %d calls, from %v to %v", x.name, len(at), at[0], at[len(at)-1])
		}
		for i := range at {
			if j := i + len(at)/4; x.even && j < len(at) && at[j]-at[i] < x.last/10 {
				t.Errorf("%s: over a quarter of the calls within %v, at %v", x.name, at[j]-at[i], at[i])
			}
		}
	}
}
