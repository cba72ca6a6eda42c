package run

import (
	"context"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"burlpass/internal/clustertest/faults"
	"burlpass/internal/clustertest/history"
	"burlpass/internal/clustertest/process"
)

// endTime is how long a process may take to end after SIGTERM.
const endTime = 30 * time.Second

// conduct plays the plan's faults and returns when all have ended. Where ctx ends they end early.
func (f *fleet) conduct(ctx context.Context) {
	var all sync.WaitGroup
	for i, fault := range f.plan.Faults {
		r := rand.New(rand.NewPCG(f.plan.Seed, uint64(i)))
		all.Go(func() {
			if f.until(ctx, fault.At) {
				f.play(ctx, fault, r)
			}
		})
	}
	all.Wait()
}

// until waits for a time of the run; false where ctx ends before.
func (f *fleet) until(ctx context.Context, at time.Duration) bool {
	select {
	case <-time.After(at - f.since()):
		return true
	case <-ctx.Done():
		return false
	}
}

// since is the time since the faults began to count: forming the cluster is before it.
func (f *fleet) since() time.Duration { return f.log.now() - f.formed }

// play begins a fault, waits and ends it.
func (f *fleet) play(ctx context.Context, fault faults.Fault, r *rand.Rand) {
	if fault.Target == faults.Leader {
		fault.Target = f.leader()
	}
	f.log.note("test", "begins: %v", fault)
	defer f.log.note("test", "ends:   %v", fault)
	began, played := f.log.now(), true
	defer func() {
		if played {
			f.seen.played(span{fault.Kind, began, f.log.now()})
		}
	}()
	m := f.members[fault.Target]
	switch fault.Kind {
	case faults.Kill:
		f.downFor(ctx, fault, m, 0, nil)
	case faults.Term:
		f.downFor(ctx, fault, m, endTime, nil)
	case faults.Power:
		var all sync.WaitGroup
		for _, name := range f.plan.Voters {
			all.Go(func() { f.downFor(ctx, fault, f.members[name], 0, nil) })
		}
		all.Wait()
	case faults.Stop:
		m.stop()
		f.until(ctx, fault.End())
		m.resume()
	case faults.Hup:
		if p := m.running(); p != nil {
			_ = p.Signal(syscall.SIGHUP)
		}
	case faults.Wipe, faults.Tear, faults.Full, faults.Rot:
		played = f.damage(ctx, fault, m, r)
	case faults.Clock, faults.Jump:
		played = f.misset(ctx, fault, m, r)
	case faults.Fsync:
		played = f.slowDisk(ctx, fault, m)
	default:
		end := f.net.put(fault)
		f.until(ctx, fault.End())
		end()
	}
}

// downFor ends a process for the time of a fault. between is done while it is down; nil: nothing.
func (f *fleet) downFor(ctx context.Context, fault faults.Fault, m *member, within time.Duration, between func()) {
	if !m.down(within) {
		f.breach(history.BoundedTime, "%s had not ended %v after SIGTERM", m.name, within)
	}
	if between != nil {
		between()
	}
	f.until(ctx, fault.End())
	if err := m.up(); err != nil {
		f.log.note(m.name, "* not started: %v", err)
	}
	f.again(m.name)
}

// damage plays a fault that may cost a voter what it knew, where enough others are whole; false where they are not.
func (f *fleet) damage(ctx context.Context, fault faults.Fault, m *member, r *rand.Rand) bool {
	if !f.hurt(m.name, fault.Kind == faults.Tear || fault.Kind == faults.Rot) {
		f.log.note("test", "skipped: too few voters are whole, or %s is none of them", m.name)
		return false
	}
	switch fault.Kind {
	case faults.Wipe:
		f.downFor(ctx, fault, m, 0, func() { f.wiped(m) })
		return true
	case faults.Tear:
		f.downFor(ctx, fault, m, 0, func() {
			what, err := tear(m.folder(), r)
			f.log.note(m.name, "* torn: %s %v", what, err)
		})
	case faults.Rot:
		what, err := rot(m.folder(), r)
		f.log.note(m.name, "* rots: %s %v", what, err)
		f.until(ctx, fault.End())
		f.downFor(ctx, fault, m, 0, nil) // its next start reads all
	case faults.Full:
		if p := m.running(); p != nil {
			_ = p.LimitFiles(0)
		}
		f.until(ctx, fault.End())
		if p := m.running(); p != nil {
			f.serves(ctx, m)
			_ = p.LimitFiles(process.Unlimited)
		}
		if m.voter { // its part has ended until a new start
			f.downFor(ctx, fault, m, 0, nil)
		}
	}
	f.mend(context.WithoutCancel(ctx), m, mendTime) // also where the run is over: it must heal
	return true
}

// How long a member that was torn is watched for saying that it has failed: during the run, and once all has healed, when a busy
// machine may have kept it from saying so before.
const (
	mendTime     = 4 * time.Second
	mendLastTime = settleTime
)

// mend does what someone on call does with a voter whose disk was found damaged: its folder is emptied, and it joins anew.
func (f *fleet) mend(ctx context.Context, m *member, within time.Duration) {
	if !m.voter {
		return
	}
	for begun := time.Now(); f.isHurt(m.name) && time.Since(begun) < within; time.Sleep(100 * time.Millisecond) {
		short, cancel := context.WithTimeout(ctx, time.Second)
		s, err := f.client.status(short, m.name)
		cancel()
		if err != nil || s.State != "failed" {
			continue
		}
		f.log.note("test", "%s has failed: %s", m.name, s.Fault)
		f.serves(ctx, m)
		m.down(0)
		f.wiped(m)
		if err := m.up(); err != nil {
			f.log.note(m.name, "* not started: %v", err)
		}
		f.again(m.name)
		return
	}
}

// mendRest mends, once all runs again, what could not be mended when it was torn: it was stopped, or down for another fault.
func (f *fleet) mendRest() {
	f.mu.Lock()
	var names []string
	for _, name := range f.plan.Voters {
		if _, hurt := f.damaged[name]; hurt {
			names = append(names, name)
		}
	}
	f.mu.Unlock()
	var all sync.WaitGroup
	for _, name := range names {
		all.Go(func() { f.mend(context.Background(), f.members[name], mendLastTime) })
	}
	all.Wait()
}

// serves checks that the sidecar itself answers, whatever became of its part in the cluster.
func (f *fleet) serves(ctx context.Context, m *member) {
	m.mu.Lock()
	life := m.lives
	out := m.proc == nil || m.downs > 0 || m.stops > 0
	m.mu.Unlock()
	var err error
	for n := 0; n < serveTries && !out; n++ {
		if err = f.healthy(ctx, m); err == nil {
			return
		}
		m.mu.Lock()
		out = m.proc == nil || m.downs > 0 || m.stops > 0 || m.lives != life
		m.mu.Unlock()
	}
	if !out {
		f.breach(history.ServesCalls, "%s with a failed disk, asked %d times: %v", m.name, serveTries, err)
	}
}

// serveTries are of callTime each: a stop, or a busy machine, is no breach.
const serveTries = 4
