//go:build !wasip1

package sharedids

import (
	"os"
	"time"

	"golang.org/x/sys/unix"
)

// mapFile maps the first n bytes of a file, shared with other processes.
func mapFile(file *os.File, n int) ([]byte, error) {
	return unix.Mmap(int(file.Fd()), 0, n, unix.PROT_READ|unix.PROT_WRITE, unix.MAP_SHARED)
}

func unmap(memory []byte) error { return unix.Munmap(memory) }

// processStart relates the process's monotonic clock to the system's, which all processes share.
var processStart, uptimeAtStart = time.Now(), readUptime()

func readUptime() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &now); err != nil {
		return 0
	}
	return time.Duration(now.Nano())
}

// systemUptime returns a time that advances alike in all processes of the machine, whatever the wall clock does.
func systemUptime() time.Duration { return uptimeAtStart + time.Since(processStart) }
