package run

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"burlpass/internal/clustertest/faults"
	"burlpass/internal/clustertest/history"
	"burlpass/internal/clustertest/process"
)

// Setting is the fleet of a Directed run.
type Setting struct {
	Name              string // tells its journal's folder from others'
	Binary            string // the program
	Dir               string // a folder of the run's own is made in it
	Voters, Observers int
	Limits            bool // of the fleet
	// Via gives the address at which an observer reaches a voter, whose relay for it is at addr; nil: addr.
	Via func(observer, voter, addr string) (string, error)
}

// Directed is a fleet whose faults a test brings about one by one. All else is as in Play: each member is watched, every call is
// recorded, and End judges what was seen. It is safe for concurrent use but for End.
type Directed struct {
	f        *fleet
	ctx      context.Context
	unwatch  context.CancelFunc
	watchers sync.WaitGroup
	working  context.Context // of clients
	rest     context.CancelFunc
	clients  sync.WaitGroup

	mu     sync.Mutex
	writes int
}

// Status is what a member says of itself.
type Status = status

// Direct starts a fleet and returns when its cluster is formed and every member shows a state. ctx bounds the whole run.
func Direct(ctx context.Context, s Setting) (*Directed, error) {
	dir, err := os.MkdirTemp(s.Dir, s.Name+"-")
	if err != nil {
		return nil, err
	}
	plan := &faults.Plan{Gap: 30 * time.Millisecond, Limits: s.Limits, Voters: names("v", s.Voters), Observers: names("o", s.Observers)}
	f, err := newFleet(plan, s.Binary, dir, nil)
	if err != nil {
		return nil, err
	}
	if err = f.reroute(s.Via); err == nil {
		err = f.form(ctx)
	}
	if err == nil && f.limits != nil {
		err = f.limits.found(ctx)
	}
	if err != nil {
		f.close()
		return nil, fmt.Errorf("%w; %w", err, errors.Join(f.log.write(), errors.New(f.log.path)))
	}
	f.formed = f.log.now()
	f.log.note("test", "formed")
	d := &Directed{f: f, ctx: ctx}
	d.working, d.rest = context.WithCancel(ctx)
	watching, unwatch := context.WithCancel(ctx)
	d.unwatch = unwatch
	for _, name := range f.names {
		d.watchers.Go(func() { f.watch(watching, name) })
	}
	return d, nil
}

func names(prefix string, n int) []string {
	list := make([]string, n)
	for i := range list {
		list[i] = fmt.Sprint(prefix, i+1)
	}
	return list
}

// reroute has the observers reach the voters by other ways.
func (f *fleet) reroute(via func(observer, voter, addr string) (string, error)) error {
	if via == nil {
		return nil
	}
	for _, name := range f.plan.Observers {
		var wrong error
		err := f.members[name].configure(f.plan.Voters, f.plan.Observers, func(to string) string {
			if to == name {
				return f.members[name].listen
			}
			addr := f.net.addr(name, to)
			if slices.Contains(f.plan.Voters, to) {
				other, err := via(name, to, addr)
				if wrong = errors.Join(wrong, err); err == nil {
					addr = other
				}
			}
			return addr
		})
		if err = errors.Join(err, wrong); err != nil {
			return err
		}
	}
	return nil
}

// Note adds a line of the test's to the journal.
func (d *Directed) Note(format string, args ...any) { d.f.log.note("test", format, args...) }

// Voters are the voters' names, the one that forms the cluster first.
func (d *Directed) Voters() []string { return slices.Clone(d.f.plan.Voters) }

// Observers are the observers' names.
func (d *Directed) Observers() []string { return slices.Clone(d.f.plan.Observers) }

// Others are all voters but those named.
func (d *Directed) Others(but ...string) []string {
	return slices.DeleteFunc(d.Voters(), func(name string) bool { return slices.Contains(but, name) })
}

// Addr is a member's own address of the cluster, past all relays.
func (d *Directed) Addr(member string) string { return d.f.members[member].listen }

// Folder is what outlives a member's process.
func (d *Directed) Folder(member string) string { return d.f.members[member].folder() }

// Logged counts a member's lines in the journal that hold all the texts.
func (d *Directed) Logged(member string, texts ...string) int { return d.f.log.count(member, texts...) }

// Status asks a member.
func (d *Directed) Status(member string) (Status, error) {
	ctx, cancel := context.WithTimeout(d.ctx, callTime)
	defer cancel()
	return d.f.client.status(ctx, member)
}

// Healthy asks a member's sidecar whether it serves calls.
func (d *Directed) Healthy(member string) error { return d.f.healthy(d.ctx, d.f.members[member]) }

// looks is between two looks of Until.
const looks = 20 * time.Millisecond

// Until waits for something; an error where it has not come about within the time.
func (d *Directed) Until(what string, within time.Duration, is func() bool) error {
	ctx, cancel := context.WithTimeout(d.ctx, within)
	defer cancel()
	began := d.f.log.now()
	for !is() {
		select {
		case <-time.After(looks):
		case <-ctx.Done():
			return fmt.Errorf("%s: not within %v", what, within)
		}
	}
	d.Note("%s: after %v", what, (d.f.log.now() - began).Round(time.Millisecond))
	return nil
}

// Leader waits until one of the members named, of all voters where none is, says that it leads.
func (d *Directed) Leader(among ...string) (leader string, err error) {
	if len(among) == 0 {
		among = d.f.plan.Voters
	}
	err = d.Until("a leader", formTime, func() bool {
		for _, name := range among {
			if s, err := d.Status(name); err == nil && s.State == "leader" {
				leader = name
				return true
			}
		}
		return false
	})
	return leader, err
}

// Votes waits until a voter says that it has its vote, and one of the others, leading, says so too.
func (d *Directed) Votes(voter string, within time.Duration) error {
	return d.Until(voter+" has its vote", within, func() bool {
		own, err := d.Status(voter)
		if err != nil || own.Version == 0 || own.State != "follower" && own.State != "leader" {
			return false
		}
		for _, name := range d.f.plan.Voters {
			s, err := d.Status(name)
			if err != nil || s.State != "leader" {
				continue
			}
			for _, v := range s.Voters {
				if v.Identity == own.Identity && v.Votes && len(s.Voters) == len(d.f.plan.Voters) {
					return true
				}
			}
		}
		return false
	})
}

// Kill ends a member by SIGKILL; Start starts it again.
func (d *Directed) Kill(member string) {
	d.Note("kills %s", member)
	d.f.members[member].down(0)
}

// Start ends what Kill began.
func (d *Directed) Start(member string) error { return d.f.members[member].up() }

// Wipe empties the folder of a member that is down.
func (d *Directed) Wipe(member string) { d.f.wiped(d.f.members[member]) }

// Swap puts the folder of a member that is down in the place of aside, and what is at aside, if anything, in its place.
func (d *Directed) Swap(member, aside string) error {
	folder := d.Folder(member)
	kept := folder + ".kept"
	if err := os.Rename(folder, kept); err != nil {
		return err
	}
	err := os.Rename(aside, folder)
	if errors.Is(err, os.ErrNotExist) {
		err = os.Mkdir(folder, 0o700)
	}
	if err == nil {
		err = os.Rename(kept, aside)
	}
	d.Note("%s has another folder; its own is %s", member, filepath.Base(aside))
	d.f.seen.forgot(history.Forgot{Process: member, At: d.f.log.now()})
	return err
}

// Stop is SIGSTOP; Continue is SIGCONT.
func (d *Directed) Stop(member string) {
	d.Note("stops %s", member)
	d.f.members[member].stop()
}

// Continue ends what Stop began.
func (d *Directed) Continue(member string) {
	d.Note("%s goes on", member)
	d.f.members[member].resume()
}

// Full has a member's disk take nothing more, or takes that back.
func (d *Directed) Full(member string, full bool) error {
	d.Note("the disk of %s is full: %v", member, full)
	p := d.f.members[member].running()
	if p == nil {
		return process.ErrGone
	}
	if full {
		return p.LimitFiles(0)
	}
	return p.LimitFiles(process.Unlimited)
}

// Net puts a fault between members, and what it returns ends it.
func (d *Directed) Net(f faults.Fault) (end func()) {
	d.Note("begins: %v", f)
	over := d.f.net.put(f)
	return func() {
		d.Note("ends:   %v", f)
		over()
	}
}

// New is a write of one item, which rests on the newest version that any answer has told. Nothing is sent.
func (d *Directed) New(key string) *history.Write {
	d.mu.Lock()
	d.writes++
	id := fmt.Sprint("d", d.writes)
	d.mu.Unlock()
	w := &history.Write{ID: id, Base: d.f.seen.newest(), Changes: []history.Change{{Key: "worker/" + key, Value: id}}}
	d.f.seen.write(w)
	return w
}

// Try makes one call with a write.
func (d *Directed) Try(w *history.Write, member string) history.Attempt { return d.f.write(member, w) }

// putTime bounds Put, a new leader's election and a busy machine included.
const putTime = time.Minute

// Put has a new write of one item taken: it asks the members one after another under one id until there is a result.
func (d *Directed) Put(key string, at ...string) (history.Attempt, error) {
	if len(at) == 0 {
		at = d.f.plan.Voters
	}
	w := d.New(key)
	ctx, cancel := context.WithTimeout(d.ctx, putTime)
	defer cancel()
	for n := 0; ctx.Err() == nil; n++ {
		a := d.Try(w, at[n%len(at)])
		if !a.Refused && !a.Unknown {
			return a, nil
		}
		time.Sleep(looks)
	}
	return history.Attempt{}, fmt.Errorf("write %s has no result within %v", w.ID, putTime)
}

// Fill has n further items set, some at a time.
func (d *Directed) Fill(n int, at ...string) error {
	var all sync.WaitGroup
	errs := make([]error, n)
	turn := make(chan struct{}, 16)
	for i := range n {
		turn <- struct{}{}
		all.Go(func() {
			_, errs[i] = d.Put(fmt.Sprint("fill", i), at...)
			<-turn
		})
	}
	all.Wait()
	return errors.Join(errs...)
}

// Read reads at a member; false with why where it shows nothing.
func (d *Directed) Read(member string, consistent bool) (history.Read, bool) {
	return d.f.read(member, consistent)
}

// Record notes what something outside of the fleet shows, an observer of the test's own say, to be judged with the rest. look
// is false where nothing is shown.
func (d *Directed) Record(process string, look func() (Status, bool)) {
	began := d.f.log.now()
	if s, ok := look(); ok {
		d.f.seen.read(history.Read{Process: process, Began: began, Ended: d.f.log.now(), EndedMs: time.Now().UnixMilli(), Version: s.Version,
			Hash: s.Hash, AgeMs: s.AgeMs, Bare: true})
	}
}

// Clients starts so many clients as Play has them, once in a run; what it returns has them end before End does.
func (d *Directed) Clients(n int) (rest func()) {
	ctx, cancel := context.WithCancel(d.working)
	var all sync.WaitGroup
	for i := range n {
		w := &worker{f: d.f, n: i, r: rand.New(rand.NewPCG(uint64(n), uint64(i)))}
		d.clients.Add(1)
		all.Go(func() {
			defer d.clients.Done()
			w.work(ctx)
		})
	}
	return func() {
		cancel()
		all.Wait()
	}
}

// End has clients end, heals all, waits until all members show one state with all that was acknowledged, ends them and judges. Members must
// be up. The journal is kept where a promise was broken or keep says so.
func (d *Directed) End(keep bool) (*Outcome, error) {
	d.rest()
	d.f.heal()
	d.clients.Wait()
	if d.ctx.Err() == nil && !keep {
		d.f.settle(d.ctx)
	}
	d.unwatch()
	d.watchers.Wait()
	d.f.close()
	out := d.f.judge()
	out.Took = d.f.log.now()
	if !keep && !out.Bad() {
		return out, os.RemoveAll(filepath.Dir(d.f.log.path))
	}
	out.Journal = d.f.log.path
	return out, d.f.log.write()
}
