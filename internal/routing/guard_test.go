package routing

import (
	"io"
	"net"
	"testing"
	"time"

	"burlpass/decide"
	"burlpass/internal/invariant"
	"burlpass/internal/logging"
	"burlpass/internal/protocol"
)

// What may have run goes out again only as its class allows.
func TestMayRepeat(t *testing.T) {
	begun := time.Now()
	ran := firstRun{begun: begun, zone: 1, cell: 2}
	here, zone, away := order{zone: 1, cell: 2}, order{zone: 1, cell: 3}, order{zone: 0, cell: 3}
	keyed := func(g decide.Group) decide.Class {
		return decide.Class{Effect: decide.Keyed, Group: g, Window: time.Second}
	}
	for name, test := range map[string]struct {
		class decide.Class
		first firstRun
		to    order
		after time.Duration
		want  bool
	}{
		"nothing has run":     {decide.Class{Effect: decide.Unsafe}, firstRun{}, away, time.Hour, true},
		"safe":                {decide.Class{Effect: decide.Safe}, ran, away, time.Hour, true},
		"unsafe":              {decide.Class{Effect: decide.Unsafe, Window: time.Hour}, ran, here, 0, false},
		"all":                 {keyed(decide.GroupAll), ran, away, 0, true},
		"all, too late":       {keyed(decide.GroupAll), ran, here, time.Second, false},
		"zone":                {keyed(decide.GroupZone), ran, zone, 0, true},
		"another zone":        {keyed(decide.GroupZone), ran, away, 0, false},
		"cell":                {keyed(decide.GroupCell), ran, here, time.Second - 1, true},
		"another cell":        {keyed(decide.GroupCell), ran, zone, 0, false},
		"zone, just too late": {keyed(decide.GroupZone), ran, here, time.Second, false},
		"zone, just in time":  {keyed(decide.GroupZone), ran, here, time.Second - 1, true},
	} {
		if got := test.first.mayRepeat(&test.class, test.to, begun.Add(test.after)); got != test.want {
			t.Errorf("%s: got %v", name, got)
		}
	}
}

// A second send of what must not run twice, ordered by whomever, is counted and does not go out.
func TestUnlawfulOrder(t *testing.T) {
	w := newTown(t, decide.Class{Effect: decide.Unsafe}, 0, func(c *Config) {
		c.Invariants = invariant.NewMonitor(logging.Discard())
		c.Decide.Limits.SecondCopies = true // else the router lets no second attempt out for that alone
	})
	w.learn(w.source, w.list(2, w.instance(0), w.instance(1)), decide.ListFull)
	w.serve()
	var c net.Conn
	other := w.accepted[0]
	select {
	case c = <-w.accepted[0]:
		other = w.accepted[1]
	case c = <-w.accepted[1]:
	}
	firstLine(c)
	w.Router.mu.Lock()
	for id, t := range w.calls {
		for server, backend := range w.workers {
			t.order(order{Action: decide.Action{Kind: decide.Send, ID: id, Server: server}, peer: backend.peer})
		}
	}
	w.Router.mu.Unlock()
	for w.Invariants.Count(invariant.RepeatAllowed) < 2 {
		time.Sleep(time.Millisecond)
	}
	io.WriteString(c, okAnswer)
	if a := within(t, w.answers); a.Verdict != protocol.Served {
		t.Errorf("got %+v", a)
	}
	select {
	case <-other:
		t.Error("the second send went out")
	default:
	}
}

// An attempt whose first byte went out late, after what Ready saw has changed, is counted under the rule that it broke.
func TestLateStart(t *testing.T) {
	for name, test := range map[string]struct {
		after  time.Duration
		change func(w *town, t *task, d *attempt)
		want   []invariant.Rule
	}{
		"nothing has changed": {120 * time.Millisecond, func(*town, *task, *attempt) {}, nil},
		"its client has left": {120 * time.Millisecond, func(_ *town, t *task, _ *attempt) { t.gone.Store(true) }, []invariant.Rule{invariant.ClientPresent}},
		"its backend drains, in the grace": {120 * time.Millisecond, func(w *town, _ *task, _ *attempt) {
			w.learn(w.source, w.list(2), decide.ListFull)
		}, nil},
		"its backend drains, after the grace": {time.Second, func(w *town, _ *task, _ *attempt) {
			w.learn(w.source, w.list(2), decide.ListFull)
		}, []invariant.Rule{invariant.BackendListed, invariant.DeadlineTold}},
		"its time is over": {120 * time.Millisecond, func(_ *town, _ *task, d *attempt) {
			d.deadline = time.Now().Add(-time.Second)
		}, []invariant.Rule{invariant.WithinDeadline}},
		"it was told too much time": {200 * time.Millisecond, func(*town, *task, *attempt) {}, []invariant.Rule{invariant.DeadlineTold}},
	} {
		t.Run(name, func(t *testing.T) {
			w := newTown(t, decide.Class{}, 0, func(c *Config) {
				c.Invariants = invariant.NewMonitor(logging.Discard())
				c.Decide.Safety.DrainGrace = 750 * time.Millisecond
			})
			request := &task{call: &protocol.Call{ID: []byte("t1")}}
			d := &attempt{router: w.Router, task: request, deadline: time.Now().Add(time.Minute),
				order: order{Action: decide.Action{Server: 1}, peer: w.worker(1).peer}}
			if !d.Ready() {
				t.Fatal("not ready before the change")
			}
			test.change(w, request, d)
			d.Began(test.after)
			for _, rule := range test.want {
				if w.Invariants.Count(rule) != 1 {
					t.Errorf("%v was counted %d times", rule, w.Invariants.Count(rule))
				}
			}
			if total := w.Invariants.Total(); total != int64(len(test.want)) {
				t.Errorf("%d violations in all, %d expected", total, len(test.want))
			}
		})
	}
}
