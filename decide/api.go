// Package decide makes the decisions of a client-side load balancer that runs as a sidecar beside one client
// process. The caller creates a Balancer with New and passes it one Event after another; Handle returns the
// Actions to carry out. The package reads no clock, starts no goroutine and does no I/O. Times are durations
// on the caller's clock, which must never go back.
//
// This file holds the types of the API. The decisions start in decide.go, which lists the other files.
package decide

import "time"

// ServerID identifies a server. It is opaque: zone, kind or age cannot be derived from it.
type ServerID uint32

// State is the state of a server as listed by discovery.
type State uint8

// States of a server.
const (
	Gone     State = 0
	Draining State = 1
	Ready    State = 2
)

// Server is one entry of the server list.
type Server struct {
	ID      ServerID
	Started time.Duration // when its process last started; 0 means long ago
	Zone    int
	Cell    int
	State   State
	Kind    int
	Nominal float64 // size relative to other servers; Config.Weights defines its meaning
}

// Effect defines whether a request of a class may run more than once.
type Effect uint8

// Effects of a class.
const (
	Safe   Effect = iota // may run any number of times on any server
	Keyed                // repeats are deduplicated inside Group and within Window
	Unsafe               // must not run twice
)

// Group is the set of servers that deduplicates a keyed request.
type Group uint8

// Groups of a keyed class.
const (
	GroupAll Group = iota
	GroupZone
	GroupCell
)

// Class is a class of requests.
type Class struct {
	Aim        time.Duration // latency target: an answer within this time earns the full worth
	AimStretch float64       // the aim is extended by this multiple of the expected work
	Deadline   time.Duration // total time that the client waits, over all its tries
	Worth      float64
	LateWorth  float64 // share of the worth that an answer after the aim earns
	Effect     Effect
	Group      Group
	Window     time.Duration
	Stream     bool
}

// Tenant is a customer with a share of the service.
type Tenant struct {
	Share float64
	Quota float64 // requests per second within its share, over all balancers
}

// Weights defines the meaning of Server.Nominal.
type Weights uint8

// Meanings of Server.Nominal.
const (
	WeightsNone    Weights = iota // always 1
	WeightsNominal                // the registered size
	WeightsRough                  // the approximate size
	WeightsLive                   // size / (1 + requests in progress per core), somewhat out of date
)

// Reports defines how load reports arrive.
type Reports uint8

// Sources of load reports.
const (
	ReportsNone    Reports = iota
	ReportsAnswers         // in outcomes and probe results
	ReportsProbe           // only in probe results
)

// Safety holds the parameters of the four safety rules.
type Safety struct {
	AnswerSlack    time.Duration // how long after the deadline a final answer still counts
	AskWithin      time.Duration // with Subscribe: after so long without a call older changes count as known
	DrainGrace     time.Duration
	FallMultiple   float64       // a server fails if it gets more than this multiple of its present capacity
	OverloadWindow time.Duration // for this time
	StartShare     float64       // a new server has at least this share of its full capacity
	WarmAfter      time.Duration // and the full capacity after this time
}

// maxPropagationDelay is the time after which a balancer has to know of a change that discovery can be
// asked for, whatever failures happen in between.
const maxPropagationDelay = 6 * time.Second

// PropagationLimit is the time within which a balancer has to learn of a change once discovery has it and can
// be reached. After it the change counts as known, whether or not the calls to discovery succeeded.
func (s Safety) PropagationLimit() time.Duration {
	if s.AskWithin > 0 {
		return min(s.AskWithin, maxPropagationDelay)
	}
	return maxPropagationDelay
}

// Limits defines what a deployment permits.
type Limits struct {
	Cancel        bool
	Probe         bool
	PeerMessages  bool
	SecondCopies  bool // two attempts of one request may be open at once
	RetryAfter    bool // clients are sent Action.Wait
	MaxAttempts   int
	MaxRetryAfter time.Duration
}

// Prices are penalties in the evaluation, each multiplied by its share or rate.
type Prices struct {
	CrossZone, Waste, Probe, LateFail, Handshake, Connection float64
}

// Config is the configuration of a Balancer.
type Config struct {
	Zone      int // the balancer's own zone
	Ordinal   int // index of this balancer among Balancers
	Balancers int
	Tick      time.Duration // shortest time between two batches of events

	Classes        []Class
	Tenants        []Tenant
	OverShareWorth float64 // factor on the worth of requests beyond the tenant's share
	WorthByWork    bool    // worth counts per unit of work instead of per request

	Weights            Weights
	Subscribe          bool // discovery answers only when called
	Reports            Reports
	Columns            []string // names of the values in a load report, in order
	ClientsMarkRetries bool
	Safety             Safety
	Limits             Limits
	Prices             Prices
	IdleClose          time.Duration
	ConnectTime        time.Duration
	ConnStreams        int

	Marks bool // also return Mark actions
}

// Status is the result of an attempt or a probe.
type Status uint16

// Results. Full, ConnectFailed and NotRun prove that the server never ran the attempt.
const (
	Errored         Status = 0
	OK              Status = 1
	Full            Status = 2 // the server rejected the request
	TimedOut        Status = 3
	ConnectFailed   Status = 4
	Reset           Status = 5
	Cancelled       Status = 6
	NotRun          Status = 7
	Unreadable      Status = 8 // the answer cannot be parsed; the request has run
	StaleConnection Status = 9 // a reused connection broke: weak evidence against the server; may have run
)

// ListKind defines what a Members event carries.
type ListKind uint8

// Kinds of list.
const (
	ListFull          ListKind = 0
	ListFailed        ListKind = 1 // a Watch, a Fetch or the subscription failed; the old list stays valid
	ListDelta         ListKind = 2
	ListCached        ListKind = 3
	ListSourceChanged ListKind = 4 // the list's source changed; the old list stays valid until the next one
)

// EventKind defines which fields of an Event are set.
type EventKind uint8

// Kinds of event, with the fields that they set.
const (
	Members       EventKind = iota + 1 // List, Servers, Version; Status for ListFailed (TimedOut: no answer)
	Request                            // ID, Key, Class, Tenant, Budget, Work, Repeat, Write, Uploading
	StreamStarted                      // ID, Attempt, Server, Latency: the start of a streamed answer arrived
	Outcome                            // ID, Attempt, Server, Status, Latency, Done, Load, NewConnection
	ClientLeft                         // ID: the client gave up; the request is done
	ProbeResult                        // Server, Status, Latency, Load
	Timer                              // Token
	PeerMessage                        // From, Data
)

// Event is an input of the Balancer. Handle only reads its slices and does not keep them.
type Event struct {
	Kind          EventKind
	List          ListKind
	Status        Status
	Done          bool // the request is done
	Repeat        bool // the client marked this as a retry
	NewConnection bool // a new connection was opened for it
	Write         bool
	Uploading     bool // the client is still sending the body when an attempt starts, for an unknown time
	Class         int
	Tenant        int
	Attempt       int
	From          int
	Server        ServerID
	ID            uint64
	Key           uint64
	Token         uint64
	Version       uint64
	Budget        time.Duration // time until the client gives up this try
	Work          time.Duration // expected work, 0 if unknown
	Latency       time.Duration
	Load          []float32
	Servers       []Server
	Data          []byte
}

// ActionKind defines which fields of an Action are set.
type ActionKind uint8

// Kinds of action, with the fields that they set.
const (
	Send     ActionKind = iota + 1 // ID, Server, Timeout (0: until the client gives up), SendBefore (0: none)
	Refuse                         // ID, Wait: final answer; a retry is harmless
	Fail                           // ID: final answer; the request may have run
	Cancel                         // ID, Attempt
	Probe                          // Server
	Close                          // Server: close idle connections to it
	SetTimer                       // Wait, Token: request a Timer event
	Watch                          // On: subscribe to discovery
	Fetch                          // request the whole list once
	SendPeer                       // To, Data: message to a peer; To < 0 for all
	Log                            // Text: log line for operators
	Mark                           // Server, Text: a change of a server's health state, for traces only
)

// Action is an output of the Balancer, to be carried out at once and in the given order.
type Action struct {
	Kind       ActionKind
	On         bool
	Attempt    int
	To         int
	Server     ServerID
	ID         uint64
	Token      uint64
	Timeout    time.Duration
	SendBefore time.Duration // the attempt must not send its first byte from this time on
	Wait       time.Duration
	Text       string
	Data       []byte
}
