package retire

import (
	"errors"
	"fmt"
	"slices"

	"burlpass/internal/record"
)

// NoMove says that a move cannot be made; its text has the reason.
type NoMove struct{ Why string }

// Error implements error.
func (e NoMove) Error() string { return e.Why }

// moved is the stage after a move, from the timeline, the sums and the record's time alone. m has its stamp and reason. The moves of the cluster
// have conditions, the owner's have none but what they mean.
func (l *line) moved(sums *Use, now int64, m Move) (*Stage, error) {
	s := l.stage
	switch {
	case !stamped(m.Ms, now, StageLeadMs):
		return nil, NoMove{fmt.Sprintf("log: ms %d; the record's time is %d, and it must be up to %d ms later", m.Ms, now, StageLeadMs)}
	case s == nil && m.Do != DoStep:
		return nil, NoMove{"it has not begun"}
	case s != nil && s.Held != nil && m.Do != DoGo && m.Do != DoForce && m.Do != DoBack:
		return nil, NoMove{"it is held: " + s.Held.Why}
	}
	switch m.Do {
	case DoStep:
		m.Why = ""
		if why := l.halted(sums, now); why != "" {
			return nil, NoMove{why}
		}
		return l.enter(l.next(), sums, m), nil
	case DoForce:
		if l.next() == len(l.t.Steps) {
			return nil, NoMove{"it has ended"}
		}
		return l.enter(l.next(), sums, m), nil
	case DoBack:
		if m.To < 0 || m.To >= s.At {
			return nil, NoMove{fmt.Sprintf("to: %d; it is at %d", m.To, s.At)}
		}
		out := l.enter(m.To, sums, m)
		out.Held = &Held{Why: m.Why}
		return out, nil
	case DoHold, DoGo:
		out := *s
		out.Held = nil
		m.To = s.At
		if m.Do == DoHold {
			out.Held = &Held{Why: m.Why}
		} else if s.Held == nil {
			return nil, NoMove{"it is not held"}
		} else {
			out.Base = l.t.Harm.harmed(sums)
		}
		out.Log = logged(s.Log, m)
		return &out, nil
	}
	return nil, NoMove{fmt.Sprintf("do: %.40q is no move", m.Do)}
}

// next is the place of the next step.
func (l *line) next() int {
	if l.stage == nil {
		return 0
	}
	return l.stage.At + 1
}

// halted says why the next step may not be taken; "" where it may.
func (l *line) halted(sums *Use, now int64) string {
	if l.stage != nil {
		if l.next() == len(l.t.Steps) {
			return "it has ended"
		}
		if why := l.harm(sums); why != "" {
			return why
		}
	}
	return l.unmet(sums, now)
}

// heldByHarm is the stage after harm has been seen.
func (l *line) heldByHarm(sums *Use, now int64, m Move) (*Stage, error) {
	if l.stage == nil || l.stage.Held != nil {
		return nil, NoMove{"it has not begun, or is held"}
	}
	if !stamped(m.Ms, now, StageLeadMs) {
		return nil, NoMove{fmt.Sprintf("log: ms %d; the record's time is %d, and it must be up to %d ms later", m.Ms, now, StageLeadMs)}
	}
	m.Why = l.harm(sums)
	if m.Why == "" {
		return nil, NoMove{"no harm is seen"}
	}
	m.To = l.stage.At
	out := *l.stage
	out.Held = &Held{Why: m.Why, Harm: true}
	out.Log = logged(l.stage.Log, m)
	return &out, nil
}

// enter is the stage at a place in Steps, as of a move.
func (l *line) enter(i int, sums *Use, m Move) *Stage {
	step := &l.t.Steps[i]
	m.To = i
	out := &Stage{At: i, Stage: step.Stage, SinceMs: m.Ms, Base: l.t.Harm.harmed(sums), Mark: marked(sums)}
	var log []Move
	last := "" // the cut in force
	if s := l.stage; s != nil {
		log = s.Log
		if i > s.At {
			last = s.Cut
		}
	}
	switch step.Stage {
	case Shed:
		out.Cut = textCut(l.cut(step.Share, sums, m.Ms))
		if last > out.Cut { // both have 16 digits: nobody comes back while shares rise
			out.Cut = last
		}
	case Pause:
		if out.Cut = last; last == "" { // turned back to it
			out.Cut = textCut(0)
		}
	}
	out.Log = logged(log, m)
	return out
}

// cut is the threshold of a share of what was called since the stage now in force began.
func (l *line) cut(share int64, sums *Use, ms int64) uint64 {
	var m Mark
	if l.stage != nil {
		m = l.stage.Mark
	}
	w := m.since(sums)
	callers := make([]Traffic, 0, len(w.callers))
	for _, c := range w.callers {
		callers = append(callers, Traffic{c.Caller, c.Calls, l.t.exempt(c.Caller, ms)})
	}
	return Cut(l.key, callers, w.others, share)
}

func (t *Timeline) exempt(caller string, ms int64) bool {
	return slices.ContainsFunc(t.Exempt, func(e Exemption) bool { return e.Caller == caller && ms < e.UntilMs })
}

func logged(log []Move, m Move) []Move {
	out := append(slices.Clone(log), m)
	return out[max(0, len(out)-maxLog):]
}

// Propose gives the write of an owner's move: DoHold, DoGo, DoForce or DoBack, which needs to. It rests on the view; its id is left open.
func (r *Reader) Propose(v record.View, key, by, do string, to int, why string) (*record.Write, error) {
	l, err := timeline(v, key)
	if err != nil {
		return nil, err
	}
	if l == nil {
		return nil, errors.New("there is no such timeline in force")
	}
	sums, err := r.sums(v, key)
	if err != nil {
		return nil, err
	}
	s, err := l.moved(&sums, v.TimeMs(), Move{Ms: v.TimeMs() + stageAheadMs, By: by, Do: do, To: to, Why: why})
	if err != nil {
		return nil, err
	}
	return written(v, by, StageKind, key, s)
}
