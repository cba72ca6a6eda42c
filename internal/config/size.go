package config

import (
	"fmt"
	"math"
	"strconv"
	"strings"
)

// Size is a number of bytes. Its text form has a unit: B, KB, MB, GB, KiB, MiB or GiB.
type Size int64

var sizeUnits = []struct {
	name  string
	bytes float64
}{{"KiB", 1 << 10}, {"MiB", 1 << 20}, {"GiB", 1 << 30}, {"KB", 1e3}, {"MB", 1e6}, {"GB", 1e9}, {"B", 1}}

// ParseSize parses a size with a unit.
func ParseSize(s string) (Size, error) {
	for _, u := range sizeUnits {
		if number, ok := strings.CutSuffix(s, u.name); ok {
			f, err := strconv.ParseFloat(strings.TrimSpace(number), 64)
			if err != nil || !(f >= 0) || f*u.bytes > math.MaxInt64/2 {
				break
			}
			return Size(f * u.bytes), nil
		}
	}
	return 0, fmt.Errorf("%q is not a size: a number and one of B, KB, MB, GB, KiB, MiB, GiB is expected", s)
}

// String formats a size in the largest binary unit that gives a whole number.
func (s Size) String() string {
	for _, u := range []int{2, 1, 0} {
		if n := int64(sizeUnits[u].bytes); s != 0 && int64(s)%n == 0 {
			return strconv.FormatInt(int64(s)/n, 10) + sizeUnits[u].name
		}
	}
	return strconv.FormatInt(int64(s), 10) + "B"
}
