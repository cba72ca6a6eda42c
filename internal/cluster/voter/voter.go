package voter

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"github.com/hashicorp/raft"

	"burlpass/internal/cluster/api"
	"burlpass/internal/cluster/replica"
	"burlpass/internal/cluster/voter/disk"
	"burlpass/internal/cluster/voter/link"
	"burlpass/internal/record"
)

// Voter is a cluster member with a vote. It implements api.Member.
type Voter struct {
	c         Config
	log       *slog.Logger
	throttled *throttledLog
	disk      *disk.Disk
	fsm       *fsm
	peers     *peers
	clock     *clockHistory
	leases    *leases

	ctx        context.Context // canceled by Close
	cancel     context.CancelFunc
	tasks      sync.WaitGroup
	membership *membership // known to the disk when this voter was opened; nil for none

	startMu sync.Mutex // held while raft is started or stopped, or the cluster's id is set
	admitMu sync.Mutex // held by the leader during one step of adding a voter

	mu           sync.Mutex
	run          *raftRun // nil while raft does not run
	readyTerm    uint64   // term in which this leader has applied everything committed before; 0 for none
	fault        string
	joining      bool // forming or joining the cluster
	closing      bool
	pending      int           // raft futures that are not answered yet
	changed      chan struct{} // closed at the next change of the fields above or of the leader
	loggedLeader string        // identity of the leader logged last
	joinAttempts map[string]joinAttempt
}

var _ api.Member = (*Voter)(nil)

// Open starts a voter on its folder, and returns without waiting for the others. It fails if the configuration is invalid or
// the folder is unusable or belongs to another voter. A damaged disk is not an error: the voter is returned in state
// "failed" and does not take part in consensus.
func Open(ctx context.Context, c Config) (*Voter, error) {
	if err := c.validate(); err != nil {
		return nil, err
	}
	v := &Voter{c: c, log: c.Log, throttled: newThrottledLog(c.Log), clock: &clockHistory{}, leases: newLeases(),
		changed: make(chan struct{}), joinAttempts: map[string]joinAttempt{}}
	v.ctx, v.cancel = context.WithCancel(context.Background())
	v.peers = newPeers(&v.c)
	var err error
	v.disk, err = disk.Open(c.Folder, c.Cluster, c.Name, newRaftLog(v.throttled))
	if err != nil && !errors.Is(err, disk.ErrDamaged) {
		return nil, err
	}
	v.fsm = &fsm{ownIdentity: v.identity(), clock: v.clock, fail: v.fail, onCaughtUp: func() { v.disk.Store.ReleasePreloaded() },
		replica: replica.New(record.New(c.Bounds, c.Domains...), c.Entries, 0)}
	if err == nil {
		err = v.resume(ctx)
	}
	if errors.Is(err, disk.ErrDamaged) {
		v.fail(err)
	} else if err != nil {
		_ = v.Close()
		return nil, err
	}
	return v, nil
}

// resume checks what the disk holds, and starts raft and the background tasks accordingly.
func (v *Voter) resume(ctx context.Context) error {
	stored, err := v.disk.Check()
	if err != nil {
		return err
	}
	if err := ctx.Err(); err != nil {
		return err
	}
	hasState, err := v.disk.HasState()
	if err != nil {
		return err
	}
	v.fsm.setStored(stored)
	id := v.disk.Identity()
	if hasState && id.Cluster == "" {
		return errors.New(v.c.Folder + ": a log without a cluster id: empty the folder, so that this voter joins again")
	}
	if hasState && !id.Voted {
		if v.membership, err = v.readMembership(); err != nil {
			return err
		}
	}
	v.startMu.Lock()
	defer v.startMu.Unlock()
	if id.Cluster != "" && (hasState || !v.c.isFirst()) {
		if err := v.startRaft(nil); err != nil {
			return err
		}
	}
	if !id.Voted {
		v.joining = true
		v.spawn(v.ensureVote)
	}
	v.spawn(v.watchIdentity)
	return nil
}

// spawn runs f in a goroutine, with a context that lasts until Close.
func (v *Voter) spawn(f func(ctx context.Context)) {
	v.tasks.Add(1)
	go func() {
		defer v.tasks.Done()
		f(v.ctx)
	}()
}

func (v *Voter) identity() string { return v.disk.Identity().Identity }

// Mount registers the handlers of the calls between voters.
func (v *Voter) Mount(mux *http.ServeMux) {
	mux.HandleFunc("GET "+link.Path, v.serveRaft)
	mux.HandleFunc("POST /v1/claim", v.serveClaim)
	mux.HandleFunc("POST /v1/join", v.serveJoin)
	mux.HandleFunc("POST /v1/holder", v.serveHolder)
	mux.HandleFunc("POST /v1/propose", v.servePropose)
	mux.HandleFunc("GET /v1/readindex", v.serveReadIndex)
	mux.HandleFunc("GET /v1/clock", v.serveClock)
	mux.HandleFunc("POST /v1/divide", v.serveDivide)
	mux.HandleFunc("GET /v1/term", v.serveTerm)
}

func (v *Voter) serveRaft(w http.ResponseWriter, r *http.Request) {
	if run := v.currentRun(); run != nil {
		run.layer.ServeHTTP(w, r)
		return
	}
	http.Error(w, "this voter takes no part in a cluster now", http.StatusMisdirectedRequest)
}

// notifyChanged wakes all goroutines that wait for a change. The caller holds mu.
func (v *Voter) notifyChanged() {
	close(v.changed)
	v.changed = make(chan struct{})
}

// currentRun returns the running raft instance, or nil if raft does not run.
func (v *Voter) currentRun() *raftRun {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.run
}

// Replica returns the voter's state, or nil while there is none to show. After a failure it still returns the last state.
func (v *Voter) Replica() *replica.Replica {
	if !v.fsm.isVisible() {
		return nil
	}
	return v.fsm.replica
}

// Status returns this voter's identity, its role and the state that it shows.
func (v *Voter) Status() api.Status {
	id := v.disk.Identity()
	s := api.Status{Cluster: id.Cluster, Name: v.c.Name, Role: "voter", Identity: id.Identity, AgeMs: -1, Path: []string{v.c.Name}}
	v.mu.Lock()
	run, joining := v.run, v.joining
	s.Fault = v.fault
	v.mu.Unlock()
	switch {
	case s.Fault != "":
		s.State = "failed"
	case joining && run == nil && v.c.isFirst():
		s.State = "forming"
	case joining || run == nil:
		s.State = "joining"
	default:
		s.State = stateName(run.raft.State())
	}
	if run != nil {
		leaderAddr, _ := run.raft.LeaderWithID()
		s.Leader, _ = link.Split(leaderAddr)
		for _, server := range run.raft.GetConfiguration().Configuration().Servers {
			name, identity := link.Split(server.Address)
			s.Voters = append(s.Voters, api.Voter{Name: name, Identity: identity, Votes: server.Suffrage == raft.Voter})
		}
	}
	if r := v.Replica(); r != nil {
		age, view := v.fsm.age(), r.View() // in this order: the view may be newer than the age says, but not older
		s.Version, s.Hash, s.AgeMs = uint64(view.Version()), view.Hash(), api.Ms(age)
	}
	return s
}

func stateName(s raft.RaftState) string {
	switch s {
	case raft.Leader:
		return "leader"
	case raft.Candidate:
		return "candidate"
	}
	return "follower"
}

const closeTimeout = 2 * time.Second // how long Close waits for pending raft operations

// Close transfers leadership if this voter leads, stops raft and all tasks, and releases the folder. Writes that are not
// answered by then fail with ErrUnknown.
func (v *Voter) Close() error {
	v.mu.Lock()
	if v.closing {
		v.mu.Unlock()
		return nil
	}
	v.closing = true
	run := v.run
	v.notifyChanged()
	v.mu.Unlock()
	if run != nil && run.raft.State() == raft.Leader {
		ctx, cancel := context.WithTimeout(context.Background(), v.c.Timings.Election)
		_ = v.await(ctx, run.raft.LeadershipTransfer())
		cancel()
	}
	v.cancel()
	v.drain(closeTimeout)
	v.startMu.Lock()
	v.stopRaft()
	v.startMu.Unlock()
	v.tasks.Wait()
	v.peers.close()
	return v.disk.Close()
}

// fail ends this voter's part in consensus, because its disk can no longer be trusted or written. It may be called from raft's
// own goroutines, and does not wait for them.
func (v *Voter) fail(err error) { v.failWith("cluster_disk", err) }

// failWith is fail with the event to be logged.
func (v *Voter) failWith(event string, err error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.fault != "" {
		return
	}
	v.log.Error(event, "voter", v.c.Name, "folder", v.c.Folder, "fault", err)
	v.fault = err.Error()
	v.notifyChanged()
	if !v.closing { // Close does the same
		v.spawn(func(context.Context) {
			v.drain(closeTimeout / 4)
			v.startMu.Lock()
			defer v.startMu.Unlock()
			v.stopRaft()
		})
	}
}

// failure returns an error if this voter has failed or is closing.
func (v *Voter) failure() error {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.fault != "" {
		return errors.New("this voter has failed: " + v.fault)
	}
	if v.closing {
		return errors.New("this voter is closing")
	}
	return nil
}

// await waits for a raft future, since futures have no context. Raft's shutdown waits for pending futures, within limits,
// because raft never answers some of them afterwards.
func (v *Voter) await(ctx context.Context, f raft.Future) error {
	v.mu.Lock()
	v.pending++
	v.mu.Unlock()
	answered := make(chan error, 1)
	go func() {
		answered <- f.Error()
		v.mu.Lock()
		v.pending--
		if v.pending == 0 {
			v.notifyChanged()
		}
		v.mu.Unlock()
	}()
	select {
	case err := <-answered:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// drain waits until no future is pending, but at most for the given time.
func (v *Voter) drain(limit time.Duration) {
	timeout := time.After(limit)
	for {
		v.mu.Lock()
		pending, changed := v.pending, v.changed
		v.mu.Unlock()
		if pending == 0 {
			return
		}
		select {
		case <-changed:
		case <-timeout:
			return
		}
	}
}
