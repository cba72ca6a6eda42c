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

// RulesConfig is the part of the [cluster] section that concerns the teams' rules.
type RulesConfig struct {
	// Rules stores the teams' rules in the record and enforces them here. It is the same at all members.
	Rules bool `toml:"rules" default:"false" doc:"rules of teams are kept in the record, and hold for the calls of this sidecar; the same at every member, from the forming on"`
	// Island and Hall locate this sidecar in the terms of the rules (a hall is a zone); "" stands for the sidecar's zone.
	Island string `toml:"island" doc:"the island that this sidecar's calls are of, as rules name it; the zone where it is empty"`
	Hall   string `toml:"hall" doc:"the hall or branch, likewise"`
	// Caller and Version are header names, "" for none; Segment is the index of a path segment, 0 for none.
	Caller  string `toml:"caller" doc:"header in which a call names its caller, for rules; nobody is named where it is empty"`
	Version string `toml:"version" doc:"header in which a call names its API version"`
	Segment int    `toml:"version_segment" default:"0" range:"0..8" doc:"the path's segment that is the API version where no header has it: 1 is the one after the class; 0 for none"`
	// UnderWay is a header name, "" for none.
	UnderWay string `toml:"under_way" doc:"header that a call has whose booking is under way: it is not shed where its API version ends"`
}

var (
	locationPattern   = regexp.MustCompile(`^[a-z0-9._-]{1,40}$`)
	headerNamePattern = regexp.MustCompile("^[A-Za-z0-9!#$%&'*+.^_`|~-]{1,64}$")
)

func (c *RulesConfig) check(file *config.File) {
	for _, v := range []struct {
		key, text, expected string
		pattern             *regexp.Regexp
	}{
		{"cluster.island", c.Island, "1 to 40 of a-z, 0-9, '.', '_' and '-'", locationPattern},
		{"cluster.hall", c.Hall, "1 to 40 of a-z, 0-9, '.', '_' and '-'", locationPattern},
		{"cluster.caller", c.Caller, "the name of a header", headerNamePattern},
		{"cluster.version", c.Version, "the name of a header", headerNamePattern},
		{"cluster.under_way", c.UnderWay, "the name of a header", headerNamePattern},
	} {
		switch {
		case v.text == "" || file.HasError(v.key):
		case !v.pattern.MatchString(v.text):
			file.AddError(v.key, "%q: must be %s", v.text, v.expected)
		case !c.Rules && !file.HasError("cluster.rules"):
			file.AddError(v.key, "has no effect without rules = true")
		}
	}
}

// initRules sets up the gate that enforces the record's rules on calls. It does nothing if rules are off.
func (s *Sidecar) initRules() {
	cfg := s.config
	if s.member == nil || !cfg.Cluster.Rules {
		return
	}
	zone := ""
	if cfg.Decide.Zone < len(cfg.Names.Zones) {
		zone = cfg.Names.Zones[cfg.Decide.Zone]
	}
	cluster := cfg.Cluster
	s.limits = limits.New(limits.Config{Member: s.member, Name: cluster.Member, Log: s.log})
	enforcerConfig := enforcement.Config{
		Member: s.member,
		Limits: s.limits,
		Island: cmp.Or(cluster.Island, zone),
		Hall:   cmp.Or(cluster.Hall, zone),
		Log:    s.log,
	}
	for i, name := range cfg.Names.Classes {
		class := enforcement.Class{Name: name}
		if settings := cfg.Decide.Classes[i]; settings.Effect == decide.Keyed {
			class.Window = settings.Window
		}
		enforcerConfig.Classes = append(enforcerConfig.Classes, class)
	}
	s.enforcer = enforcement.New(enforcerConfig)
	s.usage = usage.New(usage.Config{Member: s.member, Process: cluster.Member, Log: s.log})
	s.versions = enforcement.NewVersions(s.enforcer, s.usage)
	s.gate, s.origins = s.versions, &protocol.OriginConfig{
		Caller:   cluster.Caller,
		Version:  cluster.Version,
		UnderWay: cluster.UnderWay,
		Segment:  cluster.Segment,
	}
	s.member.RegisterRules(s.enforcer)
}

// startRules starts the goroutines that keep rules, limits, API versions and usage reports up to date. The returned stop ends
// them and gives this process's share of the fleet-wide limits back.
func (s *Sidecar) startRules() (stop func()) {
	if s.enforcer == nil {
		return func() {}
	}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { s.enforcer.Run(ctx) })
	running.Go(func() { s.limits.Run(ctx) })
	running.Go(func() { s.versions.Run(ctx) })
	running.Go(func() { s.usage.Run(ctx) })
	return func() { cancel(); running.Wait() }
}
