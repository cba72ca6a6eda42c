package retire

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"

	"burlpass/internal/record"
)

// stageStampLeadMs is added to the record's time in a stage's timestamp: the allowance for the duration of the write.
const stageStampLeadMs = 2_000

// stewardName is the author of automatic steps and folds.
const stewardName = Cluster + "/steward"

// Stepped is a proposed write of a timeline's next stage.
type Stepped struct {
	Timeline string
	From, To string // names of the stages; equal if the timeline is held
	Why      string // reason for holding it; "" for a step
	Write    *record.Write
}

// Holding gives the reason why a timeline does not advance.
type Holding struct {
	Timeline string `json:"timeline"`
	Stage    string `json:"stage"` // "" before the first stage
	Why      string `json:"why"`
	Waits    bool   `json:"waits,omitempty"` // it waits only for its time, or has ended
}

// DueWrites are the writes that are possible now, and the timelines that cannot advance.
type DueWrites struct {
	Steps []Stepped
	Holds []Holding       // timelines without a step, in the order of their keys
	Folds []*record.Write // fold the counts of ended incarnations, or remove leftover items of removed timelines
}

// Due returns the steps that can be written in a state, and the reasons why the other timelines do not advance. The writes
// are based on the view's version and have no id. The result depends on the state alone.
func (r *Reader) Due(v record.View) (DueWrites, error) {
	var out DueWrites
	all, err := activeTimelines(v)
	if err != nil {
		return out, err
	}
	counts, err := r.readUses(v, "")
	if err != nil {
		return out, err
	}
	byTimeline := map[string]map[string]*Use{}
	for key, u := range counts {
		timelineKey, _, _ := strings.Cut(key, "#")
		if byTimeline[timelineKey] == nil {
			byTimeline[timelineKey] = map[string]*Use{}
		}
		byTimeline[timelineKey][key] = u
	}
	for _, active := range all {
		uses := byTimeline[active.key]
		sums := Merge(slices.Collect(maps.Values(uses)))
		step, why, err := active.dueStep(v, &sums)
		if err != nil {
			return out, err
		}
		if step != nil {
			out.Steps = append(out.Steps, *step)
		} else {
			out.Holds = append(out.Holds, Holding{active.key, active.stageName(), why, active.waitsForTime(v.TimeMs())})
		}
		if write, err := foldWrite(v, active.key, uses); err != nil {
			return out, err
		} else if write != nil {
			out.Folds = append(out.Folds, write)
		}
	}
	if write := cleanupWrite(v, all); write != nil {
		out.Folds = append(out.Folds, write)
	}
	return out, nil
}

// stageName returns the name of the current stage, "" before the first.
func (active *activeTimeline) stageName() string {
	if active.stage == nil {
		return ""
	}
	return active.stage.Stage
}

// dueStep returns the step that a timeline can take, or nil and the reason why it cannot advance.
func (active *activeTimeline) dueStep(v record.View, sums *Use) (*Stepped, string, error) {
	now := v.TimeMs()
	move := Move{Ms: now + stageStampLeadMs, By: stewardName, Do: DoHold}
	next, err := active.holdForHarm(sums, now, move)
	if err != nil {
		move.Do = DoStep
		next, err = active.applyMove(sums, now, move)
	}
	var noMove MoveError
	switch {
	case errors.As(err, &noMove):
		return nil, noMove.Why, nil
	case err != nil:
		return nil, "", err
	}
	write, err := newWrite(v, stewardName, StageKind, active.key, next)
	out := &Stepped{Timeline: active.key, From: active.stageName(), To: next.Stage, Write: write}
	if next.Held != nil {
		out.Why = next.Held.Why
	}
	return out, "", err
}

// newWrite returns a write of one value.
func newWrite(v record.View, by string, kind record.Kind, key string, value any) (*record.Write, error) {
	raw, err := json.Marshal(value)
	if err != nil {
		return nil, fmt.Errorf("%s %s: %w", kind, key, err)
	}
	return &record.Write{By: by, Base: v.Version(), Changes: []record.Change{{Kind: kind, Key: key, Value: raw}}}, nil
}

// maxChanges is the maximum number of changes in a write of this file. It equals the record's default bound.
const maxChanges = 64

// foldWrite returns a write that folds the incarnations of a timeline that have not written for QuietMs, nil if there are
// none.
func foldWrite(v record.View, timeline string, all map[string]*Use) (*record.Write, error) {
	write := &record.Write{By: stewardName, Base: v.Version()}
	var parts []*Use
	for _, key := range slices.Sorted(maps.Keys(all)) {
		if key != FoldedKey(timeline) && all[key].SeenMs+QuietMs <= v.TimeMs() && len(parts) < maxChanges-1 {
			parts = append(parts, all[key])
			write.Changes = append(write.Changes, record.Change{Kind: UseKind, Key: key})
		}
	}
	if len(parts) == 0 {
		return nil, nil
	}
	if old := all[FoldedKey(timeline)]; old != nil {
		parts = append(parts, old)
	}
	raw, err := json.Marshal(Fold(parts))
	write.Changes = append(write.Changes, record.Change{Kind: UseKind, Key: FoldedKey(timeline), Value: raw})
	return write, err
}

// cleanupWrite returns a write that removes the items of timelines no longer in force, nil if there are none.
func cleanupWrite(v record.View, all []*activeTimeline) *record.Write {
	inForce := map[string]bool{}
	for _, active := range all {
		inForce[active.key] = true
	}
	write := &record.Write{By: stewardName, Base: v.Version()}
	removeOrphans := func(kind record.Kind, timelineOf func(key string) string) {
		v.Each(kind, func(i record.Item) bool {
			if !inForce[timelineOf(i.Key)] {
				write.Changes = append(write.Changes, record.Change{Kind: kind, Key: i.Key})
			}
			return len(write.Changes) < maxChanges
		})
	}
	removeOrphans(StageKind, func(key string) string { return key })
	if len(write.Changes) < maxChanges {
		removeOrphans(UseKind, func(key string) string {
			timeline, _, _ := parseUseKey(key)
			return timeline
		})
	}
	if len(write.Changes) == 0 {
		return nil
	}
	return write
}
