package record

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// digestSum adds up SHA-256 digests as four 64-bit integers with wrap-around, so that digests can be subtracted again and
// their order does not matter. It detects accidental divergence; it does not resist an adversary who chooses the parts.
type digestSum [4]uint64

func (s *digestSum) add(d [sha256.Size]byte) {
	for i := range s {
		s[i] += binary.BigEndian.Uint64(d[8*i:])
	}
}

func (s *digestSum) sub(d [sha256.Size]byte) {
	for i := range s {
		s[i] -= binary.BigEndian.Uint64(d[8*i:])
	}
}

// The digests are computed over binary encodings: a letter for the type, then the fields, texts prefixed by their length.
// They do not use JSON, so that hashes do not depend on the behavior of a library.

// appendText appends a text with its length as a 32-bit prefix.
func appendText[T ~string | ~[]byte](b []byte, s T) []byte {
	return append(binary.BigEndian.AppendUint32(b, uint32(len(s))), s...)
}

func appendItem(b []byte, i *Item) []byte {
	b = appendText(appendText(append(b, 'i'), i.Kind), i.Key)
	return appendText(binary.BigEndian.AppendUint64(b, uint64(i.Version)), i.Value)
}

func (item *storedItem) digest() [sha256.Size]byte {
	var buf [512]byte
	return sha256.Sum256(appendItem(buf[:0], &item.Item))
}

func (t *tombstone) digest() [sha256.Size]byte {
	var buf [512]byte
	b := appendText(appendText(append(buf[:0], 'g'), t.Kind), t.Key)
	return sha256.Sum256(binary.BigEndian.AppendUint64(b, uint64(t.Version)))
}

// digestResult returns the digest of a result and the length of the encoding that it covers.
func digestResult(r *Result) ([sha256.Size]byte, int) {
	var buf [512]byte
	b := appendText(appendText(append(buf[:0], 'r'), r.ID), r.Outcome)
	b = appendText(binary.BigEndian.AppendUint64(b, uint64(r.Version)), r.Reason)
	for i := range r.Newer {
		b = appendItem(b, &r.Newer[i])
	}
	return sha256.Sum256(b), len(b)
}

// hash returns the hex SHA-256 over the digest of the params, the version, the time, the horizon and the digest sums.
func (s *state) hash() string {
	total := s.items.sum
	for i := range total {
		total[i] += s.results.sum[i]
	}
	b := append([]byte("burlpass record 1\n"), s.paramsDigest[:]...)
	for _, n := range [...]uint64{uint64(s.version), uint64(s.time), uint64(s.horizon), total[0], total[1], total[2], total[3]} {
		b = binary.BigEndian.AppendUint64(b, n)
	}
	d := sha256.Sum256(b)
	return hex.EncodeToString(d[:])
}
