// Package enforcement applies the teams' rules to the calls of one process; a call is a client's request. It follows the
// replicated record, compiles the rules into a table off the request path, passes the fleet-wide limits to the lease
// client, and admits or refuses calls as the router's gate. docs/rules.md describes the design.
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

// Member provides the replica of the record to follow.
type Member interface {
	Replica() *replica.Replica // nil until there is a state to read
}

// Limits enforces this process's share of the fleet-wide limits. *limits.Limits implements it.
type Limits interface {
	Set(limits []lease.Limit)
	Take(ids []string, budget time.Duration) (limits.Ticket, time.Duration, bool)
	Done(limits.Ticket)
}

// Class describes a class of calls. Classes are indexed in the order of the settings.
type Class struct {
	Name   string
	Window time.Duration // how long a repeated key counts as the same call; 0 disables this
}

// Config holds the dependencies and settings of an Enforcer.
type Config struct {
	Member       Member
	Limits       Limits
	Island, Hall string // location of this process, as named in rules
	Classes      []Class
	Now          func() time.Time // defaults to time.Now
	Log          *slog.Logger
}

// Enforcer is a routing.Gate that applies rules. It admits every call until it has a rule table.
type Enforcer struct {
	Config
	table        atomic.Pointer[rules.Table]
	seed         maphash.Seed
	admittedKeys []lockedKeySet // indexed by class

	decoder       rules.Decoder // this and the fields below belong to Run's goroutine
	state         *rules.State  // state that the table was compiled from
	lastError     string        // last logged decoding error, cleared on success
	noRulesLogged bool          // whether the absence of rules has been logged

	refusalCounters
}

// lockedKeySet guards a keySet with a mutex.
type lockedKeySet struct {
	mu sync.Mutex
	keySet
}

// New returns an Enforcer that has no table yet.
func New(config Config) *Enforcer {
	if config.Now == nil {
		config.Now = time.Now
	}
	e := &Enforcer{Config: config, seed: maphash.MakeSeed(), admittedKeys: make([]lockedKeySet, len(config.Classes))}
	e.refusalCounters.byRule = map[string]*refusalCounter{}
	for i, class := range config.Classes {
		e.admittedKeys[i].window = class.Window
	}
	return e
}

// Admit admits or refuses a call and returns its terms. It implements routing.Gate.
func (e *Enforcer) Admit(call *protocol.Call) routing.CallPolicy {
	table := e.table.Load()
	if table == nil || call.Origin == nil || call.Class >= len(e.Classes) {
		return routing.CallPolicy{}
	}
	query := rules.Call{Island: e.Island, Hall: e.Hall, Class: e.Classes[call.Class].Name, Path: call.Origin.Path, Caller: call.Origin.Caller}
	verdict := table.Lookup(&query, call.Budget)
	terms := termsFor(&verdict, call.Budget)
	hash, keyed := e.dedupHash(call)
	if keyed && e.admittedBefore(call.Class, hash) {
		return terms
	}
	if !verdict.Allowed {
		e.recordRefusal(table, table.Holding(&query, rules.Callers))
		return routing.CallPolicy{Refusal: limitedAnswer(0)}
	}
	if ids := limitIDs(table, &verdict); ids != nil {
		ticket, wait, ok := e.Limits.Take(ids, min(call.Budget, verdict.Deadline))
		if !ok {
			e.recordRefusal(table, ids[0])
			return routing.CallPolicy{Refusal: limitedAnswer(wait)}
		}
		if verdict.Calls != rules.NoLimit {
			terms.Ended = func(routing.CallResult) { e.Limits.Done(ticket) }
		}
	}
	if keyed {
		e.rememberAdmitted(call.Class, hash)
	}
	return terms
}

// dedupHash hashes a call's idempotency key together with its caller, because two callers may choose the same key. It
// returns false if the call has no key or its class does not recognize repeats.
func (e *Enforcer) dedupHash(call *protocol.Call) (uint64, bool) {
	if call.Origin.Key == "" || e.admittedKeys[call.Class].window <= 0 {
		return 0, false
	}
	var h maphash.Hash
	h.SetSeed(e.seed)
	h.WriteString(call.Origin.Caller)
	h.WriteByte(0) // separator: neither part contains a zero byte
	h.WriteString(call.Origin.Key)
	return h.Sum64(), true
}

func (e *Enforcer) admittedBefore(class int, hash uint64) bool {
	admitted := &e.admittedKeys[class]
	admitted.mu.Lock()
	defer admitted.mu.Unlock()
	return admitted.contains(hash, e.Now())
}

func (e *Enforcer) rememberAdmitted(class int, hash uint64) {
	admitted := &e.admittedKeys[class]
	admitted.mu.Lock()
	defer admitted.mu.Unlock()
	admitted.add(hash, e.Now())
}

// Version returns the record version that the current table was compiled for, or 0 if there is no table.
func (e *Enforcer) Version() record.Version {
	if table := e.table.Load(); table != nil {
		return table.Version()
	}
	return 0
}

const (
	replicaPollInterval = 200 * time.Millisecond // between checks for a replica that does not exist yet
	minFollowPause      = 20 * time.Millisecond  // after processing a view
	followPauseFactor   = 10                     // pause as a multiple of the processing time: at most a tenth of a core is used
)

// Run follows the record until ctx is done. It compiles tables on its own goroutine, off the request path.
func (e *Enforcer) Run(ctx context.Context) { followReplica(ctx, e.Member, e.applyView) }

// followReplica calls follow with the newest view of a member's replica after changes, with pauses, until ctx is done.
func followReplica(ctx context.Context, member Member, follow func(record.View)) {
	for ctx.Err() == nil {
		var changed <-chan struct{}
		pause := replicaPollInterval
		if local := member.Replica(); local != nil {
			changed = local.Changed()
			started := time.Now()
			follow(local.View())
			pause = max(minFollowPause, followPauseFactor*time.Since(started))
		}
		if changed != nil {
			select {
			case <-changed:
			case <-ctx.Done():
			}
		}
		select { // the record may change with every order, so views are rate limited
		case <-time.After(pause):
		case <-ctx.Done():
		}
	}
}

// applyView puts the rules of a view into effect. If they cannot be decoded, the previous table stays in effect.
func (e *Enforcer) applyView(view record.View) {
	if !record.Knows(view, rules.RuleKind) {
		if !e.noRulesLogged {
			e.Log.Warn("rules_unknown", "why", "this cluster was formed without rules; none are in force, nor can any be written")
		}
		e.noRulesLogged = true
		return
	}
	e.noRulesLogged = false
	e.applyRules(view)
}

// applyRules compiles and installs the table of a view that supports rules.
func (e *Enforcer) applyRules(view record.View) {
	state, err := e.decoder.Load(view)
	if err != nil {
		if text := err.Error(); text != e.lastError {
			e.lastError = text
			e.Log.Error("rules_refused", "version", view.Version(), "kept", e.Version(), "err", err)
		}
		return
	}
	e.lastError = ""
	if state == e.state {
		return
	}
	table := e.table.Load().Update(state, view.Version())
	tableLimits := table.Limits()
	e.Limits.Set(tableLimits)
	e.table.Store(table)
	e.state = state
	e.Log.Info("rules", "version", table.Version(), "hash", table.Hash(), "limits", len(tableLimits))
}
