package retire

import (
	"encoding/json"
	"fmt"

	"burlpass/internal/record"
	"burlpass/internal/rules"
)

// OverlappingTimelines is the conflict between two timelines that both retire the same version for some call. Conflicts with
// successors and rules have the kinds rules.Retired and rules.Circle.
const OverlappingTimelines rules.ConflictKind = "timelines"

// checkConflicts returns the first conflict of a timeline with the state. It checks, in this order: overlapping timelines,
// cycles of successors, successors that are retired themselves, rules that need the version.
func (r *Reader) checkConflicts(after record.View, s *rules.State, active *activeTimeline) error {
	all, err := activeTimelines(after)
	if err != nil {
		return err
	}
	conflictSide := func(other *activeTimeline) rules.Side {
		raw, _ := json.Marshal(other.t) // cannot fail: it was decoded from JSON
		return rules.Side{Kind: TimelineKind, Key: other.key, Owner: s.OwnerOf(other.parsedKey.In), Value: raw}
	}
	conflict := func(kind rules.ConflictKind, other *activeTimeline, region rules.Selector, why string, others ...string) error {
		return rules.Conflict{Kind: kind, A: conflictSide(active), B: conflictSide(other), Witness: region.Witness(), Others: others, Why: why}
	}
	for _, other := range all {
		if region, overlap := active.parsedKey.In.Meet(other.parsedKey.In); overlap && other.key != active.key && other.parsedKey.Version == active.parsedKey.Version {
			return conflict(OverlappingTimelines, other, region, "both end version "+active.parsedKey.Version)
		}
	}
	if other, region, others, ok := findCycle(all, active); ok {
		return conflict(rules.Circle, other, region, "their successors go round", others...)
	}
	for _, other := range all {
		region, overlap := active.parsedKey.In.Meet(other.parsedKey.In)
		switch {
		case !overlap:
		case active.t.Successor == other.parsedKey.Version:
			return conflict(rules.Retired, other, region, fmt.Sprintf("the successor, %s, ends itself", active.t.Successor))
		case other.t.Successor == active.parsedKey.Version:
			return conflict(rules.Retired, other, region, fmt.Sprintf("%s is the successor of %s", active.parsedKey.Version, other.parsedKey.Version))
		}
	}
	if c := s.Resting(active.parsedKey.Version, rules.Timeline{Key: active.key, In: active.parsedKey.In}); len(c) > 0 {
		return c[0]
	}
	return nil
}

// findCycle follows the successors of a timeline, over timelines that have calls in common, and returns the timeline that
// leads back to it, the calls that are affected, and the keys of the timelines in between.
func findCycle(all []*activeTimeline, from *activeTimeline) (last *activeTimeline, region rules.Selector, between []string, ok bool) {
	var walk func(active *activeTimeline, region rules.Selector, path []string) bool
	walk = func(active *activeTimeline, in rules.Selector, path []string) bool {
		if active.t.Successor == from.parsedKey.Version {
			last, region, ok = active, in, true
			if len(path) > 0 {
				between = path[:len(path)-1] // without the last one, which is returned as last
			}
			return true
		}
		if len(path) > maxCycle {
			return false
		}
		for _, other := range all {
			if other.parsedKey.Version != active.t.Successor || other.key == active.key {
				continue
			}
			if both, overlap := in.Meet(other.parsedKey.In); overlap && walk(other, both, append(path, other.key)) {
				return true
			}
		}
		return false
	}
	walk(from, from.parsedKey.In, nil)
	return last, region, between, ok
}

// maxCycle limits the length of the cycles searched for. A longer cycle is still refused: any two neighbors in it are a
// conflict because a successor is retired itself.
const maxCycle = 8
