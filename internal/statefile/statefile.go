// Package statefile keeps a small file that several processes share, such as the old and the new process of a sidecar during an
// upgrade. Each change is made to the latest content, under a lock that excludes the other processes, and a reader sees the
// old or the new content, never a part.
package statefile

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/gofrs/flock"
	"github.com/google/renameio/v2"
)

const (
	fileMode       = 0o600
	lockSuffix     = ".lock" // the lock has a file of its own, which is never replaced
	lockRetryDelay = 5 * time.Millisecond
)

// Error reports that a file could not be locked, read or replaced.
type Error struct {
	Op   string // what failed: lock, read or replace
	Path string
	Err  error
}

// Error names the operation and the file.
func (e *Error) Error() string { return fmt.Sprintf("%s %s: %v", e.Op, e.Path, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// File is a shared file, which need not exist.
type File struct{ path string }

// New returns the shared file at a path, whose folder must exist.
func New(path string) *File { return &File{path: path} }

// Path returns the path of the file.
func (f *File) Path() string { return f.path }

// Read returns the content, or an Error that wraps os.ErrNotExist if there is no file. It does not wait for a lock.
func (f *File) Read() ([]byte, error) {
	content, err := os.ReadFile(f.path)
	if err != nil {
		return nil, &Error{"read", f.path, err}
	}
	return content, nil
}

// Update replaces the content by what change returns for the current content, which is nil if there is no file. No other
// Update, of any process, runs meanwhile; ctx bounds the wait for that. If Update returns an error the content is
// unchanged: an Error, or the error of change as it is.
func (f *File) Update(ctx context.Context, change func(current []byte) ([]byte, error)) error {
	lock := flock.New(f.path+lockSuffix, flock.SetPermissions(fileMode))
	if _, err := lock.TryLockContext(ctx, lockRetryDelay); err != nil {
		return &Error{"lock", f.path, err}
	}
	defer lock.Close()
	current, err := f.Read()
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return err
	}
	next, err := change(current)
	if err != nil {
		return err
	}
	if current != nil && bytes.Equal(next, current) {
		return nil
	}
	return Replace(f.path, next)
}

// Replace replaces the content of a file that one process alone changes.
func Replace(path string, content []byte) error {
	if err := renameio.WriteFile(path, content, fileMode, renameio.WithTempDir(filepath.Dir(path))); err != nil {
		return &Error{"replace", path, err}
	}
	return nil
}
