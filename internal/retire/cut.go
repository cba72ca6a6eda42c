package retire

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"math"
	"math/bits"
	"slices"
	"strconv"
)

// hashBufferBytes is enough for the usual keys and caller names; longer ones cause an allocation.
const hashBufferBytes = 384

// CallerHash returns the hash that orders the callers of a timeline. It is the same in every process.
func CallerHash(timeline, caller string) uint64 {
	var buf [hashBufferBytes]byte
	b := append(append(append(buf[:0], timeline...), '\n'), caller...)
	d := sha256.Sum256(b)
	return binary.BigEndian.Uint64(d[:])
}

// belowCut reports whether a hash is below a cut. The highest cut includes all callers.
func belowCut(hash, cut uint64) bool { return hash < cut || cut == math.MaxUint64 }

func formatCut(cut uint64) string { return fmt.Sprintf("%016x", cut) }

func parseCut(s string) (uint64, error) {
	cut, err := strconv.ParseUint(s, 16, 64)
	if err != nil || formatCut(cut) != s {
		return 0, fmt.Errorf("cut: %.40q is not 16 hex digits", s)
	}
	return cut, nil
}

// mulFraction returns n * fraction / 2^64, rounded down.
func mulFraction(n int64, fraction uint64) int64 {
	hi, _ := bits.Mul64(uint64(n), fraction)
	return int64(hi)
}

// mulDiv returns n * num / den, rounded down, for num <= den.
func mulDiv(n, num, den int64) int64 {
	hi, lo := bits.Mul64(uint64(n), uint64(num))
	q, _ := bits.Div64(hi, lo, uint64(den))
	return int64(q)
}

// exceedsShare reports whether n is more than the given thousandths of all.
func exceedsShare(n, all, thousandths int64) bool {
	ah, al := bits.Mul64(uint64(n), 1000)
	bh, bl := bits.Mul64(uint64(all), uint64(thousandths))
	return ah > bh || ah == bh && al > bl
}

// CallerTraffic is the traffic of a caller, as input of ShedCut.
type CallerTraffic struct {
	Caller string
	Calls  int64
	Exempt bool // never shed
}

// ShedCut returns the threshold such that the callers with a lower hash have a given share, in thousandths, of the calls.
// others are calls of unknown callers, whose hashes are assumed to be spread evenly. For the same calls the threshold does
// not fall when the share rises. The calls below it differ from the share by at most half of the calls of the largest
// caller, provided that others are spread evenly and that enough callers are not exempt.
func ShedCut(timeline string, callers []CallerTraffic, others, share int64) uint64 {
	if share >= 1000 {
		return math.MaxUint64
	}
	type hashedCaller struct {
		hash  uint64
		calls int64
	}
	total := others
	var byHash []hashedCaller
	for _, c := range callers {
		total += c.Calls
		if !c.Exempt && c.Calls > 0 {
			byHash = append(byHash, hashedCaller{CallerHash(timeline, c.Caller), c.Calls})
		}
	}
	if total == 0 { // without known calls: the share of the hash range
		q, _ := bits.Div64(uint64(share), 0, 1000)
		return q
	}
	slices.SortFunc(byHash, func(a, b hashedCaller) int { return cmp.Compare(a.hash, b.hash) })
	want := mulDiv(total, share, 1000)
	passed := int64(0) // calls of the callers passed
	for _, p := range byHash {
		if before := passed + mulFraction(others, p.hash); before >= want { // reached by others, before this caller
			return evenCut(want-passed, others, p.hash)
		} else if after := before + p.calls; after >= want {
			if after-want < want-before || after == want {
				return p.hash + 1
			}
			return p.hash
		}
		passed += p.calls
	}
	return evenCut(want-passed, others, math.MaxUint64-1)
}

// evenCut returns the lowest cut with the wanted number of others below it, maxCut if there are not enough.
func evenCut(want, others int64, maxCut uint64) uint64 {
	if want <= 0 {
		return 0
	}
	if want >= others {
		return maxCut
	}
	q, remainder := bits.Div64(uint64(want), 0, uint64(others))
	if remainder > 0 {
		q++
	}
	return min(q, maxCut)
}
