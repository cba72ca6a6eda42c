// Package decide makes the decisions of a client-side load balancer that runs as a sidecar beside one
// calling process. It is plain data in, plain data out: a caller makes a Balancer with New and hands it
// one Event after another; Handle returns the Actions to carry out. The package reads no clock, starts no
// goroutine and does no I/O; time is a Duration on the caller's own clock, which must never go back.
//
// This file is the interface and decides nothing. The decisions begin in decide.go, which names their files.
package decide

import "time"

// ServerID names a server. It is opaque: it tells nothing of the zone, kind or age of a server.
type ServerID uint32

// State is what discovery says of a server.
type State uint8

// The states of a server.
const (
	Gone     State = 0
	Draining State = 1
	Ready    State = 2
)

// Server is one entry of the list of servers.
type Server struct {
	ID      ServerID
	Started time.Duration // when its process last started; 0 means long ago
	Zone    int
	Cell    int
	State   State
	Kind    int
	Nominal float64 // a size to set against other servers' sizes; Config.Weights says what it is worth
}

// Effect says whether a request of a class may run again.
type Effect uint8

// The effects of a class.
const (
	Safe   Effect = iota // may be repeated anywhere at any time
	Keyed                // a repeat is dropped inside Group and within Window
	Unsafe               // must not run twice
)

// Group is the set of servers that drops the repeats of a keyed request.
type Group uint8

// The groups of a keyed class.
const (
	GroupAll Group = iota
	GroupZone
	GroupCell
)

// Class is one class of requests.
type Class struct {
	Aim        time.Duration // an answer within this earns the full worth
	AimStretch float64       // the aim grows by this multiple of the request's own work
	Deadline   time.Duration // the client's whole patience, over all its tries
	Worth      float64
	LateWorth  float64 // share of the worth that an answer after the aim still earns
	Effect     Effect
	Group      Group
	Window     time.Duration
	Stream     bool
}

// Tenant is one customer with a share of the service.
type Tenant struct {
	Share float64
	Quota float64 // requests per second within its share, over all sidecars together
}

// Weights says what Server.Nominal means.
type Weights uint8

// The meanings of Server.Nominal.
const (
	WeightsNone    Weights = iota // always 1
	WeightsNominal                // the registered size
	WeightsRough                  // the size, approximately
	WeightsLive                   // the size over 1 + requests held per core, from a while back
)

// Reports says how load reports reach the sidecar.
type Reports uint8

// The ways of load reports.
const (
	ReportsNone    Reports = iota
	ReportsAnswers         // in outcomes and probe results
	ReportsProbe           // in probe results alone
)

// Safety holds the figures of the four rules.
type Safety struct {
	AnswerSlack  time.Duration // how long after the deadline a final answer still counts
	AskWithin    time.Duration // with Subscribe: silence after which old news counts as told
	DrainGrace   time.Duration
	FallMultiple float64       // a server falls over when sent more than this times its present capacity
	TipAfter     time.Duration // for this long
	StartShare   float64       // a server starts with at least this share of its capacity
	WarmAfter    time.Duration // and is warm within this time
}

// latestTold is when a change counts as told, after discovery had it and could be reached, whatever failed between.
const latestTold = 6 * time.Second

// ToldWithin is the time within which a sidecar has to learn of a change that discovery has and can be asked for: after
// it the change counts as told, whatever became of calls meanwhile.
func (s Safety) ToldWithin() time.Duration {
	if s.AskWithin > 0 {
		return min(s.AskWithin, latestTold)
	}
	return latestTold
}

// Limits is what a deployment permits.
type Limits struct {
	Cancel        bool
	Probe         bool
	Tell          bool
	SecondCopies  bool // two attempts of one request may be out together
	RetryAfter    bool // clients are told Action.Wait
	MaxAttempts   int
	MaxRetryAfter time.Duration
}

// Prices are points taken off the result, each times its share or rate.
type Prices struct {
	CrossZone, Waste, Probe, LateFail, Handshake, Connection float64
}

// Config is what a sidecar is told at its start.
type Config struct {
	Zone      int // the sidecar's own
	Ordinal   int // its number among Balancers
	Balancers int
	Tick      time.Duration // the shortest time between two batches of events

	Classes        []Class
	Tenants        []Tenant
	OverShareWorth float64 // the worth of a request past its tenant's share, as a portion
	WorthByWork    bool    // worth counts for each unit of work, not for each request

	Weights     Weights
	Subscribe   bool // discovery answers only when asked
	Reports     Reports
	Columns     []string // the values of a load report, in order
	MarksRetry  bool
	Safety      Safety
	Limits      Limits
	Prices      Prices
	IdleClose   time.Duration
	ConnectTime time.Duration
	ConnStreams int

	Marks bool // also give Mark actions
}

// Status is how an attempt or a probe ended.
type Status uint16

// The outcomes. Full, ConnectFailed and Moot prove that the attempt never ran.
const (
	Errored       Status = 0
	OK            Status = 1
	Full          Status = 2
	TimedOut      Status = 3
	ConnectFailed Status = 4
	Reset         Status = 5
	Cancelled     Status = 6
	Moot          Status = 7
	Spoilt        Status = 8 // an answer came that nobody can read; what it answers has run
	Stale         Status = 9 // a connection kept from before broke: it says little of the server, and it may have run
)

// ListKind says what a Members event carries.
type ListKind uint8

// The kinds of list.
const (
	ListFull   ListKind = 0
	ListFailed ListKind = 1 // a Watch or Fetch failed or the subscription broke; the old list stays
	ListDelta  ListKind = 2
	ListCached ListKind = 3
	ListMoved  ListKind = 4 // another discovery answers from now on; the old list stays until its own comes
)

// EventKind tells which fields of an Event count.
type EventKind uint8

// The events.
const (
	Members EventKind = iota + 1 // List, Servers, Version; Status with ListFailed: TimedOut where the call found silence
	Request                      // ID, Key, Class, Tenant, Budget, Work, Repeat, Write, Long
	First                        // ID, Attempt, Server, Latency: a streamed answer has begun
	Outcome                      // ID, Attempt, Server, Status, Latency, Done, Load, Fresh
	Left                         // ID: the client gave up, the request is over
	Probed                       // Server, Status, Latency, Load
	Timer                        // Token
	Peer                         // From, Data
)

// Event is something that happened. Slices are only read, and not kept after Handle returns.
type Event struct {
	Kind    EventKind
	List    ListKind
	Status  Status
	Done    bool // the request is over
	Repeat  bool // the client says that this is a further try
	Fresh   bool // a connection was opened for it
	Write   bool
	Long    bool // its message is still being sent when an attempt begins, for nobody knows how long
	Class   int
	Tenant  int
	Attempt int
	From    int
	Server  ServerID
	ID      uint64
	Key     uint64
	Token   uint64
	Version uint64
	Budget  time.Duration // how long until the client gives this try up
	Work    time.Duration // expected work, 0 where unknown
	Latency time.Duration
	Load    []float32
	Servers []Server
	Data    []byte
}

// ActionKind tells which fields of an Action count.
type ActionKind uint8

// The actions.
const (
	Send   ActionKind = iota + 1 // ID, Server, Timeout (0: until the client gives up), Before (no first byte from then on; 0: no such time)
	Refuse                       // ID, Wait: final; trying again is harmless
	Fail                         // ID: final; nothing is promised
	Cancel                       // ID, Attempt
	Probe                        // Server
	Close                        // Server: close idle connections to it
	Wake                         // Wait, Token: ask for a Timer event
	Watch                        // On: subscribe to discovery
	Fetch                        // ask for the whole list once
	Tell                         // To, Data: message to a peer, To < 0 for all
	Log                          // Text: a line for operators
	Mark                         // Server, Text: a change of what is held of a server; for traces alone
)

// Action is something that the caller is to do now, in the order given.
type Action struct {
	Kind    ActionKind
	On      bool
	Attempt int
	To      int
	Server  ServerID
	ID      uint64
	Token   uint64
	Timeout time.Duration
	Before  time.Duration
	Wait    time.Duration
	Text    string
	Data    []byte
}
