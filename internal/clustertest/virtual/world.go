// Package virtual plays the plans of internal/clustertest/faults on virtual time: the cluster's own code, voters and observers,
// in one process within a bubble of testing/synctest, with a network in memory and folders that lose what was not synced. The
// same seed gives the same plan; the order of goroutines is the runtime's and differs from run to run.
package virtual

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"testing/synctest"

	"burlpass/internal/clustertest/faults"
	"burlpass/internal/clustertest/process"
	"burlpass/internal/clustertest/run"
)

// World is what members live in. It implements run.World, within one bubble.
type World struct {
	plan    *faults.Plan
	net     *network
	clients *host
	disks   *disks
	ledger  *ledger // nil: no leases

	moment chan struct{}  // held by who looks at the folders while all else waits
	old    sync.WaitGroup // lives that are being cleared away

	mu    sync.Mutex
	rnd   *rand.Rand
	lives int
}

var _ run.World = (*World)(nil)

// NewWorld is called within a bubble. With leases members ask for leases and make calls all the time.
func NewWorld(plan *faults.Plan, leases bool) *World {
	w := &World{plan: plan, net: newNetwork(plan.Seed), moment: make(chan struct{}, 1), rnd: rand.New(rand.NewPCG(plan.Seed, 0x776f726c64)),
		disks: newDisks(plan.Seed)}
	if leases {
		w.ledger = newLedger()
	}
	w.clients = w.net.join("clients")
	return w
}

// Dial reaches a member past all wires.
func (w *World) Dial(ctx context.Context, network, to string) (net.Conn, error) {
	return w.clients.Dial(ctx, network, to)
}

// Wire implements run.World.
func (w *World) Wire(from, to string) run.Wire {
	w.net.mu.Lock()
	defer w.net.mu.Unlock()
	return w.net.wire(from, to)
}

// Close waits until nothing of any life is left.
func (w *World) Close() {
	w.clients.leave(false)
	w.old.Wait()
	w.disks.close()
}

// life is one of a member's. It works in a folder of its own, which the next life has a copy of.
type life struct {
	w      *World
	member string
	number int
	host   *host
	folder string // that outlives it
	own    string // in which it works
	part   *part
	gone   func(string)
	done   chan struct{}

	mu    sync.Mutex
	ended bool
}

// Start implements run.World.
func (w *World) Start(member, folder string, line, gone func(string)) (run.Body, error) {
	w.mu.Lock()
	w.lives++
	l := &life{w: w, member: member, number: w.lives, folder: folder, own: filepath.Join(filepath.Dir(folder), fmt.Sprint("life", w.lives)),
		gone: gone, done: make(chan struct{})}
	w.mu.Unlock()
	if err := os.Rename(folder, l.own); err != nil {
		return nil, err
	}
	w.disks.mount(l.own)
	l.host = w.net.join(member)
	var err error
	if l.part, err = open(w, l, line); err != nil { // as a process that ends at once
		line("* " + err.Error())
		l.host.leave(false)
		go l.end("did not start", func() { w.keep(l, nil) })
		return l, nil
	}
	return l, nil
}

// end is called by whoever ends the life; only the first one's counts.
func (l *life) end(how string, keep func()) {
	l.mu.Lock()
	first := !l.ended
	l.ended = true
	l.mu.Unlock()
	if !first {
		<-l.done
		return
	}
	keep()
	go func() {
		l.gone(how)
		close(l.done)
	}()
	<-l.done
}

// keep copies what is left on the disk into the folder that outlives the life.
func (w *World) keep(l *life, lose *rand.Rand) {
	if err := w.disks.copy(l.own, l.folder, lose); err != nil {
		panic(fmt.Sprintf("%s: what is left on the disk: %v", l.member, err)) // the test's own
	}
}

// Pid numbers the life.
func (l *life) Pid() int { return l.number }

// Done is closed when the life has ended.
func (l *life) Done() <-chan struct{} { return l.done }

// Kill is a loss of power of the member's machine, at a moment at which everybody waits for time to pass: what was not synced
// is lost or not, piece by piece. Others hear of it by resets or, one time in two, not at all. Its code runs on for a while, and
// reaches nobody and no folder that counts.
func (l *life) Kill() {
	l.w.moment <- struct{}{}
	l.w.mu.Lock()
	chance := rand.New(rand.NewPCG(l.w.rnd.Uint64(), 1))
	l.w.mu.Unlock()
	l.end("lost its power", func() {
		synctest.Wait()
		l.w.keep(l, chance)
		if l.part != nil && l.part.demand != nil {
			l.part.demand.die()
		}
		l.host.leave(chance.IntN(2) == 0)
		l.w.disks.cut(l.own)
		l.w.clear(l)
	})
	<-l.w.moment
}

// clear ends what is left of a life that counts for nothing any more.
func (w *World) clear(l *life) {
	if l.part == nil {
		return
	}
	w.old.Add(1)
	go func() {
		defer w.old.Done()
		l.part.close()
		_ = os.RemoveAll(l.own)
		w.disks.forget(l.own)
	}()
}

// Signal implements run.Body: SIGTERM, SIGSTOP, SIGCONT and SIGHUP. A life that stands still has its network and its disk stand
// still; its timers run on, which a process's would too, but nobody acts on them there.
func (l *life) Signal(s syscall.Signal) error {
	l.mu.Lock()
	ended := l.ended
	l.mu.Unlock()
	if ended {
		return process.ErrGone
	}
	switch s {
	case syscall.SIGTERM:
		go l.end("exit status 0", func() {
			l.part.close()
			l.host.leave(false)
			l.w.keep(l, nil)
			_ = os.RemoveAll(l.own)
			l.w.disks.forget(l.own)
		})
	case syscall.SIGSTOP:
		l.host.stand(true)
		l.w.disks.stand(l.own, true)
	case syscall.SIGCONT:
		l.host.stand(false)
		l.w.disks.stand(l.own, false)
	case syscall.SIGHUP:
	default:
		return errors.ErrUnsupported
	}
	return nil
}

// LimitFiles has the disk take nothing more (0), or take it again.
func (l *life) LimitFiles(bytes uint64) error {
	l.w.disks.full(l.own, bytes == 0)
	return nil
}
