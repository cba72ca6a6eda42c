//go:build !linux

package limits

import "time"

// monotonicTime returns 0: without a clock that processes share, times in the log count from the start of the process.
func monotonicTime() time.Duration { return 0 }
