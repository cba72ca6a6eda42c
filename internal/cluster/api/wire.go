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

// Format is the newest format of a response to /v1/entries that this program reads and writes.
const Format = 1

// Kinds of responses to /v1/entries.
const (
	KindEntries = "entries" // the entries after Header.Since
	KindState   = "state"   // a full state, as written by record.Save
)

// Limits on a response that is read.
const (
	maxLineBytes         = 64 << 10 // of the header and the trailer
	DefaultMaxBatchBytes = 256 << 20
	readBufferBytes      = 64 << 10
	maxPathLength        = 64 // names in a path
)

// ErrFormat reports a response in a format that only a newer program can read.
var ErrFormat = errors.New("newer format")

// Header is the first line of a response to /v1/entries.
type Header struct {
	Format  int            `json:"format"`
	Cluster string         `json:"cluster"` // cluster ID
	Kind    string         `json:"kind"`
	Since   record.Version `json:"since"`   // version before the first entry; for a state the requested one
	Version record.Version `json:"version"` // version after the last entry; older than Since if the source is behind
	Hash    string         `json:"hash"`    // of the state at Version
	Path    []string       `json:"path"`    // names from a voter to the source
	Leader  bool           `json:"leader"`  // whether the source is the leader
	AgeMs   int64          `json:"age_ms"`  // how long before the header was written Version was certainly the newest
	// WaitedMs is how long the response was held back. The rest of the call's duration may have passed after the header was
	// written, so a follower adds it to AgeMs.
	WaitedMs int64 `json:"waited_ms"`
	Count    int   `json:"count"` // lines between the header and the trailer
}

// trailerLine is the last line of a response to /v1/entries.
type trailerLine struct {
	End  bool   `json:"end"`
	Hash string `json:"hash"`
}

// Batch is a complete response to /v1/entries, received or to be sent.
type Batch struct {
	Header
	Entries    [][]byte // for KindEntries, as encoded by record.Encode
	SavedState []byte   // for KindState, as written by record.Save
}

// State returns a reader of the state of a batch of KindState.
func (b *Batch) State() io.Reader { return bytes.NewReader(b.SavedState) }

// Size returns the total length in bytes of the lines between the header and the trailer.
func (b *Batch) Size() int {
	n := len(b.SavedState)
	for _, e := range b.Entries {
		n += len(e) + 1
	}
	return n
}

// AppendHeader appends the first line.
func (h *Header) AppendHeader(dst []byte) []byte {
	line, err := json.Marshal(h)
	if err != nil { // strings and numbers only
		panic(err)
	}
	return append(append(dst, line...), '\n')
}

// AppendTrailer appends the last line.
func (h *Header) AppendTrailer(dst []byte) []byte {
	line, err := json.Marshal(trailerLine{true, h.Hash})
	if err != nil {
		panic(err)
	}
	return append(append(dst, line...), '\n')
}

// Append appends the batch in the form in which it is sent and stored.
func (b *Batch) Append(dst []byte) []byte {
	dst = b.AppendHeader(dst)
	for _, e := range b.Entries {
		dst = append(append(dst, e...), '\n')
	}
	return b.AppendTrailer(append(dst, b.SavedState...))
}

// ReadBatch reads a batch up to the trailer and the end of src. Missing, excess or oversized data is an error. The hash is
// only compared between header and trailer; whoever applies the batch verifies it.
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
		return nil, fmt.Errorf("last line: %.80q is not a trailer", line)
	}
	if trailer.Hash != b.Hash {
		return nil, fmt.Errorf("last line: hash %.80q, first line %.80q", trailer.Hash, b.Hash)
	}
	if _, err := r.ReadByte(); err != io.EOF {
		return nil, errors.New("data after the last line")
	}
	return b, nil
}

// validate checks the header for consistency.
func (h *Header) validate() error {
	switch {
	case h.Format > Format:
		return fmt.Errorf("%w: %d", ErrFormat, h.Format)
	case h.Format != Format:
		return fmt.Errorf("format %d", h.Format)
	case h.Kind != KindEntries && h.Kind != KindState:
		return fmt.Errorf("kind %.40q", h.Kind)
	case h.Count < 0 || h.AgeMs < 0 || h.WaitedMs < 0:
		return errors.New("negative count or age")
	case len(h.Path) == 0 || len(h.Path) > maxPathLength:
		return fmt.Errorf("path has %d names", len(h.Path))
	case h.Kind == KindState && h.Count == 0:
		return errors.New("state has no lines")
	case h.Kind == KindEntries && h.Count != entriesBetween(h.Since, h.Version):
		return fmt.Errorf("%d entries from %d to %d", h.Count, h.Since, h.Version)
	}
	return nil
}

// entriesBetween returns the number of entries from one version to a later one, or 0 if it is not later.
func entriesBetween(since, to record.Version) int {
	if to <= since {
		return 0
	}
	return int(to - since)
}

// readLine appends a line to dst, without its newline.
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

// boundedReader fails after a number of bytes, where io.LimitReader would report the end of the data.
type boundedReader struct {
	src       io.Reader
	remaining int64
}

func (b *boundedReader) Read(p []byte) (int, error) {
	if b.remaining <= 0 {
		return 0, errors.New("response is too long")
	}
	n, err := b.src.Read(p[:min(int64(len(p)), b.remaining)])
	b.remaining -= int64(n)
	return n, err
}
