package program

import (
	"cmp"
	"context"
	"regexp"
	"sync"

	"burlpass/decide"
	"burlpass/internal/config"
	"burlpass/internal/enforcement"
	"burlpass/internal/limits"
	"burlpass/internal/protocol"
	"burlpass/internal/usage"
)

// RulesConfig is what of the [cluster] section concerns the rules of teams.
type RulesConfig struct {
	// Rules has the record hold rules of teams and lets them take effect here. It is the same at all members.
	Rules bool `toml:"rules" default:"false" doc:"rules of teams are kept in the record, and hold for the calls of this sidecar; the same at every member, from the forming on"`
	// Island and Hall are where this sidecar is, as rules name it; "" for its zone.
	Island string `toml:"island" doc:"the island that this sidecar's calls are of, as rules name it; the zone where it is empty"`
	Hall   string `toml:"hall" doc:"the hall or branch, likewise"`
	// Caller and Version are headers, "" for none; Segment is a place in the path, 0 for none.
	Caller  string `toml:"caller" doc:"header in which a call names its caller, for rules; nobody is named where it is empty"`
	Version string `toml:"version" doc:"header in which a call names its API version"`
	Segment int    `toml:"version_segment" default:"0" range:"0..8" doc:"the path's segment that is the API version where no header has it: 1 is the one after the class; 0 for none"`
	// UnderWay is a header, "" for none.
	UnderWay string `toml:"under_way" doc:"header that a call has whose booking is under way: it is not shed where its API version ends"`
}

var (
	placeName  = regexp.MustCompile(`^[a-z0-9._-]{1,40}$`)
	headerName = regexp.MustCompile("^[A-Za-z0-9!#$%&'*+.^_`|~-]{1,64}$")
)

func (k *RulesConfig) check(f *config.File) {
	for _, v := range []struct {
		key, text, want string
		is              *regexp.Regexp
	}{
		{"cluster.island", k.Island, "1 to 40 of a-z, 0-9, '.', '_' and '-' are", placeName},
		{"cluster.hall", k.Hall, "1 to 40 of a-z, 0-9, '.', '_' and '-' are", placeName},
		{"cluster.caller", k.Caller, "the name of a header is", headerName},
		{"cluster.version", k.Version, "the name of a header is", headerName},
		{"cluster.under_way", k.UnderWay, "the name of a header is", headerName},
	} {
		switch {
		case v.text == "" || f.Failed(v.key):
		case !v.is.MatchString(v.text):
			f.Fail(v.key, "%q: %s expected", v.text, v.want)
		case !k.Rules && !f.Failed("cluster.rules"):
			f.Fail(v.key, "it says nothing without rules = true")
		}
	}
}

// openRules makes the rules of the member's record the router's gate. Without them it does nothing.
func (s *Sidecar) openRules() {
	c := s.config
	if s.member == nil || !c.Cluster.Rules {
		return
	}
	zone := ""
	if c.Decide.Zone < len(c.Names.Zones) {
		zone = c.Names.Zones[c.Decide.Zone]
	}
	k := c.Cluster
	s.limits = limits.New(limits.Config{Member: s.member, Name: k.Member, Log: s.log})
	g := enforcement.Config{Member: s.member, Limits: s.limits, Island: cmp.Or(k.Island, zone), Hall: cmp.Or(k.Hall, zone), Log: s.log}
	for i, name := range c.Names.Classes {
		class := enforcement.Class{Name: name}
		if d := c.Decide.Classes[i]; d.Effect == decide.Keyed {
			class.Window = d.Window
		}
		g.Classes = append(g.Classes, class)
	}
	s.governor = enforcement.New(g)
	s.usage = usage.New(usage.Config{Member: s.member, Process: k.Member, Log: s.log})
	s.versions = enforcement.NewVersions(s.governor, s.usage)
	s.gate, s.origins = s.versions, &protocol.Origins{Caller: k.Caller, Version: k.Version, UnderWay: k.UnderWay, Segment: k.Segment}
	expose(s.member, s.governor)
}

// startRules has the rules followed until stop is called, which gives back what this process has of the fleet's limits.
func (s *Sidecar) startRules() (stop func()) {
	if s.governor == nil {
		return func() {}
	}
	ctx, cancel := context.WithCancel(context.Background())
	var done sync.WaitGroup
	done.Go(func() { s.governor.Run(ctx) })
	done.Go(func() { s.limits.Run(ctx) })
	done.Go(func() { s.versions.Run(ctx) })
	done.Go(func() { s.usage.Run(ctx) })
	return func() { cancel(); done.Wait() }
}
