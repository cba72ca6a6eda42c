package replica

import (
	"bytes"
	"errors"
	"fmt"

	"burlpass/internal/record"
)

// ErrOther is a state that is not the one it was said to be.
var ErrStateMismatch = errors.New("not the state that was told")

// Stage applies entries that are said to lead to a version with a hash, and shows nothing of them yet: neither View nor Since
// knows them before commit, so that they can be stored first. On an error nothing has changed. Between Stage and
// commit nobody may call Apply, Restore or Stage; a commit that never comes leaves the Replica showing what it showed, and
// good for nothing else.
func (r *Replica) Stage(raw [][]byte, version record.Version, hash string) (commit func(), err error) {
	entries, err := r.prepareAll(raw)
	if err != nil {
		return nil, fmt.Errorf("entry %d of %d: %w", len(entries)+1, len(raw), err)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.currentView() // before the machine goes on
	for _, e := range entries {
		r.machine.ApplyPrepared(e)
	}
	after := r.machine.View()
	if after.Version() != version || after.Hash() != hash {
		err := fmt.Errorf("%w: version %d, hash %s where version %d, hash %s was said", ErrStateMismatch, after.Version(), after.Hash(), version, hash)
		return nil, errors.Join(err, r.rollback())
	}
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		for _, line := range raw {
			r.retain(line)
		}
		r.publish()
	}, nil
}

// takeBack puts the machine back to what is shown, which costs as much as the state is large. It is called under the lock.
func (r *Replica) rollback() error {
	var state bytes.Buffer
	if err := record.Save(&state, r.view); err != nil {
		return err
	}
	return r.machine.Restore(&state)
}
