package voter

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/hashicorp/raft"

	"burlpass/internal/cluster/voter/link"
)

// A voter that was replaced and comes back with its old disk hears of no leader and is asked by nobody: it counts for nothing,
// and by raft alone would never know why. So a voter that has had its vote and knows of no leader asks who has its name.

// asked is the body of POST /v1/holder.
type asked struct {
	Name     string `json:"name"`
	Identity string `json:"identity"`
}

// stands is its answer, by a configuration that is committed.
type stands struct {
	Cluster string `json:"cluster"`
	Votes   bool   `json:"votes"`            // the identity that was asked for
	Listed  bool   `json:"listed,omitempty"` // it is a member, with a vote or without
	Holder  string `json:"holder,omitempty"` // the identity that has the name; "" for none
}

// watchPlace asks, for as long as the voter is open, whenever no leader is known.
func (v *Voter) watchPlace(ctx context.Context) {
	tick := time.NewTicker(v.c.Timings.Call)
	defer tick.Stop()
	for v.failed() == nil {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		run := v.running()
		if run == nil || !v.disk.Identity().Voted {
			continue
		}
		if _, leader := run.raft.LeaderWithID(); leader == "" {
			v.askPlace(ctx)
		}
	}
}

// askPlace asks one voter after another until the leader's answer is there. Another one's would not do: it may be behind.
func (v *Voter) askPlace(ctx context.Context) {
	id := v.disk.Identity()
	for _, p := range v.c.Voters {
		if p.Name == v.c.Name {
			continue
		}
		within, cancel := context.WithTimeout(ctx, v.c.Timings.Call)
		var now stands
		err := v.peers.call(within, p.Name, http.MethodPost, "/v1/holder", asked{v.c.Name, id.Identity}, &now)
		cancel()
		switch {
		case err != nil || now.Cluster == "":
			continue
		case now.Cluster != id.Cluster:
			v.lines.warn("cluster_another", "voter", v.c.Name, "asked", p.Name, "why",
				fmt.Sprintf("it is of the cluster %s, and the disk here of %s", now.Cluster, id.Cluster))
			continue
		case now.Votes:
			return
		}
		v.replaced(id.Identity, now.Holder)
		return
	}
}

// serveHolder tells who has a voter's name, or hands the call on to the leader.
func (v *Voter) serveHolder(w http.ResponseWriter, r *http.Request) {
	var a asked
	if !decode(w, r, &a) {
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), v.c.Timings.Call)
	defer cancel()
	run, leader := v.leader()
	var now stands
	var err error
	switch {
	case run == nil || leader == "":
		err = errors.New("no leader is known here")
	case leader == v.c.Name:
		now, err = v.place(ctx, run, a)
	case r.Header.Get(hopsHeader) != "":
		err = errNotLeading
	default:
		err = v.peers.handOn(ctx, leader, http.MethodPost, "/v1/holder", a, &now, true)
	}
	if err != nil {
		refuse(w, http.StatusServiceUnavailable, refusal{Refused: err.Error()})
		return
	}
	answer(w, http.StatusOK, now)
}

// place looks at the configuration of a voter that leads. Raft tells the latest one, which may never be committed; what stands
// in the log before a barrier is.
func (v *Voter) place(ctx context.Context, run *running, a asked) (stands, error) {
	if err := v.leads(ctx, run); err != nil {
		return stands{}, err
	}
	term := run.raft.CurrentTerm()
	c := run.raft.GetConfiguration().Configuration()
	if err := v.await(ctx, run.raft.Barrier(v.c.Timings.Call)); err != nil {
		return stands{}, err
	}
	if run.raft.CurrentTerm() != term {
		return stands{}, errNotLeading
	}
	now := stands{Cluster: run.cluster, Votes: votes(c, a.Identity), Listed: listed(c, raft.ServerID(a.Identity))}
	for _, s := range c.Servers {
		if name, identity := link.Split(s.Address); name == a.Name && identity != a.Identity {
			now.Holder = identity
		}
	}
	return now, nil
}
