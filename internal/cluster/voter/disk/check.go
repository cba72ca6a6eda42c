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

// Held is what a disk held when it was checked.
type Contents struct {
	Last     uint64 // the index of the log's last entry or, where it is later, of the newest snapshot; 0 for none
	Term     uint64 // of that
	Commands uint64 // entries of the log after the newest snapshot that count for the record
}

// Check reads the whole log, the votes and the newest snapshot, and fails for whatever is not as it was written or does not
// follow on what is before it.
func (d *Disk) Check() (Contents, error) {
	var contents Contents
	snapshots, err := d.Snapshots.List()
	if err != nil {
		return contents, err
	}
	var snapshotIndex uint64 // by the newest snapshot
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
	if term, _ := d.Store.GetUint64([]byte(keyTerm)); term < contents.Term && contents.Last > 1 { // a crash while forming leaves entry 1 alone
		return contents, fmt.Errorf("%w: %s: the term kept is %d, and the log goes to %d", ErrDamaged, d.Store.path, term, contents.Term)
	}
	return contents, nil
}

// The form of bbolt's first two pages, which say by turns where the rest is.
const (
	metaOffset     = 16 // after the page's own head
	metaSize       = 64 // up to its checksum
	pageSizeOffset = 8  // where the size of a page is told
	metaMagic      = 0xED0CDAED
)

// checkMetas refuses a bbolt file one of whose two first pages is damaged. bbolt would go on with the other one, and so lose
// without a word what was committed last: a vote, or an entry that was acknowledged. A write that a crash cuts short
// does not look like that: the part that counts lies in one sector.
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

// checkKeys walks over the log's keys in the order of the pages. bbolt looks for a key as if they were in order, so one that
// has changed could hide others behind it. (bbolt's own check would panic in a goroutine of its own.)
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
