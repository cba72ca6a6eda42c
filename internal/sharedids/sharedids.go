// Package sharedids remembers request IDs for all processes of a sidecar, such as the old and the new process of an upgrade, so
// that a request that comes again at another process is recognized. The IDs are kept in a table that the processes map into
// their memory. An entry of a process that ends stays until its time is over.
package sharedids

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"os"
	"sync/atomic"
	"time"
	"unsafe"

	"github.com/gofrs/flock"
)

const (
	slotsPerBucket = 8
	buckets        = 1 << 11
	seedBytes      = 16
	headerBytes    = 64 // the seed of the hash, at the start of the file
	fileBytes      = headerBytes + buckets*slotsPerBucket*8
	fileMode       = 0o600

	tick       = 64 * time.Millisecond // unit of the times in the table
	expiryBits = 24
	expiryMask = 1<<expiryBits - 1
	maxRetries = 16 // of an entry that another process is faster with

	lockTimeout    = time.Second
	lockRetryDelay = 5 * time.Millisecond
)

// Table is a table of IDs. It is safe for concurrent use.
type Table struct {
	memory      []byte
	seed        []byte
	slots       []atomic.Uint64 // each an ID's hash without its last expiryBits bits, and the tick at which the entry ends; 0 if unused
	maxLifetime uint64          // ticks; an entry that ends later is from before the machine was started
	now         func() time.Duration
}

// Open maps the table in the file at path, which it creates if there is none. No ID is remembered for longer than maxLifetime.
func Open(path string, maxLifetime time.Duration) (*Table, error) {
	ctx, cancel := context.WithTimeout(context.Background(), lockTimeout)
	defer cancel()
	lock := flock.New(path+".lock", flock.SetPermissions(fileMode))
	if _, err := lock.TryLockContext(ctx, lockRetryDelay); err != nil {
		return nil, fmt.Errorf("lock %s: %w", path, err)
	}
	defer lock.Close()
	file, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, fileMode)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	if err := fill(file); err != nil {
		return nil, err
	}
	memory, err := mapFile(file, fileBytes)
	if err != nil {
		return nil, fmt.Errorf("map %s: %w", path, err)
	}
	table := memory[headerBytes:]
	return &Table{
		memory:      memory,
		seed:        memory[:seedBytes],
		slots:       unsafe.Slice((*atomic.Uint64)(unsafe.Pointer(&table[0])), buckets*slotsPerBucket),
		maxLifetime: uint64(maxLifetime/tick) + 2,
		now:         systemUptime,
	}, nil
}

// fill writes a new table. All of it is written, so that storing an entry needs no space that the disk may lack.
func fill(file *os.File) error {
	info, err := file.Stat()
	if err != nil || info.Size() == fileBytes {
		return err
	}
	content := make([]byte, fileBytes)
	if _, err := rand.Read(content[:seedBytes]); err != nil {
		return err
	}
	if err := file.Truncate(0); err != nil {
		return err
	}
	_, err = file.WriteAt(content, 0)
	return err
}

// Close unmaps the table, which must not be used any more.
func (t *Table) Close() error { return unmap(t.memory) }

// TryAdd reports whether no process has remembered the ID, and remembers it for the lifetime. Of two processes that add an ID at
// the same moment, one or both are refused.
func (t *Table) TryAdd(id []byte, lifetime time.Duration) bool {
	hash, bucket := t.locate(id)
	for range maxRetries {
		now := t.ticks()
		i, old := t.victim(bucket, now) // chosen before the search, which then sees what replaces it
		if t.find(bucket, hash, now, -1) >= 0 {
			return false
		}
		entry := hash | t.expiry(now, lifetime)
		if !bucket[i].CompareAndSwap(old, entry) {
			continue
		}
		if t.find(bucket, hash, now, i) >= 0 {
			bucket[i].CompareAndSwap(entry, 0)
			return false
		}
		return true
	}
	return false
}

// Extend remembers an added ID for the lifetime from now on.
func (t *Table) Extend(id []byte, lifetime time.Duration) {
	hash, bucket := t.locate(id)
	now := t.ticks()
	if i := t.find(bucket, hash, now, -1); i >= 0 {
		old := bucket[i].Load()
		if old&^expiryMask == hash {
			bucket[i].CompareAndSwap(old, hash|t.expiry(now, lifetime))
		}
	}
}

// locate returns the part of an ID's hash that is stored, and the slots for it.
func (t *Table) locate(id []byte) (hash uint64, bucket []atomic.Uint64) {
	digest := sha256.New()
	digest.Write(t.seed)
	digest.Write(id)
	var sum [sha256.Size]byte
	digest.Sum(sum[:0])
	hash = binary.LittleEndian.Uint64(sum[:8])&^expiryMask | 1<<expiryBits // never 0
	first := int(binary.LittleEndian.Uint32(sum[8:])%buckets) * slotsPerBucket
	return hash, t.slots[first : first+slotsPerBucket]
}

// find returns the position of a live entry with the hash, other than one to skip, or -1.
func (t *Table) find(bucket []atomic.Uint64, hash, now uint64, skip int) int {
	for i := range bucket {
		if entry := bucket[i].Load(); i != skip && entry&^expiryMask == hash && t.remaining(entry, now) > 0 {
			return i
		}
	}
	return -1
}

// victim returns an unused or expired entry, or else the one that ends first, and its position.
func (t *Table) victim(bucket []atomic.Uint64, now uint64) (position int, entry uint64) {
	least := ^uint64(0)
	for i := range bucket {
		candidate := bucket[i].Load()
		if remaining := t.remaining(candidate, now); remaining < least {
			position, entry, least = i, candidate, remaining
		}
	}
	return position, entry
}

// remaining returns the ticks for which an entry is still remembered.
func (t *Table) remaining(entry, now uint64) uint64 {
	remaining := (entry&expiryMask - now) & expiryMask
	if entry == 0 || remaining > t.maxLifetime {
		return 0
	}
	return remaining
}

// expiry returns the tick at which a lifetime from now is over.
func (t *Table) expiry(now uint64, lifetime time.Duration) uint64 {
	return (now + min(uint64(lifetime/tick)+1, t.maxLifetime)) & expiryMask
}

// ticks returns the current time in ticks.
func (t *Table) ticks() uint64 { return uint64(t.now()/tick) & expiryMask }
