package wire

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"burlpass/decide"
)

const (
	maxItems         = 256       // classes or tenants; a class index is one byte on the wire
	maxSettingMicros = 1 << 40   // a longer duration is treated as corrupt
	maxAttempts      = 1<<16 - 1 // attempt numbers are two bytes
)

// settings holds the parsed path=value lines of a launch and the errors found while reading them.
type settings struct {
	values map[string]string
	errors []SettingError
}

// SettingError is an invalid or missing setting.
type SettingError struct {
	Key  string // dotted path
	Text string
}

// Error implements error.
func (e SettingError) Error() string { return "setting " + e.Key + ": " + e.Text }

// ParseSettings reads the settings of a launch. Unknown keys are ignored and absent optional ones take the default
// of the protocol. If required settings are missing or values are invalid, it returns the first such error;
// CheckSettings returns all of them.
func ParseSettings(text []byte) (decide.Config, error) {
	c, errs := CheckSettings(text)
	if len(errs) > 0 {
		return c, errs[0]
	}
	return c, nil
}

// CheckSettings reads the settings of a launch as ParseSettings does and returns every error.
func CheckSettings(text []byte) (decide.Config, []SettingError) {
	s := &settings{values: map[string]string{}}
	for _, line := range strings.Split(string(text), "\n") {
		if key, value, ok := strings.Cut(strings.TrimSuffix(line, "\r"), "="); ok {
			s.values[strings.TrimSpace(key)] = strings.TrimSpace(value)
		}
	}
	c := decide.Config{
		Zone:           int(s.integer("zone", requiredSetting, 1<<16)),
		Ordinal:        int(s.integer("ordinal", 0, 1<<32)),
		Balancers:      int(s.integer("balancers", 1, 1<<32)),
		Tick:           s.micros("period_us", 0),
		OverShareWorth: s.number("over_share_worth", 1),
		WorthByWork:    s.choice("worth_by", "request", "request", "work") == 1,
		Weights: decide.Weights(s.choice("weights", "silent",
			"silent", "nominal", "rough", "live")),
		Subscribe:          s.choice("discovery", "automatic", "automatic", "subscribe") == 1,
		Reports:            decide.Reports(s.choice("report.via", "silent", "silent", "piggyback", "pull")),
		ClientsMarkRetries: s.flag("clients.marks_retry"),
		Safety: decide.Safety{
			AnswerSlack:    s.micros("safety.answer_slack_us", requiredSetting),
			AskWithin:      s.micros("safety.ask_within_us", 0),
			DrainGrace:     s.micros("safety.drain_grace_us", requiredSetting),
			FallMultiple:   s.number("safety.fall_multiple", requiredSetting),
			OverloadWindow: s.micros("safety.tip_after_us", requiredSetting),
			StartShare:     s.number("safety.start_capacity", requiredSetting),
			WarmAfter:      s.micros("safety.warm_after_us", requiredSetting),
		},
		Limits: decide.Limits{
			Cancel:        s.flag("ceilings.cancelling"),
			Probe:         s.flag("ceilings.probing"),
			PeerMessages:  s.flag("ceilings.may_tell"),
			SecondCopies:  s.flag("ceilings.may_duplicate"),
			RetryAfter:    s.flag("ceilings.retry_after"),
			MaxAttempts:   int(s.integer("ceilings.max_attempts", requiredSetting, maxAttempts)),
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
	if columns := s.values["report.columns"]; columns != "" {
		c.Columns = strings.Split(columns, ",")
	}
	for i := range int(s.integer("classes.count", requiredSetting, maxItems)) {
		prefix := fmt.Sprintf("classes.%d.", i)
		class := decide.Class{
			Aim:        s.micros(prefix+"aim_us", requiredSetting),
			AimStretch: s.number(prefix+"aim_stretch", 0),
			Deadline:   s.micros(prefix+"deadline_us", requiredSetting),
			Worth:      s.number(prefix+"importance", requiredSetting),
			LateWorth:  s.number(prefix+"late_worth", 0),
			Effect:     decide.Effect(s.choice(prefix+"repeat", "", "safe", "keyed", "unsafe")),
			Group:      decide.Group(s.choice(prefix+"group", "all", "all", "zone", "cell")),
			Window:     s.micros(prefix+"dedup_window_us", 0),
			Stream:     s.flag(prefix + "stream"),
		}
		c.Classes = append(c.Classes, class)
	}
	for i := range int(s.integer("tenants.count", 0, maxItems)) {
		prefix := fmt.Sprintf("tenants.%d.", i)
		c.Tenants = append(c.Tenants, decide.Tenant{
			Share: s.number(prefix+"share", 0),
			Quota: s.number(prefix+"quota_rps", 0),
		})
	}
	return c, s.errors
}

// requiredSetting as the default of a setting marks it as required.
const requiredSetting = -1

// addError records an error of a setting, unless the previous error has the same key.
func (s *settings) addError(key, format string, args ...any) {
	if len(s.errors) == 0 || s.errors[len(s.errors)-1].Key != key { // report only the first error of each key
		s.errors = append(s.errors, SettingError{key, fmt.Sprintf(format, args...)})
	}
}

// lookup returns the value of a setting and whether it is present and not empty.
func (s *settings) lookup(key string, required bool) (string, bool) {
	value, ok := s.values[key]
	if !ok && required {
		s.addError(key, "missing")
	}
	return value, ok && value != ""
}

func (s *settings) number(key string, defaultValue float64) float64 {
	value, ok := s.lookup(key, defaultValue == requiredSetting)
	if !ok {
		if _, empty := s.values[key]; empty && defaultValue == requiredSetting {
			s.addError(key, "empty")
		}
		return max(defaultValue, 0)
	}
	f, err := strconv.ParseFloat(value, 64)
	if err != nil || !(f >= 0 && f < maxSettingMicros*1e6) {
		s.addError(key, "%q is not a number in the expected range", value)
		return max(defaultValue, 0)
	}
	return f
}

func (s *settings) integer(key string, defaultValue, maxValue float64) int64 {
	f := s.number(key, defaultValue)
	if f != float64(int64(f)) || f > maxValue {
		s.addError(key, "%v is not a whole number up to %v", f, maxValue)
		return 0
	}
	return int64(f)
}

func (s *settings) micros(key string, defaultValue float64) time.Duration {
	return time.Duration(s.integer(key, defaultValue, maxSettingMicros)) * time.Microsecond
}

func (s *settings) flag(key string) bool {
	value, ok := s.lookup(key, false)
	if ok && value != "true" && value != "false" {
		s.addError(key, "%q is neither true nor false", value)
	}
	return value == "true"
}

// choice returns the index of a setting's value in choices. A setting that is not present takes defaultValue; an
// empty defaultValue makes the setting required.
func (s *settings) choice(key, defaultValue string, choices ...string) int {
	value, ok := s.lookup(key, defaultValue == "")
	if !ok {
		value = defaultValue
	}
	for i, choice := range choices {
		if value == choice {
			return i
		}
	}
	s.addError(key, "unknown value %q", value)
	return 0
}
