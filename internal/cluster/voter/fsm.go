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
	replica *replica.Replica
	own     string // identity
	clocks  *clocks
	fail    func(error)
	caught  func() // is called once what the disk held at the start has been applied, if that is ever known

	mu      sync.Mutex
	held    disk.Held // by the disk at the start
	base    record.Version
	running bool // raft has restored what it restores at its start
	index   uint64
	newer   bool // an entry of a later term than the disk held has been applied
	votes   bool // this identity has a vote by a committed configuration
	shown   bool
	broken  error
	newest  time.Time // what is applied was surely the newest then; zero where no clock entry has told
}

// applied is what an entry's future answers.
type applied struct {
	result record.Result
	err    error
}

var _ raft.BatchingFSM = (*fsm)(nil)

// hold says what the disk held, before raft starts.
func (f *fsm) hold(h disk.Held) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.held = h
}

// started says that raft has started on what the disk held.
func (f *fsm) started() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.running {
		f.running = true
		f.look()
	}
}

// look decides whether the state may be shown from now on. It is called under mu.
func (f *fsm) look() {
	switch {
	case f.shown || !f.running:
	case f.held.Last == 0: // nothing was shown by this disk, and an empty state is old where a cluster has one
		f.shown = f.votes
	default:
		if f.shown = f.newer || f.replica.Version() >= f.base+record.Version(f.held.Commands); f.shown {
			f.caught()
		}
	}
}

func (f *fsm) shows() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.shown
}

// voter tells whether this identity has a vote by what was committed.
func (f *fsm) voter() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.votes
}

// arrive says that this identity has a vote by a snapshot.
func (f *fsm) arrive() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.votes = true
	f.look()
}

// age tells how long ago the state was surely the newest. It is unknown until a clock entry of this start has told: between two
// starts there is only the machine's clock, which may be wrong by any time.
func (f *fsm) age() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.newest.IsZero() {
		return time.Since(f.newest)
	}
	return api.AgeUnknown
}

// Apply implements raft.FSM.
func (f *fsm) Apply(l *raft.Log) any { return f.ApplyBatch([]*raft.Log{l})[0] }

// ApplyBatch implements raft.BatchingFSM. At a start the batches are large, and their entries are decoded on all cores.
func (f *fsm) ApplyBatch(logs []*raft.Log) []any {
	answers := make([]any, len(logs))
	f.mu.Lock()
	broken := f.broken
	f.mu.Unlock()
	var raw [][]byte
	for _, l := range logs {
		if l.Type == raft.LogCommand {
			raw = append(raw, l.Data)
		}
	}
	var results []record.Result
	var err error
	if broken == nil {
		results, err = f.replica.ApplyAll(raw)
	}
	taken := 0
	for i, l := range logs {
		if l.Type == raft.LogCommand && broken == nil {
			if taken == len(results) {
				broken = fmt.Errorf("entry %d of the log: %w", l.Index, err)
				f.breaks(broken)
			} else {
				answers[i] = applied{result: results[taken]}
				taken++
			}
		}
		if broken != nil {
			answers[i] = applied{err: broken}
			continue
		}
		if l.Type != raft.LogCommand {
			answers[i] = applied{}
		}
		f.after(l)
	}
	return answers
}

// after takes note of an entry that has been applied.
func (f *fsm) after(l *raft.Log) {
	var told time.Time
	if l.Type == raft.LogCommand {
		told = f.told(l.Data)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if l.Type == raft.LogConfiguration {
		f.votes = votes(raft.DecodeConfiguration(l.Data), f.own)
	}
	f.index = l.Index
	f.newer = f.newer || l.Term > f.held.Term
	if told.After(f.newest) {
		f.newest = told
	}
	f.look()
}

// told is when this voter's clock gave the reading that an entry has of it; zero where it has none. What was committed by then
// comes before that entry, for it was appended later.
func (f *fsm) told(raw []byte) time.Time {
	if !bytes.Contains(raw, []byte(f.own)) {
		return time.Time{}
	}
	e, err := record.Decode(raw)
	if err != nil || e.Clock == nil {
		return time.Time{}
	}
	for _, r := range e.Clock.Readings {
		if r.Voter == f.own {
			return f.clocks.at(r.Ms)
		}
	}
	return time.Time{}
}

func (f *fsm) breaks(err error) {
	f.mu.Lock()
	f.broken = err
	f.mu.Unlock()
	f.fail(err)
}

func votes(c raft.Configuration, identity string) bool {
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
	if f.broken != nil {
		return nil, f.broken
	}
	return snapshot{f.replica.View()}, nil
}

// Restore implements raft.FSM.
func (f *fsm) Restore(from io.ReadCloser) error {
	defer from.Close()
	if err := f.replica.Restore(from); err != nil {
		err = fmt.Errorf("a snapshot does not read: %w", err)
		f.breaks(err)
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.running {
		f.base = f.replica.Version()
	}
	f.look()
	return nil
}

type snapshot struct{ view record.View }

// Persist implements raft.FSMSnapshot.
func (s snapshot) Persist(to raft.SnapshotSink) error {
	if err := record.Save(to, s.view); err != nil {
		return errors.Join(err, to.Cancel())
	}
	return to.Close()
}

// Release implements raft.FSMSnapshot.
func (snapshot) Release() {}
