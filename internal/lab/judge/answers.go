package judge

import "time"

func (j *Judge) asked(e *Event) {
	if old := j.calls[e.Call]; old != nil { // sent once more over a new connection: the old one counts for nothing
		old.asked, old.budget = e.At, e.Budget
		old.life = j.sidecars[e.Sidecar].next()
		return
	}
	j.calls[e.Call] = &call{id: e.Call, arrival: e.Arrival, sidecar: e.Sidecar, life: j.sidecars[e.Sidecar].next(), class: e.Class,
		asked: e.At, budget: e.Budget}
	j.tally.asked(e)
}

func (j *Judge) className(c *call) string { return j.fleet.Scenario.Classes[c.class].Name }

func (j *Judge) answered(e *Event) {
	c := j.calls[e.Call]
	if c == nil {
		j.broke(Answer, e.Sidecar, "an answer %d to no call", e.Status)
		return
	}
	if c.over {
		j.broke(Answer, c.sidecar, "a second answer %d to %s %x", e.Status, j.className(c), c.id)
		return
	}
	c.over = true
	took := e.At - c.asked
	if late := took - c.budget - j.rules.AnswerSlack; late > 0 {
		j.broke(Answer, c.sidecar, "%s %x answered %d %v after its client's %v", j.className(c), c.id, e.Status,
			took-c.budget, c.budget)
	}
	switch {
	case e.Status == 200:
		made := false
		for _, a := range c.attempts {
			made = made || a.ran && a.body == e.Body
		}
		if !made {
			j.broke(Answer, c.sidecar, "%s %x served with what no worker made for it", j.className(c), c.id)
		}
		j.tally.served(c, e.At, took <= c.budget)
	case e.Status == 429 || e.Status == 503:
		j.refused(c)
		j.tally.refused(c, e)
	default:
		j.tally.failed(c, e.At)
	}
	j.idle(c, e)
}

// idle notes calls that were refused or failed late though nothing was ever sent.
func (j *Judge) idle(c *call, e *Event) {
	if e.Status != 200 && len(c.attempts) == 0 && e.At-c.asked > c.budget/2 {
		j.tally.idleLate++
	}
}

// refused checks that a refusal is lawful: trying again must be harmless.
func (j *Judge) refused(c *call) {
	class := &j.fleet.Scenario.Classes[c.class]
	if class.Effect == "safe" || class.Effect == "keyed" && class.Group == "all" {
		return
	}
	for _, a := range c.attempts {
		if !a.unrun {
			j.broke(Effect, c.sidecar, "%s %x refused though w%03d may have run it", class.Name, c.id, a.worker)
			return
		}
	}
}

// next is the life that a request asked now belongs to: once a process has ended it is the next one's, which may serve
// before its health has been seen.
func (s *sidecar) next() int {
	if s.up {
		return s.life
	}
	return s.life + 1
}

// termTime is how long after SIGTERM whatever comes has to be answered. Later a sidecar need not take calls; one that it
// reads must be answered all the same, also where SIGKILL comes first.
const termTime = 700 * time.Millisecond

func (j *Judge) ended(e *Event) {
	c := j.calls[e.Call]
	if c == nil || c.over {
		return
	}
	c.over = true
	s := j.sidecars[c.sidecar]
	switch how := s.ending(c.life); {
	case how.killed && (how.termed < 0 || c.asked-how.termed <= termTime+slack || !e.On): // holding the call: not counted against it
		j.tally.died++
		return
	case how.termed >= 0 && c.asked-how.termed > termTime-slack && !e.On: // the close may have crossed it
		j.tally.died++
		return
	case how.termed < 0 && (!s.up || s.life != c.life): // it ended by itself, which is a crash already
		j.tally.died++
		return
	}
	j.broke(Answer, c.sidecar, "%s %x lost: the connection ended without a whole answer (%s)", j.className(c), c.id, e.Text)
}

func (j *Judge) gaveUp(e *Event) {
	c := j.calls[e.Call]
	if c == nil || c.over {
		return
	}
	c.over = true
	if s := j.sidecars[c.sidecar]; !s.up || s.life != c.life {
		j.tally.died++
		return
	}
	j.broke(Answer, c.sidecar, "%s %x has no answer %v after its client's %v", j.className(c), c.id, e.At-c.asked-c.budget, c.budget)
}

func (j *Judge) arrived(e *Event) {
	c := j.calls[e.Call]
	if c == nil {
		j.broke(Verbatim, e.Sidecar, "w%03d got a call that no client sent", e.Worker)
		return
	}
	if e.Text != "" {
		j.broke(Verbatim, e.Sidecar, "%s %x changed on its way: %s", j.className(c), c.id, e.Text)
	}
	class := &j.fleet.Scenario.Classes[c.class]
	a := &attempt{serial: e.Serial, call: c, worker: e.Worker, hall: j.fleet.Worker[e.Worker], at: e.At, got: e.At - e.Unread, sidecar: e.Sidecar}
	j.attempts[e.Serial] = a
	j.tally.attempts++
	if a.hall != j.fleet.Sidecar[e.Sidecar] {
		j.tally.crossed++
	}
	if len(c.attempts) >= j.rules.MaxAttempts {
		j.broke(Effect, e.Sidecar, "%s %x: attempt %d", class.Name, c.id, len(c.attempts)+1)
	}
	var ran *attempt // the first that may have run
	for _, b := range c.attempts {
		if !b.unrun && ran == nil {
			ran = b
		}
		if !b.closed && e.At > b.at && !j.rules.Copies {
			// two sockets' events may be seen in the wrong order; the close is looked at once more at the end
			j.tally.overlaps = append(j.tally.overlaps, [2]*attempt{b, a})
		}
	}
	if ran != nil {
		switch class.Effect {
		case "unsafe":
			j.broke(Effect, e.Sidecar, "%s %x sent again to w%03d though w%03d may have run it", class.Name, c.id, a.worker, ran.worker)
		case "keyed":
			if class.Group != "all" && ran.hall != a.hall {
				j.broke(Effect, e.Sidecar, "%s %x repeated in another hall, at w%03d after w%03d", class.Name, c.id, a.worker, ran.worker)
			} else if class.Group == "cell" && j.fleet.Cell[ran.worker] != j.fleet.Cell[a.worker] {
				j.broke(Effect, e.Sidecar, "%s %x repeated in another cell, at w%03d after w%03d", class.Name, c.id, a.worker, ran.worker)
			} else if a.got-ran.got > class.Window+slack { // the window counts from send to send
				j.broke(Effect, e.Sidecar, "%s %x repeated %v after w%03d got it", class.Name, c.id, a.got-ran.got, ran.worker)
			}
		}
	}
	c.attempts = append(c.attempts, a)
	j.drained(a, min(e.First, a.got))
	j.belief.sent(a)
}
