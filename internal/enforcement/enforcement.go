// Package enforcement has the rules of many teams take effect on the calls of one process: it follows the member's record, keeps a
// compiled table beside the calls, gives the fleet's limits to those who lease them, and is the router's gate. docs/rules.md has the design.
package enforcement

import (
	"context"
	"hash/maphash"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"burlpass/internal/cluster/replica"
	"burlpass/internal/lease"
	"burlpass/internal/limits"
	"burlpass/internal/protocol"
	"burlpass/internal/record"
	"burlpass/internal/routing"
	"burlpass/internal/rules"
)

// Member is whose record is followed.
type Member interface {
	Replica() *replica.Replica // nil while there is no state to show
}

// Limits are the fleet's limits at this process; *limits.Limits are.
type Limits interface {
	Set(limits []lease.Limit)
	Take(ids []string, budget time.Duration) (limits.Ticket, time.Duration, bool)
	Done(limits.Ticket)
}

// Class is a class of calls, in the order of the settings.
type Class struct {
	Name   string
	Window time.Duration // in which a key's repeat is the same call; 0: there are no such repeats
}

// Config is what an Enforcer is made of.
type Config struct {
	Member       Member
	Limits       Limits
	Island, Hall string // where this process is, as rules name it
	Classes      []Class
	Now          func() time.Time // nil: time.Now
	Log          *slog.Logger
}

// Enforcer is a routing.Gate. Until it has a table it lets all calls pass.
type Enforcer struct {
	Config
	table atomic.Pointer[rules.Table]
	seed  maphash.Seed
	keys  []keyring // by class

	dec     rules.Decoder // of Run, as the following
	state   *rules.State  // that the table was made of
	fault   string        // why the last state was not taken
	unknown bool          // the state has no rules, and that was logged

	refusals
}

// keyring is a class's keys under their lock.
type keyring struct {
	mu sync.Mutex
	keys
}

// New returns an Enforcer without a table.
func New(c Config) *Enforcer {
	if c.Now == nil {
		c.Now = time.Now
	}
	g := &Enforcer{Config: c, seed: maphash.MakeSeed(), keys: make([]keyring, len(c.Classes))}
	g.refusals.of = map[string]*count{}
	for i, k := range c.Classes {
		g.keys[i].window = k.Window
	}
	return g
}

// Admit is the router's question about a call.
func (g *Enforcer) Admit(call *protocol.Call) routing.CallPolicy {
	t := g.table.Load()
	if t == nil || call.Origin == nil || call.Class >= len(g.Classes) {
		return routing.CallPolicy{}
	}
	q := rules.Call{Island: g.Island, Hall: g.Hall, Class: g.Classes[call.Class].Name, Path: call.Origin.Path, Caller: call.Origin.Caller}
	v := t.Lookup(&q, call.Budget)
	out := terms(&v, call.Budget)
	hash, keyed := g.key(call)
	if keyed && g.passedBefore(call.Class, hash) {
		return out
	}
	if !v.Allowed {
		g.refuse(t, t.Holding(&q, rules.Callers))
		return routing.CallPolicy{Refusal: refused(0)}
	}
	if ids := counted(t, &v); ids != nil {
		ticket, wait, ok := g.Limits.Take(ids, min(call.Budget, v.Deadline))
		if !ok {
			g.refuse(t, ids[0])
			return routing.CallPolicy{Refusal: refused(wait)}
		}
		if v.Calls != rules.NoLimit {
			out.Ended = func(routing.CallResult) { g.Limits.Done(ticket) }
		}
	}
	if keyed {
		g.pass(call.Class, hash)
	}
	return out
}

// key is a hash of a call's key and of who calls; false where there are no repeats by key. Two callers may choose the same key,
// and what passed for one of them says nothing of the other.
func (g *Enforcer) key(call *protocol.Call) (uint64, bool) {
	if call.Origin.Key == "" || g.keys[call.Class].window <= 0 {
		return 0, false
	}
	var h maphash.Hash
	h.SetSeed(g.seed)
	h.WriteString(call.Origin.Caller)
	h.WriteByte(0) // neither has one: where one ends and the other begins is certain
	h.WriteString(call.Origin.Key)
	return h.Sum64(), true
}

func (g *Enforcer) passedBefore(class int, hash uint64) bool {
	k := &g.keys[class]
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.passed(hash, g.Now())
}

func (g *Enforcer) pass(class int, hash uint64) {
	k := &g.keys[class]
	k.mu.Lock()
	defer k.mu.Unlock()
	k.pass(hash, g.Now())
}

// Version is that of the record that the table in force was made for; 0 before there is one.
func (g *Enforcer) Version() record.Version {
	if t := g.table.Load(); t != nil {
		return t.Version()
	}
	return 0
}

const (
	lookPause  = 200 * time.Millisecond // between two looks for a record that is not there yet
	leastPause = 20 * time.Millisecond  // between two looks at a record that changes
	pauseShare = 10                     // a look takes at most one part in so many of a core
)

// Run follows the record until ctx is done. What it makes ready is made beside the calls.
func (g *Enforcer) Run(ctx context.Context) { looks(ctx, g.Member, g.follow) }

// looks gives a member's states to follow until ctx is done, the newest one now and then.
func looks(ctx context.Context, m Member, follow func(record.View)) {
	for ctx.Err() == nil {
		var changed <-chan struct{}
		pause := lookPause
		if r := m.Replica(); r != nil {
			changed = r.Changed()
			begun := time.Now()
			follow(r.View())
			pause = max(leastPause, pauseShare*time.Since(begun))
		}
		if changed != nil {
			select {
			case <-changed:
			case <-ctx.Done():
			}
		}
		select { // a record may change with every order: it is looked at now and then
		case <-time.After(pause):
		case <-ctx.Done():
		}
	}
}

// follow puts a view's rules in force. What cannot be read leaves the table before.
func (g *Enforcer) follow(v record.View) {
	if !record.Knows(v, rules.RuleKind) {
		if !g.unknown {
			g.Log.Warn("rules_unknown", "why", "this cluster was formed without rules; none are in force, nor can any be written")
		}
		g.unknown = true
		return
	}
	g.unknown = false
	g.take(v)
}

// take is follow for a record that has rules.
func (g *Enforcer) take(v record.View) {
	s, err := g.dec.Load(v)
	if err != nil {
		if text := err.Error(); text != g.fault {
			g.fault = text
			g.Log.Error("rules_refused", "version", v.Version(), "kept", g.Version(), "err", err)
		}
		return
	}
	g.fault = ""
	if s == g.state {
		return
	}
	t := g.table.Load().Update(s, v.Version())
	list := t.Limits()
	g.Limits.Set(list)
	g.table.Store(t)
	g.state = s
	g.Log.Info("rules", "version", t.Version(), "hash", t.Hash(), "limits", len(list))
}
