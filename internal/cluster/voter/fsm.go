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

// fsm hands what was committed to the replica. It tells when the replica may be shown: a state that a start has brought
// back may be older than what was shown before it.
type fsm struct {
	replica     *replica.Replica
	ownIdentity string // identity
	clock       *clockHistory
	fail        func(error)
	onCaughtUp  func() // is called once what the disk held at the start has been applied, if that is ever known

	mu              sync.Mutex
	stored          disk.Contents // by the disk at the start
	snapshotVersion record.Version
	restored        bool // raft has restored what it restores at its start
	appliedIndex    uint64
	newerTerm       bool // an entry of a later term than the disk held has been applied
	hasVote         bool // this identity has a vote by a committed configuration
	visible         bool
	applyErr        error
	freshAsOf       time.Time // what is applied was surely the newest then; zero where no clock entry has told
}

// applied is what an entry's future answers.
type applyResult struct {
	result record.Result
	err    error
}

var _ raft.BatchingFSM = (*fsm)(nil)

// hold says what the disk held, before raft starts.
func (f *fsm) setStored(h disk.Contents) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stored = h
}

// started says that raft has started on what the disk held.
func (f *fsm) started() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.restored {
		f.restored = true
		f.updateVisible()
	}
}

// look decides whether the state may be shown from now on. It is called under mu.
func (f *fsm) updateVisible() {
	switch {
	case f.visible || !f.restored:
	case f.stored.Last == 0: // nothing was shown by this disk, and an empty state is old where a cluster has one
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

// voter tells whether this identity has a vote by what was committed.
func (f *fsm) votes() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.hasVote
}

// arrive says that this identity has a vote by a snapshot.
func (f *fsm) setHasVote() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hasVote = true
	f.updateVisible()
}

// age tells how long ago the state was surely the newest. It is unknown until a clock entry of this start has told: between two
// starts there is only the machine's clock, which may be wrong by any time.
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

// ApplyBatch implements raft.BatchingFSM. At a start the batches are large, and their entries are decoded on all cores.
func (f *fsm) ApplyBatch(logs []*raft.Log) []any {
	answers := make([]any, len(logs))
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
	taken := 0
	for i, l := range logs {
		if l.Type == raft.LogCommand && applyErr == nil {
			if taken == len(results) {
				applyErr = fmt.Errorf("entry %d of the log: %w", l.Index, err)
				f.failApply(applyErr)
			} else {
				answers[i] = applyResult{result: results[taken]}
				taken++
			}
		}
		if applyErr != nil {
			answers[i] = applyResult{err: applyErr}
			continue
		}
		if l.Type != raft.LogCommand {
			answers[i] = applyResult{}
		}
		f.noteApplied(l)
	}
	return answers
}

// after takes note of an entry that has been applied.
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

// told is when this voter's clock gave the reading that an entry has of it; zero where it has none. What was committed by then
// comes before that entry, for it was appended later.
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

func (f *fsm) failApply(err error) {
	f.mu.Lock()
	f.applyErr = err
	f.mu.Unlock()
	f.fail(err)
}

func isVoter(c raft.Configuration, identity string) bool {
	for _, s := range c.Servers {
		if string(s.ID) == identity {
			return s.Suffrage == raft.Voter
		}
	}
	return false
}

// holder gives the identity that has a name, and whether it votes; "" for none.
func holder(c raft.Configuration, name string) (identity string, votes bool) {
	for _, s := range c.Servers {
		if n, id := link.Split(s.Address); n == name && (!votes || s.Suffrage == raft.Voter) {
			identity, votes = id, s.Suffrage == raft.Voter
		}
	}
	return identity, votes
}

// Snapshot implements raft.FSM: the view does not change any more.
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
