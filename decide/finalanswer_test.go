package decide

import (
	"testing"
	"time"
)

// A request that no server may run again must get its final answer as soon as the outcome rules out a retry, not
// shortly before the client's deadline.
func TestFinalAnswerIsImmediateWhenNoRetryIsAllowed(t *testing.T) {
	for name, test := range map[string]struct {
		class  Class
		after  time.Duration // from the attempt to its outcome
		status Status
	}{
		"unsafe, reset":             {Class{Effect: Unsafe}, ms, Reset},
		"unsafe, stale connection":  {Class{Effect: Unsafe}, ms, StaleConnection},
		"unsafe, error":             {Class{Effect: Unsafe}, ms, Errored},
		"unsafe, unreadable answer": {Class{Effect: Unsafe}, ms, Unreadable},
		"keyed, window over":        {Class{Effect: Keyed, Window: time.Second}, time.Second, StaleConnection},
		"keyed, short window":       {Class{Effect: Keyed, Window: 2 * ms}, 2 * ms, Reset},
		"keyed by zone":             {Class{Effect: Keyed, Group: GroupZone, Window: time.Second}, time.Second, Errored},
	} {
		c := testConfig()
		test.class.Aim, test.class.Deadline, test.class.Worth, test.class.LateWorth = 30*time.Second, 30*time.Second, 1, 0.5
		c.Classes = []Class{test.class}
		b, now := New(c, 1), time.Hour
		b.Handle(now, Event{Kind: Members, Servers: testServers(4)})
		sent := 0
		for _, a := range b.Handle(now, Event{Kind: Request, ID: 1, Budget: 30 * time.Second}) {
			if a.Kind == Send {
				sent = int(a.Server)
			}
		}
		if sent == 0 {
			t.Fatalf("%s: no attempt was sent", name)
		}
		answered := false
		for _, a := range b.Handle(now+test.after, Event{Kind: Outcome, ID: 1, Server: ServerID(sent), Status: test.status}) {
			answered = answered || a.Kind == Fail || a.Kind == Refuse
		}
		if !answered {
			t.Errorf("%s: the request got no final answer", name)
		}
	}
}
