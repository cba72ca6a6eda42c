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
	c      Config
	log    *slog.Logger
	lines  *sparse
	disk   *disk.Disk
	fsm    *fsm
	peers  *peers
	clocks *clocks
	leases *leases

	ctx    context.Context // ends with Close
	cancel context.CancelFunc
	tasks  sync.WaitGroup
	member *membership // that the disk knew of when this voter was opened; nil for none

	starts sync.Mutex // held while raft is started or stopped, or the cluster's id is set
	admits sync.Mutex // held by the leader for one step of taking a voter in

	mu      sync.Mutex
	run     *running // nil while raft does not run
	ready   uint64   // the term in which this voter, leading, has applied all that was committed before; 0 for none
	fault   string
	joining bool // forming or asking to be taken in
	closing bool
	open    int           // futures of raft that are not answered yet
	changed chan struct{} // closed at the next change of what stands above, or of the leader
	noted   string        // the leader that was last logged
	tried   map[string]attempt
}

var _ api.Member = (*Voter)(nil)

// Open starts a voter on its folder, and returns without waiting for the others. An error is one of the configuration or of
// the folder's belonging. A damaged disk is none: the voter is there, its state is failed, and it takes no part.
func Open(ctx context.Context, c Config) (*Voter, error) {
	if err := c.check(); err != nil {
		return nil, err
	}
	v := &Voter{c: c, log: c.Log, lines: newSparse(c.Log), clocks: &clocks{}, leases: newLeases(), changed: make(chan struct{}), tried: map[string]attempt{}}
	v.ctx, v.cancel = context.WithCancel(context.Background())
	v.peers = newPeers(&v.c)
	var err error
	v.disk, err = disk.Open(c.Folder, c.Cluster, c.Name, newRaftLog(v.lines))
	if err != nil && !errors.Is(err, disk.ErrDamaged) {
		return nil, err
	}
	v.fsm = &fsm{own: v.identity(), clocks: v.clocks, fail: v.fail, caught: func() { v.disk.Store.Release() },
		replica: replica.New(record.New(c.Bounds, c.Domains...), c.Entries, 0)}
	if err == nil {
		err = v.begin(ctx)
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
func (v *Voter) begin(ctx context.Context) error {
	held, err := v.disk.Check()
	if err != nil {
		return err
	}
	if err := ctx.Err(); err != nil {
		return err
	}
	state, err := v.disk.HasState()
	if err != nil {
		return err
	}
	v.fsm.hold(held)
	id := v.disk.Identity()
	if state && id.Cluster == "" {
		return errors.New(v.c.Folder + ": a log without a cluster's id: empty the folder, so that this voter joins anew")
	}
	if state && !id.Voted {
		if v.member, err = v.readMembership(); err != nil {
			return err
		}
	}
	v.starts.Lock()
	defer v.starts.Unlock()
	if id.Cluster != "" && (state || !v.c.first()) {
		if err := v.start(nil); err != nil {
			return err
		}
	}
	if !id.Voted {
		v.joining = true
		v.task(v.attend)
	}
	v.task(v.watchPlace)
	return nil
}

// task runs something for as long as the voter is open.
func (v *Voter) task(f func(ctx context.Context)) {
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
	if run := v.running(); run != nil {
		run.layer.ServeHTTP(w, r)
		return
	}
	http.Error(w, "this voter takes no part in a cluster now", http.StatusMisdirectedRequest)
}

// note wakes whoever waits for a change. It is called under mu.
func (v *Voter) note() {
	close(v.changed)
	v.changed = make(chan struct{})
}

func (v *Voter) running() *running {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.run
}

// Replica is nil while there is no state to show. Of a voter that has failed it stays what it was, and ages.
func (v *Voter) Replica() *replica.Replica {
	if !v.fsm.shows() {
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
	case joining && run == nil && v.c.first():
		s.State = "forming"
	case joining || run == nil:
		s.State = "joining"
	default:
		s.State = stateName(run.raft.State())
	}
	if run != nil {
		at, _ := run.raft.LeaderWithID()
		s.Leader, _ = link.Split(at)
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

const endWithin = 2 * time.Second // for what is under way

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
	v.note()
	v.mu.Unlock()
	if run != nil && run.raft.State() == raft.Leader {
		ctx, cancel := context.WithTimeout(context.Background(), v.c.Timings.Election)
		_ = v.await(ctx, run.raft.LeadershipTransfer())
		cancel()
	}
	v.cancel()
	v.drain(endWithin)
	v.starts.Lock()
	v.stop()
	v.starts.Unlock()
	v.tasks.Wait()
	v.peers.close()
	return v.disk.Close()
}

// fail ends this voter's part in consensus: what its disk says can no longer be trusted, or it takes no more. It may be called
// from raft's own goroutines, and does not wait for them.
func (v *Voter) fail(err error) { v.end("cluster_disk", err) }

// end is fail, logged as another event.
func (v *Voter) end(event string, err error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.fault != "" {
		return
	}
	v.log.Error(event, "voter", v.c.Name, "folder", v.c.Folder, "fault", err)
	v.fault = err.Error()
	v.note()
	if !v.closing { // Close does the same
		v.task(func(context.Context) {
			v.drain(endWithin / 4)
			v.starts.Lock()
			defer v.starts.Unlock()
			v.stop()
		})
	}
}

// failed gives the fault as an error.
func (v *Voter) failed() error {
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
	v.open++
	v.mu.Unlock()
	answered := make(chan error, 1)
	go func() {
		answered <- f.Error()
		v.mu.Lock()
		v.open--
		if v.open == 0 {
			v.note()
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
func (v *Voter) drain(most time.Duration) {
	end := time.After(most)
	for {
		v.mu.Lock()
		open, changed := v.open, v.changed
		v.mu.Unlock()
		if open == 0 {
			return
		}
		select {
		case <-changed:
		case <-end:
			return
		}
	}
}
