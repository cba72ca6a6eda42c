package retire

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"

	"burlpass/internal/record"
	"burlpass/internal/rules"
)

// Reader decodes items and caches the results, so that reading a state again after a small change is cheap. Its results
// depend on the items alone. It is safe for concurrent use, and the zero value is ready to use.
type Reader struct {
	owners rules.Decoder
	mu     sync.Mutex
	cache  map[string]cachedUse // by item key
}

// cachedUse is an item of UseKind as it was last decoded.
type cachedUse struct {
	raw []byte
	use *Use
}

// activeTimeline is a timeline in force with its current stage.
type activeTimeline struct {
	key       string
	parsedKey Key
	t         *Timeline
	stage     *Stage // nil: not started
}

// findActiveTimeline returns the timeline in force under a key, nil if there is none.
func findActiveTimeline(v record.View, key string) (*activeTimeline, error) {
	i, ok := v.Get(TimelineKind, key)
	if !ok {
		return nil, nil
	}
	return decodeActiveTimeline(v, i)
}

// decodeActiveTimeline decodes a timeline and its stage, nil if the timeline is not in force.
func decodeActiveTimeline(v record.View, i record.Item) (*activeTimeline, error) {
	var entry struct {
		Now json.RawMessage `json:"now"`
	}
	if err := json.Unmarshal(i.Value, &entry); err != nil {
		return nil, fmt.Errorf("timeline %s: %w", i.Key, err)
	}
	if len(entry.Now) == 0 || string(entry.Now) == "null" {
		return nil, nil
	}
	active := &activeTimeline{key: i.Key, t: new(Timeline)}
	var err error
	if active.parsedKey, err = ParseKey(i.Key); err == nil {
		err = json.Unmarshal(entry.Now, active.t)
	}
	if err != nil {
		return nil, fmt.Errorf("timeline %s: %w", i.Key, err)
	}
	active.stage, err = readStage(v, i.Key)
	if active.stage != nil && active.stage.At >= len(active.t.Steps) {
		return nil, fmt.Errorf("stage %s: at %d of %d steps", i.Key, active.stage.At, len(active.t.Steps))
	}
	return active, err
}

// readStage returns the stage of a timeline, nil if it has not started.
func readStage(v record.View, key string) (*Stage, error) {
	i, ok := v.Get(StageKind, key)
	if !ok {
		return nil, nil
	}
	s := new(Stage)
	if err := json.Unmarshal(i.Value, s); err != nil {
		return nil, fmt.Errorf("stage %s: %w", key, err)
	}
	return s, nil
}

// activeTimelines returns all timelines in force, in the order of their keys.
func activeTimelines(v record.View) (out []*activeTimeline, err error) {
	v.Each(TimelineKind, func(i record.Item) bool {
		var active *activeTimeline
		if active, err = decodeActiveTimeline(v, i); err != nil {
			return false
		}
		if active != nil {
			out = append(out, active)
		}
		return true
	})
	return out, err
}

// readUses returns the counts of a timeline by item key, or those of all timelines if timelineKey is "".
func (r *Reader) readUses(v record.View, timelineKey string) (map[string]*Use, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cache == nil {
		r.cache = map[string]cachedUse{}
	}
	out := map[string]*Use{}
	count := 0
	var err error
	v.Each(UseKind, func(i record.Item) bool {
		count++
		if timelineKey != "" && (!strings.HasPrefix(i.Key, timelineKey) || len(i.Key) == len(timelineKey) || i.Key[len(timelineKey)] != '#') {
			return true
		}
		cached, ok := r.cache[i.Key]
		if !ok || !bytes.Equal(cached.raw, i.Value) {
			cached = cachedUse{i.Value, new(Use)}
			if err = json.Unmarshal(i.Value, cached.use); err != nil {
				err = fmt.Errorf("use %s: %w", i.Key, err)
				return false
			}
			r.cache[i.Key] = cached
		}
		out[i.Key] = cached.use
		return true
	})
	if len(r.cache) > 2*count+64 { // most cached items have been removed from the record
		maps.DeleteFunc(r.cache, func(key string, _ cachedUse) bool {
			_, exists := v.Get(UseKind, key)
			return !exists
		})
	}
	return out, err
}

// sumUses returns a timeline's counts, added up over all incarnations and the folded counts.
func (r *Reader) sumUses(v record.View, key string) (Use, error) {
	uses, err := r.readUses(v, key)
	if err != nil {
		return Use{}, err
	}
	return Merge(slices.Collect(maps.Values(uses))), nil
}

// Sums returns a timeline's counts, added up over all incarnations and the folded counts.
func (r *Reader) Sums(v record.View, key string) (Use, error) { return r.sumUses(v, key) }

// owner returns the team that owns a timeline's namespace before a write or, if the namespace did not exist, after it.
func (r *Reader) owner(before, after record.View, in rules.Selector) (string, error) {
	s, err := r.owners.Load(before)
	if err != nil {
		return "", err
	}
	if team, ok := s.Owner(in.String()); ok {
		return team, nil
	}
	if s, err = r.owners.Load(after); err != nil {
		return "", err
	}
	return s.OwnerOf(in), nil
}

// InForce reports whether a timeline is in force in a state.
func InForce(v record.View, key string) bool {
	active, err := findActiveTimeline(v, key)
	return err == nil && active != nil
}
