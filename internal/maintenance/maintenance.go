// Package maintenance records which workers operators have taken out of use and applies that to the state that the
// registry reports. It does no I/O: the caller stores what Orders.Encode returns and passes what it reads to Decode.
package maintenance

import (
	"maps"
	"slices"

	"burlpass/decide"
)

// Set holds the workers disabled by operators, by registry ID, and the zones whose workers are all disabled. The zero
// Set is empty and ready for use.
type Set struct {
	workers, zones map[string]bool
}

// Disable disables a worker and reports whether that changed the set.
func (s *Set) Disable(id string) bool { return add(&s.workers, id) }

// Enable enables a worker and reports whether that changed the set.
func (s *Set) Enable(id string) bool { return remove(s.workers, id) }

// DisableZone disables all workers of a zone and reports whether that changed the set.
func (s *Set) DisableZone(name string) bool { return add(&s.zones, name) }

// EnableZone enables a zone and reports whether that changed the set. Workers disabled by ID stay disabled.
func (s *Set) EnableZone(name string) bool { return remove(s.zones, name) }

func add(to *map[string]bool, name string) bool {
	if (*to)[name] {
		return false
	}
	if *to == nil {
		*to = map[string]bool{}
	}
	(*to)[name] = true
	return true
}

func remove(from map[string]bool, name string) bool {
	if !from[name] {
		return false
	}
	delete(from, name)
	return true
}

// Out reports whether a worker is disabled by ID.
func (s *Set) Out(id string) bool { return s.workers[id] }

// Equal reports whether both sets hold the same workers and zones.
func (s *Set) Equal(other *Set) bool {
	return maps.Equal(s.workers, other.workers) && maps.Equal(s.zones, other.zones)
}

// WorkerIDs returns the IDs of the disabled workers, sorted.
func (s *Set) WorkerIDs() []string { return sorted(s.workers) }

// Zones returns the names of the disabled zones, sorted.
func (s *Set) Zones() []string { return sorted(s.zones) }

func sorted(set map[string]bool) []string { return slices.Sorted(maps.Keys(set)) }

// Clone returns an independent copy of the set.
func (s *Set) Clone() Set { return Set{maps.Clone(s.workers), maps.Clone(s.zones)} }

// State returns the state to use for a worker in a zone that the registry reports as listed. A disabled worker, or one
// in a disabled zone, is draining whatever the registry says, unless it is gone.
func (s *Set) State(id, zone string, listed decide.State) decide.State {
	if listed != decide.Gone && (s.workers[id] || s.zones[zone]) {
		return decide.Draining
	}
	return listed
}
