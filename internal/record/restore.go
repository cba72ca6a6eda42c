package record

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"slices"
)

// ErrState reports a stream that is not a complete state as written by Save. The error text names the line and what is
// wrong with it.
var ErrState = errors.New("record: not a whole saved state")

// Restore reads r to its end and replaces the state by the one that Save has written to it, including its bounds and kinds.
// On an error the state is unchanged: everything is read and validated first, and the hash is computed anew from what was
// read. Truncated, modified or foreign input gives an error that wraps ErrState, an unknown format one that wraps ErrFormat;
// errors of r are wrapped too.
func (m *Machine) Restore(r io.Reader) error {
	in := &lineReader{r: bufio.NewReaderSize(r, 64<<10), maxBytes: maxHeaderBytes}
	next := &Machine{domains: m.domains}
	if err := next.readState(in); err != nil {
		return fmt.Errorf("line %d: %w", in.lineNumber, err)
	}
	m.state, m.cachedView = next.state, nil // the domains stay untouched: Prepare may be reading them
	return nil
}

// readState reads a whole saved state into the machine, which must be empty.
func (m *Machine) readState(in *lineReader) error {
	line, err := in.next()
	if err != nil {
		return err
	}
	if err := checkFormat(line); err != nil {
		return err
	}
	var h header
	if err := unmarshalLine(line, &h); err != nil {
		return err
	}
	if err := m.applyHeader(&h); err != nil {
		return err
	}
	in.maxBytes = h.Bounds.maxLineBytes()
	for range h.Items {
		if err := m.readItem(in); err != nil {
			return err
		}
	}
	for range h.Tombstones {
		if err := m.readTombstone(in); err != nil {
			return err
		}
	}
	for range h.Results {
		if err := m.readResult(in); err != nil {
			return err
		}
	}
	if line, err = in.next(); err != nil {
		return err
	}
	var tail trailer
	if err := unmarshalLine(line, &tail); err != nil {
		return err
	}
	if got := m.hash(); !tail.End || got != tail.Hash {
		return fmt.Errorf("%w: its hash is %.64q, and what was read has %s", ErrState, tail.Hash, got)
	}
	return in.expectEOF()
}

// applyHeader validates the header and initializes an empty state from it.
func (m *Machine) applyHeader(h *header) error {
	limits := maxBounds()
	for i, field := range h.Bounds.fields() {
		if *field < 1 || *field > *limits.fields()[i] {
			return fmt.Errorf("%w: bounds: %+v", ErrState, h.Bounds)
		}
	}
	for i, k := range h.Kinds {
		if _, ok := m.domains[k]; !ok {
			return fmt.Errorf("%w: kinds: %.40q is not known here", ErrState, k)
		}
		if slices.Contains(h.Kinds[:i], k) {
			return fmt.Errorf("%w: kinds: %q is there twice", ErrState, k)
		}
	}
	b := h.Bounds
	if h.Items < 0 || h.Tombstones < 0 || h.Results < 0 || h.Items > b.Items || h.Tombstones > b.Items || h.Results > b.Results {
		return fmt.Errorf("%w: %d items, %d removed, %d results are not within the bounds", ErrState, h.Items, h.Tombstones, h.Results)
	}
	if h.Horizon > h.Version || h.TimeMs < 0 {
		return fmt.Errorf("%w: horizon %d, time %d", ErrState, h.Horizon, h.TimeMs)
	}
	m.state = newState(h.params)
	m.version, m.time, m.horizon = h.Version, h.TimeMs, h.Horizon
	return nil
}

func (m *Machine) readItem(in *lineReader) error {
	item := &storedItem{}
	line, err := in.next()
	if err == nil {
		err = unmarshalLine(line, &item.Item)
	}
	if err != nil {
		return err
	}
	d, ok := m.domain(item.Kind)
	if !ok {
		return fmt.Errorf("%w: kind %.40q is none of the head's", ErrState, item.Kind)
	}
	item.Kind = d.Kind() // share one string between all items
	if err := m.checkKeyAndVersion(item.Key, item.Version, 0); err != nil {
		return err
	}
	if prev, ok := m.items.byKey.Max(); ok && !lessItem(prev, item) {
		return fmt.Errorf("%w: the items are not in order", ErrState)
	}
	if len(item.Value) > m.params.Bounds.ValueBytes || string(item.Value) == "null" {
		return fmt.Errorf("%w: a value of %d bytes", ErrState, len(item.Value))
	}
	if err := recoverPanic(func() error { item.endMs = d.Ends(item.Key, item.Value); return nil }); err != nil {
		return fmt.Errorf("%w: %w", ErrState, err)
	}
	m.items.insert(item)
	if item.endMs > 0 {
		m.items.byEnd.ReplaceOrInsert(item)
	}
	if m.items.bytes > m.params.Bounds.ItemBytes {
		return fmt.Errorf("%w: the items have too many bytes", ErrState)
	}
	return nil
}

func (m *Machine) readTombstone(in *lineReader) error {
	t := &tombstone{}
	line, err := in.next()
	if err == nil {
		err = unmarshalLine(line, t)
	}
	if err != nil {
		return err
	}
	if err := m.checkKeyAndVersion(t.Key, t.Version, m.horizon); err != nil {
		return err
	}
	if prev, ok := m.items.tombstone.Max(); ok && !lessTombstone(prev, t) {
		return fmt.Errorf("%w: the removed items are not in order", ErrState)
	}
	if _, exists := m.items.get(t.Kind, t.Key); exists || !slices.Contains(m.params.Kinds, t.Kind) {
		return fmt.Errorf("%w: %.40q %.40q cannot be a removed item", ErrState, t.Kind, t.Key)
	}
	m.items.addTombstone(t)
	return nil
}

func (m *Machine) readResult(in *lineReader) error {
	r := &Result{}
	line, err := in.next()
	if err == nil {
		err = unmarshalLine(line, r)
	}
	if err != nil {
		return err
	}
	if !validID(r.ID) || r.Again || r.Version == 0 || r.Version > m.version {
		return fmt.Errorf("%w: a result of id %.64q, version %d", ErrState, r.ID, r.Version)
	}
	if prev, ok := m.results.byVersion.Max(); ok && prev.Version >= r.Version {
		return fmt.Errorf("%w: the results are not in order", ErrState)
	}
	if _, exists := m.results.get(r.ID); exists {
		return fmt.Errorf("%w: a second result of id %q", ErrState, r.ID)
	}
	for i := range r.Newer {
		if string(r.Newer[i].Value) == "null" { // no item has the value null: the value was omitted
			r.Newer[i].Value = nil
		}
	}
	if m.results.add(r, m.params.Bounds) != 0 {
		return fmt.Errorf("%w: the results have too many bytes", ErrState)
	}
	return nil
}

// checkKeyAndVersion validates an item's key and requires its version to be after the given one and at most the record's.
func (m *Machine) checkKeyAndVersion(key string, version, after Version) error {
	if err := validKey(key, m.params.Bounds); err != nil {
		return fmt.Errorf("%w: %w", ErrState, err)
	}
	if version <= after || version > m.version {
		return fmt.Errorf("%w: version %d of an item", ErrState, version)
	}
	return nil
}

func unmarshalLine(line []byte, target any) error {
	if err := unmarshalCanonical(line, target); err != nil {
		return fmt.Errorf("%w: %w", ErrState, err)
	}
	return nil
}

// maxHeaderBytes limits the first line; the bounds in the header limit the others.
const maxHeaderBytes = 64 << 10

// maxLineBytes returns the maximum length of an item or result line. JSON encodes one byte of text in at most six.
func (b Bounds) maxLineBytes() int {
	const fieldOverhead = 512 // bytes of field names, kind, id and numbers
	item := fieldOverhead + 6*b.KeyBytes
	return max(item+b.ValueBytes, fieldOverhead+6*maxReasonBytes+maxNewerBytes+b.Changes*item)
}

// lineReader reads and counts lines of bounded length.
type lineReader struct {
	r          *bufio.Reader
	maxBytes   int
	lineNumber int // of the last line read, from 1 on
	line       []byte
}

// next returns a line without its newline. It is valid until the next call.
func (l *lineReader) next() ([]byte, error) {
	l.lineNumber++
	l.line = l.line[:0]
	for {
		part, err := l.r.ReadSlice('\n')
		if l.line = append(l.line, part...); len(l.line) > l.maxBytes+1 {
			return nil, fmt.Errorf("%w: longer than %d bytes", ErrState, l.maxBytes)
		}
		switch {
		case err == nil:
			return l.line[:len(l.line)-1], nil
		case errors.Is(err, io.EOF):
			return nil, fmt.Errorf("%w: it is cut off here", ErrState)
		case !errors.Is(err, bufio.ErrBufferFull):
			return nil, err
		}
	}
}

// expectEOF fails unless the input ends here.
func (l *lineReader) expectEOF() error {
	switch _, err := l.r.ReadByte(); {
	case err == nil:
		l.lineNumber++
		return fmt.Errorf("%w: something follows its last line", ErrState)
	case !errors.Is(err, io.EOF):
		return err
	}
	return nil
}
