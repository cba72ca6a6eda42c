package leases

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

const s = 1_000_000 // a second in us

func TestCheck(t *testing.T) {
	of := func(holder string, amount, from, until int64) Lease { return Lease{"l", holder, amount, from, until} }
	whole := []Setting{{"l", 100, 0, s / 10}}
	lowered := append(whole, Setting{"l", 40, 10 * s, 10*s + s/10})
	for name, c := range map[string]struct {
		leases   []Lease
		settings []Setting
		want     []int64 // the moments at which there is too much
	}{
		"divided":                {[]Lease{of("a", 60, s, 4*s), of("b", 40, s, 4*s)}, whole, nil},
		"too much":               {[]Lease{of("a", 60, s, 4*s), of("b", 41, 2*s, 4*s)}, whole, []int64{2 * s}},
		"one after the other":    {[]Lease{of("a", 100, s, 4*s), of("b", 100, 4*s, 7*s)}, whole, nil},
		"used after its end":     {[]Lease{of("a", 100, s, 4*s+1), of("b", 100, 4*s, 7*s)}, whole, []int64{4 * s}},
		"renewed":                {[]Lease{of("a", 100, s, 4*s), of("a", 100, 2*s, 5*s), of("b", 1, 4*s, 7*s)}, whole, []int64{4 * s}},
		"given up":               {[]Lease{of("a", 100, s, 4*s), of("a", 10, 2*s, 4*s), of("b", 90, 2*s, 5*s)}, whole, nil},
		"returned at the end":    {[]Lease{of("a", 100, s, 4*s), of("a", 0, 2*s, 4*s), of("b", 100, 2*s, 5*s)}, whole, nil},
		"returned too late":      {[]Lease{of("a", 100, s, 4*s), of("a", 0, 2*s+1, 4*s), of("b", 100, 2*s, 5*s)}, whole, []int64{2 * s}},
		"started again":          {[]Lease{of("a/1", 100, s, 4*s), of("a/2", 100, 3*s, 6*s)}, whole, []int64{3 * s}},
		"told after its end":     {[]Lease{of("a", 60, s, 4*s), of("a", 50, 5*s, 4*s), of("b", 100, 5*s, 7*s)}, whole, nil},
		"never set":              {[]Lease{of("a", 1, s, 2*s)}, nil, []int64{s}},
		"lowered while out":      {[]Lease{of("a", 100, 9*s, 13*s), of("a", 40, 13*s, 16*s)}, lowered, nil},
		"lowered and still used": {[]Lease{of("a", 100, 9*s, 14*s)}, lowered, []int64{10*s + s/10 + Late.Microseconds() + 1}},
		"raised before":          {[]Lease{of("a", 41, 5*s, 8*s)}, []Setting{{"l", 40, 0, 1}, {"l", 100, 6 * s, 7 * s}}, []int64{5 * s}},
	} {
		var got []int64
		for _, o := range Check(c.leases, c.settings) {
			got = append(got, o.At)
		}
		if diff := cmp.Diff(c.want, got); diff != "" {
			t.Errorf("%s: %s", name, diff)
		}
	}
}

func TestWithout(t *testing.T) {
	all := []Lease{{"l", "a/1", 5, 10, 20}, {"l", "a/1", 0, 30, 40}, {"l", "a/1", 5, 50, 60}, {"l", "a/2", 5, 100, 110}}
	starts := []Start{{"a", 0}, {"a", 80}}
	for name, c := range map[string]struct {
		began, ended int64
		without      bool
	}{
		"before it knows":          {1, 9, false},
		"under a lease":            {12, 15, false},
		"the lease ends meanwhile": {15, 25, false},
		"after the end":            {22, 29, true},
		"the next comes meanwhile": {25, 51, false},
		"a lease of nothing":       {31, 35, true},
		"after the second":         {62, 70, true},
		"started, knows nothing":   {85, 95, false},
		"started, after its lease": {112, 120, true},
		"long, over times without": {22, 200, false},
	} {
		got := Without("l", append(all, Lease{"l", "b/1", 5, 0, 300}, Lease{"k", "a/1", 5, 0, 300}), []Call{{"a", "", c.began, c.ended}}, starts)
		if (len(got) == 1) != c.without {
			t.Errorf("%s: %v", name, got)
		}
	}
}

func TestParse(t *testing.T) {
	line := `time=2025-12-02T03:00:00Z level=DEBUG event=lease limit="*/*/a#rate#all" holder=v1/3x amount=1500 from=7 until=9`
	got, ok := Parse(line)
	if want := (Lease{"*/*/a#rate#all", "v1/3x", 1500, 7, 9}); !ok || got != want {
		t.Error(got, ok)
	}
	for _, line := range []string{"event=lease_ended limit=a holder=b at=3", "event=lease limit=a holder=b amount=1 from=2", "event=lease limit=a holder=b amount=x from=1 until=2"} {
		if l, ok := Parse(line); ok {
			t.Errorf("%q: %+v", line, l)
		}
	}
}
