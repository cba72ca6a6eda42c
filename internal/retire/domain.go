package retire

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"

	"burlpass/internal/record"
	"burlpass/internal/rules"
)

// Domains returns the domains of all Kinds. They share a Reader as a cache, which does not affect their results.
func Domains() []record.Domain {
	r := &Reader{}
	return []record.Domain{timelineDomain{r}, stageDomain{r}, useDomain{}}
}

// Env returns the environment of the rules in a state: the versions that are being retired.
func Env(v record.View) rules.Env {
	return rules.Env{Retired: func(version string) (out []rules.Timeline) {
		all, err := activeTimelines(v)
		if err != nil {
			return nil // no accepted write leads to this
		}
		for _, active := range all {
			if active.parsedKey.Version == version {
				out = append(out, rules.Timeline{Key: active.key, In: active.parsedKey.In})
			}
		}
		return out
	}}
}

// forEachChange calls check for each change of a kind, in the order of the write. The error names the first change that is
// refused.
func forEachChange(kind record.Kind, before, after record.View, write *record.Write,
	check func(before, after record.View, write *record.Write, c record.Change) error) error {
	for _, c := range write.Changes {
		if c.Kind != kind {
			continue
		}
		if err := check(before, after, write, c); err != nil {
			return fmt.Errorf("%s %s: %w", c.Kind, c.Key, err)
		}
	}
	return nil
}

// timelineDomain is the domain of TimelineKind.
type timelineDomain struct{ reader *Reader }

func (timelineDomain) Kind() record.Kind                  { return TimelineKind }
func (timelineDomain) Ends(string, json.RawMessage) int64 { return 0 }

func (timelineDomain) Canonical(key string, value json.RawMessage) (json.RawMessage, error) {
	return canonical(TimelineKind, key, value)
}

func (d timelineDomain) Check(before, after record.View, write *record.Write) error {
	return forEachChange(TimelineKind, before, after, write, d.checkChange)
}

func (d timelineDomain) checkChange(before, after record.View, write *record.Write, c record.Change) error {
	key, err := ParseKey(c.Key)
	if err != nil {
		return err
	}
	owner, err := d.reader.owner(before, after, key.In)
	if err != nil {
		return err
	}
	if team, _, _ := strings.Cut(write.By, "/"); team != owner {
		return fmt.Errorf("it is for %s to change, not for %.40s", owner, team)
	}
	old, err := findActiveTimeline(before, c.Key)
	if err != nil {
		return err
	}
	if c.Value == nil {
		if old != nil {
			return fmt.Errorf("it must be set to \"now\":null, which keeps its history, before it is taken away")
		}
		return nil
	}
	if err := checkHistory(before, write, c); err != nil {
		return err
	}
	now, err := findActiveTimeline(after, c.Key)
	if err != nil || now == nil {
		return err
	}
	state, err := d.reader.owners.Load(after)
	if err != nil {
		return err
	}
	if _, ok := state.Owner(key.In.String()); !ok {
		return fmt.Errorf("its namespace is not there")
	}
	if now.stage, err = readStage(before, c.Key); err != nil {
		return err
	}
	if err := now.checkStepsTaken(old); err != nil {
		return err
	}
	return d.reader.checkConflicts(after, state, now)
}

// checkHistory requires a value to continue the history of the previous one, in the same form as the items of rules.
func checkHistory(before record.View, write *record.Write, c record.Change) error {
	_, now, err := rules.History(record.Item{Kind: c.Kind, Key: c.Key, Value: c.Value})
	if err != nil {
		return err
	}
	previous, ok := before.Get(c.Kind, c.Key)
	if !ok {
		previous = record.Item{Kind: c.Kind, Key: c.Key}
	}
	want, err := rules.Amend(previous, now, write.By)
	if err != nil {
		return err
	}
	if !bytes.Equal(want.Value, c.Value) {
		return fmt.Errorf("past: it must end with what is there now, replaced by %q, and have what was before, as rules' items do", write.By)
	}
	return nil
}

// checkStepsTaken requires the steps that have already been taken to be unchanged.
func (active *activeTimeline) checkStepsTaken(old *activeTimeline) error {
	if active.stage == nil {
		return nil
	}
	if old == nil {
		return fmt.Errorf("what stood under this key before is still being taken away")
	}
	for i := range active.stage.At + 1 {
		if i >= len(active.t.Steps) || !active.t.Steps[i].equal(old.t.Steps[i]) {
			return fmt.Errorf("steps[%d]: it has been taken, and cannot be changed any more", i)
		}
	}
	return nil
}

func (s Step) equal(o Step) bool {
	need := (s.Need == nil) == (o.Need == nil) && (s.Need == nil || *s.Need == *o.Need)
	s.Need, o.Need = nil, nil
	return need && s == o
}

// stageDomain is the domain of StageKind.
type stageDomain struct{ reader *Reader }

func (stageDomain) Kind() record.Kind                  { return StageKind }
func (stageDomain) Ends(string, json.RawMessage) int64 { return 0 }

func (stageDomain) Canonical(key string, value json.RawMessage) (json.RawMessage, error) {
	return canonical(StageKind, key, value)
}

func (d stageDomain) Check(before, after record.View, write *record.Write) error {
	return forEachChange(StageKind, before, after, write, d.checkChange)
}

func (d stageDomain) checkChange(before, after record.View, write *record.Write, c record.Change) error {
	active, err := findActiveTimeline(after, c.Key)
	if err != nil && c.Value != nil {
		return err
	}
	if c.Value == nil {
		if active != nil || err != nil {
			return fmt.Errorf("it stays as long as its timeline")
		}
		return requireCluster(write)
	}
	if active == nil {
		return fmt.Errorf("there is no such timeline in force")
	}
	var now Stage
	if err := json.Unmarshal(c.Value, &now); err != nil {
		return err
	}
	if active.stage, err = readStage(before, c.Key); err != nil {
		return err
	}
	if len(now.Log) == 0 {
		return fmt.Errorf("log: it must say what is done")
	}
	move := now.Log[len(now.Log)-1]
	if move.By != write.By {
		return fmt.Errorf("log: by %.40q, and the write is by %.40q", move.By, write.By)
	}
	sums, err := d.reader.sumUses(before, c.Key)
	if err != nil {
		return err
	}
	want, err := d.expectedStage(before, after, write, active, &sums, move)
	if err != nil {
		return err
	}
	raw, err := json.Marshal(want)
	if err != nil {
		return err
	}
	if !bytes.Equal(raw, c.Value) {
		return fmt.Errorf("it is not what %s gives by what is counted in the record", move.Do)
	}
	return nil
}

// expectedStage returns the stage that results from a move, or an error if its author may not make it.
func (d stageDomain) expectedStage(before, after record.View, write *record.Write, active *activeTimeline, sums *Use, move Move) (*Stage, error) {
	team, _, _ := strings.Cut(write.By, "/")
	if team == Cluster {
		switch move.Do {
		case DoStep:
			return active.applyMove(sums, before.TimeMs(), move)
		case DoHold:
			return active.holdForHarm(sums, before.TimeMs(), move)
		}
	}
	owner, err := d.reader.owner(before, after, active.parsedKey.In)
	if err != nil {
		return nil, err
	}
	if team != owner || move.Do == DoStep {
		return nil, fmt.Errorf("%.20s is for %s to do, not for %.40s", move.Do, owner, team)
	}
	return active.applyMove(sums, before.TimeMs(), move)
}

// requireCluster refuses writes by authors other than the cluster.
func requireCluster(write *record.Write) error {
	if writer, _, _ := strings.Cut(write.By, "/"); writer != Cluster {
		return fmt.Errorf("it is for %s to change, not for %.40s", Cluster, writer)
	}
	return nil
}
