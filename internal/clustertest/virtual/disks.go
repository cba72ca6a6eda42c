package virtual

import (
	"errors"
	"io"
	"io/fs"
	"math/rand/v2"
	"os"
	"path/filepath"

	"golang.org/x/sys/unix"
)

// copy makes a folder's copy of what a loss of power leaves of it. lose draws what becomes of each write that was not synced; nil:
// all stay. Holes stay holes: the log's file is mostly one.
func (d *disks) copy(from, to string, lose *rand.Rand) error {
	return filepath.WalkDir(from, func(path string, e fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		rel, err := filepath.Rel(from, path)
		if err != nil {
			return err
		}
		if e.IsDir() {
			return os.MkdirAll(filepath.Join(to, rel), 0o700)
		}
		return d.copyFile(path, filepath.Join(to, rel), lose)
	})
}

func (d *disks) copyFile(from, to string, lose *rand.Rand) error {
	src, err := os.Open(from)
	if err != nil {
		return err
	}
	defer src.Close()
	info, err := src.Stat()
	if err != nil {
		return err
	}
	dst, err := os.OpenFile(to, os.O_RDWR|os.O_CREATE|os.O_TRUNC, 0o600)
	if err != nil {
		return err
	}
	defer dst.Close()
	if err := dst.Truncate(info.Size()); err != nil {
		return err
	}
	for at := int64(0); at < info.Size(); {
		begin, err := src.Seek(at, unix.SEEK_DATA)
		if errors.Is(err, unix.ENXIO) {
			break
		}
		if err != nil {
			return err
		}
		end, err := src.Seek(begin, unix.SEEK_HOLE)
		if err != nil {
			return err
		}
		if _, err := io.Copy(io.NewOffsetWriter(dst, begin), io.NewSectionReader(src, begin, end-begin)); err != nil {
			return err
		}
		at = end
	}
	if err := d.undo(src, dst, lose); err != nil {
		return err
	}
	return os.Chtimes(to, info.ModTime(), info.ModTime())
}
