// Package orders propagates operators' orders from one process to all members of a cluster. An order is an operator's command to disable or
// enable a worker (a backend) or a zone. It takes effect here at once and is written to the record, the cluster's replicated state, in the
// background until it is known to be committed; what the record holds takes effect here as soon as it arrives.
package orders

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"

	"burlpass/internal/maintenance"
	"burlpass/internal/record"
)

// Target identifies what an order applies to. It is the key of the order's item in the record.
type Target string

// Worker returns the target for the worker with the given registry id.
func Worker(id string) Target { return Target("worker/" + id) }

// Hall returns the target for all workers of a zone.
func Hall(name string) Target { return Target("hall/" + name) }

const orderKind record.Kind = "order"

// pendingOrder is an order given here that this member's copy of the record does not hold yet.
type pendingOrder struct {
	Target    Target         `json:"target"`
	Disabled  bool           `json:"out"` // else enabled
	ID        string         `json:"id"`  // of the write, the same for each attempt
	Base      record.Version `json:"base"`
	committed record.Version // record version that holds the order; 0 while unknown
	rejected  bool           // by the record: the order is in force here only

	superseded bool // another member disabled the target without this order's knowledge, and that holds
}

// applyOrder applies an order to a set.
func applyOrder(s *maintenance.Set, target Target, disabled bool) {
	name, worker := strings.CutPrefix(string(target), "worker/")
	if !worker {
		name, _ = strings.CutPrefix(string(target), "hall/")
	}
	switch {
	case worker && disabled:
		s.Disable(name)
	case worker:
		s.Enable(name)
	case disabled:
		s.DisableZone(name)
	default:
		s.EnableZone(name)
	}
}

// effectiveSet returns what is disabled here: what the record holds, or the set at the start while there is no record, with the pending orders
// applied on top.
func effectiveSet(view record.View, start maintenance.Set, pending []*pendingOrder) maintenance.Set {
	inForce := start.Clone()
	if view != nil {
		inForce = maintenance.Set{}
		view.Each(orderKind, func(i record.Item) bool {
			applyOrder(&inForce, Target(i.Key), true)
			return true
		})
	}
	for _, p := range pending {
		applyOrder(&inForce, p.Target, p.Disabled)
	}
	return inForce
}

// withoutEnded removes the pending orders that the given state of the record includes, and those that are superseded.
func withoutEnded(view record.View, pending []*pendingOrder) []*pendingOrder {
	return slices.DeleteFunc(pending, func(p *pendingOrder) bool {
		return p.superseded || view != nil && p.committed != 0 && p.committed <= view.Version()
	})
}

// toWrite returns the write that sets or deletes the order's item in the record.
func (p *pendingOrder) toWrite(by string) *record.Write {
	c := record.Change{Kind: orderKind, Key: string(p.Target)}
	if p.Disabled {
		c.Value, _ = json.Marshal(struct { // cannot fail: only strings and a number
			Do      string `json:"do"`
			By      string `json:"by"`
			UntilMs int64  `json:"until_ms"`
		}{"disable", by, 0})
	}
	return &record.Write{ID: p.ID, By: by, Base: p.Base, Changes: []record.Change{c}}
}

// ordersFile is the stored form of the pending orders.
type ordersFile struct {
	Kind    string          `json:"kind"`
	Pending []*pendingOrder `json:"waiting"`
}

const ordersFileKind = "burlpass orders 1"

// errNotOrdersFile reports data that encode has not written.
var errNotOrdersFile = errors.New("not a burlpass orders file")

func encode(pending []*pendingOrder) []byte {
	b, _ := json.Marshal(ordersFile{ordersFileKind, append([]*pendingOrder{}, pending...)}) // cannot fail: only plain data
	return append(b, '\n')
}

func decode(b []byte) ([]*pendingOrder, error) {
	var f ordersFile
	if err := json.Unmarshal(b, &f); err != nil {
		return nil, fmt.Errorf("%w: %v", errNotOrdersFile, err)
	}
	if f.Kind != ordersFileKind || slices.Contains(f.Pending, nil) {
		return nil, fmt.Errorf("%w: kind %.40q", errNotOrdersFile, f.Kind)
	}
	return f.Pending, nil
}
