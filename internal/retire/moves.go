package retire

import (
	"errors"
	"fmt"
	"slices"

	"burlpass/internal/record"
)

// MoveError reports that a move cannot be made. Why is the reason.
type MoveError struct{ Why string }

// Error returns the reason.
func (e MoveError) Error() string { return e.Why }

// applyMove returns the stage after a move. It depends only on the timeline, the sums and the record's time; the move
// brings its timestamp and reason. Steps, which the cluster takes, require their conditions to be met. The other moves,
// which the owner makes, only need to be meaningful in the current stage.
func (active *activeTimeline) applyMove(sums *Use, now int64, move Move) (*Stage, error) {
	s := active.stage
	switch {
	case !isValidStamp(move.Ms, now, StageLeadMs):
		return nil, MoveError{fmt.Sprintf("log: ms %d; the record's time is %d, and it must be up to %d ms later", move.Ms, now, StageLeadMs)}
	case s == nil && move.Do != DoStep:
		return nil, MoveError{"it has not begun"}
	case s != nil && s.Held != nil && move.Do != DoGo && move.Do != DoForce && move.Do != DoBack:
		return nil, MoveError{"it is held: " + s.Held.Why}
	}
	switch move.Do {
	case DoStep:
		move.Why = ""
		if why := active.blockedBy(sums, now); why != "" {
			return nil, MoveError{why}
		}
		return active.enterStage(active.nextIndex(), sums, move), nil
	case DoForce:
		if active.nextIndex() == len(active.t.Steps) {
			return nil, MoveError{"it has ended"}
		}
		return active.enterStage(active.nextIndex(), sums, move), nil
	case DoBack:
		if move.To < 0 || move.To >= s.At {
			return nil, MoveError{fmt.Sprintf("to: %d; it is at %d", move.To, s.At)}
		}
		out := active.enterStage(move.To, sums, move)
		out.Held = &Held{Why: move.Why}
		return out, nil
	case DoHold, DoGo:
		out := *s
		out.Held = nil
		move.To = s.At
		if move.Do == DoHold {
			out.Held = &Held{Why: move.Why}
		} else if s.Held == nil {
			return nil, MoveError{"it is not held"}
		} else {
			out.Base = active.t.Harm.totals(sums)
		}
		out.Log = appendMove(s.Log, move)
		return &out, nil
	}
	return nil, MoveError{fmt.Sprintf("do: %.40q is no move", move.Do)}
}

// nextIndex returns the index of the next step.
func (active *activeTimeline) nextIndex() int {
	if active.stage == nil {
		return 0
	}
	return active.stage.At + 1
}

// blockedBy returns the reason why the next step cannot be taken, "" if it can.
func (active *activeTimeline) blockedBy(sums *Use, now int64) string {
	if active.stage != nil {
		if active.nextIndex() == len(active.t.Steps) {
			return "it has ended"
		}
		if why := active.harmSeen(sums); why != "" {
			return why
		}
	}
	return active.unmetCondition(sums, now)
}

// holdForHarm returns the stage held because of harm, or an error if there is none.
func (active *activeTimeline) holdForHarm(sums *Use, now int64, move Move) (*Stage, error) {
	if active.stage == nil || active.stage.Held != nil {
		return nil, MoveError{"it has not begun, or is held"}
	}
	if !isValidStamp(move.Ms, now, StageLeadMs) {
		return nil, MoveError{fmt.Sprintf("log: ms %d; the record's time is %d, and it must be up to %d ms later", move.Ms, now, StageLeadMs)}
	}
	move.Why = active.harmSeen(sums)
	if move.Why == "" {
		return nil, MoveError{"no harm is seen"}
	}
	move.To = active.stage.At
	out := *active.stage
	out.Held = &Held{Why: move.Why, Harm: true}
	out.Log = appendMove(active.stage.Log, move)
	return &out, nil
}

// enterStage returns the stage of step i, entered by a move.
func (active *activeTimeline) enterStage(i int, sums *Use, move Move) *Stage {
	step := &active.t.Steps[i]
	move.To = i
	out := &Stage{At: i, Stage: step.Stage, SinceMs: move.Ms, Base: active.t.Harm.totals(sums), Mark: newMark(sums)}
	var log []Move
	previousCut := "" // cut of the current stage
	if s := active.stage; s != nil {
		log = s.Log
		if i > s.At {
			previousCut = s.Cut
		}
	}
	switch step.Stage {
	case Shed:
		out.Cut = formatCut(active.shedCut(step.Share, sums, move.Ms))
		if previousCut > out.Cut { // both have 16 digits; callers stay shed while shares rise
			out.Cut = previousCut
		}
	case Pause:
		if out.Cut = previousCut; previousCut == "" { // returned to by DoBack
			out.Cut = formatCut(0)
		}
	}
	out.Log = appendMove(log, move)
	return out
}

// shedCut returns the cut for a share of the calls since the current stage began.
func (active *activeTimeline) shedCut(share int64, sums *Use, ms int64) uint64 {
	var mark Mark
	if active.stage != nil {
		mark = active.stage.Mark
	}
	window := mark.since(sums)
	callers := make([]CallerTraffic, 0, len(window.callers))
	for _, c := range window.callers {
		callers = append(callers, CallerTraffic{c.Caller, c.Calls, active.t.isExempt(c.Caller, ms)})
	}
	return ShedCut(active.key, callers, window.others, share)
}

func (t *Timeline) isExempt(caller string, ms int64) bool {
	return slices.ContainsFunc(t.Exempt, func(e Exemption) bool { return e.Caller == caller && ms < e.UntilMs })
}

// appendMove returns a log with a move added, limited to the last maxLog moves.
func appendMove(log []Move, move Move) []Move {
	out := append(slices.Clone(log), move)
	return out[max(0, len(out)-maxLog):]
}

// Propose returns the write of an owner's move: DoHold, DoGo, DoForce or DoBack; only DoBack uses to. The write is based on
// the view's version and has no id.
func (r *Reader) Propose(v record.View, key, by, do string, to int, why string) (*record.Write, error) {
	active, err := findActiveTimeline(v, key)
	if err != nil {
		return nil, err
	}
	if active == nil {
		return nil, errors.New("there is no such timeline in force")
	}
	sums, err := r.sumUses(v, key)
	if err != nil {
		return nil, err
	}
	s, err := active.applyMove(&sums, v.TimeMs(), Move{Ms: v.TimeMs() + stageStampLeadMs, By: by, Do: do, To: to, Why: why})
	if err != nil {
		return nil, err
	}
	return newWrite(v, by, StageKind, key, s)
}
