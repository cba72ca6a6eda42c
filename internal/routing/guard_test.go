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

// A call that a worker may have executed must be repeated only as its class allows.
func TestMayRepeat(t *testing.T) {
	startedAt := time.Now()
	ran := firstRun{startedAt: startedAt, zone: 1, cell: 2}
	sameCell, sameZone, elsewhere := command{zone: 1, cell: 2}, command{zone: 1, cell: 3}, command{zone: 0, cell: 3}
	keyed := func(g decide.Group) decide.Class {
		return decide.Class{Effect: decide.Keyed, Group: g, Window: time.Second}
	}
	for name, test := range map[string]struct {
		class decide.Class
		first firstRun
		to    command
		after time.Duration
		want  bool
	}{
		"nothing executed":    {decide.Class{Effect: decide.Unsafe}, firstRun{}, elsewhere, time.Hour, true},
		"safe":                {decide.Class{Effect: decide.Safe}, ran, elsewhere, time.Hour, true},
		"unsafe":              {decide.Class{Effect: decide.Unsafe, Window: time.Hour}, ran, sameCell, 0, false},
		"all":                 {keyed(decide.GroupAll), ran, elsewhere, 0, true},
		"all, too late":       {keyed(decide.GroupAll), ran, sameCell, time.Second, false},
		"zone":                {keyed(decide.GroupZone), ran, sameZone, 0, true},
		"another zone":        {keyed(decide.GroupZone), ran, elsewhere, 0, false},
		"cell":                {keyed(decide.GroupCell), ran, sameCell, time.Second - 1, true},
		"another cell":        {keyed(decide.GroupCell), ran, sameZone, 0, false},
		"zone, just too late": {keyed(decide.GroupZone), ran, sameCell, time.Second, false},
		"zone, just in time":  {keyed(decide.GroupZone), ran, sameCell, time.Second - 1, true},
	} {
		if got := test.first.mayRepeat(&test.class, test.to, startedAt.Add(test.after)); got != test.want {
			t.Errorf("%s: got %v", name, got)
		}
	}
}

// A second send of a call that must not be executed twice must not go out, whoever commands it, and must be counted.
func TestForbiddenRepeat(t *testing.T) {
	s := newTestSidecar(t, decide.Class{Effect: decide.Unsafe}, 0, func(c *Config) {
		c.Invariants = invariant.NewMonitor(logging.Discard())
		c.Decide.Limits.SecondCopies = true // otherwise the router rejects the second attempt for that reason alone
	})
	s.applyList(s.registrySource, s.list(2, s.instance(0), s.instance(1)), decide.ListFull)
	s.serve()
	var conn net.Conn
	other := s.accepted[0]
	select {
	case conn = <-s.accepted[0]:
		other = s.accepted[1]
	case conn = <-s.accepted[1]:
	}
	readRequest(conn)
	s.Router.mu.Lock()
	for callID, active := range s.calls {
		for id, worker := range s.workers {
			active.enqueue(command{Action: decide.Action{Kind: decide.Send, ID: callID, Server: id}, peer: worker.peer})
		}
	}
	s.Router.mu.Unlock()
	for s.Invariants.Count(invariant.RepeatAllowed) < 2 {
		time.Sleep(time.Millisecond)
	}
	io.WriteString(conn, okAnswer)
	if a := receive(t, s.answers); a.Verdict != protocol.Served {
		t.Errorf("got %+v", a)
	}
	select {
	case <-other:
		t.Error("the second attempt was sent")
	default:
	}
}

// If the first byte is sent so late that the conditions checked by Ready have changed, the attempt must be counted under
// each rule that it violates.
func TestLateFirstByte(t *testing.T) {
	for name, test := range map[string]struct {
		after  time.Duration
		change func(s *testSidecar, active *activeCall, a *attempt)
		want   []invariant.Rule
	}{
		"no change": {120 * time.Millisecond, func(*testSidecar, *activeCall, *attempt) {}, nil},
		"client left": {120 * time.Millisecond, func(_ *testSidecar, active *activeCall, _ *attempt) {
			active.clientLeft.Store(true)
		}, []invariant.Rule{invariant.ClientPresent}},
		"worker drains, within the grace period": {120 * time.Millisecond, func(s *testSidecar, _ *activeCall, _ *attempt) {
			s.applyList(s.registrySource, s.list(2), decide.ListFull)
		}, nil},
		"worker drains, after the grace period": {time.Second, func(s *testSidecar, _ *activeCall, _ *attempt) {
			s.applyList(s.registrySource, s.list(2), decide.ListFull)
		}, []invariant.Rule{invariant.BackendListed, invariant.DeadlineTold}},
		"deadline passed": {120 * time.Millisecond, func(_ *testSidecar, _ *activeCall, a *attempt) {
			a.initialDeadline = time.Now().Add(-time.Second)
		}, []invariant.Rule{invariant.WithinDeadline}},
		"too much time sent to the worker": {200 * time.Millisecond, func(*testSidecar, *activeCall, *attempt) {},
			[]invariant.Rule{invariant.DeadlineTold}},
	} {
		t.Run(name, func(t *testing.T) {
			s := newTestSidecar(t, decide.Class{}, 0, func(c *Config) {
				c.Invariants = invariant.NewMonitor(logging.Discard())
				c.Decide.Safety.DrainGrace = 750 * time.Millisecond
			})
			active := &activeCall{call: &protocol.Call{ID: []byte("t1")}}
			a := &attempt{router: s.Router, activeCall: active, initialDeadline: time.Now().Add(time.Minute),
				command: command{Action: decide.Action{Server: 1}, peer: s.findWorker(1).peer}}
			if !a.Ready() {
				t.Fatal("not ready before the change")
			}
			test.change(s, active, a)
			a.StartedLate(test.after)
			for _, rule := range test.want {
				if s.Invariants.Count(rule) != 1 {
					t.Errorf("%v was counted %d times, want 1", rule, s.Invariants.Count(rule))
				}
			}
			if total := s.Invariants.Total(); total != int64(len(test.want)) {
				t.Errorf("%d violations in total, want %d", total, len(test.want))
			}
		})
	}
}
