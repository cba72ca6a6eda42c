package retire

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"burlpass/internal/record"
	"burlpass/internal/rules"
)

// Key is a timeline's key, taken apart.
type Key struct {
	In      rules.Selector
	Version string
}

// String is the key as orders and refusals write it.
func (k Key) String() string { return k.In.String() + "@" + k.Version }

// ParseKey reads NAMESPACE@VERSION.
func ParseKey(s string) (Key, error) {
	at := strings.LastIndexByte(s, '@')
	if at < 0 {
		return Key{}, fmt.Errorf("%.60q is not NAMESPACE@VERSION", s)
	}
	in, err := rules.ParseSelector(s[:at])
	if err != nil {
		return Key{}, err
	}
	k := Key{in, s[at+1:]}
	if !Name(k.Version) {
		return Key{}, fmt.Errorf("version: %.40q must be 1 to %d of a-z 0-9 . _ -", k.Version, nameBytes)
	}
	if k.String() != s {
		return Key{}, fmt.Errorf("%.60q must be written %s", s, k)
	}
	return k, nil
}

// past is the name of what ended incarnations have counted.
const past = "past"

// UseKey is the key of an incarnation's counts of a timeline. bornMs is its number: the record's time at its first write, or
// a little later.
func UseKey(timeline, process string, bornMs int64) string {
	return timeline + "#" + process + "." + strconv.FormatInt(bornMs, 10)
}

// PastKey is the key of what is folded of a timeline.
func PastKey(timeline string) string { return timeline + "#" + past }

// parseUse takes the key of counts apart; born is 0 for what is folded.
func parseUse(s string) (timeline string, born int64, err error) {
	timeline, who, ok := strings.Cut(s, "#")
	if !ok {
		return "", 0, fmt.Errorf("%.60q is not TIMELINE#PROCESS.NUMBER or TIMELINE#%s", s, past)
	}
	if _, err := ParseKey(timeline); err != nil {
		return "", 0, err
	}
	if who == past {
		return timeline, 0, nil
	}
	dot := strings.LastIndexByte(who, '.')
	if dot < 1 || dot > record64 || !printable(who) {
		return "", 0, fmt.Errorf("%.60q is not PROCESS.NUMBER", who)
	}
	born, err = strconv.ParseInt(who[dot+1:], 10, 64)
	if err != nil || born < 1 || strconv.FormatInt(born, 10) != who[dot+1:] {
		return "", 0, fmt.Errorf("%.40q is no number from 1 on", who[dot+1:])
	}
	return timeline, born, nil
}

// record64 is how many bytes a process's name has at most.
const record64 = 64

const nameBytes = 40

// Name tells whether s can name a version, or a caller in its own place. Other callers count as others.
func Name(s string) bool {
	return 0 < len(s) && len(s) <= nameBytes && !strings.ContainsFunc(s, func(r rune) bool {
		return (r < 'a' || 'z' < r) && (r < '0' || '9' < r) && r != '.' && r != '_' && r != '-'
	})
}

func printable(s string) bool {
	for i := range len(s) {
		if c := s[i]; c < ' ' || c > '~' || c == '<' || c == '>' || c == '&' {
			return false
		}
	}
	return true
}

// strict reads JSON that is, but for white space, byte for byte what is written for what it says, and gives that.
func strict(raw []byte, into any) (json.RawMessage, error) {
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.DisallowUnknownFields()
	if err := dec.Decode(into); err != nil {
		return nil, err
	}
	var plain bytes.Buffer
	if err := json.Compact(&plain, raw); err != nil {
		return nil, err
	}
	again, err := json.Marshal(into)
	if err != nil {
		return nil, err
	}
	if got := plain.Bytes(); !bytes.Equal(got, again) {
		at := 0
		for at < len(got) && at < len(again) && got[at] == again[at] {
			at++
		}
		return nil, fmt.Errorf("not in the one form from %.30q on; it would be %.30q", got[at:], again[at:])
	}
	return again, nil
}

// canonical checks a value by itself and gives the one form of it.
func canonical(kind record.Kind, key string, value json.RawMessage) (json.RawMessage, error) {
	switch kind {
	case TimelineKind:
		return canonicalTimeline(key, value)
	case StageKind:
		if _, err := ParseKey(key); err != nil {
			return nil, fmt.Errorf("key: %w", err)
		}
		var s Stage
		raw, err := strict(value, &s)
		if err == nil {
			err = s.check()
		}
		return raw, err
	}
	_, born, err := parseUse(key)
	if err != nil {
		return nil, fmt.Errorf("key: %w", err)
	}
	var u Use
	raw, err := strict(value, &u)
	switch {
	case err != nil:
	case born > 0:
		err = u.check(MaxCallers, maxCount)
	default:
		err = u.check(MaxPast, maxFolded)
	}
	return raw, err
}

// canonicalTimeline checks a timeline and its history.
func canonicalTimeline(key string, value json.RawMessage) (json.RawMessage, error) {
	if _, err := ParseKey(key); err != nil {
		return nil, fmt.Errorf("key: %w", err)
	}
	before, now, err := rules.History(record.Item{Kind: TimelineKind, Key: key, Value: value})
	if err != nil {
		return nil, err
	}
	if now != nil {
		if _, err := readTimeline(now); err != nil {
			return nil, fmt.Errorf("now: %w", err)
		}
	}
	for i, p := range before {
		if string(p.Was) == "null" {
			continue
		}
		if _, err := readTimeline(p.Was); err != nil {
			return nil, fmt.Errorf("past[%d]: %w", i, err)
		}
	}
	var plain bytes.Buffer
	err = json.Compact(&plain, value) // that this is its one form rules.History has seen
	return plain.Bytes(), err
}

func readTimeline(raw json.RawMessage) (*Timeline, error) {
	t := new(Timeline)
	if one, err := strict(raw, t); err != nil {
		return nil, err
	} else if len(one) > maxTimeline {
		return nil, fmt.Errorf("it has %d bytes; there may be %d", len(one), maxTimeline)
	}
	return t, t.check()
}

func (t *Timeline) check() error {
	switch {
	case t.Successor != "" && !Name(t.Successor):
		return fmt.Errorf("successor: %.40q must be 1 to %d of a-z 0-9 . _ -", t.Successor, nameBytes)
	case !link(t.Link):
		return fmt.Errorf("link: %.60q is no URL of up to %d bytes, from / or http on", t.Link, linkBytes)
	case (t.SuccessorLink != "") != (t.Successor != ""):
		return errors.New("successor_link: it is there if there is a successor")
	case t.SuccessorLink != "" && !link(t.SuccessorLink):
		return fmt.Errorf("successor_link: %.60q is no URL of up to %d bytes, from / or http on", t.SuccessorLink, linkBytes)
	case t.RetryS < 1 || t.RetryS > 86_400:
		return fmt.Errorf("retry_s: %d; it must be 1 to 86400", t.RetryS)
	}
	if err := checkSteps(t.Steps); err != nil {
		return err
	}
	end := t.Steps[len(t.Steps)-1].AtMs
	if len(t.Exempt) > maxExempt {
		return fmt.Errorf("exempt: %d of them; there may be %d", len(t.Exempt), maxExempt)
	}
	for i, e := range t.Exempt {
		switch {
		case !Name(e.Caller):
			return fmt.Errorf("exempt[%d].caller: %.40q must be 1 to %d of a-z 0-9 . _ -", i, e.Caller, nameBytes)
		case i > 0 && t.Exempt[i-1].Caller >= e.Caller:
			return fmt.Errorf("exempt[%d].caller: %q is not after the one before", i, e.Caller)
		case e.UntilMs < 1 || e.UntilMs > end:
			return fmt.Errorf("exempt[%d].until_ms: %d; it must be 1 to the last step's time, %d", i, e.UntilMs, end)
		}
	}
	return t.Harm.check()
}

func (h *Harm) check() error {
	switch {
	case min(h.Worth, h.Lost, h.LostShed, h.Failed, h.FailedCalls) < 0 || max(h.Worth, h.Lost, h.LostShed, h.FailedCalls) > maxCount:
		return fmt.Errorf("harm: its numbers must be 0 to %d", maxCount)
	case h.Failed > 1000:
		return fmt.Errorf("harm.failed: %d; it must be 0 to 1000", h.Failed)
	case (h.Lost > 0) != (h.LostShed > 0):
		return errors.New("harm: lost and lost_shed must be there both or not at all")
	case (h.Failed > 0) != (h.FailedCalls > 0):
		return errors.New("harm: failed and failed_calls must be there both or not at all")
	}
	return nil
}

// mostMs is the last time that a timeline may name, in the year 2286.
const mostMs = int64(9_999_999_999_999)

// checkSteps wants announced, warned, any shed and pause, ended; times and shares that rise; conditions where callers lose something.
func checkSteps(steps []Step) error {
	n := len(steps)
	if n < 3 || n > maxSteps || steps[0].Stage != Announced || steps[1].Stage != Warned || steps[n-1].Stage != Ended {
		return fmt.Errorf("steps: they must be %s, %s, any of %s and %s, and %s at last; %d at most", Announced, Warned, Shed, Pause, Ended, maxSteps)
	}
	share := int64(0)
	for i, s := range steps {
		bites := s.Stage == Shed || s.Stage == Ended
		switch {
		case i > 1 && i < n-1 && s.Stage != Shed && s.Stage != Pause:
			return fmt.Errorf("steps[%d].stage: %.40q is neither %s nor %s", i, s.Stage, Shed, Pause)
		case s.Stage == Pause && steps[i-1].Stage != Shed:
			return fmt.Errorf("steps[%d].stage: a %s must follow a %s", i, Pause, Shed)
		case s.Stage == Shed && (s.Share <= share || s.Share > 1000) || s.Stage != Shed && s.Share != 0:
			return fmt.Errorf("steps[%d].share: %d; only %s has one, more than the one before, to 1000", i, s.Share, Shed)
		case s.AtMs < 1 || s.AtMs > mostMs || i > 0 && s.AtMs < steps[i-1].AtMs:
			return fmt.Errorf("steps[%d].at_ms: %d; it must be 1 to %d, and not before the step before", i, s.AtMs, mostMs)
		case s.AfterMs < 0 || s.AfterMs > mostMs || i == 0 && s.AfterMs != 0:
			return fmt.Errorf("steps[%d].after_ms: %d; it must be 0 to %d, and 0 for the first", i, s.AfterMs, mostMs)
		case bites != (s.Need != nil):
			return fmt.Errorf("steps[%d].need: %s and %s have it, and no other", i, Shed, Ended)
		}
		if w := s.Need; w != nil && (w.Above < 0 || w.Above > 1000 || w.Times < 1 || w.Times > maxCount || w.ForMs < 0 || w.ForMs > mostMs) {
			return fmt.Errorf("steps[%d].need: above must be 0 to 1000, times 1 to %d, for_ms 0 to %d", i, maxCount, mostMs)
		}
		share = max(share, s.Share)
	}
	return nil
}

const linkBytes = 200

// link tells whether s can stand between < and > in a Link line.
func link(s string) bool {
	starts := strings.HasPrefix(s, "/") || strings.HasPrefix(s, "http://") || strings.HasPrefix(s, "https://")
	return starts && len(s) <= linkBytes && printable(s) && !strings.ContainsAny(s, " \"\\^`{|}")
}

func (u *Use) check(callers int, most int64) error {
	if len(u.Callers) > callers {
		return fmt.Errorf("callers: %d of them; there may be %d", len(u.Callers), callers)
	}
	if u.SeenMs < 1 || u.SeenMs > mostMs {
		return fmt.Errorf("seen_ms: %d; it must be 1 to %d", u.SeenMs, mostMs)
	}
	for i, c := range u.Callers {
		if !Name(c.Caller) || i > 0 && u.Callers[i-1].Caller >= c.Caller {
			return fmt.Errorf("callers[%d].caller: %.40q is no name, or not after the one before", i, c.Caller)
		}
		if err := c.check(most); err != nil {
			return fmt.Errorf("callers[%d]: %w", i, err)
		}
	}
	if u.Others.Caller != "" {
		return errors.New("others.caller: it has none")
	}
	if err := u.Others.check(most); err != nil {
		return fmt.Errorf("others: %w", err)
	}
	return nil
}

func (c *Count) check(most int64) error {
	for _, n := range []int64{c.Calls, c.Warned, c.Shed, c.Worth, c.Next, c.Failed} {
		if n < 0 || n > most {
			return fmt.Errorf("a count of %d; it must be 0 to %d", n, most)
		}
	}
	switch {
	case c.Warned+c.Shed > c.Calls:
		return fmt.Errorf("calls: %d, and %d are warned and %d shed", c.Calls, c.Warned, c.Shed)
	case c.Failed > c.Next:
		return fmt.Errorf("failed: %d of %d", c.Failed, c.Next)
	case (c.FirstMs > 0) != (c.Warned > 0) || c.FirstMs < 0 || c.FirstMs > mostMs:
		return fmt.Errorf("first_ms: %d, with %d warned", c.FirstMs, c.Warned)
	}
	return nil
}

func (s *Stage) check() error {
	names := []string{Announced, Warned, Shed, Pause, Ended}
	switch {
	case s.At < 0 || s.At >= maxSteps || !slices.Contains(names, s.Stage):
		return fmt.Errorf("at, stage: %d, %.40q", s.At, s.Stage)
	case s.SinceMs < 1 || s.SinceMs > mostMs:
		return fmt.Errorf("since_ms: %d", s.SinceMs)
	case (s.Cut != "") != (s.Stage == Shed || s.Stage == Pause):
		return fmt.Errorf("cut: %s and %s have one, and no other", Shed, Pause)
	case s.Held != nil && (len(s.Held.Why) > maxWhy || !printable(s.Held.Why)):
		return fmt.Errorf("held.why: it must be up to %d bytes of printable ASCII, without < > &", maxWhy)
	case len(s.Log) > maxLog || len(s.Mark.Callers) > MaxPast:
		return errors.New("log, mark: too long")
	}
	if s.Cut != "" {
		if _, err := parseCut(s.Cut); err != nil {
			return err
		}
	}
	for i, m := range s.Log {
		if len(m.By) > maxBy || !printable(m.By) || len(m.Why) > maxWhy || !printable(m.Why) {
			return fmt.Errorf("log[%d]: by and why must be up to %d and %d bytes of printable ASCII, without < > &", i, maxBy, maxWhy)
		}
	}
	return nil
}
