// Package maintenance holds which workers the operators have taken out of use, and what that makes of what the
// registry says of them. It does no I/O: the caller stores Encode's bytes and hands Decode what it read.
package maintenance

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	"burlpass/decide"
)

// Set is the workers taken out by hand, by the registry's id. The zero Set is empty and ready for use.
type Set struct {
	out map[string]bool
}

// Disable takes a worker out. It tells whether that changed anything.
func (s *Set) Disable(id string) bool {
	if s.out[id] {
		return false
	}
	if s.out == nil {
		s.out = map[string]bool{}
	}
	s.out[id] = true
	return true
}

// Enable puts a worker back. It tells whether that changed anything.
func (s *Set) Enable(id string) bool {
	if !s.out[id] {
		return false
	}
	delete(s.out, id)
	return true
}

// Out tells whether a worker is taken out.
func (s *Set) Out(id string) bool { return s.out[id] }

// Len is the number of workers taken out.
func (s *Set) Len() int { return len(s.out) }

// IDs are the workers taken out, in order.
func (s *Set) IDs() []string {
	ids := make([]string, 0, len(s.out))
	for id := range s.out {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// State is what the module is to be told of a worker that the registry lists as listed: a worker taken out drains,
// whatever the registry says, until it is put back; one that is gone is gone.
func (s *Set) State(id string, listed decide.State) decide.State {
	if listed != decide.Gone && s.out[id] {
		return decide.Draining
	}
	return listed
}

// kind marks the file as this one's, so that a file of something else in the same folder is not taken for it.
const kind = "burlpass maintenance 1"

type file struct {
	Kind string   `json:"kind"`
	Out  []string `json:"out"`
}

// Encode gives the set as bytes to be kept across a restart.
func (s *Set) Encode() []byte {
	b, _ := json.Marshal(file{Kind: kind, Out: s.IDs()}) // of strings alone: it cannot fail
	return append(b, '\n')
}

// ErrForeign says that the bytes are not a set that Encode wrote.
var ErrForeign = errors.New("not a maintenance file of burlpass")

// Decode reads what Encode wrote. On an error the set is empty.
func Decode(b []byte) (Set, error) {
	var f file
	if err := json.Unmarshal(b, &f); err != nil {
		return Set{}, fmt.Errorf("%w: %v", ErrForeign, err)
	}
	if f.Kind != kind {
		return Set{}, fmt.Errorf("%w: kind %.40q", ErrForeign, f.Kind)
	}
	var s Set
	for _, id := range f.Out {
		if id == "" {
			return Set{}, fmt.Errorf("%w: an empty id", ErrForeign)
		}
		s.Disable(id)
	}
	return s, nil
}
