// Package observer is a member of the cluster that has no vote: it follows a voter or another observer, shows the state that it
// has, lets others follow it, and hands writes on to the voters. docs/cluster.md has the design.
package observer

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"burlpass/internal/cluster/api"
	"burlpass/internal/cluster/replica"
	"burlpass/internal/logging"
	"burlpass/internal/record"
)

// Source is a member that an observer may follow and hand writes to.
type Source = api.Peer

// Timings of an observer; zero values stand for the defaults.
type Timings struct {
	Wait           time.Duration // that a source may hold a call back; 2 s
	SilenceTimeout time.Duration // beyond Wait after which a source counts as gone; 1 s
	DialTimeout    time.Duration // for a connection; 500 ms
	MaxStaleness   time.Duration // age, beyond one Wait a member of the path, at which another source is looked for; 5 s
	AttemptTimeout time.Duration // for one member to answer a write or a read index; 3 s
	LeaderRecheck  time.Duration // that the leader is followed before others are asked again; 30 s, less by up to a half
	InitialBackoff time.Duration // the first; 50 ms
	MaxBackoff     time.Duration // the longest; 2 s
}

func (t Timings) withDefaults() Timings {
	for _, f := range []struct {
		value    *time.Duration
		fallback time.Duration
	}{
		{&t.Wait, 2 * time.Second}, {&t.SilenceTimeout, time.Second}, {&t.DialTimeout, 500 * time.Millisecond}, {&t.MaxStaleness, 5 * time.Second},
		{&t.AttemptTimeout, 3 * time.Second}, {&t.LeaderRecheck, 30 * time.Second}, {&t.InitialBackoff, 50 * time.Millisecond}, {&t.MaxBackoff, 2 * time.Second},
	} {
		if *f.value <= 0 {
			*f.value = f.fallback
		}
	}
	return t
}

// gone is how long nothing may be heard before an observer says that it is cut off: long enough to find that its source is
// silent and to be taken in by another one.
func (t Timings) cutOffAfter() time.Duration { return t.Wait + 2*t.SilenceTimeout }

// Config of an observer.
type Config struct {
	Cluster string   // the cluster's name in the configuration: a folder belongs to one
	Name    string   // its own, which no other member has
	Addr    string   // where others can follow it, host:port; "": nobody is told
	Sources []Source // the configured ones, the voters
	// Resolve gives the address to connect to; nil: the one that is named.
	Resolve func(name, addr string) string

	Folder  string // where what it shows outlives the process; "": nowhere
	Bounds  record.Bounds
	Domains []record.Domain
	Entries int // kept for followers, 0: the replica's defaults
	Bytes   int

	Via     http.RoundTripper // nil: connections of its own
	Metrics *api.Metrics      // nil: none
	Log     *slog.Logger      // nil: none
	Timings Timings
}

// Observer is a running one. It is safe for concurrent use.
type Observer struct {
	config       Config
	timings      Timings
	log          *slog.Logger
	transport    http.RoundTripper
	ownTransport *http.Transport // via, where nobody gave it
	disk         *disk           // nil without a folder
	state        *replica.Replica

	cancel      context.CancelFunc
	done        chan struct{}
	ready       chan struct{} // closed once there is a state to show
	leaseSource atomic.Int32  // of c.Sources, the one that answered last about leases
	cutOffTimer *time.Timer   // runs out when a cut-off is to be told

	mu          sync.Mutex
	watermark   record.Version // nothing older is shown
	clusterID   string         // its id; "" while none is known
	sourceName  string         // that is followed, "" while there is none
	path        []string       // of the last answer that was taken, with the own name
	sourceLeads bool           // the source led by its last answer
	lastSource  Source         // the source followed last
	freshAt     time.Time      // what is shown was surely the newest then; zero: not known
	lastHeard   time.Time      // the last answer of a source that was followed
	cutOff      bool           // told in the log
	fault       string         // what the disk refuses
	accepted    bool           // an answer has been taken since the start

	// Of the goroutine that follows.
	needFullState bool                 // the next state has to be a whole one
	penalties     map[string]time.Time // sources that failed lately
	salt          uint64               // of the choice among sources of sources
	formatLogged  bool                 // a newer format has been logged since a source was followed last
}

// Open starts an observer. The error is the folder's, in one line with its place: it cannot be used, belongs to another
// cluster or another member, or is in use. The observer lives until Close, or until ctx ends.
func Open(ctx context.Context, config Config) (*Observer, error) {
	if config.Name == "" || len(config.Sources) == 0 {
		return nil, errors.New("observer: a name and at least one source are needed")
	}
	o := &Observer{config: config, timings: config.Timings.withDefaults(), log: config.Log, transport: config.Via, done: make(chan struct{}), ready: make(chan struct{}),
		state: replica.New(record.New(config.Bounds, config.Domains...), config.Entries, config.Bytes), needFullState: true, penalties: map[string]time.Time{}}
	if o.log == nil {
		o.log = logging.Discard()
	}
	if config.Folder != "" {
		if err := o.loadFolder(); err != nil {
			return nil, err
		}
	}
	if o.transport == nil {
		o.ownTransport = api.NewTransport(o.timings.DialTimeout, nil)
		o.transport = o.ownTransport
	}
	ctx, o.cancel = context.WithCancel(ctx)
	o.cutOffTimer = time.AfterFunc(o.timings.cutOffAfter(), o.reportCutOff)
	go func() {
		defer close(o.done)
		o.run(ctx)
	}()
	return o, nil
}

// load takes over what the folder holds.
func (o *Observer) loadFolder() error {
	d, stored, err := openDisk(o.config.Folder, identity{o.config.Cluster, o.config.Name}, o.log)
	if err != nil {
		return err
	}
	o.disk, o.watermark, o.clusterID = d, stored.watermark, stored.id
	if stored.savedState == nil {
		return nil
	}
	if err := stored.restore(o.state); err != nil {
		// Every checksum was right: a state of another program, whose format or kinds are not known here.
		return d.recreate(err)
	}
	o.needFullState = false
	// The clock that only runs on ends with a process; from one to the next there is the wall clock.
	o.freshAt = time.Now().Add(-max(0, time.Since(stored.freshAt)))
	if o.state.View().Version() >= o.watermark {
		close(o.ready)
	}
	return nil
}

// Close ends the observer: it follows nobody from then on, and its folder is free. What it shows stays readable.
func (o *Observer) Close() error {
	o.cancel()
	<-o.done
	o.cutOffTimer.Stop()
	if o.ownTransport != nil {
		o.ownTransport.CloseIdleConnections()
	}
	if o.disk != nil {
		return o.disk.close()
	}
	return nil
}

func (o *Observer) isReady() bool {
	select {
	case <-o.ready:
		return true
	default:
		return false
	}
}

// Replica is what followers are served from; nil while there is no state to show.
func (o *Observer) Replica() *replica.Replica {
	if !o.isReady() {
		return nil
	}
	return o.state
}

// Read gives the state that is shown and its age, or with consistent one that is not older than any write acknowledged before
// the call: api.Member has the errors.
func (o *Observer) Read(ctx context.Context, consistent bool) (record.View, time.Duration, error) {
	if consistent {
		return o.readConsistent(ctx)
	}
	if !o.isReady() {
		return nil, 0, api.ErrNothing
	}
	o.mu.Lock()
	freshAt := o.freshAt
	o.mu.Unlock()
	return o.state.View(), time.Since(freshAt), nil // the state may only be newer than the age
}

// Status is what the observer says of itself.
func (o *Observer) Status() api.Status {
	view, age, err := o.Read(context.Background(), false)
	o.mu.Lock()
	defer o.mu.Unlock()
	st := api.Status{Cluster: o.clusterID, Name: o.config.Name, Role: "observer", AgeMs: -1, Path: o.path, Fault: o.fault, State: o.stateName()}
	if st.Path == nil {
		st.Path = []string{o.config.Name}
	}
	if o.sourceLeads && o.sourceName != "" {
		st.Leader = o.sourceName
	}
	if err == nil {
		st.Version, st.Hash, st.AgeMs = uint64(view.Version()), view.Hash(), api.Ms(age)
	}
	return st
}

// stateName is called under the lock.
func (o *Observer) stateName() string {
	switch {
	case o.fault != "":
		return "failed"
	case o.sourceName != "" && time.Since(o.lastHeard) <= o.timings.cutOffAfter():
		return "following"
	case !o.accepted && !o.cutOff:
		return "joining"
	case time.Since(o.lastHeard) > o.timings.cutOffAfter():
		return "cut_off"
	}
	return "following" // on the way from one source to the next
}

// tellCutOff is called when nothing has been heard for as long as a source may be silent.
func (o *Observer) reportCutOff() {
	o.mu.Lock()
	o.cutOff = true
	freshAt := o.freshAt
	o.mu.Unlock()
	age := int64(-1)
	if !freshAt.IsZero() {
		age = time.Since(freshAt).Milliseconds()
	}
	o.log.Warn("cluster_cut_off", "silence", o.timings.cutOffAfter(), "version", o.state.View().Version(), "age_ms", age)
}
