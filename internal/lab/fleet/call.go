package fleet

import (
	"time"

	"burlpass/decide"
	"burlpass/internal/lab/judge"
	"burlpass/internal/lab/world"
)

// call is one try of a client.
type call struct {
	id     uint64 // the judge's, of its own in the whole day
	of     *world.Arrival
	client *world.Client
	end    time.Duration
	over   bool
	tries  []*attempt
}

// try is a client's next try at a call.
func (s *sidecar) try(of *world.Arrival, client *world.Client) {
	client.Tries++
	if !s.running {
		s.next(of, client, world.Unreachable, 0)
		return
	}
	s.lastID++
	s.serial++
	budget := client.Patience(s.now)
	c := &call{id: s.serial, of: of, client: client, end: s.now + budget}
	local := s.lastID
	s.calls[local] = c
	s.observe(judge.Event{Kind: judge.Asked, Call: c.id, Arrival: of.Index, Sidecar: s.n, Class: of.Class, Budget: budget})
	life := s.life
	s.at(c.end+s.Rules.AnswerSlack, func() {
		if s.life == life && !c.over {
			c.over = true
			s.observe(judge.Event{Kind: judge.GaveUp, Call: c.id, Sidecar: s.n})
			s.tell(decide.Event{Kind: decide.ClientLeft, ID: local})
			s.ended(c, world.GivenUp, 0)
		}
	})
	s.tell(decide.Event{Kind: decide.Request, ID: local, Class: of.Class, Budget: budget})
}

// ended is the end of a try for its client, which may try again.
func (s *sidecar) ended(c *call, how world.End, after time.Duration) {
	s.next(c.of, c.client, how, after)
}

func (s *sidecar) next(of *world.Arrival, client *world.Client, how world.End, after time.Duration) {
	if at, ok := client.Next(s.now, how, after); ok {
		s.at(at, func() { s.try(of, client) })
	}
}

// answer gives a call's client a refusal or a failure.
func (s *sidecar) answer(a decide.Action) {
	c := s.calls[a.ID]
	if c == nil || c.over {
		return
	}
	c.over = true
	e := judge.Event{Kind: judge.Answered, Call: c.id, Sidecar: s.n, Status: 502}
	how := world.Failed
	if a.Kind == decide.Refuse {
		e.Status, e.RetryAfter, how = 503, a.Wait, world.Refused
	}
	s.observe(e)
	s.ended(c, how, a.Wait)
	s.forget(a.ID, c)
}

func (s *sidecar) forget(local uint64, c *call) {
	for _, t := range c.tries {
		if !t.closed {
			return
		}
	}
	delete(s.calls, local)
}

// send delegates a call, over a kept connection or a new one.
func (s *sidecar) send(local uint64, worker int) {
	c := s.calls[local]
	s.serial++
	s.counts.Sends++
	a := &attempt{sidecar: s, life: s.life, call: c, local: local, number: len(c.tries), m: s.machines[worker], serial: s.serial, sent: s.now}
	c.tries = append(c.tries, a)
	a.m.counts.Sends++
	s.at(c.end, func() { a.close(decide.TimedOut, false) })
	work := s.AttemptWork(c.of.Index, c.client.Tries*8+a.number)
	if groups := s.dedup[c.of.Class]; c.of.Key != "" && groups != nil && !groups[s.Group(c.of.Class, worker)].First(s.now, c.of.Key) {
		work = time.Millisecond // a repeat that its group drops costs its answer
	}
	a.connect(func() {
		if e, ok := s.view[worker]; !ok || e.State != world.Up {
			a.close(decide.NotRun, true)
			return
		}
		a.arrive(work)
	})
}
