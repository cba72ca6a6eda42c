package run

import (
	"errors"
	"fmt"
	"io/fs"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"
)

// tear spoils the end of what a process that is down kept last: a bit of the file written last is turned, or the file is cut.
// It tells what it did.
func tear(folder string, r *rand.Rand) (string, error) {
	var newest string
	var at time.Time
	err := filepath.WalkDir(folder, func(path string, d fs.DirEntry, err error) error {
		if err != nil || !d.Type().IsRegular() {
			return err
		}
		info, err := d.Info()
		if err == nil && info.Size() > 0 && info.ModTime().After(at) {
			newest, at = path, info.ModTime()
		}
		return err
	})
	if err != nil {
		return "", err
	}
	if newest == "" {
		return "nothing to tear", nil
	}
	text, err := os.ReadFile(newest)
	if err != nil {
		return "", err
	}
	used := len(text)
	for used > 0 && text[used-1] == 0 {
		used--
	}
	name, _ := filepath.Rel(folder, newest)
	if used < 2 {
		return name + " holds nothing", nil
	}
	f, err := os.OpenFile(newest, os.O_RDWR, 0)
	if err != nil {
		return "", err
	}
	defer f.Close()
	if r.IntN(3) == 0 {
		to := int64(used - 1 - r.IntN(min(used-1, 8<<10)))
		return fmt.Sprintf("%s cut from %d to %d", name, len(text), to), errors.Join(f.Truncate(to), f.Sync())
	}
	// Most of what was written last stands late in the file, if not at its end.
	byteAt := used - 1 - r.IntN(min(used, 16<<10))
	bit := byte(1) << r.IntN(8)
	_, err = f.WriteAt([]byte{text[byteAt] ^ bit}, int64(byteAt))
	return fmt.Sprintf("%s byte %d of %d, bit %#x turned", name, byteAt, len(text), bit), err
}

// rotting are the files in which bits turn: all that bear checksums. A voter's identity bears none: a bit of its names makes it
// another's folder, which is refused at the start.
func rotting(name string) bool {
	return slices.Contains([]string{"raft.db", "observer.db", "shown", "state.bin"}, name)
}

// rot turns a bit anywhere in one of the files of a folder, which a process may have open. It tells what it did.
func rot(folder string, r *rand.Rand) (string, error) {
	type file struct {
		path string
		size int64
	}
	var files []file
	err := filepath.WalkDir(folder, func(path string, d fs.DirEntry, err error) error {
		if errors.Is(err, fs.ErrNotExist) || err == nil && (!d.Type().IsRegular() || !rotting(d.Name()) || strings.Contains(path, ".tmp")) {
			return nil
		}
		info, err := d.Info()
		if err == nil && info.Size() > 0 {
			files = append(files, file{path, info.Size()})
		}
		return nil
	})
	if err != nil || len(files) == 0 {
		return "nothing to rot", err
	}
	one := files[r.IntN(len(files))]
	f, err := os.OpenFile(one.path, os.O_RDWR, 0)
	if err != nil {
		return "", err
	}
	defer f.Close()
	text := make([]byte, 1)
	var at int64
	for try := 0; text[0] == 0 && try < 1000; try++ { // most of a bbolt file is empty
		at = r.Int64N(one.size)
		if _, err := f.ReadAt(text, at); err != nil {
			return "", err
		}
	}
	bit := byte(1) << r.IntN(8)
	_, err = f.WriteAt([]byte{text[0] ^ bit}, at)
	return fmt.Sprintf("%s byte %d of %d, bit %#x turned", filepath.Base(one.path), at, one.size, bit), err
}
