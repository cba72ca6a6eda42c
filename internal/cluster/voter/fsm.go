package voter

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/hashicorp/raft"

	"burlpass/internal/cluster/api"
	"burlpass/internal/cluster/replica"
	"burlpass/internal/cluster/voter/disk"
	"burlpass/internal/cluster/voter/link"
	"burlpass/internal/record"
)

// fsm is raft's state machine: it applies committed entries to the replica. It also decides when the replica may be shown,
// because a state restored at a restart may be older than the state shown before it.
type fsm struct {
	replica     *replica.Replica
	ownIdentity string // this voter's identity
	clock       *clockHistory
	fail        func(error)
	onCaughtUp  func() // called once everything that was stored at the start is known to be applied

	mu              sync.Mutex
	stored          disk.Contents  // on the disk at the start
	snapshotVersion record.Version // version of the snapshot restored at the start
	restored        bool           // raft has finished restoring its state at the start
	appliedIndex    uint64
	newerTerm       bool // an entry of a later term than the stored ones has been applied
	hasVote         bool // a committed configuration gives this identity a vote
	visible         bool
	applyErr        error
	freshAsOf       time.Time // the applied state was known to be the latest at this time; zero before the first clock entry
}

// applyResult is the response of an entry's raft future.
type applyResult struct {
	result record.Result
	err    error
}

var _ raft.BatchingFSM = (*fsm)(nil)

// setStored sets what the disk holds. It is called before raft starts.
func (f *fsm) setStored(h disk.Contents) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stored = h
}

// started is called once raft has started and restored its snapshot.
func (f *fsm) started() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.restored {
		f.restored = true
		f.updateVisible()
	}
}

// updateVisible decides whether the state may be shown from now on. The caller holds mu.
func (f *fsm) updateVisible() {
	switch {
	case f.visible || !f.restored:
	case f.stored.Last == 0: // an empty disk has shown nothing before, but its empty state may be outdated without a vote
		f.visible = f.hasVote
	default:
		if f.visible = f.newerTerm || f.replica.Version() >= f.snapshotVersion+record.Version(f.stored.Commands); f.visible {
			f.onCaughtUp()
		}
	}
}

func (f *fsm) isVisible() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.visible
}

// votes reports whether the committed configuration gives this identity a vote.
func (f *fsm) votes() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.hasVote
}

// setHasVote records that a snapshot's configuration gives this identity a vote.
func (f *fsm) setHasVote() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hasVote = true
	f.updateVisible()
}

// age returns how long ago the state was known to be the latest. It is unknown until a clock entry proposed since this start
// is applied: across restarts there is only the machine's clock, which may be wrong by any amount.
func (f *fsm) age() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.freshAsOf.IsZero() {
		return time.Since(f.freshAsOf)
	}
	return api.AgeUnknown
}

// Apply implements raft.FSM.
func (f *fsm) Apply(l *raft.Log) any { return f.ApplyBatch([]*raft.Log{l})[0] }

// ApplyBatch implements raft.BatchingFSM. At a start the batches are large, and the replica decodes their entries on all cores.
func (f *fsm) ApplyBatch(logs []*raft.Log) []any {
	responses := make([]any, len(logs))
	f.mu.Lock()
	applyErr := f.applyErr
	f.mu.Unlock()
	var raw [][]byte
	for _, l := range logs {
		if l.Type == raft.LogCommand {
			raw = append(raw, l.Data)
		}
	}
	var results []record.Result
	var err error
	if applyErr == nil {
		results, err = f.replica.ApplyAll(raw)
	}
	next := 0
	for i, l := range logs {
		if l.Type == raft.LogCommand && applyErr == nil {
			if next == len(results) {
				applyErr = fmt.Errorf("entry %d of the log: %w", l.Index, err)
				f.failApply(applyErr)
			} else {
				responses[i] = applyResult{result: results[next]}
				next++
			}
		}
		if applyErr != nil {
			responses[i] = applyResult{err: applyErr}
			continue
		}
		if l.Type != raft.LogCommand {
			responses[i] = applyResult{}
		}
		f.noteApplied(l)
	}
	return responses
}

// noteApplied updates the state that depends on which entries have been applied.
func (f *fsm) noteApplied(l *raft.Log) {
	var readingTime time.Time
	if l.Type == raft.LogCommand {
		readingTime = f.readingTime(l.Data)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if l.Type == raft.LogConfiguration {
		f.hasVote = isVoter(raft.DecodeConfiguration(l.Data), f.ownIdentity)
	}
	f.appliedIndex = l.Index
	f.newerTerm = f.newerTerm || l.Term > f.stored.Term
	if readingTime.After(f.freshAsOf) {
		f.freshAsOf = readingTime
	}
	f.updateVisible()
}

// readingTime returns when this voter took the clock reading in a clock entry, or zero if the entry has none from it. The
// entry was appended after the reading, so everything committed by that time precedes it in the log.
func (f *fsm) readingTime(raw []byte) time.Time {
	if !bytes.Contains(raw, []byte(f.ownIdentity)) {
		return time.Time{}
	}
	e, err := record.Decode(raw)
	if err != nil || e.Clock == nil {
		return time.Time{}
	}
	for _, r := range e.Clock.Readings {
		if r.Voter == f.ownIdentity {
			return f.clock.takenTime(r.Ms)
		}
	}
	return time.Time{}
}

// failApply stops the application of entries and reports the fault.
func (f *fsm) failApply(err error) {
	f.mu.Lock()
	f.applyErr = err
	f.mu.Unlock()
	f.fail(err)
}

// isVoter reports whether an identity has a vote in a configuration.
func isVoter(c raft.Configuration, identity string) bool {
	for _, s := range c.Servers {
		if string(s.ID) == identity {
			return s.Suffrage == raft.Voter
		}
	}
	return false
}

// holder returns the identity that has a name, or "" if there is none, and whether that identity has a vote.
func holder(c raft.Configuration, name string) (identity string, votes bool) {
	for _, s := range c.Servers {
		if n, id := link.Split(s.Address); n == name && (!votes || s.Suffrage == raft.Voter) {
			identity, votes = id, s.Suffrage == raft.Voter
		}
	}
	return identity, votes
}

// Snapshot implements raft.FSM. The returned view is immutable.
func (f *fsm) Snapshot() (raft.FSMSnapshot, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.applyErr != nil {
		return nil, f.applyErr
	}
	return fsmSnapshot{f.replica.View()}, nil
}

// Restore implements raft.FSM.
func (f *fsm) Restore(from io.ReadCloser) error {
	defer from.Close()
	if err := f.replica.Restore(from); err != nil {
		err = fmt.Errorf("a snapshot does not read: %w", err)
		f.failApply(err)
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.restored {
		f.snapshotVersion = f.replica.Version()
	}
	f.updateVisible()
	return nil
}

type fsmSnapshot struct{ view record.View }

// Persist implements raft.FSMSnapshot.
func (s fsmSnapshot) Persist(to raft.SnapshotSink) error {
	if err := record.Save(to, s.view); err != nil {
		return errors.Join(err, to.Cancel())
	}
	return to.Close()
}

// Release implements raft.FSMSnapshot.
func (fsmSnapshot) Release() {}
