// Package disk is what a voter keeps: its identity, its log with what it voted, and its snapshots, in one folder that
// belongs to one process at a time. What it reads is checked, and what is damaged is never taken for less than it was.
package disk

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"
)

// The names in the folder.
const (
	identityFile = "identity"
	lockFile     = "lock"
	logFile      = "raft.db"
	snapshotsDir = "snapshots"
	newSuffix    = ".new"
)

const lockTimeout = time.Second // for a process that is just ending

// ErrDamaged says that the disk gives back something else than was written, or takes no more.
var ErrDamaged = errors.New("damaged")

// Disk is one voter's folder, open.
type Disk struct {
	Store     *Store     // log and votes; nil where they are damaged
	Snapshots *Snapshots // nil where they are damaged

	folder   string
	lock     *os.File
	identity atomic.Pointer[Identity]
}

// Open takes a voter's folder, which must exist. An empty one gets an identity, kept durably before anything else. An error
// names the file. Where it is ErrDamaged the Disk is given all the same, for its identity and to be closed.
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
	if err = syncDir(folder); err != nil { // the log's own entry in the folder
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
		return fmt.Errorf("%s: the folder is missing: it is made by whoever installs, so that a disk that is not mounted is noticed", folder)
	case err != nil:
		return err
	case !info.IsDir():
		return fmt.Errorf("%s: not a folder", folder)
	}
	probe, err := os.CreateTemp(folder, ".probe-*")
	if err != nil {
		return fmt.Errorf("%s: nothing can be written there: %w", folder, err)
	}
	probe.Close()
	return os.Remove(probe.Name())
}

// takeLock holds a file as long as it is open: also against another Disk of the same process.
func acquireLock(path string) (*os.File, error) {
	f, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, err
	}
	for start := time.Now(); ; time.Sleep(20 * time.Millisecond) {
		err = syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
		if err == nil {
			return f, nil
		}
		if !errors.Is(err, syscall.EWOULDBLOCK) && !errors.Is(err, syscall.EINTR) || time.Since(start) > lockTimeout {
			f.Close()
			return nil, fmt.Errorf("%s: another process uses this folder: %w", path, err)
		}
	}
}

// load reads the identity or draws one where the folder is empty.
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
		return fmt.Errorf("%s: missing beside the identity of a voter that has had one: empty the folder, so that this voter joins anew",
			filepath.Join(d.folder, logFile))
	}
	return nil
}

// empty refuses a folder that holds a log without an identity, or anything that is not a voter's.
func (d *Disk) checkEmpty() error {
	entries, err := os.ReadDir(d.folder)
	if err != nil {
		return err
	}
	for _, e := range entries {
		switch name := e.Name(); {
		case name == lockFile, name == "lost+found", name == identityFile+newSuffix, strings.HasPrefix(name, "."):
		case name == logFile || name == snapshotsDir:
			return fmt.Errorf("%s: a log without an identity: empty the folder, so that this voter joins anew", filepath.Join(d.folder, name))
		default:
			return fmt.Errorf("%s: the folder holds something else than a voter's data", filepath.Join(d.folder, name))
		}
	}
	return nil
}

// Identity is what the folder says of itself.
func (d *Disk) Identity() Identity { return *d.identity.Load() }

// SetCluster keeps durably to which cluster this voter belongs.
func (d *Disk) SetCluster(id string) error {
	i := d.Identity()
	i.Cluster = id
	return d.saveIdentity(i)
}

// SetVoted keeps durably that this identity has had a vote: from then on it never asks to be taken in.
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

// writeFile replaces a file whole and durably.
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

// HasState tells whether this disk has ever held a term, a vote, an entry or a snapshot.
func (d *Disk) HasState() (bool, error) {
	return raft.HasExistingState(d.Store, d.Store, d.Snapshots)
}

// Close gives the folder free. Nothing may use the Disk's parts any more.
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
