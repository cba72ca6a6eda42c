package enforcement

import (
	"slices"
	"sync"
	"time"

	"burlpass/internal/rules"
)

const (
	maxNamedRules = 64          // rules that are counted individually
	logInterval   = time.Second // minimum time between two log lines of a rule
	otherRules    = "others"    // counts all further rules
)

// refusalCounter counts the refusals of one rule.
type refusalCounter struct {
	total    int64
	unlogged int64 // refusals since the last log line
	loggedAt time.Time
}

// refusalCounters counts refused calls by rule.
type refusalCounters struct {
	mu     sync.Mutex
	byRule map[string]*refusalCounter // by rule key or otherRules
}

// recordRefusal counts a call that a rule has refused and logs it, at most once per logInterval and rule.
func (e *Enforcer) recordRefusal(table *rules.Table, rule string) {
	now := e.Now()
	e.refusalCounters.mu.Lock()
	name := rule
	counter := e.byRule[name]
	if counter == nil && len(e.byRule) >= maxNamedRules {
		name = otherRules
		counter = e.byRule[name]
	}
	if counter == nil {
		counter = &refusalCounter{}
		e.byRule[name] = counter
	}
	counter.total++
	counter.unlogged++
	unlogged, due := counter.unlogged, now.Sub(counter.loggedAt) >= logInterval
	if due {
		counter.unlogged, counter.loggedAt = 0, now
	}
	e.refusalCounters.mu.Unlock()
	if due {
		e.Log.Warn("rule_refused", "rule", rule, "owner", table.Owner(rule), "count", unlogged, "version", table.Version())
	}
}

// RefusalCount is the number of calls that a rule has refused since the process started.
type RefusalCount struct {
	Rule  string
	Calls int64
}

// RefusalCounts returns the counts ordered by rule key. Rules after the first 64 are counted together as "others".
func (e *Enforcer) RefusalCounts() []RefusalCount {
	e.refusalCounters.mu.Lock()
	defer e.refusalCounters.mu.Unlock()
	var counts []RefusalCount
	for rule, counter := range e.byRule {
		counts = append(counts, RefusalCount{rule, counter.total})
	}
	slices.SortFunc(counts, func(a, b RefusalCount) int {
		if a.Rule < b.Rule {
			return -1
		}
		return 1
	})
	return counts
}
