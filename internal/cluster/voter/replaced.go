package voter

import (
	"context"
	"errors"
	"fmt"

	"github.com/hashicorp/raft"
)

// membership identifies the newest configuration in a disk's log or snapshot that lists the disk's identity. A joining voter
// sends it, so that the leader can tell an identity that was removed from one that never was a member. Only a removed
// identity must not join again, because another identity may have its name.
type membership struct {
	Index     uint64 `json:"index"`
	Term      uint64 `json:"term,omitempty"`      // of the log entry; 0 if only a snapshot has the configuration
	Committed bool   `json:"committed,omitempty"` // known from a snapshot, which holds only committed state
}

// lastMembership finds the membership of an identity in the log, or in the newest snapshot if the log has none. It returns nil
// if there is none. snapshot may be nil. Errors come from reading the log.
func lastMembership(log raft.LogStore, snapshot *raft.SnapshotMeta, identity string) (*membership, error) {
	first, err := log.FirstIndex()
	if err != nil {
		return nil, err
	}
	last, err := log.LastIndex()
	if err != nil {
		return nil, err
	}
	for index := last; index >= first && index > 0; index-- {
		var entry raft.Log
		if err := log.GetLog(index, &entry); err != nil {
			return nil, err
		}
		if entry.Type != raft.LogConfiguration {
			continue
		}
		if isMember(raft.DecodeConfiguration(entry.Data), raft.ServerID(identity)) {
			return &membership{Index: index, Term: entry.Term}, nil
		}
	}
	if snapshot != nil && isMember(snapshot.Configuration, raft.ServerID(identity)) {
		return &membership{Index: snapshot.ConfigurationIndex, Committed: true}, nil
	}
	return nil, nil
}

// readMembership returns the last membership of this voter's disk.
func (v *Voter) readMembership() (*membership, error) {
	snapshots, err := v.disk.Snapshots.List()
	if err != nil {
		return nil, err
	}
	var newest *raft.SnapshotMeta
	if len(snapshots) > 0 {
		newest = snapshots[0]
	}
	return lastMembership(v.disk.Store, newest, v.identity())
}

// wasCommitted reports whether a configuration was committed, according to the log of a leader whose entries up to a barrier
// are all committed. If the leader's log begins after the configuration, it counts as committed: an operator can empty the
// folder of an identity that is refused wrongly, but cannot repair a voter displaced by an older disk. Errors come from
// reading the log.
func wasCommitted(log raft.LogStore, m *membership) (bool, error) {
	if m.Committed {
		return true, nil
	}
	first, err := log.FirstIndex()
	if err != nil {
		return false, err
	}
	if m.Index < first {
		return true, nil
	}
	var entry raft.Log
	err = log.GetLog(m.Index, &entry)
	if errors.Is(err, raft.ErrLogNotFound) {
		return false, nil
	}
	return err == nil && entry.Term == m.Term, err
}

// wasRemoved reports whether a joining identity was a member before and is none in the committed configuration, and which
// identity has its name now ("" for none).
func (v *Voter) wasRemoved(ctx context.Context, run *raftRun, request joinRequest) (removed bool, holder string, err error) {
	if request.Member == nil {
		return false, "", nil
	}
	current, err := v.lookUpHolder(ctx, run, holderRequest{request.Name, request.Identity})
	if err != nil || current.IsMember {
		return false, "", err
	}
	err = guarded(func() (err error) {
		removed, err = wasCommitted(v.disk.Store, request.Member)
		return err
	})
	return removed, current.Holder, err
}

// failReplaced stops this voter because its identity was removed from the cluster, and another one may have its name.
func (v *Voter) failReplaced(identity, holder string) {
	by := "nobody"
	if holder != "" {
		by = "the identity " + holder
	}
	v.failWith("cluster_replaced_elsewhere", fmt.Errorf("%s: the identity %s was taken out of the cluster, and %s has the name %q now: "+
		"this voter counts for nothing; empty the folder and restart it, so that it joins anew, or leave it down", v.c.Folder, identity, by, v.c.Name))
}
