package enforcement

import "time"

// mostKeys is how many keys of a class are remembered for each of its windows.
const mostKeys = 65_536

// keys remembers which keys of a class have passed, for the class's window from then on. It has no clock, and is for one goroutine
// at a time. Full, it takes no more: their repeats are calls like any other.
type keys struct {
	window  time.Duration
	turned  time.Time
	of, old map[uint64]time.Time // by the key's hash: when it passed; since turned, and in the window before
}

// passed tells whether a key passed less than a window ago.
func (k *keys) passed(key uint64, now time.Time) bool {
	at, ok := k.of[key]
	if !ok {
		at, ok = k.old[key]
	}
	return ok && now.Sub(at) < k.window
}

// pass remembers a key that passes now; false where there is no room.
func (k *keys) pass(key uint64, now time.Time) bool {
	if gone := now.Sub(k.turned); gone >= k.window {
		if gone >= 2*k.window {
			k.of = nil
		}
		k.of, k.old, k.turned = map[uint64]time.Time{}, k.of, now
	}
	if len(k.of) >= mostKeys {
		return false
	}
	k.of[key] = now
	return true
}
