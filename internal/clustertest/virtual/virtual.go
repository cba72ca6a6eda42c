package virtual

import (
	"context"
	"fmt"
	"os"
	"runtime"
	"strings"
	"testing"
	"testing/synctest"

	"burlpass/internal/clustertest/faults"
	"burlpass/internal/clustertest/history"
	"burlpass/internal/clustertest/run"
)

// Without are the kinds of faults that cannot be played with disks, or without.
func Without(disks bool) []faults.Kind {
	if disks {
		return []faults.Kind{faults.Rot}
	}
	return []faults.Kind{faults.Rot, faults.Full, faults.Fsync}
}

// Leased is the promise that what processes go by of a limit adds up to no more.
const Leased history.Promise = "leased"

// Play plays a plan on virtual time, in a bubble of a test's. An error is one of the test's own, or goroutines that are left.
func Play(t *testing.T, plan *faults.Plan, o run.Options, leases bool) (out *run.Outcome, err error) {
	over := false
	defer func() {
		why := recover()
		if why == nil {
			return
		}
		if !over || !Disks {
			panic(why)
		}
		if one := left(); one != "" {
			err = fmt.Errorf("%v: %s", why, one)
		}
	}()
	synctest.Test(t, func(t *testing.T) {
		w := NewWorld(plan, leases)
		o.World = w
		out, err = run.Play(context.Background(), plan, o)
		w.Close()
		if out != nil && leases && Disks { // without, the lines are told by the real clock
			for _, text := range w.ledger.over() {
				out.Breaches = append(out.Breaches, history.Breach{Promise: Leased, Text: text})
			}
		}
		over = true
	})
	return out, err
}

// left gives a goroutine that is left of a bubble, but for those that wait for a future of raft: a raft that is shut down while its
// disk hangs forgets what is in its queues. A process would end with them.
func left() string {
	text := make([]byte, 4<<20)
	text = text[:runtime.Stack(text, true)]
	for _, one := range strings.Split(string(text), "\n\n") {
		head, _, _ := strings.Cut(one, "\n")
		if strings.Contains(head, "synctest bubble") && !strings.Contains(one, "voter.(*Voter).await.func1") {
			return one
		}
	}
	return ""
}

// Memory is a folder for runs that lies in memory, where the system has one; else "".
func Memory() string {
	const shared = "/dev/shm"
	if dir, err := os.MkdirTemp(shared, "burlpass-virtual-"); err == nil {
		return dir
	}
	return ""
}
