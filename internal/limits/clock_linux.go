package limits

import (
	"time"

	"golang.org/x/sys/unix"
)

// monotonicTime reads CLOCK_MONOTONIC, which all processes of a machine share. It returns 0 if that fails.
func monotonicTime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &t); err != nil {
		return 0
	}
	return time.Duration(t.Nano())
}
