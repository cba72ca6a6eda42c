package maintenance

import (
	"errors"
	"testing"

	"burlpass/decide"
	"github.com/google/go-cmp/cmp"
)

func TestState(t *testing.T) {
	var s Set
	if !s.Disable("a") || s.Disable("a") {
		t.Fatal("a second Disable must change nothing")
	}
	for _, c := range []struct {
		id           string
		listed, want decide.State
	}{
		{"a", decide.Ready, decide.Draining},
		{"a", decide.Draining, decide.Draining},
		{"a", decide.Gone, decide.Gone},
		{"b", decide.Ready, decide.Ready},
	} {
		if got := s.State(c.id, c.listed); got != c.want {
			t.Errorf("%s listed %d: %d, want %d", c.id, c.listed, got, c.want)
		}
	}
	if !s.Enable("a") || s.Enable("a") || s.State("a", decide.Ready) != decide.Ready {
		t.Fatal("Enable puts a worker back once")
	}
}

func TestEncodeDecode(t *testing.T) {
	var s Set
	s.Disable("s-2")
	s.Disable("s-1")
	back, err := Decode(s.Encode())
	if err != nil {
		t.Fatal(err)
	}
	if d := cmp.Diff([]string{"s-1", "s-2"}, back.IDs()); d != "" {
		t.Error(d)
	}
	for name, text := range map[string]string{
		"cut short": string(s.Encode()[:10]),
		"foreign":   `{"kind":"something else","out":["s-1"]}`,
		"empty id":  `{"kind":"burlpass maintenance 1","out":[""]}`,
	} {
		got, err := Decode([]byte(text))
		if !errors.Is(err, ErrForeign) || got.Len() != 0 {
			t.Errorf("%s: %v, %d out", name, err, got.Len())
		}
	}
}
