package retire

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"

	"burlpass/internal/record"
)

// useDomain is the domain of UseKind.
type useDomain struct{}

func (useDomain) Kind() record.Kind                  { return UseKind }
func (useDomain) Ends(string, json.RawMessage) int64 { return 0 }

func (useDomain) Canonical(key string, value json.RawMessage) (json.RawMessage, error) {
	return canonical(UseKind, key, value)
}

func (useDomain) Check(before, after record.View, write *record.Write) error {
	if err := requireCluster(write); err != nil {
		return err
	}
	var folded []string // timelines whose fold was checked
	for _, c := range write.Changes {
		if c.Kind != UseKind {
			continue
		}
		key, bornMs, err := parseUseKey(c.Key)
		if err != nil {
			return err
		}
		active, err := findActiveTimeline(after, key)
		switch {
		case err != nil:
			return err
		case active == nil && c.Value != nil:
			return fmt.Errorf("%s %s: there is no such timeline in force", c.Kind, c.Key)
		case active == nil:
		case bornMs > 0 && c.Value != nil:
			err = checkReport(before, c, bornMs)
		case !slices.Contains(folded, key):
			folded = append(folded, key)
			err = checkFold(before, write, key)
		}
		if err != nil {
			return fmt.Errorf("%s %s: %w", c.Kind, c.Key, err)
		}
	}
	return nil
}

// checkReport validates an incarnation's own report. The bornMs of a new incarnation must be the current time, so that one
// that has been folded cannot return and be counted twice.
func checkReport(before record.View, c record.Change, bornMs int64) error {
	var now Use
	if err := json.Unmarshal(c.Value, &now); err != nil {
		return err
	}
	old, err := readUse(before, c.Key)
	if err != nil {
		return err
	}
	if old == nil && !isValidStamp(bornMs, before.TimeMs(), UseLeadMs) {
		return fmt.Errorf("there is none, and a new one's number must be the record's time, %d, or up to %d ms later", before.TimeMs(), UseLeadMs)
	}
	return now.checkContinues(old, before.TimeMs())
}

// readUse returns the counts under a key, nil if there are none.
func readUse(v record.View, key string) (*Use, error) {
	i, ok := v.Get(UseKind, key)
	if !ok {
		return nil, nil
	}
	u := new(Use)
	return u, json.Unmarshal(i.Value, u)
}

// checkFold validates the folding of a timeline's counts: the write may remove only counts of incarnations without a write
// for QuietMs, and must add all of them to the folded counts.
func checkFold(before record.View, write *record.Write, timeline string) error {
	var parts []*Use
	var value json.RawMessage
	for _, c := range write.Changes {
		key, bornMs, err := parseUseKey(c.Key)
		if c.Kind != UseKind || err != nil || key != timeline {
			continue
		}
		if bornMs == 0 {
			value = c.Value
			continue
		}
		u, err := readUse(before, c.Key)
		switch {
		case err != nil:
			return err
		case c.Value != nil || u == nil:
			return fmt.Errorf("folding takes away what is there, and %s is not taken away, or not there", c.Key)
		case before.TimeMs() < u.SeenMs+QuietMs:
			return fmt.Errorf("%s has been written since %d, which is not %d ms before the record's time, %d", c.Key, u.SeenMs, QuietMs, before.TimeMs())
		}
		parts = append(parts, u)
	}
	old, err := readUse(before, FoldedKey(timeline))
	switch {
	case err != nil:
		return err
	case len(parts) == 0 || value == nil:
		return fmt.Errorf("what is folded and what is taken away for it belong into one write")
	case old != nil:
		parts = append(parts, old)
	}
	want, err := json.Marshal(Fold(parts))
	if err != nil {
		return err
	}
	if !bytes.Equal(want, value) {
		return fmt.Errorf("the sums are not the same after it")
	}
	return nil
}

// Report returns the write of a process's counts, without base and id.
func Report(process, key string, u Use) (*record.Write, error) {
	raw, err := json.Marshal(u)
	if err != nil {
		return nil, fmt.Errorf("%s %s: %w", UseKind, key, err)
	}
	return &record.Write{By: Cluster + "/" + process, Changes: []record.Change{{Kind: UseKind, Key: key, Value: raw}}}, nil
}
