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

// Key is the parsed key of a timeline.
type Key struct {
	In      rules.Selector
	Version string
}

// String returns the key in the form NAMESPACE@VERSION.
func (k Key) String() string { return k.In.String() + "@" + k.Version }

// ParseKey parses NAMESPACE@VERSION. It accepts the canonical form only.
func ParseKey(s string) (Key, error) {
	separator := strings.LastIndexByte(s, '@')
	if separator < 0 {
		return Key{}, fmt.Errorf("%.60q is not NAMESPACE@VERSION", s)
	}
	in, err := rules.ParseSelector(s[:separator])
	if err != nil {
		return Key{}, err
	}
	k := Key{in, s[separator+1:]}
	if !Name(k.Version) {
		return Key{}, fmt.Errorf("version: %.40q must be 1 to %d of a-z 0-9 . _ -", k.Version, maxNameBytes)
	}
	if k.String() != s {
		return Key{}, fmt.Errorf("%.60q must be written %s", s, k)
	}
	return k, nil
}

// foldedName takes the place of the incarnation in the key of folded counts.
const foldedName = "past"

// UseKey returns the key of an incarnation's counts for a timeline. bornMs identifies the incarnation of the process: it is
// the record's time at the first write, or up to UseLeadMs later.
func UseKey(timeline, process string, bornMs int64) string {
	return timeline + "#" + process + "." + strconv.FormatInt(bornMs, 10)
}

// FoldedKey returns the key of the folded counts of a timeline.
func FoldedKey(timeline string) string { return timeline + "#" + foldedName }

// parseUseKey parses the key of counts. bornMs is 0 for folded counts.
func parseUseKey(s string) (timeline string, bornMs int64, err error) {
	timeline, process, ok := strings.Cut(s, "#")
	if !ok {
		return "", 0, fmt.Errorf("%.60q is not TIMELINE#PROCESS.NUMBER or TIMELINE#%s", s, foldedName)
	}
	if _, err := ParseKey(timeline); err != nil {
		return "", 0, err
	}
	if process == foldedName {
		return timeline, 0, nil
	}
	dot := strings.LastIndexByte(process, '.')
	if dot < 1 || dot > maxProcessBytes || !isPrintableASCII(process) {
		return "", 0, fmt.Errorf("%.60q is not PROCESS.NUMBER", process)
	}
	bornMs, err = strconv.ParseInt(process[dot+1:], 10, 64)
	if err != nil || bornMs < 1 || strconv.FormatInt(bornMs, 10) != process[dot+1:] {
		return "", 0, fmt.Errorf("%.40q is no number from 1 on", process[dot+1:])
	}
	return timeline, bornMs, nil
}

// maxProcessBytes is the maximum length of a process's name.
const maxProcessBytes = 64

// maxNameBytes is the maximum length of the name of a version or a caller.
const maxNameBytes = 40

// Name reports whether s is valid as the name of a version, or of a caller with its own count. Callers with other names are
// counted in Use.Others.
func Name(s string) bool {
	return 0 < len(s) && len(s) <= maxNameBytes && !strings.ContainsFunc(s, func(r rune) bool {
		return (r < 'a' || 'z' < r) && (r < '0' || '9' < r) && r != '.' && r != '_' && r != '-'
	})
}

// isPrintableASCII also rejects the characters that encoding/json escapes: < > &.
func isPrintableASCII(s string) bool {
	for i := range len(s) {
		if c := s[i]; c < ' ' || c > '~' || c == '<' || c == '>' || c == '&' {
			return false
		}
	}
	return true
}

// unmarshalCanonical parses JSON that, apart from white space, equals the re-encoded result byte for byte. It returns that
// encoding.
func unmarshalCanonical(raw []byte, target any) (json.RawMessage, error) {
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.DisallowUnknownFields()
	if err := dec.Decode(target); err != nil {
		return nil, err
	}
	var compact bytes.Buffer
	if err := json.Compact(&compact, raw); err != nil {
		return nil, err
	}
	encoded, err := json.Marshal(target)
	if err != nil {
		return nil, err
	}
	if got := compact.Bytes(); !bytes.Equal(got, encoded) {
		offset := 0
		for offset < len(got) && offset < len(encoded) && got[offset] == encoded[offset] {
			offset++
		}
		return nil, fmt.Errorf("not in the one form from %.30q on; it would be %.30q", got[offset:], encoded[offset:])
	}
	return encoded, nil
}

// canonical validates a value on its own and returns its canonical form.
func canonical(kind record.Kind, key string, value json.RawMessage) (json.RawMessage, error) {
	switch kind {
	case TimelineKind:
		return canonicalTimeline(key, value)
	case StageKind:
		if _, err := ParseKey(key); err != nil {
			return nil, fmt.Errorf("key: %w", err)
		}
		var s Stage
		raw, err := unmarshalCanonical(value, &s)
		if err == nil {
			err = s.validate()
		}
		return raw, err
	}
	_, bornMs, err := parseUseKey(key)
	if err != nil {
		return nil, fmt.Errorf("key: %w", err)
	}
	var u Use
	raw, err := unmarshalCanonical(value, &u)
	switch {
	case err != nil:
	case bornMs > 0:
		err = u.validate(MaxCallers, maxCount)
	default:
		err = u.validate(MaxFoldedCallers, maxFoldedCount)
	}
	return raw, err
}

// canonicalTimeline validates a timeline and its history.
func canonicalTimeline(key string, value json.RawMessage) (json.RawMessage, error) {
	if _, err := ParseKey(key); err != nil {
		return nil, fmt.Errorf("key: %w", err)
	}
	past, now, err := rules.History(record.Item{Kind: TimelineKind, Key: key, Value: value})
	if err != nil {
		return nil, err
	}
	if now != nil {
		if _, err := decodeTimeline(now); err != nil {
			return nil, fmt.Errorf("now: %w", err)
		}
	}
	for i, p := range past {
		if string(p.Was) == "null" {
			continue
		}
		if _, err := decodeTimeline(p.Was); err != nil {
			return nil, fmt.Errorf("past[%d]: %w", i, err)
		}
	}
	var compact bytes.Buffer
	err = json.Compact(&compact, value) // rules.History has verified that this is the canonical form
	return compact.Bytes(), err
}

func decodeTimeline(raw json.RawMessage) (*Timeline, error) {
	t := new(Timeline)
	if canonical, err := unmarshalCanonical(raw, t); err != nil {
		return nil, err
	} else if len(canonical) > maxTimelineBytes {
		return nil, fmt.Errorf("it has %d bytes; there may be %d", len(canonical), maxTimelineBytes)
	}
	return t, t.validate()
}

func (t *Timeline) validate() error {
	switch {
	case t.Successor != "" && !Name(t.Successor):
		return fmt.Errorf("successor: %.40q must be 1 to %d of a-z 0-9 . _ -", t.Successor, maxNameBytes)
	case !isLink(t.Link):
		return fmt.Errorf("link: %.60q is no URL of up to %d bytes, from / or http on", t.Link, maxLinkBytes)
	case (t.SuccessorLink != "") != (t.Successor != ""):
		return errors.New("successor_link: it is there if there is a successor")
	case t.SuccessorLink != "" && !isLink(t.SuccessorLink):
		return fmt.Errorf("successor_link: %.60q is no URL of up to %d bytes, from / or http on", t.SuccessorLink, maxLinkBytes)
	case t.RetryS < 1 || t.RetryS > 86_400:
		return fmt.Errorf("retry_s: %d; it must be 1 to 86400", t.RetryS)
	}
	if err := validateSteps(t.Steps); err != nil {
		return err
	}
	end := t.Steps[len(t.Steps)-1].AtMs
	if len(t.Exempt) > maxExempt {
		return fmt.Errorf("exempt: %d of them; there may be %d", len(t.Exempt), maxExempt)
	}
	for i, e := range t.Exempt {
		switch {
		case !Name(e.Caller):
			return fmt.Errorf("exempt[%d].caller: %.40q must be 1 to %d of a-z 0-9 . _ -", i, e.Caller, maxNameBytes)
		case i > 0 && t.Exempt[i-1].Caller >= e.Caller:
			return fmt.Errorf("exempt[%d].caller: %q is not after the one before", i, e.Caller)
		case e.UntilMs < 1 || e.UntilMs > end:
			return fmt.Errorf("exempt[%d].until_ms: %d; it must be 1 to the last step's time, %d", i, e.UntilMs, end)
		}
	}
	return t.Harm.validate()
}

func (harm *Harm) validate() error {
	switch {
	case min(harm.Worth, harm.Lost, harm.LostShed, harm.Failed, harm.FailedCalls) < 0 || max(harm.Worth, harm.Lost, harm.LostShed, harm.FailedCalls) > maxCount:
		return fmt.Errorf("harm: its numbers must be 0 to %d", maxCount)
	case harm.Failed > 1000:
		return fmt.Errorf("harm.failed: %d; it must be 0 to 1000", harm.Failed)
	case (harm.Lost > 0) != (harm.LostShed > 0):
		return errors.New("harm: lost and lost_shed must be there both or not at all")
	case (harm.Failed > 0) != (harm.FailedCalls > 0):
		return errors.New("harm: failed and failed_calls must be there both or not at all")
	}
	return nil
}

// maxTimeMs is the latest time that a timeline may contain, in the year 2286.
const maxTimeMs = int64(9_999_999_999_999)

// validateSteps requires the stages announced, warned, any number of shed and pause, and ended; times that do not fall and
// shares that rise; and a Need for the steps that refuse calls.
func validateSteps(steps []Step) error {
	count := len(steps)
	if count < 3 || count > maxSteps || steps[0].Stage != Announced || steps[1].Stage != Warned || steps[count-1].Stage != Ended {
		return fmt.Errorf("steps: they must be %s, %s, any of %s and %s, and %s at last; %d at most", Announced, Warned, Shed, Pause, Ended, maxSteps)
	}
	share := int64(0)
	for i, s := range steps {
		refusesCalls := s.Stage == Shed || s.Stage == Ended
		switch {
		case i > 1 && i < count-1 && s.Stage != Shed && s.Stage != Pause:
			return fmt.Errorf("steps[%d].stage: %.40q is neither %s nor %s", i, s.Stage, Shed, Pause)
		case s.Stage == Pause && steps[i-1].Stage != Shed:
			return fmt.Errorf("steps[%d].stage: a %s must follow a %s", i, Pause, Shed)
		case s.Stage == Shed && (s.Share <= share || s.Share > 1000) || s.Stage != Shed && s.Share != 0:
			return fmt.Errorf("steps[%d].share: %d; only %s has one, more than the one before, to 1000", i, s.Share, Shed)
		case s.AtMs < 1 || s.AtMs > maxTimeMs || i > 0 && s.AtMs < steps[i-1].AtMs:
			return fmt.Errorf("steps[%d].at_ms: %d; it must be 1 to %d, and not before the step before", i, s.AtMs, maxTimeMs)
		case s.AfterMs < 0 || s.AfterMs > maxTimeMs || i == 0 && s.AfterMs != 0:
			return fmt.Errorf("steps[%d].after_ms: %d; it must be 0 to %d, and 0 for the first", i, s.AfterMs, maxTimeMs)
		case refusesCalls != (s.Need != nil):
			return fmt.Errorf("steps[%d].need: %s and %s have it, and no other", i, Shed, Ended)
		}
		if need := s.Need; need != nil && (need.Above < 0 || need.Above > 1000 || need.Times < 1 || need.Times > maxCount || need.ForMs < 0 || need.ForMs > maxTimeMs) {
			return fmt.Errorf("steps[%d].need: above must be 0 to 1000, times 1 to %d, for_ms 0 to %d", i, maxCount, maxTimeMs)
		}
		share = max(share, s.Share)
	}
	return nil
}

// maxLinkBytes is the maximum length of a link.
const maxLinkBytes = 200

// isLink reports whether s is a URL that can stand between < and > in a Link header.
func isLink(s string) bool {
	hasPrefix := strings.HasPrefix(s, "/") || strings.HasPrefix(s, "http://") || strings.HasPrefix(s, "https://")
	return hasPrefix && len(s) <= maxLinkBytes && isPrintableASCII(s) && !strings.ContainsAny(s, " \"\\^`{|}")
}

func (u *Use) validate(maxCallers int, maxCount int64) error {
	if len(u.Callers) > maxCallers {
		return fmt.Errorf("callers: %d of them; there may be %d", len(u.Callers), maxCallers)
	}
	if u.SeenMs < 1 || u.SeenMs > maxTimeMs {
		return fmt.Errorf("seen_ms: %d; it must be 1 to %d", u.SeenMs, maxTimeMs)
	}
	for i, c := range u.Callers {
		if !Name(c.Caller) || i > 0 && u.Callers[i-1].Caller >= c.Caller {
			return fmt.Errorf("callers[%d].caller: %.40q is no name, or not after the one before", i, c.Caller)
		}
		if err := c.validate(maxCount); err != nil {
			return fmt.Errorf("callers[%d]: %w", i, err)
		}
	}
	if u.Others.Caller != "" {
		return errors.New("others.caller: it has none")
	}
	if err := u.Others.validate(maxCount); err != nil {
		return fmt.Errorf("others: %w", err)
	}
	return nil
}

func (c *Count) validate(maxCount int64) error {
	for _, n := range []int64{c.Calls, c.Warned, c.Shed, c.Worth, c.Next, c.Failed} {
		if n < 0 || n > maxCount {
			return fmt.Errorf("a count of %d; it must be 0 to %d", n, maxCount)
		}
	}
	switch {
	case c.Warned+c.Shed > c.Calls:
		return fmt.Errorf("calls: %d, and %d are warned and %d shed", c.Calls, c.Warned, c.Shed)
	case c.Failed > c.Next:
		return fmt.Errorf("failed: %d of %d", c.Failed, c.Next)
	case (c.FirstMs > 0) != (c.Warned > 0) || c.FirstMs < 0 || c.FirstMs > maxTimeMs:
		return fmt.Errorf("first_ms: %d, with %d warned", c.FirstMs, c.Warned)
	}
	return nil
}

func (s *Stage) validate() error {
	names := []string{Announced, Warned, Shed, Pause, Ended}
	switch {
	case s.At < 0 || s.At >= maxSteps || !slices.Contains(names, s.Stage):
		return fmt.Errorf("at, stage: %d, %.40q", s.At, s.Stage)
	case s.SinceMs < 1 || s.SinceMs > maxTimeMs:
		return fmt.Errorf("since_ms: %d", s.SinceMs)
	case (s.Cut != "") != (s.Stage == Shed || s.Stage == Pause):
		return fmt.Errorf("cut: %s and %s have one, and no other", Shed, Pause)
	case s.Held != nil && (len(s.Held.Why) > maxWhyBytes || !isPrintableASCII(s.Held.Why)):
		return fmt.Errorf("held.why: it must be up to %d bytes of printable ASCII, without < > &", maxWhyBytes)
	case len(s.Log) > maxLog || len(s.Mark.Callers) > MaxFoldedCallers:
		return errors.New("log, mark: too long")
	}
	if s.Cut != "" {
		if _, err := parseCut(s.Cut); err != nil {
			return err
		}
	}
	for i, m := range s.Log {
		if len(m.By) > maxByBytes || !isPrintableASCII(m.By) || len(m.Why) > maxWhyBytes || !isPrintableASCII(m.Why) {
			return fmt.Errorf("log[%d]: by and why must be up to %d and %d bytes of printable ASCII, without < > &", i, maxByBytes, maxWhyBytes)
		}
	}
	return nil
}
