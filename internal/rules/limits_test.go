package rules

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"burlpass/internal/lease"
)

// The reserve of a limit for processes that are cut off is not available for shares.
func TestReserveCountsAgainstShares(t *testing.T) {
	fixture := newRecordFixture(t)
	root := Rule{Mode: Default, Value: Value{N: ptr(int64(10_000))}, Cut: &lease.Cut{Mode: lease.Reserve, Share: 200, Among: 8}}
	fixture.mustApply("root", RuleKind, "*/*/*#rate#r", root)
	fixture.mustRefuse("the shares of it and its reserve of 200 come to 1100", "book", RuleKind, "*/*/booking#rate#b", shareRule(900))
	part := shareRule(800)
	part.Cut = &lease.Cut{Mode: lease.Open}
	fixture.mustApply("book", RuleKind, "*/*/booking#rate#b", part)
	root.Cut = &lease.Cut{Mode: lease.Reserve, Share: 201, Among: 8}
	fixture.mustRefuse("come to 1001", "root", RuleKind, "*/*/*#rate#r", root)
	want := []lease.Limit{
		{ID: "*/*/*#rate#r", Kind: "rate", Amount: 10_000, Cut: lease.Cut{Mode: "reserve", Share: 200, Among: 8}},
		{ID: "*/*/booking#rate#b", Kind: "rate", Amount: 8_000, Cut: lease.Cut{Mode: "open"}},
	}
	table := Compile(fixture.state(), 1)
	if diff := cmp.Diff(want, table.Limits()); diff != "" {
		t.Error(diff)
	}
	if got := table.Owner("*/*/booking#rate#b"); got != "book" {
		t.Errorf("owner %q, want book", got)
	}
}

func TestCutValidation(t *testing.T) {
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
			t.Errorf("%s: no error, want %q", value, want)
		}
	}
	if _, err := canonicalValue(RuleKind, "*/*/*#worth#r",
		[]byte(`{"now":{"mode":"default","value":1,"cut":{"mode":"open"}}}`)); err == nil {
		t.Error("a cut was accepted for worth")
	}
}
