//go:build virtualdisk

package virtual

import (
	"maps"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Disks tells whether this program has disks that take time, lose what was not synced and can be full.
const Disks = true

// What a sync takes: most of them briefly, some long, and some so long that a leader with such a disk has to go silent.
const (
	syncTime = 200 * time.Microsecond
	slowSync = 40 * time.Millisecond
	slowOdds = 150
	hangSync = 4 * time.Second
	hangOdds = 15_000
)

// disks are all members' disks. What was written and not synced is kept with what stood there before, by file, so that a loss
// of power can take it back. Names of files are taken to be durable at once.
type disks struct {
	mu      sync.Mutex
	rnd     *rand.Rand
	folders map[string]*disk
	files   map[inode]*pending
}

type inode struct{ dev, ino uint64 }

// disk is one life's.
type disk struct {
	full  bool
	still bool
	moved *sync.Cond
}

// pending is what a loss of power may take from a file.
type pending struct {
	disk   *disk // nil: no member's
	writes []write
}

type write struct {
	at   int64
	was  []byte // what stood there before, as far as the file went
	size int64  // of the write
}

func newDisks(seed uint64) *disks {
	d := &disks{rnd: rand.New(rand.NewPCG(seed, 0x6469736b)), folders: map[string]*disk{}, files: map[inode]*pending{}}
	syscall.VirtualDisk = d.asked
	return d
}

func (d *disks) close() { syscall.VirtualDisk = nil }

func (d *disks) mount(folder string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.folders[folder] = &disk{moved: sync.NewCond(&d.mu)}
}

// cut ends a disk's part: what is written to it from now on counts for nothing.
func (d *disks) cut(folder string) { d.stand(folder, false) }

func (d *disks) stand(folder string, still bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if one := d.folders[folder]; one != nil {
		one.still = still
		one.moved.Broadcast()
	}
}

// forget drops what is known of a folder that is there no more.
func (d *disks) forget(folder string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	one := d.folders[folder]
	delete(d.folders, folder)
	maps.DeleteFunc(d.files, func(_ inode, f *pending) bool { return f.disk == one })
}

func (d *disks) full(folder string, full bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if one := d.folders[folder]; one != nil {
		one.full = full
	}
}

// asked is called before each write and each sync of this process.
func (d *disks) asked(fd int, p []byte, at int64) error {
	var st unix.Stat_t
	if unix.Fstat(fd, &st) != nil || st.Mode&unix.S_IFMT != unix.S_IFREG {
		return nil
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	f := d.file(fd, inode{uint64(st.Dev), st.Ino})
	if f.disk == nil {
		return nil
	}
	for f.disk.still {
		f.disk.moved.Wait()
	}
	if p == nil {
		d.mu.Unlock()
		time.Sleep(d.time())
		d.mu.Lock()
		for f.disk.still {
			f.disk.moved.Wait()
		}
		f.writes = nil
		return nil
	}
	if f.disk.full {
		return syscall.EFBIG
	}
	if at < 0 {
		at, _ = unix.Seek(fd, 0, unix.SEEK_CUR)
	}
	was := make([]byte, len(p))
	n, _ := unix.Pread(fd, was, at)
	f.writes = append(f.writes, write{at, was[:max(0, n)], int64(len(p))})
	return nil
}

func (d *disks) time() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case d.rnd.IntN(hangOdds) == 0:
		return time.Duration(d.rnd.Int64N(int64(hangSync)))
	case d.rnd.IntN(slowOdds) == 0:
		return time.Duration(d.rnd.Int64N(int64(slowSync)))
	}
	return syncTime/4 + time.Duration(d.rnd.Int64N(int64(syncTime)))
}

// file finds whose a file is; one that is nobody's may become a member's with its next life. It is called under the lock.
func (d *disks) file(fd int, id inode) *pending {
	if f := d.files[id]; f != nil {
		return f
	}
	f := &pending{}
	path, _ := os.Readlink(filepath.Join("/proc/self/fd", strconv.Itoa(fd)))
	for folder, one := range d.folders {
		if strings.HasPrefix(path, folder+"/") {
			f.disk = one
			d.files[id] = f
		}
	}
	return f
}

// undo takes back, in a copy of a file, writes that were not synced: in one of three losses all of them, else each by chance, so
// that a later one may stand without an earlier one.
func (d *disks) undo(src, dst *os.File, lose *rand.Rand) error {
	if lose == nil {
		return nil
	}
	var st unix.Stat_t
	if err := unix.Fstat(int(src.Fd()), &st); err != nil {
		return err
	}
	d.mu.Lock()
	f := d.files[inode{uint64(st.Dev), st.Ino}]
	d.mu.Unlock()
	if f == nil {
		return nil
	}
	all := lose.IntN(3) == 0
	for i := len(f.writes) - 1; i >= 0; i-- {
		w := f.writes[i]
		if !all && lose.IntN(2) == 0 {
			continue
		}
		old := append(w.was, make([]byte, w.size-int64(len(w.was)))...)
		if _, err := dst.WriteAt(old, w.at); err != nil {
			return err
		}
	}
	return nil
}
