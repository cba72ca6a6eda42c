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

// Names, format and limits of the state database.
const (
	databaseName       = "observer.db"
	damagedName        = "observer.db.damaged" // only the last damaged file is kept
	diskFormat         = 1
	stateChunkBytes    = 256 << 10 // of a full state, stored as one value
	minCompactionBytes = 1 << 20   // total entry size that is tolerated before the full state is rewritten
	maxBatches         = 4096      // number of batches that is tolerated before the full state is rewritten
	lockTimeout        = time.Second
)

var (
	bucketMetadata = []byte("about")
	bucketState    = []byte("state")   // chunks of the output of record.Save by number
	bucketEntries  = []byte("entries") // received batches by the version that they lead to
	keyMetadata    = []byte("about")
)

// errDamaged reports that a file does not contain what was written to it.
var errDamaged = errors.New("damaged")

// identity identifies the owner of a folder.
type identity struct {
	Cluster string `json:"cluster"` // cluster name in the configuration
	Name    string `json:"name"`    // member name
}

// metadata describes the database contents. It is rewritten with every change.
type metadata struct {
	Format int `json:"format"`
	identity
	ID      string         `json:"id"` // cluster ID
	Version record.Version `json:"version"`
	Hash    string         `json:"hash"`
	FreshMs int64          `json:"fresh_ms"` // Unix time at which Version was certainly the newest
}

// disk stores the served state in a bbolt file: a full state and the entries after it, each value with a checksum of key and
// value. The watermark is a separate file, so that a damaged database does not make the observer forget which version it has
// served.
type disk struct {
	folder    string
	owner     identity
	log       *slog.Logger
	db        *bolt.DB
	watermark *watermarkFile
	failure   error // set when bbolt failed during an operation; it must not be used again

	stateBytes, entryBytes, batches int // size of the full state, size of the entries after it, and their number of batches
}

// storedState is what a folder contained.
type storedState struct {
	id         string // cluster ID; "" if unknown
	watermark  record.Version
	savedState []byte // nil if there is no state
	batches    []*api.Batch
	metadata   metadata
	freshAt    time.Time
}

// restore brings an empty replica to the stored state.
func (s *storedState) restore(dst *replica.Replica) error {
	if err := dst.Restore(bytes.NewReader(s.savedState)); err != nil {
		return err
	}
	for _, b := range s.batches {
		commit, err := dst.Stage(b.Entries, b.Version, b.Hash)
		if err != nil {
			return err
		}
		commit()
	}
	if v := dst.View(); v.Version() != s.metadata.Version || v.Hash() != s.metadata.Hash {
		return fmt.Errorf("stored entries lead to version %d, hash %s, want version %d, hash %s",
			v.Version(), v.Hash(), s.metadata.Version, s.metadata.Hash)
	}
	return nil
}

// openDisk opens a folder and creates it if necessary. A damaged database is not an error: it is logged and moved aside, and
// there is no stored state. The error is a single line that names the folder.
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

// recreate moves the database aside and creates an empty one.
func (d *disk) recreate(cause error) error {
	d.log.Error("cluster_disk", "folder", d.folder, "file", databaseName, "aside", damagedName, "error", cause, "shown", d.watermark.current.Version)
	if d.db != nil && d.failure == nil {
		if err := recoverPanics(d.db.Close); err != nil {
			d.log.Warn("cluster_disk", "folder", d.folder, "error", err)
		}
	}
	d.db, d.failure = nil, nil // a file that failed during an operation stays open until the process ends
	if err := os.Rename(filepath.Join(d.folder, databaseName), filepath.Join(d.folder, damagedName)); err != nil {
		return err
	}
	return recoverPanics(func() error { return d.open(&storedState{}) })
}

// open opens the database and reads all of it, then writes to it, so that faults show at the start.
func (d *disk) open(stored *storedState) error {
	db, err := bolt.Open(filepath.Join(d.folder, databaseName), 0o600, &bolt.Options{Timeout: lockTimeout, FreelistType: bolt.FreelistMapType})
	var path *fs.PathError
	switch {
	case errors.Is(err, berrors.ErrTimeout):
		return errors.New("another process is using it")
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

// load reads the metadata, the full state and the entries.
func (d *disk) load(tx *bolt.Tx, stored *storedState) error {
	raw, err := verifyChecksum(keyMetadata, tx.Bucket(bucketMetadata).Get(keyMetadata))
	if err != nil {
		return fmt.Errorf("about: %w", err)
	}
	if err := json.Unmarshal(raw, &stored.metadata); err != nil {
		return fmt.Errorf("about: %w: %w", errDamaged, err)
	}
	if stored.metadata.Format != diskFormat {
		return fmt.Errorf("%s has format %d, this program supports %d", databaseName, stored.metadata.Format, diskFormat)
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

// check returns an error if a folder belongs to another owner.
func (i identity) check(found identity) error {
	if found != i {
		return fmt.Errorf("it belongs to member %q of cluster %q, but this is member %q of cluster %q", found.Name, found.Cluster, i.Name, i.Cluster)
	}
	return nil
}

// appendBatch stores the entries that follow the stored ones.
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

// needsCompaction reports whether the full state should replace the stored entries.
func (d *disk) needsCompaction() bool {
	return d.entryBytes > max(minCompactionBytes, d.stateBytes) || d.batches > maxBatches
}

// replaceState stores a full state in place of the stored state and entries.
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

// commit changes the database atomically and then advances the watermark to the new version.
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

// putChecksummed stores a value prefixed with its checksum.
func putChecksummed(b *bolt.Bucket, key, value []byte) error {
	return b.Put(key, append(binary.BigEndian.AppendUint32(make([]byte, 0, 4+len(value)), checksum(key, value)), value...))
}

// verifyChecksum returns a stored value without its checksum, which must match.
func verifyChecksum(key, stored []byte) ([]byte, error) {
	if len(stored) < 4 || binary.BigEndian.Uint32(stored) != checksum(key, stored[4:]) {
		return nil, fmt.Errorf("%w: wrong checksum at key %x", errDamaged, key)
	}
	return stored[4:], nil
}

// checksum returns the CRC-32C of a key and its value.
func checksum(key, value []byte) uint32 {
	table := crc32.MakeTable(crc32.Castagnoli)
	return crc32.Update(crc32.Checksum(key, table), table, value)
}

// recoverPanics converts the faults of bbolt on a damaged file to errors: it panics, or reads beyond the end of the file.
func recoverPanics(f func() error) (err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("%w: %v", errDamaged, r)
		}
	}()
	return f()
}
