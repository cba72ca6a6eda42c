package run

import (
	"context"
	"errors"
	"fmt"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"burlpass/internal/clustertest/faults"
	"burlpass/internal/clustertest/history"
)

// fleet is the members of one run with what stands between them.
type fleet struct {
	plan    *faults.Plan
	log     *journal
	members map[string]*member
	names   []string // voters first
	net     *network
	ports   ports
	client  *client
	seen    *recorder
	formed  time.Duration // when the cluster was there
	healed  time.Duration // when all faults ended
	took    time.Duration // from then until all members showed one state

	mu      sync.Mutex
	ending  bool
	latest  map[string]sample
	ids     map[string]string        // who had an identity that was wiped
	wipedAt map[string]time.Duration // a member's folder, the last time
	wrong   map[string]wrong         // clocks
	slow    map[string]bool          // disks
	limits  *limited                 // nil where the run has none
	rotten  map[string]bool          // observers whose disk was spoilt, and not wiped since
	damaged map[string]time.Duration // voters that may have lost something, and when they were started after it
}

// sample is the last status that a member gave, and when it was asked.
type sample struct {
	status
	asked time.Duration
}

// newFleet readies the members of a plan in dir, and starts none. world is nil for real processes.
func newFleet(plan *faults.Plan, binary, dir string, world World) (*fleet, error) {
	log := newJournal(dir)
	f := &fleet{plan: plan, log: log, members: map[string]*member{}, names: append(slices.Clone(plan.Voters), plan.Observers...),
		seen: &recorder{}, latest: map[string]sample{}, ids: map[string]string{}, wipedAt: map[string]time.Duration{}, damaged: map[string]time.Duration{},
		wrong: map[string]wrong{}, slow: map[string]bool{}, rotten: map[string]bool{}}
	listen := map[string]string{}
	for _, name := range f.names {
		var addrs [3]string
		for k := range addrs {
			if world != nil {
				addrs = [3]string{name + ":7000"} // a sidecar without clients and operators
				break
			}
			port, err := f.ports.one()
			if err != nil {
				f.ports.close()
				return nil, err
			}
			addrs[k] = fmt.Sprintf("127.0.0.1:%d", port)
		}
		m := &member{name: name, voter: slices.Contains(plan.Voters, name), dir: filepath.Join(dir, name), listen: addrs[0], clients: addrs[1],
			admin: addrs[2], binary: binary, log: log, seen: f.seen, crashed: f.crashed, world: world, act: newTurn()}
		f.members[name], listen[name] = m, m.listen
	}
	var err error
	if f.net, err = newNetwork(f.names, listen, plan.Seed, world); err != nil {
		f.ports.close()
		return nil, err
	}
	if plan.Limits {
		if f.limits, err = newLimited(f); err != nil {
			f.net.close()
			f.ports.close()
			return nil, err
		}
	}
	f.client = newClient(listen)
	if world != nil {
		f.client = newClient(listen, world.Dial)
	}
	for _, name := range f.names {
		m := f.members[name]
		if f.limits != nil {
			m.rules, m.workers = true, []string{f.limits.worker.addr}
		}
		err := m.configure(plan.Voters, plan.Observers, func(to string) string {
			if to == name {
				return m.listen
			}
			return f.net.addr(name, to)
		})
		if err != nil {
			if f.limits != nil {
				f.limits.close()
			}
			f.net.close()
			f.ports.close()
			return nil, err
		}
	}
	return f, nil
}

// crashed is told of a process that ended by itself: a breach, and it is started again a few times.
func (f *fleet) crashed(m *member, how string) {
	f.mu.Lock()
	ending := f.ending
	f.mu.Unlock()
	if ending {
		return
	}
	f.breach(history.StaysUp, "%s ended by itself: %s", m.name, how)
	m.mu.Lock()
	again := m.lives < 20
	m.mu.Unlock()
	if again {
		go func() {
			time.Sleep(200 * time.Millisecond)
			if err := m.start(); err != nil {
				f.log.note(m.name, "* not started: %v", err)
			}
		}()
	}
}

func (f *fleet) breach(p history.Promise, format string, args ...any) {
	b := history.Breach{Promise: p, At: f.log.now(), Text: fmt.Sprintf(format, args...)}
	f.log.note("test", "BROKEN %s", b)
	f.seen.breach(b)
}

// formTime bounds the time from the start of all processes to a cluster that takes writes.
const formTime = 90 * time.Second

// form starts all members and waits for a cluster in which all voters have their vote and every member shows a state.
func (f *fleet) form(ctx context.Context) error {
	for _, name := range f.names {
		if err := f.members[name].start(); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithTimeout(ctx, formTime)
	defer cancel()
	for {
		ready := f.voting(ctx) == len(f.plan.Voters)
		for _, name := range f.names {
			if _, ok, _ := f.client.read(ctx, name, false); !ok {
				ready = false
			}
		}
		if ready {
			return nil
		}
		select {
		case <-time.After(50 * time.Millisecond):
		case <-ctx.Done():
			return errors.New("the cluster was not formed in " + formTime.String())
		}
	}
}

// voting asks everybody for the status and counts the voters that have a vote by the leader's word.
func (f *fleet) voting(ctx context.Context) int {
	most := 0
	for _, name := range f.plan.Voters {
		short, cancel := context.WithTimeout(ctx, time.Second)
		s, err := f.client.status(short, name)
		cancel()
		if err != nil || s.State != "leader" {
			continue
		}
		n := 0
		for _, v := range s.Voters {
			if v.Votes {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// leader is the voter that called itself leader last, the first voter where none has.
func (f *fleet) leader() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	best, at := f.plan.Voters[0], time.Duration(-1)
	for _, name := range f.plan.Voters {
		if s := f.latest[name]; s.State == "leader" && s.asked > at {
			best, at = name, s.asked
		}
	}
	return best
}

// close ends all processes and the network.
func (f *fleet) close() {
	f.mu.Lock()
	f.ending = true
	f.mu.Unlock()
	var all sync.WaitGroup
	for _, name := range f.names {
		all.Go(func() { f.members[name].down(0) })
	}
	all.Wait()
	f.net.close()
	if f.limits != nil {
		f.limits.close()
	}
	f.client.close()
	f.ports.close()
}

// hurt marks a voter as one that may have lost something, if a majority of sound ones stays; false where it would not. An
// observer's folder is spoilt once between two wipes: with both of its files damaged it may show less than before.
func (f *fleet) hurt(name string, spoils bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !slices.Contains(f.plan.Voters, name) {
		already := f.rotten[name]
		f.rotten[name] = already || spoils
		return !already || !spoils
	}
	if _, already := f.damaged[name]; already || len(f.damaged) >= (len(f.plan.Voters)-1)/2 {
		return false
	}
	f.damaged[name] = forever
	return true
}

// isHurt tells whether a voter is not whole again.
func (f *fleet) isHurt(name string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, hurt := f.damaged[name]
	return hurt
}

const forever = time.Duration(1<<63 - 1)

// again says that a hurt voter has been started: what it says of itself counts from now on.
func (f *fleet) again(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, ok := f.damaged[name]; ok {
		f.damaged[name] = f.log.now()
	}
}

// heard is told each status. A hurt voter is whole again once it shows a state and has its vote by the leader's word.
func (f *fleet) heard(s sample) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s.asked < f.wipedAt[s.Name] {
		return
	}
	f.latest[s.Name] = s
	if f.ids[s.Identity] != "" && s.Identity != "" {
		go f.breach(history.NewIdentity, "%s has the identity %s, which %s had before its folder was wiped", s.Name, s.Identity, f.ids[s.Identity])
		delete(f.ids, s.Identity)
	}
	if s.State != "leader" {
		return
	}
	for name, since := range f.damaged {
		own := f.latest[name]
		if own.asked <= since || s.asked <= since || own.Version == 0 || own.State != "follower" && own.State != "leader" {
			continue
		}
		for _, v := range s.Voters {
			if v.Name == name && v.Identity == own.Identity && v.Votes {
				delete(f.damaged, name)
				f.log.note("test", "%s is whole again", name)
			}
		}
	}
}

// wiped empties a member's folder while it is down.
func (f *fleet) wiped(m *member) {
	if err := m.wipe(); err != nil {
		f.log.note(m.name, "* not wiped: %v", err)
		return
	}
	f.log.note(m.name, "* wiped")
	now := f.log.now()
	f.seen.forgot(history.Forgot{Process: m.name, At: now})
	f.mu.Lock()
	defer f.mu.Unlock()
	if s := f.latest[m.name]; s.Identity != "" {
		f.ids[s.Identity] = m.name
	}
	f.wipedAt[m.name] = now
	delete(f.latest, m.name)
	delete(f.rotten, m.name)
}
