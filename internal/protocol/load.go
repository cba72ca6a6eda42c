package protocol

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"burlpass/internal/fairness"
)

// refusalReason is why a call is refused before the handler sees it.
type refusalReason uint8

const (
	refusedOverLimit refusalReason = iota
	refusedOverload
	refusedLate
	refusedTransfers
	refusalReasons
)

// String returns the reason's name in the log and in reports.
func (r refusalReason) String() string {
	return [refusalReasons]string{"connection_limit", "processor_time", "late", "long_messages"}[r]
}

// refusalCounter counts refusals of one reason.
type refusalCounter struct{ heavy, light atomic.Int64 }

// RefusalCount is how many calls were refused for one reason, by whether their connections made the load.
type RefusalCount struct {
	Heavy int64 `json:"heavy"`
	Light int64 `json:"light"`
}

// LoadReport says who makes the load of this process, and who was refused because of it.
type LoadReport struct {
	Refused  map[string]RefusalCount `json:"refused"` // by reason, since the process began
	Heaviest []fairness.Usage        `json:"heaviest"`
	Waiting  int64                   `json:"waiting"` // connections that wait for their turn now
	Waits    fairness.Waits          `json:"waits"`
}

// LoadReport returns the current state.
func (s *Server) LoadReport() LoadReport {
	r := LoadReport{Refused: map[string]RefusalCount{}, Heaviest: s.Fairness.Heaviest(time.Now()), Waiting: s.waiting.Load(), Waits: s.Fairness.Waits()}
	for reason := range refusalReasons {
		counter := &s.refusals[reason]
		r.Refused[reason.String()] = RefusalCount{counter.heavy.Load(), counter.light.Load()}
	}
	return r
}

// recordRefusal counts and logs why a call is refused.
func (c *client) recordRefusal(call *Call, reason refusalReason) {
	counter := &c.refusals[reason]
	heavy := c.Fairness.IsHeavy(c.account, time.Now())
	if heavy {
		counter.heavy.Add(1)
	} else {
		counter.light.Add(1)
	}
	c.Log.LogAttrs(context.Background(), slog.LevelDebug, "call_refused", slog.String("reason", reason.String()),
		slog.Bool("heavy", heavy), slog.String("id", string(call.ID)))
}

// logOverload logs that calls are refused because of the process's scheduling delay, and which connection makes most requests.
func (s *Server) logOverload() {
	now := time.Now()
	suppressed, ok := s.overloadLog.allow(now)
	if !ok {
		return
	}
	heaviest := fairness.Usage{}
	if all := s.Fairness.Heaviest(now); len(all) > 0 {
		heaviest = all[0]
	}
	s.Log.Warn("processor_short", "late", s.overload.delay().Round(time.Millisecond), "heaviest_client", heaviest.Client,
		"heaviest_percent", heaviest.RecentPercent, "more", suppressed)
}
