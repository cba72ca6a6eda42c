package disk

import (
	"runtime"
	"sync"
	"sync/atomic"

	"github.com/hashicorp/raft"
)

// aheadBytes bounds the entries that are kept from the check at a start until raft has them: their data, and aheadHead each.
const (
	maxPreloadBytes = 64 << 20
	entryOverhead   = 256
)

// ahead are entries without a gap that were read and checked at the start. raft reads them twice more then: for the
// configurations among them, and to apply them.
type preloaded struct {
	first uint64
	logs  []raft.Log
}

// get is false for an entry that is not there; also of no ahead at all.
func (a *preloaded) get(index uint64, l *raft.Log) bool {
	if a == nil || index < a.first || index-a.first >= uint64(len(a.logs)) {
		return false
	}
	*l = a.logs[index-a.first]
	return true
}

// Release lets go of the entries that are kept from the check. raft has them, or reads them from the file.
func (s *Store) ReleasePreloaded() { s.preloaded.Store(nil) }

// stretch is how many entries one goroutine reads at a time.
const chunkEntries = 512

// piece is what was read of a stretch.
type chunk struct {
	entries  []raft.Log
	term     uint64 // of its last entry
	commands uint64
	err      error
}

// readAll reads and checks the log from first to last on all cores, notes in held what comes after covered, and keeps as much of
// that as aheadBytes allows. The error is that of the first entry that is not as it was written.
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

// readSome reads and checks entries, and counts those after covered. It keeps these unless bytes says that there are too many.
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
