package record

import (
	"cmp"
	"fmt"
	"slices"
)

// maxReadings is the maximum number of readings in a clock entry.
const maxReadings = 15

// applyClock advances the record's time to the lower median of the readings and removes the items that have expired by
// then. The outcome is Applied for valid readings, even if they do not advance the time.
func (m *Machine) applyClock(c *Clock) Result {
	if err := c.validate(); err != nil {
		return Result{Outcome: Invalid, Reason: sanitizeReason(err.Error())}
	}
	readings := slices.SortedFunc(slices.Values(c.Readings), func(a, b Reading) int { return cmp.Compare(a.Ms, b.Ms) })
	if median := readings[(len(readings)-1)/2].Ms; median > m.time {
		m.time = median
		for _, item := range m.items.endingBy(median) {
			m.items.put(&storedItem{Item: Item{Kind: item.Kind, Key: item.Key, Version: m.version}})
		}
		m.pruneTombstones()
	}
	return Result{Outcome: Applied}
}

// validate requires readings from a majority of the voters, with at most one reading from each.
func (c *Clock) validate() error {
	count := len(c.Readings)
	switch {
	case c.Voters < 1:
		return fmt.Errorf("clock.voters: %d", c.Voters)
	case count > maxReadings || count > c.Voters:
		return fmt.Errorf("clock.readings: %d of them, of %d voters; there may be %d", count, c.Voters, min(maxReadings, c.Voters))
	case count <= c.Voters/2:
		return fmt.Errorf("clock.readings: %d are no majority of %d voters", count, c.Voters)
	}
	for i, reading := range c.Readings {
		for _, other := range c.Readings[:i] {
			if other.Voter == reading.Voter {
				return fmt.Errorf("clock.readings[%d].voter: %.40q is there twice", i, reading.Voter)
			}
		}
	}
	return nil
}
