package api

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"burlpass/internal/record"
)

// Format is the newest form of an answer to /v1/entries that this program writes and reads.
const Format = 1

// What an answer to /v1/entries carries.
const (
	KindEntries = "entries" // the entries after Head.Since
	KindState   = "state"   // a whole state, as record.Save wrote it
)

// Bounds of an answer that is read.
const (
	maxLineBytes         = 64 << 10 // bytes of its first and last line
	DefaultMaxBatchBytes = 256 << 20
	readBufferBytes      = 64 << 10
	maxPathLength        = 64 // names of a path
)

// ErrFormat is an answer in a form that only a newer program knows.
var ErrFormat = errors.New("a newer format")

// Header is the first line of an answer to /v1/entries.
type Header struct {
	Format  int            `json:"format"`
	Cluster string         `json:"cluster"` // its id
	Kind    string         `json:"kind"`
	Since   record.Version `json:"since"`   // the entries follow it; of a state what was asked
	Version record.Version `json:"version"` // that the answer leads to; older than Since where the source itself is behind
	Hash    string         `json:"hash"`    // of Version's state
	Path    []string       `json:"path"`    // names from a voter to the one that answers
	Leader  bool           `json:"leader"`  // the one that answers leads
	AgeMs   int64          `json:"age_ms"`  // how long ago, when this line was written, Version was surely the newest
	// WaitedMs is how long the answer was held back. What the call took beyond it may all have passed since this line was
	// written, so a follower adds that to AgeMs.
	WaitedMs int64 `json:"waited_ms"`
	Count    int   `json:"count"` // lines between the first and the last
}

type trailerLine struct {
	End  bool   `json:"end"`
	Hash string `json:"hash"`
}

// Batch is a whole answer to /v1/entries: one that came to its end, or one that is to be written.
type Batch struct {
	Header
	Entries    [][]byte // of KindEntries, as record.Encode made them
	SavedState []byte   // of KindState, as record.Save wrote it
}

// State reads the state of a Batch of KindState.
func (b *Batch) State() io.Reader { return bytes.NewReader(b.SavedState) }

// Bytes is how long the batch's lines are together, in bytes, without the first and the last.
func (b *Batch) Size() int {
	n := len(b.SavedState)
	for _, e := range b.Entries {
		n += len(e) + 1
	}
	return n
}

// AppendHead appends the first line.
func (h *Header) AppendHeader(dst []byte) []byte {
	line, err := json.Marshal(h)
	if err != nil { // strings and numbers only
		panic(err)
	}
	return append(append(dst, line...), '\n')
}

// AppendEnd appends the last line.
func (h *Header) AppendTrailer(dst []byte) []byte {
	line, err := json.Marshal(trailerLine{true, h.Hash})
	if err != nil {
		panic(err)
	}
	return append(append(dst, line...), '\n')
}

// Append appends the batch as it is sent and kept.
func (b *Batch) Append(dst []byte) []byte {
	dst = b.AppendHeader(dst)
	for _, e := range b.Entries {
		dst = append(append(dst, e...), '\n')
	}
	return b.AppendTrailer(append(dst, b.SavedState...))
}

// ReadBatch reads a batch to its last line and to from's end. Whatever is missing, too much or over most bytes is an error,
// and then there is no batch. It does not apply anything: whether the hash is right is seen by who does.
func ReadBatch(src io.Reader, maxBytes int64) (*Batch, error) {
	r := bufio.NewReaderSize(&boundedReader{src, maxBytes + 2*maxLineBytes}, readBufferBytes)
	line, err := readLine(r, nil, maxLineBytes)
	if err != nil {
		return nil, fmt.Errorf("first line: %w", err)
	}
	b := &Batch{}
	if err := json.Unmarshal(line, &b.Header); err != nil {
		return nil, fmt.Errorf("first line: %w", err)
	}
	if err := b.Header.validate(); err != nil {
		return nil, err
	}
	for i := range b.Count {
		if b.Kind == KindState {
			b.SavedState, err = readLine(r, b.SavedState, maxBytes)
			b.SavedState = append(b.SavedState, '\n')
		} else {
			line, err = readLine(r, nil, maxBytes)
			b.Entries = append(b.Entries, line)
		}
		if err != nil {
			return nil, fmt.Errorf("line %d of %d: %w", i+1, b.Count, err)
		}
	}
	if line, err = readLine(r, nil, maxLineBytes); err != nil {
		return nil, fmt.Errorf("last line: %w", err)
	}
	var trailer trailerLine
	if err := json.Unmarshal(line, &trailer); err != nil || !trailer.End {
		return nil, fmt.Errorf("last line: %.80q is not one", line)
	}
	if trailer.Hash != b.Hash {
		return nil, fmt.Errorf("last line: hash %.80q, first line %.80q", trailer.Hash, b.Hash)
	}
	if _, err := r.ReadByte(); err != io.EOF {
		return nil, errors.New("more after the last line")
	}
	return b, nil
}

func (h *Header) validate() error {
	switch {
	case h.Format > Format:
		return fmt.Errorf("%w: %d", ErrFormat, h.Format)
	case h.Format != Format:
		return fmt.Errorf("format %d", h.Format)
	case h.Kind != KindEntries && h.Kind != KindState:
		return fmt.Errorf("kind %.40q", h.Kind)
	case h.Count < 0 || h.AgeMs < 0 || h.WaitedMs < 0:
		return errors.New("a negative count or age")
	case len(h.Path) == 0 || len(h.Path) > maxPathLength:
		return fmt.Errorf("a path of %d names", len(h.Path))
	case h.Kind == KindState && h.Count == 0:
		return errors.New("a state of no lines")
	case h.Kind == KindEntries && h.Count != entriesBetween(h.Since, h.Version):
		return fmt.Errorf("%d entries from %d to %d", h.Count, h.Since, h.Version)
	}
	return nil
}

// entriesBetween is how many entries lead from one version to another, 0 where the other is older.
func entriesBetween(since, to record.Version) int {
	if to <= since {
		return 0
	}
	return int(to - since)
}

// readLine appends a line without its end to a slice.
func readLine(r *bufio.Reader, dst []byte, maxBytes int64) ([]byte, error) {
	for {
		part, err := r.ReadSlice('\n')
		if int64(len(dst)+len(part)) > maxBytes+1 {
			return nil, fmt.Errorf("over %d bytes", maxBytes)
		}
		dst = append(dst, part...)
		switch err {
		case nil:
			return dst[:len(dst)-1], nil
		case bufio.ErrBufferFull:
		case io.EOF:
			return nil, io.ErrUnexpectedEOF
		default:
			return nil, err
		}
	}
}

// bounded is a reader that fails after so many bytes, where io.LimitReader would look like the end.
type boundedReader struct {
	src       io.Reader
	remaining int64
}

func (b *boundedReader) Read(p []byte) (int, error) {
	if b.remaining <= 0 {
		return 0, errors.New("the answer is too long")
	}
	n, err := b.src.Read(p[:min(int64(len(p)), b.remaining)])
	b.remaining -= int64(n)
	return n, err
}
