package sim

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"time"

	"burlpass/internal/lab/judge"
	"burlpass/internal/lab/scenario"
)

// Bad tells whether the day broke a rule or could not be played.
func (o *Outcome) Bad() bool { return len(o.Violations) > 0 || o.Failed != "" }

// Summary is a day in a line, with what it broke on further ones.
func (o *Outcome) Summary() string {
	text := fmt.Sprintf("seed %d: %d calls, %d attempts, worth %.3f, %v, trace %s of %d lines", o.Seed, o.Calls, o.Attempts, o.Worth,
		o.Played.Round(time.Millisecond), o.Hash, o.Events)
	for _, v := range o.Violations {
		text += "\n  BROKEN " + v.String()
	}
	if o.Failed != "" {
		text += "\n  FAILED " + o.Failed
	}
	return text
}

// ReadScript reads a script that Write wrote.
func ReadScript(path string) (*Script, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	s := &Script{}
	if err := json.Unmarshal(text, s); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if s.Scenario == nil {
		return nil, fmt.Errorf("%s: no scenario", path)
	}
	return s, nil
}

// Write writes a script as JSON.
func (s *Script) Write(w io.Writer) error {
	e := json.NewEncoder(w)
	e.SetIndent("", " ")
	return e.Encode(s)
}

func (s *Script) clone() *Script {
	out := *s
	day := *s.Scenario
	day.Faults = slices.Clone(day.Faults)
	out.Scenario = &day
	out.Stalls, out.Jumps = slices.Clone(s.Stalls), slices.Clone(s.Jumps)
	return &out
}

// Shrink takes away from a script while a rule is still broken that it broke at first, until nothing more can go.
func Shrink(s *Script, play func(*Script) (*Outcome, error)) (*Script, *Outcome, error) {
	first, err := play(s)
	if err != nil {
		return nil, nil, err
	}
	if !first.Bad() {
		return nil, nil, errors.New("the day breaks no rule; there is nothing to shrink")
	}
	best, bestOutcome := s, first
	same := func(o *Outcome) bool {
		if first.Failed != "" && len(first.Violations) == 0 {
			return o.Failed != ""
		}
		return slices.ContainsFunc(o.Violations, func(v judge.Violation) bool { return v.Rule == first.Violations[0].Rule })
	}
	for again := true; again; {
		again = false
		for _, smaller := range smallerOnes(best) {
			o, err := play(smaller)
			if err != nil {
				return nil, nil, err
			}
			if same(o) {
				best, bestOutcome, again = smaller, o, true
				break
			}
		}
	}
	return best, bestOutcome, nil
}

// smallerOnes are the scripts one step smaller, the largest steps first.
func smallerOnes(s *Script) (out []*Script) {
	change := func(f func(*Script) bool) {
		if c := s.clone(); f(c) {
			out = append(out, c)
		}
	}
	for i := range s.Scenario.Faults {
		change(func(c *Script) bool { c.Scenario.Faults = slices.Delete(c.Scenario.Faults, i, i+1); return true })
	}
	for i := range s.Stalls {
		change(func(c *Script) bool { c.Stalls = slices.Delete(c.Stalls, i, i+1); return true })
	}
	for i := range s.Jumps {
		change(func(c *Script) bool { c.Jumps = slices.Delete(c.Jumps, i, i+1); return true })
	}
	change(func(c *Script) bool {
		d := c.Scenario
		last := time.Second
		for _, f := range d.Faults {
			last = max(last, f.At+f.Length+500*time.Millisecond)
		}
		if d.Length <= last {
			return false
		}
		d.Length = last
		return true
	})
	change(func(c *Script) bool { c.Scenario.Sidecars--; return c.Scenario.Sidecars > 0 })
	change(func(c *Script) bool { c.Scenario.Workers /= 2; return c.Scenario.Workers >= len(c.Scenario.Halls) })
	change(func(c *Script) bool { c.Scenario.Workers--; return c.Scenario.Workers >= len(c.Scenario.Halls) })
	change(func(c *Script) bool { c.Scenario.Clients.Load /= 2; return c.Scenario.Clients.Load > 0.02 })
	change(func(c *Script) bool { on := c.Net.Spike > 0; c.Net.Spike = 0; return on })
	change(func(c *Script) bool { on := c.Net.Split > 0; c.Net.Split = 0; return on })
	change(func(c *Script) bool { on := c.Scenario.Clients.Leave > 0; c.Scenario.Clients.Leave = 0; return on })
	change(func(c *Script) bool { on := c.Scenario.Clients.Retries > 0; c.Scenario.Clients.Retries = 0; return on })
	for i := range s.Scenario.Faults {
		change(func(c *Script) bool { return halve(&c.Scenario.Faults[i]) })
	}
	return out
}

func halve(f *scenario.Fault) bool {
	if f.Count > 1 {
		f.Count /= 2
		return true
	}
	if f.Length > 200*time.Millisecond {
		f.Length /= 2
		return true
	}
	return false
}
