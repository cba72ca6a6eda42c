package routing

import (
	"context"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"burlpass/decide"
	"burlpass/internal/logging"
	"burlpass/internal/protocol"
	"burlpass/internal/transport"
)

// Guards against a process that has come up at the address of one that has gone and is still listed, and that gets what is meant
// for the earlier one, or the work of both.
func TestSuccessorAtSameAddress(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel() // so that no watch starts
	at := func(id string, lifecycle protocol.Lifecycle, started int64) protocol.Instance {
		return protocol.Instance{ID: id, Addr: "h:1", Lifecycle: lifecycle, StartedMs: started}
	}
	const up, draining, removed = protocol.LifecycleUp, protocol.LifecycleDraining, protocol.LifecycleRemoved
	for name, test := range map[string]struct {
		changes  []protocol.Instance // each a list of its own
		disabled string
		want     string // the workers that may be chosen
	}{
		"alone":                    {want: "a"},
		"a successor":              {changes: []protocol.Instance{at("b", up, 9)}, want: "b"},
		"the same start":           {changes: []protocol.Instance{at("b", up, 5)}, want: "a b"},
		"listed late":              {changes: []protocol.Instance{at("b", up, 3)}, want: "a"},
		"a draining successor":     {changes: []protocol.Instance{at("b", draining, 9)}, want: ""},
		"a disabled successor":     {changes: []protocol.Instance{at("b", up, 9)}, disabled: "b", want: ""},
		"the successor has gone":   {changes: []protocol.Instance{at("b", up, 9), at("b", removed, 0)}, want: "a"},
		"the earlier one has gone": {changes: []protocol.Instance{at("b", up, 9), at("a", removed, 0)}, want: "b"},
		"started again":            {changes: []protocol.Instance{at("b", up, 9), at("a", up, 12)}, want: "a"},
	} {
		t.Run(name, func(t *testing.T) {
			r := New(ctx, Config{Decide: decide.Config{Classes: []decide.Class{{Aim: time.Second}}}, Network: transport.System{},
				Workers: &protocol.Workers{Pool: transport.NewPool(transport.System{}, transport.NewBudget(1), time.Second, 0)},
				Log:     logging.Discard()}, &protocol.List{Generation: 1, Reset: true, Instances: []protocol.Instance{at("a", up, 5)}})
			for i, change := range test.changes {
				r.applyList(r.registrySource, &protocol.List{Generation: uint64(i + 2), Instances: []protocol.Instance{change}}, decide.ListDelta)
			}
			if test.disabled != "" {
				set := r.Out.Clone()
				set.Disable(test.disabled)
				r.SetMaintenance(set)
			}
			var chosen []string
			for _, id := range slices.Sorted(maps.Keys(r.workers)) {
				w := r.workers[id]
				if w.state == decide.Ready {
					chosen = append(chosen, w.instanceID)
				}
			}
			if got := strings.Join(chosen, " "); got != test.want || r.upWorkers != len(chosen) {
				t.Errorf("%q may be chosen, %d are counted; want %q", got, r.upWorkers, test.want)
			}
		})
	}
}
