package voter

import (
	"context"
	"errors"
	"fmt"
	"net/http"

	"github.com/hashicorp/raft"

	"burlpass/internal/cluster/voter/disk"
	"burlpass/internal/cluster/voter/link"
)

// entrant is the body of POST /v1/join: a voter without a vote asks for one. It repeats that until it has it.
type entrant struct {
	ClusterName string `json:"cluster_name"`
	Listed      string `json:"listed"`
	Name        string `json:"name"`
	Identity    string `json:"identity"`
	Cluster     string `json:"cluster"` // the id that it has kept, "" for none
	// Member is what its disk knew of its own membership when it started; nil for nothing.
	Member *membership `json:"member,omitempty"`
}

// taken is its answer.
type taken struct {
	Cluster string `json:"cluster"` // the id to be kept before anything else
	Votes   bool   `json:"votes"`
	Said    string `json:"said,omitempty"`
	// Replaced says that the entrant was a member and was taken out: it never comes in again.
	Replaced bool   `json:"replaced,omitempty"`
	Holder   string `json:"holder,omitempty"` // then, the identity that has its name; "" for none
}

// attempt is how far the leader is with an entrant.
type attempt struct {
	term uint64
	last uint64 // the log's end when the entrant asked last
}

// askJoin asks one voter after another, from the one that answered last on, and gives the name of the one that has.
func (v *Voter) askJoin(ctx context.Context, from string) string {
	id := v.disk.Identity()
	ask := entrant{ClusterName: v.c.Cluster, Listed: v.c.listed(), Name: v.c.Name, Identity: id.Identity, Cluster: id.Cluster, Member: v.member}
	begin := 0
	for i, p := range v.c.Voters {
		if p.Name == from {
			begin = i
		}
	}
	for i := range v.c.Voters {
		p := v.c.Voters[(begin+i)%len(v.c.Voters)]
		if p.Name == v.c.Name {
			continue
		}
		within, cancel := context.WithTimeout(ctx, 2*v.c.Timings.Call)
		var t taken
		err := v.peers.call(within, p.Name, http.MethodPost, "/v1/join", ask, &t)
		cancel()
		if err != nil {
			v.lines.warn("cluster_not_joined", "voter", v.c.Name, "asked", p.Name, "why", err)
			continue
		}
		if t.Replaced && t.Cluster == id.Cluster {
			v.replaced(id.Identity, t.Holder)
			return p.Name
		}
		// Also where the id is kept already: the first voter, started again before it held an entry, does not run raft yet.
		if (t.Cluster != id.Cluster || v.running() == nil) && disk.ValidID(t.Cluster) {
			v.starts.Lock()
			fresh, err := v.belong(t.Cluster, nil)
			v.starts.Unlock()
			if err == nil && !fresh && t.Cluster != id.Cluster {
				v.lines.warn("cluster_not_joined", "voter", v.c.Name, "asked", p.Name, "why", "the disk here holds the state of another cluster, "+id.Cluster)
			}
		}
		return p.Name
	}
	return ""
}

// serveJoin takes a voter in, one step a call, or hands the call on to the leader.
func (v *Voter) serveJoin(w http.ResponseWriter, r *http.Request) {
	var e entrant
	if !decode(w, r, &e) {
		return
	}
	why := ""
	switch {
	case e.ClusterName != v.c.Cluster:
		why = fmt.Sprintf("the cluster here is %q", v.c.Cluster)
	case e.Listed != v.c.listed():
		why = "the voters are others here, or in another order"
	case v.c.address(e.Name) == "" || !disk.ValidID(e.Identity):
		why = fmt.Sprintf("%q with the identity %.40q is no voter of the configuration", e.Name, e.Identity)
	case e.Name == v.c.Name:
		why = "that is my own name"
	}
	if why != "" {
		refuse(w, http.StatusConflict, refusal{Refused: why})
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), 2*v.c.Timings.Call)
	defer cancel()
	run, leader := v.leader()
	if run == nil || leader == "" {
		refuse(w, http.StatusServiceUnavailable, refusal{Refused: "no leader is known here"})
		return
	}
	var t taken
	var err error
	switch {
	case leader == v.c.Name:
		t, err = v.admit(ctx, run, e)
	case r.Header.Get(hopsHeader) != "":
		err = errors.New("not the leader")
	default:
		err = v.peers.handOn(ctx, leader, http.MethodPost, "/v1/join", e, &t, true)
	}
	if err != nil {
		refuse(w, http.StatusServiceUnavailable, refusal{Refused: err.Error()})
		return
	}
	answer(w, http.StatusOK, t)
}

// admit goes one step: the entrant learns the cluster's id; it gets the log without a vote; once it has it, the identity that
// had its name goes and it gets the vote. Each step can be taken again, also by the next leader.
func (v *Voter) admit(ctx context.Context, run *running, e entrant) (taken, error) {
	if !v.admits.TryLock() {
		return taken{}, errors.New("another voter is being taken in")
	}
	defer v.admits.Unlock()
	t := taken{Cluster: run.cluster}
	if e.Cluster != run.cluster {
		t.Said = "keep the cluster's id and ask again"
		return t, nil
	}
	if err := v.leads(ctx, run); err != nil {
		return t, err
	}
	c := run.raft.GetConfiguration().Configuration()
	if votes(c, e.Identity) {
		t.Votes = true
		return t, nil
	}
	var at told
	if err := v.peers.call(ctx, e.Name, http.MethodGet, "/v1/clock", nil, &at); err != nil {
		return t, fmt.Errorf("you do not answer at %s: %w", v.c.address(e.Name), err)
	}
	if at.Identity != e.Identity || at.Cluster != run.cluster {
		return t, fmt.Errorf("at %s answers the identity %.40q of the cluster %.40q", v.c.address(e.Name), at.Identity, at.Cluster)
	}
	if out, holder, err := v.takenOut(ctx, run, e); err != nil || out {
		t.Replaced, t.Holder = out, holder
		return t, err
	}
	end := run.raft.LastIndex()
	before, known := v.attempt(e.Identity, attempt{term: run.raft.CurrentTerm(), last: end})
	for _, s := range c.Servers {
		name, identity := link.Split(s.Address)
		if name == e.Name && identity != e.Identity && s.Suffrage != raft.Voter { // left over from an earlier try
			if err := v.await(ctx, run.raft.RemoveServer(s.ID, 0, v.c.Timings.Call)); err != nil {
				return t, err
			}
		}
	}
	if id := raft.ServerID(e.Identity); !listed(c, id) {
		t.Said = "you get the log"
		return t, v.await(ctx, run.raft.AddNonvoter(id, link.Address(e.Name, e.Identity), 0, v.c.Timings.Call))
	}
	if !known || at.Applied < before.last {
		t.Said = fmt.Sprintf("you have applied %d of %d", at.Applied, end)
		return t, nil
	}
	return v.vote(ctx, run, c, e, t)
}

// vote is the last step of admit.
func (v *Voter) vote(ctx context.Context, run *running, c raft.Configuration, e entrant, t taken) (taken, error) {
	old, voted := holder(c, e.Name)
	if voted {
		if err := v.await(ctx, run.raft.RemoveServer(raft.ServerID(old), 0, v.c.Timings.Call)); err != nil {
			return t, err
		}
	}
	err := v.await(ctx, run.raft.AddVoter(raft.ServerID(e.Identity), link.Address(e.Name, e.Identity), 0, v.c.Timings.Call))
	if err != nil {
		return t, err
	}
	v.mu.Lock()
	delete(v.tried, e.Identity)
	v.mu.Unlock()
	if !voted {
		old = "none"
	}
	v.log.Info("cluster_replaced", "voter", e.Name, "old", old, "new", e.Identity)
	t.Votes = true
	return t, nil
}

const mostTried = 16

// attempt gives how the entrant stood when it asked last in this term, and keeps how it stands now.
func (v *Voter) attempt(identity string, now attempt) (attempt, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	before, ok := v.tried[identity]
	if len(v.tried) >= mostTried {
		clear(v.tried)
	}
	v.tried[identity] = now
	return before, ok && before.term == now.term
}

func listed(c raft.Configuration, id raft.ServerID) bool {
	for _, s := range c.Servers {
		if s.ID == id {
			return true
		}
	}
	return false
}
