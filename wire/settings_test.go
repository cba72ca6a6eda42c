package wire

import (
	"strings"
	"testing"
	"time"

	"burlpass/decide"
)

const testSettings = `zone=1
balancers=3
unheard.of=7
ceilings.max_attempts=4
ceilings.may_duplicate=true
classes.count=2
classes.0.aim_us=400000
classes.0.deadline_us=1500000
classes.0.importance=1.0
classes.0.repeat=safe
classes.1.aim_us=300000
classes.1.deadline_us=750000
classes.1.dedup_window_us=1500000
classes.1.group=cell
classes.1.importance=10.0
classes.1.repeat=keyed
report.columns=queue,util
report.via=piggyback
discovery=subscribe
safety.answer_slack_us=20000
safety.drain_grace_us=500000
safety.fall_multiple=4.0
safety.start_capacity=0.31
safety.tip_after_us=1000000
safety.warm_after_us=8500000
tenants.count=1
tenants.0.quota_rps=174.0
tenants.0.share=0.78
weights=rough
`

func TestParseSettings(t *testing.T) {
	c, err := ParseSettings([]byte(testSettings))
	if err != nil {
		t.Fatal(err)
	}
	k := c.Classes[1]
	if c.Zone != 1 || c.Balancers != 3 || !c.Limits.SecondCopies || c.Limits.Cancel || !c.Subscribe ||
		c.Reports != decide.ReportsAnswers || len(c.Columns) != 2 || c.Weights != decide.WeightsRough ||
		c.Tenants[0].Quota != 174 || c.OverShareWorth != 1 ||
		k.Effect != decide.Keyed || k.Group != decide.GroupCell || k.Window != 1500*time.Millisecond ||
		c.Classes[0].LateWorth != 0 || c.Safety.WarmAfter != 8500*time.Millisecond {
		t.Errorf("%+v", c)
	}
}

func TestParseSettingsRejectsInvalid(t *testing.T) {
	tests := []struct{ old, new, want string }{
		{"zone=1\n", "", "setting zone: missing"},
		{"zone=1\n", "zone=\n", "setting zone: empty"},
		{"zone=1\n", "zone=one\n", `setting zone: "one"`},
		{"zone=1\n", "zone=-1\n", "setting zone"},
		{"zone=1\n", "zone=1.5\n", "setting zone: 1.5 is not a whole number"},
		{"classes.1.repeat=keyed\n", "", "setting classes.1.repeat: missing"},
		{"classes.1.repeat=keyed\n", "classes.1.repeat=odd\n", `setting classes.1.repeat: unknown value "odd"`},
		{"classes.count=2\n", "classes.count=4000000000\n", "setting classes.count"},
		{"safety.fall_multiple=4.0\n", "safety.fall_multiple=NaN\n", "setting safety.fall_multiple"},
		{"ceilings.may_duplicate=true\n", "ceilings.may_duplicate=yes\n", "neither true nor false"},
		{"weights=rough\n", "weights=odd\n", `setting weights: unknown value "odd"`},
	}
	for _, tt := range tests {
		_, err := ParseSettings([]byte(strings.Replace(testSettings, tt.old, tt.new, 1)))
		if err == nil || !strings.Contains(err.Error(), tt.want) {
			t.Errorf("%q: error %v, want one with %q", tt.new, err, tt.want)
		}
	}
}
