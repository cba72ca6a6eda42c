package voter

import (
	"context"
	"errors"
	"fmt"

	"github.com/hashicorp/raft"
)

// membership is the newest configuration in a disk's log or snapshot that lists the disk's identity. A voter that asks to be
// taken in sends it, so that the leader can tell an identity that was taken out from one that never was a member: only the
// first may not come in again, since another identity may have its name.
type membership struct {
	Index     uint64 `json:"index"`
	Term      uint64 `json:"term,omitempty"`      // of the entry; 0 where it is known by a snapshot only
	Committed bool   `json:"committed,omitempty"` // a snapshot has it, and snapshots hold nothing else
}

// lastMembership reads it from the log, or from the newest snapshot where the log has none; nil for none. snapshot may be nil.
// Its errors are the log's.
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

// readMembership is lastMembership of this voter's disk.
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

// wasCommitted tells, by the log of a leader all of whose entries up to its barrier are committed, whether a configuration
// was. Where the leader's log begins after it, it counts as committed: an operator can empty the folder of an identity that
// is refused wrongly, and nothing mends a machine displaced by an older disk. Its errors are the log's.
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

// takenOut tells whether an entrant was a member before and is none by what is committed now, and which identity has its name
// ("" for none). Its errors are those of place and of the disk.
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

// replaced ends this voter's part: its identity was taken out, and another may have its name.
func (v *Voter) failReplaced(identity, holder string) {
	by := "nobody"
	if holder != "" {
		by = "the identity " + holder
	}
	v.failWith("cluster_replaced_elsewhere", fmt.Errorf("%s: the identity %s was taken out of the cluster, and %s has the name %q now: "+
		"this voter counts for nothing; empty the folder and restart it, so that it joins anew, or leave it down", v.c.Folder, identity, by, v.c.Name))
}
