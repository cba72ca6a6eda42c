package lease

import (
	"time"

	"pgregory.net/rapid"
)

// changeLeader plays a change of leaders under difficult conditions: a request to the old leader is in transit, one process does nothing
// meanwhile, and the others demand the whole limit.
func (s *simulation) changeLeader(p *process) {
	advance := func(what string) {
		s.now += rapid.SampledFrom([]time.Duration{time.Millisecond, 100 * time.Millisecond, Length - Length/50, Length + 5*Length/Drift}).Draw(s.t, what)
		s.checkLimits()
	}
	exchangeOthers := func() {
		for _, q := range s.holders {
			for range 2 {
				if q != p && s.now >= q.wakesAt {
					q.demand["r"], q.demand["c"] = 20_000, 8
					s.exchange(q)
				}
			}
			s.admit(q)
			s.checkLimits()
		}
	}
	p.demand["r"], p.demand["c"] = 20_000, 8
	s.exchange(p)
	s.exchange(p)
	advance("given")
	s.admit(p)
	s.ask(p)
	advance("asked")
	exchangeOthers()
	if rapid.Bool().Draw(s.t, "elected") {
		s.elect()
	}
	late := s.asks
	s.asks = nil
	advance("changed")
	s.asks = late
	for range rapid.IntRange(0, 1).Draw(s.t, "comes") {
		s.answerBatch(s.leader)
		s.send(s.pending[len(s.pending)-1])
		s.deliver()
		s.checkLimits()
	}
	exchangeOthers()
	advance("on")
	exchangeOthers()
	s.asks = nil
	s.ask(p)
	s.answerBatch(rapid.SampledFrom(s.leaders).Draw(s.t, "leader"))
	if b := s.pending[len(s.pending)-1]; s.duplicate() || b.sender != s.leader {
		if s.verify(b); b.verified {
			s.send(b)
			s.deliver()
		}
	}
}

// lowerLimits lowers the limits while they are fully leased; one process sends a single request and then does nothing.
func (s *simulation) lowerLimits(p *process) {
	s.limits = []Limit{{ID: "r", Kind: Rate, Amount: 20_000}, {ID: "c", Kind: Calls, Amount: 8}}
	for range 2 {
		s.applyLimits()
		for range 4 {
			for _, q := range s.holders {
				q.h.Set(s.limits)
				q.demand["r"], q.demand["c"] = 20_000, 8
				s.exchange(q)
				s.admit(q)
				s.checkLimits()
			}
		}
		s.limits = []Limit{{ID: "r", Kind: Rate, Amount: 5000}, {ID: "c", Kind: Calls, Amount: 2}}
		s.now += Length * time.Duration(rapid.IntRange(0, 1).Draw(s.t, "before"))
		s.applyLimits()
		s.now += 400 * time.Millisecond * time.Duration(rapid.IntRange(0, 1).Draw(s.t, "hears"))
		s.checkLimits()
		s.exchange(p)
		for range 4 {
			s.now += rapid.SampledFrom([]time.Duration{100 * time.Millisecond, demandTimeout, Length / 3}).Draw(s.t, "lowered")
			s.checkLimits()
			for _, q := range s.holders {
				if q != p {
					s.exchange(q)
					s.admit(q)
					s.checkLimits()
				}
			}
		}
	}
}
