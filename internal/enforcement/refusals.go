package enforcement

import (
	"slices"
	"sync"
	"time"

	"burlpass/internal/rules"
)

const (
	namedRules = 64 // that are counted each by its name
	linePause  = time.Second
	others     = "others"
)

// count is the refusals of one rule.
type count struct {
	total int64
	since int64     // not logged yet
	last  time.Time // logged
}

// refusals counts what rules refuse.
type refusals struct {
	mu sync.Mutex
	of map[string]*count // by the rule's key, and others
}

// refuse counts and now and then logs that a rule has refused a call.
func (g *Enforcer) refuse(t *rules.Table, rule string) {
	now := g.Now()
	g.refusals.mu.Lock()
	name := rule
	c := g.of[name]
	if c == nil && len(g.of) >= namedRules {
		name = others
		c = g.of[name]
	}
	if c == nil {
		c = &count{}
		g.of[name] = c
	}
	c.total++
	c.since++
	n, due := c.since, now.Sub(c.last) >= linePause
	if due {
		c.since, c.last = 0, now
	}
	g.refusals.mu.Unlock()
	if due {
		g.Log.Warn("rule_refused", "rule", rule, "owner", t.Owner(rule), "count", n, "version", t.Version())
	}
}

// Refused is how many calls a rule has refused since the start.
type Refused struct {
	Rule  string
	Calls int64
}

// Refused gives the counts in the order of the rules' keys; those past the first 64 rules are under others.
func (g *Enforcer) Refused() []Refused {
	g.refusals.mu.Lock()
	defer g.refusals.mu.Unlock()
	var out []Refused
	for rule, c := range g.of {
		out = append(out, Refused{rule, c.total})
	}
	slices.SortFunc(out, func(a, b Refused) int {
		if a.Rule < b.Rule {
			return -1
		}
		return 1
	})
	return out
}
