package reference

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"burlpass/decide"
)

// Round robin takes the listed workers in turn, one attempt each, and says no more than what it was told.
func TestRotation(t *testing.T) {
	p := NewRotation(decide.Config{Subscribe: true}, 1)
	list := func(kind decide.ListKind, servers ...decide.Server) []decide.Action {
		return p.Handle(0, decide.Event{Kind: decide.Members, List: kind, Servers: servers})
	}
	request := func(id uint64) decide.Action {
		t.Helper()
		got := p.Handle(0, decide.Event{Kind: decide.Request, ID: id})
		if len(got) != 1 {
			t.Fatalf("call %d: %v", id, got)
		}
		return got[0]
	}
	up := func(id decide.ServerID) decide.Server { return decide.Server{ID: id, State: decide.Ready} }
	if got := list(decide.ListCached, up(3), up(1), up(2)); len(got) != 1 || got[0].Kind != decide.Watch {
		t.Errorf("after the first list: %v", got)
	}
	if got := list(decide.ListFailed); len(got) != 1 || got[0].Kind != decide.SetTimer || got[0].Wait <= 0 {
		t.Errorf("after a failed watch: %v", got)
	}
	list(decide.ListDelta, decide.Server{ID: 2, State: decide.Draining}, up(4), decide.Server{ID: 9, State: decide.Gone})
	seen := map[decide.ServerID]int{}
	for id := range uint64(6) {
		seen[request(id).Server]++
	}
	if want := map[decide.ServerID]int{1: 2, 3: 2, 4: 2}; !cmp.Equal(seen, want) {
		t.Errorf("six calls over three workers: %v", seen)
	}
	for id, test := range []struct {
		e    decide.Event
		want []decide.ActionKind
	}{
		{decide.Event{Kind: decide.Outcome, Status: decide.OK, Done: true}, nil},
		{decide.Event{Kind: decide.Outcome, Status: decide.Full}, []decide.ActionKind{decide.Refuse}},
		{decide.Event{Kind: decide.Outcome, Status: decide.Reset}, []decide.ActionKind{decide.Fail}},
		{decide.Event{Kind: decide.ClientLeft}, []decide.ActionKind{decide.Cancel}},
	} {
		test.e.ID = uint64(id)
		var got []decide.ActionKind
		for _, a := range p.Handle(0, test.e) {
			got = append(got, a.Kind)
		}
		if !cmp.Equal(got, test.want) {
			t.Errorf("%+v: %v, want %v", test.e, got, test.want)
		}
		if again := p.Handle(0, decide.Event{Kind: decide.Outcome, ID: uint64(id), Status: decide.Reset}); again != nil {
			t.Errorf("call %d was over: %v", id, again)
		}
	}
	list(decide.ListFull)
	if got := request(10); got.Kind != decide.Refuse {
		t.Errorf("with no worker: %v", got)
	}
}
