package record

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"unicode/utf8"
)

// formatVersion is the version of the encoding of entries and saved states. Any change to the meaning of an entry,
// including one in a Domain, requires a new version.
const formatVersion = 1

// formatPrefix starts every value encoded with formatVersion.
const formatPrefix = `{"f":1,`

// ErrFormat reports bytes in an encoding that this program does not read. The error text names the format version that
// they claim.
var ErrFormat = errors.New("record: not of a format that is known here")

// encodedEntry is an Entry with its format version.
type encodedEntry struct {
	Format int `json:"f"`
	Entry
}

// Encode returns the canonical encoding of an entry: JSON with the format version. It fails for an entry that does not
// hold exactly one of a write and a clock, for values that are not JSON, and for texts that contain control characters or
// are not valid UTF-8.
func Encode(e *Entry) ([]byte, error) {
	if e == nil || (e.Write == nil) == (e.Clock == nil) {
		return nil, errors.New("record: an entry must hold either a write or a clock")
	}
	if err := e.checkText(); err != nil {
		return nil, fmt.Errorf("record: %w", err)
	}
	raw, err := json.Marshal(encodedEntry{formatVersion, *e})
	if err != nil {
		return nil, fmt.Errorf("record: %w", err)
	}
	return raw, nil
}

// checkText rejects texts that would not survive a round trip through JSON unchanged.
func (e *Entry) checkText() error {
	if e.Clock != nil {
		for i, r := range e.Clock.Readings {
			if !isPlainText(r.Voter) {
				return fmt.Errorf("clock.readings[%d].voter: not plain text", i)
			}
		}
		return nil
	}
	if !isPlainText(e.Write.ID) || !isPlainText(e.Write.By) {
		return errors.New("write: id or by is not plain text")
	}
	for i, c := range e.Write.Changes {
		if !isPlainText(string(c.Kind)) || !isPlainText(c.Key) || !utf8.Valid(c.Value) {
			return fmt.Errorf("changes[%d]: not plain text", i)
		}
	}
	return nil
}

// Decode parses the output of Encode. It accepts nothing but the canonical encoding, so each entry has exactly one. Its
// errors wrap ErrFormat.
func Decode(raw []byte) (*Entry, error) {
	if err := checkFormat(raw); err != nil {
		return nil, err
	}
	var c encodedEntry
	if err := unmarshalCanonical(raw, &c); err != nil {
		return nil, fmt.Errorf("%w: format %d: %w", ErrFormat, formatVersion, err)
	}
	if (c.Write == nil) == (c.Clock == nil) {
		return nil, fmt.Errorf("%w: format %d: neither a write nor a clock, or both", ErrFormat, formatVersion)
	}
	if err := c.checkText(); err != nil {
		return nil, fmt.Errorf("%w: format %d: %w", ErrFormat, formatVersion, err)
	}
	return &c.Entry, nil
}

// checkFormat rejects other format versions before the rest of the bytes is parsed.
func checkFormat(raw []byte) error {
	if bytes.HasPrefix(raw, []byte(formatPrefix)) {
		return nil // a second, different "f" field is not canonical and is rejected later
	}
	var c struct {
		Format int `json:"f"`
	}
	if err := json.Unmarshal(raw, &c); err != nil {
		return fmt.Errorf("%w: no format: %w", ErrFormat, err)
	}
	if c.Format != formatVersion {
		return fmt.Errorf("%w: format %d, and this program reads %d", ErrFormat, c.Format, formatVersion)
	}
	return nil
}

// unmarshalCanonical parses JSON and requires it to equal the re-encoded result byte for byte. This rejects unknown
// fields, fields in another spelling and duplicate fields.
func unmarshalCanonical(raw []byte, target any) error {
	if err := json.Unmarshal(raw, target); err != nil {
		return err
	}
	canonical, err := json.Marshal(target)
	if err != nil {
		return err
	}
	if !bytes.Equal(raw, canonical) {
		offset := 0
		for offset < len(raw) && offset < len(canonical) && raw[offset] == canonical[offset] {
			offset++
		}
		return fmt.Errorf("it is not in the canonical form from byte %d on", offset)
	}
	return nil
}
