package main

import (
	"fmt"
	"syscall"
	"time"
)

func init() { cases["reloads"] = reloads }

const (
	answerAfter = 1900 * time.Millisecond // a call to the registry waits so long; one that waits for 2 s fails
	reloadCount = 5
	reloadEach  = 1800 * time.Millisecond
	csiGrace    = 2050 * time.Millisecond // on drains, and the 50 ms by which sockets lengthen every limit
	toldWithin  = 6 * time.Second         // after the registry had a change and could be reached, it counts as told
)

// reloads: the registry is slow, and new configurations come in quick succession, each with another address of it. A worker
// begins to drain after the first one.
func reloads(g *rig) error {
	reg := newRegistry(g)
	var workers []*worker
	for i := range 6 {
		w, err := g.newWorker(fmt.Sprintf("s-%d", i+1), 20*time.Millisecond)
		if err != nil {
			return err
		}
		workers = append(workers, w)
		reg.entries = append(reg.entries, &entry{ID: w.id, Addr: w.addr, Zone: csiZones[i%2], Kind: "standard", Lifecycle: "up", Weight: 1, changed: 1})
	}
	reg.wait = func() time.Duration { return answerAfter }
	at, err := reg.serve("r0")
	if err != nil {
		return err
	}
	s, err := g.newSidecar("n1", at.addr, reg.known(), csiJobs())
	if err != nil {
		return err
	}
	if err := s.start(); err != nil {
		return err
	}
	calls := g.send("n1", s.listen, "proof", 25*time.Millisecond)
	defer calls.end()
	if err := g.pause(4 * time.Second); err != nil {
		return err
	}
	var drained time.Time
	count := reloadCount
	if !g.trouble {
		count = 1
	}
	for i := range count {
		next, err := reg.serve(fmt.Sprintf("r%d", i+1))
		if err != nil {
			return err
		}
		s.registry = next.addr
		if err := s.write(); err != nil {
			return err
		}
		g.note("platform: SIGHUP, the registry is at r%d", i+1)
		s.signal(syscall.SIGHUP)
		at.retire()
		at = next
		if i == 0 {
			if err := g.pause(reloadEach / 9); err != nil {
				return err
			}
			reg.set("s-1", "draining")
			drained = time.Now()
			if err := g.pause(reloadEach * 8 / 9); err != nil {
				return err
			}
		} else if err := g.pause(reloadEach); err != nil {
			return err
		}
	}
	if err := g.pause(8 * time.Second); err != nil {
		return err
	}
	if s.ended() {
		return broken("the sidecar has ended")
	}
	if late := workers[0].after(drained.Add(toldWithin+csiGrace), "n1-"); len(late) > 0 {
		return broken(fmt.Sprintf("s-1 drains since %.3f; later than 6 s and the grace after that it got %d requests, the last at %.3f", g.at(drained), len(late), g.at(late[len(late)-1].at)))
	}
	return nil
}
