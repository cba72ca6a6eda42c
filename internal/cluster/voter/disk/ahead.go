package disk

import (
	"runtime"
	"sync"
	"sync/atomic"

	"github.com/hashicorp/raft"
)

const (
	maxPreloadBytes = 64 << 20 // of entries kept in memory from the check at the start until raft has read them
	entryOverhead   = 256      // bytes counted for each entry in addition to its data
)

// preloaded holds consecutive entries that were read and checked at the start. raft reads them twice more: to find the
// configurations among them, and to apply them.
type preloaded struct {
	first uint64
	logs  []raft.Log
}

// get returns false if the entry is not preloaded. The receiver may be nil.
func (a *preloaded) get(index uint64, l *raft.Log) bool {
	if a == nil || index < a.first || index-a.first >= uint64(len(a.logs)) {
		return false
	}
	*l = a.logs[index-a.first]
	return true
}

// ReleasePreloaded frees the preloaded entries. From then on they are read from the file.
func (s *Store) ReleasePreloaded() { s.preloaded.Store(nil) }

// chunkEntries is the number of entries that one goroutine reads at a time.
const chunkEntries = 512

// chunk is the result of checking up to chunkEntries entries.
type chunk struct {
	entries  []raft.Log
	term     uint64 // of the last entry
	commands uint64
	err      error
}

// checkEntries reads and checks the log from first to last on all cores, adds the entries after snapshotIndex to contents, and
// preloads as many of them as maxPreloadBytes allows. It returns the error of the first damaged entry.
func (s *Store) checkEntries(first, last, snapshotIndex uint64, contents *Contents) error {
	chunks := make([]chunk, (last-first)/chunkEntries+1)
	var next, preloadBytes atomic.Int64
	var wg sync.WaitGroup
	for range min(runtime.GOMAXPROCS(0), len(chunks)) {
		wg.Go(func() {
			for i := next.Add(1) - 1; i < int64(len(chunks)); i = next.Add(1) - 1 {
				from := first + uint64(i)*chunkEntries
				chunks[i] = s.checkChunk(from, min(from+chunkEntries-1, last), snapshotIndex, &preloadBytes)
			}
		})
	}
	wg.Wait()
	preload := &preloaded{first: max(first, snapshotIndex+1)}
	whole := true
	for i, p := range chunks {
		if p.err != nil {
			return p.err
		}
		to := min(first+uint64(i+1)*chunkEntries-1, last)
		if to <= snapshotIndex {
			continue
		}
		contents.Last, contents.Term = to, p.term
		contents.Commands += p.commands
		if whole = whole && p.entries != nil; whole {
			preload.logs = append(preload.logs, p.entries...)
		}
	}
	s.preloaded.Store(preload)
	return nil
}

// checkChunk reads and checks entries, and counts and keeps those after snapshotIndex. It keeps none of them if they do not
// all fit into maxPreloadBytes, of which preloadBytes are in use.
func (s *Store) checkChunk(from, to, snapshotIndex uint64, preloadBytes *atomic.Int64) (p chunk) {
	for i := from; i <= to; i++ {
		var l raft.Log
		if p.err = s.GetLog(i, &l); p.err != nil {
			return p
		}
		if i <= snapshotIndex {
			continue
		}
		if p.term = l.Term; l.Type == raft.LogCommand {
			p.commands++
		}
		if preloadBytes.Add(int64(len(l.Data))+entryOverhead) <= maxPreloadBytes {
			p.entries = append(p.entries, l)
		}
	}
	if uint64(len(p.entries)) < to-max(from-1, min(to, snapshotIndex)) {
		p.entries = nil
	}
	return p
}
