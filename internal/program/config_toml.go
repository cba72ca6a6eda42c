package program

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"burlpass/decide"
	"burlpass/internal/config"
	"burlpass/internal/protocol"
	"burlpass/internal/routing"
)

// tomlFile is a sidecar's configuration file in TOML; docs/configuration.md is its reference.
type tomlFile struct {
	Name     string   `toml:"name" default:"sidecar" doc:"the sidecar's name, the same after a restart"`
	Listen   string   `toml:"listen" default:"127.0.0.1:3000" doc:"host and port where clients connect"`
	Registry string   `toml:"registry" default:"127.0.0.1:8500" doc:"host and port of the registry"`
	Lists    string   `toml:"lists" default:"asked" oneof:"asked pushed" doc:"asked: the registry is one service for all, asked when the module says so; pushed: an agent beside the sidecar holds the list, and a watch on it is kept all the time"`
	Operator string   `toml:"operator" doc:"host and port of the admin listener; none where empty"`
	Seed     string   `toml:"seed" doc:"hexadecimal seed of random numbers; a fresh one at each start where empty"`
	Zone     string   `toml:"zone" required:"true" doc:"the sidecar's own zone, one of zones"`
	Zones    []string `toml:"zones" required:"true" doc:"names of all zones"`
	Kinds    []string `toml:"machine_kinds" default:"standard" doc:"names of the kinds of machine"`
	Sidecars int      `toml:"sidecars" default:"1" range:"1.." doc:"number of sidecars that share the workers"`
	Ordinal  int      `toml:"ordinal" default:"0" range:"0.." doc:"this one's number among them, from 0"`
	Weights  string   `toml:"weights" default:"rough" oneof:"none nominal rough live" doc:"what the registry's weight of a worker means"`

	Limits      fileLimits      `toml:"limits" doc:"what the sidecar may use"`
	Connections fileConnections `toml:"connections" doc:"connections to workers"`
	Attempts    fileAttempts    `toml:"delegations" doc:"what may be done for a call"`
	Rules       fileRules       `toml:"rules" doc:"figures of the rules"`
	Reports     fileReports     `toml:"load_reports" doc:"load reports of the workers"`
	Prices      filePrices      `toml:"prices" doc:"what is weighed against an answer's worth, as points of service"`
	Classes     []fileClass     `toml:"class" required:"true" doc:"classes of calls; the first part of a call's path names one"`
	Workers     []fileWorker    `toml:"worker" doc:"workers that are known before the registry has answered"`
	Cluster     *ClusterConfig  `toml:"cluster" doc:"this process as one of several that keep one record; without it nothing of that starts"`
}

type fileLimits struct {
	Cores   float64     `toml:"cores" default:"1" range:"0.01..1024" doc:"cores"`
	Memory  config.Size `toml:"memory" default:"192MiB" range:"8MiB.." doc:"memory that the process may have resident; it plans with 80%, of at most 38 MiB with 95%"`
	Sockets int         `toml:"sockets" default:"1024" range:"40..10000000" doc:"descriptors"`
}

type fileConnections struct {
	ConnectTimeout time.Duration `toml:"connect_timeout" default:"250ms" range:"1ms..1m" doc:"a connection that is not there by then is given up"`
	Idle           time.Duration `toml:"idle_close" default:"5s" range:"100ms..1h" doc:"workers close connections idle for this long"`
	Streams        int           `toml:"streams" default:"1" range:"1..1" doc:"calls at a time on a connection; HTTP/1.1 carries one"`
}

type fileAttempts struct {
	Max        int           `toml:"max_attempts" default:"3" range:"1..100" doc:"delegations of one call"`
	Cancel     bool          `toml:"cancel" default:"true" doc:"a delegation may be given up before its time"`
	Copies     bool          `toml:"second_copies" default:"false" doc:"another delegation of a call may be out beside one that is late; the first whole answer counts"`
	Probe      bool          `toml:"probe" default:"true" doc:"workers may be probed"`
	RetryAfter bool          `toml:"retry_after" default:"true" doc:"refusals name a time to stay away"`
	MaxRetry   time.Duration `toml:"max_retry_after" default:"1500ms" range:"0s..1h" doc:"the longest such time"`
}

type fileRules struct {
	AnswerSlack   time.Duration `toml:"answer_slack" default:"20ms" range:"0s..10s" doc:"after a client's deadline, an answer still counts"`
	AskWithin     time.Duration `toml:"ask_within" default:"10s" range:"1s..1h" doc:"the registry must be asked at least this often"`
	DrainGrace    time.Duration `toml:"drain_grace" default:"750ms" range:"0s..1m" doc:"within which sends to a draining worker stop"`
	FallMultiple  float64       `toml:"fall_multiple" default:"2.5" range:"1.." doc:"a cold worker falls when sent more than this times its capacity"`
	FallTime      time.Duration `toml:"fall_time" default:"1s" range:"1ms..1h" doc:"for this long"`
	StartCapacity float64       `toml:"start_capacity" default:"0.14" range:"0.001..1" doc:"share of its capacity that a worker starts with at least"`
	Warm          time.Duration `toml:"warm_after" default:"24s" range:"0s..1h" doc:"a worker is warm after this long at the latest"`
}

type fileReports struct {
	Via     string   `toml:"via" default:"probes" oneof:"none answers probes" doc:"how they come"`
	Columns []string `toml:"columns" default:"util eps queue" doc:"the values of a report, in order"`
}

type filePrices struct {
	Cross      float64 `toml:"cross_zone" default:"0.06" range:"0..1" doc:"crossing zones, once a call"`
	LateFail   float64 `toml:"late_fail" default:"0.055" range:"0..1" doc:"failing only after the aim, every call"`
	Probe      float64 `toml:"probe" default:"0.0081" range:"0..1" doc:"one probe a call"`
	Waste      float64 `toml:"waste" default:"0.02" range:"0..1" doc:"work done for nobody, as much as asked for"`
	Handshake  float64 `toml:"handshake" default:"0" range:"0..1" doc:"one new connection a call"`
	Connection float64 `toml:"connection" default:"0" range:"0..1" doc:"a hundred open connections a worker"`
}

type fileClass struct {
	Name      string        `toml:"name" required:"true" doc:"name"`
	Effect    string        `toml:"effect" required:"true" oneof:"safe keyed unsafe" doc:"whether a call may run again"`
	Group     string        `toml:"group" default:"all" oneof:"all zone cell" doc:"keyed: which workers drop a repeat"`
	Window    time.Duration `toml:"window" default:"0s" range:"0s..1h" doc:"keyed: for how long they do"`
	Aim       time.Duration `toml:"aim" required:"true" range:"1ms..1h" doc:"an answer within this earns the full worth"`
	Deadline  time.Duration `toml:"deadline" required:"true" range:"1ms..1h" doc:"a client's whole patience"`
	Worth     float64       `toml:"worth" default:"1" range:"0..1000000" doc:"worth of a call"`
	LateWorth float64       `toml:"late_worth" default:"0" range:"0..1" doc:"share of it that a late answer earns"`
}

type fileWorker struct {
	ID      string  `toml:"id" required:"true" doc:"the registry's id of it"`
	Address string  `toml:"address" required:"true" doc:"host and port"`
	Zone    string  `toml:"zone" required:"true" doc:"its zone"`
	Kind    string  `toml:"kind" default:"standard" doc:"its kind of machine"`
	Cell    int     `toml:"cell" default:"0" range:"0.." doc:"its cell"`
	Weight  float64 `toml:"weight" default:"1" range:"0..1000000" doc:"its size against others"`
}

// Keys lists the keys of the TOML format.
func Keys() []config.Key { return config.Keys(tomlFile{}) }

// parseTOML reads the TOML format, which new installations use. The error lists every fault.
func (c *Config) parseTOML(text []byte) (instanceSettings, error) {
	var file tomlFile
	faults := config.Decode(cmp.Or(c.Path, "configuration"), text, &file)
	if faults.HasError("") {
		return instanceSettings{}, faults.Err()
	}
	c.Seed = rand.Uint64()
	if file.Seed != "" {
		var err error
		if c.Seed, err = strconv.ParseUint(file.Seed, 16, 64); err != nil {
			faults.AddError("seed", "%q: must be a 64-bit hexadecimal number", file.Seed)
		}
	}
	c.Limits = Limits{file.Limits.Cores, int(file.Limits.Memory >> 20), file.Limits.Sockets}
	c.Names = routing.Names{Zones: file.Zones, Kinds: file.Kinds}
	zone := slices.Index(file.Zones, file.Zone)
	if zone < 0 && file.Zone != "" {
		faults.AddError("zone", "%q is not listed in zones", file.Zone)
	}
	for _, address := range [][2]string{{"listen", file.Listen}, {"registry", file.Registry}, {"operator", file.Operator}} {
		if address[0] == "operator" && address[1] == "" {
			continue
		}
		if err := checkAddress(address[1]); err != nil {
			faults.AddError(address[0], "%v", err)
		}
	}
	if file.Ordinal >= file.Sidecars && file.Ordinal > 0 {
		faults.AddError("ordinal", "%d: must be less than the number of sidecars", file.Ordinal)
	}
	c.Decide = decide.Config{
		Zone:           max(zone, 0),
		Ordinal:        file.Ordinal,
		Balancers:      file.Sidecars,
		OverShareWorth: 1,
		Subscribe:      file.Lists != "pushed",
		Weights:        decide.Weights(max(0, slices.Index([]string{"none", "nominal", "rough", "live"}, file.Weights))),
		Reports:        decide.Reports(max(0, slices.Index([]string{"none", "answers", "probes"}, file.Reports.Via))),
		Columns:        file.Reports.Columns,
		Safety: decide.Safety{
			AnswerSlack:    file.Rules.AnswerSlack,
			AskWithin:      file.Rules.AskWithin,
			DrainGrace:     file.Rules.DrainGrace,
			FallMultiple:   file.Rules.FallMultiple,
			OverloadWindow: file.Rules.FallTime,
			StartShare:     file.Rules.StartCapacity,
			WarmAfter:      file.Rules.Warm,
		},
		Limits: decide.Limits{
			Cancel:        file.Attempts.Cancel,
			Probe:         file.Attempts.Probe,
			RetryAfter:    file.Attempts.RetryAfter,
			SecondCopies:  file.Attempts.Copies,
			MaxAttempts:   file.Attempts.Max,
			MaxRetryAfter: file.Attempts.MaxRetry,
		},
		Prices: decide.Prices{
			CrossZone:  file.Prices.Cross,
			Waste:      file.Prices.Waste,
			Probe:      file.Prices.Probe,
			LateFail:   file.Prices.LateFail,
			Handshake:  file.Prices.Handshake,
			Connection: file.Prices.Connection,
		},
		IdleClose:   file.Connections.Idle,
		ConnectTime: file.Connections.ConnectTimeout,
		ConnStreams: file.Connections.Streams,
	}
	for i, class := range file.Classes {
		c.Names.Classes = append(c.Names.Classes, class.Name)
		c.Decide.Classes = append(c.Decide.Classes, decide.Class{
			Aim:       class.Aim,
			Deadline:  class.Deadline,
			Worth:     class.Worth,
			LateWorth: class.LateWorth,
			Effect:    decide.Effect(max(0, slices.Index([]string{"safe", "keyed", "unsafe"}, class.Effect))),
			Group:     decide.Group(max(0, slices.Index([]string{"all", "zone", "cell"}, class.Group))),
			Window:    class.Window,
		})
		if class.Aim > class.Deadline {
			faults.AddError(fmt.Sprintf("class[%d].aim", i), "%v is longer than the deadline %v", class.Aim, class.Deadline)
		}
	}
	c.Known = &protocol.List{Reset: true}
	for i, worker := range file.Workers {
		key := fmt.Sprintf("worker[%d]", i)
		if err := checkAddress(worker.Address); err != nil && worker.Address != "" {
			faults.AddError(key+".address", "%v", err)
		}
		if !slices.Contains(file.Zones, worker.Zone) && worker.Zone != "" {
			faults.AddError(key+".zone", "%q is not listed in zones", worker.Zone)
		}
		if !slices.Contains(file.Kinds, worker.Kind) {
			faults.AddError(key+".kind", "%q is not listed in machine_kinds", worker.Kind)
		}
		if slices.ContainsFunc(file.Workers[:i], func(other fileWorker) bool { return other.ID == worker.ID }) {
			faults.AddError(key+".id", "%q is listed twice", worker.ID)
		}
		c.Known.Instances = append(c.Known.Instances, protocol.Instance{
			ID:        worker.ID,
			Addr:      worker.Address,
			Zone:      worker.Zone,
			Kind:      worker.Kind,
			Cell:      worker.Cell,
			Lifecycle: protocol.LifecycleUp,
			Weight:    worker.Weight,
		})
	}
	if c.Cluster = file.Cluster; c.Cluster != nil {
		c.Cluster.check(faults, []configuredAddress{
			{"listen", cmp.Or(c.Listen, file.Listen)},
			{"operator", cmp.Or(c.Operator, file.Operator)},
			{"registry", cmp.Or(c.Registry, file.Registry)},
		}, !c.isReload)
	}
	if faults.Err() == nil { // otherwise values may be missing, and their faults are already reported
		c.check(faults, settingKeys{
			zone:           "zone",
			classes:        "class",
			connectTimeout: "connections.connect_timeout",
			maxAttempts:    "delegations.max_attempts",
			fallMultiple:   "rules.fall_multiple",
			startCapacity:  "rules.start_capacity",
			window:         "window",
			memory:         "limits.memory",
		})
	}
	return instanceSettings{file.Name, file.Listen, file.Registry, file.Operator}, faults.Err()
}
