package maintenance

import (
	"encoding/json"
	"errors"
	"fmt"
)

// Orders are what a sidecar has been told and all of its processes follow. The zero Orders are none, and ready for use.
type Orders struct {
	Disabled Set
	Drained  bool // clients are directed to other sidecars
	Reloads  int  // how often the sidecar was told to read its configuration again
}

// IsZero reports whether no order is in force.
func (o *Orders) IsZero() bool { return o.Equal(&Orders{}) }

// Equal reports whether both are the same orders.
func (o *Orders) Equal(other *Orders) bool {
	return o.Disabled.Equal(&other.Disabled) && o.Drained == other.Drained && o.Reloads == other.Reloads
}

// Clone returns an independent copy.
func (o *Orders) Clone() Orders { return Orders{o.Disabled.Clone(), o.Drained, o.Reloads} }

// fileKind identifies a file of orders, so that another file in the same folder is not read as one.
const fileKind = "burlpass maintenance 1"

type file struct {
	Kind    string   `json:"kind"`
	Workers []string `json:"out"`
	Zones   []string `json:"halls,omitempty"`
	Drained bool     `json:"drained,omitempty"`
	Reloads int      `json:"reloads,omitempty"`
}

// Encode returns the orders in the form in which processes of a sidecar store them for one another.
func (o *Orders) Encode() []byte {
	out := append([]string{}, o.Disabled.WorkerIDs()...)                                // encoded as a list even if empty
	b, _ := json.Marshal(file{fileKind, out, o.Disabled.Zones(), o.Drained, o.Reloads}) // cannot fail: only plain data
	return append(b, '\n')
}

// ErrInvalidFile is returned for bytes that Encode did not write.
var ErrInvalidFile = errors.New("not a maintenance file of burlpass")

// Decode parses what Encode wrote. On error there are no orders.
func Decode(b []byte) (Orders, error) {
	var f file
	if err := json.Unmarshal(b, &f); err != nil {
		return Orders{}, fmt.Errorf("%w: %v", ErrInvalidFile, err)
	}
	if f.Kind != fileKind {
		return Orders{}, fmt.Errorf("%w: kind %.40q", ErrInvalidFile, f.Kind)
	}
	o := Orders{Drained: f.Drained, Reloads: f.Reloads}
	for _, id := range f.Workers {
		o.Disabled.Disable(id)
	}
	for _, name := range f.Zones {
		o.Disabled.DisableZone(name)
	}
	if o.Disabled.workers[""] || o.Disabled.zones[""] {
		return Orders{}, fmt.Errorf("%w: an empty id", ErrInvalidFile)
	}
	return o, nil
}
