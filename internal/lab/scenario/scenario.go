// Package scenario reads what the laboratory plays: a fleet, its clients, and a script of faults. It holds no
// state and draws nothing; the same file and seed always mean the same day.
package scenario

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"time"

	"burlpass/internal/config"
)

// Scenario is one day.
type Scenario struct {
	Name  string `toml:"name" required:"true" doc:"short name, used in reports"`
	About string `toml:"about" required:"true" doc:"one sentence: what the day is for"`

	Length   time.Duration `toml:"length" default:"20s" range:"1s..1h" doc:"how long clients send"`
	Halls    []string      `toml:"halls" default:"hall-a hall-b hall-c" doc:"names of the halls"`
	Shares   []float64     `toml:"hall_shares" range:"0.001.." doc:"weights by which workers are spread over the halls; evenly where empty"`
	Traffic  []float64     `toml:"hall_traffic" range:"0.001.." doc:"weights of the halls' sidecars among the calls; even where empty"`
	Workers  int           `toml:"workers" default:"9" range:"1..240" doc:"workers at the start, spread over the halls"`
	Cell     int           `toml:"cell_size" default:"4" range:"1..1000" doc:"workers of a hall that make a cell"`
	Sidecars int           `toml:"sidecars" default:"3" range:"1..5000" doc:"sidecars, spread over the halls; lab run and compare play 200 at most"`

	Kinds    []Kind   `toml:"kind" doc:"kinds of machine; one standard kind where none is given"`
	Classes  []Class  `toml:"class" doc:"classes of calls; availability, booking and paid-extra where none is given"`
	Clients  Clients  `toml:"clients" doc:"what clients do"`
	Delay    Delay    `toml:"delay" doc:"one way over the network"`
	Registry Registry `toml:"registry" doc:"how the list of workers behaves"`
	Conn     Conn     `toml:"connection" doc:"connections to workers"`
	Probe    Probe    `toml:"probe" doc:"probes and load reports"`
	Limits   Limits   `toml:"limits" doc:"what one sidecar may use"`
	Rules    Rules    `toml:"rules" doc:"figures of the rules"`
	Goal     Goal     `toml:"goal" doc:"how a day's figure is put together"`
	Faults   []Fault  `toml:"fault" doc:"what goes wrong, and when; faults overlap freely"`
}

// Kind is a kind of machine.
type Kind struct {
	Name      string        `toml:"name" required:"true" doc:"name of the kind"`
	Share     float64       `toml:"share" default:"1" range:"0.001.." doc:"weight of this kind in the fleet"`
	Cores     int           `toml:"cores" default:"1" range:"1..256" doc:"cores"`
	Speed     float64       `toml:"speed" default:"1" range:"0.01..100" doc:"work a core does in a second, in seconds of standard work"`
	SpeedCV   float64       `toml:"speed_cv" default:"0.1" range:"0..1" doc:"spread of speeds, standard deviation over mean"`
	Slots     int           `toml:"slots" default:"1" range:"1..1000" doc:"calls in work at once, a core"`
	Queue     int           `toml:"queue" default:"16" range:"0..100000" doc:"calls waiting, a core; more are turned away"`
	CrowdAt   float64       `toml:"crowd_at" default:"10" range:"1.." doc:"calls held a core from which efficiency falls"`
	Crowd     float64       `toml:"crowd" default:"0.02" range:"0..10" doc:"loss of efficiency for each call held beyond that, a core"`
	ColdFrom  float64       `toml:"cold_from" default:"0.2" range:"0.01..1" doc:"share of its capacity that a machine starts with"`
	ColdTime  time.Duration `toml:"cold_time" default:"12s" range:"0s..1h" doc:"time after which it is warm at the latest"`
	WarmBy    string        `toml:"warm_by" default:"requests" oneof:"requests time" doc:"whether work done warms it sooner"`
	ErrorRate float64       `toml:"error_rate" default:"0" range:"0..1" doc:"share of calls answered with an error"`
	Cancel    string        `toml:"cancel" default:"none" oneof:"none stop" doc:"what a closed connection does to its work: nothing, or it stops"`
}

// Class is a class of calls.
type Class struct {
	Name      string        `toml:"name" required:"true" doc:"name; first part of the path"`
	Share     float64       `toml:"share" default:"1" range:"0.001.." doc:"weight of this class among the calls"`
	Work      time.Duration `toml:"work" default:"100ms" range:"10us..1m" doc:"mean work on a standard core"`
	WorkCV    float64       `toml:"work_cv" default:"0.6" range:"0..5" doc:"spread of the work, log-normal"`
	Aim       time.Duration `toml:"aim" default:"1s" range:"1ms..1h" doc:"an answer within this earns the full worth"`
	Deadline  time.Duration `toml:"deadline" default:"3s" range:"1ms..1h" doc:"the client's whole patience"`
	Worth     float64       `toml:"worth" default:"1" range:"0.." doc:"worth of a call"`
	LateWorth float64       `toml:"late_worth" default:"0.25" range:"0..1" doc:"share of the worth that a late answer earns"`
	Effect    string        `toml:"effect" required:"true" oneof:"safe keyed unsafe" doc:"whether a call may run again"`
	Group     string        `toml:"group" default:"zone" oneof:"all zone cell" doc:"keyed: which workers drop a repeat"`
	Window    time.Duration `toml:"window" default:"12s" range:"1ms..1h" doc:"keyed: how long they drop it"`
}

// Clients is what clients do.
type Clients struct {
	Load     float64       `toml:"load" default:"0.5" range:"0.01..5" doc:"work asked for over what the warm fleet can do"`
	Rate     float64       `toml:"rate" default:"0" range:"0..100000" doc:"calls a second in all; above 0 it replaces load"`
	Shape    string        `toml:"shape" default:"steady" oneof:"steady bursty heavy" doc:"arrivals: Poisson; Poisson with bursts; heavy-tailed gaps"`
	Swing    float64       `toml:"swing" default:"0.3" range:"0..0.95" doc:"bursty: how far the rate swings"`
	Skew     float64       `toml:"skew" default:"0.5" range:"0..3" doc:"how unevenly calls fall on the sidecars, 0: evenly"`
	Retries  int           `toml:"retries" default:"2" range:"0..10" doc:"tries after the first"`
	TryShare float64       `toml:"try_share" default:"0.6" range:"0.05..1" doc:"a try is given up after this share of the deadline"`
	Backoff  time.Duration `toml:"backoff" default:"100ms" range:"1ms..1m" doc:"wait before the first retry, doubled each time"`
	Honour   float64       `toml:"honour" default:"0.5" range:"0..1" doc:"share of clients that heed Retry-After"`
	Leave    float64       `toml:"leave" default:"0.01" range:"0..1" doc:"share of tries whose client closes its connection early"`
	Long     float64       `toml:"long" default:"0" range:"0..1" doc:"share of the calls with a body whose body is longer than a sidecar holds"`
	Marks    bool          `toml:"marks_retry" default:"false" doc:"clients mark their retries"`
}

// Delay is the network's.
type Delay struct {
	Same   time.Duration `toml:"same" default:"200us" range:"0s..1s" doc:"within a hall"`
	Cross  time.Duration `toml:"cross" default:"600us" range:"0s..1s" doc:"between halls"`
	Jitter float64       `toml:"jitter" default:"0.2" range:"0..2" doc:"spread, exponential tail over the mean"`
}

// Registry is how the list behaves.
type Registry struct {
	Pushed   bool          `toml:"pushed" default:"false" doc:"an agent beside each sidecar holds the list: what it has counts as told, it answers at once, and is silent while the registry is down"`
	Notice   time.Duration `toml:"notice" default:"1s" range:"0s..1m" doc:"from a process's start, drain or end to the list"`
	Silent   time.Duration `toml:"silent_notice" default:"6s" range:"0s..5m" doc:"the same for a machine that falls silent"`
	Capacity float64       `toml:"capacity" default:"50" range:"0.1..100000" doc:"calls a second that it handles, in turn"`
	Timeout  time.Duration `toml:"timeout" default:"1s" range:"1ms..1m" doc:"a call that waits longer fails"`
	Clock    time.Duration `toml:"clock" default:"0s" range:"-24h..24h" doc:"by how much the sidecars' wall clocks are ahead of the registry's"`
}

// Conn is what connections to workers cost.
type Conn struct {
	Handshake time.Duration `toml:"handshake" default:"1ms" range:"0s..1s" doc:"work for a worker, and time for the first call"`
	Most      int           `toml:"most" default:"600" range:"1..100000" doc:"connections that a worker holds; more are reset"`
	Idle      time.Duration `toml:"idle_close" default:"5s" range:"100ms..1h" doc:"a worker closes a connection idle for this long"`
	Connect   time.Duration `toml:"connect_timeout" default:"250ms" range:"1ms..1m" doc:"sidecars give up connecting after this"`
}

// Probe is what probes cost and reports say.
type Probe struct {
	Work   time.Duration `toml:"work" default:"200us" range:"0s..1s" doc:"work of one probe"`
	Period time.Duration `toml:"period" default:"700ms" range:"1ms..1m" doc:"how often a load report is made anew"`
	Noise  float64       `toml:"noise" default:"0.03" range:"0..1" doc:"spread of its figures"`
}

// Limits is what one sidecar may use.
type Limits struct {
	Cores   float64     `toml:"cores" default:"1" range:"0.01..64" doc:"cores that it is told of"`
	Memory  config.Size `toml:"memory" default:"192MiB" range:"8MiB.." doc:"resident memory; more is a crash"`
	Sockets int         `toml:"sockets" default:"1024" range:"40..1000000" doc:"descriptors"`
}

// Rules holds the rules' figures.
type Rules struct {
	AnswerSlack  time.Duration `toml:"answer_slack" default:"70ms" range:"0s..10s" doc:"after a client's give-up, an answer still counts as given"`
	DrainGrace   time.Duration `toml:"drain_grace" default:"750ms" range:"0s..1m" doc:"after which nothing new may reach a worker told to drain"`
	DrainSlack   time.Duration `toml:"drain_slack" default:"50ms" range:"0s..10s" doc:"allowance of sockets on top of the grace"`
	FallMultiple float64       `toml:"fall_multiple" default:"2.5" range:"1.." doc:"a cold worker sent more than this times its capacity falls over"`
	FallTime     time.Duration `toml:"fall_time" default:"1s" range:"10ms..1m" doc:"measured over this long"`
	FallChance   time.Duration `toml:"fall_chance" default:"400ms" range:"0s..1m" doc:"work let pass on top: calls are whole and their work is chance"`
	Copies       bool          `toml:"second_copies" default:"false" doc:"two delegations of a call may be out together"`
	MaxAttempts  int           `toml:"max_attempts" default:"3" range:"1..100" doc:"delegations of one call"`
	MaxRetry     time.Duration `toml:"max_retry_after" default:"1500ms" range:"0s..1m" doc:"the longest Retry-After that clients heed"`
}

// Goal is how a day's figure is made.
type Goal struct {
	Whole      float64 `toml:"whole" default:"0.3" range:"0..1" doc:"weight of the whole day"`
	Worst      float64 `toml:"worst_window" default:"0.5" range:"0..1" doc:"weight of the worst 10 s"`
	WorstClass float64 `toml:"worst_class" default:"0.2" range:"0..1" doc:"weight of the worst class"`
	Cross      float64 `toml:"price_cross" default:"0.06" range:"0..1" doc:"price of crossing halls once a call"`
	Waste      float64 `toml:"price_waste" default:"0.02" range:"0..1" doc:"price of wasting as much work as was asked for"`
	Probe      float64 `toml:"price_probe" default:"0.0081" range:"0..1" doc:"price of one probe a call"`
	LateFail   float64 `toml:"price_late_fail" default:"0.055" range:"0..1" doc:"price of all failing only after their aim"`
}

// Fault is one thing that goes wrong. What a kind needs of the fields is in docs/laboratory.md.
type Fault struct {
	Kind   string        `toml:"kind" required:"true" oneof:"hang silence cut reset hall_loss shrink registry_lag registry_down slow spoil overlong surplus probe_lie rude replace kill term reload watch_silent list_late stop_clients hold flood flood_new_names term_series" doc:"what goes wrong"`
	At     time.Duration `toml:"at" required:"true" range:"0s..1h" doc:"when it begins"`
	Length time.Duration `toml:"length" default:"0s" range:"0s..1h" doc:"how long it lasts; the moments replace, kill, term, term_series, reload and watch_silent have none"`
	Hall   string        `toml:"hall" doc:"the hall that it meets; all where empty"`
	Part   float64       `toml:"part" default:"0" range:"0..1" doc:"share of the workers there (or of the sidecars) that it meets, at least one"`
	Count  int           `toml:"count" default:"0" range:"0..10000" doc:"number of workers or sidecars, in place of part; rude, stop_clients, flood, flood_new_names: connections at each sidecar"`
	Size   float64       `toml:"size" default:"0" range:"0..1000" doc:"slow: speed left over; shrink: share left over; cut, reset, spoil, overlong, surplus: share of answers; term, term_series: calls a second that come on kept connections up to SIGKILL"`
	Extra  time.Duration `toml:"extra" default:"0s" range:"0s..10m" doc:"registry_lag: added delay; shrink: time to drain; replace and kill: time until the next start; list_late: how long an answer is held back; hold: for how long a process is held up each time"`
	With   bool          `toml:"with_sidecars" default:"false" doc:"hall_loss: its sidecars are killed too"`
	Silent bool          `toml:"silent" default:"false" doc:"hall_loss: machines fall silent in place of dying; list_late: what is asked meanwhile, or waits, is never answered"`
}

// Moment tells whether a kind of fault has no length.
func (f *Fault) Moment() bool {
	return slices.Contains([]string{"replace", "kill", "term", "term_series", "reload", "watch_silent"}, f.Kind)
}

// Floods tells whether a kind of fault is a flood, which meets part of the sidecars with count connections at each.
func (f *Fault) Floods() bool { return f.Kind == "flood" || f.Kind == "flood_new_names" }

// Terminates tells whether a kind of fault ends sidecars by SIGTERM.
func (f *Fault) Terminates() bool { return f.Kind == "term" || f.Kind == "term_series" }

// defaultRestart is how long a killed or replaced process takes to come back where the script says nothing.
const defaultRestart = 500 * time.Millisecond

// Restart is how long what a fault of kind replace or kill ends takes to come back.
func (f *Fault) Restart() time.Duration {
	if f.Extra == 0 {
		return defaultRestart
	}
	return f.Extra
}

// Coldest is what settings say of all kinds together: the least share of its capacity that a machine starts with, and
// the longest time in which one warms.
func (s *Scenario) Coldest() (share float64, warm time.Duration) {
	share = 1
	for _, k := range s.Kinds {
		share, warm = min(share, k.ColdFrom), max(warm, k.ColdTime)
	}
	return share, warm
}

// Keys lists the keys of a scenario.
func Keys() []config.Key { return config.Keys(Scenario{}) }

// Load reads a scenario's file.
func Load(path string) (*Scenario, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(path, text)
}

// Parse reads a scenario. The error holds every fault with its place.
func Parse(name string, text []byte) (*Scenario, error) {
	s := &Scenario{}
	f := config.Decode(name, text, s)
	if len(s.Kinds) == 0 {
		s.Kinds = defaults[Kind](`name = "standard"`)
	}
	if len(s.Classes) == 0 {
		s.Classes = defaults[Class](
			"name = \"availability\"\nshare = 0.47\nwork = \"100ms\"\naim = \"600ms\"\neffect = \"safe\"\nlate_worth = 0.2",
			"name = \"booking\"\nshare = 0.43\nwork = \"100ms\"\nworth = 5\neffect = \"unsafe\"\nlate_worth = 0.3",
			"name = \"paid-extra\"\nshare = 0.1\nwork = \"130ms\"\nworth = 10\ndeadline = \"2.5s\"\neffect = \"keyed\"")
	}
	s.check(f)
	if err := f.Err(); err != nil {
		return nil, err
	}
	return s, nil
}

// defaults decodes the built-in items of a list, so that their missing keys get the same defaults as a file's.
func defaults[T any](texts ...string) (out []T) {
	for _, text := range texts {
		var item T
		if err := config.Decode("built-in", []byte(text), &item).Err(); err != nil {
			panic(err)
		}
		out = append(out, item)
	}
	return out
}

// check looks for what no single key shows.
func (s *Scenario) check(f *config.File) {
	if len(s.Halls) == 0 || len(s.Halls) > 32 {
		f.AddError("halls", "1 to 32 names are expected")
	}
	for i, h := range s.Halls {
		if h == "" || strings.ContainsAny(h, ", \t\n=") || slices.Index(s.Halls, h) != i {
			f.AddError(fmt.Sprintf("halls[%d]", i), "%q: a name of its own without spaces, commas or = is expected", h)
		}
	}
	for key, list := range map[string][]float64{"hall_shares": s.Shares, "hall_traffic": s.Traffic} {
		if len(list) > 0 && len(list) != len(s.Halls) {
			f.AddError(key, "%d weights for %d halls", len(list), len(s.Halls))
		}
	}
	names := map[string]bool{}
	for i, k := range s.Kinds {
		if names[k.Name] || strings.ContainsAny(k.Name, ", \t\n=") {
			f.AddError(fmt.Sprintf("kind[%d].name", i), "%q: a name of its own without spaces, commas or = is expected", k.Name)
		}
		names[k.Name] = true
	}
	names = map[string]bool{}
	for i, c := range s.Classes {
		if names[c.Name] || strings.ContainsAny(c.Name, ", /?\t\n=") || strings.HasPrefix(c.Name, "_") {
			f.AddError(fmt.Sprintf("class[%d].name", i), "%q: a name of its own that can be part of a path is expected", c.Name)
		}
		names[c.Name] = true
		if c.Aim > c.Deadline {
			f.AddError(fmt.Sprintf("class[%d].aim", i), "%v is later than the deadline %v", c.Aim, c.Deadline)
		}
	}
	for i := range s.Faults {
		s.checkFault(f, fmt.Sprintf("fault[%d]", i), &s.Faults[i])
	}
}

func (s *Scenario) checkFault(f *config.File, at string, x *Fault) {
	if x.Hall != "" && !slices.Contains(s.Halls, x.Hall) {
		f.AddError(at+".hall", "unknown hall %q; one of %s is expected", x.Hall, strings.Join(s.Halls, ", "))
	}
	if x.At > s.Length {
		f.AddError(at+".at", "%v is after the day's end at %v", x.At, s.Length)
	}
	if x.Moment() && x.Length > 0 {
		f.AddError(at+".length", "a %s has no length", x.Kind)
	}
	if !x.Moment() && x.Length == 0 && x.Kind != "" {
		f.AddError(at+".length", "a %s needs a length above 0", x.Kind)
	}
	if x.Part > 0 && x.Count > 0 && !x.Floods() {
		f.AddError(at+".count", "part and count exclude each other")
	}
	switch x.Kind {
	case "hall_loss":
		if x.Hall == "" {
			f.AddError(at+".hall", "a hall_loss needs a hall")
		}
	case "slow", "cut", "reset", "spoil", "overlong", "surplus", "shrink":
		if x.Size <= 0 || x.Size > 1 {
			f.AddError(at+".size", "%v: a share above 0 and up to 1 is expected", x.Size)
		}
	case "registry_lag":
		if x.Extra <= 0 {
			f.AddError(at+".extra", "the added delay is missing")
		}
	case "hold":
		if x.Extra <= 0 {
			f.AddError(at+".extra", "how long a process is held up is missing")
		}
	case "list_late":
		if !s.Registry.Pushed {
			f.AddError(at+".kind", "a list_late is for lists that are pushed")
		}
		if x.Extra <= 0 && !x.Silent {
			f.AddError(at+".extra", "how long answers are held back is missing")
		}
	}
}
