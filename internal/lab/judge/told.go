package judge

import "time"

// AskWithin is how long a sidecar without a watch is held to the list that it has, as the stage's settings tell it.
const AskWithin = 10 * time.Second

// What counts as told whether it arrived or not, as the operators' page on the full fleet has it.
const (
	latestTold  = 6 * time.Second // a change, after the registry had it and could be reached, whatever became of calls
	silentTold  = 6 * time.Second // what a silent watch misses, after it fell silent
	silentGrace = 2 * time.Second // or after the end of its call's wait, where that is later
	failedTimes = 4               // a sidecar whose last call for the list failed has AskWithin so often
	movedTold   = 4 * time.Second // where lists are pushed: what the agent has, after SIGHUP
)

// told is what a sidecar knows of a worker.
type told struct {
	state   uint8
	since   time.Duration // of the state as told; ahead of now where it counts as told only then
	started time.Duration
}

// silence is one call for the list that is never answered. What it misses counts as told from until on.
type silence struct{ from, until time.Duration }

// drained checks a send against what its sidecar was told of the worker, or counts as told.
func (j *Judge) drained(a *attempt, first time.Duration) {
	s := j.sidecars[a.sidecar]
	limit := j.rules.DrainGrace + j.rules.DrainSlack
	if t, ok := s.told[a.worker]; ok && t.state != 2 && first-max(t.since, s.began) > limit {
		j.broke(Drain, a.sidecar, "w%03d sent a call %v after it was told to go", a.worker, first-max(t.since, s.began))
		return
	}
	if l, ok := j.listed[a.worker]; ok && l.state != 2 && first > j.due(s, l.since)+limit && !s.toldSince(a.worker, l.since) {
		j.broke(Drain, a.sidecar, "w%03d sent a call %v after the list said it goes", a.worker, first-l.since)
	}
}

// begins is what a sidecar's new process counts as told of: where lists are asked, all that the process before it was told,
// which is what the list says that it begins with. Where they are pushed, what its agent has is told at its start.
func (j *Judge) begins(s *sidecar) map[int]told {
	if j.pushed() {
		return map[int]told{}
	}
	return s.told
}

// toldSince tells whether a sidecar was told anything of a worker after a time.
func (s *sidecar) toldSince(worker int, after time.Duration) bool {
	t, ok := s.told[worker]
	return ok && t.since > after
}

// due is when a change, listed at a time and not told by writing it to the sidecar, counts as told to it. The time that
// settings give for asking ends where the registry had the change and could be reached for latestTold; one that was away
// counts anew from its return. A process that begins after that is told as it begins: the list that it begins with is old.
func (j *Judge) due(s *sidecar, listed time.Duration) time.Duration {
	at, missed := s.missed(listed)
	if !missed || s.failed >= 0 {
		asks := listed + AskWithin
		if s.failed >= 0 {
			asks = max(asks, s.failed+failedTimes*AskWithin)
		}
		if !j.down {
			asks = min(asks, max(listed, j.back)+latestTold)
		}
		at = max(at, asks)
	}
	return max(at, s.began)
}

// missed tells whether a silent watch has missed a change that was listed at a time, and when that counts as told. Where
// the next watch falls silent before then, its own time counts.
func (s *sidecar) missed(listed time.Duration) (at time.Duration, ok bool) {
	for _, x := range s.silences {
		if listed >= x.from-slack && listed < x.until || ok && x.from <= at {
			at, ok = max(at, x.until), true
		}
	}
	return at, ok
}

func (j *Judge) pushed() bool { return j.fleet.Scenario.Registry.Pushed }

// told takes in that a sidecar has been told of a worker. What its agent has counts as told too, but not while its watch
// is silent, nor for a while after it moved to another agent.
func (j *Judge) told(e *Event) {
	s := j.sidecars[e.Sidecar]
	old, ok := s.told[e.Worker]
	if ok && old.state == e.State && old.started == e.Started {
		return
	}
	since := e.At
	if j.pushed() {
		if at, missed := s.missed(e.At); missed {
			since = max(since, at)
		}
		if s.moved >= 0 {
			since = max(since, s.moved+movedTold)
		}
	}
	if ok && old.state != 2 && e.State != 2 { // draining, then gone: told once
		since = old.since
	}
	s.told[e.Worker] = told{e.State, since, e.Started}
}

// hushed takes in that a call for the list will never be answered.
func (j *Judge) hushed(e *Event) {
	s := j.sidecars[e.Sidecar]
	s.silences = append(s.silences, silence{e.At, max(e.At+silentTold, e.At+e.Budget+silentGrace)})
}

// resumed takes in the first answer after a call that was not answered, or failed.
func (j *Judge) resumed(e *Event) {
	s := j.sidecars[e.Sidecar]
	s.failed = -1
	for i := range s.silences {
		s.silences[i].until = min(s.silences[i].until, e.At)
	}
	if !j.pushed() {
		return // it was told by writing
	}
	now := e.At
	if s.moved >= 0 {
		now = max(now, s.moved+movedTold)
	}
	for worker, t := range s.told {
		t.since = min(t.since, now)
		s.told[worker] = t
	}
}

// reloaded takes in that a sidecar moves to another registry. What it was being told at that moment may have to come
// from there.
func (j *Judge) reloaded(e *Event) {
	if !j.pushed() {
		return
	}
	s := j.sidecars[e.Sidecar]
	s.moved = e.At
	for worker, t := range s.told {
		if t.since > e.At-j.rules.DrainGrace-j.rules.DrainSlack {
			t.since = max(t.since, e.At+movedTold)
			s.told[worker] = t
		}
	}
}
