package disk

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/raft"
	raftboltdb "github.com/hashicorp/raft-boltdb/v2"
	"go.etcd.io/bbolt"
)

// The keys of hashicorp/raft for its term and vote, and the key under which the Store keeps them together.
const (
	keyTerm        = "CurrentTerm"
	keyVoteTerm    = "LastVoteTerm"
	keyVoteCand    = "LastVoteCand"
	keyTermAndVote = "kept"
)

// Store keeps raft's log, term and vote in a bbolt file. Each entry has a CRC32C checksum. Term and vote are one value with a
// checksum of its own: raft writes a vote's term and its candidate one after the other, and a crash in between would leave
// a vote in a new term for the candidate of an old one. raft would take it for a vote already given, and repeat it
// without checking the candidate's log.
//
// raft panics if its store fails. So the store reports every fault to the function set by OnFault, which is expected not to return.
type Store struct {
	bolt      *raftboltdb.BoltStore
	path      string
	onFault   atomic.Pointer[func(error)]
	hook      atomic.Pointer[func(op string) error]
	preloaded atomic.Pointer[preloaded] // nil if released

	writersMu    sync.Mutex
	writers      int
	writingSince time.Time // start of the first of the current writers

	mu       sync.Mutex
	saved    termAndVote
	voteTerm uint64 // set by raft, and stored together with the candidate
}

func openStore(path string) (*Store, error) {
	s := &Store{path: path}
	err := checkMetaPages(path)
	if err == nil {
		err = checkKeys(path)
	}
	if err == nil {
		err = s.open()
	}
	if err != nil {
		return nil, fmt.Errorf("%w: %s: %w", ErrDamaged, path, err)
	}
	return s, nil
}

func (s *Store) open() (err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer recoverFault(&err)
	s.bolt, err = raftboltdb.New(raftboltdb.Options{Path: s.path, BoltOptions: &bbolt.Options{
		// The list of free pages is stored too. To rebuild it, bbolt would read all pages in a goroutine of its own, and panic
		// there if one is damaged.
		Timeout: lockTimeout, FreelistType: bbolt.FreelistMapType, InitialMmapSize: 64 << 20,
	}})
	if err == nil {
		err = s.loadTermAndVote()
	}
	return err
}

// recoverFault turns a panic into an error. bbolt panics on invalid pages, and access to a mapped file that was truncated
// faults.
func recoverFault(err *error) {
	if v := recover(); v != nil {
		*err = fmt.Errorf("%v", v)
	}
}

// OnFault sets the function called on a disk fault, in the goroutine of the operation that failed.
func (s *Store) OnFault(f func(error)) { s.onFault.Store(&f) }

// Interpose sets a function called before every operation, which fails with the function's error. It lets tests inject disk
// faults.
func (s *Store) Interpose(f func(op string) error) { s.hook.Store(&f) }

// do runs one operation. Errors in expected are returned to raft without being reported as faults.
func (s *Store) do(op string, f func() error, expected ...error) error {
	err := func() (err error) {
		defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
		defer recoverFault(&err)
		if hook := s.hook.Load(); hook != nil {
			if err := (*hook)(op); err != nil {
				return err
			}
		}
		return f()
	}()
	if err == nil {
		return nil
	}
	for _, p := range expected {
		if errors.Is(err, p) {
			return err
		}
	}
	err = fmt.Errorf("%w: %s: %s: %w", ErrDamaged, s.path, op, err)
	if report := s.onFault.Load(); report != nil {
		(*report)(err)
	}
	return err
}

// write is do for an operation that changes the file.
func (s *Store) write(op string, f func() error) error {
	s.writersMu.Lock()
	if s.writers++; s.writers == 1 {
		s.writingSince = time.Now()
	}
	s.writersMu.Unlock()
	defer func() {
		s.writersMu.Lock()
		s.writers--
		s.writersMu.Unlock()
	}()
	return s.do(op, f)
}

// CurrentWriteTime returns how long the oldest write in progress has been running, or 0 if there is none.
func (s *Store) CurrentWriteTime() time.Duration {
	s.writersMu.Lock()
	defer s.writersMu.Unlock()
	if s.writers == 0 {
		return 0
	}
	return time.Since(s.writingSince)
}

// IsMonotonic tells raft that the log must not have gaps, so that it deletes the whole log after installing a snapshot.
func (s *Store) IsMonotonic() bool { return true }

// FirstIndex implements raft.LogStore.
func (s *Store) FirstIndex() (i uint64, err error) {
	err = s.do("read the log's begin", func() (err error) { i, err = s.bolt.FirstIndex(); return err })
	return i, err
}

// LastIndex implements raft.LogStore.
func (s *Store) LastIndex() (i uint64, err error) {
	err = s.do("read the log's end", func() (err error) { i, err = s.bolt.LastIndex(); return err })
	return i, err
}

// GetLog implements raft.LogStore. A missing entry between the first and the last index is a fault.
func (s *Store) GetLog(index uint64, l *raft.Log) error {
	if s.preloaded.Load().get(index, l) {
		return nil
	}
	return s.do("read an entry", func() error {
		if err := s.bolt.GetLog(index, l); errors.Is(err, raft.ErrLogNotFound) {
			return s.missing(index)
		} else if err != nil {
			return fmt.Errorf("entry %d: %w", index, err)
		}
		return stripChecksum(index, l)
	}, raft.ErrLogNotFound)
}

// missing returns the error for an entry that was not found: a fault if the log should have it.
func (s *Store) missing(index uint64) error {
	first, err := s.bolt.FirstIndex()
	if err != nil {
		return err
	}
	last, err := s.bolt.LastIndex()
	if err != nil {
		return err
	}
	if first <= index && index <= last {
		return fmt.Errorf("entry %d is missing between %d and %d", index, first, last)
	}
	return raft.ErrLogNotFound
}

// StoreLog implements raft.LogStore.
func (s *Store) StoreLog(l *raft.Log) error { return s.StoreLogs([]*raft.Log{l}) }

// StoreLogs implements raft.LogStore. It does not modify the entries, because raft also sends them to followers.
func (s *Store) StoreLogs(logs []*raft.Log) error {
	if a := s.preloaded.Load(); a != nil && len(logs) > 0 && logs[0].Index < a.first+uint64(len(a.logs)) {
		s.ReleasePreloaded()
	}
	withChecksums := make([]raft.Log, len(logs))
	refs := make([]*raft.Log, len(logs))
	for i, l := range logs {
		withChecksums[i] = *l
		withChecksums[i].Extensions = binary.LittleEndian.AppendUint32(bytes.Clone(l.Extensions), checksum(l.Index, l, l.Extensions))
		refs[i] = &withChecksums[i]
	}
	return s.write("write entries", func() error { return s.bolt.StoreLogs(refs) })
}

// DeleteRange implements raft.LogStore.
func (s *Store) DeleteRange(from, to uint64) error {
	s.ReleasePreloaded()
	return s.write("delete entries", func() error { return s.bolt.DeleteRange(from, to) })
}

// stripChecksum verifies the checksum of a stored entry and removes it from the extensions.
func stripChecksum(index uint64, l *raft.Log) error {
	n := len(l.Extensions) - 4
	if n < 0 || l.Index != index || binary.LittleEndian.Uint32(l.Extensions[n:]) != checksum(index, l, l.Extensions[:n]) {
		return fmt.Errorf("entry %d has another checksum than it was written with", index)
	}
	if l.Extensions = l.Extensions[:n:n]; n == 0 {
		l.Extensions = nil
	}
	return nil
}

// checksum returns the CRC32C of an entry's index, term, type, data and extensions.
func checksum(index uint64, l *raft.Log, extensions []byte) uint32 {
	table := crc32.MakeTable(crc32.Castagnoli)
	head := binary.LittleEndian.AppendUint64(nil, index)
	head = binary.LittleEndian.AppendUint64(head, l.Term)
	head = append(head, byte(l.Type))
	head = binary.LittleEndian.AppendUint64(head, uint64(len(l.Data)))
	return crc32.Update(crc32.Update(crc32.Update(0, table, head), table, l.Data), table, extensions)
}

// termAndVote is what raft stores in addition to the log, in one value.
type termAndVote struct {
	term, voteTerm uint64
	candidate      []byte // voted for in voteTerm; nil for none
}

func (k termAndVote) encode() []byte {
	b := binary.LittleEndian.AppendUint64(nil, k.term)
	b = append(binary.LittleEndian.AppendUint64(b, k.voteTerm), k.candidate...)
	return binary.LittleEndian.AppendUint32(b, crc32.Checksum(b, crc32.MakeTable(crc32.Castagnoli)))
}

func decodeTermAndVote(b []byte) (k termAndVote, err error) {
	n := len(b) - 4
	if n < 16 || binary.LittleEndian.Uint32(b[n:]) != crc32.Checksum(b[:n], crc32.MakeTable(crc32.Castagnoli)) {
		return k, errors.New("the votes have another checksum than they were written with")
	}
	k = termAndVote{term: binary.LittleEndian.Uint64(b), voteTerm: binary.LittleEndian.Uint64(b[8:])}
	if n > 16 {
		k.candidate = b[16:n]
	}
	return k, nil
}

func (s *Store) loadTermAndVote() error {
	b, err := s.bolt.Get([]byte(keyTermAndVote))
	if errors.Is(err, raftboltdb.ErrKeyNotFound) {
		return nil
	}
	if err == nil {
		s.saved, err = decodeTermAndVote(b)
	}
	return err
}

// saveTermAndVote replaces the stored term and vote. The caller holds mu.
func (s *Store) saveTermAndVote(k termAndVote) error {
	err := s.write("write the term and the vote", func() error { return s.bolt.Set([]byte(keyTermAndVote), k.encode()) })
	if err == nil {
		s.saved = k
	}
	return err
}

// Set implements raft.StableStore. raft sets a vote's candidate after its term, and both are stored now.
func (s *Store) Set(key, value []byte) error {
	if string(key) != keyVoteCand {
		return fmt.Errorf("raft keeps %q, which is not known here", key)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	k := s.saved
	k.voteTerm, k.candidate = s.voteTerm, bytes.Clone(value)
	return s.saveTermAndVote(k)
}

// SetUint64 implements raft.StableStore.
func (s *Store) SetUint64(key []byte, v uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := s.saved
	switch string(key) {
	case keyVoteTerm:
		s.voteTerm = v
		return nil
	case keyTerm:
		k.term = v
		return s.saveTermAndVote(k)
	}
	return fmt.Errorf("raft keeps %q, which is not known here", key)
}

// Get implements raft.StableStore. It returns nil if no vote was ever given.
func (s *Store) Get(key []byte) ([]byte, error) {
	if string(key) != keyVoteCand {
		return nil, fmt.Errorf("raft asks for %q, which is not known here", key)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return bytes.Clone(s.saved.candidate), nil
}

// GetUint64 implements raft.StableStore.
func (s *Store) GetUint64(key []byte) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch string(key) {
	case keyVoteTerm:
		return s.saved.voteTerm, nil
	case keyTerm:
		return s.saved.term, nil
	}
	return 0, fmt.Errorf("raft asks for %q, which is not known here", key)
}

// close closes the file, but gives up after lockTimeout: bbolt may still hold its locks after a fault.
func (s *Store) close() error {
	done := make(chan error, 1)
	go func() { done <- s.bolt.Close() }()
	select {
	case err := <-done:
		return err
	case <-time.After(lockTimeout):
		return fmt.Errorf("%s: timeout while closing the log", s.path)
	}
}
