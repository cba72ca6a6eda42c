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

// Voter is one voter's part in the cluster. It implements api.Member.
type Voter struct {
	c         Config
	log       *slog.Logger
	throttled *throttledLog
	disk      *disk.Disk
	fsm       *fsm
	peers     *peers
	clock     *clockHistory
	leases    *leases

	ctx        context.Context // ends with Close
	cancel     context.CancelFunc
	tasks      sync.WaitGroup
	membership *membership // that the disk knew of when this voter was opened; nil for none

	startMu sync.Mutex // held while raft is started or stopped, or the cluster's id is set
	admitMu sync.Mutex // held by the leader for one step of taking a voter in

	mu           sync.Mutex
	run          *raftRun // nil while raft does not run
	readyTerm    uint64   // the term in which this voter, leading, has applied all that was committed before; 0 for none
	fault        string
	joining      bool // forming or asking to be taken in
	closing      bool
	pending      int           // futures of raft that are not answered yet
	changed      chan struct{} // closed at the next change of what stands above, or of the leader
	loggedLeader string        // the leader that was last logged
	joinAttempts map[string]joinAttempt
}

var _ api.Member = (*Voter)(nil)

// Open starts a voter on its folder, and returns without waiting for the others. An error is one of the configuration or of
// the folder's belonging. A damaged disk is none: the voter is there, its state is failed, and it takes no part.
func Open(ctx context.Context, c Config) (*Voter, error) {
	if err := c.validate(); err != nil {
		return nil, err
	}
	v := &Voter{c: c, log: c.Log, throttled: newThrottledLog(c.Log), clock: &clockHistory{}, leases: newLeases(), changed: make(chan struct{}), joinAttempts: map[string]joinAttempt{}}
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

// begin looks at what the disk holds, and starts what follows from it.
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
		return errors.New(v.c.Folder + ": a log without a cluster's id: empty the folder, so that this voter joins anew")
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

// task runs something for as long as the voter is open.
func (v *Voter) spawn(f func(ctx context.Context)) {
	v.tasks.Add(1)
	go func() {
		defer v.tasks.Done()
		f(v.ctx)
	}()
}

func (v *Voter) identity() string { return v.disk.Identity().Identity }

// Mount puts the calls between voters on the cluster's address.
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

// note wakes whoever waits for a change. It is called under mu.
func (v *Voter) notifyChanged() {
	close(v.changed)
	v.changed = make(chan struct{})
}

func (v *Voter) currentRun() *raftRun {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.run
}

// Replica is nil while there is no state to show. Of a voter that has failed it stays what it was, and ages.
func (v *Voter) Replica() *replica.Replica {
	if !v.fsm.isVisible() {
		return nil
	}
	return v.fsm.replica
}

// Status says who and where this voter is.
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
		age, view := v.fsm.age(), r.View() // in this order: the state may be newer than that, not older
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

const closeTimeout = 2 * time.Second // for what is under way

// Close hands a leadership on, ends what is under way and gives the folder free. Writes that are not answered by then are
// ErrUnknown.
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

// fail ends this voter's part in consensus: what its disk says can no longer be trusted, or it takes no more. It may be called
// from raft's own goroutines, and does not wait for them.
func (v *Voter) fail(err error) { v.failWith("cluster_disk", err) }

// end is fail, logged as another event.
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

// failed gives the fault as an error.
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

// await waits for a future of raft, which itself knows no context. While it is open raft is not shut down, if it can be
// helped: raft forgets some futures then.
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

// drain waits until no future is open, but not for ever.
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
