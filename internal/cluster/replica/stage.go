package replica

import (
	"bytes"
	"errors"
	"fmt"

	"burlpass/internal/record"
)

// ErrStateMismatch reports entries that do not lead to the expected state.
var ErrStateMismatch = errors.New("state does not match its version and hash")

// Stage applies entries that must lead to the given version and hash, but does not publish them: View and Since ignore them
// until commit, so that the caller can store them first. On an error nothing changes. Apply, Restore and Stage must not be
// called between Stage and commit. If commit is never called, the Replica keeps serving the previous state and must not be
// modified again.
func (r *Replica) Stage(raw [][]byte, version record.Version, hash string) (commit func(), err error) {
	entries, err := r.prepareAll(raw)
	if err != nil {
		return nil, fmt.Errorf("entry %d of %d: %w", len(entries)+1, len(raw), err)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.currentView() // before the machine changes
	for _, e := range entries {
		r.machine.ApplyPrepared(e)
	}
	after := r.machine.View()
	if after.Version() != version || after.Hash() != hash {
		err := fmt.Errorf("%w: got version %d, hash %s, want version %d, hash %s", ErrStateMismatch, after.Version(), after.Hash(), version, hash)
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

// rollback restores the machine to the published state, at a cost proportional to its size. The caller must hold the lock.
func (r *Replica) rollback() error {
	var state bytes.Buffer
	if err := record.Save(&state, r.view); err != nil {
		return err
	}
	return r.machine.Restore(&state)
}
