//go:build !virtualdisk

package virtual

import (
	"math/rand/v2"
	"os"
)

// Disks tells whether this program has disks that take time, lose what was not synced and can be full. See disks_real.go.
const Disks = false

// disks of a program built without: the system's own, which are done within a moment and lose nothing.
type disks struct{}

func newDisks(uint64) *disks { return &disks{} }

func (*disks) mount(string)                           {}
func (*disks) forget(string)                          {}
func (*disks) cut(string)                             {}
func (*disks) stand(string, bool)                     {}
func (*disks) full(string, bool)                      {}
func (*disks) close()                                 {}
func (*disks) undo(_, _ *os.File, _ *rand.Rand) error { return nil }
