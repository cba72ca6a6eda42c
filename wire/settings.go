package wire

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"burlpass/decide"
)

const (
	maxItems    = 256       // classes or tenants; a class number is one byte on the wire
	maxSetting  = 1 << 40   // microseconds; a longer duration is held to be garbage
	maxAttempts = 1<<16 - 1 // attempt numbers are two bytes
)

// settings is the path=value text of a launch, with the problems met.
type settings struct {
	values map[string]string
	faults []SettingError
}

// SettingError is what is wrong with one setting.
type SettingError struct {
	Key  string // dotted path
	Text string
}

// Error implements error.
func (e SettingError) Error() string { return "setting " + e.Key + ": " + e.Text }

// ParseSettings reads the settings of a launch. Keys that it does not know are skipped; an absent optional
// one takes the meaning that the wire page gives it; a required one that is missing or does not parse is
// reported by its name: the first one here, all of them by CheckSettings.
func ParseSettings(text []byte) (decide.Config, error) {
	c, faults := CheckSettings(text)
	if len(faults) > 0 {
		return c, faults[0]
	}
	return c, nil
}

// CheckSettings reads the settings of a launch as ParseSettings does and returns every fault.
func CheckSettings(text []byte) (decide.Config, []SettingError) {
	s := &settings{values: map[string]string{}}
	for _, line := range strings.Split(string(text), "\n") {
		if key, value, ok := strings.Cut(strings.TrimSuffix(line, "\r"), "="); ok {
			s.values[strings.TrimSpace(key)] = strings.TrimSpace(value)
		}
	}
	c := decide.Config{
		Zone:           int(s.integer("zone", need, 1<<16)),
		Ordinal:        int(s.integer("ordinal", 0, 1<<32)),
		Balancers:      int(s.integer("balancers", 1, 1<<32)),
		Tick:           s.micros("period_us", 0),
		OverShareWorth: s.number("over_share_worth", 1),
		WorthByWork:    s.choice("worth_by", "request", "request", "work") == 1,
		Weights: decide.Weights(s.choice("weights", "silent",
			"silent", "nominal", "rough", "live")),
		Subscribe:  s.choice("discovery", "automatic", "automatic", "subscribe") == 1,
		Reports:    decide.Reports(s.choice("report.via", "silent", "silent", "piggyback", "pull")),
		MarksRetry: s.flag("clients.marks_retry"),
		Safety: decide.Safety{
			AnswerSlack:  s.micros("safety.answer_slack_us", need),
			AskWithin:    s.micros("safety.ask_within_us", 0),
			DrainGrace:   s.micros("safety.drain_grace_us", need),
			FallMultiple: s.number("safety.fall_multiple", need),
			TipAfter:     s.micros("safety.tip_after_us", need),
			StartShare:   s.number("safety.start_capacity", need),
			WarmAfter:    s.micros("safety.warm_after_us", need),
		},
		Limits: decide.Limits{
			Cancel:        s.flag("ceilings.cancelling"),
			Probe:         s.flag("ceilings.probing"),
			Tell:          s.flag("ceilings.may_tell"),
			SecondCopies:  s.flag("ceilings.may_duplicate"),
			RetryAfter:    s.flag("ceilings.retry_after"),
			MaxAttempts:   int(s.integer("ceilings.max_attempts", need, maxAttempts)),
			MaxRetryAfter: s.micros("ceilings.max_retry_after_us", 0),
		},
		Prices: decide.Prices{
			CrossZone:  s.number("prices.cross_zone", 0),
			Waste:      s.number("prices.waste", 0),
			Probe:      s.number("prices.probe", 0),
			LateFail:   s.number("prices.late_fail", 0),
			Handshake:  s.number("prices.handshake", 0),
			Connection: s.number("prices.connection", 0),
		},
		IdleClose:   s.micros("ceilings.idle_close_us", 0),
		ConnectTime: s.micros("ceilings.connect_timeout_us", 0),
		ConnStreams: int(s.integer("ceilings.streams_per_conn", 1, 1<<32)),
	}
	if v := s.values["report.columns"]; v != "" {
		c.Columns = strings.Split(v, ",")
	}
	for i := range int(s.integer("classes.count", need, maxItems)) {
		at := fmt.Sprintf("classes.%d.", i)
		class := decide.Class{
			Aim:        s.micros(at+"aim_us", need),
			AimStretch: s.number(at+"aim_stretch", 0),
			Deadline:   s.micros(at+"deadline_us", need),
			Worth:      s.number(at+"importance", need),
			LateWorth:  s.number(at+"late_worth", 0),
			Effect:     decide.Effect(s.choice(at+"repeat", "", "safe", "keyed", "unsafe")),
			Group:      decide.Group(s.choice(at+"group", "all", "all", "zone", "cell")),
			Window:     s.micros(at+"dedup_window_us", 0),
			Stream:     s.flag(at + "stream"),
		}
		c.Classes = append(c.Classes, class)
	}
	for i := range int(s.integer("tenants.count", 0, maxItems)) {
		at := fmt.Sprintf("tenants.%d.", i)
		c.Tenants = append(c.Tenants, decide.Tenant{
			Share: s.number(at+"share", 0),
			Quota: s.number(at+"quota_rps", 0),
		})
	}
	return c, s.faults
}

// need as a default marks a setting that must be there.
const need = -1

func (s *settings) fail(key, format string, args ...any) {
	if len(s.faults) == 0 || s.faults[len(s.faults)-1].Key != key { // the first of one key says it best
		s.faults = append(s.faults, SettingError{key, fmt.Sprintf(format, args...)})
	}
}

func (s *settings) text(key string, required bool) (string, bool) {
	v, ok := s.values[key]
	if !ok && required {
		s.fail(key, "missing")
	}
	return v, ok && v != ""
}

func (s *settings) number(key string, absent float64) float64 {
	v, ok := s.text(key, absent == need)
	if !ok {
		if _, empty := s.values[key]; empty && absent == need {
			s.fail(key, "empty")
		}
		return max(absent, 0)
	}
	f, err := strconv.ParseFloat(v, 64)
	if err != nil || !(f >= 0 && f < maxSetting*1e6) {
		s.fail(key, "%q is not a number of the expected range", v)
		return max(absent, 0)
	}
	return f
}

func (s *settings) integer(key string, absent, most float64) int64 {
	f := s.number(key, absent)
	if f != float64(int64(f)) || f > most {
		s.fail(key, "%v is not a whole number up to %v", f, most)
		return 0
	}
	return int64(f)
}

func (s *settings) micros(key string, absent float64) time.Duration {
	return time.Duration(s.integer(key, absent, maxSetting)) * time.Microsecond
}

func (s *settings) flag(key string) bool {
	v, ok := s.text(key, false)
	if ok && v != "true" && v != "false" {
		s.fail(key, "%q is neither true nor false", v)
	}
	return v == "true"
}

// choice returns the position of the value among words; an absent one counts as absent, which is required
// where that is empty.
func (s *settings) choice(key, absent string, words ...string) int {
	v, ok := s.text(key, absent == "")
	if !ok {
		v = absent
	}
	for i, w := range words {
		if v == w {
			return i
		}
	}
	s.fail(key, "unknown value %q", v)
	return 0
}
