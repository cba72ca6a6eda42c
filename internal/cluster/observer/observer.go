// Package observer implements a cluster member without a vote. It follows a voter or another observer, serves the replicated
// state, can be followed itself and forwards writes to the voters. docs/cluster.md describes the design.
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

// Source is a member that an observer may follow and forward writes to.
type Source = api.Peer

// Timings configures the timeouts and intervals of an observer. Zero values select the defaults.
type Timings struct {
	Wait           time.Duration // how long a source may hold a call back; 2 s
	SilenceTimeout time.Duration // time beyond Wait after which a silent source is given up; 1 s
	DialTimeout    time.Duration // 500 ms
	MaxStaleness   time.Duration // age, plus one Wait per member of the path, above which another source is sought; 5 s
	AttemptTimeout time.Duration // for one member to answer a write or a read index; 3 s
	LeaderRecheck  time.Duration // how long the leader is followed before other members are tried again; 30 s, reduced by up to half at random
	InitialBackoff time.Duration // 50 ms
	MaxBackoff     time.Duration // 2 s
}

// withDefaults replaces zero values by the defaults.
func (t Timings) withDefaults() Timings {
	for _, f := range []struct {
		value    *time.Duration
		fallback time.Duration
	}{
		{&t.Wait, 2 * time.Second}, {&t.SilenceTimeout, time.Second}, {&t.DialTimeout, 500 * time.Millisecond},
		{&t.MaxStaleness, 5 * time.Second}, {&t.AttemptTimeout, 3 * time.Second},
		{&t.LeaderRecheck, 30 * time.Second}, {&t.InitialBackoff, 50 * time.Millisecond}, {&t.MaxBackoff, 2 * time.Second},
	} {
		if *f.value <= 0 {
			*f.value = f.fallback
		}
	}
	return t
}

// cutOffAfter is the silence after which an observer reports that it is cut off. It leaves time to detect that the source is
// silent and to join another one.
func (t Timings) cutOffAfter() time.Duration { return t.Wait + 2*t.SilenceTimeout }

// Config configures an observer.
type Config struct {
	Cluster string   // cluster name in the configuration; a folder belongs to one cluster
	Name    string   // unique among the members
	Addr    string   // where others can follow this observer, host:port; "" to advertise none
	Sources []Source // configured members: the voters
	// Resolve returns the address to connect to; nil uses the given one.
	Resolve func(name, addr string) string

	Folder  string // data folder that keeps the state across restarts; "" for none
	Bounds  record.Bounds
	Domains []record.Domain
	Entries int // retained for followers; 0 means the default of the replica
	Bytes   int

	Via     http.RoundTripper // nil: a new transport
	Metrics *api.Metrics      // nil: none
	Log     *slog.Logger      // nil: none
	Timings Timings
}

// Observer is a running observer. It is safe for concurrent use.
type Observer struct {
	config       Config
	timings      Timings
	log          *slog.Logger
	transport    http.RoundTripper
	ownTransport *http.Transport // set if the configuration has no transport
	disk         *disk           // nil without a data folder
	state        *replica.Replica

	cancel      context.CancelFunc
	done        chan struct{}
	ready       chan struct{} // closed once there is a state to serve
	leaseSource atomic.Int32  // index in config.Sources of the last one that answered a lease request
	cutOffTimer *time.Timer   // fires when the observer is cut off

	mu          sync.Mutex
	watermark   record.Version // no older version is served
	clusterID   string         // "" if unknown
	sourceName  string         // current source; "" if there is none
	path        []string       // of the last accepted response, ending with this observer
	sourceLeads bool           // whether the source was the leader in its last response
	lastSource  Source         // last source followed
	freshAt     time.Time      // when the served state was certainly the newest; zero if unknown
	lastHeard   time.Time      // time of the last response of a followed source
	cutOff      bool           // whether the cut-off was logged
	fault       string         // current disk error
	accepted    bool           // whether a response has been accepted since the start

	// Owned by the goroutine that follows sources.
	needFullState bool                 // whether the next response must be a full state
	penalties     map[string]time.Time // sources by the time of their last failure
	salt          uint64               // varies the choice among alternatives
	formatLogged  bool                 // whether a newer format was logged since a source was last followed
}

// Open starts an observer that runs until Close or until ctx ends. Unless a name or a source is missing, the error concerns the
// data folder, in a single line that names it: it is unusable, in use, or belongs to another cluster or member.
func Open(ctx context.Context, config Config) (*Observer, error) {
	if config.Name == "" || len(config.Sources) == 0 {
		return nil, errors.New("observer: a name and at least one source are required")
	}
	o := &Observer{config: config, timings: config.Timings.withDefaults(), log: config.Log, transport: config.Via,
		done: make(chan struct{}), ready: make(chan struct{}),
		state:         replica.New(record.New(config.Bounds, config.Domains...), config.Entries, config.Bytes),
		needFullState: true, penalties: map[string]time.Time{}}
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

// loadFolder restores the state in the data folder.
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
		// All checksums match, so the state comes from another program version with formats or kinds unknown to this one.
		return d.recreate(err)
	}
	o.needFullState = false
	// The monotonic clock does not outlast the process, so the age across a restart relies on the wall clock.
	o.freshAt = time.Now().Add(-max(0, time.Since(stored.freshAt)))
	if o.state.View().Version() >= o.watermark {
		close(o.ready)
	}
	return nil
}

// Close stops the observer and releases its data folder. The state remains readable.
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

// Replica returns the replica that followers are served from, or nil while there is no state to serve.
func (o *Observer) Replica() *replica.Replica {
	if !o.isReady() {
		return nil
	}
	return o.state
}

// Read returns the local state and its age. A consistent read returns a state that contains every write acknowledged before the
// call. The errors are those of api.Member.
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
	return o.state.View(), time.Since(freshAt), nil // the state is at least as new as the age claims
}

// Status returns the status of the observer.
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

// stateName returns the value of Status.State. The caller must hold the lock.
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
	return "following" // switching sources
}

// reportCutOff records and logs that nothing was received for the time after which an observer counts as cut off.
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
