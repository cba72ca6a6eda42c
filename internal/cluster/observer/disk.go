package observer

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"io/fs"
	"log/slog"
	"os"
	"path/filepath"
	"runtime/debug"
	"time"

	bolt "go.etcd.io/bbolt"
	berrors "go.etcd.io/bbolt/errors"

	"burlpass/internal/cluster/api"
	"burlpass/internal/cluster/replica"
	"burlpass/internal/record"
)

// Of the file with the state.
const (
	databaseName       = "observer.db"
	damagedName        = "observer.db.damaged" // one is kept
	diskFormat         = 1
	stateChunkBytes    = 256 << 10 // of a whole state in one value
	minCompactionBytes = 1 << 20   // bytes of entries that are kept before the whole state is written anew
	maxBatches         = 4096      // likewise
	lockTimeout        = time.Second
)

var (
	bucketMetadata = []byte("about")
	bucketState    = []byte("state")   // chunks of record.Save, by number
	bucketEntries  = []byte("entries") // batches as they were sent, by the version that they lead to
	keyMetadata    = []byte("about")
)

// errDamaged is a file that gives back something else than was put there.
var errDamaged = errors.New("damaged")

// identity is whom a folder belongs to.
type identity struct {
	Cluster string `json:"cluster"` // the configuration's name of it
	Name    string `json:"name"`    // the member
}

// about is what the file says of itself, written with every change.
type metadata struct {
	Format int `json:"format"`
	identity
	ID      string         `json:"id"` // the cluster's
	Version record.Version `json:"version"`
	Hash    string         `json:"hash"`
	FreshMs int64          `json:"fresh_ms"` // Unix time at which Version was surely the newest
}

// disk keeps the state that is shown: a whole one and the entries after it, in one bbolt file, each value with a checksum
// over it and its key. Beside it stands the floor, so that a damaged file does not make the observer forget how far it was.
type disk struct {
	folder    string
	owner     identity
	log       *slog.Logger
	db        *bolt.DB
	watermark *watermarkFile
	failure   error // bbolt has failed in the middle of something: it may not be asked again

	stateBytes, entryBytes, batches int // bytes of the whole state, of the entries after it, and batches of these
}

// kept is what a folder held.
type storedState struct {
	id         string // the cluster's; "" where none was known
	watermark  record.Version
	savedState []byte // nil: there is no state
	batches    []*api.Batch
	metadata   metadata
	freshAt    time.Time
}

// restore leads an empty replica to the state that was kept.
func (k *storedState) restore(dst *replica.Replica) error {
	if err := dst.Restore(bytes.NewReader(k.savedState)); err != nil {
		return err
	}
	for _, b := range k.batches {
		commit, err := dst.Stage(b.Entries, b.Version, b.Hash)
		if err != nil {
			return err
		}
		commit()
	}
	if v := dst.View(); v.Version() != k.metadata.Version || v.Hash() != k.metadata.Hash {
		return fmt.Errorf("it leads to version %d, hash %s, and was said to be of version %d, hash %s",
			v.Version(), v.Hash(), k.metadata.Version, k.metadata.Hash)
	}
	return nil
}

// openDisk opens a folder, which is made if need be. Damage is no error: the file is put aside, the log says so, and there is no
// state. The error is one line that names the place.
func openDisk(folder string, owner identity, log *slog.Logger) (*disk, *storedState, error) {
	fail := func(err error) (*disk, *storedState, error) {
		return nil, nil, fmt.Errorf("cluster folder %s: %w", folder, err)
	}
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return fail(err)
	}
	d := &disk{folder: folder, owner: owner, log: log}
	mark, err := openWatermark(folder, owner, log)
	if err != nil {
		return fail(err)
	}
	d.watermark = mark
	stored := &storedState{}
	err = recoverPanics(func() error { return d.open(stored) })
	if errors.Is(err, errDamaged) {
		stored = &storedState{}
		err = d.recreate(err)
	}
	if err != nil {
		_ = d.close()
		return fail(err)
	}
	if stored.id == "" {
		stored.id = mark.current.ID
	}
	stored.watermark = max(mark.current.Version, stored.metadata.Version)
	return d, stored, nil
}

// startAnew puts the file aside and begins an empty one.
func (d *disk) recreate(cause error) error {
	d.log.Error("cluster_disk", "folder", d.folder, "file", databaseName, "aside", damagedName, "error", cause, "shown", d.watermark.current.Version)
	if d.db != nil && d.failure == nil {
		if err := recoverPanics(d.db.Close); err != nil {
			d.log.Warn("cluster_disk", "folder", d.folder, "error", err)
		}
	}
	d.db, d.failure = nil, nil // a file that failed in the middle of something stays open until the process ends
	if err := os.Rename(filepath.Join(d.folder, databaseName), filepath.Join(d.folder, damagedName)); err != nil {
		return err
	}
	return recoverPanics(func() error { return d.open(&storedState{}) })
}

// read opens the file and reads all of it, then writes to it, so that what would fail later fails here.
func (d *disk) open(stored *storedState) error {
	db, err := bolt.Open(filepath.Join(d.folder, databaseName), 0o600, &bolt.Options{Timeout: lockTimeout, FreelistType: bolt.FreelistMapType})
	var path *fs.PathError
	switch {
	case errors.Is(err, berrors.ErrTimeout):
		return errors.New("another process uses it")
	case errors.As(err, &path):
		return err
	case err != nil:
		return fmt.Errorf("%w: %w", errDamaged, err)
	}
	d.db = db
	found := false
	if err := db.View(func(tx *bolt.Tx) error {
		found = tx.Bucket(bucketMetadata) != nil
		if !found {
			return nil
		}
		return d.load(tx, stored)
	}); err != nil {
		return err
	}
	return d.update(func(tx *bolt.Tx) error {
		if !found {
			stored.metadata = metadata{Format: diskFormat, identity: d.owner}
		}
		return d.putMetadata(tx, stored.metadata)
	})
}

func (d *disk) load(tx *bolt.Tx, stored *storedState) error {
	raw, err := verifyChecksum(keyMetadata, tx.Bucket(bucketMetadata).Get(keyMetadata))
	if err != nil {
		return fmt.Errorf("about: %w", err)
	}
	if err := json.Unmarshal(raw, &stored.metadata); err != nil {
		return fmt.Errorf("about: %w: %w", errDamaged, err)
	}
	if stored.metadata.Format != diskFormat {
		return fmt.Errorf("%s is of format %d, this program knows %d", databaseName, stored.metadata.Format, diskFormat)
	}
	if err := d.owner.check(stored.metadata.identity); err != nil {
		return err
	}
	stored.id, stored.freshAt = stored.metadata.ID, time.UnixMilli(stored.metadata.FreshMs)
	if b := tx.Bucket(bucketState); b != nil {
		if err := b.ForEach(func(key, value []byte) error {
			part, err := verifyChecksum(key, value)
			stored.savedState = append(stored.savedState, part...)
			return err
		}); err != nil {
			return fmt.Errorf("state: %w", err)
		}
	}
	if b := tx.Bucket(bucketEntries); b != nil {
		if err := b.ForEach(func(key, value []byte) error {
			raw, err := verifyChecksum(key, value)
			if err != nil {
				return err
			}
			batch, err := api.ReadBatch(bytes.NewReader(raw), int64(len(raw)))
			if err != nil {
				return fmt.Errorf("%w: %w", errDamaged, err)
			}
			stored.batches = append(stored.batches, batch)
			d.entryBytes += len(raw)
			return nil
		}); err != nil {
			return fmt.Errorf("entries: %w", err)
		}
	}
	if stored.savedState == nil && stored.metadata.Version > 0 {
		return fmt.Errorf("state: %w: missing", errDamaged)
	}
	d.stateBytes, d.batches = len(stored.savedState), len(stored.batches)
	return nil
}

// check compares a folder's identity with one's own.
func (i identity) check(found identity) error {
	if found != i {
		return fmt.Errorf("it belongs to member %q of cluster %q, and this is member %q of cluster %q", found.Name, found.Cluster, i.Name, i.Cluster)
	}
	return nil
}

// add keeps the entries that follow what is there.
func (d *disk) appendBatch(b *api.Batch, freshAt time.Time) error {
	raw := b.Append(make([]byte, 0, b.Size()+1024))
	err := d.commit(metadata{diskFormat, d.owner, b.Cluster, b.Version, b.Hash, freshAt.UnixMilli()}, func(tx *bolt.Tx) error {
		entries, err := tx.CreateBucketIfNotExists(bucketEntries)
		if err != nil {
			return err
		}
		return putChecksummed(entries, binary.BigEndian.AppendUint64(nil, uint64(b.Version)), raw)
	})
	if err == nil {
		d.entryBytes, d.batches = d.entryBytes+len(raw), d.batches+1
	}
	return err
}

// wantsState tells whether the entries have become so many that the whole state should be written anew.
func (d *disk) needsCompaction() bool {
	return d.entryBytes > max(minCompactionBytes, d.stateBytes) || d.batches > maxBatches
}

// replace keeps a whole state and nothing else.
func (d *disk) replaceState(v record.View, cluster string, freshAt time.Time) error {
	var encoded bytes.Buffer
	if err := record.Save(&encoded, v); err != nil {
		return err
	}
	err := d.commit(metadata{diskFormat, d.owner, cluster, v.Version(), v.Hash(), freshAt.UnixMilli()}, func(tx *bolt.Tx) error {
		for _, name := range [][]byte{bucketState, bucketEntries} {
			if err := tx.DeleteBucket(name); err != nil && !errors.Is(err, berrors.ErrBucketNotFound) {
				return err
			}
		}
		state, err := tx.CreateBucket(bucketState)
		if err != nil {
			return err
		}
		for n, rest := uint32(0), encoded.Bytes(); len(rest) > 0; n++ {
			part := rest[:min(len(rest), stateChunkBytes)]
			rest = rest[len(part):]
			if err := putChecksummed(state, binary.BigEndian.AppendUint32(nil, n), part); err != nil {
				return err
			}
		}
		return nil
	})
	if err == nil {
		d.stateBytes, d.entryBytes, d.batches = encoded.Len(), 0, 0
	}
	return err
}

// change makes one change of the file that is there as a whole or not at all, and then raises the floor to it.
func (d *disk) commit(a metadata, f func(*bolt.Tx) error) error {
	if d.failure != nil {
		return d.failure
	}
	err := recoverPanics(func() error {
		return d.update(func(tx *bolt.Tx) error {
			if err := f(tx); err != nil {
				return err
			}
			return d.putMetadata(tx, a)
		})
	})
	if errors.Is(err, errDamaged) {
		d.failure = fmt.Errorf("%s: %w", filepath.Join(d.folder, databaseName), err)
		return d.failure
	}
	if err != nil {
		return fmt.Errorf("%s: %w", filepath.Join(d.folder, databaseName), err)
	}
	return d.watermark.advance(watermark{identity: d.owner, ID: a.ID, Version: a.Version})
}

func (d *disk) update(f func(*bolt.Tx) error) error { return d.db.Update(f) }

func (d *disk) putMetadata(tx *bolt.Tx, a metadata) error {
	raw, err := json.Marshal(a)
	if err != nil {
		return err
	}
	b, err := tx.CreateBucketIfNotExists(bucketMetadata)
	if err != nil {
		return err
	}
	return putChecksummed(b, keyMetadata, raw)
}

func (d *disk) close() error {
	err := d.watermark.file.Close()
	if d.db != nil && d.failure == nil {
		err = errors.Join(err, recoverPanics(d.db.Close))
	}
	return err
}

// put stores a value after its checksum.
func putChecksummed(b *bolt.Bucket, key, value []byte) error {
	return b.Put(key, append(binary.BigEndian.AppendUint32(make([]byte, 0, 4+len(value)), checksum(key, value)), value...))
}

// checked gives a value whose checksum is right.
func verifyChecksum(key, stored []byte) ([]byte, error) {
	if len(stored) < 4 || binary.BigEndian.Uint32(stored) != checksum(key, stored[4:]) {
		return nil, fmt.Errorf("%w: a wrong checksum at key %x", errDamaged, key)
	}
	return stored[4:], nil
}

func checksum(key, value []byte) uint32 {
	table := crc32.MakeTable(crc32.Castagnoli)
	return crc32.Update(crc32.Checksum(key, table), table, value)
}

// guarded turns what bbolt does on a damaged file into an error: it panics, or reads where the file has ended.
func recoverPanics(f func() error) (err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("%w: %v", errDamaged, r)
		}
	}()
	return f()
}
