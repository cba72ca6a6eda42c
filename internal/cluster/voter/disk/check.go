package disk

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"io/fs"
	"os"
	"runtime/debug"

	"go.etcd.io/bbolt"
)

// Contents describes what a disk held when it was checked.
type Contents struct {
	Last     uint64 // index of the last log entry or of the newest snapshot, whichever is later; 0 for none
	Term     uint64 // of that entry or snapshot
	Commands uint64 // log entries after the newest snapshot that are commands
}

// Check reads the whole log, the stored vote and the newest snapshot. It fails if any of them is damaged, or if there is a gap
// between them.
func (d *Disk) Check() (Contents, error) {
	var contents Contents
	snapshots, err := d.Snapshots.List()
	if err != nil {
		return contents, err
	}
	var snapshotIndex uint64 // last entry in the newest snapshot
	if len(snapshots) > 0 {
		_, r, err := d.Snapshots.Open(snapshots[0].ID)
		if err != nil {
			return contents, err
		}
		r.Close()
		snapshotIndex = snapshots[0].Index
		contents = Contents{Last: snapshotIndex, Term: snapshots[0].Term}
	}
	first, err := d.Store.FirstIndex()
	if err != nil {
		return contents, err
	}
	last, err := d.Store.LastIndex()
	if err != nil {
		return contents, err
	}
	if first > snapshotIndex+1 {
		return contents, fmt.Errorf("%w: %s: the log begins at %d, and the newest snapshot ends at %d", ErrDamaged, d.Store.path, first, snapshotIndex)
	}
	if first > 0 {
		if err := d.Store.checkEntries(first, last, snapshotIndex, &contents); err != nil {
			return contents, fmt.Errorf("%w: %w", ErrDamaged, err)
		}
	}
	// A crash while forming the cluster leaves entry 1 without a term.
	if term, _ := d.Store.GetUint64([]byte(keyTerm)); term < contents.Term && contents.Last > 1 {
		return contents, fmt.Errorf("%w: %s: the term kept is %d, and the log goes to %d", ErrDamaged, d.Store.path, term, contents.Term)
	}
	return contents, nil
}

// Layout of bbolt's two meta pages, which are written alternately and refer to the rest of the file.
const (
	metaOffset     = 16 // offset of the meta data, after the page header
	metaSize       = 64 // size of the meta data including its checksum
	pageSizeOffset = 8  // offset of the page size within the meta data
	metaMagic      = 0xED0CDAED
)

// checkMetaPages refuses a bbolt file if one of its two meta pages is damaged. bbolt would use the other one, and silently lose
// the last commit: a vote, or an acknowledged entry. A write interrupted by a crash does not cause such damage, because
// the relevant part of the page lies in one sector.
func checkMetaPages(path string) error {
	f, err := os.Open(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	if err != nil {
		return err
	}
	defer f.Close()
	if info, err := f.Stat(); err != nil || info.Size() == 0 {
		return err
	}
	size := int64(os.Getpagesize())
	for page := int64(0); page < 2; page++ {
		b := make([]byte, metaOffset+metaSize+8)
		if _, err := f.ReadAt(b, page*size); err != nil && !errors.Is(err, io.EOF) {
			return err
		}
		meta := b[metaOffset:]
		h := fnv.New64a()
		h.Write(meta[:metaSize-8])
		if binary.NativeEndian.Uint32(meta) != metaMagic || h.Sum64() != binary.NativeEndian.Uint64(meta[metaSize-8:]) {
			return fmt.Errorf("page %d is not as it was written", page)
		}
		if page == 0 {
			size = int64(binary.NativeEndian.Uint32(meta[pageSizeOffset:]))
		}
	}
	return nil
}

// checkKeys iterates over the log's keys in page order and checks that they are consecutive. bbolt's search assumes sorted
// keys, so a damaged one could hide others. bbolt's own check cannot be used: it panics in a goroutine of its own.
func checkKeys(path string) (err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer recoverFault(&err)
	if info, err := os.Stat(path); errors.Is(err, fs.ErrNotExist) || err == nil && info.Size() == 0 {
		return nil
	}
	db, err := bbolt.Open(path, 0o600, &bbolt.Options{ReadOnly: true, Timeout: lockTimeout})
	if err != nil {
		return err
	}
	defer db.Close()
	return db.View(func(tx *bbolt.Tx) error {
		b := tx.Bucket([]byte("logs"))
		if b == nil {
			return nil // a crash before the first entry
		}
		var last uint64
		return b.ForEach(func(k, _ []byte) error {
			if len(k) != 8 || last > 0 && binary.BigEndian.Uint64(k) != last+1 {
				return fmt.Errorf("the key %x comes after entry %d", k, last)
			}
			last = binary.BigEndian.Uint64(k)
			return nil
		})
	})
}
