package rules

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"burlpass/internal/lease"
)

// What is set aside for processes that are cut off is not there to be shared out.
func TestReserveAndShares(t *testing.T) {
	d := newDesk(t)
	root := Rule{Mode: Default, Value: Value{N: ptr(int64(10_000))}, Cut: &lease.Cut{Mode: lease.Reserve, Share: 200, Among: 8}}
	d.ok("root", RuleKind, "*/*/*#rate#r", root)
	d.no("the shares of it and its reserve of 200 come to 1100", "book", RuleKind, "*/*/booking#rate#b", share(900))
	part := share(800)
	part.Cut = &lease.Cut{Mode: lease.Open}
	d.ok("book", RuleKind, "*/*/booking#rate#b", part)
	root.Cut = &lease.Cut{Mode: lease.Reserve, Share: 201, Among: 8}
	d.no("come to 1001", "root", RuleKind, "*/*/*#rate#r", root)
	want := []lease.Limit{
		{ID: "*/*/*#rate#r", Kind: "rate", Amount: 10_000, Cut: lease.Cut{Mode: "reserve", Share: 200, Among: 8}},
		{ID: "*/*/booking#rate#b", Kind: "rate", Amount: 8_000, Cut: lease.Cut{Mode: "open"}},
	}
	table := Compile(d.state(), 1)
	if diff := cmp.Diff(want, table.Limits()); diff != "" {
		t.Error(diff)
	}
	if got := table.Owner("*/*/booking#rate#b"); got != "book" {
		t.Errorf("it is %q's", got)
	}
}

func TestCutFaults(t *testing.T) {
	for value, want := range map[string]string{
		`{"mode":"default","value":1,"cut":{"mode":"open"}}`:                                 "",
		`{"mode":"default","value":1,"cut":{"mode":"reserve","share":1,"among":1}}`:          "",
		`{"mode":"default","value":1,"cut":{"mode":"half"}}`:                                 `cut: mode: "half" is not nothing, reserve or open`,
		`{"mode":"default","value":1,"cut":{"mode":"open","share":1}}`:                       "cut: only reserve has a share and among",
		`{"mode":"default","value":1,"cut":{"mode":"reserve","share":1001,"among":1}}`:       "cut: share must be 1 to 1000",
		`{"mode":"default","value":1,"cut":{"mode":"reserve","share":1}}`:                    "cut: share must be 1 to 1000, among 1 to",
		`{"mode":"default","value":1,"cut":{"among":2,"mode":"reserve","share":1}}`:          "not in the one form",
		`{"mode":"default","value":1,"cut":{"mode":"reserve","share":1,"among":1,"of":"x"}}`: "unknown field",
	} {
		_, err := canonicalValue(RuleKind, "*/*/*#rate#r", []byte(`{"now":`+value+`}`))
		if got := "fine"; err != nil {
			got = err.Error()
			if want == "" || !strings.Contains(got, want) {
				t.Errorf("%s: %s", value, got)
			}
		} else if want != "" {
			t.Errorf("%s: no %q", value, want)
		}
	}
	if _, err := canonicalValue(RuleKind, "*/*/*#worth#r", []byte(`{"now":{"mode":"default","value":1,"cut":{"mode":"open"}}}`)); err == nil {
		t.Error("worth has a cut")
	}
}
