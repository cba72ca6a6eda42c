// Package disk is a voter's durable storage: its identity, its raft log with term and vote, and its snapshots, in one folder
// that is locked by one process at a time. Everything read is verified, and damaged data is reported rather than treated as
// missing.
package disk

import (
	"context"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"time"

	"github.com/gofrs/flock"
	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"
)

// File names in the folder.
const (
	identityFile = "identity"
	lockFile     = "lock"
	logFile      = "raft.db"
	snapshotsDir = "snapshots"
	newSuffix    = ".new"
)

const (
	lockTimeout    = time.Second // leaves time for a process that is just ending
	lockRetryDelay = 20 * time.Millisecond
)

// ErrDamaged means that the disk returns other data than was written, or cannot be written.
var ErrDamaged = errors.New("damaged")

// Disk is the open folder of a voter.
type Disk struct {
	Store     *Store     // log, term and vote; nil if damaged
	Snapshots *Snapshots // nil if damaged

	folder   string
	lock     *flock.Flock
	identity atomic.Pointer[Identity]
}

// Open locks and opens a voter's folder, which must exist. In an empty one it first stores a new identity durably. Errors name
// the file. With ErrDamaged the Disk is returned as well, for its identity and to be closed.
func Open(folder, cluster, voter string, log hclog.Logger) (*Disk, error) {
	if err := checkFolder(folder); err != nil {
		return nil, err
	}
	d := &Disk{folder: folder}
	var err error
	if d.lock, err = acquireLock(filepath.Join(folder, lockFile)); err != nil {
		return nil, err
	}
	if err := d.loadIdentity(cluster, voter); err != nil {
		d.Close()
		return nil, err
	}
	if d.Store, err = openStore(filepath.Join(folder, logFile)); err != nil {
		return d, err
	}
	if err = syncDir(folder); err != nil { // makes the log file's directory entry durable
		return d, fmt.Errorf("%w: %w", ErrDamaged, err)
	}
	if d.Snapshots, err = openSnapshots(folder, log); err != nil {
		return d, err
	}
	return d, nil
}

func checkFolder(folder string) error {
	info, err := os.Stat(folder)
	switch {
	case errors.Is(err, fs.ErrNotExist):
		return fmt.Errorf("%s: the folder is missing: it must be created at installation, so that a disk that is not mounted is noticed", folder)
	case err != nil:
		return err
	case !info.IsDir():
		return fmt.Errorf("%s: not a folder", folder)
	}
	probe, err := os.CreateTemp(folder, ".probe-*")
	if err != nil {
		return fmt.Errorf("%s: the folder is not writable: %w", folder, err)
	}
	probe.Close()
	return os.Remove(probe.Name())
}

// acquireLock opens and locks a file. The lock lasts until it is closed, and excludes another Disk of the same process too.
func acquireLock(path string) (*flock.Flock, error) {
	ctx, cancel := context.WithTimeout(context.Background(), lockTimeout)
	defer cancel()
	lock := flock.New(path, flock.SetPermissions(0o600))
	_, err := lock.TryLockContext(ctx, lockRetryDelay)
	if errors.Is(err, context.DeadlineExceeded) {
		err = fmt.Errorf("%s: another process uses this folder: %w", path, err)
	}
	if err != nil {
		lock.Close()
		return nil, err
	}
	return lock, nil
}

// loadIdentity reads the identity, or creates one if the folder is empty.
func (d *Disk) loadIdentity(cluster, voter string) error {
	path := filepath.Join(d.folder, identityFile)
	text, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		if err := d.checkEmpty(); err != nil {
			return err
		}
		return d.saveIdentity(newIdentity(cluster, voter))
	}
	if err != nil {
		return err
	}
	id, err := parseIdentity(text)
	if err == nil {
		err = id.check(cluster, voter)
	}
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	d.identity.Store(&id)
	if _, err := os.Stat(filepath.Join(d.folder, logFile)); errors.Is(err, fs.ErrNotExist) && id.Cluster != "" {
		return fmt.Errorf("%s: missing beside the identity of a voter that has had one: empty the folder, so that this voter joins again",
			filepath.Join(d.folder, logFile))
	}
	return nil
}

// checkEmpty refuses a folder that holds a log without an identity, or a file that does not belong to a voter.
func (d *Disk) checkEmpty() error {
	entries, err := os.ReadDir(d.folder)
	if err != nil {
		return err
	}
	for _, e := range entries {
		switch name := e.Name(); {
		case name == lockFile, name == "lost+found", name == identityFile+newSuffix, strings.HasPrefix(name, "."):
		case name == logFile || name == snapshotsDir:
			return fmt.Errorf("%s: a log without an identity: empty the folder, so that this voter joins again", filepath.Join(d.folder, name))
		default:
			return fmt.Errorf("%s: the folder holds a file that is not a voter's data", filepath.Join(d.folder, name))
		}
	}
	return nil
}

// Identity returns the identity stored in the folder.
func (d *Disk) Identity() Identity { return *d.identity.Load() }

// SetCluster stores durably to which cluster this voter belongs.
func (d *Disk) SetCluster(id string) error {
	i := d.Identity()
	i.Cluster = id
	return d.saveIdentity(i)
}

// SetVoted stores durably that this identity has had a vote. From then on it never asks to join.
func (d *Disk) SetVoted() error {
	i := d.Identity()
	i.Voted = true
	return d.saveIdentity(i)
}

func (d *Disk) saveIdentity(i Identity) error {
	if err := writeFile(filepath.Join(d.folder, identityFile), i.encode()); err != nil {
		return err
	}
	d.identity.Store(&i)
	return nil
}

// writeFile replaces a file atomically and durably.
func writeFile(path string, text []byte) error {
	f, err := os.OpenFile(path+newSuffix, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, 0o600)
	if err != nil {
		return err
	}
	_, err = f.Write(text)
	if err == nil {
		err = f.Sync()
	}
	if e := f.Close(); err == nil {
		err = e
	}
	if err == nil {
		err = os.Rename(path+newSuffix, path)
	}
	if err == nil {
		err = syncDir(filepath.Dir(path))
	}
	return err
}

func syncDir(folder string) error {
	f, err := os.Open(folder)
	if err != nil {
		return err
	}
	err = f.Sync()
	if e := f.Close(); err == nil {
		err = e
	}
	return err
}

// HasState reports whether this disk has ever held a term, a vote, an entry or a snapshot.
func (d *Disk) HasState() (bool, error) {
	return raft.HasExistingState(d.Store, d.Store, d.Snapshots)
}

// Close closes the log and releases the folder. The Disk and its parts must not be used afterwards.
func (d *Disk) Close() error {
	var err error
	if d.Store != nil {
		err = d.Store.close()
	}
	if e := d.lock.Close(); err == nil {
		err = e
	}
	return err
}
