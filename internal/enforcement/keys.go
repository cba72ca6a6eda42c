package enforcement

import "time"

// maxKeysPerWindow bounds the number of keys that a keySet remembers for each window.
const maxKeysPerWindow = 65_536

// keySet remembers the keys of a class's admitted calls, each for the class's window. Callers pass in the time and
// serialize access. A full set accepts no more keys; repeats of those keys are treated like new calls.
type keySet struct {
	window            time.Duration
	rotatedAt         time.Time
	current, previous map[uint64]time.Time // admission times by key hash: since rotatedAt, and in the window before
}

// contains reports whether a key was added less than a window ago.
func (k *keySet) contains(key uint64, now time.Time) bool {
	admittedAt, ok := k.current[key]
	if !ok {
		admittedAt, ok = k.previous[key]
	}
	return ok && now.Sub(admittedAt) < k.window
}

// add remembers a key as admitted now. It returns false if the set is full.
func (k *keySet) add(key uint64, now time.Time) bool {
	if elapsed := now.Sub(k.rotatedAt); elapsed >= k.window {
		if elapsed >= 2*k.window {
			k.current = nil
		}
		k.current, k.previous, k.rotatedAt = map[uint64]time.Time{}, k.current, now
	}
	if len(k.current) >= maxKeysPerWindow {
		return false
	}
	k.current[key] = now
	return true
}
