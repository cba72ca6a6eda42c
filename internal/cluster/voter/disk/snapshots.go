package disk

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"
)

const (
	retainedSnapshots = 2
	tmpSuffix         = ".tmp" // of a snapshot that is still being written
)

// Snapshots is raft's file snapshot store. It reports disk faults to the function set by OnFault.
type Snapshots struct {
	files   *raft.FileSnapshotStore
	onFault atomic.Pointer[func(error)]
	path    string
}

func openSnapshots(folder string, log hclog.Logger) (*Snapshots, error) {
	path := filepath.Join(folder, snapshotsDir)
	unfinished, _ := filepath.Glob(filepath.Join(path, "*"+tmpSuffix))
	for _, u := range unfinished {
		if err := os.RemoveAll(u); err != nil {
			return nil, fmt.Errorf("%w: %w", ErrDamaged, err)
		}
	}
	files, err := raft.NewFileSnapshotStoreWithLogger(folder, retainedSnapshots, log)
	if err != nil {
		return nil, fmt.Errorf("%w: %s: %w", ErrDamaged, path, err)
	}
	return &Snapshots{files: files, path: path}, nil
}

// OnFault sets the function called on a disk fault. It may return, because raft handles the error of a failed snapshot.
func (s *Snapshots) OnFault(f func(error)) { s.onFault.Store(&f) }

func (s *Snapshots) reportFault(op string, err error) error {
	err = fmt.Errorf("%w: %s: %s: %w", ErrDamaged, s.path, op, err)
	if report := s.onFault.Load(); report != nil {
		(*report)(err)
	}
	return err
}

// Create implements raft.SnapshotStore.
func (s *Snapshots) Create(v raft.SnapshotVersion, index, term uint64, c raft.Configuration, ci uint64, t raft.Transport) (raft.SnapshotSink, error) {
	k, err := s.files.Create(v, index, term, c, ci, t)
	if err != nil {
		return nil, s.reportFault("begin a snapshot", err)
	}
	return &sink{k, s}, nil
}

// List implements raft.SnapshotStore. A snapshot that raft skips because its metadata is unreadable is reported as a fault.
func (s *Snapshots) List() ([]*raft.SnapshotMeta, error) {
	entries, err := os.ReadDir(s.path) // before files.List: in between a snapshot may be added and the oldest removed
	if err != nil {
		return nil, s.reportFault("list snapshots", err)
	}
	all, err := s.files.List()
	if err != nil {
		return nil, s.reportFault("list snapshots", err)
	}
	complete := 0
	for _, e := range entries {
		if e.IsDir() && !strings.HasSuffix(e.Name(), tmpSuffix) {
			complete++
		}
	}
	if len(all) < min(complete, retainedSnapshots) {
		return nil, s.reportFault("list snapshots", fmt.Errorf("%d of %d do not read", complete-len(all), complete))
	}
	return all, nil
}

// Open implements raft.SnapshotStore.
func (s *Snapshots) Open(id string) (*raft.SnapshotMeta, io.ReadCloser, error) {
	m, r, err := s.files.Open(id)
	if os.IsNotExist(err) { // a newer snapshot may have replaced it since it was listed
		if _, e := os.Stat(filepath.Join(s.path, id)); os.IsNotExist(e) {
			return nil, nil, err
		}
	}
	if err != nil {
		return nil, nil, s.reportFault("read "+id, err)
	}
	return m, r, nil
}

// sink reports faults while a snapshot is written.
type sink struct {
	raft.SnapshotSink
	s *Snapshots
}

func (k *sink) Write(b []byte) (int, error) {
	n, err := k.SnapshotSink.Write(b)
	if err != nil {
		err = k.s.reportFault("write a snapshot", err)
	}
	return n, err
}

func (k *sink) Close() error {
	if err := k.SnapshotSink.Close(); err != nil {
		return k.s.reportFault("finish a snapshot", err)
	}
	return nil
}
