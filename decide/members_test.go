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
			if a.Kind == SetTimer {
				if got := b.Handle(now+a.Wait, Event{Kind: Timer, Token: a.Token}); len(got) != 1 ||
					got[0].Kind != Watch || !got[0].On {
					t.Fatalf("after the wait: %+v, want a Watch", got)
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
	limit := float64(c.Safety.PropagationLimit())
	for i := range 6 {
		share := nextWatchBackoff
		if i == 0 {
			share = firstWatchBackoff
		}
		if d := wait(b.Handle(now, Event{Kind: Members, List: ListFailed})); float64(d) > share*limit || float64(d) < 0.1*share*limit {
			t.Errorf("call %d: unexpected wait of %v", i, d)
		}
	}
	b.Handle(now, Event{Kind: Members, List: ListDelta})
	if d := wait(b.Handle(now, Event{Kind: Members, List: ListFailed})); float64(d) > firstWatchBackoff*limit {
		t.Errorf("the backoff was not reset: %v", d)
	}
}

// A new discovery source is called at once, however long the old one has failed, and its own first failure is followed by
// the first, short backoff.
func TestMovedDiscovery(t *testing.T) {
	b := New(testConfig(), 1)
	wait := func(e Event) time.Duration {
		for _, a := range b.Handle(time.Second, e) {
			if a.Kind == SetTimer || a.Kind == Watch && a.On {
				return a.Wait
			}
		}
		return -1
	}
	failed := Event{Kind: Members, List: ListFailed}
	for range 5 {
		wait(failed)
	}
	if w := wait(Event{Kind: Members, List: ListSourceChanged}); w != 0 {
		t.Errorf("called after %v, want at once", w)
	}
	if w := wait(failed); w <= 0 || float64(w) > firstWatchBackoff*float64(testConfig().Safety.PropagationLimit()) {
		t.Errorf("waits %v after the first failure", w)
	}
}

// A watch without an answer is no evidence against discovery: it is reopened at once, also after earlier failed calls. A
// failure after that is followed by a backoff.
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
			t.Errorf("%s: silent watch: got %+v, want a Watch", name, a)
		}
		if a := fail(ConnectFailed); a.Kind != SetTimer || float64(a.Wait) < 0.1*firstWatchBackoff*float64(c.Safety.PropagationLimit()) {
			t.Errorf("%s: next failure: got %+v, want a backoff", name, a)
		}
	}
}

// Discovery that is called by all balancers at once fails for most of them, and they must not retry together: no tenth of
// the wait may hold more than a quarter of eighty calls. The first calls of balancers that start together come within the
// drain grace, whatever their number, as changes since the cached list may be due already.
func TestWatchCallsSpread(t *testing.T) {
	c := testConfig()
	c.Subscribe = true
	for _, x := range []struct {
		name      string
		first     ListKind
		balancers int
		last      time.Duration
		even      bool // whether to check the spread
	}{
		{"start", ListCached, 80, c.Safety.DrainGrace, false},
		{"start of a large fleet", ListCached, 300, c.Safety.DrainGrace, false},
		{"after a failure", ListFailed, 80, time.Duration(firstWatchBackoff * float64(c.Safety.PropagationLimit())), true},
	} {
		c.Balancers = x.balancers
		var at []time.Duration
		for seed := range uint64(c.Balancers) {
			for _, a := range New(c, seed+1).Handle(time.Hour, Event{Kind: Members, List: x.first, Servers: testServers(4)}) {
				if a.Kind == SetTimer {
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
