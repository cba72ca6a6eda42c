package maintenance

import (
	"errors"
	"testing"

	"burlpass/decide"
	"github.com/google/go-cmp/cmp"
)

func TestDisableEnable(t *testing.T) {
	var s Set
	if !s.Disable("a") || s.Disable("a") {
		t.Fatal("a second Disable must not change the set")
	}
	if !s.DisableZone("x") || s.DisableZone("x") {
		t.Fatal("a second DisableZone must not change the set")
	}
	for _, c := range []struct {
		id, zone     string
		listed, want decide.State
	}{
		{"a", "y", decide.Ready, decide.Draining},
		{"a", "y", decide.Draining, decide.Draining},
		{"a", "x", decide.Gone, decide.Gone},
		{"b", "x", decide.Ready, decide.Draining},
		{"b", "y", decide.Ready, decide.Ready},
	} {
		if got := s.State(c.id, c.zone, c.listed); got != c.want {
			t.Errorf("%s in %s listed %d: %d, want %d", c.id, c.zone, c.listed, got, c.want)
		}
	}
	if !s.EnableZone("x") || s.State("a", "x", decide.Ready) != decide.Draining {
		t.Fatal("a worker disabled by ID must stay disabled when its zone is enabled")
	}
	if !s.Enable("a") || s.Enable("a") || s.State("a", "x", decide.Ready) != decide.Ready {
		t.Fatal("Enable must change the set once and restore the listed state")
	}
}

func TestEncodeDecode(t *testing.T) {
	orders := Orders{Drained: true, Reloads: 3}
	s := &orders.Disabled
	s.Disable("s-2")
	s.Disable("s-1")
	s.DisableZone("hall-a")
	decoded, err := Decode(orders.Encode())
	if err != nil {
		t.Fatal(err)
	}
	if d := cmp.Diff([]string{"s-1", "s-2", "hall-a"}, append(decoded.Disabled.WorkerIDs(), decoded.Disabled.Zones()...)); d != "" {
		t.Error(d)
	}
	if !decoded.Equal(&orders) {
		t.Error("the decoded orders differ")
	}
	for name, text := range map[string]string{
		"truncated":  string(orders.Encode()[:10]),
		"other kind": `{"kind":"something else","out":["s-1"]}`,
		"empty id":   `{"kind":"burlpass maintenance 1","out":[""]}`,
	} {
		got, err := Decode([]byte(text))
		if !errors.Is(err, ErrInvalidFile) || !got.IsZero() {
			t.Errorf("%s: error %v, orders %s", name, err, got.Encode())
		}
	}
}
