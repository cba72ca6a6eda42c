package main

import (
	"encoding/json"
	"os"
	"path/filepath"
	"time"
)

// sidecar is one copy of the program, started as the platform starts it.
type sidecar struct {
	*rig
	name, listen, door, config, registry string
	tmp                                  string
	known                                list
	sites                                map[string]any
	*process
}

// athens is the settings of athens-bookings, with four halls and a sidecar in the first.
func athens() map[string]any {
	return map[string]any{
		"balancers": 1, "ordinal": 0, "zone": 0, "zones": []string{"hall-a", "hall-b", "hall-c", "hall-d"},
		"machine_types": []string{"new", "standard", "old"}, "weights": "rough", "worth_by": "request", "workload": "mesh",
		"period_us": 5000, "discovery": "subscribe", "stage": 0, "tiers": []string{"rental-api"},
		"ceilings": map[string]any{"cancelling": true, "connect_timeout_us": 250000, "cpu_us_per_request": 0.0, "cpu_us_per_s": 98772,
			"idle_close_us": 5000000, "max_attempts": 3, "max_retry_after_us": 1500000, "may_duplicate": false, "may_tell": false,
			"open_cap": 24693, "probing": true, "retry_after": true, "streams_per_conn": 1},
		"classes": []any{
			class("availability", "safe", 600, 3000, 1, nil),
			class("booking", "unsafe", 1000, 3000, 5, nil),
			class("paid-extra", "keyed", 1000, 2500, 10, map[string]any{"group": "zone", "dedup_window_us": 12000000}),
		},
		"clients": map[string]any{"marks_retry": false},
		"prices":  map[string]any{"cross_zone": 0.06, "late_fail": 0.055, "probe": 0.0081, "waste": 0.02},
		"report":  map[string]any{"columns": []string{"util", "eps", "queue"}, "via": "pull"},
		"safety": map[string]any{"answer_slack_us": 20000, "ask_within_us": 10000000, "drain_grace_us": 750000, "fall_multiple": 2.5,
			"start_capacity": 0.14, "tip_after_us": 1000000, "warm_after_us": 24000000},
	}
}

var csiZones = []string{"palermo", "catania", "messina"}

// csiJobs is the settings of csi-jobs, with a sidecar in the first zone.
func csiJobs() map[string]any {
	s := athens()
	s["zones"], s["machine_types"], s["weights"] = csiZones, []string{"fast-1c", "mid-1c", "slow-1c"}, "nominal"
	s["tiers"], s["report"] = []string{"job-nodes"}, map[string]any{"columns": "", "via": "silent"}
	ceilings, safety := s["ceilings"].(map[string]any), s["safety"].(map[string]any)
	ceilings["idle_close_us"], ceilings["max_attempts"], ceilings["max_retry_after_us"] = 30000000, 5, 2000000
	safety["drain_grace_us"], safety["fall_multiple"], safety["start_capacity"] = 2000000, 4, 0.33
	safety["tip_after_us"], safety["warm_after_us"] = 2000000, 8800000
	s["prices"] = map[string]any{"cross_zone": 0.026, "late_fail": 0.064, "probe": 0.01, "waste": 0.018}
	s["classes"] = []any{
		class("proof", "safe", 1200, 2500, 2, nil),
		class("reserve-stock", "unsafe", 1200, 4000, 2, nil),
		class("book-press", "keyed", 2000, 6000, 6, map[string]any{"group": "zone", "dedup_window_us": 12000000}),
	}
	return s
}

// class is the settings of a class of calls, its times in milliseconds.
func class(name, repeat string, aim, deadline, worth float64, more map[string]any) map[string]any {
	c := map[string]any{"name": name, "repeat": repeat, "aim_us": aim * 1e3, "deadline_us": deadline * 1e3, "importance": worth,
		"late_worth": 0.25, "stream": false, "group": "all", "dedup_window_us": 5000000}
	for k, v := range more {
		c[k] = v
	}
	return c
}

// newSidecar prepares a sidecar of a site, with a door for operators.
func (g *rig) newSidecar(name, registry string, known list, site map[string]any) (*sidecar, error) {
	addrs, err := freeAddrs(2)
	if err != nil {
		return nil, err
	}
	s := &sidecar{rig: g, name: name, listen: addrs[0], door: addrs[1], registry: registry, known: known, sites: site,
		config: filepath.Join(g.dir, name+".json"), tmp: filepath.Join(g.dir, name+".tmp")}
	if err := os.Mkdir(s.tmp, 0o700); err != nil {
		return nil, err
	}
	return s, s.write()
}

// write replaces the configuration file by one that names the sidecar's registry.
func (s *sidecar) write() error {
	b, err := json.Marshal(map[string]any{"name": s.name, "listen": s.listen, "discovery": s.registry, "operator": s.door,
		"seed": "8c1f30d27a5be964", "limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"known": s.known, "settings": s.sites})
	if err != nil {
		return err
	}
	if err := os.WriteFile(s.config+".new", b, 0o600); err != nil {
		return err
	}
	return os.Rename(s.config+".new", s.config)
}

// start runs the program and waits until it serves.
func (s *sidecar) start(env ...string) (err error) {
	command, err := runLine()
	if err != nil {
		return err
	}
	s.process, err = s.run(s.name, command, append([]string{"EDGE_NAME=" + s.name, "EDGE_LISTEN=" + s.listen,
		"EDGE_DISCOVERY=" + s.registry, "EDGE_CONFIG=" + s.config, "EDGE_OPERATOR=" + s.door, "TMPDIR=" + s.tmp}, env...))
	if err != nil {
		return err
	}
	return s.await(s.name+" healthy", 10*time.Second, func() bool { return healthy(s.listen) })
}
